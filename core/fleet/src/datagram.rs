//! Datagrams: each names its version, carries the installation's MAC over all the rest, and is accepted once.
//!
//! The length is checked first, then the version, then the MAC; only then is anything decoded. A message that is longer than a
//! datagram is fragmented; of each peer one message is reassembled at a time.

mod fragments;
mod replay;

use std::collections::BTreeMap;

use elmtide_budgets::FrontId;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::message::PeerMessage;
use fragments::{Fragment, Reassembly};
use replay::ReplayWindow;

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1432;
/// Longest part of a message in one datagram, in bytes.
const MAX_FRAGMENT_BYTES: usize = 1280;
/// Longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 512 << 10;
/// Bytes of the messages that are being reassembled, of all peers together.
const MAX_REASSEMBLY_BYTES: usize = 8 << 20;
const MAGIC_BYTE: u8 = 0xE7;
/// Version of the datagrams that this program sends and accepts.
pub const VERSION: u8 = 1;
const TAG_BYTES: usize = 16;
/// Magic byte, version and tag.
const PREFIX_BYTES: usize = 2 + TAG_BYTES;
/// Room for an encoded header.
const HEADER_CAPACITY: usize = 64;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// None of ours by its length or first byte.
    NotOurs,
    /// Of a version that this program does not know.
    UnknownVersion,
    /// Of another installation, forged or corrupted.
    WrongMac,
    /// For another front, or from one that is not configured.
    WrongFront,
    /// Accepted before, too old, or of an earlier incarnation.
    Replayed,
    /// The MAC is right, but the content can't be decoded.
    Undecodable,
}

impl DropReason {
    /// Its name in status output.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::NotOurs => "Strange",
            DropReason::UnknownVersion => "Version",
            DropReason::WrongMac => "Mac",
            DropReason::WrongFront => "Elsewhere",
            DropReason::Replayed => "Replayed",
            DropReason::Undecodable => "Unread",
        }
    }
}

#[derive(Serialize, Deserialize)]
struct Header {
    from: FrontId,
    to: FrontId,
    incarnation: u64,
    counter: u64,
    fragment: Option<Fragment>,
}

/// What was received of one front.
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

