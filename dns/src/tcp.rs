//! DNS over TCP (RFC 7766) without the sockets: framing, bounds and time limits of one connection, and which
//! connection makes room for a new one.

use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

use crate::answer::Reaction;
use crate::time::Now;
use crate::transfer::Transfer;
use crate::Ms;

/// Limits of connections, in all and of each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub connections: usize,
    /// Of one client address.
    pub per_client: usize,
    /// A connection without a question for so long is closed (RFC 7766, section 6.2.3).
    pub idle: Ms,
    /// A question is whole within so long of its first byte.
    pub whole: Ms,
    /// Something of an answer is taken in at least so often.
    pub stalled: Ms,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { connections: 256, per_client: 128, idle: 10_000.0, whole: 2000.0, stalled: 5000.0 }
    }
}

/// A connection with so much to be taken in is asked nothing further.
const QUEUE: usize = 128 * 1024;
/// Transfers that wait on one connection.
const TRANSFERS: usize = 2;
/// Read ahead of what is answered.
const READ_AHEAD: usize = 2 + 65_535;

/// What becomes of a connection after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Goes,
    /// Its client has broken the protocol, or is done.
    Close,
}

#[derive(Debug)]
pub struct Connection {
    pub client: IpAddr,
    input: Vec<u8>,
    /// How much of the input has been answered.
    used: usize,
    output: Vec<u8>,
    written: usize,
    transfers: VecDeque<Transfer>,
    limits: Limits,
    active: Ms,
    begun: Option<Ms>,
    blocked: Option<Ms>,
    /// The client sends no more.
    finished: bool,
}

impl Connection {
    pub fn new(client: IpAddr, limits: Limits, now: Ms) -> Connection {
        Connection {
            client,
            input: Vec::new(),
            used: 0,
            output: Vec::new(),
            written: 0,
            transfers: VecDeque::new(),
            limits,
            active: now,
            begun: None,
            blocked: None,
            finished: false,
        }
    }

    /// Whether more may be read: what is there has to be answered and taken in first.
    pub fn reads(&self) -> bool {
        !self.finished && self.pending().len() < QUEUE && self.input.len() - self.used < READ_AHEAD
    }

    /// Bytes have come; none is the end of what the client sends.
    pub fn received(&mut self, bytes: &[u8], now: Ms) {
        if bytes.is_empty() {
            self.finished = true;
            return;
        }
        if self.used > 0 {
            self.input.drain(..self.used);
            self.used = 0;
        }
        if self.input.is_empty() {
            self.begun = Some(now);
        }
        self.input.extend_from_slice(bytes);
    }

    /// Answers what is whole, questions before the rest of transfers, as far as there is room.
    pub fn serve(
        &mut self,
        scratch: &mut Vec<u8>,
        now: impl Into<Now>,
        mut answer: impl FnMut(&[u8], &mut Vec<u8>) -> Reaction,
    ) -> Next {
        let Now { steady: now, unix_s } = now.into();
        while self.pending().len() < QUEUE {
            let rest = &self.input[self.used..];
            let length = match rest {
                [a, b, ..] => usize::from(u16::from_be_bytes([*a, *b])),
                _ => 0,
            };
            if rest.len() >= 2 && rest.len() >= 2 + length {
                let message = &rest[2..2 + length];
                let reaction = answer(message, scratch);
                self.used += 2 + length;
                (self.active, self.begun) = (now, (self.input.len() > self.used).then_some(now));
                match reaction {
                    Reaction::Reply => frame(&mut self.output, scratch),
                    Reaction::Transfer(transfer) if self.transfers.len() < TRANSFERS => {
                        self.transfers.push_back(*transfer);
                    }
                    // What may not be answered (no header, an answer) is no client of ours; and one that asks for a
                    // third transfer while two are under way.
                    Reaction::Silence | Reaction::Transfer(_) => return Next::Close,
                }
            } else if let Some(transfer) = self.transfers.front_mut() {
                match transfer.next(scratch, unix_s) {
                    true => {
                        frame(&mut self.output, scratch);
                        self.active = now;
                    }
                    false => drop(self.transfers.pop_front()),
                }
            } else {
                break;
            }
        }
        if self.used == self.input.len() {
            self.input.clear();
            self.used = 0;
            // A large question is not remembered in memory.
            self.input.shrink_to(4096);
        }
        if self.pending().is_empty() {
            self.blocked = None;
        } else if self.blocked.is_none() {
            self.blocked = Some(now);
        }
        match self.finished && self.pending().is_empty() && self.transfers.is_empty() {
            true => Next::Close,
            false => Next::Goes,
        }
    }

