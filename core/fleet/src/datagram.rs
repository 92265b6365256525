//! Datagram encoding: each datagram names its version, carries a MAC keyed by the installation over the rest, and is
//! accepted once.
//!
//! The length is checked first, then the version, then the MAC; nothing is decoded before. A message that does not fit
//! in one datagram is fragmented. For each peer, one message is reassembled at a time. A long message that is encoded again
//! keeps its number, so that what has arrived of it counts: a retry completes it even if each try loses some fragments.

mod fragments;
mod replay;

use std::collections::BTreeMap;

use elmtide_budgets::{FrontId, MAX_BUDGETS_PER_LEASE, MAX_FRONTS};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::message::PeerMessage;
use fragments::{Fragment, Reassembly};
use replay::ReplayWindow;

/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1432;
/// Maximum size of the payload of one datagram, in bytes.
const MAX_FRAGMENT_BYTES: usize = 1280;
/// Bound on the encoded size of one quota in a snapshot, in bytes: a budget's id, two amounts and an epoch.
const QUOTA_BYTES: usize = 32;
/// Maximum size of an encoded message, in bytes. A snapshot of the largest fleet must fit, or a voter that needs it never
/// gets it.
pub const MAX_MESSAGE_BYTES: usize = MAX_FRONTS * MAX_BUDGETS_PER_LEASE * QUOTA_BYTES;
/// Maximum number of datagrams of one message.
pub const MAX_DATAGRAMS_PER_MESSAGE: usize = MAX_MESSAGE_BYTES.div_ceil(MAX_FRAGMENT_BYTES);
/// Maximum total size of the messages that are being reassembled, in bytes, for all peers together.
const MAX_REASSEMBLY_BYTES: usize = 8 << 20;
const MAGIC_BYTE: u8 = 0xE7;
/// Version of the datagrams that this program sends and accepts.
pub const VERSION: u8 = 1;
/// Length of the truncated MAC, in bytes.
const TAG_BYTES: usize = 16;
/// Magic byte, version and tag.
const PREFIX_BYTES: usize = 2 + TAG_BYTES;
/// Space reserved for an encoded header.
const HEADER_CAPACITY_BYTES: usize = 64;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The length or the magic byte is invalid.
    Unrecognized,
    /// The version is not supported.
    UnknownVersion,
    /// The MAC is wrong: the datagram is from another installation, forged or corrupted.
    WrongMac,
    /// The receiver is another front, or the sender is not configured.
    WrongFront,
    /// It was accepted before, is older than the replay window, or is from an earlier incarnation.
    Replayed,
    /// The MAC is correct, but the content can't be decoded.
    Undecodable,
    /// A message of this front was not sent, because it is longer than [`MAX_MESSAGE_BYTES`].
    NotSent,
}

impl DropReason {
    /// The name of this reason in status output.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::Unrecognized => "Strange",
            DropReason::UnknownVersion => "Version",
            DropReason::WrongMac => "Mac",
            DropReason::WrongFront => "Elsewhere",
            DropReason::Replayed => "Replayed",
            DropReason::Undecodable => "Unread",
            DropReason::NotSent => "TooLong",
        }
    }
}

/// Header of a datagram, between its MAC and its payload.
#[derive(Serialize, Deserialize)]
struct Header {
    from: FrontId,
    to: FrontId,
    incarnation: u64,
    counter: u64,
    /// `None` if the payload is the entire message.
    fragment: Option<Fragment>,
}

/// State of the datagrams received from one front.
#[derive(Debug, Default)]
struct PeerState {
    window: ReplayWindow,
    reassembly: Option<Reassembly>,
}

impl PeerState {
    fn reassembly_bytes(&self) -> usize {
        self.reassembly.as_ref().map_or(0, Reassembly::bytes)
    }
}

/// The last message to a front that was longer than one datagram.
struct LongMessage {
    number: u32,
    digest: Digest,
}

/// SHA-256 of an encoded message.
type Digest = [u8; 32];

