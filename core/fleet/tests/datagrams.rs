//! Datagrams that arrive once, late, in any order, forged or corrupted.

use elmtide_budgets::FrontId;
use elmtide_fleet::datagram::{
    peek, PeekedDatagram, PeekedKind, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, VERSION,
};
use elmtide_fleet::{DatagramCodec, DropReason, PeerMessage};
use proptest::prelude::*;

/// Counters behind the highest that are still accepted.
const REPLAY_WINDOW: u64 = 1024;

fn codec(own: u64, incarnation: u64, key: &[u8], installation: &str) -> DatagramCodec {
    DatagramCodec::new(key, installation, FrontId(own), incarnation, (1..4).map(FrontId))
}

fn pair() -> (DatagramCodec, DatagramCodec) {
    (codec(1, 5, b"key", "duna"), codec(2, 8, b"key", "duna"))
}

#[test]
fn a_message_arrives_once_and_only_where_it_was_sent() {
    let (mut one, mut two) = pair();
    let sent = one.encode(FrontId(2), &PeerMessage::RenewNow);
    assert_eq!(sent.len(), 1);
    assert_eq!(two.decode(&sent[0]), Some((FrontId(1), PeerMessage::RenewNow)));
    assert_eq!(two.decode(&sent[0]), None, "the same again");
    assert_eq!(two.dropped[&DropReason::Replayed], 1);
    let other = one.encode(FrontId(3), &PeerMessage::RenewNow);
    assert_eq!(two.decode(&other[0]), None);
    assert_eq!(two.dropped[&DropReason::WrongFront], 1);
}

#[test]
fn a_message_can_be_peeked_at_on_its_way() {
    let sent = pair().0.encode(FrontId(2), &PeerMessage::RenewNow);
    let peeked = PeekedDatagram { from: FrontId(1), to: FrontId(2), kind: PeekedKind::RenewNow };
    assert_eq!(peek(&sent[0]), Some(peeked));
    assert_eq!(peek(&sent[0][..10]), None);
}

/// Of another key or installation, corrupted, of a later version, of an earlier incarnation.
#[test]
fn what_is_not_of_this_installation_and_incarnation_is_dropped() {
    let (mut one, mut two) = pair();
    for (key, installation) in [(&b"other"[..], "duna"), (b"key", "tisza")] {
        let sent = codec(1, 5, key, installation).encode(FrontId(2), &PeerMessage::RenewNow);
        assert_eq!(two.decode(&sent[0]), None);
    }
    assert_eq!(two.dropped[&DropReason::WrongMac], 2);
    let mut later = one.encode(FrontId(2), &PeerMessage::RenewNow).remove(0);
    later[1] = VERSION + 1;
    assert_eq!(two.decode(&later), None);
    assert_eq!(two.dropped[&DropReason::UnknownVersion], 1);
    let sent = one.encode(FrontId(2), &PeerMessage::RenewNow);
    assert!(two.decode(&sent[0]).is_some());
    let mut earlier = codec(1, 4, b"key", "duna");
    let replayed = earlier.encode(FrontId(2), &PeerMessage::RenewNow);
    assert_eq!(two.decode(&replayed[0]), None, "of an earlier incarnation");
    let next = codec(1, 6, b"key", "duna").encode(FrontId(2), &PeerMessage::RenewNow);
    assert!(two.decode(&next[0]).is_some(), "a later incarnation begins anew");
    let sent = one.encode(FrontId(2), &PeerMessage::RenewNow);
    assert_eq!(two.decode(&sent[0]), None, "the incarnation before is over");
}

#[test]
fn datagrams_that_come_late_and_in_any_order_are_accepted_within_the_window() {
    let (mut one, mut two) = pair();
    let mut sent: Vec<_> =
        (0..REPLAY_WINDOW + 10).flat_map(|_| one.encode(FrontId(2), &PeerMessage::RenewNow)).collect();
    let first = sent.remove(0);
    sent.reverse();
    let accepted = sent.iter().filter(|datagram| two.decode(datagram).is_some()).count() as u64;
    assert_eq!(accepted, REPLAY_WINDOW);
    assert!(two.decode(&first).is_none());
}

#[test]
fn a_long_message_comes_in_fragments_in_any_order_and_a_lost_one_loses_it_alone() {
    let (mut one, mut two) = pair();
    let message = PeerMessage::Gossip((0..100_000u32).map(|n| n as u8).collect());
    let mut sent = one.encode(FrontId(2), &message);
    assert!(sent.len() > 70 && sent.iter().all(|datagram| datagram.len() <= MAX_DATAGRAM_BYTES));
    sent.reverse();
    let last = sent.pop().unwrap();
    assert!(sent.iter().all(|datagram| two.decode(datagram).is_none()));
    assert_eq!(two.decode(&last), Some((FrontId(1), message.clone())));
    let mut lost = one.encode(FrontId(2), &message);
    lost.pop();
    assert!(lost.iter().all(|datagram| two.decode(datagram).is_none()));
    let again = one.encode(FrontId(2), &message);
    assert_eq!(again.iter().filter_map(|datagram| two.decode(datagram)).count(), 1);
    assert_eq!(two.reassembly_bytes(), 0);
    assert!(one.encode(FrontId(2), &PeerMessage::Gossip(vec![0; MAX_MESSAGE_BYTES])).is_empty());
}

proptest! {
    #[test]
    fn no_bytes_are_taken_for_a_message(bytes in prop::collection::vec(any::<u8>(), 0..1600), bit in 0usize..4000) {
        let (mut one, mut two) = pair();
        prop_assert!(two.decode(&bytes).is_none());
        let mut sent = one.encode(FrontId(2), &PeerMessage::NotLeader(Some(FrontId(3)))).remove(0);
        let bit = bit % (sent.len() * 8);
        sent[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(two.decode(&sent).is_none());
    }
}
