//! Every decision of elmtide; one `Router` lives in each front. Its types are in src/interface.rs. Below:
//! constants, ring table, members and ramps, health, cold budgets, purges, requests. Times are ms; "work" is
//! an answer's sending time at full pace: a member whose link fits n transfers does n ms of work in one.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::open_requests::{Ask, Attempt, OpenRequest};

// ---- Constants: value, // unit, reason ------------------------------------------------------------------

const GROUP: usize = 3; // r, members of a group: one serves, two take over at overlapping losses
const SIGMA: f64 = 8.0; // sigma of s = sigma ln N: even three members cross every subframe several times
const SLOTS: f64 = 4.0; // 1/alpha, slots a unit of stretch: shares are rounded by a few per cent at most
const EPSILON: f64 = 0.5; // epsilon of the subframe condition: interval ends move by half a frame at most
const MAX_HALVINGS: u32 = 12; // halvings of the ring at most, against start points that nearly meet
const RAMP_STEPS: f64 = 6.0; // steps of a ramp: each one moves objects, so few
const FORMER_RINGS: usize = 4; // former cache tables that are asked for an object's last owner
const FORMER_FOR: Ms = 10_000.0; // ms for which its copy is worth asking for: about what a cache keeps unused

const OVERHEAD: Ms = 100.0; // ms added to the work where latencies are compared: trips and queues
const LEARN: f64 = 0.02; // part of a new sample in the means of latency and size: about 50 answers count
const FIRST_STRETCH: (f64, f64) = (1.5, 0.7); // latency / (work + OVERHEAD) before any is seen; its deviation
const OVERDUE: f64 = 3.0; // mean deviations after which an answer is overdue: one good answer in fifty
const LATE: (f64, f64) = (1.5, 4.0); // multiples of the usual latency: from good evidence to as bad as failed
const FADE: Ms = 3000.0; // ms in which evidence fades by e: a few requests a member, a blip is forgotten
const EJECT_FAILS: f64 = 2.5; // weighted failures before a member can be ejected
const EJECT_SHARE: f64 = 0.25; // share of failures that ejects it, above WORSE times its peers' mean
const WORSE: f64 = 2.0; // peers this bad show a common cause, such as a full link or a slow origin
const EJECT_FOR: Ms = 4000.0; // ms of an ejection; after it half the evidence ejects again
const HIT_CREDIT: f64 = 0.3; // credit to the source of an answer that may have been a hit: most are

const COLD_PART: f64 = 0.6; // part of a cold budget used: weights are rough, sizes vary, fronts differ
const OVERRUN: f64 = 2.6; // multiple of its fair transfers at which a cache passes requests down the group
const SHED: (f64, f64) = (2.0, 5.0); // multiple in the whole group at which a request is refused: least, most
const FAIR: f64 = 0.7; // part of its class's answered share that is owed to requests of over its mean work
const RETRY_EARN: f64 = 0.1; // further attempts earned by a request: overload is not multiplied
const RETRY_SAVE: f64 = 20.0; // and saved up at most
const RETURN: f64 = 0.6; // least part of the wait told to those refused: they must not come back together
const STRAIN: (f64, f64) = (0.05, 0.12); // share of bad outcomes that ends the guard of the origin; begins it
const STRAIN_LEARN: f64 = 0.03; // part of a new outcome in it: about 30 count
const ORIGIN_PART: f64 = 0.2; // origin fetches out when a guard begins, over the transfers of all links in
const LINK: f64 = 0.5; // a link in over the links of its caches, where it is not told: they keep most
const FAR_LEARN: f64 = 0.3; // part of a new origin fetch in its strain: of many fronts each sees one a second
const FAR: (f64, f64) = (0.2, 0.45); // strain that ends the shield of the origin; begins it: three in a row
const FAR_LATE: (f64, f64) = (1.5, 4.0); // multiples of the usual wait for the origin: no strain; full strain
const WINDOW: (f64, f64) = (0.94, 1.03); // factors of a window for one front: a late fill; one in time
const WINDOW_LEAST: f64 = 0.25; // least part of a window: less never finds the way free again
const WINDOW_BACK: Ms = 12_000.0; // ms in which a window grows by e: a small part sees too little to tell
const DRAWN: f64 = 2.0; // fills of all fronts at a parent under strain, over what its link bears at full pace
const TURN: Ms = 400.0; // ms for which the chance of a part of one is drawn: a try at each request is none
const ATTEMPTS: u32 = 3; // attempts where the settings name no limit
const TOO_LATE: Ms = 10.0; // ms before a deadline in which no attempt can come back

const PURGE_MARGIN: Ms = 2.0; // ms off the age allowed after a purge, for clocks and rounding
const LEAST_AGE: Ms = 1.0; // ms, the least age that can be asked for
const PURGE_KEEP: f64 = 1.5; // multiple of the time in which caches drop old copies: a purge is remembered
const PURGE_DONE: Ms = 10_000.0; // ms supposed for that time where it is not told
const KEEP_GONE: Ms = 120_000.0; // ms for which a removed member is known: replies may be under way
const ASK_AGAIN: Ms = 1000.0; // ms until a failed subscription is asked for again
const ASK_TOKEN: Token = Token(u64::MAX);

// ---- Ring table (SPREAD) ---------------------------------------------------------------------------------

/// A seeded hash; every router computes the same.
fn hash(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_add(0x2545_F491_4F6C_DD1D).rotate_left(31);
    for _ in 0..2 {
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^= z >> 31;
    }
    z
}

fn unit(h: u64) -> f64 {
    (h >> 11) as f64 / (1u64 << 53) as f64
}

/// A told figure, if it is a usable one.
fn sane(value: Option<f64>) -> Option<f64> {
    value.filter(|v| v.is_finite() && *v > 0.0)
}

/// Shares of the weights, none above `cap`; what is cut off goes to the others in proportion.
fn capped(weights: &[f64], cap: f64) -> Vec<f64> {
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

/// One weighted SPREAD table: object to an ordered group of distinct members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ring {
    ids: Vec<MemberId>,
    /// Share over capped share: gives the first place of a group what capping took from the group itself.
    lead: Vec<f64>,
    r: usize,
    columns: usize,
    pub starts: Vec<f64>, // where the subframes begin, from 0 to 1
    slots: Vec<u16>,      // for each subframe r rows of `columns` slots; a column is a group
}

