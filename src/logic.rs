//! All routing decisions; each front runs one `Router`. The types are in src/interface.rs. Sections:
//! constants, ring table, members and ramps, outliers, cold budgets, requests. Times are in ms. The
//! work of an answer is its sending time at the full rate of one transfer; a member whose link carries n
//! transfers at that rate sends n ms of work per ms.

use std::collections::{BTreeMap, VecDeque};

use crate::health::{Health, EJECT_SHARE};
use crate::interface::*;
use crate::open_requests::{Attempt, Lookup, OpenRequest};
use crate::purges::PurgeLog;

// ---- Constants -------------------------------------------------------------------------------------------

const GROUP_SIZE: usize = 3; // r in SPREAD: one member serves, two take over when losses overlap
const STRETCH_SIGMA: f64 = 8.0; // sigma in s = sigma ln N: 3 members cross each subframe several times
const SLOTS_PER_STRETCH: f64 = 4.0; // 1/alpha: rounds shares by a few percent at most
const SUBFRAME_EPSILON: f64 = 0.5; // epsilon in SPREAD: moves interval ends by at most half a frame
const MAX_HALVINGS: u32 = 12; // limits the halving of the ring where start points nearly coincide
const RAMP_STEPS: f64 = 6.0; // few, because each step of a ramp moves objects
const MAX_FORMER_RINGS: usize = 4; // previous cache tables that are searched for an object's last owner
const FORMER_OWNER_MS: Ms = 10_000.0; // how long a former owner is asked: unused copies stay about as long

const OVERHEAD_MS: Ms = 100.0; // added to the work when latencies are compared: round trips and queues
const LEARNING_RATE: f64 = 0.02; // weight of a new sample in a mean: about 50 samples count
const INITIAL_RATIO: (f64, f64) = (1.5, 0.7); // assumed latency / (work + OVERHEAD_MS) and its deviation
const OVERDUE_DEVIATIONS: f64 = 3.0; // mean deviations until an answer is overdue: 1 good answer in 50
const LATE_MIN: f64 = 1.5; // multiple of the usual latency up to which an answer counts as good
const LATE_MAX: f64 = 4.0; // multiple from which it counts as a failure; in between in proportion
const PEER_FACTOR: f64 = 2.0; // peers this bad have a common cause, such as a full link or a slow origin
const POSSIBLE_HIT_CREDIT: f64 = 0.3; // for the source of an answer that may have been a hit: most are

const COLD_SHARE_USED: f64 = 0.6; // used part of a cold budget: weights are rough, sizes and fronts vary
const OVERRUN_FACTOR: f64 = 2.6; // multiple of a cache's fair transfers that passes requests down the group
const SHED_MIN: f64 = 2.0; // a request is refused at this multiple of the fair transfers in its whole group
const SHED_MAX: f64 = 5.0; // and at most at this one: its size and the time left decide
const FAIR_LARGE_SHARE: f64 = 0.7; // of its class's answered share, owed to requests over the mean work
const RETRY_RATE: f64 = 0.1; // retries earned per request: bounds how far retries multiply an overload
const RETRY_BURST: f64 = 20.0; // maximum number of saved retries
const MIN_WAIT_PART: f64 = 0.6; // minimum part of the maximum retry-after: spreads the clients' returns
const LINK_GUARD_END: f64 = 0.05; // share of bad outcomes that ends the guard
const LINK_GUARD_BEGIN: f64 = 0.12; // share of bad outcomes that begins it
const LINK_GUARD_RATE: f64 = 0.03; // weight of a new outcome in that level: about 30 outcomes count
const ORIGIN_SHARE: f64 = 0.2; // origin fetches when a guard begins, per transfer that all zone links carry
const ZONE_LINK_RATIO: f64 = 0.5; // zone link by cache links, if not set: caches serve most themselves
const ORIGIN_GUARD_RATE: f64 = 0.3; // weight of a new origin fetch: each of many fronts sees one a second
const ORIGIN_GUARD_END: f64 = 0.2; // mean badness of origin fetches that ends the guard
const ORIGIN_GUARD_BEGIN: f64 = 0.45; // mean badness that begins it: three bad fetches in a row
const ORIGIN_WAIT_MIN: f64 = 1.5; // multiple of the usual origin wait up to which a fetch is not bad at all
const ORIGIN_WAIT_MAX: f64 = 4.0; // multiple from which it is fully bad
const WINDOW_STEPS: (f64, f64) = (0.94, 1.03); // factors of a window for one front: late fill, timely fill
const MIN_WINDOW: f64 = 0.25; // minimum part of the initial window: a smaller one never notices a free path
const WINDOW_REGROWTH_MS: Ms = 12_000.0; // time to grow by e: too few fills in a small window to judge by
const PARENT_FILLS: f64 = 2.0; // guarded fills of all fronts at a parent, per transfer that its link carries
const DRAW_PERIOD_MS: Ms = 400.0; // period of draws for fractional limits: one per request limits nothing
const DEFAULT_ATTEMPTS: u32 = 3; // if the settings give no limit
const MIN_ATTEMPT_MS: Ms = 10.0; // with less time before the deadline no attempt starts: it could not return

const PURGE_MARGIN_MS: Ms = 2.0; // subtracted from the maximum age after a purge: clocks and rounding
const MIN_COPY_AGE_MS: Ms = 1.0; // lowest maximum age that can be requested
const KEEP_REMOVED_MS: Ms = 120_000.0; // a removed member is kept for late replies
const SUBSCRIBE_RETRY_MS: Ms = 1000.0; // until a failed subscription is retried
const SUBSCRIBE_TOKEN: Token = Token(u64::MAX);

// ---- Ring table (SPREAD) ---------------------------------------------------------------------------------

/// A seeded hash. All routers must compute the same values.
fn hash(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_add(0x2545_F491_4F6C_DD1D).rotate_left(31);
    for _ in 0..2 {
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^= z >> 31;
    }
    z
}

