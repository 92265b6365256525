//! The engine: one thread that owns the decisions. Events come in by a channel, actions go out, timers are the
//! deadline of the receive. It does no I/O and never blocks on a peer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use elmtide::{Action, Event, MemberId, Ms, ObjectId, Outcome, PurgeGroup, Router, Settings};

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
mod timers;

use self::budget_client::BudgetClient;
use self::cells::CellRouting;
use self::endpoint_set::EndpointSet;
use self::maintenance_client::MaintenanceClient;
use self::timers::{
    Timer, TimerQueue, CONNECTION_CHECK_INTERVAL_MS, FLEET_REPORT_INTERVAL_MS, SWEEP_INTERVAL_MS,
};
use crate::exchange::{AttemptKey, Input, ListSource, MembersNews, Reconfiguration, Returned, Upstream};
use crate::memory::announced::Announced;
use crate::memory::counters::Counters;
use crate::memory::exchanges::Exchanges;
use crate::memory::failing::Failing;
use crate::process::clock;
use elmtide_budgets::Priority;

pub struct Engine<U> {
    /// One, or one for each cell behind it.
    routers: Vec<Router>,
    cells: Option<Box<CellRouting>>,
    /// Of the routers that there are, while there are no cells.
    router_names: Vec<String>,
    endpoints: EndpointSet,
    settings: Settings,
    seed: u64,
    upstream: U,
    exchanges: Exchanges,
    timers: TimerQueue,
    /// Ends of attempts that were found here and not by a connection.
    ended: VecDeque<(AttemptKey, Outcome)>,
    unreached: VecDeque<MemberId>,
    /// What the resolver found last: a whole list of the bus leaves it out.
    resolved: Option<(MembersNews, Event)>,
    /// Where the bus says that nodes drain, by whatever name they are listed besides.
    announced: Announced,
    /// Members whose last attempts failed, for the figures.
    failing: Failing,
    actions: Vec<Action>,
    counters: Arc<Counters>,
    wait_ms: Option<u64>,
    now: Ms,
    /// The router that new requests go to while there are no cells.
    current: usize,
    /// The last purges, for a router that is built after them.
    purges: VecDeque<(Option<ObjectId>, PurgeGroup, Ms)>,
    /// The name of each class of `settings`: ids are never taken back, so that open requests keep their rules.
    class_names: Vec<Arc<str>>,
    /// Clients are sent away, since this front's machine goes.
    sent_away: bool,
    /// Budgets that belong to all fronts, where there is a fleet.
    budgets: Option<Box<BudgetClient>>,
    /// Machines that are taken out for work, where the fleet's file has any.
    maintenance: Option<Box<MaintenanceClient>>,
}

/// Purges that a router built after them is told at most.
const MAX_REMEMBERED_PURGES: usize = 4096;
/// Classes that the engine knows at most, over all reloads; routers at most.
const MAX_CLASSES: usize = 1024;
const MAX_ROUTERS: usize = 16;

/// The priority of requests that must not run twice, or of writes; all others are low.
fn priority_if(is_high: bool) -> Priority {
    if is_high {
        Priority::High
    } else {
        Priority::Low
    }
}

/// The longest wait that may be told to those who are refused.
fn longest_wait(settings: &Settings) -> Option<u64> {
    settings.max_retry_after.filter(|_| settings.retry_after).map(|ms| ms as u64)
}