/// Encodes and decodes the datagrams of one incarnation of a front.
pub struct DatagramCodec {
    /// Initialized with the key and the installation's name.
    mac: Hmac<Sha256>,
    own: FrontId,
    incarnation: u64,
    counter: u64,
    next_message: u32,
    /// The last long message to each front.
    last_long: BTreeMap<FrontId, LongMessage>,
    /// All configured fronts except the own one.
    peers: BTreeMap<FrontId, PeerState>,
    /// Number of dropped datagrams by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

impl DatagramCodec {
    /// Creates a codec with the installation's key. The installation's name goes into every MAC.
    pub fn new(
        key: &[u8],
        installation: &str,
        own: FrontId,
        incarnation: u64,
        fronts: impl Iterator<Item = FrontId>,
    ) -> DatagramCodec {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key)
            .unwrap_or_else(|_| <Hmac<Sha256> as KeyInit>::new(&Default::default()));
        mac.update(&(installation.len() as u64).to_le_bytes());
        mac.update(installation.as_bytes());
        let peers = fronts.filter(|front| *front != own).map(|front| (front, PeerState::default()));
        DatagramCodec {
            mac,
            own,
            incarnation,
            counter: 0,
            next_message: 1,
            last_long: BTreeMap::new(),
            peers: peers.collect(),
            dropped: BTreeMap::new(),
        }
    }

    /// The highest incarnation of a front that was seen since the start.
    pub fn seen_incarnation(&self, front: FrontId) -> u64 {
        self.peers.get(&front).map_or(0, |peer| peer.window.incarnation())
    }

    /// The MAC of a datagram's body, which also covers the version.
    fn mac_of(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(&[VERSION]);
        mac.update(body);
        mac
    }

    /// Encodes a message for a front as one or more datagrams; returns none for a message that is too long.
    pub fn encode(&mut self, to: FrontId, message: &PeerMessage) -> Vec<Vec<u8>> {
        let Ok(bytes) = postcard::to_allocvec(message) else { return Vec::new() };
        if bytes.len() > MAX_MESSAGE_BYTES {
            *self.dropped.entry(DropReason::NotSent).or_default() += 1;
            return Vec::new();
        }
        let number = self.next_message;
        self.next_message = self.next_message.wrapping_add(1);
        if bytes.len() <= MAX_FRAGMENT_BYTES {
            return self.encode_datagram(to, None, &bytes).into_iter().collect();
        }
        let message = self.number_of_long(to, &bytes, number);
        let count = bytes.len().div_ceil(MAX_FRAGMENT_BYTES) as u16;
        let fragment = |index: usize| Fragment { message, index: index as u16, count };
        let payloads = bytes.chunks(MAX_FRAGMENT_BYTES).enumerate();
        payloads
            .filter_map(|(index, payload)| self.encode_datagram(to, Some(fragment(index)), payload))
            .collect()
    }

    /// The number of a long message: that of the last one to this front, if it is the same, else `number`.
    fn number_of_long(&mut self, to: FrontId, bytes: &[u8], number: u32) -> u32 {
        let digest: Digest = Sha256::digest(bytes).into();
        if let Some(last) = self.last_long.get(&to).filter(|last| last.digest == digest) {
            return last.number;
        }
        self.last_long.insert(to, LongMessage { number, digest });
        number
    }

    fn encode_datagram(
        &mut self,
        to: FrontId,
        fragment: Option<Fragment>,
        payload: &[u8],
    ) -> Option<Vec<u8>> {
        self.counter += 1;
        let header =
            Header { from: self.own, to, incarnation: self.incarnation, counter: self.counter, fragment };
        let body =
            postcard::to_extend(&header, Vec::with_capacity(MAX_FRAGMENT_BYTES + HEADER_CAPACITY_BYTES));
        let body = [&body.ok()?[..], payload].concat();
        let tag = self.mac_of(&body).finalize().into_bytes();
        Some([&[MAGIC_BYTE, VERSION][..], &tag[..TAG_BYTES], &body].concat())
    }

    /// Decodes a datagram to its sender and message; `None` if it was dropped, or while fragments are missing.
    pub fn decode(&mut self, datagram: &[u8]) -> Option<(FrontId, PeerMessage)> {
        match self.try_decode(datagram) {
            Ok(message) => message,
            Err(reason) => {
                *self.dropped.entry(reason).or_default() += 1;
                None
            }
        }
    }

    fn try_decode(&mut self, datagram: &[u8]) -> Result<Option<(FrontId, PeerMessage)>, DropReason> {
        let body = self.authenticate(datagram)?;
        let (header, payload) =
            postcard::take_from_bytes::<Header>(body).map_err(|_| DropReason::Undecodable)?;
        if header.to != self.own {
            return Err(DropReason::WrongFront);
        }
        let peer = self.peers.get_mut(&header.from).ok_or(DropReason::WrongFront)?;
        if header.incarnation > peer.window.incarnation() {
            peer.reassembly = None;
        }
        if !peer.window.accept(header.incarnation, header.counter) {
            return Err(DropReason::Replayed);
        }
        let Some(fragment) = header.fragment else { return decode_message(header.from, payload).map(Some) };
        let message = self.reassemble(header.from, fragment, payload)?;
        message.map(|message| decode_message(header.from, &message)).transpose()
    }

