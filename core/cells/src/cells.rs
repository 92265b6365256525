//! All cells of a front: starts, queues or refuses each arriving request, and tracks completions, moves and shared
//! fills.

use std::collections::BTreeMap;

use elmtide_ratelimit::Buckets;
use rustc_hash::FxHashMap;

use crate::concurrency::ConcurrencyLimit;
use crate::evacuate::{self, Load};
use crate::layout::{CellIx, Layout, ShopId};
use crate::moves::{Move, MoveConditions, Step};
use crate::queue::{Enqueued, Queue, QueuedRequest};
use crate::shares::Shares;
use crate::{hash_to_unit, mix, Ms};

/// Maximum number of concurrent moves; a shop beyond it is served by its new cell at once.
const MAX_MOVES: usize = 64;
/// Maximum number of guests whose load is measured; others are served where the hash places them.
const MAX_MEASURED_GUESTS: usize = 1024;
/// Interval at which guests are placed.
const PLACEMENT_INTERVAL: Ms = 1000.0;
/// Maximum fraction of a host's concurrency limit that guests may use.
const MAX_GUEST_FRACTION: f64 = 0.5;

/// The properties of a request on which the cells decide.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub id: u32,
    pub shop: ShopId,
    pub object: u64,
    /// It must not run twice (a signup).
    pub once: bool,
    /// Cost of running it; 1 for an ordinary request.
    pub cost: f64,
    /// The time at which its client gives up.
    pub deadline: Ms,
}

/// Why a request is refused. Each reason has a counter and is described in the operators' documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// Its shop has exceeded its rate.
    ShopRate,
    /// Its shop may not have more waiting requests.
    ShopFull,
    /// Another request has taken its place in the queue: a signup of its shop, or one of a shop with fewer waiting
    /// requests.
    MadeRoom,
    /// It has waited until it was too late to start it.
    TooLate,
    /// Its cell has no ready cache node.
    NoBox,
    /// Its cell is evacuated, and its host has no capacity for guests.
    NoRoom,
}

impl RefusalReason {
    pub const ALL: [RefusalReason; 6] = [
        RefusalReason::ShopRate,
        RefusalReason::ShopFull,
        RefusalReason::MadeRoom,
        RefusalReason::TooLate,
        RefusalReason::NoBox,
        RefusalReason::NoRoom,
    ];