    /// What is to be written.
    pub fn pending(&self) -> &[u8] {
        &self.output[self.written..]
    }

    /// So much has been written.
    pub fn wrote(&mut self, bytes: usize, now: Ms) {
        self.written += bytes;
        self.active = now;
        self.blocked = (self.written < self.output.len()).then_some(now);
        if self.written == self.output.len() {
            self.output.clear();
            self.output.shrink_to(8192);
            self.written = 0;
        }
    }

    /// Nothing is begun and nothing owed: it can be done without.
    pub fn is_idle(&self) -> bool {
        self.input.len() == self.used && self.pending().is_empty() && self.transfers.is_empty()
    }

    /// It is closed then, whatever has come of it.
    pub fn due(&self) -> Ms {
        let ends = [
            self.begun.map(|b| b + self.limits.whole),
            self.blocked.map(|b| b + self.limits.stalled),
            self.is_idle().then_some(self.active + self.limits.idle),
        ];
        ends.into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    /// Bytes that it holds.
    pub fn held(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }
}

fn frame(output: &mut Vec<u8>, message: &[u8]) {
    output.extend((message.len() as u16).to_be_bytes());
    output.extend_from_slice(message);
}

/// The connections that are open, by a number of the caller's.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    connections: BTreeMap<u64, Connection>,
    clients: BTreeMap<IpAddr, usize>,
}

/// Whether a new connection has come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    Yes,
    /// In the place of this one, which is to be closed.
    Instead(u64),
    No,
}

impl Table {
    pub fn new(limits: Limits) -> Table {
        Table { limits, connections: BTreeMap::new(), clients: BTreeMap::new() }
    }

    /// Takes a new connection in. Where there is no room the connection idle for longest makes it: of the same
    /// client if that has its share, else of any; then one that has begun a question and not brought it.
    pub fn admit(&mut self, id: u64, client: IpAddr, now: Ms) -> Admitted {
        let own = self.clients.get(&client).copied().unwrap_or(0);
        let crowded = own >= self.limits.per_client;
        let mut admitted = Admitted::Yes;
        if crowded || self.connections.len() >= self.limits.connections {
            let may = |c: &Connection| {
                (!crowded || c.client == client) && c.pending().is_empty() && c.transfers.is_empty()
            };
            let oldest = (self.connections.iter()).filter(|(_, c)| may(c)).min_by(|(_, a), (_, b)| {
                (!a.is_idle()).cmp(&!b.is_idle()).then(a.active.total_cmp(&b.active))
            });
            let Some((victim, _)) = oldest else { return Admitted::No };
            let victim = *victim;
            self.remove(victim);
            admitted = Admitted::Instead(victim);
        }
        self.connections.insert(id, Connection::new(client, self.limits, now));
        *self.clients.entry(client).or_insert(0) += 1;
        admitted
    }

    /// Limits for connections to come.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    pub fn get(&mut self, id: u64) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    pub fn remove(&mut self, id: u64) {
        let Some(gone) = self.connections.remove(&id) else { return };
        if let Some(count) = self.clients.get_mut(&gone.client) {
            *count -= 1;
            if *count == 0 {
                self.clients.remove(&gone.client);
            }
        }
    }

    /// Those whose time is up.
    pub fn overdue(&self, now: Ms) -> Vec<u64> {
        self.connections.iter().filter(|(_, c)| c.due() <= now).map(|(id, _)| *id).collect()
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Bytes that all of them hold.
    pub fn held(&self) -> usize {
        self.connections.values().map(Connection::held).sum()
    }
}
