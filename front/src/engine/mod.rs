//! The engine: one thread that owns all routing decisions. Events arrive on a channel and actions go out; the next
//! timer is the timeout of the receive. The engine does no I/O and never blocks on a peer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use elmtide::{Action, Event, MemberId, Ms, Outcome, ProcessShare, Settings};

mod admission;
mod attempts;
pub mod budget_client;
mod cells;
mod drain;
mod endpoint_set;
mod endpoints;
mod fleet_report;
pub mod maintenance_client;
mod reconfigure;
mod router_knowledge;
mod routers;
mod timers;

use self::budget_client::BudgetClient;
use self::cells::CellRouting;
use self::maintenance_client::MaintenanceClient;
use self::router_knowledge::RouterKnowledge;
use self::routers::{RouterScope, RouterSet, RouterSpec};
use self::timers::{
    Timer, TimerQueue, CONNECTION_CHECK_INTERVAL_MS, FLEET_REPORT_INTERVAL_MS, SWEEP_INTERVAL_MS,
};
use crate::exchange::{
    AttemptEnd, AttemptKey, CellsChange, Input, ListSource, MembersUpdate, Reconfiguration, Upstream,
};
use crate::memory::announced::Announced;
use crate::memory::counters::Counters;
use crate::memory::exchanges::Exchanges;
use crate::memory::failing::Failing;
use crate::memory::request_queue::RequestQueue;
use crate::process::clock;
use elmtide_budgets::Priority;

/// Owns the routers and all state that their decisions need.
pub struct Engine<U> {
    routers: RouterSet,
    /// What every router must know.
    knowledge: RouterKnowledge,
    cells: Option<Box<CellRouting>>,
    settings: Settings,
    seed: u64,
    upstream: U,
    exchanges: Exchanges,
    timers: TimerQueue,
    /// Attempts that the engine ended itself, not a connection; processed after each input.
    ended_attempts: VecDeque<(AttemptKey, Outcome)>,
    /// Members to probe whose address is unknown: reported to the routers as connect failures.
    unreachable_probes: VecDeque<MemberId>,
    /// The resolver's latest result, applied again after a full list of the bus, which does not contain it.
    last_resolved: Option<(MembersUpdate, Event)>,
    /// Addresses that the bus reports as draining; they override the resolver, whatever name it lists them under.
    announced: Announced,
    /// Members whose last attempts failed, for the metrics.
    failing: Failing,
    actions: Vec<Action>,
    counters: Arc<Counters>,
    /// The longest retry-after time sent to rejected clients; `None` where none is sent.
    max_retry_after_ms: Option<u64>,
    now: Ms,
    /// Index of the router that takes new requests while cells are off.
    current_router: usize,
    /// The name of each class of `settings`. Ids are never reused, so that open requests keep their rules.
    class_names: Vec<Arc<str>>,
    /// Clients are sent to other fronts, since this front's machine goes into maintenance.
    sends_clients_away: bool,
    /// Budgets shared by all fronts, where a fleet is configured.
    budgets: Option<Box<BudgetClient>>,
    /// The fleet's thread waits to leave: confirmed once nothing is open.
    pending_close: Option<Sender<()>>,
    /// Machines under maintenance, where the fleet's file lists machines.
    maintenance: Option<Box<MaintenanceClient>>,
}

/// The most classes over all reloads.
const MAX_CLASSES: usize = 1024;

/// The most inputs that are handled before the next waiting request: more than the inputs that one request causes, so
/// that the channel does not fill while requests wait.
const MAX_INPUTS_PER_REQUEST: usize = 16;

/// High priority is for requests that must not run twice and for writes; all others are low.
fn priority_if(is_high: bool) -> Priority {
    if is_high {
        Priority::High
    } else {
        Priority::Low
    }
}

/// The longest retry-after time for rejected clients; `None` where the settings turn it off.
fn configured_max_retry_after(settings: &Settings) -> Option<u64> {
    settings.max_retry_after.filter(|_| settings.retry_after).map(|ms| ms as u64)
}

impl<U: Upstream> Engine<U> {
    /// Creates an engine with one router and no endpoints.
    pub fn new(settings: Settings, seed: u64, upstream: U, counters: Arc<Counters>) -> Engine<U> {
        let now = clock::steady_ms();
        let mut actions = Vec::new();
        let max_retry_after_ms = configured_max_retry_after(&settings);
        let knowledge = RouterKnowledge::new(&settings, now);
        let mut routers = RouterSet::new(seed);
        let spec = RouterSpec { scope: RouterScope::AllServers, settings: settings.clone() };
        let handover = routers.handover(&knowledge, now);
        let current_router = routers.create(spec, Vec::new(), &handover, &mut actions);
        let mut timers = TimerQueue::default();
        timers.schedule(now + SWEEP_INTERVAL_MS, Timer::Sweep);
        timers.schedule(now + CONNECTION_CHECK_INTERVAL_MS, Timer::ConnectionCheck);
        Engine {
            routers,
            knowledge,
            cells: None,
            settings,
            seed,
            upstream,
            exchanges: Exchanges::default(),
            timers,
            ended_attempts: VecDeque::new(),
            unreachable_probes: VecDeque::new(),
            last_resolved: None,
            announced: Announced::default(),
            failing: Failing::default(),
            actions,
            counters,
            max_retry_after_ms,
            now,
            current_router,
            class_names: Vec::new(),
            sends_clients_away: false,
            budgets: None,
            pending_close: None,
            maintenance: None,
        }
    }