    /// The name in the counters.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::ShopRate => "shop_rate",
            RefusalReason::ShopFull => "shop_full",
            RefusalReason::MadeRoom => "made_room",
            RefusalReason::TooLate => "too_late",
            RefusalReason::NoBox => "no_box",
            RefusalReason::NoRoom => "no_room",
        }
    }

    /// Mean time after which the client may retry.
    fn mean_retry_after(self) -> Ms {
        match self {
            RefusalReason::ShopRate => 400.0,
            RefusalReason::ShopFull | RefusalReason::MadeRoom | RefusalReason::TooLate => 250.0,
            RefusalReason::NoBox | RefusalReason::NoRoom => 1000.0,
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Start {
        id: u32,
        cell: CellIx,
    },
    /// It is queued; [`Cells::poll`] returns the decision later.
    Wait,
    /// `retry_after` is randomized, so that clients refused together do not retry together.
    Refuse {
        id: u32,
        reason: RefusalReason,
        retry_after: Ms,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    Served,
    /// It timed out, was rejected by a node or failed: a sign that the cell's concurrency limit is too high.
    Failed,
    /// Its client has left, or its latency tells nothing about the cell.
    Abandoned,
}

/// A started request.
#[derive(Clone, Copy, Debug)]
struct Running {
    shop: ShopId,
    cell: CellIx,
    once: bool,
    guest: bool,
    started_at: Ms,
}

/// State of one cell.
#[derive(Debug)]
struct CellState {
    running: usize,
    /// Running requests of guests.
    guests: usize,
    /// Running requests of each shop that has any.
    running_by_shop: FxHashMap<ShopId, usize>,
    concurrency: ConcurrencyLimit,
    queue: Queue,
    ready_nodes: usize,
    retry_tokens: f64,
}

/// Where a guest is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GuestHost {
    /// By the cell that the hash selects, until its load is known.
    Hashed,
    Placed(CellIx),
    /// There was no capacity left after the guests of higher value.
    NoRoom,
}

/// The cells of a front.
#[derive(Debug)]
pub struct Cells {
    layout: Layout,
    states: Vec<CellState>,
    running: FxHashMap<u32, Running>,
    shop_rates: Buckets,
    fill_shares: Shares,
    moves: Vec<Move>,
    /// For each guest, its requests since the last placement and its host.
    guests: BTreeMap<ShopId, (u32, GuestHost)>,
    guests_placed_at: Ms,
    /// Decisions that [`Cells::poll`] has not returned yet.
    decisions: Vec<Decision>,
    seed: u64,
    now: Ms,
    /// Refusals by [`RefusalReason`].
    refused: [u64; 6],
}

fn idle_states(layout: &Layout) -> Vec<CellState> {
    let limits = layout.limits();
    let state = |_| CellState {
        running: 0,
        guests: 0,
        running_by_shop: FxHashMap::default(),
        concurrency: ConcurrencyLimit::new(limits.running, limits.tolerance),
        queue: Queue::new(limits.waiting, limits.waiting_of_shop),
        ready_nodes: 0,
        retry_tokens: 1.0,
    };
    layout.cells().iter().map(state).collect()
}

fn fill_shares(layout: &Layout, now: Ms) -> Shares {
    let fractions: Vec<f64> = layout.cells().iter().map(|c| c.source_share).collect();
    Shares::new(layout.limits().fills_per_s, &fractions, layout.limits().recall_ms, now)
}

impl Cells {
    /// Cells without ready cache nodes.
    pub fn new(layout: Layout, seed: u64, now: Ms) -> Cells {
        let now = if now.is_finite() { now } else { 0.0 };
        Cells {
            states: idle_states(&layout),
            running: FxHashMap::default(),
            shop_rates: Buckets::new(layout.limits().places, seed),
            fill_shares: fill_shares(&layout, now),
            moves: Vec::new(),
            guests: BTreeMap::new(),
            guests_placed_at: now,
            decisions: Vec::new(),
            seed,
            now,
            refused: [0; 6],
            layout,
        }
    }

    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Number of refusals so far, by reason.
    pub fn refused(&self) -> impl Iterator<Item = (RefusalReason, u64)> + '_ {
        RefusalReason::ALL.into_iter().zip(self.refused)
    }

    /// The current moves, and those undone since the last [`Cells::apply_layout`].
    pub fn moves(&self) -> &[Move] {
        &self.moves
    }

    /// Running requests, waiting requests and the concurrency limit of a cell.
    pub fn load(&self, cell: CellIx) -> Option<(usize, usize, f64)> {
        let state = self.states.get(usize::from(cell.0))?;
        Some((state.running, state.queue.len(), state.concurrency.limit()))
    }

    /// Advances the clock; a time before the last one is ignored.
    fn update_clock(&mut self, now: Ms) {
        if now > self.now {
            self.now = now;
        }
    }

    fn refuse(&mut self, id: u32, reason: RefusalReason) -> Decision {
        self.refused[reason as usize] += 1;
        let spread = hash_to_unit(self.seed ^ mix(u64::from(id)));
        Decision::Refuse { id, reason, retry_after: reason.mean_retry_after() * (0.5 + spread) }
    }

    /// Sets the number of a cell's ready cache nodes. While there is none, the cell's requests are refused, the waiting
    /// ones too.
    pub fn set_ready_nodes(&mut self, cell: CellIx, ready: usize, now: Ms) {
        self.update_clock(now);
        let Some(state) = self.states.get_mut(usize::from(cell.0)) else { return };
        state.ready_nodes = ready;
        if ready == 0 {
            let waiting = state.queue.clear();
            for queued in waiting {
                let refused = self.refuse(queued.id, RefusalReason::NoBox);
                self.decisions.push(refused);
            }
        }
    }

    /// The cell that serves a request of a shop, and whether as a guest.
    pub fn serving_cell(&self, shop: ShopId, object: u64, once: bool) -> (CellIx, bool) {
        // A move that was undone stays in force until the next layout.
        if let Some(m) = self.moves.iter().find(|m| m.shop == shop) {
            return (m.serving_cell(object, once), false);
        }
        match (self.layout.host_of(shop), self.guests.get(&shop)) {
            ((_, true), Some((_, GuestHost::Placed(host)))) => (*host, true),
            (default, _) => default,
        }
    }

    /// Starts, queues or refuses a request.
    pub fn admit(&mut self, arrival: Arrival, now: Ms) -> Decision {
        self.update_clock(now);
        let Arrival { id, shop, object, once, cost, deadline } = arrival;
        let limits = *self.layout.limits();
        let rate = self.layout.rule(shop).and_then(|r| r.rate).unwrap_or(limits.shop_rate);
        if rate > 0.0 && self.shop_rates.take(shop.0, rate, limits.shop_burst_s, self.now).is_err() {
            return self.refuse(id, RefusalReason::ShopRate);
        }
        let (cell, guest) = self.serving_cell(shop, object, once);
        if guest && self.record_guest_request(shop) && !once {
            return self.refuse(id, RefusalReason::NoRoom);
        }
        let index = usize::from(cell.0);
        let state = &self.states[index];
        if state.ready_nodes == 0 {
            return self.refuse(id, RefusalReason::NoBox);
        }
        let limit = state.concurrency.limit();
        let guests_full = state.guests as f64 >= limit * MAX_GUEST_FRACTION;
        if guest && (guests_full || state.running as f64 >= limit) {
            // Signups of guests may wait for capacity; other requests are refused at once.
            if !once || guests_full && !state.queue.is_empty() {
                return self.refuse(id, RefusalReason::NoRoom);
            }
        }
        if state.queue.is_empty() && self.may_start(index, shop) {
            self.start(id, shop, cell, once, guest);
            return Decision::Start { id, cell };
        }
        // It may wait for half of the remaining time; the other half is for running it.
        let start_by = self.now + (deadline - self.now).max(0.0) / 2.0;
        let request = QueuedRequest { id, shop, once, cost, start_by, arrived_at: self.now };
        match self.states[index].queue.enqueue(request) {
            Enqueued::Waiting => Decision::Wait,
            Enqueued::Displaced(other) => {
                let refused = self.refuse(other.id, RefusalReason::MadeRoom);
                self.decisions.push(refused);
                Decision::Wait
            }
            Enqueued::ShopFull => self.refuse(id, RefusalReason::ShopFull),
        }
    }

    /// Counts a guest's request; returns whether the last placement found no capacity for the guest.
    fn record_guest_request(&mut self, shop: ShopId) -> bool {
        if let Some((requests, host)) = self.guests.get_mut(&shop) {
            *requests += 1;
            return *host == GuestHost::NoRoom;
        }
        if self.guests.len() < MAX_MEASURED_GUESTS {
            self.guests.insert(shop, (1, GuestHost::Hashed));
        }
        false
    }

    /// Assigns guests to hosts, in the order of value per load.
    fn place_guests(&mut self) {
        if self.now - self.guests_placed_at < PLACEMENT_INTERVAL {
            return;
        }
        let passed_s = (self.now - self.guests_placed_at) / 1000.0;
        self.guests_placed_at = self.now;
        if !self.layout.cells().iter().any(|c| c.evacuate) {
            self.guests.clear();
            return;
        }
        self.guests.retain(|_, (requests, _)| *requests > 0);
        let latency = |cell: CellIx| self.states[usize::from(cell.0)].concurrency.mean_latency().max(1.0);
        let load = |(shop, (requests, host)): (&ShopId, &(u32, GuestHost))| {
            let rate = f64::from(*requests) / passed_s;
            let host = match host {
                GuestHost::Placed(cell) => *cell,
                GuestHost::Hashed | GuestHost::NoRoom => self.layout.host_of(*shop).0,
            };
            // Its concurrent requests by Little's law.
            let running = rate * latency(host) / 1000.0;
            Load { shop: *shop, running, worth: rate * self.layout.worth_of(*shop), host }
        };
        let loads: Vec<Load> = self.guests.iter().map(load).collect();
        let hosts = self
            .layout
            .cells()
            .iter()
            .zip(&self.states)
            .enumerate()
            .filter(|(_, (c, s))| !c.evacuate && s.ready_nodes > 0);
        let capacities: Vec<(CellIx, f64)> =
            hosts.map(|(i, (_, s))| (CellIx(i as u16), s.concurrency.limit() * MAX_GUEST_FRACTION)).collect();
        let plan = evacuate::plan(&loads, &capacities);
        for (_, (requests, host)) in self.guests.iter_mut() {
            (*requests, *host) = (0, GuestHost::NoRoom);
        }
        for (shop, host) in plan.placed {
            self.guests.insert(shop, (0, GuestHost::Placed(host)));
        }
    }

    /// Whether the cell has capacity, also within the shop's share of it while other shops run or wait.
    fn may_start(&self, index: usize, shop: ShopId) -> bool {
        let state = &self.states[index];
        let limit = state.concurrency.limit();
        let own = state.running_by_shop.get(&shop).copied().unwrap_or(0) as f64;
        let has_others = state.running_by_shop.len() > usize::from(own > 0.0) || state.queue.shop_count() > 1;
        let shop_limit = if has_others { (limit * self.layout.limits().shop_share).max(1.0) } else { limit };
        (state.running as f64) < limit.max(1.0) && own < shop_limit
    }

    fn start(&mut self, id: u32, shop: ShopId, cell: CellIx, once: bool, guest: bool) {
        let state = &mut self.states[usize::from(cell.0)];
        state.running += 1;
        state.guests += usize::from(guest);
        *state.running_by_shop.entry(shop).or_insert(0) += 1;
        // Each request adds a fraction of a retry to the budget of its own cell.
        state.retry_tokens =
            (state.retry_tokens + self.layout.limits().retry_fraction).min(10.0 + state.concurrency.limit());
        self.running.insert(id, Running { shop, cell, once, guest, started_at: self.now });
    }

    /// Takes a retry of a request from the budget of its cell; returns whether there was one. A cell's retries never
    /// use up the budget of another.
    pub fn take_retry(&mut self, id: u32) -> bool {
        let Some(running) = self.running.get(&id) else { return false };
        let state = &mut self.states[usize::from(running.cell.0)];
        let allowed = state.retry_tokens >= 1.0;
        if allowed {
            state.retry_tokens -= 1.0;
        }
        allowed
    }

    /// The cell in which a request runs.
    pub fn cell_of(&self, id: u32) -> Option<CellIx> {
        self.running.get(&id).map(|r| r.cell)
    }

    /// Whether a cell may fill a miss from parents or origin.
    pub fn may_fill(&mut self, cell: CellIx, now: Ms) -> bool {
        self.update_clock(now);
        self.fill_shares.has_token(usize::from(cell.0), self.now)
    }

    /// Records that a cell has filled a miss from parents or origin.
    pub fn record_fill(&mut self, cell: CellIx, now: Ms) {
        self.update_clock(now);
        let _ = self.fill_shares.take(usize::from(cell.0), self.now);
    }

    /// Records the end of a request. Waiting requests may start in its place; [`Cells::poll`] returns them.
    pub fn end(&mut self, id: u32, completion: Completion, now: Ms) {
        self.update_clock(now);
        let Some(running) = self.running.remove(&id) else {
            for state in &mut self.states {
                if state.queue.remove(id) {
                    return;
                }
            }
            return;
        };
        let state = &mut self.states[usize::from(running.cell.0)];
        let running_before = state.running;
        state.running = state.running.saturating_sub(1);
        state.guests = state.guests.saturating_sub(usize::from(running.guest));
        if let Some(own) = state.running_by_shop.get_mut(&running.shop) {
            *own -= 1;
            if *own == 0 {
                state.running_by_shop.remove(&running.shop);
            }
        }
        if completion != Completion::Abandoned {
            state.concurrency.record(
                self.now - running.started_at,
                running_before,
                completion == Completion::Failed,
                self.now,
            );
        }
        self.start_queued(usize::from(running.cell.0));
    }

    fn start_queued(&mut self, index: usize) {
        loop {
            let state = &self.states[index];
            let limit = state.concurrency.limit().max(1.0);
            if state.running as f64 >= limit || state.queue.is_empty() {
                return;
            }
            let shop_limit = if state.queue.shop_count() > 1 || state.running_by_shop.len() > 1 {
                (limit * self.layout.limits().shop_share).max(1.0)
            } else {
                limit
            };
            let CellState { queue, running_by_shop, .. } = &mut self.states[index];
            let may_start =
                |shop: ShopId| (running_by_shop.get(&shop).copied().unwrap_or(0) as f64) < shop_limit;
            let Some(next) = queue.dequeue(may_start) else { return };
            if next.start_by <= self.now {
                let refused = self.refuse(next.id, RefusalReason::TooLate);
                self.decisions.push(refused);
                continue;
            }
            let cell = CellIx(index as u16);
            let guest = self.layout.host_of(next.shop).1 && cell != self.layout.cell_of(next.shop);
            self.start(next.id, next.shop, cell, next.once, guest);
            self.decisions.push(Decision::Start { id: next.id, cell });
        }
    }

    /// Does what is due at `now`: refuses requests that have waited too long, starts waiting ones, places guests and
    /// advances moves. Returns whether a move has changed.
    pub fn advance(&mut self, now: Ms) -> bool {
        self.update_clock(now);
        for index in 0..self.states.len() {
            for expired in self.states[index].queue.take_expired(self.now) {
                let refused = self.refuse(expired.id, RefusalReason::TooLate);
                self.decisions.push(refused);
            }
            self.start_queued(index);
        }
        self.place_guests();
        self.advance_moves()
    }

    fn advance_moves(&mut self) -> bool {
        let mut changed = false;
        for index in 0..self.moves.len() {
            let m = &self.moves[index];
            let target = &self.states[usize::from(m.to.0)];
            let others = self.moves.iter().enumerate().filter(|(other, _)| *other != index);
            let conditions = MoveConditions {
                target_ready: target.ready_nodes > 0,
                target_overloaded: target.concurrency.is_overloaded(self.now) || !target.queue.is_empty(),
                target_busy: others.clone().any(|(_, o)| o.to == m.to && o.is_warming()),
                signups_in_old_cell: (self.running.values())
                    .filter(|r| r.once && r.shop == m.shop && r.cell == m.from)
                    .count(),
            };
            changed |= self.moves[index].advance(conditions, self.now);
        }
        // The layout already maps the shop of a completed move to its new cell. An undone move is kept until the next
        // layout, so that the shop stays in its old cell.
        self.moves.retain(|m| m.step != Step::Done);
        changed
    }

    /// The latest time for the next call of [`Cells::advance`]; `None` if nothing is due.
    pub fn next_advance_by(&self) -> Option<Ms> {
        let queues = self.states.iter().filter_map(|s| s.queue.next_expiry());
        let moves = self.moves.iter().filter(|m| !m.is_finished()).map(|_| self.now + 100.0);
        queues.chain(moves).min_by(f64::total_cmp)
    }

    /// The next decision on a request that was waiting.
    pub fn poll(&mut self) -> Option<Decision> {
        match self.decisions.is_empty() {
            true => None,
            false => Some(self.decisions.remove(0)),
        }
    }

    /// Replaces the layout. Shops that the configuration names and the new layout maps to another cell are moved step
    /// by step. Shops without a rule change cells at once: the rendezvous hash moves few of them for each change.
    /// Requests in flight end where they are.
    pub fn apply_layout(&mut self, layout: Layout, now: Ms) -> Result<(), String> {
        self.update_clock(now);
        let old = std::mem::replace(&mut self.layout, layout);
        let name = |layout: &Layout, cell: CellIx| layout.cells()[usize::from(cell.0)].name.clone();
        // Cells keep their state by name.
        let mut new_states = idle_states(&self.layout);
        let mut new_index: BTreeMap<CellIx, CellIx> = BTreeMap::new();
        let mut removed = Vec::new();
        for (index, state) in std::mem::take(&mut self.states).into_iter().enumerate() {
            let old_cell = CellIx(index as u16);
            match self.layout.cell_by_name(&name(&old, old_cell)) {
                Some(new_cell) => {
                    new_index.insert(old_cell, new_cell);
                    new_states[usize::from(new_cell.0)] = state;
                }
                None => removed.push(state),
            }
        }
        self.states = new_states;
        for mut state in removed {
            for queued in state.queue.clear() {
                let refused = self.refuse(queued.id, RefusalReason::NoBox);
                self.decisions.push(refused);
            }
        }
        // Requests running in a removed cell are no longer tracked.
        self.running.retain(|_, r| match new_index.get(&r.cell) {
            Some(new_cell) => {
                r.cell = *new_cell;
                true
            }
            None => false,
        });
        let limits = *self.layout.limits();
        let mut moves = Vec::new();
        let old_moves = std::mem::take(&mut self.moves);
        let shops: Vec<ShopId> = self.layout.shops().collect();
        for shop in shops {
            let to = self.layout.cell_of(shop);
            let old_move = old_moves.iter().find(|m| m.shop == shop);
            let from = match old_move {
                Some(m) => new_index.get(&m.from).copied(),
                None => new_index.get(&old.cell_of(shop)).copied(),
            };
            match (old_move, from) {
                // The same move goes on. A move that the new layout takes back is dropped, which undoes it.
                (Some(m), Some(from)) if new_index.get(&m.to) == Some(&to) && from != to => {
                    moves.push(Move { from, to, ..m.clone() });
                }
                (_, Some(from)) if from != to && moves.len() < MAX_MOVES => {
                    moves.push(Move::new(
                        shop,
                        from,
                        to,
                        limits.warm_step_ms,
                        limits.max_request_ms,
                        self.now,
                    ));
                }
                _ => {}
            }
        }
        self.moves = moves;
        // Indexes of cells may have changed: the hash selects the hosts of guests until the next placement.
        self.guests.clear();
        self.fill_shares = fill_shares(&self.layout, self.now);
        Ok(())
    }

    /// Undoes the move of a shop, at any step; returns whether there was something to undo.
    pub fn undo_move(&mut self, shop: ShopId, now: Ms) -> bool {
        self.update_clock(now);
        let now = self.now;
        self.moves.iter_mut().find(|m| m.shop == shop).is_some_and(|m| m.undo(now))
    }
}
