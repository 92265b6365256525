//! Failure detector: tracks which fronts are alive, suspect or dead, using the SWIM protocol of the `foca` crate.
//!
//! **Invariant: a front sends at most [`ProbeSettings::max_datagrams_per_period`] datagrams per period, however many
//! fronts there are.** The reported liveness is only a hint: a stalled front is reported dead and may return. No lease
//! is granted, expired or taken over because of it; it only decides which front to ask first and what the status
//! shows. If no front answers, all others are reported dead, and nothing else changes.

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

/// Time of a monotonic clock, in microseconds.
pub type Micros = u64;

/// Periods between two announcements to configured fronts once all of them are known. Until then there is one
/// announcement per period.
const ANNOUNCE_INTERVAL_PERIODS: u64 = 20;

/// The liveness of a front, as seen by the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers probes.
    Alive,
    /// It did not answer a recent probe.
    #[serde(rename = "Suspected")]
    Suspect,
    /// It has not answered since it was suspected, or it has left.
    #[serde(rename = "Gone")]
    Dead,
}

impl Liveness {
    /// The name in status output.
    pub fn name(self) -> &'static str {
        match self {
            Liveness::Alive => "Alive",
            Liveness::Suspect => "Suspected",
            Liveness::Dead => "Gone",
        }
    }
}

/// What is known about a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its reported liveness.
    pub liveness: Liveness,
    /// The latest known incarnation.
    pub incarnation: u64,
    /// The number of its site in the configuration.
    pub site: u16,
}

/// A datagram for another front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The id of the receiving front.
    pub to: u64,
    /// The payload, at most [`MAX_DATAGRAM_BYTES`] long.
    pub bytes: Vec<u8>,
}

/// Collects the datagrams and timers that the `foca` crate requests.
#[derive(Default)]
struct RequestedActions {
    datagrams: Vec<OutgoingDatagram>,
    timers: Vec<(Timer<PeerIdentity>, Duration)>,
}

impl Runtime<PeerIdentity> for &mut RequestedActions {
    fn notify(&mut self, _: Notification<'_, PeerIdentity>) {}

    fn send_to(&mut self, to: PeerIdentity, data: &[u8]) {
        self.datagrams.push(OutgoingDatagram { to: to.front, bytes: data.to_vec() });
    }

    fn submit_after(&mut self, event: Timer<PeerIdentity>, after: Duration) {
        self.timers.push((event, after));
    }
}

type TimerId = u64;

/// The failure detector of one incarnation of a front. It performs no I/O: datagrams and the time are its inputs.
pub struct FailureDetector {
    foca: Foca<PeerIdentity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    timer_queue: BinaryHeap<Reverse<(Micros, TimerId)>>,
    timers: BTreeMap<TimerId, Timer<PeerIdentity>>,
    next_timer: TimerId,
    requested: RequestedActions,
    outgoing: Vec<OutgoingDatagram>,
    /// The other fronts of the configuration, to which this front announces itself in turn.
    configured: Vec<u64>,
    next_configured: usize,
    next_announcement: Micros,
    settings: ProbeSettings,
    own: PeerIdentity,
}

impl FailureDetector {
    /// Creates the detector. `configured` are the ids of all fronts of the configuration; runs with the same seed and
    /// inputs are identical.
    pub fn new(
        own: PeerIdentity,
        settings: ProbeSettings,
        configured: &[u64],
        seed: u64,
        now: Micros,
    ) -> FailureDetector {
        let foca = Foca::new(own, settings.foca_config(), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        let configured: Vec<u64> = configured.iter().copied().filter(|front| *front != own.front).collect();
        let next_configured =
            if configured.is_empty() { 0 } else { (seed % configured.len() as u64) as usize };
        FailureDetector {
            foca,
            timer_queue: BinaryHeap::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            requested: RequestedActions::default(),
            outgoing: Vec::new(),
            configured,
            next_configured,
            next_announcement: now,
            settings,
            own,
        }
    }

    fn collect_requested(&mut self, now: Micros) {
        let RequestedActions { datagrams, timers } = std::mem::take(&mut self.requested);
        self.outgoing.extend(datagrams);
        for (timer, after) in timers {
            let due = now + after.as_micros() as Micros;
            self.timer_queue.push(Reverse((due, self.next_timer)));
            self.timers.insert(self.next_timer, timer);
            self.next_timer += 1;
        }
    }

    /// Handles a datagram from another front. The caller has authenticated the sender.
    pub fn on_datagram(&mut self, bytes: &[u8], now: Micros) {
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            let _ = self.foca.handle_data(bytes, &mut self.requested);
            self.collect_requested(now);
        }
    }

    /// Fires the timers that are due and sends an announcement if one is due.
    pub fn advance_time(&mut self, now: Micros) {
        while let Some(Reverse((due, id))) = self.timer_queue.peek().copied() {
            if due > now {
                break;
            }
            self.timer_queue.pop();
            if let Some(timer) = self.timers.remove(&id) {
                let _ = self.foca.handle_timer(timer, &mut self.requested);
                self.collect_requested(now);
            }
        }
        if now >= self.next_announcement && !self.configured.is_empty() {
            self.announce_to_next(now);
        }
    }

    /// Announces this front to the next configured one. Fronts that have found each other may not have found the
    /// rest, so announcements continue, more slowly, even once all fronts are known.
    fn announce_to_next(&mut self, now: Micros) {
        let front = self.configured[self.next_configured % self.configured.len()];
        self.next_configured += 1;
        let all_known = self.foca.num_members() + 1 >= self.configured.len();
        let interval = if all_known { ANNOUNCE_INTERVAL_PERIODS } else { 1 };
        self.next_announcement = now + self.settings.period * interval;
        let _ = self.foca.announce(PeerIdentity::unknown(front), &mut self.requested);
        self.collect_requested(now);
    }

    /// The time at which [`FailureDetector::advance_time`] has to be called next.
    pub fn next_deadline(&self) -> Micros {
        let timer = self.timer_queue.peek().map_or(Micros::MAX, |Reverse((due, _))| *due);
        if self.configured.is_empty() {
            timer
        } else {
            timer.min(self.next_announcement)
        }
    }

    /// Takes the datagrams that are waiting to be sent.
    pub fn take_datagrams(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Announces that this front is leaving, so that the others need not detect its absence first.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.foca.leave_cluster(&mut self.requested);
        self.collect_requested(now);
    }

    /// The status of every known front, including this one.
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
