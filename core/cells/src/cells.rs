//! All cells of a front: each arrival is started, made to wait or refused; ends, moves and what is common are followed.

use std::collections::BTreeMap;

use elmtide_ratelimit::Buckets;
use rustc_hash::FxHashMap;

use crate::concurrency::Concurrency;
use crate::evacuate::{self, Load};
use crate::layout::{CellIx, Layout, ShopId};
use crate::moves::{Facts, Move, Step};
use crate::queue::{Entered, Queue, Waiting};
use crate::shares::Shares;
use crate::{mix, unit, Ms};

/// Moves under way at once; others wait for their turn in the file.
const MOVES: usize = 64;
/// Shops of cells that are being emptied, whose load is followed; others go where they are drawn.
const FOLLOWED: usize = 1024;
/// Guests are placed anew so often.
const PLACED: Ms = 1000.0;
/// Guests of a cell that is being emptied use so much of their host's room at most.
const GUESTS: f64 = 0.5;

/// A request as far as cells are concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub id: u32,
    pub shop: ShopId,
    pub object: u64,
    /// It must not run twice.
    pub once: bool,
    /// 1 for an ordinary request.
    pub cost: f64,
    /// When its client gives up.
    pub deadline: Ms,
}

/// Why a request is refused. Each is a counter, and a line in the operators' page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Its shop asks more than its rate.
    ShopRate,
    /// Its shop has as much waiting as it may.
    ShopFull,
    /// Others of its cell had less waiting, and it lost its place to one of them.
    MadeRoom,
    /// It has waited until it was too late to begin.
    TooLate,
    /// Its cell has no box that is ready.
    NoBox,
    /// Its cell is being emptied, and its host has no room for guests.
    NoRoom,
}

impl Why {
    pub const ALL: [Why; 6] =
        [Why::ShopRate, Why::ShopFull, Why::MadeRoom, Why::TooLate, Why::NoBox, Why::NoRoom];

    pub fn name(self) -> &'static str {
        match self {
            Why::ShopRate => "shop_rate",
            Why::ShopFull => "shop_full",
            Why::MadeRoom => "made_room",
            Why::TooLate => "too_late",
            Why::NoBox => "no_box",
            Why::NoRoom => "no_room",
        }
    }

    /// After how long a client may come back, before it is spread.
    fn wait(self) -> Ms {
        match self {
            Why::ShopRate => 400.0,
            Why::ShopFull | Why::MadeRoom | Why::TooLate => 250.0,
            Why::NoBox | Why::NoRoom => 1000.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Start {
        id: u32,
        cell: CellIx,
    },
    /// It is told later, by [`Cells::poll`].
    Wait,
    /// `wait` is spread, so that those refused together do not come back together.
    Refuse {
        id: u32,
        why: Why,
        wait: Ms,
    },
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Served,
    /// Timed out, turned away or failed: its cell bears less than was thought.
    Lost,
    /// Its client has left, or nothing is to be learned.
    Left,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    shop: ShopId,
    cell: CellIx,
    once: bool,
    guest: bool,
    since: Ms,
}

#[derive(Debug)]
struct State {
    running: usize,
    guests: usize,
    /// Of each shop that has any.
    of_shop: FxHashMap<ShopId, usize>,
    concurrency: Concurrency,
    queue: Queue,
    ready_boxes: usize,
    retries: f64,
}

/// Where a guest is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Host {
    /// Where the hash draws it, until its load is known.
    Drawn,
    Placed(CellIx),
    /// Others were worth more.
    NoRoom,
}

/// The cells of a front.
#[derive(Debug)]
pub struct Cells {
    layout: Layout,
    states: Vec<State>,
    running: FxHashMap<u32, Running>,
    buckets: Buckets,
    fills: Shares,
    moves: Vec<Move>,
    /// Guests: what they asked since they were placed last, and where they are.
    guests: BTreeMap<ShopId, (u32, Host)>,
    placed: Ms,
    out: Vec<Decision>,
    seed: u64,
    now: Ms,
    refused: [u64; 6],
}

