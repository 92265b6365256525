//! Which senders are reported as heavy, and which are not.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elmtide_ratelimit::heavy_senders::HeavySenders;
use proptest::prelude::*;

const WINDOW: usize = 256;

fn sender(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// The heavy senders of a stream with `per_ms` datagrams per millisecond.
fn heavy_senders(senders: impl IntoIterator<Item = u16>, per_ms: f64) -> Vec<SocketAddr> {
    let mut heavy = HeavySenders::default();
    let observed = senders.into_iter().enumerate();
    observed.flat_map(|(n, number)| heavy.observe(sender(number), n as f64 / per_ms)).collect()
}

#[test]
fn a_flooding_sender_is_reported_within_one_window() {
    let stream = (0..WINDOW as u16).map(|n| if n % 8 == 0 { 1000 + n } else { 7 });
    assert_eq!(heavy_senders(stream, 100.0), [sender(7)]);
}

#[test]
fn several_flooding_senders_are_reported_in_the_same_window() {
    let stream = (0..WINDOW as u16).map(|n| n % 3);
    let mut reported = heavy_senders(stream, 100.0);
    reported.sort_unstable();
    assert_eq!(reported, [sender(0), sender(1), sender(2)]);
}

#[test]
fn a_slow_stream_has_no_heavy_senders() {
    // 4,000 datagrams per second, all of one sender.
    assert_eq!(heavy_senders(std::iter::repeat_n(7, 4 * WINDOW), 4.0), []);
}

#[test]
fn a_stream_of_many_equal_senders_has_no_heavy_senders() {
    assert_eq!(heavy_senders((0..8 * WINDOW as u16).map(|n| n % 40), 100.0), []);
}

#[test]
fn a_window_does_not_count_datagrams_of_the_one_before() {
    let mut heavy = HeavySenders::default();
    let first = (0..WINDOW).flat_map(|_| heavy.observe(sender(7), 0.0)).collect::<Vec<_>>();
    assert_eq!(first, [sender(7)]);
    let next = (0..WINDOW as u16).flat_map(|n| heavy.observe(sender(100 + n), 1.0)).collect::<Vec<_>>();
    assert_eq!(next, []);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_sender_of_a_quarter_is_reported_and_of_less_than_an_eighth_is_not(
        stream in proptest::collection::vec(prop_oneof![0u16..3, 0u16..12, 0u16..400], WINDOW),
    ) {
        let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
        stream.iter().for_each(|number| *counts.entry(*number).or_default() += 1);
        let heavy_senders = heavy_senders(stream, 1000.0);
        for (number, count) in counts {
            let is_reported = heavy_senders.contains(&sender(number));
            prop_assert!(is_reported || count <= WINDOW / 4, "{number} sent {count}");
            prop_assert!(!is_reported || count >= WINDOW / 8, "{number} sent {count}");
        }
    }
}