/// Maps random bits to [0, 1).
fn uniform(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// A configured or reported number, if it is finite and positive.
fn valid(value: Option<f64>) -> Option<f64> {
    value.filter(|v| v.is_finite() && *v > 0.0)
}

/// Normalized weights, none above `cap`. The excess goes to the others in proportion.
fn capped_shares(weights: &[f64], cap: f64) -> Vec<f64> {
    let mut fixed = vec![false; weights.len()];
    loop {
        let free: f64 = weights.iter().zip(&fixed).filter(|(_, f)| !**f).map(|(w, _)| w).sum();
        let left = (1.0 - cap * fixed.iter().filter(|f| **f).count() as f64).max(0.0);
        let share = |i: usize| if fixed[i] { cap } else { weights[i] / free.max(1e-300) * left };
        let shares: Vec<f64> = (0..weights.len()).map(share).collect();
        if (0..shares.len()).all(|i| fixed[i] || shares[i] <= cap) {
            return shares;
        }
        (0..shares.len()).for_each(|i| fixed[i] |= shares[i] > cap);
    }
}

/// A weighted SPREAD table: maps an object to an ordered group of distinct members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ring {
    ids: Vec<MemberId>,
    /// Share over capped share: returns to a member in first places what capping took from its group places.
    first_weight: Vec<f64>,
    r: usize,
    columns: usize,
    pub starts: Vec<f64>, // where the subframes begin, from 0 to 1
    slots: Vec<u16>,      // for each subframe r rows of `columns` slots; a column is a group
}

impl Ring {
    /// Builds the table for members and their weights; members without a positive weight are left out.
    pub fn build(members: &[(MemberId, f64)]) -> Ring {
        let mut sorted: Vec<(f64, MemberId, f64)> = members
            .iter()
            .filter(|(_, w)| valid(Some(*w)).is_some())
            .map(|(id, w)| (uniform(hash(id.0, 1)), *id, w.min(1e12)))
            .collect();
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        sorted.dedup_by_key(|m| m.1);
        sorted.truncate(usize::from(u16::MAX));
        let (n, r) = (sorted.len(), sorted.len().min(GROUP_SIZE));
        if n == 0 {
            return Ring::default();
        }
        let weights: Vec<f64> = sorted.iter().map(|m| m.2).collect();
        let shares = capped_shares(&weights, 1.0 / r as f64);
        let total: f64 = weights.iter().sum();
        let first_weight = weights.iter().zip(&shares).map(|(w, c)| w / total / c.max(1e-12)).collect();
        let points: Vec<f64> = sorted.iter().map(|m| m.0).collect();
        let stretch = (STRETCH_SIGMA * (n.max(2) as f64).ln()).ceil();
        let starts = subframes(&points);
        let columns = (stretch * SLOTS_PER_STRETCH) as usize;
        let mut counts = vec![vec![0.0f64; n]; starts.len()];
        for v in 0..n {
            crossings(&starts, &points, v, stretch * r as f64 * shares[v], |f, times| counts[f][v] += times);
        }
        let mut slots = vec![0; starts.len() * columns * r];
        for (f, mu) in counts.iter_mut().enumerate() {
            // A subframe that fewer than r members cross also gets the other members.
            if mu.iter().filter(|m| **m > 0.0).count() < r {
                mu.iter_mut().for_each(|m| *m = m.max(1e-6));
            }
            let (mut sum, mut from) = (0.0, 0);
            for (v, share) in capped_shares(mu, 1.0 / r as f64).iter().enumerate() {
                sum += share;
                let to = ((sum * (columns * r) as f64 + 0.5 + 1e-9) as usize).min(columns * r);
                slots[f * columns * r + from..f * columns * r + to].fill(v as u16);
                from = from.max(to);
            }
        }
        Ring { ids: sorted.iter().map(|m| m.1).collect(), first_weight, r, columns, starts, slots }
    }

    /// The object's group, ordered for one of its parts (section 2.6 of the paper starts at a random place):
    /// a long object loads all links of its group; a rebuild that keeps the group keeps its order.
    pub fn group(&self, object: ObjectId, part: u32) -> Vec<MemberId> {
        if self.ids.is_empty() {
            return Vec::new();
        }
        let position = uniform(hash(object.0, 2));
        let m = self.starts.len();
        let f = (self.starts.partition_point(|s| *s <= position) + m - 1) % m;
        let column = ((uniform(hash(object.0, 3)) * self.columns as f64) as usize).min(self.columns - 1);
        let first_slot = f * self.columns * self.r + column;
        let part_key = hash(object.0, 4 + u64::from(part));
        let mut group: Vec<(f64, MemberId)> = (0..self.r)
            .map(|row| usize::from(self.slots[first_slot + row * self.columns]))
            .map(|v| (v, uniform(hash(part_key, self.ids[v].0)).max(1e-300)))
            .map(|(v, drawn)| (-drawn.ln() / self.first_weight[v].max(1e-12), self.ids[v]))
            .collect();
        group.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        group.into_iter().map(|m| m.1).collect()
    }
}

/// Distance from `a` forward to `b` on the ring.
fn clockwise(a: f64, b: f64) -> f64 {
    (b - a).rem_euclid(1.0)
}

/// Length of member v's frame: the arc from its point to the next.
fn frame_len(points: &[f64], v: usize) -> f64 {
    1.0 - clockwise(points[(v + 1) % points.len()], points[v])
}

/// Starts of all subframes: [0, 1) is halved, and cut at frame borders, until SPREAD's condition holds.
fn subframes(points: &[f64]) -> Vec<f64> {
    let (mut starts, mut pending) = (Vec::new(), vec![(0.0, 1.0, 0)]);
    while let Some((low, high, depth)) = pending.pop() {
        let mut cuts = vec![low];
        let borders = points.partition_point(|p| *p <= low)..points.partition_point(|p| *p < high);
        cuts.extend(&points[borders]);
        let ends = cuts.iter().skip(1).copied().chain([high]);
        let all_meet = cuts.iter().zip(ends).all(|(from, to)| meets_condition(points, *from, to - from));
        if all_meet || depth >= MAX_HALVINGS {
            starts.extend(cuts);
        } else {
            let middle = (low + high) / 2.0;
            pending.extend([(middle, high, depth + 1), (low, middle, depth + 1)]);
        }
    }
    starts
}

/// The subframe condition: |f| <= epsilon (1 + epsilon)^k |F_w| for each frame F_w but its own, with the
/// largest k whose sum of epsilon (1 + epsilon)^i |F_w|, i = 1 to k - 1, is at most the distance F_w to f.
fn meets_condition(points: &[f64], from: f64, length: f64) -> bool {
    let n = points.len();
    let own = (points.partition_point(|p| *p <= from) + n - 1) % n;
    (0..n).filter(|w| *w != own).all(|w| {
        let size = frame_len(points, w).max(1e-9);
        let distance = clockwise(points[(w + 1) % n], from);
        let k = (distance / size + 1.0 + SUBFRAME_EPSILON).ln() / (1.0 + SUBFRAME_EPSILON).ln();
        length <= SUBFRAME_EPSILON * (1.0 + SUBFRAME_EPSILON).powf((k + 1e-9).floor()) * size
    })
}

