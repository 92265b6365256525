//! Applies bus events: passes each to the engine once, in the order of their numbers. Consecutive changes of the server
//! list are merged: the engine's work for a change grows with the size of the fleet, and after an outage of the bus
//! thousands of changes arrive at once while requests wait for the engine.

use std::ops::ControlFlow;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::Sender;
use elmtide::Ms;

use super::list_changes::ListChanges;
use super::names::NameTable;
use crate::client::purge_ages::PurgeAges;
use crate::client::start_times::StartTimes;
use crate::exchange::Input;
use crate::memory::counters::Counters;
use crate::process::clock;
use crate::wire::bus::{Batch, Event, EventError};

/// Passes events to the engine, and knows which one was the last.
pub struct EventApplier {
    names: NameTable,
    start_times: StartTimes,
    purge_ages: PurgeAges,
    last_event: u64,
    /// All events up to the last one were told before, and all others after this moment.
    complete_at: Option<Instant>,
    /// Changes that have not been passed to the engine yet.
    changes: ListChanges,
    inputs: Sender<Input>,
    counters: Arc<Counters>,
}

impl EventApplier {
    /// Creates an applier that has applied no event.
    pub fn new(names: NameTable, inputs: Sender<Input>, counters: Arc<Counters>) -> EventApplier {
        EventApplier {
            names,
            start_times: StartTimes::default(),
            purge_ages: PurgeAges::default(),
            last_event: 0,
            complete_at: None,
            changes: ListChanges::default(),
            inputs,
            counters,
        }
    }

    /// Number of the last event that was applied or skipped.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Applies an event, unless it or a later one has been applied: events are delivered again if an answer was lost.
    /// An event that can't be used is logged and skipped. Changes of the server list reach the engine with `flush` at
    /// the latest. Returns `Break` once the engine has stopped.
    pub fn apply(&mut self, number: u64, event: Result<Event, EventError>) -> ControlFlow<()> {
        if number <= self.last_event {
            return ControlFlow::Continue(());
        }
        match event {
            Ok(event) => self.apply_valid(&event)?,
            Err(reason) => eprintln!("bus: event {number} can't be used: {reason}"),
        }
        self.advance_to(number);
        ControlFlow::Continue(())
    }

    /// Applies a batch that is complete.
    pub fn apply_batch(&mut self, mut batch: Batch) -> ControlFlow<()> {
        batch.events.sort_by_key(|(number, _)| *number);
        self.observe_purges(&batch);
        for (number, event) in batch.events {
            self.apply(number, Ok(event))?;
        }
        self.flush()?;
        self.advance_to(batch.offset);
        self.record_heard();
        ControlFlow::Continue(())
    }

    /// Applies the events of a batch that directly follow the last one; the bus brings what comes after a gap.
    pub fn apply_following(&mut self, mut batch: Batch) -> ControlFlow<()> {
        batch.events.sort_by_key(|(number, _)| *number);
        self.observe_purges(&batch);
        for (number, event) in batch.events {
            if number > self.last_event + 1 {
                break;
            }
            self.apply(number, Ok(event))?;
        }
        self.flush()
    }

    /// Records the timestamps of purges that are known together, before the age of one of them is asked for.
    fn observe_purges(&mut self, batch: &Batch) {
        for (_, event) in &batch.events {
            if let Event::BanUrl { ts, .. } | Event::BanTag { ts, .. } = event {
                self.purge_ages.observe(clock::age_of(*ts), clock::steady_ms());
            }
        }
    }

    fn apply_valid(&mut self, event: &Event) -> ControlFlow<()> {
        let mut input = self.names.input(event);
        match &mut input {
            Input::MembersListed { event, .. } => self.start_times.convert(event, clock::to_steady_ms),
            Input::Purged { at, .. } => *at = self.local_purge_time(*at),
            _ => {}
        }
        self.counters.bus_events.fetch_add(1, Relaxed);
        match self.changes.merge(input) {
            Ok(()) => ControlFlow::Continue(()),
            Err(input) => {
                self.flush()?;
                match self.changes.merge(input) {
                    Ok(()) => ControlFlow::Continue(()),
                    Err(input) => self.send(input),
                }
            }
        }
    }

    /// When a purge with this timestamp was made, by this process's clock, or later.
    fn local_purge_time(&mut self, timestamp: Ms) -> Ms {
        let (own_age, now) = (clock::age_of(timestamp), clock::steady_ms());
        let max_age = self.complete_at.map(|at| at.elapsed().as_secs_f64() * 1000.0);
        self.purge_ages.observe(own_age, now);
        now - self.purge_ages.age(own_age, max_age)
    }

    /// All events that the bus had when it was asked at this moment have been applied.
    pub fn record_complete(&mut self, asked_at: Instant) {
        self.complete_at = self.complete_at.max(Some(asked_at));
    }

    /// Passes the changes that were merged to the engine. Returns `Break` once the engine has stopped.
    pub fn flush(&mut self) -> ControlFlow<()> {
        match self.changes.take() {
            Some(input) => self.send(input),
            None => ControlFlow::Continue(()),
        }
    }

    fn send(&self, input: Input) -> ControlFlow<()> {
        match self.inputs.send(input) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }

    /// All events that the bus had a moment ago have been applied.
    pub fn record_heard(&self) {
        self.counters.bus_heard.store(clock::steady_ms() as u64, Relaxed);
    }

    /// The bus has no event up to this number that has not been applied.
    pub fn advance_to(&mut self, number: u64) {
        self.last_event = self.last_event.max(number);
    }
}
