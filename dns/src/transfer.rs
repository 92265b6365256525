//! Handing the zone on: whole (AXFR, RFC 5936) or by what has changed (IXFR, RFC 1995).

use std::collections::VecDeque;
use std::sync::Arc;

use crate::tsig::Signer;
use crate::wire::{serial_later, Type, HEADER};
use crate::zone::{Plain, Zone};

/// Changes remembered, and records in them, in all.
const VERSIONS: usize = 16;
const RECORDS: usize = 20_000;
/// A message is filled up to here, so that other answers of the connection find their turn.
const FILL: usize = 16_000;

/// One step from a version to the next.
#[derive(Clone, Debug)]
struct Step {
    from: u32,
    from_soa: Box<[u8]>,
    to: u32,
    to_soa: Box<[u8]>,
    removed: Arc<[Plain]>,
    added: Arc<[Plain]>,
}

/// The changes of late, the newest last.
#[derive(Clone, Debug, Default)]
pub struct History(VecDeque<Step>);

impl History {
    /// The history with one more change; what is too much is forgotten, the oldest first.
    pub fn with(&self, old: &Zone, new: &Zone) -> History {
        let mut steps = self.0.clone();
        if old.origin != new.origin {
            return History::default();
        }
        if old.serial != new.serial {
            steps.push_back(Step {
                from: old.serial,
                from_soa: old.soa.bytes.clone(),
                to: new.serial,
                to_soa: new.soa.bytes.clone(),
                removed: old.plain.difference(&new.plain).cloned().collect(),
                added: new.plain.difference(&old.plain).cloned().collect(),
            });
        }
        let records =
            |steps: &VecDeque<Step>| steps.iter().map(|s| s.removed.len() + s.added.len()).sum::<usize>();
        while steps.len() > VERSIONS || records(&steps) > RECORDS {
            steps.pop_front();
        }
        History(steps)
    }

    /// The steps from this version to the newest.
    fn since(&self, serial: u32) -> Option<impl Iterator<Item = &Step>> {
        let at = self.0.iter().position(|s| s.from == serial)?;
        Some(self.0.iter().skip(at))
    }
}

#[derive(Clone, Debug)]
enum Part {
    Soa(Box<[u8]>),
    Records(Arc<[Plain]>),
}

/// A transfer under way: each call makes its next message. It has one version of the zone whole, whatever comes
/// into force meanwhile.
#[derive(Debug)]
pub struct Transfer {
    id: u16,
    question: Box<[u8]>,
    origin: Box<[u8]>,
    ttl: u32,
    parts: VecDeque<Part>,
    at: usize,
    signer: Option<Signer>,
}

impl Transfer {
    pub fn whole(id: u16, question: &[u8], zone: &Zone, signer: Option<Signer>) -> Transfer {
        let soa = Part::Soa(zone.soa.bytes.clone());
        let records = Part::Records(zone.plain.iter().cloned().collect());
        let parts = VecDeque::from([soa.clone(), records, soa]);
        Transfer {
            id,
            question: question.into(),
            origin: zone.origin.clone(),
            ttl: zone.ttl,
            parts,
            at: 0,
            signer,
        }
    }

    /// What has changed since `have`: one SOA where nothing has, the whole zone where it is no longer known.
    pub fn changes(
        id: u16,
        question: &[u8],
        zone: &Zone,
        history: &History,
        have: u32,
        signer: Option<Signer>,
    ) -> Transfer {
        let mut transfer = Transfer::whole(id, question, zone, signer);
        let soa = Part::Soa(zone.soa.bytes.clone());
        if have == zone.serial || serial_later(have, zone.serial) {
            transfer.parts = VecDeque::from([soa]);
        } else if let Some(steps) = history.since(have) {
            let mut parts = VecDeque::from([soa.clone()]);
            for step in steps {
                debug_assert!(serial_later(step.to, step.from));
                parts.push_back(Part::Soa(step.from_soa.clone()));
                parts.push_back(Part::Records(step.removed.clone()));
                parts.push_back(Part::Soa(step.to_soa.clone()));
                parts.push_back(Part::Records(step.added.clone()));
            }
            parts.push_back(soa);
            transfer.parts = parts;
        }
        transfer
    }

    /// Writes the next message; false once there is none. A message has one record at least.
    pub fn next(&mut self, out: &mut Vec<u8>, now_s: u64) -> bool {
        if self.parts.is_empty() {
            return false;
        }
        out.clear();
        out.extend(self.id.to_be_bytes());
        // A response with AA; the counts follow.
        out.extend([0x84, 0, 0, 1, 0, 0, 0, 0, 0, 0]);
        out.extend_from_slice(&self.question);
        let mut count = 0u16;
        while out.len() < FILL {
            match self.parts.front() {
                None => break,
                Some(Part::Soa(data)) => {
                    record(out, &self.origin, &self.origin, Type::SOA, self.ttl, data);
                    self.parts.pop_front();
                }
                Some(Part::Records(records)) => match records.get(self.at) {
                    Some(plain) => {
                        record(out, &self.origin, &plain.owner, plain.kind, plain.ttl, &plain.rdata);
                        self.at += 1;
                    }
                    None => {
                        self.at = 0;
                        self.parts.pop_front();
                        continue;
                    }
                },
            }
            count += 1;
        }
        out[6..8].copy_from_slice(&count.to_be_bytes());
        if let Some(signer) = &mut self.signer {
            signer.sign(out, now_s);
        }
        true
    }
}

/// A record; of the owner the part that is the zone's name points to the question.
fn record(out: &mut Vec<u8>, origin: &[u8], owner: &[u8], kind: Type, ttl: u32, data: &[u8]) {
    let own = owner.len() - origin.len();
    out.extend_from_slice(&owner[..own]);
    out.extend((0xC000 | HEADER as u16).to_be_bytes());
    out.extend(kind.0.to_be_bytes());
    out.extend([0, 1]);
    out.extend(ttl.to_be_bytes());
    out.extend((data.len() as u16).to_be_bytes());
    out.extend_from_slice(data);
}
