//! Encoding and decoding of datagrams that arrive repeatedly, late, out of order, forged or corrupted.

use elmtide_budgets::{
    BudgetCommand, BudgetId, BudgetKind, FrontId, HolderId, Incarnation, MAX_BUDGETS_PER_LEASE,
};
use elmtide_consensus::StateMachine;
use elmtide_fleet::datagram::{
    peek, PeekedDatagram, PeekedKind, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, VERSION,
};
use elmtide_fleet::{AgreedCommand, AgreedState, DatagramCodec, DropReason, PeerMessage};
use proptest::prelude::*;

/// Number of counters, up to the highest, that are still accepted.
const REPLAY_WINDOW: u64 = 1024;

fn codec(own: u64, incarnation: u64, key: &[u8], installation: &str) -> DatagramCodec {
    DatagramCodec::new(key, installation, FrontId(own), incarnation, (1..4).map(FrontId))
}

/// Fronts 1 and 2, of incarnations 5 and 8.
fn codec_pair() -> (DatagramCodec, DatagramCodec) {
    (codec(1, 5, b"key", "duna"), codec(2, 8, b"key", "duna"))
}

#[test]
fn a_message_is_accepted_once_and_only_by_its_receiver() {
    let (mut front_1, mut front_2) = codec_pair();
    let sent = front_1.encode(FrontId(2), &PeerMessage::RenewNow);
    assert_eq!(sent.len(), 1);
    assert_eq!(front_2.decode(&sent[0]), Some((FrontId(1), PeerMessage::RenewNow)));
    assert_eq!(front_2.decode(&sent[0]), None, "a repeated datagram");
    assert_eq!(front_2.dropped[&DropReason::Replayed], 1);
    let for_front_3 = front_1.encode(FrontId(3), &PeerMessage::RenewNow);
    assert_eq!(front_2.decode(&for_front_3[0]), None);
    assert_eq!(front_2.dropped[&DropReason::WrongFront], 1);
}

#[test]
fn a_datagram_can_be_peeked_at_without_decoding_it() {
    let sent = codec_pair().0.encode(FrontId(2), &PeerMessage::RenewNow);
    let peeked = PeekedDatagram { from: FrontId(1), to: FrontId(2), kind: PeekedKind::RenewNow };
    assert_eq!(peek(&sent[0]), Some(peeked));
    assert_eq!(peek(&sent[0][..10]), None);
}

/// Covers another key, another installation, a later version and an earlier incarnation.
#[test]
fn datagrams_of_another_installation_version_or_earlier_incarnation_are_dropped() {
    let (mut front_1, mut front_2) = codec_pair();
    for (key, installation) in [(&b"other"[..], "duna"), (b"key", "tisza")] {
        let sent = codec(1, 5, key, installation).encode(FrontId(2), &PeerMessage::RenewNow);
        assert_eq!(front_2.decode(&sent[0]), None);
    }
    assert_eq!(front_2.dropped[&DropReason::WrongMac], 2);
    let mut later_version = front_1.encode(FrontId(2), &PeerMessage::RenewNow).remove(0);
    later_version[1] = VERSION + 1;
    assert_eq!(front_2.decode(&later_version), None);
    assert_eq!(front_2.dropped[&DropReason::UnknownVersion], 1);
    let sent = front_1.encode(FrontId(2), &PeerMessage::RenewNow);
    assert!(front_2.decode(&sent[0]).is_some());
    let mut earlier_incarnation = codec(1, 4, b"key", "duna");
    let replayed = earlier_incarnation.encode(FrontId(2), &PeerMessage::RenewNow);
    assert_eq!(front_2.decode(&replayed[0]), None, "a datagram of an earlier incarnation");
    let later = codec(1, 6, b"key", "duna").encode(FrontId(2), &PeerMessage::RenewNow);
    assert!(front_2.decode(&later[0]).is_some(), "a later incarnation starts with an empty replay window");
    let sent = front_1.encode(FrontId(2), &PeerMessage::RenewNow);
    assert_eq!(front_2.decode(&sent[0]), None, "the previous incarnation is no longer accepted");
}

#[test]
fn datagrams_out_of_order_are_accepted_only_within_the_replay_window() {
    let (mut front_1, mut front_2) = codec_pair();
    let mut sent: Vec<_> =
        (0..REPLAY_WINDOW + 10).flat_map(|_| front_1.encode(FrontId(2), &PeerMessage::RenewNow)).collect();
    let first = sent.remove(0);
    sent.reverse();
    let accepted = sent.iter().filter(|datagram| front_2.decode(datagram).is_some()).count() as u64;
    assert_eq!(accepted, REPLAY_WINDOW);
    assert!(front_2.decode(&first).is_none());
}