impl Ring {
    pub fn build(members: &[(MemberId, f64)]) -> Ring {
        let mut list: Vec<(f64, MemberId, f64)> = members
            .iter()
            .filter(|(_, w)| sane(Some(*w)).is_some())
            .map(|(id, w)| (unit(hash(id.0, 1)), *id, w.min(1e12)))
            .collect();
        list.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        list.dedup_by_key(|m| m.1);
        list.truncate(usize::from(u16::MAX));
        let (n, r) = (list.len(), list.len().min(GROUP));
        if n == 0 {
            return Ring::default();
        }
        let weights: Vec<f64> = list.iter().map(|m| m.2).collect();
        let shares = capped(&weights, 1.0 / r as f64);
        let total: f64 = weights.iter().sum();
        let lead = weights.iter().zip(&shares).map(|(w, c)| w / total / c.max(1e-12)).collect();
        let points: Vec<f64> = list.iter().map(|m| m.0).collect();
        let stretch = (SIGMA * (n.max(2) as f64).ln()).ceil();
        let starts = subframes(&points);
        let columns = (stretch * SLOTS) as usize;
        let mut crossings = vec![vec![0.0f64; n]; starts.len()];
        for v in 0..n {
            cross(&starts, &points, v, stretch * r as f64 * shares[v], |f, times| crossings[f][v] += times);
        }
        let mut slots = vec![0; starts.len() * columns * r];
        for (f, mu) in crossings.iter_mut().enumerate() {
            // A subframe that fewer than r members cross takes in the others too.
            if mu.iter().filter(|m| **m > 0.0).count() < r {
                mu.iter_mut().for_each(|m| *m = m.max(1e-6));
            }
            let (mut sum, mut from) = (0.0, 0);
            for (v, share) in capped(mu, 1.0 / r as f64).iter().enumerate() {
                sum += share;
                let to = ((sum * (columns * r) as f64 + 0.5 + 1e-9) as usize).min(columns * r);
                slots[f * columns * r + from..f * columns * r + to].fill(v as u16);
                from = from.max(to);
            }
        }
        Ring { ids: list.iter().map(|m| m.1).collect(), lead, r, columns, starts, slots }
    }

    /// The object's group, in the order for one of its parts (the paper's 2.6 starts at a random place): a
    /// long object loads its whole group and not one link; a rebuild that keeps a group keeps its order.
    pub fn group(&self, object: ObjectId, part: u32) -> Vec<MemberId> {
        if self.ids.is_empty() {
            return Vec::new();
        }
        let at = unit(hash(object.0, 2));
        let m = self.starts.len();
        let f = (self.starts.partition_point(|s| *s <= at) + m - 1) % m;
        let column = ((unit(hash(object.0, 3)) * self.columns as f64) as usize).min(self.columns - 1);
        let table = f * self.columns * self.r + column;
        let item = hash(object.0, 4 + u64::from(part));
        let mut group: Vec<(f64, MemberId)> = (0..self.r)
            .map(|row| usize::from(self.slots[table + row * self.columns]))
            .map(|v| (v, unit(hash(item, self.ids[v].0)).max(1e-300)))
            .map(|(v, chance)| (-chance.ln() / self.lead[v].max(1e-12), self.ids[v]))
            .collect();
        group.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        group.into_iter().map(|m| m.1).collect()
    }
}

/// Distance from `a` up to `b` on the ring.
fn ahead(a: f64, b: f64) -> f64 {
    (b - a).rem_euclid(1.0)
}

fn frame(points: &[f64], v: usize) -> f64 {
    1.0 - ahead(points[(v + 1) % points.len()], points[v])
}

/// Starts of all subframes: [0, 1) is halved, and cut at frame borders, until the paper's condition holds.
fn subframes(points: &[f64]) -> Vec<f64> {
    let (mut starts, mut todo) = (Vec::new(), vec![(0.0, 1.0, 0)]);
    while let Some((low, high, depth)) = todo.pop() {
        let mut cuts = vec![low];
        let inside = points.partition_point(|p| *p <= low)..points.partition_point(|p| *p < high);
        cuts.extend(&points[inside]);
        let ends = cuts.iter().skip(1).copied().chain([high]);
        let fine = cuts.iter().zip(ends).all(|(from, to)| fits(points, *from, to - from));
        if fine || depth >= MAX_HALVINGS {
            starts.extend(cuts);
        } else {
            let middle = (low + high) / 2.0;
            todo.extend([(middle, high, depth + 1), (low, middle, depth + 1)]);
        }
    }
    starts
}

/// The subframe condition: |f| <= epsilon (1 + epsilon)^k |F_w| for every frame F_w but its own, at the most
/// k for which epsilon (sum of (1 + epsilon)^i, i = 1 to k - 1) |F_w| is within the distance from F_w to f.
fn fits(points: &[f64], from: f64, length: f64) -> bool {
    let n = points.len();
    let own = (points.partition_point(|p| *p <= from) + n - 1) % n;
    (0..n).filter(|w| *w != own).all(|w| {
        let size = frame(points, w).max(1e-9);
        let distance = ahead(points[(w + 1) % n], from);
        let k = (distance / size + 1.0 + EPSILON).ln() / (1.0 + EPSILON).ln();
        length <= EPSILON * (1.0 + EPSILON).powf((k + 1e-9).floor()) * size
    })
}

/// Tells how often member v's interval of this length crosses each subframe, its end rounded to a start.
fn cross(starts: &[f64], points: &[f64], v: usize, length: f64, mut add: impl FnMut(usize, f64)) {
    let m = starts.len();
    let (turns, rest) = (length.floor(), length.fract());
    (0..m).for_each(|f| add(f, turns));
    let end = (points[v] + rest).rem_euclid(1.0);
    let first = starts.partition_point(|s| *s < points[v]) % m;
    let last = (starts.partition_point(|s| *s <= end) + m - 1) % m;
    let (into, size) = (ahead(starts[last], end), ahead(starts[last], starts[(last + 1) % m]));
    // Within its own frame an interval is not rounded: a subframe counts where its start is crossed.
    let up = if length <= frame(points, v) { into > 0.0 } else { m == 1 || into >= size / 2.0 };
    let steps = (last + m - first) % m + usize::from(up && rest > 0.0);
    (0..steps.min(m)).for_each(|step| add((first + step) % m, 1.0));
}

