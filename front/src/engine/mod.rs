//! The engine: one thread that owns the decisions. Events come in by a channel, actions go out, timers are the
//! deadline of the receive. It does no I/O and never blocks on a peer.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use elmtide::{Action, Event, Ms, Outcome, Repeat, Request, RequestId, Router, Settings, Token, Try};

pub mod budget_client;
mod cells;
pub mod maintenance_client;

use elmtide_budgets::Priority;
use elmtide_cells::{Arrival, Decision, Ended, Layout, Why};

use self::budget_client::{BudgetClient, RETRIES};
use self::cells::InCells;
pub use self::cells::Listed;
use self::maintenance_client::MaintenanceClient;
use crate::exchange::*;
use crate::fleet_link::FleetUpdate;
use crate::memory::announced::Announced;
use crate::memory::counters::Counters;
use crate::memory::exchanges::Exchanges;
use crate::memory::failing::Failing;
use crate::process::{clock, part};

/// After this long past a deadline the engine answers by itself, whatever the module does.
const BACKSTOP: Ms = 15.0;
/// For so long after SIGTERM requests are still taken; what comes later must not be left unanswered by a kill.
const TAKE_AFTER_TERM: Ms = 550.0;
/// By this part of its time a request has been written whole to some node, or it is refused: told early that nothing
/// has run, a client can still do something about it.
const UNSENT: f64 = 0.45;
/// A repeat is on its way so long before what an earlier attempt did may be forgotten: it has to get there.
const KEY_MARGIN: Ms = 5.0;
/// Least part of the longest wait that is told to those refused here, as the module does.
const RETURN: f64 = 0.6;
const SWEEP: Ms = 1000.0;
/// Cells look at what waits and what moves so often.
const CELLS: Ms = 50.0;
/// Connections that owe answers are looked at so often.
const LOOK: Ms = 100.0;
/// The fleet is told what is wanted so often.
const SPENDING: Ms = 100.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Module(usize, u64),
    Attempt(u32, u8),
    Deadline(u32),
    Unsent(u32),
    Look,
    Sweep,
    Cells,
    Spending,
}

/// A moment as a number that can be ordered: microseconds of the Unix clock.
fn micros(at: Ms) -> u64 {
    (at * 1000.0).max(0.0) as u64
}

pub struct Engine<U> {
    /// One, or one for each cell behind it.
    routers: Vec<Router>,
    cells: Option<Box<InCells>>,
    /// Of the routers that there are, while there are no cells.
    router_names: Vec<String>,
    listed: Listed,
    settings: Settings,
    seed: u64,
    upstream: U,
    exchanges: Exchanges,
    alarms: BinaryHeap<Reverse<(u64, Alarm)>>,
    /// Ends of attempts that were found here and not by a connection.
    ended: VecDeque<(AttemptKey, Outcome)>,
    unreached: VecDeque<elmtide::MemberId>,
    /// What the resolver found last: a whole list of the bus leaves it out.
    resolved: Option<(MembersNews, Event)>,
    /// Where the bus says that nodes drain, by whatever name they are listed besides.
    announced: Announced,
    /// Members whose last attempts failed, for the figures.
    failing: Failing,
    actions: Vec<Action>,
    counters: Arc<Counters>,
    wait_ms: Option<u64>,
    draining_since: Option<Ms>,
    now: Ms,
    /// The router that new requests go to while there are no cells.
    current: usize,
    /// The last purges, for a router that is built after them.
    purges: VecDeque<(Option<elmtide::ObjectId>, elmtide::PurgeGroup, Ms)>,
    /// The name of each class of `settings`: ids are never taken back, so that open requests keep their rules.
    class_names: Vec<std::sync::Arc<str>>,
    /// Clients are sent away, since this front's machine goes.
    sent_away: bool,
    /// Budgets that belong to all fronts, where there is a fleet.
    budgets: Option<Box<BudgetClient>>,
    /// Machines that are taken out for work, where the fleet's file has any.
    maintenance: Option<Box<MaintenanceClient>>,
}

