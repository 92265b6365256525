//! Who is found to bring a large part of a stream of datagrams, and who is not.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elmtide_ratelimit::heavy_senders::HeavySenders;
use proptest::prelude::*;

const WINDOW: usize = 256;

fn sender(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Who is found in a stream of so many datagrams a millisecond.
fn found(senders: impl IntoIterator<Item = u16>, per_ms: f64) -> Vec<SocketAddr> {
    let mut heavy = HeavySenders::default();
    let observed = senders.into_iter().enumerate();
    observed.flat_map(|(n, number)| heavy.observe(sender(number), n as f64 / per_ms)).collect()
}

#[test]
fn a_flooder_among_others_is_found_within_one_window() {
    let stream = (0..WINDOW as u16).map(|n| if n % 8 == 0 { 1000 + n } else { 7 });
    assert_eq!(found(stream, 100.0), [sender(7)]);
}

#[test]
fn several_flooders_are_found_at_once() {
    let stream = (0..WINDOW as u16).map(|n| n % 3);
    let mut all = found(stream, 100.0);
    all.sort_unstable();
    assert_eq!(all, [sender(0), sender(1), sender(2)]);
}

#[test]
fn a_slow_stream_finds_nobody() {
    // 4,000 datagrams a second, all of one sender.
    assert_eq!(found(std::iter::repeat_n(7, 4 * WINDOW), 4.0), []);
}

#[test]
fn a_stream_of_many_equal_senders_finds_nobody() {
    assert_eq!(found((0..8 * WINDOW as u16).map(|n| n % 40), 100.0), []);
}

#[test]
fn a_window_does_not_remember_the_one_before() {
    let mut heavy = HeavySenders::default();
    let first = (0..WINDOW).flat_map(|_| heavy.observe(sender(7), 0.0)).collect::<Vec<_>>();
    assert_eq!(first, [sender(7)]);
    let next = (0..WINDOW as u16).flat_map(|n| heavy.observe(sender(100 + n), 1.0)).collect::<Vec<_>>();
    assert_eq!(next, []);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_quarter_of_a_window_is_found_and_less_than_an_eighth_is_not(
        stream in proptest::collection::vec(prop_oneof![0u16..3, 0u16..12, 0u16..400], WINDOW),
    ) {
        let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
        stream.iter().for_each(|number| *counts.entry(*number).or_default() += 1);
        let found = found(stream, 1000.0);
        for (number, count) in counts {
            let is_found = found.contains(&sender(number));
            prop_assert!(is_found || count <= WINDOW / 4, "{number} brought {count}");
            prop_assert!(!is_found || count >= WINDOW / 8, "{number} brought {count}");
        }
    }
}