    /// Shares the front's cold budgets with its other processes, which are observed from now on.
    pub fn with_other_processes(mut self) -> Engine<U> {
        self.knowledge.process_share = Some(ProcessShare::new(self.now));
        self
    }

    /// Excludes machines under maintenance from new work.
    pub fn with_maintenance(mut self, maintenance: Option<Box<MaintenanceClient>>) -> Engine<U> {
        self.maintenance = maintenance;
        self
    }

    /// Draws on this front's quotas of the budgets shared by all fronts.
    pub fn with_budgets(mut self, budgets: Option<Box<BudgetClient>>) -> Engine<U> {
        if budgets.is_some() {
            self.timers.schedule(self.now + FLEET_REPORT_INTERVAL_MS, Timer::FleetReport);
        }
        self.budgets = budgets;
        self
    }

    /// Sets the names of the settings' classes, in the order of the settings.
    pub fn with_class_names(mut self, names: Vec<Arc<str>>) -> Engine<U> {
        self.class_names = names;
        self
    }

    /// Handles inputs, waiting requests and timers until `Input::Stop` arrives or the channel closes.
    pub fn run(mut self, inputs: &Receiver<Input>, requests: &RequestQueue) {
        let mut requests_wait = false;
        loop {
            let wait = match requests_wait {
                true => Duration::ZERO,
                false => self.timers.time_until_next(clock::steady_ms()),
            };
            let mut deadline = Instant::now() + wait;
            for _ in 0..MAX_INPUTS_PER_REQUEST {
                match inputs.recv_deadline(deadline) {
                    Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                    Ok(Input::RequestsWaiting) => requests_wait = true,
                    Ok(input) => self.handle(input),
                    Err(RecvTimeoutError::Timeout) => break,
                }
                // The others are handled if they are there already.
                deadline = Instant::now();
            }
            if requests_wait {
                requests_wait = self.handle_next_request(requests);
            }
            self.update_clock();
            self.fire_timers();
        }
    }

    /// Handles the request whose turn it is; false if none waits.
    fn handle_next_request(&mut self, requests: &RequestQueue) -> bool {
        let next = requests.pop();
        let is_found = next.is_some();
        next.into_iter().for_each(|incoming| self.handle(Input::Request(incoming)));
        is_found
    }

    /// Reads the clocks. The decision module's time never goes back.
    fn update_clock(&mut self) {
        let Some(budgets) = &mut self.budgets else {
            self.now = clock::steady_ms().max(self.now);
            return;
        };
        let now = clock::both_clocks();
        self.now = clock::steady_ms().max(self.now);
        budgets.set_time(now);
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.set_time(now);
        }
    }

    /// Records how many processes of this front run.
    fn observe_processes(&mut self, at: Ms, processes: Option<u32>) {
        let window = self.settings.overload_window.unwrap_or(0.0);
        if let Some(share) = &mut self.knowledge.process_share {
            share.observe(at, processes, window);
        }
    }

    /// Handles one input and all attempts that ended because of it.
    pub fn handle(&mut self, input: Input) {
        self.update_clock();
        match input {
            Input::Request(incoming) => self.admit(incoming),
            Input::Reconfigure(reconfiguration) => {
                let Reconfiguration { settings, classes, done } = *reconfiguration;
                done(self.reconfigure(settings, classes));
            }
            Input::Abandoned(id) => self.abandon_request(id),
            Input::NoWaiters(id) => self.reject_if_unsent(id),
            Input::AttemptEnded { key, end } => match end {
                AttemptEnd::ConnectionFailed(progress) => {
                    self.finish_attempt(key, progress.outcome_if_broken(), elmtide::Note::Absent, None)
                }
                AttemptEnd::NotSent => self.finish_attempt(key, Outcome::Moot, elmtide::Note::Absent, None),
                AttemptEnd::Abandoned(progress) => {
                    let outcome = self.outcome_of_abandoned(progress);
                    self.finish_attempt(key, outcome, elmtide::Note::Absent, None)
                }
                AttemptEnd::Answered { outcome, note, copy } => self.finish_attempt(key, outcome, note, copy),
            },
            Input::Probed { member, outcome, latency } => {
                self.failing.heard(member, outcome);
                self.dispatch_to_all(&Event::Probed { member, outcome, latency })
            }
            Input::MembersListed { from: ListSource::Bus, members_update, event } => {
                self.apply_bus_endpoints(&members_update, event)
            }
            Input::MembersListed { from: ListSource::Resolver, members_update, event } => {
                self.last_resolved = Some((members_update.clone(), event.clone()));
                self.apply_resolved_endpoints(&members_update, event);
                self.withdraw_from_unavailable();
            }
            Input::Purged { object, group, at } => self.apply_purge(object, group, at),
            Input::Cells(CellsChange { layout, done }) => done(self.reconfigure_cells(layout)),
            Input::UndoMove(shop) => self.undo_move(shop),
            Input::Fleet(update) => self.apply_fleet_update(update),
            Input::ProcessesObserved { at, processes } => self.observe_processes(at, processes),
            Input::RequestsWaiting | Input::Stop => {}
        }
        self.finish_ended_attempts();
        self.close_if_idle();
    }
}

#[cfg(test)]
mod tests;