/// Purges that a router built after them is told at most.
const PURGES: usize = 4096;
/// Classes that the engine knows at most, over all reloads; routers at most.
const CLASSES: usize = 1024;
const ROUTERS: usize = 16;

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
        let now = clock::unix_ms();
        let mut actions = Vec::new();
        let wait_ms = longest_wait(&settings);
        let router = Router::new(settings.clone(), seed, now, &mut actions);
        let alarms = [(SWEEP, Alarm::Sweep), (LOOK, Alarm::Look)];
        let alarms = alarms.map(|(after, alarm)| Reverse((micros(now + after), alarm)));
        Engine {
            routers: vec![router],
            cells: None,
            router_names: vec![String::new()],
            listed: Listed::default(),
            settings,
            seed,
            upstream,
            exchanges: Exchanges::default(),
            alarms: BinaryHeap::from(alarms),
            ended: VecDeque::new(),
            unreached: VecDeque::new(),
            resolved: None,
            announced: Announced::default(),
            failing: Failing::default(),
            actions,
            counters,
            wait_ms,
            draining_since: None,
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
            self.alarms.push(Reverse((micros(self.now + SPENDING), Alarm::Spending)));
        }
        self.budgets = budgets;
        self
    }

    /// The names of the classes of the settings, in their order.
    pub fn naming(mut self, names: Vec<std::sync::Arc<str>>) -> Engine<U> {
        self.class_names = names;
        self
    }

    /// New settings: a router of their own takes new requests, the one before keeps what it has open. Where a file brings
    /// the settings that there are, as one that only moves the bus does, all stays as it is.
    fn retune(&mut self, retune: Retune) -> Result<Vec<Class>, String> {
        if self.cells.is_some() {
            return Err("classes are taken over at the next start while cells are in force".into());
        }
        let Retune { settings: new, classes, .. } = retune;
        let (mut merged, mut names) = (self.settings.classes.clone(), self.class_names.clone());
        let mut table = Vec::new();
        for class in classes {
            let rules = new.classes.get(usize::from(class.id.0)).ok_or("a class without its settings")?;
            let same = names.iter().zip(&merged).position(|(n, c)| *n == class.name && c == rules);
            let id = match same {
                Some(id) => id,
                None if merged.len() < CLASSES => {
                    merged.push(rules.clone());
                    names.push(class.name.clone());
                    merged.len() - 1
                }
                None => return Err(format!("more than {CLASSES} classes since the start")),
            };
            table.push(Class { id: elmtide::ClassId(id as u16), ..class });
        }
        let settings = Settings { classes: merged, ..new };
        if settings == self.settings {
            // Nothing to decide by is new: the router keeps what it has seen of the nodes, and what it has sent to cold ones.
            return Ok(table);
        }
        let busy: std::collections::HashSet<usize> = self.exchanges.routers().collect();
        let free = (0..self.routers.len()).find(|r| *r != self.current && !busy.contains(r));
        let place = match free {
            Some(place) => place,
            None if self.routers.len() < ROUTERS => self.routers.len(),
            None => return Err("too many routers still have requests open".into()),
        };
        let mut actions = Vec::new();
        let router = Router::new(settings.clone(), self.seed, self.now, &mut actions);
        match place == self.routers.len() {
            true => self.routers.push(router),
            false => self.routers[place] = router,
        }
        self.wait_ms = longest_wait(&settings);
        (self.settings, self.class_names, self.current) = (settings, names, place);
        for action in actions {
            self.act(place, action);
        }
        let entries = self.listed.present_listings();
        self.tell(place, cells::whole(entries));
        // A copy from before a purge must not be served by the new router either.
        let purges: Vec<_> = self.purges.iter().copied().collect();
        for (object, group, at) in purges {
            let ago = (self.now - at).max(0.0);
            self.tell(place, Event::Purged { object, group, ago });
        }
        Ok(table)
    }

    /// Runs until it is told to stop.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        loop {
            let due = self.alarms.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let left = due.saturating_sub(micros(clock::unix_ms()));
            match inputs.recv_deadline(Instant::now() + Duration::from_micros(left.min(1_000_000))) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => self.tick(),
            }
            self.ring();
        }
    }

    /// The clock may be set back, the module's time may not.
    fn tick(&mut self) {
        let Some(budgets) = &mut self.budgets else {
            self.now = clock::unix_ms().max(self.now);
            return;
        };
        let now = clock::both();
        self.now = (now.wall as f64 / 1000.0).max(self.now);
        budgets.set_time(now);
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.at(now);
        }
    }

    pub fn take(&mut self, input: Input) {
        self.tick();
        match input {
            Input::Taken(incoming) => self.on_taken(incoming),
            Input::Retune(mut retune) => {
                let done = std::mem::replace(&mut retune.done, Box::new(|_| {}));
                let taken = self.retune(*retune);
                done(taken);
            }
            Input::Abandoned(id) => {
                if let Some(exchange) = self.exchanges.get_mut(id) {
                    if exchange.abandon() {
                        self.counters.abandoned.fetch_add(1, Relaxed);
                    }
                    self.over(id, Ended::Left);
                    self.expired(id);
                    self.exchanges.settle(id);
                }
            }
            Input::Unwanted(id) => self.still_unsent(id),
            Input::Returned { key, returned } => match returned {
                Returned::Broke(progress) => self.on_end(key, progress.broken(), elmtide::Note::Absent, None),
                Returned::Answered { outcome, note, copy } => self.on_end(key, outcome, note, copy),
            },
            Input::Probed { member, outcome, latency } => {
                self.failing.heard(member, outcome);
                self.tell_all(&Event::Probed { member, outcome, latency })
            }
            Input::Listed { from: ListSource::Bus, news, event } => {
                let changed = self.announced.heard(&news, &event, self.now);
                let again = news.full || changed;
                self.upstream.learn(&news);
                self.on_list(&news, event);
                if let Some((news, event)) = self.resolved.clone().filter(|_| again) {
                    self.on_resolved(news, event);
                }
                self.withdraw_from_lost();
            }
            Input::Listed { from: ListSource::Resolver, news, event } => {
                self.resolved = Some((news.clone(), event.clone()));
                self.on_resolved(news, event);
                self.withdraw_from_lost();
            }
            Input::Purged { object, group, at } => {
                if self.purges.len() >= PURGES {
                    self.purges.pop_front();
                }
                self.purges.push_back((object, group, at));
                let ago = (self.now - at).max(0.0);
                self.tell_all(&Event::Purged { object, group, ago });
            }
            Input::Cells(layout) => self.on_cells(layout),
            Input::UndoMove(shop) => {
                let now = self.now;
                if self.cells.as_mut().is_some_and(|c| c.cells.undo(shop, now)) {
                    eprintln!("cells: a move is undone");
                }
            }
            Input::Fleet(FleetUpdate::Maintenance(told)) => {
                if let Some(maintenance) = &mut self.maintenance {
                    maintenance.take(&told);
                }
                self.keep_off();
                self.withdraw_from_lost();
                self.report();
                if let Some(budgets) = &mut self.budgets {
                    budgets.wake_fleet();
                }
            }
            Input::Fleet(news) => {
                let heard = !matches!(news, FleetUpdate::Close(_));
                if let Some(budgets) = &mut self.budgets {
                    budgets.apply(news);
                }
                if heard {
                    self.report();
                }
                self.tell_cold_parts();
            }
            Input::Drain => self.draining_since = self.draining_since.or(Some(self.now)),
            Input::Stop => {}
        }
        self.settle_ended();
    }

    /// What names lead to, as far as the bus does not say that it drains.
    fn on_resolved(&mut self, news: MembersNews, mut event: Event) {
        self.announced.overrule(&news, &mut event);
        self.upstream.learn(&news);
        self.on_list(&news, event);
    }

    /// A list for whoever decides: the one router as it came, cells' routers each its own whole one.
    fn on_list(&mut self, news: &MembersNews, event: Event) {
        self.listed.learn(news, &event);
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.learn(news);
            self.keep_off();
        }
        let event = self.listed.kept_off(event);
        self.failing.keep(&self.listed);
        self.show_members();
        // Without cells every router is told: those from before a reload still decide on what they hold.
        match self.cells {
            None => self.tell_all(&event),
            Some(_) => self.tell(0, event),
        }
        self.list_cells();
        self.tell_cold_parts();
    }

    /// What has not been written yet to a member that is not ready any more, or for a fill from it, goes elsewhere: it
    /// was decided before this was told, and must not be written long after.
    fn withdraw_from_lost(&mut self) {
        let listed = &self.listed;
        let back = self.upstream.withdraw_from(&|member| !listed.is_ready(member));
        self.ended.extend(back.into_iter().map(|key| (key, Outcome::Moot)));
    }

    /// Has the routers drain what is to be kept off by now, and take back what is not.
    fn keep_off(&mut self) {
        let Some(maintenance) = &mut self.maintenance else { return };
        let changed = maintenance.refresh();
        let goes = maintenance.goes();
        if goes != self.sent_away {
            self.sent_away = goes;
            self.counters.mode.machine_goes(goes);
            let word = if goes { "goes: clients are sent away" } else { "stays" };
            eprintln!("work: this front's machine {word}");
        }
        if changed.is_empty() {
            return;
        }
        self.listed.keep_off(maintenance.off().clone());
        let entries = self.listed.of(&changed);
        if entries.is_empty() {
            return;
        }
        match self.cells {
            None => self.tell_all(&Event::List { news: elmtide::ListNews::Delta, entries }),
            Some(_) => self.list_cells(),
        }
    }

    /// Tells the fleet's thread what is wanted, used and seen.
    fn report(&mut self) {
        let Some(budgets) = &mut self.budgets else { return };
        if let Some(maintenance) = &self.maintenance {
            maintenance.let_go().for_each(|member| self.failing.forget(member));
        }
        let said = self.maintenance.as_mut().map(|maintenance| {
            let (exchanges, failing) = (&self.exchanges, &self.failing);
            let busy = exchanges.unanswered() > 0;
            let mut said = maintenance.said(
                &self.listed.all_listings(),
                &self.settings,
                self.now,
                |member| failing.is_failing(member),
                |member| exchanges.is_open_at(member),
                busy,
            );
            said.is_overloaded = budgets.is_short();
            said
        });
        let (set, now) = (&self.settings, self.now);
        let cold = |l: &elmtide::Listing| {
            let ours =
                l.zone == set.zone && Some(l.kind) != set.parent_kind && Some(l.kind) != set.origin_kind;
            let span = set.cold_span.filter(|span| *span > 0.0);
            ours && l.born.zip(span).is_some_and(|(born, span)| now - born < span)
        };
        let warm = !self.listed.all_listings().iter().any(cold);
        budgets.report(said, warm);
    }

    /// Tells the routers their parts of what cold boxes and parents bear.
    fn tell_cold_parts(&mut self) {
        let Some(budgets) = &mut self.budgets else { return };
        let listed = self.listed.present_listings();
        for share in budgets.update_slow_start(&listed, &self.settings, self.now) {
            self.routers.iter_mut().for_each(|r| r.divide(share.member, share.fronts));
        }
    }

    fn list_cells(&mut self) {
        let Some(cells) = &self.cells else { return };
        let now = self.now;
        let (lists, ready) = cells.lists(&self.listed, &self.settings);
        for (router, entries) in lists {
            self.tell(router, cells::whole(entries));
        }
        if let Some(cells) = &mut self.cells {
            for (place, ready) in ready.into_iter().enumerate() {
                cells.cells.boxes(elmtide_cells::CellIx(place as u16), ready, now);
            }
        }
        self.decided();
    }

    /// Another layout of cells. It has been checked; what can't be done leaves all as it was.
    fn on_cells(&mut self, layout: Option<Box<Layout>>) {
        let Some(layout) = layout else {
            // What runs ends where it is; what waits is refused.
            let waiting: Vec<RequestId> = self.cells.iter().flat_map(|c| c.waiting.keys().copied()).collect();
            if let Some(cells) = self.cells.take() {
                self.router_names = cells.names;
            }
            waiting.into_iter().for_each(|id| self.refuse(id, self.pause(id)));
            eprintln!("cells: there are none any more");
            return;
        };
        let names: Vec<&str> = layout.cells().iter().map(|c| &c.name[..]).collect();
        let told = format!("cells: {} are in force: {}", names.len(), names.join(", "));
        let (seed, now) = (self.seed, self.now);
        let relaid = match &mut self.cells {
            Some(cells) => cells.cells.relayout(*layout, now),
            None => {
                self.cells =
                    Some(Box::new(InCells::new(*layout, seed, now, std::mem::take(&mut self.router_names))));
                self.alarms.push(Reverse((micros(now + CELLS), Alarm::Cells)));
                Ok(())
            }
        };
        let fresh = relaid.and_then(|()| self.cells.as_mut().map_or(Ok(Vec::new()), |c| c.place_routers()));
        match fresh {
            Err(why) => eprintln!("cells: {why}"),
            Ok(fresh) => {
                for cells::Fresh { router: place, cell, sharing } in fresh {
                    let Some(cells) = &self.cells else { break };
                    let own = cells::settings(&self.settings, cells.cells.layout(), cell, sharing);
                    // All cells' routers build their tables alike: the same seed.
                    let mut actions = Vec::new();
                    let router = Router::new(own, seed, now, &mut actions);
                    debug_assert_eq!(place, self.routers.len());
                    self.routers.push(router);
                }
                eprintln!("{told}");
            }
        }
        self.list_cells();
    }

    /// Carries out what the cells have decided of requests that waited.
    fn decided(&mut self) {
        while let Some(decision) = self.cells.as_mut().and_then(|c| c.cells.poll()) {
            match decision {
                Decision::Start { id, cell } => self.begin(RequestId(id), cell),
                Decision::Refuse { id, wait, why } => self.refuse_by_cell(RequestId(id), why, wait),
                Decision::Wait => {}
            }
        }
    }

    /// A request that waited goes to its cell's router, with the time that it has left.
    fn begin(&mut self, id: RequestId, cell: elmtide_cells::CellIx) {
        let Some(cells) = &mut self.cells else { return };
        let Some((mut request, shop)) = cells.waiting.remove(&id) else { return };
        let router = cells.router(cell, shop);
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        exchange.router = router;
        request.left = exchange.deadline - self.now;
        self.tell(router, Event::Request(request));
    }

    /// The cache nodes in the list, and those avoided now: not ready, or failing since their last good answer.
    fn show_members(&self) {
        let (mut known, mut avoided) = (0, 0);
        for (member, ready) in self.listed.present() {
            known += 1;
            avoided += u64::from(!ready || self.failing.is_failing(member));
        }
        self.counters.figures.cache_nodes_known.store(known, Relaxed);
        self.counters.figures.cache_nodes_excluded.store(avoided, Relaxed);
    }

    /// When to come back, told to one whom the engine refuses by itself.
    fn pause(&self, id: RequestId) -> Option<u64> {
        let spread = RETURN + (1.0 - RETURN) * part(self.seed, u64::from(id.0));
        self.wait_ms.map(|ms| (ms as f64 * spread) as u64)
    }

    fn refuse(&mut self, id: RequestId, wait_ms: Option<u64>) {
        if self.exchanges.answer(id, Answer::Refused { wait_ms }) {
            self.counters.refused.fetch_add(1, Relaxed);
        }
    }

    fn refuse_by_cell(&mut self, id: RequestId, why: Why, wait: Ms) {
        if let Some(cells) = &mut self.cells {
            cells.waiting.remove(&id);
        }
        self.counters.by_cell[why as usize].fetch_add(1, Relaxed);
        self.refuse(id, Some(wait.max(1.0) as u64));
    }

    /// A request has had its final answer: nothing more of it is sent on, and its place in the cell is free.
    fn over(&mut self, id: RequestId, ended: Ended) {
        let now = self.now;
        // Also where the settings allow no calling off: this is none, since the node never hears of it.
        let upstream = &mut self.upstream;
        let out = self.exchanges.get(id).into_iter().flat_map(|e| e.out());
        let back = out.map(|attempt| AttemptKey { id, attempt }).filter(|key| upstream.withdraw(*key));
        self.ended.extend(back.map(|key| (key, Outcome::Cancelled)));
        if let Some(budgets) = &mut self.budgets {
            budgets.end_request(id);
        }
        if let Some(cells) = &mut self.cells {
            cells.waiting.remove(&id);
            cells.cells.end(id.0, ended, now);
            self.decided();
        }
    }

    fn expired(&mut self, id: RequestId) {
        self.tell(self.exchanges.router(id), Event::Expired { id });
    }

    fn on_taken(&mut self, incoming: Incoming) {
        self.counters.taken.fetch_add(1, Relaxed);
        let late = self.draining_since.is_some_and(|since| self.now - since > TAKE_AFTER_TERM);
        let left = incoming.deadline - self.now;
        if late || self.exchanges.is_full() {
            self.counters.refused.fetch_add(1, Relaxed);
            let wait_ms = self.pause(incoming.id);
            return incoming.responder.answer(Answer::Refused { wait_ms });
        }
        let request = Request {
            id: incoming.id,
            class: incoming.class,
            object: incoming.object,
            part: incoming.part,
            group: incoming.group,
            left,
            size_kb: incoming.size_kb,
            write: false, // the class tells
        };
        let (deadline, shop, once) = (incoming.deadline, incoming.shop, incoming.passed.once);
        let priority = priority_if(once);
        if self.budgets.as_mut().is_some_and(|b| !b.admit_shop_request(request.id, shop, priority)) {
            self.counters.refused.fetch_add(1, Relaxed);
            let wait_ms = self.pause(request.id);
            return incoming.responder.answer(Answer::Refused { wait_ms });
        }
        let pace = self.settings.pace;
        let work = incoming.size_kb.zip(pace).map(|(kb, pace)| kb / pace * 1000.0);
        if let Err(incoming) = self.exchanges.open(incoming) {
            self.counters.failed.fetch_add(1, Relaxed);
            if let Some(budgets) = &mut self.budgets {
                budgets.end_request(request.id);
            }
            return incoming.responder.answer(Answer::Failed);
        }
        if let Some(exchange) = self.exchanges.get_mut(request.id) {
            exchange.work = work;
        }
        self.alarms.push(Reverse((micros(deadline + BACKSTOP), Alarm::Deadline(request.id.0))));
        self.alarms.push(Reverse((micros(self.now + left * UNSENT), Alarm::Unsent(request.id.0))));
        let (now, id) = (self.now, request.id);
        let Some(cells) = &mut self.cells else {
            let current = self.current;
            if let Some(exchange) = self.exchanges.get_mut(id) {
                exchange.router = current;
            }
            return self.tell(current, Event::Request(request));
        };
        let object = request.object.0;
        let decision = cells.cells.arrive(Arrival { id: id.0, shop, object, once, cost: 1.0, deadline }, now);
        cells.waiting.insert(id, (request, shop));
        match decision {
            Decision::Start { cell, .. } => self.begin(id, cell),
            Decision::Refuse { why, wait, .. } => self.refuse_by_cell(id, why, wait),
            Decision::Wait => {}
        }
        self.decided();
    }

    /// An attempt has ended, whoever found it out.
    fn on_end(&mut self, key: AttemptKey, outcome: Outcome, note: elmtide::Note, copy: Option<Copy>) {
        let Some(exchange) = self.exchanges.get_mut(key.id) else { return };
        let Some((sent, to)) = exchange.end_attempt(key.attempt) else { return };
        let mut served = false;
        exchange.may_have_run |= !matches!(outcome, Outcome::ConnectFailed | Outcome::Moot);
        let never = [Outcome::ConnectFailed, Outcome::Moot, Outcome::Full, Outcome::Miss];
        if !never.contains(&outcome) {
            exchange.ran(sent);
        }
        self.upstream.ended(key);
        if outcome == Outcome::Ok {
            let copy = copy.unwrap_or(Copy { bytes: Vec::new(), digest: None, client_has_it: false });
            if exchange.answer(Answer::Served(copy)) {
                self.counters.served.fetch_add(1, Relaxed);
                served = true;
            }
        }
        let router = exchange.router;
        self.counters.outcome(outcome);
        self.failing.heard(to, outcome);
        if let Some(maintenance) = self.maintenance.as_mut().filter(|_| outcome == Outcome::Ok) {
            maintenance.served(to);
        }
        let settled = exchange.is_answered();
        let (id, attempt) = (key.id, key.attempt);
        let latency = self.now - sent;
        self.filled(router, note);
        if let Some(budgets) = &mut self.budgets {
            use elmtide::Note;
            // Where nothing is told, a served or unknown end is taken for a fill.
            let unsent =
                matches!(outcome, Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss | Outcome::Full);
            let held = matches!(note, Note::Hit | Note::Stale | Note::Joined);
            budgets.resolve_fill(key, !(unsent || held), !matches!(note, Note::Filled));
        }
        self.tell(router, Event::Reply { id, attempt, outcome, latency, settled, note });
        if served {
            self.over(id, Ended::Served);
        }
        self.exchanges.settle(id);
    }

    /// A miss was filled from what is common.
    fn filled(&mut self, router: usize, note: elmtide::Note) {
        let now = self.now;
        let Some(cells) = self
            .cells
            .as_mut()
            .filter(|_| matches!(note, elmtide::Note::Filled | elmtide::Note::FilledByOrigin))
        else {
            return;
        };
        if let Some(cell) = cells.cell(router) {
            cells.cells.filled(cell, now);
        }
    }

    /// Whether a request of this router may have a miss filled from what is common. What never is kept has to be run
    /// there, and is not held back by it.
    fn may_fill(&mut self, router: usize, write: bool) -> bool {
        let now = self.now;
        let Some(cells) = self.cells.as_mut().filter(|_| !write) else { return true };
        cells.cell(router).is_none_or(|cell| cells.cells.may_fill(cell, now))
    }

    /// The source, if what belongs to all fronts allows a fill from it. What never is kept is no fill: it has to be run
    /// there.
    fn shared_fill(
        &mut self,
        key: AttemptKey,
        cache: elmtide::MemberId,
        source: Option<elmtide::MemberId>,
        write: bool,
    ) -> Option<elmtide::MemberId> {
        let Some(budgets) = &mut self.budgets else { return source };
        let work = self.exchanges.get(key.id).and_then(|e| e.work);
        budgets.note_work_sent(source.is_some_and(|s| s != cache), work, priority_if(write));
        let from = source.filter(|_| !write);
        let Some(kind) = from.map(|from| self.listed.kind(from)) else { return source };
        let from_origin = kind.is_some() && kind == self.settings.origin_kind;
        source.filter(|_| budgets.try_reserve_fill(key, from_origin, priority_if(write)))
    }

    fn settle_ended(&mut self) {
        while let Some(member) = self.unreached.pop_front() {
            self.tell_all(&Event::Probed { member, outcome: Outcome::ConnectFailed, latency: 0.0 });
        }
        while let Some((key, outcome)) = self.ended.pop_front() {
            self.on_end(key, outcome, elmtide::Note::Absent, None);
        }
    }

    /// What concerns each router.
    fn tell_all(&mut self, event: &Event) {
        for router in 0..self.routers.len() {
            self.tell(router, event.clone());
        }
    }

    /// Gives a router an event and does what it says.
    fn tell(&mut self, router: usize, event: Event) {
        if self.maintenance.as_ref().is_some_and(|w| w.turned()) {
            self.keep_off();
        }
        let mut actions = std::mem::take(&mut self.actions);
        match &self.budgets {
            Some(budgets) => {
                if budgets.lease_has_changed() {
                    self.tell_cold_parts();
                }
                self.handle_lent(router, event, &mut actions)
            }
            None => self.routers[router].handle(self.now, event, &mut actions),
        }
        for action in actions.drain(..) {
            self.act(router, action);
        }
        self.actions = actions;
    }

    /// A router whose further attempts come from a budget of all fronts: it is lent what may be spent at this very moment,
    /// and what it used is spent by the same clocks, before anything is sent.
    fn handle_lent(&mut self, router: usize, event: Event, actions: &mut Vec<Action>) {
        // Nothing else starts an attempt.
        let may_try = matches!(event, Event::Request(_) | Event::Reply { .. } | Event::Timer { .. });
        let Some(budgets) = self.budgets.as_mut().filter(|b| may_try && b.has_budget(RETRIES)) else {
            return self.routers[router].handle(self.now, event, actions);
        };
        let lent = budgets.available(RETRIES).floor();
        self.routers[router].lend(lent);
        self.routers[router].handle(self.now, event, actions);
        let used = lent - self.routers[router].lend(0.0);
        if used <= 0.0 && lent >= 1.0 {
            return;
        }
        let once = |id: &RequestId, exchanges: &Exchanges| exchanges.get(*id).is_some_and(|e| e.passed.once);
        let high = |exchanges: &Exchanges| {
            actions.iter().any(|a| matches!(a, Action::Serve { id, .. } if once(id, exchanges)))
        };
        let high = high(&self.exchanges);
        for _ in 0..used as u64 {
            budgets.try_spend(RETRIES, priority_if(high));
        }
        // What was given up after an attempt, while there was nothing to spend, wanted one more.
        for action in actions.iter() {
            let (Action::Refuse { id, .. } | Action::Fail { id }) = action else { continue };
            let tried = self.exchanges.get(*id).is_some_and(|e| e.has_been_sent());
            if lent < 1.0 && tried {
                let priority = priority_if(once(id, &self.exchanges));
                budgets.note_unmet_demand(RETRIES, priority);
            }
        }
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::Serve { id, cache, source, rank, max_age, mode, timeout } => {
                let Some(exchange) = self.exchanges.get_mut(id) else { return };
                let rules = self.settings.classes.get(usize::from(exchange.class.0));
                let guarded = rules.is_none_or(|class| class.repeat != Repeat::Safe);
                let window = rules.filter(|class| class.repeat == Repeat::Keyed).and_then(|c| c.key_window);
                let forgotten = exchange.first_run().zip(window).map(|(sent, window)| sent + window);
                let write_by = forgotten.map(|at| at - KEY_MARGIN);
                let attempt = exchange.begin_attempt(self.now, cache);
                let key = AttemptKey { id, attempt };
                let passed = exchange.passed.clone();
                let timeout = timeout.min(exchange.deadline - self.now);
                if timeout <= 0.0 {
                    self.ended.push_back((key, Outcome::Moot));
                    return;
                }
                self.alarms.push(Reverse((micros(self.now + timeout), Alarm::Attempt(id.0, attempt.0))));
                self.counters.sent.fetch_add(1, Relaxed);
                let may_fill = self.may_fill(router, passed.write);
                let source = Some(source).filter(|s| *s != cache && may_fill);
                let source = self.shared_fill(key, cache, source, passed.write);
                if let Some(maintenance) = &mut self.maintenance {
                    let exchange = self.exchanges.get_mut(id);
                    let work = exchange.as_ref().and_then(|e| e.work);
                    if let (Some(exchange), Some(source)) = (exchange, source) {
                        exchange.fills_from(attempt, source);
                    }
                    maintenance.sent(&[Some(cache), source].into_iter().flatten().collect::<Vec<_>>(), work);
                }
                let order =
                    Order { key, passed, cache, source, rank, max_age, mode, timeout, write_by, guarded };
                if let Err(progress) = self.upstream.send(&order) {
                    self.ended.push_back((key, progress.broken()));
                }
            }
            Action::Cancel { id, attempt } => {
                self.give_up(AttemptKey { id, attempt }, |_| Outcome::Cancelled)
            }
            Action::Refuse { id, retry_after } => {
                let wait_ms = retry_after.map(|ms| ms.max(0.0) as u64);
                self.refuse(id, wait_ms);
                self.over(id, Ended::Lost);
            }
            Action::Fail { id } => {
                if self.exchanges.answer(id, Answer::Failed) {
                    self.counters.failed.fetch_add(1, Relaxed);
                }
                self.over(id, Ended::Lost);
            }
            Action::SetTimer { delay, token } => {
                self.alarms
                    .push(Reverse((micros(self.now + delay.max(0.0)), Alarm::Module(router, token.0))));
            }
            Action::Probe { member } => {
                if !self.upstream.probe(member) {
                    self.unreached.push_back(member);
                }
            }
            // The event bus is followed from the start.
            Action::Subscribe => {}
        }
    }

    fn give_up(&mut self, key: AttemptKey, outcome: impl FnOnce(Progress) -> Outcome) {
        let out = self.exchanges.get_mut(key.id).is_some_and(|e| e.is_out(key.attempt));
        if let Some(progress) = out.then(|| self.upstream.give_up(key)).flatten() {
            self.ended.push_back((key, outcome(progress)));
        }
    }

    /// Whatever is due.
    fn ring(&mut self) {
        loop {
            self.tick();
            let now = micros(self.now);
            let Some(Reverse((at, alarm))) = self.alarms.peek().copied() else { return };
            if at > now {
                return;
            }
            self.alarms.pop();
            match alarm {
                Alarm::Module(router, token) => self.tell(router, Event::Timer { token: Token(token) }),
                Alarm::Attempt(id, attempt) => {
                    let key = AttemptKey { id: RequestId(id), attempt: Try(attempt) };
                    self.give_up(key, Progress::timed_out);
                }
                Alarm::Deadline(id) => self.past_deadline(RequestId(id)),
                Alarm::Unsent(id) => self.still_unsent(RequestId(id)),
                Alarm::Cells => self.pass_cells(),
                Alarm::Spending => {
                    self.report();
                    self.tell_cold_parts();
                    self.alarms.push(Reverse((micros(self.now + SPENDING), Alarm::Spending)));
                }
                Alarm::Look => {
                    self.upstream.look();
                    self.alarms.push(Reverse((micros(self.now + LOOK), Alarm::Look)));
                }
                Alarm::Sweep => {
                    self.show_members();
                    self.upstream.sweep();
                    self.alarms.push(Reverse((micros(self.now + SWEEP), Alarm::Sweep)));
                    let open = self.exchanges.unanswered() as u64;
                    self.counters.open.store(open, Relaxed);
                }
            }
            self.settle_ended();
        }
    }

    fn pass_cells(&mut self) {
        let now = self.now;
        let Some(cells) = &mut self.cells else { return };
        if cells.cells.pass(now) {
            for m in cells.cells.moves() {
                eprintln!("cells: a shop moves from {} to {}: {:?}", m.from.0, m.to.0, m.step);
            }
        }
        self.alarms.push(Reverse((micros(now + CELLS), Alarm::Cells)));
        self.decided();
    }

    /// Refuses a request of which nothing has been written to a node; one of which something has goes on.
    fn still_unsent(&mut self, id: RequestId) {
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        let upstream = &mut self.upstream;
        let out: Vec<AttemptKey> = exchange.out().map(|attempt| AttemptKey { id, attempt }).collect();
        if exchange.is_answered()
            || exchange.may_have_run
            || out.iter().any(|key| upstream.may_have_run(*key))
        {
            return;
        }
        // First it is taken back, then the client is told that nothing has run: the other way round it could be
        // written in between, and run again when the client tries again.
        let all = out.len();
        let back: Vec<AttemptKey> = out.into_iter().filter(|key| upstream.withdraw(*key)).collect();
        let unsent = back.len() == all;
        self.ended.extend(back.into_iter().map(|key| (key, Outcome::Cancelled)));
        if !unsent {
            return;
        }
        let wait_ms = self.pause(id);
        self.exchanges.answer(id, Answer::Refused { wait_ms });
        self.counters.refused.fetch_add(1, Relaxed);
        self.over(id, Ended::Lost);
        self.expired(id);
        self.exchanges.settle(id);
    }

    fn past_deadline(&mut self, id: RequestId) {
        if self.exchanges.answer(id, Answer::Failed) {
            eprintln!("request {} was still open past its deadline: failed", id.0);
            self.counters.failed.fetch_add(1, Relaxed);
            self.over(id, Ended::Lost);
            self.expired(id);
            self.exchanges.settle(id);
        }
    }
}

#[cfg(test)]
mod tests;