#[test]
fn a_long_message_is_reassembled_in_any_order_and_a_lost_fragment_loses_only_that_message() {
    let (mut front_1, mut front_2) = codec_pair();
    let message = PeerMessage::Gossip((0..100_000u32).map(|n| n as u8).collect());
    let mut sent = front_1.encode(FrontId(2), &message);
    assert!(sent.len() > 70 && sent.iter().all(|datagram| datagram.len() <= MAX_DATAGRAM_BYTES));
    sent.reverse();
    let last = sent.pop().unwrap();
    assert!(sent.iter().all(|datagram| front_2.decode(datagram).is_none()));
    assert_eq!(front_2.decode(&last), Some((FrontId(1), message.clone())));
    let mut incomplete = front_1.encode(FrontId(2), &message);
    incomplete.pop();
    assert!(incomplete.iter().all(|datagram| front_2.decode(datagram).is_none()));
    let repeated = front_1.encode(FrontId(2), &message);
    assert_eq!(repeated.iter().filter_map(|datagram| front_2.decode(datagram)).count(), 1);
    assert_eq!(front_2.reassembly_bytes(), 0);
    assert!(front_1.encode(FrontId(2), &PeerMessage::Gossip(vec![0; MAX_MESSAGE_BYTES])).is_empty());
}

/// Each try had a number of its own, and what had arrived of the one before was thrown away.
#[test]
fn a_long_message_that_loses_other_fragments_at_each_try_arrives() {
    let (mut front_1, mut front_2) = codec_pair();
    let message = PeerMessage::Gossip((0..100_000u32).map(|n| n as u8).collect());
    let mut decoded = Vec::new();
    for lost in 0..2 {
        let sent = front_1.encode(FrontId(2), &message);
        let arrived = sent.iter().enumerate().filter(|(index, _)| index % 2 != lost);
        decoded.extend(arrived.filter_map(|(_, datagram)| front_2.decode(datagram)));
    }
    assert_eq!(decoded, [(FrontId(1), message.clone())]);
    // Another message of the same length is not mixed with it.
    let halves = [0, 1].map(|part| {
        let other = PeerMessage::Gossip((part..100_000 + part).map(|n| n as u8).collect());
        let sent = front_1.encode(FrontId(2), &other);
        sent.into_iter().enumerate().filter(move |(index, _)| index % 2 == part as usize)
    });
    assert!(halves.into_iter().flatten().all(|(_, datagram)| front_2.decode(&datagram).is_none()));
}

/// A longer snapshot was not sent at all, without a word, each time that a voter needed it.
#[test]
fn a_snapshot_of_the_largest_fleet_is_sent_and_a_longer_message_is_counted() {
    const FRONTS: u64 = 900;
    let mut state = AgreedState::default();
    let mut apply = |command| assert!(state.apply(&AgreedCommand::Budgets(command)).is_done());
    let fronts: Vec<FrontId> = (1..=FRONTS).map(|n| FrontId(n << 50)).collect();
    apply(BudgetCommand::UpdateFronts { version: 1, fronts: fronts.clone(), minimums: vec![], lease: 1 });
    for front in fronts {
        let holder = HolderId { front, incarnation: Incarnation(1 << 40) };
        apply(BudgetCommand::Join { holder });
        let budget = |n: u64| BudgetId { kind: BudgetKind::ShopRate, resource: n << 56 };
        let changes = (1..=MAX_BUDGETS_PER_LEASE as u64).map(|n| (holder, budget(n), 1000));
        apply(BudgetCommand::Allocate { changes: changes.collect() });
    }
    let (mut front_1, mut front_2) = codec_pair();
    let message = PeerMessage::Gossip(state.snapshot());
    let sent = front_1.encode(FrontId(2), &message);
    let decoded: Vec<_> = sent.iter().filter_map(|datagram| front_2.decode(datagram)).collect();
    assert!(decoded == [(FrontId(1), message)], "{} datagrams", sent.len());
    assert!(front_1.encode(FrontId(2), &PeerMessage::Gossip(vec![0; MAX_MESSAGE_BYTES])).is_empty());
    assert_eq!(front_1.dropped[&DropReason::NotSent], 1);
}

proptest! {
    #[test]
    fn random_or_corrupted_bytes_are_never_decoded_to_a_message(
        bytes in prop::collection::vec(any::<u8>(), 0..1600),
        bit in 0usize..4000,
    ) {
        let (mut front_1, mut front_2) = codec_pair();
        prop_assert!(front_2.decode(&bytes).is_none());
        let mut sent = front_1.encode(FrontId(2), &PeerMessage::NotLeader(Some(FrontId(3)))).remove(0);
        let bit = bit % (sent.len() * 8);
        sent[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(front_2.decode(&sent).is_none());
    }
}
