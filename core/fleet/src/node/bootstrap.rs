//! Hello messages between voters: they exchange voter ids, start a new log, and detect a store that is not the latest.

use elmtide_budgets::{Clocks, FrontId};
use elmtide_consensus::voter::initial_snapshot;

use super::voting::{ActiveVoter, VoterState};
use super::{FleetNode, KnownVoter};
use crate::agreed_state::AgreedState;
use crate::message::{PeerMessage, VoterHello};
use crate::output::{Event, Output};

const HELLO_INTERVAL_TICKS: u64 = 5;

impl FleetNode {
    pub(super) fn tick_hellos(&mut self) {
        let votes = matches!(self.voting, VoterState::Active(_));
        if !votes || self.ticks % HELLO_INTERVAL_TICKS != 1 {
            return;
        }
        for to in self.other_voters() {
            let hello = self.hello(to);
            self.send(to, &PeerMessage::VoterHello(hello));
        }
    }

    fn hello(&self, to: FrontId) -> VoterHello {
        let seen_by_codec = self.codec.seen_incarnation(to);
        let VoterState::Active(active) = &self.voting else {
            return VoterHello {
                voter: None,
                has_log: false,
                seen_incarnation: seen_by_codec,
                needs_reply: false,
            };
        };
        let agreed = active.voter.state_machine().budgets.account(to);
        let agreed_incarnation = agreed.map_or(0, |account| account.latest_incarnation.0);
        VoterHello {
            voter: Some(active.voter.id()),
            has_log: active.has_log(),
            seen_incarnation: seen_by_codec.max(agreed_incarnation),
            needs_reply: active.probation.is_some(),
        }
    }

    pub(super) fn on_voter_hello(&mut self, from: FrontId, hello: VoterHello, now: Clocks) {
        let own_incarnation = self.holder().incarnation.0;
        if hello.seen_incarnation > own_incarnation {
            self.on_later_incarnation(hello.seen_incarnation);
            return;
        }
        if let Some(id) = hello.voter {
            self.known_voters.insert(from, KnownVoter { id, has_log: hello.has_log });
        }
        if hello.needs_reply {
            let reply = VoterHello { needs_reply: false, ..self.hello(from) };
            self.send(from, &PeerMessage::VoterHello(reply));
        }
        if hello.seen_incarnation == own_incarnation {
            self.record_confirmation(from);
        }
        self.end_probation();
        self.bootstrap_log();
        self.run_log(now);
    }

    /// A later incarnation of this front has run, so its store was the later one, and this store must not be used.
    fn on_later_incarnation(&mut self, seen_incarnation: u64) {
        if !matches!(self.voting, VoterState::Failed) {
            self.voting = VoterState::Failed;
            self.report_event(Event::StoreStale { seen_incarnation });
            self.outputs.push_back(Output::ResetStore);
        }
    }

    /// Records that another front has seen no later incarnation of this one.
    fn record_confirmation(&mut self, from: FrontId) {
        let VoterState::Active(active) = &mut self.voting else { return };
        if let Some(probation) = &mut active.probation {
            if !probation.confirmed_by.contains(&from) {
                probation.confirmed_by.push(from);
            }
        }
    }

    /// Ends the probation once enough voters have confirmed this incarnation; see [`FleetNode`].
    pub(super) fn end_probation(&mut self) {
        let voters: Vec<FrontId> = self.settings.voters().collect();
        let VoterState::Active(active) = &mut self.voting else { return };
        let Some(probation) = &active.probation else { return };
        let confirmations = probation.confirmed_by.iter().filter(|front| voters.contains(front)).count();
        let including_self = confirmations + 1;
        let is_majority = including_self * 2 > voters.len();
        if including_self >= voters.len() || (is_majority && self.ticks >= probation.ends_at_tick) {
            active.probation = None;
        }
    }

    /// Starts the log of a new installation, once all other voters have reported that they have no log either.
    pub(super) fn bootstrap_log(&mut self) {
        let others = self.other_voters();
        let VoterState::Active(active) = &mut self.voting else { return };
        let is_new = !active.has_log() && active.voter.term() == 0;
        if !is_new || active.bootstrapping.is_some() || active.syncing.is_some() {
            return;
        }
        let mut voters = vec![active.voter.id()];
        for front in others {
            match self.known_voters.get(&front) {
                Some(KnownVoter { id, has_log: false }) => voters.push(*id),
                _ => return,
            }
        }
        let first_snapshot = initial_snapshot::<AgreedState>(&voters);
        active.bootstrapping = Some(first_snapshot.clone());
        self.outputs.push_back(Output::SyncLog(first_snapshot));
    }

    /// The first snapshot is on stable storage. The voter starts with it, and the one with the lowest id campaigns at
    /// once.
    pub(super) fn finish_bootstrap(&mut self, mut bootstrapped: Box<ActiveVoter>) {
        let voters = bootstrapped.voter.voters().incoming;
        if voters.iter().min() == Some(&bootstrapped.voter.id()) {
            bootstrapped.voter.campaign();
        }
        self.report_event(Event::LogBootstrapped { voters: voters.len() });
        self.voting = VoterState::Active(bootstrapped);
    }
}