/// Reports how often member v's interval of this length crosses each subframe; its end is rounded to a start.
fn crossings(starts: &[f64], points: &[f64], v: usize, length: f64, mut add: impl FnMut(usize, f64)) {
    let m = starts.len();
    let (full_turns, remainder) = (length.floor(), length.fract());
    (0..m).for_each(|f| add(f, full_turns));
    let end = (points[v] + remainder).rem_euclid(1.0);
    let first = starts.partition_point(|s| *s < points[v]) % m;
    let last = (starts.partition_point(|s| *s <= end) + m - 1) % m;
    let (past, size) = (clockwise(starts[last], end), clockwise(starts[last], starts[(last + 1) % m]));
    // Within its own frame an interval is not rounded: a subframe counts if the interval crosses its start.
    let rounds_up = if length <= frame_len(points, v) { past > 0.0 } else { m == 1 || past >= size / 2.0 };
    let steps = (last + m - first) % m + usize::from(rounds_up && remainder > 0.0);
    (0..steps.min(m)).for_each(|step| add((first + step) % m, 1.0));
}

// ---- Members and ramps -----------------------------------------------------------------------------------

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Cache,
    Parent,
    Origin,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) listing: Listing,
    pub(crate) role: Role,
    pub(crate) removed_at: Ms,
    pub(crate) in_flight: f64, // attempts and fills of this front
    pub(crate) health: Health,
    pub(crate) cold_sent: VecDeque<(Ms, f64)>, // work sent in the last overload window while it is cold
    pub(crate) sharers: Option<f64>,           // fronts that share its cold budget, where a fleet divides it
}

impl Member {
    fn new(listing: Listing, role: Role) -> Member {
        let (health, cold_sent) = (Health::default(), VecDeque::new());
        Member { listing, role, removed_at: 0.0, in_flight: 0.0, health, cold_sent, sharers: None }
    }

    fn is_ready(&self) -> bool {
        self.listing.availability == Availability::Ready
    }
}

/// The decisions of one front. The crate documentation shows its use.
#[derive(Debug, Default)]
pub struct Router {
    pub(crate) cfg: Settings,
    pub(crate) started_at: Ms,
    pub(crate) members: BTreeMap<MemberId, Member>,
    cache_ring: Ring,
    parent_ring: Ring,
    former_rings: VecDeque<(Ms, Ring)>, // previous cache tables, newest first, and when each ended
    next_ramp_step: Ms,                 // when a ramp takes its next step
    classes: Vec<ClassStats>,
    retries: f64,
    lent: bool, // retries are lent from a budget of all fronts and not earned
    pub(crate) purges: PurgeLog,
    open: BTreeMap<RequestId, OpenRequest>,
    link_guard: Guard, // limits fills over an overloaded zone link; the next one limits origin fetches
    origin_guard: Guard,
    fill_window: Window,
    origin_window: Window,
    origin_wait: Ms, // usual time that the origin takes beyond the work
    processes: f64,  // processes of this front that share its cold budgets
    salt: u64,
}

/// Decaying mean of bad outcomes, with hysteresis. While active, attempts to a shared resource are limited.
#[derive(Debug, Default)]
struct Guard {
    level: f64,
    active: bool,
}

impl Guard {
    fn record(&mut self, bad: f64, rate: f64, (end, begin): (f64, f64)) {
        self.level += (bad - self.level) * rate;
        self.active = self.level > if self.active { end } else { begin };
    }
}

/// Limit of attempts in flight under a guard; late ones lower it. Below 1 it is the probability of one.
#[derive(Debug, Default)]
struct Window {
    used: f64,
    limit: f64,
    initial: f64, // initial limit, up to which it grows back
    updated_at: Ms,
    fronts: f64, // that share it; the more there are, the fewer fills each has, so each counts more
}

impl Window {
    fn admits(&mut self, now: Ms, draw: f64) -> bool {
        let grown = self.limit * ((now - self.updated_at).max(0.0) / WINDOW_REGROWTH_MS).exp();
        (self.limit, self.updated_at) = (self.limit.max(grown.min(self.initial)), now);
        self.used + draw < self.limit
    }

    fn release(&mut self, late: Option<bool>) {
        match late {
            Some(true) => self.limit *= WINDOW_STEPS.0.powf(self.fronts.sqrt()),
            Some(false) if self.used * 2.0 >= self.limit => {
                self.limit *= WINDOW_STEPS.1.powf(self.fronts.sqrt())
            }
            _ => {}
        }
        self.used = (self.used - 1.0).max(0.0);
        self.limit = self.limit.max(self.initial * MIN_WINDOW);
    }
}

/// This front's statistics about a class.
#[derive(Clone, Debug)]
struct ClassStats {
    ratio: f64,         // usual latency by (work + OVERHEAD_MS)
    spread: f64,        // mean deviation of that ratio
    work: f64,          // mean work of a request
    samples: f64,       // number of requests in that mean, including 3 assumed ones
    answered: [f64; 2], // answered shares: all requests, large ones (over the mean work)
    credit: f64,        // 0 to 1: how far a full link takes large requests in preference to others
}

impl Router {
    /// A router without members; appends `Subscribe` if the settings require it.
    pub fn new(cfg: Settings, seed: u64, now: Ms, out: &mut Vec<Action>) -> Router {
        out.extend(cfg.must_subscribe.then_some(Action::Subscribe));
        let (ratio, spread) = INITIAL_RATIO;
        let work = |c: &ClassSettings| valid(Some(c.target_latency)).unwrap_or(OVERHEAD_MS);
        let stats =
            |c| ClassStats { ratio, spread, work: work(c), samples: 3.0, answered: [1.0; 2], credit: 0.0 };
        let zone_fronts = cfg.zone_fronts.get(usize::from(cfg.zone.0)).copied().or(cfg.fronts);
        let count = |fronts: Option<u32>| f64::from(fronts.unwrap_or(1).max(1));
        Router {
            classes: cfg.classes.iter().map(stats).collect(),
            origin_window: Window { fronts: count(cfg.fronts), ..Window::default() },
            fill_window: Window { fronts: count(zone_fronts), ..Window::default() },
            purges: PurgeLog::new(&cfg),
            cfg,
            started_at: now,
            next_ramp_step: f64::INFINITY,
            retries: RETRY_BURST / 2.0,
            origin_wait: 2.0 * OVERHEAD_MS,
            processes: 1.0,
            salt: seed,
            ..Router::default()
        }
    }

