//! Telling secondaries that the zone has changed (RFC 1996): asked again until they answer, for a while.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::query::{Header, Query};
use crate::time::Now;
use crate::tsig::{Key, Signer};
use crate::wire::Rcode;
use crate::Ms;

/// Waits between the notices to one secondary, in milliseconds (section 3.6 suggests longer ones; ours has a TTL of 1 s).
const WAITS: [Ms; 6] = [500.0, 1000.0, 2000.0, 4000.0, 8000.0, 16_000.0];
const OPCODE: u8 = 4;

#[derive(Debug)]
struct Secondary {
    at: SocketAddr,
    /// The notice that is out: its id, its signature, how often it was sent, when it is sent next.
    out: Option<(u16, Option<Signer>, usize, Ms)>,
}

/// The end of a notice, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Heard(SocketAddr),
    /// It has heard, and won't: the response code.
    Declined(SocketAddr, Rcode),
    /// It has not answered the last notice either.
    Silent(SocketAddr),
}

#[derive(Debug)]
pub struct Notifier {
    secondaries: Vec<Secondary>,
    key: Option<Arc<Key>>,
    /// The zone and the SOA that a notice holds.
    origin: Box<[u8]>,
    soa: Box<[u8]>,
    ttl: u32,
    random: StdRng,
}

impl Notifier {
    pub fn new(secondaries: &[SocketAddr], key: Option<Arc<Key>>, seed: u64) -> Notifier {
        let secondaries = secondaries.iter().map(|at| Secondary { at: *at, out: None }).collect();
        let random = StdRng::seed_from_u64(seed);
        Notifier { secondaries, key, origin: Box::default(), soa: Box::default(), ttl: 0, random }
    }

    /// The zone has changed: everyone is told anew.
    pub fn changed(&mut self, origin: &[u8], soa: &[u8], ttl: u32, now: Ms) {
        (self.origin, self.soa, self.ttl) = (origin.into(), soa.into(), ttl);
        for secondary in &mut self.secondaries {
            secondary.out = Some((self.random.random(), None, 0, now));
        }
    }

    /// When [`Notifier::poll`] has something to do.
    pub fn due(&self) -> Option<Ms> {
        self.secondaries.iter().filter_map(|s| s.out.as_ref().map(|o| o.3)).min_by(f64::total_cmp)
    }

    /// The next notice to send, or a secondary that is given up.
    pub fn poll(&mut self, now: impl Into<Now>) -> Option<Result<(SocketAddr, Vec<u8>), Ended>> {
        let Now { steady: now, unix_s } = now.into();
        let (origin, soa, ttl, key) = (&self.origin, &self.soa, self.ttl, &self.key);
        for secondary in &mut self.secondaries {
            let Some((id, signer, sent, next)) = &mut secondary.out else { continue };
            if *next > now {
                continue;
            }
            let Some(wait) = WAITS.get(*sent) else {
                secondary.out = None;
                return Some(Err(Ended::Silent(secondary.at)));
            };
            let mut bytes = id.to_be_bytes().to_vec();
            // AA, as section 3.7 has it; one question and its answer, the SOA.
            bytes.extend([OPCODE << 3 | 4, 0, 0, 1, 0, 1, 0, 0, 0, 0]);
            bytes.extend_from_slice(origin);
            bytes.extend([0, 6, 0, 1, 0xC0, 12, 0, 6, 0, 1]);
            bytes.extend(ttl.to_be_bytes());
            bytes.extend((soa.len() as u16).to_be_bytes());
            bytes.extend_from_slice(soa);
            if let Some(key) = key {
                let mut signing = Signer::request(key.clone());
                signing.sign(&mut bytes, unix_s);
                signing.expects_first();
                *signer = Some(signing);
            }
            *sent += 1;
            *next = now + wait;
            return Some(Ok((secondary.at, bytes)));
        }
        None
    }

    /// What a secondary has answered; what is no answer to a notice of ours is passed over.
    pub fn received(&mut self, from: SocketAddr, bytes: &[u8], now: impl Into<Now>) -> Option<Ended> {
        let Now { unix_s, .. } = now.into();
        let header = Header::read(bytes)?;
        let secondary = self.secondaries.iter_mut().find(|s| s.at == from)?;
        let (id, signer, ..) = secondary.out.as_mut()?;
        if !header.is_response || header.opcode != OPCODE || header.id != *id {
            return None;
        }
        let query = Query::read(bytes, &header).ok()?;
        if let Some(signer) = signer {
            let mut signer = signer.clone();
            if !signer.check(bytes, query.tsig?, unix_s) {
                return None;
            }
        }
        secondary.out = None;
        match Rcode(u16::from(bytes[3] & 0xF)) {
            Rcode::NOERROR => Some(Ended::Heard(from)),
            other => Some(Ended::Declined(from, other)),
        }
    }
}