    /// Checks length, version and MAC, and returns the body of the datagram.
    fn authenticate<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], DropReason> {
        let is_length_valid = datagram.len() > PREFIX_BYTES && datagram.len() <= MAX_DATAGRAM_BYTES;
        if !is_length_valid || datagram[0] != MAGIC_BYTE {
            return Err(DropReason::Unrecognized);
        }
        if datagram[1] != VERSION {
            return Err(DropReason::UnknownVersion);
        }
        let (tag, body) = datagram[2..].split_at(TAG_BYTES);
        self.mac_of(body).verify_truncated_left(tag).map_err(|_| DropReason::WrongMac)?;
        Ok(body)
    }

    /// Adds a fragment; returns the encoded message once it is complete.
    fn reassemble(
        &mut self,
        from: FrontId,
        fragment: Fragment,
        payload: &[u8],
    ) -> Result<Option<Vec<u8>>, DropReason> {
        if !fragment.is_valid(MAX_DATAGRAMS_PER_MESSAGE) || payload.len() > MAX_FRAGMENT_BYTES {
            return Err(DropReason::Undecodable);
        }
        let Some(peer) = self.peers.get_mut(&from) else { return Ok(None) };
        if peer.reassembly.as_ref().is_none_or(|reassembly| !reassembly.matches(fragment)) {
            peer.reassembly = Some(Reassembly::new(fragment));
        }
        let total_bytes: usize = self.peers.values().map(PeerState::reassembly_bytes).sum();
        let Some(peer) = self.peers.get_mut(&from) else { return Ok(None) };
        if total_bytes + payload.len() > MAX_REASSEMBLY_BYTES {
            peer.reassembly = None;
            return Err(DropReason::Undecodable);
        }
        let Some(reassembly) = &mut peer.reassembly else { return Ok(None) };
        reassembly.add(fragment, payload);
        if !reassembly.is_complete() {
            return Ok(None);
        }
        Ok(peer.reassembly.take().map(Reassembly::into_message))
    }

    /// Total size of the messages that are being reassembled, in bytes, for all peers together.
    pub fn reassembly_bytes(&self) -> usize {
        self.peers.values().map(PeerState::reassembly_bytes).sum()
    }
}

fn decode_message(from: FrontId, bytes: &[u8]) -> Result<(FrontId, PeerMessage), DropReason> {
    let message = postcard::from_bytes(bytes).map_err(|_| DropReason::Undecodable)?;
    Ok((from, message))
}

/// The unauthenticated header of a datagram, for test networks that handle some kinds of messages differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeekedDatagram {
    /// The claimed sender.
    pub from: FrontId,
    /// The claimed receiver.
    pub to: FrontId,
    /// The kind of its message.
    pub kind: PeekedKind,
}

/// The kinds of messages that [`peek`] distinguishes, in the order of [`PeerMessage`]'s variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs, reason = "named as the variants of PeerMessage")]
pub enum PeekedKind {
    Gossip,
    VoterHello,
    Raft,
    LeaseRequest,
    LeaseResponse,
    NotLeader,
    RenewNow,
    SubmitCommand,
    CommandOutcome,
    /// One fragment of a longer message.
    Fragment,
}

impl PeekedKind {
    /// Indexed by the position of the variant in [`PeerMessage`].
    const BY_VARIANT: [PeekedKind; 9] = [
        PeekedKind::Gossip,
        PeekedKind::VoterHello,
        PeekedKind::Raft,
        PeekedKind::LeaseRequest,
        PeekedKind::LeaseResponse,
        PeekedKind::NotLeader,
        PeekedKind::RenewNow,
        PeekedKind::SubmitCommand,
        PeekedKind::CommandOutcome,
    ];
}

/// Reads a datagram's header without authentication; `None` if it can't be decoded, or for a kind of message that is
/// not distinguished.
pub fn peek(datagram: &[u8]) -> Option<PeekedDatagram> {
    let body = datagram.get(PREFIX_BYTES..)?;
    let (header, payload) = postcard::take_from_bytes::<Header>(body).ok()?;
    let kind = match header.fragment {
        Some(_) => PeekedKind::Fragment,
        None => *PeekedKind::BY_VARIANT.get(usize::from(*payload.first()?))?,
    };
    Some(PeekedDatagram { from: header.from, to: header.to, kind })
}