/// Encodes and decodes the datagrams of one incarnation of a front.
pub struct DatagramCodec {
    /// Keyed, with the installation's name already in it.
    mac: Hmac<Sha256>,
    own: FrontId,
    incarnation: u64,
    counter: u64,
    next_message: u32,
    /// Only fronts that are configured.
    peers: BTreeMap<FrontId, PeerState>,
    /// Datagrams that were dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

impl DatagramCodec {
    /// The key is the installation's, and its name goes into every MAC.
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
            peers: peers.collect(),
            dropped: BTreeMap::new(),
        }
    }

    /// The highest incarnation that was seen of a front since the start.
    pub fn seen_incarnation(&self, front: FrontId) -> u64 {
        self.peers.get(&front).map_or(0, |peer| peer.window.incarnation())
    }

    fn mac_of(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(&[VERSION]);
        mac.update(body);
        mac
    }

    /// The datagrams that carry a message to a front; none for a message that is too long.
    pub fn encode(&mut self, to: FrontId, message: &PeerMessage) -> Vec<Vec<u8>> {
        let Ok(bytes) = postcard::to_allocvec(message) else { return Vec::new() };
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Vec::new();
        }
        let count = bytes.len().div_ceil(MAX_FRAGMENT_BYTES).max(1);
        let message = self.next_message;
        self.next_message = self.next_message.wrapping_add(1);
        let fragment = |index: usize| Fragment { message, index: index as u16, count: count as u16 };
        let parts = bytes.chunks(MAX_FRAGMENT_BYTES).enumerate();
        parts
            .filter_map(|(index, part)| self.encode_one(to, (count > 1).then(|| fragment(index)), part))
            .collect()
    }

    fn encode_one(&mut self, to: FrontId, fragment: Option<Fragment>, part: &[u8]) -> Option<Vec<u8>> {
        self.counter += 1;
        let header =
            Header { from: self.own, to, incarnation: self.incarnation, counter: self.counter, fragment };
        let body = postcard::to_extend(&header, Vec::with_capacity(MAX_FRAGMENT_BYTES + HEADER_CAPACITY));
        let body = [&body.ok()?[..], part].concat();
        let tag = self.mac_of(&body).finalize().into_bytes();
        Some([&[MAGIC_BYTE, VERSION][..], &tag[..TAG_BYTES], &body].concat())
    }

    /// The message of a datagram, with its sender; `None` for a dropped datagram, or while fragments are missing.
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
        let (header, part) =
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
        let Some(fragment) = header.fragment else { return decode_message(header.from, part).map(Some) };
        let message = self.reassemble(header.from, fragment, part)?;
        message.map(|message| decode_message(header.from, &message)).transpose()
    }

    /// The body of a datagram whose length, version and MAC are right.
    fn authenticate<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], DropReason> {
        let is_length_possible = datagram.len() > PREFIX_BYTES && datagram.len() <= MAX_DATAGRAM_BYTES;
        if !is_length_possible || datagram[0] != MAGIC_BYTE {
            return Err(DropReason::NotOurs);
        }
        if datagram[1] != VERSION {
            return Err(DropReason::UnknownVersion);
        }
        let (tag, body) = datagram[2..].split_at(TAG_BYTES);
        self.mac_of(body).verify_truncated_left(tag).map_err(|_| DropReason::WrongMac)?;
        Ok(body)
    }

    /// Adds a fragment; gives the whole message once it is complete.
    fn reassemble(
        &mut self,
        from: FrontId,
        fragment: Fragment,
        part: &[u8],
    ) -> Result<Option<Vec<u8>>, DropReason> {
        let max_fragments = MAX_MESSAGE_BYTES.div_ceil(MAX_FRAGMENT_BYTES);
        if !fragment.is_valid(max_fragments) || part.len() > MAX_FRAGMENT_BYTES {
            return Err(DropReason::Undecodable);
        }
        let Some(peer) = self.peers.get_mut(&from) else { return Ok(None) };
        if peer.reassembly.as_ref().is_none_or(|reassembly| !reassembly.is_of(fragment)) {
            peer.reassembly = Some(Reassembly::new(fragment));
        }
        let reassembled: usize = self.peers.values().map(PeerState::reassembly_bytes).sum();
        let Some(peer) = self.peers.get_mut(&from) else { return Ok(None) };
        if reassembled + part.len() > MAX_REASSEMBLY_BYTES {
            peer.reassembly = None;
            return Err(DropReason::Undecodable);
        }
        let Some(reassembly) = &mut peer.reassembly else { return Ok(None) };
        reassembly.add(fragment, part);
        if !reassembly.is_complete() {
            return Ok(None);
        }
        Ok(peer.reassembly.take().map(Reassembly::into_message))
    }

    /// Bytes of the messages that are being reassembled, of all peers together.
    pub fn reassembly_bytes(&self) -> usize {
        self.peers.values().map(PeerState::reassembly_bytes).sum()
    }
}

fn decode_message(from: FrontId, bytes: &[u8]) -> Result<(FrontId, PeerMessage), DropReason> {
    let message = postcard::from_bytes(bytes).map_err(|_| DropReason::Undecodable)?;
    Ok((from, message))
}

/// What a datagram says it is, without authentication: for stand-ins of the network that act on a kind of message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeekedDatagram {
    /// The sender that it names.
    pub from: FrontId,
    /// The receiver that it names.
    pub to: FrontId,
    /// The kind of its message.
    pub kind: PeekedKind,
}

/// The kinds of messages that [`peek`] tells apart, in the order of [`PeerMessage`]'s variants.
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

/// Reads what a datagram says it is; `None` for one that can't be read, or of a kind that is not told apart.
pub fn peek(datagram: &[u8]) -> Option<PeekedDatagram> {
    let body = datagram.get(PREFIX_BYTES..)?;
    let (header, part) = postcard::take_from_bytes::<Header>(body).ok()?;
    let kind = match header.fragment {
        Some(_) => PeekedKind::Fragment,
        None => *PeekedKind::BY_VARIANT.get(usize::from(*part.first()?))?,
    };
    Some(PeekedDatagram { from: header.from, to: header.to, kind })
}