// ---- Members and ramps -----------------------------------------------------------------------------------

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Cache,
    Parent,
    Origin,
}

#[derive(Debug)]
struct Member {
    listing: Listing,
    role: Role,
    gone_at: Ms,
    out: f64, // transfers of this front that are out
    health: Health,
    sent: VecDeque<(Ms, f64)>, // work sent within the last fall span while it is cold
    among: Option<f64>,        // its cold budget is divided as among so many fronts, where that is told
}

impl Member {
    fn new(listing: Listing, role: Role) -> Member {
        let (health, sent) = (Health::default(), VecDeque::new());
        Member { listing, role, gone_at: 0.0, out: 0.0, health, sent, among: None }
    }

    fn ready(&self) -> bool {
        self.listing.availability == Availability::Ready
    }
}

/// The decisions of one front. See the crate's page for its use.
#[derive(Debug, Default)]
pub struct Router {
    set: Settings,
    started: Ms,
    members: BTreeMap<MemberId, Member>,
    caches: Ring,
    parents: Ring,
    former: VecDeque<(Ms, Ring)>, // cache tables of the last while, the newest first, and their ends
    next_step: Ms,                // when a ramp takes its next step
    classes: Vec<ClassView>,
    retries: f64,
    lent: bool, // retries are lent from a budget of all fronts, and not earned
    purges: BTreeMap<Purged, Ms>,
    purges_swept: Ms,
    open: BTreeMap<RequestId, OpenRequest>,
    near: Guard, // strain of the links, then of the origin alone, and what may be out to each under guard
    far: Guard,
    fills: Window,
    origin: Window,
    far_usual: Ms, // how long the origin usually keeps a fetch
    salt: u64,
}

/// What a purge names; a purge of an object need not tell the object's group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Purged {
    Object(ObjectId),
    Group(PurgeGroup),
}

/// Mean badness of late, and whether that is strain.
#[derive(Debug, Default)]
struct Guard {
    strain: f64,
    up: bool,
}

impl Guard {
    fn learn(&mut self, bad: f64, part: f64, (end, begin): (f64, f64)) {
        self.strain += (bad - self.strain) * part;
        self.up = self.strain > if self.up { end } else { begin };
    }
}

/// How many of a thing may be out under guard: late ones make it less. Below one it is a chance of one.
#[derive(Debug, Default)]
struct Window {
    out: f64,
    most: f64,
    full: f64, // where it begins and grows back to by itself
    at: Ms,
    fronts: f64, // that share it: the more, the less each sees of it, and then one fill tells more
}

impl Window {
    fn room(&mut self, now: Ms, draw: f64) -> bool {
        let grown = self.most * ((now - self.at).max(0.0) / WINDOW_BACK).exp();
        (self.most, self.at) = (self.most.max(grown.min(self.full)), now);
        self.out + draw < self.most
    }

    fn back(&mut self, late: Option<bool>) {
        match late {
            Some(true) => self.most *= WINDOW.0.powf(self.fronts.sqrt()),
            Some(false) if self.out * 2.0 >= self.most => self.most *= WINDOW.1.powf(self.fronts.sqrt()),
            _ => {}
        }
        self.out = (self.out - 1.0).max(0.0);
        self.most = self.most.max(self.full * WINDOW_LEAST);
    }
}

/// What this front has seen of a class.
#[derive(Clone, Debug)]
struct ClassView {
    stretch: f64,
    spread: f64,
    work: f64,          // mean work of a request
    seen: f64,          // requests that it is the mean of, a few supposed
    answered: [f64; 2], // shares of all and of those of over the mean work
    owed: f64,          // to those, 0 to 1: how far a full link bears them rather than the others
}

impl Router {
    pub fn new(set: Settings, seed: u64, now: Ms, out: &mut Vec<Action>) -> Router {
        out.extend(set.must_subscribe.then_some(Action::Subscribe));
        let (stretch, spread) = FIRST_STRETCH;
        let work = |c: &ClassSettings| sane(Some(c.aim)).unwrap_or(OVERHEAD);
        let view = |c| ClassView { stretch, spread, work: work(c), seen: 3.0, answered: [1.0; 2], owed: 0.0 };
        let near = set.zone_fronts.get(usize::from(set.zone.0)).copied().or(set.fronts);
        let shared = |fronts: Option<u32>| f64::from(fronts.unwrap_or(1).max(1));
        Router {
            classes: set.classes.iter().map(view).collect(),
            origin: Window { fronts: shared(set.fronts), ..Window::default() },
            fills: Window { fronts: shared(near), ..Window::default() },
            set,
            started: now,
            next_step: f64::INFINITY,
            retries: RETRY_SAVE / 2.0,
            far_usual: 2.0 * OVERHEAD,
            salt: seed,
            ..Router::default()
        }
    }

    /// Opens the windows that a guard begins with: the link in, and what of it may go to the origin.
    fn open_windows(&mut self, now: Ms) {
        let links = &self.set.zone_links;
        let told = |link: f64| sane(sane(self.set.pace).map(|pace| link / pace));
        let caches = self.members.values().filter(|m| m.role == Role::Cache && m.ready());
        let usual = LINK * caches.map(|m| self.weight(m)).sum::<f64>().max(1.0);
        let link = links.get(usize::from(self.set.zone.0)).and_then(|link| told(*link)).unwrap_or(usual)
            / self.fills.fronts;
        let all = told(links.iter().sum()).map_or(link, |all| all / self.origin.fronts);
        let far = ORIGIN_PART * all;
        self.fills = Window { most: link, full: link, at: now, ..self.fills };
        self.origin = Window { most: far, full: far, at: now, ..self.origin };
    }

    /// Lends further attempts, in place of those earned. Gives what was left of the last loan.
    pub fn lend(&mut self, retries: f64) -> f64 {
        self.lent = true;
        std::mem::replace(&mut self.retries, retries)
    }

    /// Divides a member's cold budget as among so many fronts; none for as many as the settings tell.
    pub fn divide(&mut self, member: MemberId, among: Option<f64>) {
        self.members.entry(member).and_modify(|m| m.among = among);
    }

