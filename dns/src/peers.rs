//! How the other fronts are, asked of their own name servers: a TXT question for `_state` in the zone, answered
//! with one word and, of a front that serves, the part that it turns away.

use std::net::SocketAddr;

use elmtide_steering::{Condition, FrontId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::stub::{message, read_answer, Data, Said};
use crate::wire::Type;
use crate::Ms;

/// The label of the name that is asked for.
pub const LABEL: &[u8] = b"\x06_state";

/// What a front says of itself.
pub fn words(condition: Condition) -> String {
    match condition {
        Condition::Serving { shed } => format!("serving {shed:.3}"),
        Condition::NotReady => "not-ready".into(),
        Condition::Draining => "draining".into(),
    }
}

/// The other way round; what is not understood says nothing.
pub fn condition(words: &str) -> Option<Condition> {
    match words.split_once(' ') {
        None if words == "draining" => Some(Condition::Draining),
        None if words == "not-ready" => Some(Condition::NotReady),
        Some(("serving", shed)) => {
            let shed = shed.parse().ok().filter(|s| (0.0..=1.0).contains(s))?;
            Some(Condition::Serving { shed })
        }
        _ => None,
    }
}

#[derive(Debug)]
struct Peer {
    front: FrontId,
    at: SocketAddr,
    next: Ms,
    /// What is out; an answer to an older question is none.
    sent: Option<Vec<u8>>,
}

#[derive(Debug)]
pub struct Peers {
    peers: Vec<Peer>,
    name: Box<[u8]>,
    every: Ms,
    random: StdRng,
}

impl Peers {
    /// The peers' name servers, and how often each is asked.
    pub fn new(peers: &[(FrontId, SocketAddr)], origin: &[u8], every: Ms, seed: u64) -> Peers {
        let peers =
            peers.iter().map(|(front, at)| Peer { front: *front, at: *at, next: 0.0, sent: None }).collect();
        Peers { peers, name: [LABEL, origin].concat().into(), every, random: StdRng::seed_from_u64(seed) }
    }

    pub fn due(&self) -> Option<Ms> {
        self.peers.iter().map(|p| p.next).min_by(f64::total_cmp)
    }

    /// The next question to send.
    pub fn poll(&mut self, now: Ms) -> Option<(SocketAddr, Vec<u8>)> {
        let peer = self.peers.iter_mut().find(|p| p.next <= now)?;
        // Not all at the same moment, and not in step with the peers' own questions.
        peer.next = now + self.every * self.random.random_range(0.8..1.2);
        let bytes = message::question(self.random.random(), &self.name, Type::TXT, true, None);
        peer.sent = Some(bytes.clone());
        Some((peer.at, bytes))
    }

    /// What a peer says of itself; nothing where that is no answer to the last question.
    pub fn received(&mut self, from: SocketAddr, bytes: &[u8]) -> Option<(FrontId, Condition)> {
        let peer = self.peers.iter_mut().find(|p| p.at == from)?;
        let sent = peer.sent.as_ref().filter(|sent| message::matches(bytes, sent, true))?;
        let _ = sent;
        peer.sent = None;
        match read_answer(bytes, &self.name, Type::TXT) {
            Said::Answer(answer) => match answer.data.first() {
                Some(Data::Text(text)) => Some((peer.front, condition(std::str::from_utf8(text).ok()?)?)),
                _ => None,
            },
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_go_both_ways() {
        for said in [Condition::Draining, Condition::NotReady, Condition::Serving { shed: 0.125 }] {
            assert_eq!(condition(&words(said)), Some(said));
        }
        for bad in ["serving", "serving 2.0", "serving nan", "well", ""] {
            assert_eq!(condition(bad), None);
        }
    }
}