impl<U: Upstream> Engine<U> {
    pub fn new(settings: Settings, seed: u64, upstream: U, counters: Arc<Counters>) -> Engine<U> {
        let now = clock::steady_ms();
        let mut actions = Vec::new();
        let wait_ms = longest_wait(&settings);
        let router = Router::new(settings.clone(), seed, now, &mut actions);
        let mut timers = TimerQueue::default();
        timers.schedule(now + SWEEP_INTERVAL_MS, Timer::Sweep);
        timers.schedule(now + CONNECTION_CHECK_INTERVAL_MS, Timer::ConnectionCheck);
        Engine {
            routers: vec![router],
            cells: None,
            router_names: vec![String::new()],
            endpoints: EndpointSet::default(),
            settings,
            seed,
            upstream,
            exchanges: Exchanges::default(),
            timers,
            ended: VecDeque::new(),
            unreached: VecDeque::new(),
            resolved: None,
            announced: Announced::default(),
            failing: Failing::default(),
            actions,
            counters,
            wait_ms,
            now,
            current: 0,
            purges: VecDeque::new(),
            class_names: Vec::new(),
            sent_away: false,
            budgets: None,
            maintenance: None,
        }
    }

    /// Keeps off machines that are out for work.
    pub fn with_maintenance(mut self, maintenance: Option<Box<MaintenanceClient>>) -> Engine<U> {
        self.maintenance = maintenance;
        self
    }

    /// Spends by its part of what belongs to all fronts.
    pub fn with_budgets(mut self, budgets: Option<Box<BudgetClient>>) -> Engine<U> {
        if budgets.is_some() {
            self.timers.schedule(self.now + FLEET_REPORT_INTERVAL_MS, Timer::FleetReport);
        }
        self.budgets = budgets;
        self
    }

    /// The names of the classes of the settings, in their order.
    pub fn with_class_names(mut self, names: Vec<Arc<str>>) -> Engine<U> {
        self.class_names = names;
        self
    }

    /// Runs until it is told to stop.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        loop {
            let wait = self.timers.time_until_next(clock::steady_ms());
            match inputs.recv_deadline(Instant::now() + wait) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => self.update_clock(),
            }
            self.fire_timers();
        }
    }

    /// The module's time never goes back.
    fn update_clock(&mut self) {
        let Some(budgets) = &mut self.budgets else {
            self.now = clock::steady_ms().max(self.now);
            return;
        };
        let now = clock::both();
        self.now = clock::steady_ms().max(self.now);
        budgets.set_time(now);
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.at(now);
        }
    }

    pub fn handle(&mut self, input: Input) {
        self.update_clock();
        match input {
            Input::Taken(incoming) => self.admit(incoming),
            Input::Reconfigure(reconfiguration) => {
                let Reconfiguration { settings, classes, done } = *reconfiguration;
                done(self.reconfigure(settings, classes));
            }
            Input::Abandoned(id) => self.abandon_request(id),
            Input::Unwanted(id) => self.reject_if_unsent(id),
            Input::Returned { key, returned } => match returned {
                Returned::Broke(progress) => {
                    self.finish_attempt(key, progress.broken(), elmtide::Note::Absent, None)
                }
                Returned::NotSent => self.finish_attempt(key, Outcome::Moot, elmtide::Note::Absent, None),
                Returned::Abandoned(progress) => {
                    let outcome = self.outcome_of_abandoned(progress);
                    self.finish_attempt(key, outcome, elmtide::Note::Absent, None)
                }
                Returned::Answered { outcome, note, copy } => self.finish_attempt(key, outcome, note, copy),
            },
            Input::Probed { member, outcome, latency } => {
                self.failing.heard(member, outcome);
                self.dispatch_to_all(&Event::Probed { member, outcome, latency })
            }
            Input::Listed { from: ListSource::Bus, news, event } => self.apply_bus_endpoints(&news, event),
            Input::Listed { from: ListSource::Resolver, news, event } => {
                self.resolved = Some((news.clone(), event.clone()));
                self.apply_resolved_endpoints(&news, event);
                self.withdraw_from_unavailable();
            }
            Input::Purged { object, group, at } => self.apply_purge(object, group, at),
            Input::Cells(layout) => self.reconfigure_cells(layout),
            Input::UndoMove(shop) => self.undo_move(shop),
            Input::Fleet(update) => self.apply_fleet_update(update),
            Input::Stop => {}
        }
        self.finish_ended_attempts();
    }
}

#[cfg(test)]
mod tests;
