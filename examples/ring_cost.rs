use elmtide::*;
use std::time::Instant;
fn main() {
    for n in [10u64, 60, 200] {
        let list: Vec<(MemberId, f64)> =
            (0..n).map(|i| (MemberId(i * 7919 + 13), 5.0 + (i % 5) as f64)).collect();
        let since = Instant::now();
        let times = 2000 / n;
        for _ in 0..times {
            std::hint::black_box(Ring::build(std::hint::black_box(&list)));
        }
        println!(
            "{n} members: {:.0} us a rebuild, {} subframes",
            since.elapsed().as_secs_f64() * 1e6 / times as f64,
            Ring::build(&list).starts.len()
        );
    }
}
