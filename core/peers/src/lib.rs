//! Failure detector: which fronts are alive, suspect or dead, by the `foca` crate (SWIM).
//!
//! **Invariant: one front sends at most [`ProbeSettings::max_datagrams_per_period`] datagrams a period, however many fronts there
//! are.** What is reported is a hint: a stalled front is 'dead' and comes back. No lease is granted, expired or taken over by it;
//! it only says whom to ask first and what to show. If nobody answers, everyone is 'dead', and nothing else changes.

#![warn(clippy::needless_pass_by_value, clippy::too_many_lines, clippy::fn_params_excessive_bools)]

mod identity;
mod settings;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use foca::{Foca, Member, NoCustomBroadcast, Notification, PostcardCodec, Runtime, State, Timer};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

pub use identity::PeerIdentity;
pub use settings::{ProbeSettings, MAX_DATAGRAM_BYTES};

/// Microseconds of a clock that does not go back.
pub type Micros = u64;

/// Periods between two announcements to listed fronts once all of them are known; one each period until then.
const ANNOUNCE_INTERVAL_PERIODS: u64 = 20;

/// How a front seems to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It did not answer the last probe.
    #[serde(rename = "Suspected")]
    Suspect,
    /// It has not answered for long, or has left.
    #[serde(rename = "Gone")]
    Dead,
}

impl Liveness {
    /// Its name in status output.
    pub fn name(self) -> &'static str {
        match self {
            Liveness::Alive => "Alive",
            Liveness::Suspect => "Suspected",
            Liveness::Dead => "Gone",
        }
    }
}

/// What is known of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// How it seems to be.
    pub liveness: Liveness,
    /// The latest incarnation that was seen.
    pub incarnation: u64,
    /// Where it is.
    pub site: u16,
}

/// A datagram for another front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The front that it is for.
    pub to: u64,
    /// At most [`MAX_DATAGRAM_BYTES`].
    pub bytes: Vec<u8>,
}

/// What the `foca` crate wants done, collected.
#[derive(Default)]
struct PendingActions {
    datagrams: Vec<OutgoingDatagram>,
    timers: Vec<(Timer<PeerIdentity>, Duration)>,
}

impl Runtime<PeerIdentity> for &mut PendingActions {
    fn notify(&mut self, _: Notification<'_, PeerIdentity>) {}

    fn send_to(&mut self, to: PeerIdentity, data: &[u8]) {
        self.datagrams.push(OutgoingDatagram { to: to.front, bytes: data.to_vec() });
    }

    fn submit_after(&mut self, event: Timer<PeerIdentity>, after: Duration) {
        self.timers.push((event, after));
    }
}

type TimerId = u64;

/// The failure detector of one incarnation of a front. It does no I/O: datagrams and the clock are inputs.
pub struct FailureDetector {
    foca: Foca<PeerIdentity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    timer_queue: BinaryHeap<Reverse<(Micros, TimerId)>>,
    timers: BTreeMap<TimerId, Timer<PeerIdentity>>,
    next_timer: TimerId,
    pending: PendingActions,
    outgoing: Vec<OutgoingDatagram>,
    /// The other fronts of the configuration, announced to in turns.
    listed: Vec<u64>,
    next_listed: usize,
    announce_at: Micros,
    settings: ProbeSettings,
    own: PeerIdentity,
}

impl FailureDetector {
    /// `listed` are all fronts of the configuration; the same seed gives the same run.
    pub fn new(
        own: PeerIdentity,
        settings: ProbeSettings,
        listed: &[u64],
        seed: u64,
        now: Micros,
    ) -> FailureDetector {
        let foca = Foca::new(own, settings.foca_config(), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        let listed: Vec<u64> = listed.iter().copied().filter(|front| *front != own.front).collect();
        let next_listed = if listed.is_empty() { 0 } else { (seed % listed.len() as u64) as usize };
        FailureDetector {
            foca,
            timer_queue: BinaryHeap::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            pending: PendingActions::default(),
            outgoing: Vec::new(),
            listed,
            next_listed,
            announce_at: now,
            settings,
            own,
        }
    }

    fn collect_pending(&mut self, now: Micros) {
        let PendingActions { datagrams, timers } = std::mem::take(&mut self.pending);
        self.outgoing.extend(datagrams);
        for (timer, after) in timers {
            let due = now + after.as_micros() as Micros;
            self.timer_queue.push(Reverse((due, self.next_timer)));
            self.timers.insert(self.next_timer, timer);
            self.next_timer += 1;
        }
    }

    /// Takes a datagram of another front, whose sender has been authenticated.
    pub fn on_datagram(&mut self, bytes: &[u8], now: Micros) {
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            let _ = self.foca.handle_data(bytes, &mut self.pending);
            self.collect_pending(now);
        }
    }

    /// Fires the timers that are due.
    pub fn advance_time(&mut self, now: Micros) {
        while let Some(Reverse((due, id))) = self.timer_queue.peek().copied() {
            if due > now {
                break;
            }
            self.timer_queue.pop();
            if let Some(timer) = self.timers.remove(&id) {
                let _ = self.foca.handle_timer(timer, &mut self.pending);
                self.collect_pending(now);
            }
        }
        if now >= self.announce_at && !self.listed.is_empty() {
            self.announce_to_next(now);
        }
    }

    /// Announces this front to the next one of the list. Two that found each other may not have found the others, so this goes
    /// on, more slowly once all are known.
    fn announce_to_next(&mut self, now: Micros) {
        let front = self.listed[self.next_listed % self.listed.len()];
        self.next_listed += 1;
        let all_known = self.foca.num_members() + 1 >= self.listed.len();
        let interval = if all_known { ANNOUNCE_INTERVAL_PERIODS } else { 1 };
        self.announce_at = now + self.settings.period * interval;
        let _ = self.foca.announce(PeerIdentity::unknown(front), &mut self.pending);
        self.collect_pending(now);
    }

    /// When [`FailureDetector::advance_time`] has to be called next.
    pub fn next_deadline(&self) -> Micros {
        let timer = self.timer_queue.peek().map_or(Micros::MAX, |Reverse((due, _))| *due);
        if self.listed.is_empty() {
            timer
        } else {
            timer.min(self.announce_at)
        }
    }

    /// Takes the datagrams that are to be sent.
    pub fn take_datagrams(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Announces that this front leaves, so that the others need not miss it first.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.foca.leave_cluster(&mut self.pending);
        self.collect_pending(now);
    }

    /// Every front that has been seen, and this one itself.
    pub fn members(&self) -> BTreeMap<u64, MemberStatus> {
        let mut members: BTreeMap<u64, MemberStatus> =
            self.foca.iter_membership_state().map(|member| (member.id().front, status_of(member))).collect();
        let PeerIdentity { incarnation, site, .. } = self.own;
        let own = MemberStatus { liveness: Liveness::Alive, incarnation, site };
        members.insert(self.own.front, own);
        members
    }
}

fn status_of(member: &Member<PeerIdentity>) -> MemberStatus {
    let liveness = match member.state() {
        State::Alive => Liveness::Alive,
        State::Suspect => Liveness::Suspect,
        State::Down => Liveness::Dead,
    };
    MemberStatus { liveness, incarnation: member.id().incarnation, site: member.id().site }
}