    /// Sets the windows for the start of a guard: the zone's link, and its part that may go to the origin.
    fn reset_windows(&mut self, now: Ms) {
        let links = &self.cfg.zone_link_kb_per_s;
        let carry = |link: f64| valid(valid(self.cfg.transfer_kb_per_s).map(|rate| link / rate));
        let caches = self.members.values().filter(|m| m.role == Role::Cache && m.is_ready());
        let usual = ZONE_LINK_RATIO * caches.map(|m| self.capacity(m)).sum::<f64>().max(1.0);
        let link = links.get(usize::from(self.cfg.zone.0)).and_then(|link| carry(*link)).unwrap_or(usual)
            / self.fill_window.fronts;
        let total = carry(links.iter().sum()).map_or(link, |total| total / self.origin_window.fronts);
        let share = ORIGIN_SHARE * total;
        self.fill_window = Window { limit: link, initial: link, updated_at: now, ..self.fill_window };
        self.origin_window = Window { limit: share, initial: share, updated_at: now, ..self.origin_window };
    }

    /// Replaces the remaining retries by ones lent from the budget of all fronts. Returns how many remained.
    pub fn lend_retries(&mut self, retries: f64) -> f64 {
        self.lent = true;
        std::mem::replace(&mut self.retries, retries)
    }

    /// Divides a member's cold budget among this many fronts; `None` for the number in the settings.
    pub fn divide_cold_budget(&mut self, member: MemberId, fronts: Option<f64>) {
        self.members.entry(member).and_modify(|m| m.sharers = fronts);
    }

    /// Divides all cold budgets of this front by this number of processes; see [`crate::ProcessShare`].
    pub fn divide_among_processes(&mut self, processes: f64) {
        self.processes = processes;
    }