    /// Takes in one event; appends what is to be done. Events of one moment come in the order of arrival.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        if !now.is_finite() {
            return;
        }
        match event {
            Event::List { news, entries } => self.on_list(now, news, &entries, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::FirstByte { id, .. } => drop(self.open.entry(id).and_modify(|o| o.streaming = true)),
            Event::Reply { .. } => self.on_reply(now, event, out),
            Event::Expired { id } => self.close(id, out),
            Event::Timer { token: ASK_TOKEN } => out.push(Action::Subscribe),
            Event::Timer { token } => self.on_timer(now, token, out),
            Event::Probed { .. } => {}
            Event::Purged { object, group, ago } => self.on_purge(now, object, group, ago),
        }
    }

    /// What a listing is to this front; caches of other locations are nothing.
    fn role(&self, listing: &Listing) -> Option<Role> {
        match Some(listing.kind) {
            kind if kind == self.set.origin_kind => Some(Role::Origin),
            kind if kind == self.set.parent_kind => Some(Role::Parent),
            _ => (listing.zone == self.set.zone).then_some(Role::Cache),
        }
    }

    fn on_list(&mut self, now: Ms, news: ListNews, entries: &[Listing], out: &mut Vec<Action>) {
        if news == ListNews::Failed {
            let again = Action::SetTimer { delay: ASK_AGAIN, token: ASK_TOKEN };
            return out.extend(self.set.must_subscribe.then_some(again));
        }
        let gone = |m: &Member| m.listing.availability == Availability::Gone;
        // Whoever is missing from a whole list has been removed.
        let missing = self.members.values_mut().filter(|m| news != ListNews::Delta && !gone(m));
        missing.for_each(|m| (m.listing.availability, m.gone_at) = (Availability::Gone, now));
        for listing in entries {
            let Some(role) = self.role(listing) else { continue };
            let member = self.members.entry(listing.member).or_insert_with(|| Member::new(*listing, role));
            if member.listing.born != listing.born {
                member.health = Health::default(); // nothing that was held against the last process applies
            }
            (member.listing, member.role, member.gone_at) = (*listing, role, now);
        }
        self.members.retain(|_, m| !(gone(m) && m.out <= 0.0 && now - m.gone_at > KEEP_GONE));
        self.rebuild(now);
    }

    /// A member's least share at its start, ms until it is warm, fall multiple, and the fronts that share it.
    fn cold(&self, member: &Member) -> Option<(f64, Ms, f64, f64)> {
        let (s, zone) = (&self.set, usize::from(member.listing.zone.0));
        let near = s.zone_fronts.get(zone).copied().or(s.fronts);
        let (from, span, multiple, fronts) = match member.role {
            Role::Origin => return None,
            Role::Parent => (s.parent_cold_from, s.parent_cold_span, s.parent_fall_multiple, s.fronts),
            _ => (s.cold_from, s.cold_span, s.fall_multiple, near),
        };
        let fronts = member.among.unwrap_or(f64::from(fronts.unwrap_or(1).max(1)));
        Some((sane(from).unwrap_or(0.0).min(1.0), sane(span)?, sane(multiple).unwrap_or(1.0), fronts))
    }

    /// How far a member that started lately has come, 0 to 1, at the slowest rise that is permitted.
    fn risen(&self, member: &Member, now: Ms) -> f64 {
        let cold = sane(member.listing.born).zip(self.cold(member));
        cold.map_or(1.0, |(born, (_, span, ..))| ((now - born) / span).clamp(0.0, 1.0))
    }

    fn rebuild(&mut self, now: Ms) {
        let (mut lists, mut next) = ([const { Vec::new() }; 2], f64::INFINITY);
        for (id, member) in &self.members {
            let place = usize::from(member.role == Role::Parent);
            if !member.ready() || member.role == Role::Origin {
                continue;
            }
            let (risen, weight) = (self.risen(member, now), self.weight(member));
            let step = (risen * RAMP_STEPS).floor() + 1.0;
            if risen < 1.0 {
                let span = self.cold(member).map_or(0.0, |c| c.1);
                let born = member.listing.born.unwrap_or(now).max(now - span);
                next = f64::min(next, (born + span * step / RAMP_STEPS).max(now + 1.0));
            }
            lists[place].push((*id, weight * step.min(RAMP_STEPS) / RAMP_STEPS));
        }
        let caches = Ring::build(&lists[0]);
        if caches != self.caches {
            self.former.push_front((now, std::mem::replace(&mut self.caches, caches)));
            self.former.truncate(FORMER_RINGS);
        }
        (self.parents, self.next_step) = (Ring::build(&lists[1]), next);
    }

    /// Declared weight: the link in transfers at full pace, where weights mean something.
    fn weight(&self, member: &Member) -> f64 {
        sane(Some(member.listing.weight)).filter(|_| self.sized()).unwrap_or(1.0)
    }

    fn sized(&self) -> bool {
        matches!(self.set.weights, WeightMeaning::Nominal | WeightMeaning::Rough)
    }

    // ---- Health ----------------------------------------

    /// Splits the blame for an attempt between its cache and its source: most goes to the one whose other
    /// attempts fail too. Guards against bad caches and bad fill sources, whatever the cause.
    fn blame(&mut self, now: Ms, cache: MemberId, source: MemberId, amount: f64) {
        let share = |r: &Router, id| r.members.get(&id).map_or(0.0, |m| m.health.share(now) + 0.05);
        let (a, b) = (share(self, cache), if source == cache { 0.0 } else { share(self, source) });
        for (id, part) in [(cache, a / (a + b).max(1e-9)), (source, b / (a + b).max(1e-9))] {
            let may_eject = self.apart(now, id);
            let note = |m: &mut Member| m.health.failed(now, amount * part, may_eject && part > 0.0);
            self.members.entry(id).and_modify(note);
        }
    }

    /// Whether a member fails far more than its peers: two thirds of a kind may be out (a hub holds so many).
    /// Where those still in seem bad too the trouble lies elsewhere, and moving the load would add to it.
    fn apart(&self, now: Ms, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let peers = self.members.iter().filter(|(p, m)| **p != id && m.role == member.role && m.ready());
        let (all, live, sum) = peers.fold((1i32, 0i32, 0.0), |(all, live, sum), (_, m)| {
            let (one, share) = if m.health.out(now) { (0, 0.0) } else { (1, m.health.share(now)) };
            (all + 1, live + one, sum + share)
        });
        let usual = sum / f64::from(live.max(1));
        live > 0 && live * 3 >= all && member.health.share(now) + 0.05 > EJECT_SHARE + WORSE * usual
    }

    // ---- Cold budgets ----------------------------------------

    /// Whether a member can be sent this work now. One that started lately may get its present part of the
    /// link times the fall multiple, over the fall span, split among the fronts that share it.
    fn has_room(&mut self, id: MemberId, now: Ms, work: f64) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let (risen, weight) = (self.risen(member, now), self.weight(member));
        let Some((from, _, multiple, fronts)) = self.cold(member).filter(|_| risen < 1.0) else {
            return true;
        };
        let Some(span) = sane(self.set.fall_span) else { return true };
        let known = now - self.started >= span; // what was sent before a restart is not
        let budget = (from + (1.0 - from) * risen) * weight * multiple * span * COLD_PART / fronts;
        // Of many fronts each has less than one request: then it is a chance of one, drawn for two spans.
        let draw = self.draw(id, now / span / 2.0);
        let Some(member) = self.members.get_mut(&id) else { return false };
        while member.sent.front().is_some_and(|(at, _)| now - at > span) {
            member.sent.pop_front();
        }
        known && member.sent.iter().map(|(_, work)| work).sum::<f64>() + work * draw <= budget
    }

    fn charge(&mut self, id: MemberId, now: Ms, work: f64) {
        let cold = self.members.get(&id).is_some_and(|m| self.risen(m, now) < 1.0);
        let note = |m: &mut Member| if cold { m.sent.push_back((now, work)) } else { m.sent.clear() };
        self.members.entry(id).and_modify(note);
    }

    // ---- Purges ----------------------------------------

    fn purge_span(&self) -> Ms {
        sane(self.set.purge_done).unwrap_or(PURGE_DONE) * PURGE_KEEP
    }

    fn on_purge(&mut self, now: Ms, object: Option<ObjectId>, group: PurgeGroup, ago: Ms) {
        let at = now - sane(Some(ago)).unwrap_or(0.0);
        let old = now - self.purge_span();
        if self.purges_swept < old {
            self.purges.retain(|_, at| *at >= old);
            self.purges_swept = now;
        }
        let purged = object.map_or(Purged::Group(group), Purged::Object);
        self.purges.entry(purged).and_modify(|last| *last = last.max(at)).or_insert(at);
    }

    /// The last purge that a request's copy has to be younger than, while older copies may be about.
    fn purged_at(&self, request: &Request, now: Ms) -> Option<Ms> {
        let at = |purged| self.purges.get(&purged).copied().unwrap_or(f64::NEG_INFINITY);
        let at = at(Purged::Group(request.group)).max(at(Purged::Object(request.object)));
        (now - at <= self.purge_span()).then_some(at)
    }

    // ---- Request life cycle ----------------------------------------

    fn on_request(&mut self, now: Ms, request: Request, out: &mut Vec<Action>) {
        if now >= self.next_step {
            self.rebuild(now);
        }
        self.retries = if self.lent { self.retries } else { (self.retries + RETRY_EARN).min(RETRY_SAVE) };
        let deadline = now + sane(Some(request.left)).unwrap_or(0.0);
        let class = usize::from(request.class.0);
        let Some(view) = self.classes.get_mut(class) else {
            return out.push(Action::Fail { id: request.id });
        };
        let told = sane(request.size_kb).zip(sane(self.set.pace)).map(|(size, pace)| size / pace * 1000.0);
        let work = told.unwrap_or(view.work);
        view.seen += if told.is_some() { 1.0 } else { 0.0 };
        view.work += (work - view.work) * LEARN.max(1.0 / view.seen);
        let class = &self.set.classes[class];
        let aim = sane(Some(class.aim)).unwrap_or(0.0) + work * sane(class.aim_stretch).unwrap_or(0.0);
        let aim_at = deadline.min(now + aim);
        let (attempts, done, streaming) = (Vec::new(), false, false);
        self.open
            .insert(request.id, OpenRequest { request, work, deadline, aim_at, attempts, done, streaming });
        self.advance(now, request.id, out);
    }

    /// Sends the next attempt, or gives the final answer where none is left.
    fn advance(&mut self, now: Ms, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        let first = open.attempts.is_empty();
        if !self.send(now, id, out) {
            self.ended(id, 0.0);
            let Some(open) = self.open.get_mut(&id) else { return };
            open.done = true;
            let class = &self.set.classes[usize::from(open.request.class.0)];
            let ran = open.attempts.iter().any(|a| a.may_have_run());
            let keyed = class.repeat == Repeat::Keyed && class.key_scope == KeyScope::All;
            let harmless = (!ran || keyed || class.repeat == Repeat::Safe) && !open.is_unusable();
            let spread = RETURN + (1.0 - RETURN) * unit(hash(u64::from(id.0), self.salt ^ 1));
            let pause = sane(self.set.max_retry_after).filter(|_| self.set.retry_after).map(|ms| ms * spread);
            let refused = harmless && (first || now < open.deadline);
            out.push(if refused { Action::Refuse { id, retry_after: pause } } else { Action::Fail { id } });
            self.forget(id);
        }
    }

    fn send(&mut self, now: Ms, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let (request, work, tries) = (open.request, open.work, open.attempts.len());
        let most = self.set.max_attempts.unwrap_or(ATTEMPTS).min(250) as usize;
        let left = open.deadline - now;
        // An attempt after one that only looked for what is held is no repeat.
        let repeat = open.attempts.last().is_some_and(|a| !a.missed());
        if open.is_unusable() || tries >= most || left <= TOO_LATE || (repeat && self.retries < 1.0) {
            return false;
        }
        // Where a second copy is forbidden, no other attempt begins while a server may still work on one.
        if !self.set.second_copies && open.attempts.iter().any(Attempt::may_still_run) {
            return false;
        }
        let write = request.write || self.set.classes[usize::from(request.class.0)].write;
        let Some(cache) = self.pick_cache(now, id) else { return false };
        let aside = if tries == 0 && !write { self.former_owner(now, &request, cache) } else { None };
        let Some(source) = aside.or_else(|| self.pick_source(now, id, cache)) else { return false };
        let class = usize::from(request.class.0);
        let (mean, settings) = (self.classes[class].work, &self.set.classes[class]);
        let (purged, fresh) = (self.purged_at(&request, now), sane(settings.fresh));
        // A further attempt takes a stale copy too: it is worth less than a fresh one and more than none.
        // Under strain a parent is first asked for what it holds, and only as many requests go on to the
        // origin as it answers in time: that guards places for fills, and it, for a trip at such a miss.
        let upstream = self.members.get(&source).is_some_and(|m| m.role == Role::Parent);
        let asked = |ask| self.open[&id].attempts.iter().any(|a| a.ask == ask && a.missed());
        let ask = match (self.near.up, self.far.up) {
            _ if aside.is_some() => Ask::Former,
            _ if write || source == cache => Ask::Anything,
            (true, _) if !asked(Ask::Look) && !asked(Ask::Former) => Ask::Look,
            (true, _) | (_, true) if upstream && !asked(Ask::Held) => Ask::Held,
            (true, _) | (_, true) => Ask::Origin,
            _ => Ask::Anything,
        };
        let source = if ask == Ask::Look { cache } else { source };
        let draw = self.draw(MemberId(0), now / TURN);
        let fills = matches!(ask, Ask::Held | Ask::Origin);
        let known = self.open[&id].attempts.last().is_some_and(|a| a.ask == Ask::Held && a.missed());
        let fills_full = fills && self.near.up && !known && !self.fills.room(now, draw);
        if fills_full || (ask == Ask::Origin && !self.origin.room(now, draw)) {
            return false;
        }
        let aged = tries > 0 || self.near.up;
        let usual = fresh.map(|f| f + sane(settings.grace).filter(|_| aged).unwrap_or(0.0));
        let cap = purged.map(|at| (now - at - PURGE_MARGIN).max(LEAST_AGE));
        let max_age = match (cap, usual) {
            (Some(cap), Some(usual)) => Some(cap.min(usual)),
            (cap, usual) => cap.or(usual.filter(|_| aged)),
        };
        // The age cap holds for a fill that is joined as well, so a purge does not end joining.
        let mode = FillMode {
            join: self.set.joins,
            renew: fresh.is_some() && purged.is_none() && !self.near.up && aside.is_none(),
            source_holds_only: matches!(ask, Ask::Former | Ask::Held),
            ..FillMode::default()
        };
        let overdue = self.usual(class, work, OVERDUE);
        let charged = [cache, source].into_iter().take(if source == cache { 1 } else { 2 });
        charged.for_each(|member| self.charge(member, now, mean));
        self.members.entry(cache).and_modify(|m| m.out += 1.0);
        self.retries -= if repeat { 1.0 } else { 0.0 };
        let rank = u8::from(!write);
        out.push(Action::Serve { id, cache, source, rank, max_age, mode, timeout: left });
        out.push(Action::SetTimer { delay: overdue, token: Token(u64::from(id.0) << 8 | tries as u64) });
        self.origin.out += if ask == Ask::Origin { 1.0 } else { 0.0 };
        self.fills.out += if fills { 1.0 } else { 0.0 };
        self.members.entry(source).and_modify(|m| m.out += if fills { 1.0 } else { 0.0 });
        let attempt = Attempt { cache, source, sent: now, ask, end: None, doubtful: false };
        self.open.entry(id).and_modify(|o| o.attempts.push(attempt));
        true
    }

    /// The first live cache of the object's group; see `trouble` for what makes one less than live.
    fn pick_cache(&mut self, now: Ms, id: RequestId) -> Option<MemberId> {
        let open = self.open.get(&id)?;
        let (request, first) = (open.request, open.attempts.is_empty());
        let (class, mean) = (usize::from(request.class.0), self.classes[usize::from(request.class.0)].work);
        let group = self.caches.group(request.object, request.part);
        let outside = self.caches.ids.iter().filter(|m| !group.contains(m)).copied();
        let order: Vec<MemberId> = group.iter().copied().chain(outside).collect();
        let (mut best, mut least, mut room) = (None, u32::MAX, false);
        for (place, cache) in order.into_iter().enumerate() {
            let Some(member) = self.members.get(&cache).filter(|m| m.ready()) else { continue };
            if !self.may_repeat(now, id, class, member) {
                continue;
            }
            let (open, full) = (&self.open[&id], member.out / self.fair(member));
            // A full link is shared: the answer takes its work times the transfers over the fair ones.
            let own = ((open.aim_at - now - OVERHEAD) / open.work).clamp(SHED.0, SHED.1);
            let bears =
                own + (if open.work > mean { SHED.1 } else { SHED.0 } - own) * self.classes[class].owed;
            // Down the group past what is overrun; outside it, to one tried before, to one ejected only last.
            let mut trouble = u32::from(full >= OVERRUN) * 2 + u32::from(place >= group.len()) * 3;
            trouble += u32::from(open.attempts.iter().any(|a| a.cache == cache && !a.missed())) * 4;
            trouble += u32::from(member.health.out(now)) * 8;
            if trouble < least && self.has_room(cache, now, mean) {
                (best, least, room) = (Some(cache), trouble, full < bears);
            }
        }
        // Admission control: with the whole group overrun, one more request only makes the others late.
        best.filter(|_| room || !first)
    }

    /// Transfers that are this front's share of a cache at full pace; endless where links are not told.
    fn fair(&self, member: &Member) -> f64 {
        let fair = self.weight(member) / self.cold(member).map_or(1.0, |c| c.3);
        Some(fair.max(1.0)).filter(|_| self.sized()).unwrap_or(f64::INFINITY)
    }

    /// Whether the rule on effects lets the request go to this cache after what it has been through.
    fn may_repeat(&self, now: Ms, id: RequestId, class: usize, to: &Member) -> bool {
        let (open, class) = (&self.open[&id], &self.set.classes[class]);
        let mut ran = open.attempts.iter().filter(|a| a.may_have_run());
        match class.repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => ran.next().is_none(),
            Repeat::Keyed => ran.all(|a| {
                let Some(from) = self.members.get(&a.cache) else { return false };
                let (from, to, zone) = (&from.listing, &to.listing, class.key_scope == KeyScope::Zone);
                let near = if zone { from.zone == to.zone } else { from.cell == to.cell };
                let same = class.key_scope == KeyScope::All || near;
                same && now - a.sent < sane(class.key_window).unwrap_or(0.0) - TOO_LATE
            }),
        }
    }

    /// A chance for a turn: a part of one is had by some of the fronts at a time.
    fn draw(&self, of: MemberId, turns: f64) -> f64 {
        unit(hash(of.0 ^ self.salt, (turns + unit(hash(of.0, self.salt))) as u64))
    }

    /// The first live parent of the object's group, then the origin; the cache itself if there is neither.
    fn pick_source(&mut self, now: Ms, id: RequestId, cache: MemberId) -> Option<MemberId> {
        let open = self.open.get(&id)?;
        let mean = self.classes[usize::from(open.request.class.0)].work;
        let (mut best, mut least) = (None, u32::MAX);
        let origin = self.members.iter().find(|(_, m)| m.role == Role::Origin && m.ready()).map(|m| *m.0);
        let group = self.parents.group(open.request.object, 0);
        let bounded = self.near.up && self.sized();
        for source in group.into_iter().chain(origin) {
            let Some(member) = self.members.get(&source).filter(|m| m.ready()) else { continue };
            let open = &self.open[&id];
            let failed =
                open.attempts.iter().any(|a| a.source == source && a.end != Some(Outcome::Ok) && !a.missed());
            let part = self.weight(member) * DRAWN / self.origin.fronts - self.draw(source, now / TURN);
            let full = bounded && member.role == Role::Parent && member.out >= part;
            let mut trouble = u32::from(failed || full) * 2 + u32::from(member.health.out(now)) * 4;
            trouble += u32::from(member.role == Role::Origin);
            if trouble < least && self.has_room(source, now, mean) {
                (best, least) = (Some(source), trouble);
            }
        }
        let none = self.parents.ids.is_empty() && origin.is_none();
        best.or(none.then_some(cache))
    }

    /// Where a table change has moved an object lately, its last owner is a near source that spares the link
    /// in and the parents; it may lack the object, so only what it holds is asked for, and only once.
    fn former_owner(&self, now: Ms, request: &Request, cache: MemberId) -> Option<MemberId> {
        if self.set.siblings == Siblings::None {
            return None;
        }
        let recent = self.former.iter().take_while(|(ended, _)| now - ended < FORMER_FOR);
        let owner = recent.map(|(_, ring)| ring.group(request.object, request.part)[..].first().copied());
        let owner = owner.flatten().find(|o| *o != cache)?;
        let live = |m: &Member| m.ready() && !m.health.out(now) && self.risen(m, now) >= 1.0;
        let spare = |m: &Member| m.out < self.fair(m) * OVERRUN;
        self.members.get(&owner).filter(|m| live(m) && spare(m)).map(|_| owner)
    }

    /// Latency of such a request, so many mean deviations above the usual.
    fn usual(&self, class: usize, work: f64, deviations: f64) -> Ms {
        let view = &self.classes[class];
        (view.stretch + deviations * view.spread) * (work + OVERHEAD)
    }

    fn on_reply(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        let Event::Reply { id, attempt, outcome, latency, settled, note } = event else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        let (class, work, streaming) = (usize::from(open.request.class.0), open.work, open.streaming);
        let late = now > open.aim_at || outcome != Outcome::Ok;
        let place = usize::from(attempt.0);
        let Some(tried) = open.attempts.get_mut(place).filter(|a| a.end.is_none()) else { return };
        tried.end = Some(outcome);
        let (cache, source, ask) = (tried.cache, tried.source, tried.ask);
        // Only what tells of fills and the origin: a broken connection does not, nor an error that may be the
        // request's own.
        let doubtful = outcome == Outcome::Error && note == Note::Absent;
        tried.doubtful = doubtful;
        // What one lost source fails tells nothing of the ways to the others, nor does the silence of
        // a member that fails far more than its peers: many fronts would each take it for strain of all ways.
        let apart = outcome == Outcome::Timeout && (self.apart(now, source) || self.apart(now, cache));
        let lost = note == Note::SourceLost || apart;
        // How long the origin kept it, beside the usual; it may also end as silence.
        let waited = (latency - work).max(0.0) / self.far_usual;
        let far = match note {
            Note::FilledByOrigin => {
                let usual = waited < FAR_LATE.1;
                self.far_usual *= if usual { 1.0 + (waited - 1.0) * FAR_LEARN / 4.0 } else { 1.0 };
                Some(((waited - FAR_LATE.0) / (FAR_LATE.1 - FAR_LATE.0)).clamp(0.0, 1.0))
            }
            Note::OriginFailed | Note::SourceRefused => Some(1.0),
            _ if outcome == Outcome::Timeout && !lost && self.far.strain > FAR.0 => Some(1.0),
            _ => None,
        };
        let silent =
            [Outcome::Cancelled, Outcome::Moot, Outcome::Miss, Outcome::Reset, Outcome::ConnectFailed];
        let tells = !silent.contains(&outcome) && !doubtful && !lost && far.is_none();
        let (told, free) = (tells.then_some(late), !self.near.up && !self.far.up);
        if let Some(late) = told {
            self.near.learn(f64::from(late), STRAIN_LEARN, STRAIN);
        }
        if let Some(bad) = far {
            self.far.learn(bad, FAR_LEARN, FAR);
        }
        if free && (self.near.up || self.far.up) {
            self.open_windows(now);
        }
        let fill = matches!(ask, Ask::Held | Ask::Origin);
        if ask == Ask::Origin {
            self.origin.back(far.map(|bad| bad > 0.5));
        }
        if fill {
            self.fills.back(told.filter(|_| note != Note::Hit));
        }
        let less = |m: &mut Member| m.out = (m.out - 1.0).max(0.0);
        let ended = [cache, source].into_iter().take(1 + usize::from(fill));
        ended.for_each(|id| self.members.get_mut(&id).into_iter().for_each(less));
        match outcome {
            Outcome::Ok => {
                self.ended(id, 1.0);
                let Some(open) = self.open.get(&id) else { return };
                let failed = open.attempts.iter().filter(|a| a.doubtful && a.cache != cache);
                let failed: Vec<(MemberId, MemberId)> = failed.map(|a| (a.cache, a.source)).collect();
                failed.into_iter().for_each(|(cache, source)| self.blame(now, cache, source, 1.0));
                let Some(open) = self.open.get_mut(&id) else { return };
                let latency = sane(Some(latency)).unwrap_or(0.0);
                let (view, told) = (&mut self.classes[class], work);
                // Where no size is told, the latency counts as work: too much rather than too little.
                let seen = if sane(open.request.size_kb).is_none() { latency } else { view.work };
                view.work += (seen - view.work) * LEARN;
                let stretch = latency / (told + OVERHEAD);
                let worst = if streaming { 0.0 } else { 1.0 };
                let bad = ((stretch / view.stretch - LATE.0) / (LATE.1 - LATE.0)).clamp(0.0, worst);
                let step = stretch.min(LATE.1 * view.stretch) - view.stretch;
                view.spread += (step.abs() - view.spread) * LEARN;
                view.stretch += step * LEARN;
                let unknown = if note == Note::Absent { HIT_CREDIT } else { 1.0 };
                let hit = if matches!(note, Note::Hit | Note::Stale) { 0.0 } else { unknown };
                if bad > 0.0 {
                    self.blame(now, cache, if hit > 0.0 { source } else { cache }, bad);
                }
                for (id, part) in [(cache, 1.0), (source, if source == cache { 0.0 } else { hit })] {
                    self.members.entry(id).and_modify(|m| m.health.add(now, 0.0, part * (1.0 - bad)));
                }
            }
            Outcome::Cancelled | Outcome::Moot | Outcome::Miss => {}
            _ if doubtful => {} // whose fault it was shows when the request is tried elsewhere
            _ => {
                // A note may tell whose failure it was; a full member is busy, not broken.
                let told = matches!(note, Note::SourceRefused | Note::SourceLost | Note::OriginFailed);
                let source = if note == Note::NoFillPlace { cache } else { source };
                let busy = outcome == Outcome::Full && note != Note::SourceLost;
                self.blame(now, if told { source } else { cache }, source, if busy { 0.5 } else { 1.0 });
            }
        }
        let Some(open) = self.open.get(&id) else { return };
        if settled {
            self.close(id, out);
        } else if open.done {
            self.forget(id);
        } else if open.attempts.iter().all(|a| a.end.is_some()) {
            self.advance(now, id, out);
        }
    }

    /// An attempt is overdue: that is evidence, and the moment for a second copy or for calling it off.
    fn on_timer(&mut self, now: Ms, token: Token, out: &mut Vec<Action>) {
        let (id, place) = (RequestId((token.0 >> 8) as u32), (token.0 & 255) as usize);
        let Some(open) = self.open.get(&id).filter(|o| !o.done && !o.streaming) else { return };
        let Some(tried) = open.attempts.get(place).filter(|a| a.end.is_none()) else { return };
        let (cache, source, last) = (tried.cache, tried.source, place + 1 == open.attempts.len());
        let (class, work) = (usize::from(open.request.class.0), open.work);
        if now - tried.sent < self.usual(class, work, OVERDUE) + OVERHEAD / 2.0 {
            self.blame(now, cache, source, 0.5);
        }
        let bad = |id| self.members.get(&id).is_some_and(|m: &Member| m.health.out(now));
        let may = last && self.set.classes[class].repeat == Repeat::Safe;
        if may && !(bad(cache) || bad(source)) {
            out.push(Action::SetTimer { delay: OVERHEAD, token });
        } else if may && self.set.second_copies {
            self.send(now, id, out);
        } else if may && self.set.cancel && self.retries >= 1.0 {
            out.push(Action::Cancel { id, attempt: Try(place as u8) });
        }
    }

    /// A request has been answered or not: large ones that fall short of their class are owed a place.
    fn ended(&mut self, id: RequestId, answered: f64) {
        let Some(open) = self.open.get(&id).filter(|o| !o.done) else { return };
        let view = &mut self.classes[usize::from(open.request.class.0)];
        let of = &mut view.answered[..=usize::from(open.work > view.work)];
        of.iter_mut().for_each(|share| *share += (answered - *share) * LEARN);
        let short = view.answered[1] < FAIR * view.answered[0];
        view.owed = (view.owed + if short { LEARN } else { -LEARN }).clamp(0.0, 1.0);
    }

    /// The request is over: what is still out is called off.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.done = true;
        let call_off = self.set.cancel && !open.streaming;
        let still = open.attempts.iter().enumerate().filter(|(_, a)| a.end.is_none() && call_off);
        out.extend(still.map(|(place, _)| Action::Cancel { id, attempt: Try(place as u8) }));
        self.forget(id);
    }

    /// Drops a request that is over once all its attempts have come back.
    fn forget(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.done && o.attempts.iter().all(|a| a.end.is_some())) {
            self.open.remove(&id);
        }
    }
}