fn states(layout: &Layout) -> Vec<State> {
    let limits = layout.limits();
    let state = |_| State {
        running: 0,
        guests: 0,
        of_shop: FxHashMap::default(),
        concurrency: Concurrency::new(limits.running, limits.tolerance),
        queue: Queue::new(limits.waiting, limits.waiting_of_shop),
        ready_boxes: 0,
        retries: 1.0,
    };
    layout.cells().iter().map(state).collect()
}

fn fills(layout: &Layout, now: Ms) -> Shares {
    let parts: Vec<f64> = layout.cells().iter().map(|c| c.source_share).collect();
    Shares::new(layout.limits().fills, &parts, layout.limits().recall, now)
}

impl Cells {
    pub fn new(layout: Layout, seed: u64, now: Ms) -> Cells {
        let now = if now.is_finite() { now } else { 0.0 };
        Cells {
            states: states(&layout),
            running: FxHashMap::default(),
            buckets: Buckets::new(layout.limits().places, seed),
            fills: fills(&layout, now),
            moves: Vec::new(),
            guests: BTreeMap::new(),
            placed: now,
            out: Vec::new(),
            seed,
            now,
            refused: [0; 6],
            layout,
        }
    }

    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Refusals so far, by cause.
    pub fn refused(&self) -> impl Iterator<Item = (Why, u64)> + '_ {
        Why::ALL.into_iter().zip(self.refused)
    }

    pub fn moves(&self) -> &[Move] {
        &self.moves
    }

    /// Running, waiting and the limit of a cell.
    pub fn load(&self, cell: CellIx) -> Option<(usize, usize, f64)> {
        let state = self.states.get(usize::from(cell.0))?;
        Some((state.running, state.queue.len(), state.concurrency.limit()))
    }

    fn tick(&mut self, now: Ms) {
        if now > self.now {
            self.now = now;
        }
    }

    fn refuse(&mut self, id: u32, why: Why) -> Decision {
        self.refused[why as usize] += 1;
        let spread = unit(self.seed ^ mix(u64::from(id)));
        Decision::Refuse { id, why, wait: why.wait() * (0.5 + spread) }
    }

    /// How many of a cell's boxes are ready. Without one its requests are refused, those that wait too.
    pub fn boxes(&mut self, cell: CellIx, ready: usize, now: Ms) {
        self.tick(now);
        let Some(state) = self.states.get_mut(usize::from(cell.0)) else { return };
        state.ready_boxes = ready;
        if ready == 0 {
            let waiting = state.queue.clear();
            for w in waiting {
                let refused = self.refuse(w.id, Why::NoBox);
                self.out.push(refused);
            }
        }
    }

    /// Where a request of a shop is served, and whether as a guest.
    pub fn place(&self, shop: ShopId, object: u64, once: bool) -> (CellIx, bool) {
        // One that was undone stands until the file says otherwise.
        if let Some(m) = self.moves.iter().find(|m| m.shop == shop) {
            return (m.place(object, once), false);
        }
        match (self.layout.host_of(shop), self.guests.get(&shop)) {
            ((_, true), Some((_, Host::Placed(host)))) => (*host, true),
            (drawn, _) => drawn,
        }
    }

    /// Decides on an arrival.
    pub fn arrive(&mut self, arrival: Arrival, now: Ms) -> Decision {
        self.tick(now);
        let Arrival { id, shop, object, once, cost, deadline } = arrival;
        let limits = *self.layout.limits();
        let rate = self.layout.rule(shop).and_then(|r| r.rate).unwrap_or(limits.shop_rate);
        if rate > 0.0 && self.buckets.take(shop.0, rate, limits.shop_burst_s, self.now).is_err() {
            return self.refuse(id, Why::ShopRate);
        }
        let (cell, guest) = self.place(shop, object, once);
        if guest && self.turned_out(shop) && !once {
            return self.refuse(id, Why::NoRoom);
        }
        let place = usize::from(cell.0);
        let state = &self.states[place];
        if state.ready_boxes == 0 {
            return self.refuse(id, Why::NoBox);
        }
        let room = state.concurrency.limit();
        let guests_full = state.guests as f64 >= room * GUESTS;
        if guest && (guests_full || state.running as f64 >= room) {
            // Signups of guests may wait for room; the rest is refused at once.
            if !once || guests_full && !state.queue.is_empty() {
                return self.refuse(id, Why::NoRoom);
            }
        }
        if state.queue.is_empty() && self.may_start(place, shop) {
            self.start(id, shop, cell, once, guest);
            return Decision::Start { id, cell };
        }
        // Too late to begin is half of what is left: the other half is for running it.
        let latest = self.now + (deadline - self.now).max(0.0) / 2.0;
        let waiting = Waiting { id, shop, once, cost, latest, came: self.now };
        match self.states[place].queue.enter(waiting) {
            Entered::Waits => Decision::Wait,
            Entered::Instead(other) => {
                let refused = self.refuse(other.id, Why::MadeRoom);
                self.out.push(refused);
                Decision::Wait
            }
            Entered::ShopFull => self.refuse(id, Why::ShopFull),
        }
    }

    /// Counts a guest's request; whether there is no room for it.
    fn turned_out(&mut self, shop: ShopId) -> bool {
        if let Some((asked, host)) = self.guests.get_mut(&shop) {
            *asked += 1;
            return *host == Host::NoRoom;
        }
        if self.guests.len() < FOLLOWED {
            self.guests.insert(shop, (1, Host::Drawn));
        }
        false
    }

    /// Places guests by what they are worth for the room that they take.
    fn place_guests(&mut self) {
        if self.now - self.placed < PLACED {
            return;
        }
        let seconds = (self.now - self.placed) / 1000.0;
        self.placed = self.now;
        if !self.layout.cells().iter().any(|c| c.evacuate) {
            self.guests.clear();
            return;
        }
        self.guests.retain(|_, (asked, _)| *asked > 0);
        let latency = |cell: CellIx| self.states[usize::from(cell.0)].concurrency.latency().max(1.0);
        let load = |(shop, (asked, host)): (&ShopId, &(u32, Host))| {
            let rate = f64::from(*asked) / seconds;
            let host = match host {
                Host::Placed(cell) => *cell,
                Host::Drawn | Host::NoRoom => self.layout.host_of(*shop).0,
            };
            // By Little's law, what it keeps running.
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
            .filter(|(_, (c, s))| !c.evacuate && s.ready_boxes > 0);
        let room: Vec<(CellIx, f64)> =
            hosts.map(|(p, (_, s))| (CellIx(p as u16), s.concurrency.limit() * GUESTS)).collect();
        let plan = evacuate::plan(&loads, &room);
        for (_, (asked, host)) in self.guests.iter_mut() {
            (*asked, *host) = (0, Host::NoRoom);
        }
        for (shop, host) in plan.moved {
            self.guests.insert(shop, (0, Host::Placed(host)));
        }
    }

    /// Room in the cell, and in the shop's part of it while others wait.
    fn may_start(&self, place: usize, shop: ShopId) -> bool {
        let state = &self.states[place];
        let limit = state.concurrency.limit();
        let own = state.of_shop.get(&shop).copied().unwrap_or(0) as f64;
        let others = state.of_shop.len() > usize::from(own > 0.0) || state.queue.shops() > 1;
        let part = if others { (limit * self.layout.limits().shop_share).max(1.0) } else { limit };
        (state.running as f64) < limit.max(1.0) && own < part
    }

    fn start(&mut self, id: u32, shop: ShopId, cell: CellIx, once: bool, guest: bool) {
        let state = &mut self.states[usize::from(cell.0)];
        state.running += 1;
        state.guests += usize::from(guest);
        *state.of_shop.entry(shop).or_insert(0) += 1;
        // Each request earns a part of a repeat, for its own cell only.
        state.retries =
            (state.retries + self.layout.limits().retry_part).min(10.0 + state.concurrency.limit());
        self.running.insert(id, Running { shop, cell, once, guest, since: self.now });
    }

    /// Whether a further attempt of a request may be sent: one cell's repeats never use up another's.
    pub fn may_repeat(&mut self, id: u32) -> bool {
        let Some(running) = self.running.get(&id) else { return false };
        let state = &mut self.states[usize::from(running.cell.0)];
        let may = state.retries >= 1.0;
        if may {
            state.retries -= 1.0;
        }
        may
    }

    /// The cell in which a request runs.
    pub fn cell_of(&self, id: u32) -> Option<CellIx> {
        self.running.get(&id).map(|r| r.cell)
    }

    /// Whether a cell may have a miss filled from what is common.
    pub fn may_fill(&mut self, cell: CellIx, now: Ms) -> bool {
        self.tick(now);
        self.fills.may(usize::from(cell.0), self.now)
    }

    /// A miss of a cell has been filled from what is common.
    pub fn filled(&mut self, cell: CellIx, now: Ms) {
        self.tick(now);
        let _ = self.fills.draw(usize::from(cell.0), self.now);
    }

    /// A request has ended; what waits may start, which [`Cells::poll`] tells.
    pub fn end(&mut self, id: u32, ended: Ended, now: Ms) {
        self.tick(now);
        let Some(running) = self.running.remove(&id) else {
            for state in &mut self.states {
                if state.queue.leave(id) {
                    return;
                }
            }
            return;
        };
        let state = &mut self.states[usize::from(running.cell.0)];
        let at_once = state.running;
        state.running = state.running.saturating_sub(1);
        state.guests = state.guests.saturating_sub(usize::from(running.guest));
        if let Some(own) = state.of_shop.get_mut(&running.shop) {
            *own -= 1;
            if *own == 0 {
                state.of_shop.remove(&running.shop);
            }
        }
        if ended != Ended::Left {
            state.concurrency.back(self.now - running.since, at_once, ended == Ended::Lost, self.now);
        }
        self.start_waiting(usize::from(running.cell.0));
    }

    fn start_waiting(&mut self, place: usize) {
        loop {
            let state = &self.states[place];
            let limit = state.concurrency.limit().max(1.0);
            if state.running as f64 >= limit || state.queue.is_empty() {
                return;
            }
            let share = if state.queue.shops() > 1 || state.of_shop.len() > 1 {
                (limit * self.layout.limits().shop_share).max(1.0)
            } else {
                limit
            };
            let State { queue, of_shop, .. } = &mut self.states[place];
            let may = |shop: ShopId| (of_shop.get(&shop).copied().unwrap_or(0) as f64) < share;
            let Some(next) = queue.next(may) else { return };
            if next.latest <= self.now {
                let refused = self.refuse(next.id, Why::TooLate);
                self.out.push(refused);
                continue;
            }
            let cell = CellIx(place as u16);
            let guest = self.layout.host_of(next.shop).1 && cell != self.layout.cell_of(next.shop);
            self.start(next.id, next.shop, cell, next.once, guest);
            self.out.push(Decision::Start { id: next.id, cell });
        }
    }

    /// Time passes: those that waited too long are refused, moves go on. True where a move has changed.
    pub fn pass(&mut self, now: Ms) -> bool {
        self.tick(now);
        for place in 0..self.states.len() {
            for late in self.states[place].queue.overdue(self.now) {
                let refused = self.refuse(late.id, Why::TooLate);
                self.out.push(refused);
            }
            self.start_waiting(place);
        }
        self.place_guests();
        self.advance_moves()
    }

    fn advance_moves(&mut self) -> bool {
        let mut changed = false;
        for place in 0..self.moves.len() {
            let m = &self.moves[place];
            let target = &self.states[usize::from(m.to.0)];
            let others = self.moves.iter().enumerate().filter(|(other, _)| *other != place);
            let facts = Facts {
                target_ready: target.ready_boxes > 0,
                target_strained: target.concurrency.strained(self.now) || !target.queue.is_empty(),
                target_taken: others.clone().any(|(_, o)| o.to == m.to && o.warms()),
                once_in_old: (self.running.values())
                    .filter(|r| r.once && r.shop == m.shop && r.cell == m.from)
                    .count(),
            };
            changed |= self.moves[place].advance(facts, self.now);
        }
        // What is done is the layout's own word by now; what is undone is until the file says otherwise.
        self.moves.retain(|m| m.step != Step::Done);
        changed
    }

    /// When [`Cells::pass`] is due at the latest.
    pub fn due(&self) -> Option<Ms> {
        let queues = self.states.iter().filter_map(|s| s.queue.due());
        let moves = self.moves.iter().filter(|m| !m.is_over()).map(|_| self.now + 100.0);
        queues.chain(moves).min_by(f64::total_cmp)
    }

    /// What has been decided of those that waited.
    pub fn poll(&mut self) -> Option<Decision> {
        match self.out.is_empty() {
            true => None,
            false => Some(self.out.remove(0)),
        }
    }

    /// Another layout. Shops that it maps elsewhere are moved step by step where the file names them; the many that are
    /// drawn by hash are few for each change, and go at once. Requests in flight end where they are.
    pub fn relayout(&mut self, layout: Layout, now: Ms) -> Result<(), String> {
        self.tick(now);
        let old = std::mem::replace(&mut self.layout, layout);
        let name = |layout: &Layout, cell: CellIx| layout.cells()[usize::from(cell.0)].name.clone();
        // Cells keep their state by name.
        let mut fresh = states(&self.layout);
        let mut renamed: BTreeMap<CellIx, CellIx> = BTreeMap::new();
        let mut gone = Vec::new();
        for (place, state) in std::mem::take(&mut self.states).into_iter().enumerate() {
            let was = CellIx(place as u16);
            match self.layout.cell(&name(&old, was)) {
                Some(is) => {
                    renamed.insert(was, is);
                    fresh[usize::from(is.0)] = state;
                }
                None => gone.push(state),
            }
        }
        self.states = fresh;
        for mut state in gone {
            for w in state.queue.clear() {
                let refused = self.refuse(w.id, Why::NoBox);
                self.out.push(refused);
            }
        }
        // What runs in a cell that is no more ends without being counted anywhere.
        self.running.retain(|_, r| match renamed.get(&r.cell) {
            Some(is) => {
                r.cell = *is;
                true
            }
            None => false,
        });
        let limits = *self.layout.limits();
        let mut moves = Vec::new();
        let under_way = std::mem::take(&mut self.moves);
        let shops: Vec<ShopId> = self.layout.shops().collect();
        for shop in shops {
            let to = self.layout.cell_of(shop);
            let before = under_way.iter().find(|m| m.shop == shop);
            let from = match before {
                Some(m) => renamed.get(&m.from).copied(),
                None => renamed.get(&old.cell_of(shop)).copied(),
            };
            match (before, from) {
                // The same move goes on; one that is taken back is undone by there being none.
                (Some(m), Some(from)) if renamed.get(&m.to) == Some(&to) && from != to => {
                    moves.push(Move { from, to, ..m.clone() });
                }
                (_, Some(from)) if from != to && moves.len() < MOVES => {
                    moves.push(Move::new(shop, from, to, limits.warm_step, limits.longest, self.now));
                }
                _ => {}
            }
        }
        self.moves = moves;
        // Cells may have other places now: guests are drawn, and placed anew soon.
        self.guests.clear();
        self.fills = fills(&self.layout, self.now);
        Ok(())
    }

    /// Takes a move back, from whatever step.
    pub fn undo(&mut self, shop: ShopId, now: Ms) -> bool {
        self.tick(now);
        let now = self.now;
        self.moves.iter_mut().find(|m| m.shop == shop).is_some_and(|m| m.undo(now))
    }
}
