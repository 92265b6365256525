//! Prints the time to rebuild a ring and its number of subframes, for several numbers of members.

use elmtide::*;
use std::time::Instant;
fn main() {
    for n in [10u64, 60, 200] {
        let members: Vec<(MemberId, f64)> =
            (0..n).map(|i| (MemberId(i * 7919 + 13), 5.0 + (i % 5) as f64)).collect();
        let start = Instant::now();
        let times = 2000 / n;
        for _ in 0..times {
            std::hint::black_box(Ring::build(std::hint::black_box(&members)));
        }
        println!(
            "{n} members: {:.0} us a rebuild, {} subframes",
            start.elapsed().as_secs_f64() * 1e6 / times as f64,
            Ring::build(&members).starts.len()
        );
    }
}