    /// Handles one event and appends the resulting actions. Events of one moment come in order of arrival.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        if !now.is_finite() {
            return;
        }
        match event {
            Event::List { update, entries } => self.on_list(now, update, &entries, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::FirstByte { id, .. } => drop(self.open.entry(id).and_modify(|o| o.streaming = true)),
            Event::Reply { .. } => self.on_reply(now, event, out),
            Event::Expired { id } => self.finish(id, out),
            Event::Timer { token: SUBSCRIBE_TOKEN } => out.push(Action::Subscribe),
            Event::Timer { token } => self.on_timer(now, token, out),
            Event::Probed { .. } => {}
            Event::Purged { object, group, ago } => self.on_purge(now, object, group, ago),
        }
    }

    /// The role of a listed server; caches of other zones have none.
    fn role(&self, listing: &Listing) -> Option<Role> {
        match Some(listing.kind) {
            kind if kind == self.cfg.origin_kind => Some(Role::Origin),
            kind if kind == self.cfg.parent_kind => Some(Role::Parent),
            _ => (listing.zone == self.cfg.zone).then_some(Role::Cache),
        }
    }

    fn on_list(&mut self, now: Ms, update: ListUpdate, entries: &[Listing], out: &mut Vec<Action>) {
        if update == ListUpdate::Failed {
            let retry = Action::SetTimer { delay: SUBSCRIBE_RETRY_MS, token: SUBSCRIBE_TOKEN };
            return out.extend(self.cfg.must_subscribe.then_some(retry));
        }
        let gone = |m: &Member| m.listing.availability == Availability::Gone;
        // A member that is missing from a complete list has been removed.
        let missing = self.members.values_mut().filter(|m| update != ListUpdate::Delta && !gone(m));
        missing.for_each(|m| (m.listing.availability, m.removed_at) = (Availability::Gone, now));
        for listing in entries {
            let Some(role) = self.role(listing) else { continue };
            let member = self.members.entry(listing.member).or_insert_with(|| Member::new(*listing, role));
            if member.listing.started_at != listing.started_at {
                member.health = Health::default(); // evidence about the previous process does not apply
            }
            (member.listing, member.role, member.removed_at) = (*listing, role, now);
        }
        self.members.retain(|_, m| !(gone(m) && m.in_flight <= 0.0 && now - m.removed_at > KEEP_REMOVED_MS));
        self.rebuild_rings(now);
    }

    /// A member's share of its capacity at its start, ms until it is warm, overload factor, sharing fronts.
    fn cold_limits(&self, member: &Member) -> Option<(f64, Ms, f64, f64)> {
        let (s, zone) = (&self.cfg, usize::from(member.listing.zone.0));
        let zone_fronts = s.zone_fronts.get(zone).copied().or(s.fronts);
        let (fraction, span, factor, fronts) = match member.role {
            Role::Origin => return None,
            Role::Parent => {
                (s.parent_cold_fraction, s.parent_cold_duration, s.parent_overload_factor, s.fronts)
            }
            _ => (s.cold_fraction, s.cold_duration, s.overload_factor, zone_fronts),
        };
        let fronts = member.sharers.unwrap_or(f64::from(fronts.unwrap_or(1).max(1)));
        Some((valid(fraction).unwrap_or(0.0).min(1.0), valid(span)?, valid(factor).unwrap_or(1.0), fronts))
    }

    /// Progress of a recently started member from 0 to 1, at the slowest permitted rise.
    fn warm_fraction(&self, member: &Member, now: Ms) -> f64 {
        let limits = valid(member.listing.started_at).zip(self.cold_limits(member));
        limits.map_or(1.0, |(started_at, (_, span, ..))| ((now - started_at) / span).clamp(0.0, 1.0))
    }

    fn rebuild_rings(&mut self, now: Ms) {
        let (mut lists, mut next_step) = ([const { Vec::new() }; 2], f64::INFINITY);
        for (id, member) in &self.members {
            let tier = usize::from(member.role == Role::Parent);
            if !member.is_ready() || member.role == Role::Origin {
                continue;
            }
            let (warm, capacity) = (self.warm_fraction(member, now), self.capacity(member));
            let step = (warm * RAMP_STEPS).floor() + 1.0;
            if warm < 1.0 {
                let span = self.cold_limits(member).map_or(0.0, |c| c.1);
                let started_at = member.listing.started_at.unwrap_or(now).max(now - span);
                next_step = f64::min(next_step, (started_at + span * step / RAMP_STEPS).max(now + 1.0));
            }
            lists[tier].push((*id, capacity * step.min(RAMP_STEPS) / RAMP_STEPS));
        }
        let cache_ring = Ring::build(&lists[0]);
        if cache_ring != self.cache_ring {
            self.former_rings.push_front((now, std::mem::replace(&mut self.cache_ring, cache_ring)));
            self.former_rings.truncate(MAX_FORMER_RINGS);
        }
        (self.parent_ring, self.next_ramp_step) = (Ring::build(&lists[1]), next_step);
    }

    /// Link capacity in transfers at the full rate; 1 if weights have no such meaning.
    fn capacity(&self, member: &Member) -> f64 {
        valid(Some(member.listing.weight)).filter(|_| self.has_capacities()).unwrap_or(1.0)
    }

    fn has_capacities(&self) -> bool {
        matches!(self.cfg.weights, WeightMeaning::Nominal | WeightMeaning::Rough)
    }

    // ---- Health ----------------------------------------

    /// Attributes a failure to the cache and the source of an attempt, mostly to the one whose other attempts
    /// fail too. This finds bad caches and bad fill sources, whatever the cause.
    fn attribute(&mut self, now: Ms, cache: MemberId, source: MemberId, amount: f64) {
        let share = |r: &Router, id| r.members.get(&id).map_or(0.0, |m| m.health.share(now) + 0.05);
        let (a, b) = (share(self, cache), if source == cache { 0.0 } else { share(self, source) });
        for (id, part) in [(cache, a / (a + b).max(1e-9)), (source, b / (a + b).max(1e-9))] {
            let may_eject = self.is_outlier(now, id);
            let record = |m: &mut Member| m.health.add_failure(now, amount * part, may_eject && part > 0.0);
            self.members.entry(id).and_modify(record);
        }
    }

    /// Whether a member fails far more than its peers. Two thirds of a kind may be ejected (a hub can hold
    /// that many). If the live peers seem bad too, the cause lies elsewhere, and moving load would add to it.
    fn is_outlier(&self, now: Ms, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let peers = self.members.iter().filter(|(p, m)| **p != id && m.role == member.role && m.is_ready());
        let (all, live, sum) = peers.fold((1i32, 0i32, 0.0), |(all, live, sum), (_, m)| {
            let (one, share) = if m.health.ejected(now) { (0, 0.0) } else { (1, m.health.share(now)) };
            (all + 1, live + one, sum + share)
        });
        let mean = sum / f64::from(live.max(1));
        live > 0 && live * 3 >= all && member.health.share(now) + 0.05 > EJECT_SHARE + PEER_FACTOR * mean
    }

    // ---- Cold budgets ----------------------------------------

    /// Whether this work can be sent to a member now. A recently started one may get its present capacity
    /// times the overload factor per overload window, divided among the fronts that share it.
    fn fits_cold_budget(&mut self, id: MemberId, now: Ms, work: f64) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let (warm, capacity) = (self.warm_fraction(member, now), self.capacity(member));
        let Some((base, _, factor, fronts)) = self.cold_limits(member).filter(|_| warm < 1.0) else {
            return true;
        };
        let Some(window) = valid(self.cfg.overload_window) else { return true };
        let history_known = now - self.started_at >= window; // work sent before a restart is unknown
        let sharers = fronts * self.processes;
        let budget = (base + (1.0 - base) * warm) * capacity * factor * window * COLD_SHARE_USED / sharers;
        // A share below one request permits one with that probability, drawn for two windows.
        let draw = self.draw(id, now / window / 2.0);
        let Some(member) = self.members.get_mut(&id) else { return false };
        while member.cold_sent.front().is_some_and(|(at, _)| now - at > window) {
            member.cold_sent.pop_front();
        }
        history_known && member.cold_sent.iter().map(|(_, work)| work).sum::<f64>() + work * draw <= budget
    }

    fn charge_cold_budget(&mut self, id: MemberId, now: Ms, work: f64) {
        let cold = self.members.get(&id).is_some_and(|m| self.warm_fraction(m, now) < 1.0);
        let add =
            |m: &mut Member| if cold { m.cold_sent.push_back((now, work)) } else { m.cold_sent.clear() };
        self.members.entry(id).and_modify(add);
    }

    // ---- Purges ----------------------------------------

    fn on_purge(&mut self, now: Ms, object: Option<ObjectId>, group: PurgeGroup, ago: Ms) {
        let at = now - valid(Some(ago)).unwrap_or(0.0);
        self.purges.record(object, group, at, now);
    }

    // ---- Request life cycle ----------------------------------------

    fn on_request(&mut self, now: Ms, request: Request, out: &mut Vec<Action>) {
        if now >= self.next_ramp_step {
            self.rebuild_rings(now);
        }
        self.retries = if self.lent { self.retries } else { (self.retries + RETRY_RATE).min(RETRY_BURST) };
        let deadline = now + valid(Some(request.time_left)).unwrap_or(0.0);
        let class = usize::from(request.class.0);
        let Some(stats) = self.classes.get_mut(class) else {
            return out.push(Action::Fail { id: request.id });
        };
        let declared = valid(request.size_kb)
            .zip(valid(self.cfg.transfer_kb_per_s))
            .map(|(size, rate)| size / rate * 1000.0);
        let work = declared.unwrap_or(stats.work);
        stats.samples += if declared.is_some() { 1.0 } else { 0.0 };
        stats.work += (work - stats.work) * LEARNING_RATE.max(1.0 / stats.samples);
        let class = &self.cfg.classes[class];
        let allowed = valid(Some(class.target_latency)).unwrap_or(0.0)
            + work * valid(class.target_stretch).unwrap_or(0.0);
        let target = deadline.min(now + allowed);
        let (attempts, done, streaming) = (Vec::new(), false, false);
        self.open
            .insert(request.id, OpenRequest { request, work, deadline, target, attempts, done, streaming });
        self.advance(now, request.id, out);
    }

    /// Sends the next attempt, or gives the final answer if none is possible.
    fn advance(&mut self, now: Ms, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        let first = open.attempts.is_empty();
        if !self.send_attempt(now, id, out) {
            self.record_answer(id, 0.0);
            let Some(open) = self.open.get_mut(&id) else { return };
            open.done = true;
            let class = &self.cfg.classes[usize::from(open.request.class.0)];
            let ran = open.attempts.iter().any(|a| a.may_have_run());
            let keyed = class.repeat == Repeat::Keyed && class.key_scope == KeyScope::All;
            let may_retry = (!ran || keyed || class.repeat == Repeat::Safe) && !open.is_faulty();
            let part = MIN_WAIT_PART + (1.0 - MIN_WAIT_PART) * uniform(hash(u64::from(id.0), self.salt ^ 1));
            let wait = valid(self.cfg.max_retry_after).filter(|_| self.cfg.retry_after).map(|ms| ms * part);
            let refuse = may_retry && (first || now < open.deadline);
            out.push(if refuse { Action::Refuse { id, retry_after: wait } } else { Action::Fail { id } });
            self.remove_if_complete(id);
        }
    }

    fn send_attempt(&mut self, now: Ms, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let (request, work, tries) = (open.request, open.work, open.attempts.len());
        let max = self.cfg.max_attempts.unwrap_or(DEFAULT_ATTEMPTS).min(250) as usize;
        let time_left = open.deadline - now;
        // An attempt after a lookup that missed is not a retry.
        let retry = open.attempts.last().is_some_and(|a| !a.missed());
        if open.is_faulty() || tries >= max || time_left <= MIN_ATTEMPT_MS || (retry && self.retries < 1.0) {
            return false;
        }
        // Without second copies, no attempt may begin while a server may still be working on another.
        if !self.cfg.second_copies && open.attempts.iter().any(Attempt::may_still_run) {
            return false;
        }
        let write = request.write || self.cfg.classes[usize::from(request.class.0)].write;
        let Some(cache) = self.pick_cache(now, id) else { return false };
        let former = if tries == 0 && !write { self.former_owner(now, &request, cache) } else { None };
        let Some(source) = former.or_else(|| self.pick_source(now, id, cache)) else { return false };
        let class = usize::from(request.class.0);
        let (mean, class_cfg) = (self.classes[class].work, &self.cfg.classes[class]);
        let purged_at = self.purges.last(request.object, request.group, now);
        let fresh = valid(class_cfg.fresh_for);
        // A retry also accepts a stale copy: worth less than a fresh one and more than none. Under a guard a
        // parent is first asked for its own copy, and only as many requests go on to the origin as it answers
        // in time. This spares fill capacity and the origin, at the cost of one round trip per miss.
        let via_parent = self.members.get(&source).is_some_and(|m| m.role == Role::Parent);
        let missed = |lookup| self.open[&id].attempts.iter().any(|a| a.lookup == lookup && a.missed());
        let lookup = match (self.link_guard.active, self.origin_guard.active) {
            _ if former.is_some() => Lookup::FormerOwner,
            _ if write || source == cache => Lookup::Any,
            (true, _) if !missed(Lookup::Cache) && !missed(Lookup::FormerOwner) => Lookup::Cache,
            (true, _) | (_, true) if via_parent && !missed(Lookup::Parent) => Lookup::Parent,
            (true, _) | (_, true) => Lookup::Origin,
            _ => Lookup::Any,
        };
        let source = if lookup == Lookup::Cache { cache } else { source };
        let draw = self.draw(MemberId(0), now / DRAW_PERIOD_MS);
        let is_fill = matches!(lookup, Lookup::Parent | Lookup::Origin);
        let lacks = self.open[&id].attempts.last().is_some_and(|a| a.lookup == Lookup::Parent && a.missed());
        let window_full = is_fill && self.link_guard.active && !lacks && !self.fill_window.admits(now, draw);
        if window_full || (lookup == Lookup::Origin && !self.origin_window.admits(now, draw)) {
            return false;
        }
        let stale_ok = tries > 0 || self.link_guard.active;
        let class_cap = fresh.map(|f| f + valid(class_cfg.stale_grace).filter(|_| stale_ok).unwrap_or(0.0));
        let purge_cap = purged_at.map(|at| (now - at - PURGE_MARGIN_MS).max(MIN_COPY_AGE_MS));
        let max_age = match (purge_cap, class_cap) {
            (Some(purge_cap), Some(class_cap)) => Some(purge_cap.min(class_cap)),
            (purge_cap, class_cap) => purge_cap.or(class_cap.filter(|_| stale_ok)),
        };
        // The maximum age also applies to a joined fill, so a purge does not prevent joining.
        let mode = FillMode {
            join: self.cfg.joins,
            renew: fresh.is_some() && purged_at.is_none() && !self.link_guard.active && former.is_none(),
            source_holds_only: matches!(lookup, Lookup::FormerOwner | Lookup::Parent),
            ..FillMode::default()
        };
        let overdue = self.expected_latency(class, work, OVERDUE_DEVIATIONS);
        let charged = [cache, source].into_iter().take(if source == cache { 1 } else { 2 });
        charged.for_each(|member| self.charge_cold_budget(member, now, mean));
        self.members.entry(cache).and_modify(|m| m.in_flight += 1.0);
        self.retries -= if retry { 1.0 } else { 0.0 };
        let rank = u8::from(!write);
        out.push(Action::Serve { id, cache, source, rank, max_age, mode, timeout: time_left });
        out.push(Action::SetTimer { delay: overdue, token: Token(u64::from(id.0) << 8 | tries as u64) });
        self.origin_window.used += if lookup == Lookup::Origin { 1.0 } else { 0.0 };
        self.fill_window.used += if is_fill { 1.0 } else { 0.0 };
        self.members.entry(source).and_modify(|m| m.in_flight += if is_fill { 1.0 } else { 0.0 });
        let attempt = Attempt { cache, source, sent_at: now, lookup, end: None, ambiguous: false };
        self.open.entry(id).and_modify(|o| o.attempts.push(attempt));
        true
    }

    /// The cache with the lowest penalty: normally the first live one of the object's group.
    fn pick_cache(&mut self, now: Ms, id: RequestId) -> Option<MemberId> {
        let open = self.open.get(&id)?;
        let (request, first) = (open.request, open.attempts.is_empty());
        let (class, mean) = (usize::from(request.class.0), self.classes[usize::from(request.class.0)].work);
        let group = self.cache_ring.group(request.object, request.part);
        let outside = self.cache_ring.ids.iter().filter(|m| !group.contains(m)).copied();
        let candidates: Vec<MemberId> = group.iter().copied().chain(outside).collect();
        let (mut best, mut lowest, mut has_capacity) = (None, u32::MAX, false);
        for (position, cache) in candidates.into_iter().enumerate() {
            let Some(member) = self.members.get(&cache).filter(|m| m.is_ready()) else { continue };
            if !self.may_resend(now, id, class, member) {
                continue;
            }
            let (open, load) = (&self.open[&id], member.in_flight / self.fair_transfers(member));
            // A full link is shared: an answer takes its work times the transfers over the fair ones.
            let own = ((open.target - now - OVERHEAD_MS) / open.work).clamp(SHED_MIN, SHED_MAX);
            let limit =
                own + (if open.work > mean { SHED_MAX } else { SHED_MIN } - own) * self.classes[class].credit;
            // Down the group past overrun caches, then outside it, then ones tried before, ejected ones last.
            let mut penalty = u32::from(load >= OVERRUN_FACTOR) * 2 + u32::from(position >= group.len()) * 3;
            penalty += u32::from(open.attempts.iter().any(|a| a.cache == cache && !a.missed())) * 4;
            penalty += u32::from(member.health.ejected(now)) * 8;
            if penalty < lowest && self.fits_cold_budget(cache, now, mean) {
                (best, lowest, has_capacity) = (Some(cache), penalty, load < limit);
            }
        }
        // Admission control: with the whole group overrun, one more request would only delay the others.
        best.filter(|_| has_capacity || !first)
    }

    /// This front's share of a cache's transfers at the full rate; infinite if capacities are unknown.
    fn fair_transfers(&self, member: &Member) -> f64 {
        let transfers = self.capacity(member) / self.cold_limits(member).map_or(1.0, |c| c.3);
        Some(transfers.max(1.0)).filter(|_| self.has_capacities()).unwrap_or(f64::INFINITY)
    }

    /// Whether the class's repeat rule permits this cache, given the attempts that may have run.
    fn may_resend(&self, now: Ms, id: RequestId, class: usize, to: &Member) -> bool {
        let (open, class) = (&self.open[&id], &self.cfg.classes[class]);
        let mut ran = open.attempts.iter().filter(|a| a.may_have_run());
        match class.repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => ran.next().is_none(),
            Repeat::Keyed => ran.all(|a| {
                let Some(from) = self.members.get(&a.cache) else { return false };
                let (from, to, by_zone) = (&from.listing, &to.listing, class.key_scope == KeyScope::Zone);
                let same_place = if by_zone { from.zone == to.zone } else { from.cell == to.cell };
                let shares_keys = class.key_scope == KeyScope::All || same_place;
                shares_keys && now - a.sent_at < valid(class.key_window).unwrap_or(0.0) - MIN_ATTEMPT_MS
            }),
        }
    }

    /// A pseudo-random draw from 0 to 1 per period, so that some of the fronts take a fractional limit.
    fn draw(&self, member: MemberId, periods: f64) -> f64 {
        uniform(hash(member.0 ^ self.salt, (periods + uniform(hash(member.0, self.salt))) as u64))
    }

    /// The first live parent of the object's group, else the origin; the cache itself if there is neither.
    fn pick_source(&mut self, now: Ms, id: RequestId, cache: MemberId) -> Option<MemberId> {
        let open = self.open.get(&id)?;
        let mean = self.classes[usize::from(open.request.class.0)].work;
        let (mut best, mut lowest) = (None, u32::MAX);
        let origin = self.members.iter().find(|(_, m)| m.role == Role::Origin && m.is_ready()).map(|m| *m.0);
        let group = self.parent_ring.group(open.request.object, 0);
        let limit_parents = self.link_guard.active && self.has_capacities();
        for source in group.into_iter().chain(origin) {
            let Some(member) = self.members.get(&source).filter(|m| m.is_ready()) else { continue };
            let open = &self.open[&id];
            let failed =
                open.attempts.iter().any(|a| a.source == source && a.end != Some(Outcome::Ok) && !a.missed());
            let share = self.capacity(member) * PARENT_FILLS / self.origin_window.fronts
                - self.draw(source, now / DRAW_PERIOD_MS);
            let full = limit_parents && member.role == Role::Parent && member.in_flight >= share;
            let mut penalty = u32::from(failed || full) * 2 + u32::from(member.health.ejected(now)) * 4;
            penalty += u32::from(member.role == Role::Origin);
            if penalty < lowest && self.fits_cold_budget(source, now, mean) {
                (best, lowest) = (Some(source), penalty);
            }
        }
        let no_upstream = self.parent_ring.ids.is_empty() && origin.is_none();
        best.or(no_upstream.then_some(cache))
    }

    /// The last owner of an object that a recent table change moved: a near source that spares the zone link
    /// and the parents. It may lack the object, so it is asked only once and only for a copy that it holds.
    fn former_owner(&self, now: Ms, request: &Request, cache: MemberId) -> Option<MemberId> {
        if self.cfg.siblings == Siblings::None {
            return None;
        }
        let recent = self.former_rings.iter().take_while(|(ended, _)| now - ended < FORMER_OWNER_MS);
        let owner = recent.map(|(_, ring)| ring.group(request.object, request.part)[..].first().copied());
        let owner = owner.flatten().find(|o| *o != cache)?;
        let live = |m: &Member| m.is_ready() && !m.health.ejected(now) && self.warm_fraction(m, now) >= 1.0;
        let has_capacity = |m: &Member| m.in_flight < self.fair_transfers(m) * OVERRUN_FACTOR;
        self.members.get(&owner).filter(|m| live(m) && has_capacity(m)).map(|_| owner)
    }

    /// Usual latency of a request of this work, plus a number of mean deviations.
    fn expected_latency(&self, class: usize, work: f64, deviations: f64) -> Ms {
        let stats = &self.classes[class];
        (stats.ratio + deviations * stats.spread) * (work + OVERHEAD_MS)
    }

    fn on_reply(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        let Event::Reply { id, attempt, outcome, latency, settled, note } = event else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        let (class, work, streaming) = (usize::from(open.request.class.0), open.work, open.streaming);
        let late = now > open.target || outcome != Outcome::Ok;
        let index = usize::from(attempt.0);
        let Some(tried) = open.attempts.get_mut(index).filter(|a| a.end.is_none()) else { return };
        tried.end = Some(outcome);
        let (cache, source, lookup) = (tried.cache, tried.source, tried.lookup);
        // The link guard counts only what reflects fills and the origin: no broken connection, and no error
        // that the request itself may cause.
        let ambiguous = outcome == Outcome::Error && note == Note::Absent;
        tried.ambiguous = ambiguous;
        // A lost source says nothing about the paths to others, nor does a timeout at an outlier: otherwise
        // each of many fronts would take it for an overload of all paths.
        let outlier =
            outcome == Outcome::Timeout && (self.is_outlier(now, source) || self.is_outlier(now, cache));
        let lost = note == Note::SourceLost || outlier;
        // The origin's time as a multiple of the usual; a slow origin can also show as a timeout.
        let waited = (latency - work).max(0.0) / self.origin_wait;
        let origin_bad = match note {
            Note::FilledByOrigin => {
                let typical = waited < ORIGIN_WAIT_MAX;
                self.origin_wait *=
                    if typical { 1.0 + (waited - 1.0) * ORIGIN_GUARD_RATE / 4.0 } else { 1.0 };
                Some(((waited - ORIGIN_WAIT_MIN) / (ORIGIN_WAIT_MAX - ORIGIN_WAIT_MIN)).clamp(0.0, 1.0))
            }
            Note::OriginFailed | Note::SourceRefused => Some(1.0),
            _ if outcome == Outcome::Timeout && !lost && self.origin_guard.level > ORIGIN_GUARD_END => {
                Some(1.0)
            }
            _ => None,
        };
        let excluded =
            [Outcome::Cancelled, Outcome::Moot, Outcome::Miss, Outcome::Reset, Outcome::ConnectFailed];
        let telling = !excluded.contains(&outcome) && !ambiguous && !lost && origin_bad.is_none();
        let (link_late, unguarded) =
            (telling.then_some(late), !self.link_guard.active && !self.origin_guard.active);
        if let Some(late) = link_late {
            self.link_guard.record(f64::from(late), LINK_GUARD_RATE, (LINK_GUARD_END, LINK_GUARD_BEGIN));
        }
        if let Some(bad) = origin_bad {
            self.origin_guard.record(bad, ORIGIN_GUARD_RATE, (ORIGIN_GUARD_END, ORIGIN_GUARD_BEGIN));
        }
        if unguarded && (self.link_guard.active || self.origin_guard.active) {
            self.reset_windows(now);
        }
        let is_fill = matches!(lookup, Lookup::Parent | Lookup::Origin);
        if lookup == Lookup::Origin {
            self.origin_window.release(origin_bad.map(|bad| bad > 0.5));
        }
        if is_fill {
            self.fill_window.release(link_late.filter(|_| note != Note::Hit));
        }
        let decrement = |m: &mut Member| m.in_flight = (m.in_flight - 1.0).max(0.0);
        let ended = [cache, source].into_iter().take(1 + usize::from(is_fill));
        ended.for_each(|id| self.members.get_mut(&id).into_iter().for_each(decrement));
        match outcome {
            Outcome::Ok => {
                self.record_answer(id, 1.0);
                let Some(open) = self.open.get(&id) else { return };
                let failed = open.attempts.iter().filter(|a| a.ambiguous && a.cache != cache);
                let failed: Vec<(MemberId, MemberId)> = failed.map(|a| (a.cache, a.source)).collect();
                failed.into_iter().for_each(|(cache, source)| self.attribute(now, cache, source, 1.0));
                let Some(open) = self.open.get_mut(&id) else { return };
                let latency = valid(Some(latency)).unwrap_or(0.0);
                let (stats, known_work) = (&mut self.classes[class], work);
                // If no size is known the latency counts as work: too much rather than too little.
                let sample = if valid(open.request.size_kb).is_none() { latency } else { stats.work };
                stats.work += (sample - stats.work) * LEARNING_RATE;
                let ratio = latency / (known_work + OVERHEAD_MS);
                let worst = if streaming { 0.0 } else { 1.0 };
                let bad = ((ratio / stats.ratio - LATE_MIN) / (LATE_MAX - LATE_MIN)).clamp(0.0, worst);
                let change = ratio.min(LATE_MAX * stats.ratio) - stats.ratio;
                stats.spread += (change.abs() - stats.spread) * LEARNING_RATE;
                stats.ratio += change * LEARNING_RATE;
                let unsure = if note == Note::Absent { POSSIBLE_HIT_CREDIT } else { 1.0 };
                let credit = if matches!(note, Note::Hit | Note::Stale) { 0.0 } else { unsure };
                if bad > 0.0 {
                    self.attribute(now, cache, if credit > 0.0 { source } else { cache }, bad);
                }
                for (id, part) in [(cache, 1.0), (source, if source == cache { 0.0 } else { credit })] {
                    self.members.entry(id).and_modify(|m| m.health.add(now, 0.0, part * (1.0 - bad)));
                }
            }
            Outcome::Cancelled | Outcome::Moot | Outcome::Miss => {}
            _ if ambiguous => {} // the cause shows when the request is tried elsewhere
            _ => {
                // The note may show that the source failed. A full member is busy, not broken: half a fault.
                let named = matches!(note, Note::SourceRefused | Note::SourceLost | Note::OriginFailed);
                let source = if note == Note::NoFillPlace { cache } else { source };
                let busy = outcome == Outcome::Full && note != Note::SourceLost;
                self.attribute(now, if named { source } else { cache }, source, if busy { 0.5 } else { 1.0 });
            }
        }
        let Some(open) = self.open.get(&id) else { return };
        if settled {
            self.finish(id, out);
        } else if open.done {
            self.remove_if_complete(id);
        } else if open.attempts.iter().all(|a| a.end.is_some()) {
            self.advance(now, id, out);
        }
    }

    /// Counts an overdue attempt as half a failure, and may send a second copy or cancel it.
    fn on_timer(&mut self, now: Ms, token: Token, out: &mut Vec<Action>) {
        let (id, index) = (RequestId((token.0 >> 8) as u32), (token.0 & 255) as usize);
        let Some(open) = self.open.get(&id).filter(|o| !o.done && !o.streaming) else { return };
        let Some(tried) = open.attempts.get(index).filter(|a| a.end.is_none()) else { return };
        let (cache, source, is_last) = (tried.cache, tried.source, index + 1 == open.attempts.len());
        let (class, work) = (usize::from(open.request.class.0), open.work);
        if now - tried.sent_at < self.expected_latency(class, work, OVERDUE_DEVIATIONS) + OVERHEAD_MS / 2.0 {
            self.attribute(now, cache, source, 0.5);
        }
        let ejected = |id| self.members.get(&id).is_some_and(|m: &Member| m.health.ejected(now));
        let may_act = is_last && self.cfg.classes[class].repeat == Repeat::Safe;
        if may_act && !(ejected(cache) || ejected(source)) {
            out.push(Action::SetTimer { delay: OVERHEAD_MS, token });
        } else if may_act && self.cfg.second_copies {
            self.send_attempt(now, id, out);
        } else if may_act && self.cfg.cancel && self.retries >= 1.0 {
            out.push(Action::Cancel { id, attempt: Try(index as u8) });
        }
    }

    /// Records whether a request was answered. Large ones answered less often than their class gain credit.
    fn record_answer(&mut self, id: RequestId, answered: f64) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        let stats = &mut self.classes[usize::from(open.request.class.0)];
        let shares = &mut stats.answered[..=usize::from(open.work > stats.work)];
        shares.iter_mut().for_each(|share| *share += (answered - *share) * LEARNING_RATE);
        let underserved = stats.answered[1] < FAIR_LARGE_SHARE * stats.answered[0];
        stats.credit =
            (stats.credit + if underserved { LEARNING_RATE } else { -LEARNING_RATE }).clamp(0.0, 1.0);
    }

    /// Ends a request and cancels its remaining attempts.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.done = true;
        let cancel_rest = self.cfg.cancel && !open.streaming;
        let unfinished = open.attempts.iter().enumerate().filter(|(_, a)| a.end.is_none() && cancel_rest);
        out.extend(unfinished.map(|(index, _)| Action::Cancel { id, attempt: Try(index as u8) }));
        self.remove_if_complete(id);
    }

    /// Removes a finished request once all its attempts have ended.
    fn remove_if_complete(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.done && o.attempts.iter().all(|a| a.end.is_some())) {
            self.open.remove(&id);
        }
    }
}