/// Evidence on one member, fading with time.
#[derive(Debug, Default)]
struct Health {
    fails: f64,
    serves: f64,
    at: Ms,
    until: Ms, // ejected until then
}

impl Health {
    /// Adds evidence; the earlier one has faded.
    fn add(&mut self, now: Ms, fails: f64, serves: f64) {
        let keep = (-(now - self.at).max(0.0) / FADE).exp();
        (self.fails, self.serves, self.at) = (self.fails * keep + fails, self.serves * keep + serves, now);
    }

    fn share(&self, now: Ms) -> f64 {
        let keep = (-(now - self.at).max(0.0) / FADE).exp();
        self.fails * keep / (self.fails * keep + self.serves * keep + 1.0)
    }

    fn out(&self, now: Ms) -> bool {
        now < self.until
    }

    /// A member that was ejected not long ago has most of its evidence still: one failure more and it is out.
    fn failed(&mut self, now: Ms, amount: f64, may_eject: bool) {
        self.add(now, amount, 0.0);
        let least = if now - self.until < FADE { EJECT_FAILS / 2.0 } else { EJECT_FAILS };
        if self.fails >= least && self.share(now) > EJECT_SHARE && now >= self.until && may_eject {
            self.until = now + EJECT_FOR;
        }
    }
}
