//! The engine's side of the budgets shared by all fronts. It spends from its local quota ledger at the moment of each
//! decision, without asking any other process.

use std::collections::{BTreeMap, HashMap};

use crossbeam_channel::Sender;
use elmtide::{Listing, MemberId, Ms, RequestId, Settings};
use elmtide_budgets::ledger::{Reservation, ReservationOutcome};
use elmtide_budgets::{
    BudgetId, BudgetKind, Clocks, LeaseSettings, Micros, Priority, QuotaLedger, TotalLimit,
};
use elmtide_cells::ShopId;

use crate::exchange::AttemptKey;
use crate::fleet::spend_log::SpendLog;
use crate::fleet_link::{EngineReport, FleetUpdate, OwnSiteState, Waker};
use crate::process::clock;

/// The fleet's budget of retries.
pub const RETRIES: BudgetId = BudgetId { kind: BudgetKind::Retries, resource: 0 };
const ORIGIN: BudgetId = BudgetId { kind: BudgetKind::OriginFetches, resource: 0 };

/// Time constant of the decay of recent denials, in microseconds.
const DENIAL_DECAY: f64 = 2_000_000.0;
/// With fewer recent denials than this there is no shortage.
const MIN_DENIALS: f64 = 2.0;
/// Fraction of recent requests for units that may be denied without a shortage.
const TOLERATED_DENIALS: f64 = 0.1;
/// Fraction of the capacity of a server in slow start that the decision module uses.
const USED_CAPACITY: f64 = 0.6;
/// Smallest fraction of its capacity that a server in slow start has.
const MIN_SLOW_START_FRACTION: f64 = 0.01;
/// Work of a request of unknown size, in milliseconds at the full transfer rate.
const DEFAULT_WORK_MS: Ms = 50.0;
/// Smallest quota fraction used to compute a number of fronts; a smaller quota counts as divided among the most fronts
/// possible.
const MIN_FRACTION: f64 = 1e-12;

/// A cache node or parent in slow start.
#[derive(Clone, Copy, Debug)]
struct SlowStartServer {
    budget: BudgetId,
    /// Fraction of its kind's work that it is currently meant to get.
    work_fraction: f64,
}

/// The settings' slow start for one kind of server.
struct SlowStartRule {
    kind: BudgetKind,
    duration: Option<Ms>,
    overload_factor: Option<f64>,
    initial_fraction: Option<f64>,
}

impl SlowStartRule {
    fn of_caches(settings: &Settings) -> SlowStartRule {
        SlowStartRule {
            kind: BudgetKind::SlowStartCache,
            duration: settings.cold_duration,
            overload_factor: settings.overload_factor,
            initial_fraction: settings.cold_fraction,
        }
    }

    fn of_parents(settings: &Settings) -> SlowStartRule {
        SlowStartRule {
            kind: BudgetKind::SlowStartParent,
            duration: settings.parent_cold_duration,
            overload_factor: settings.parent_overload_factor,
            initial_fraction: settings.parent_cold_fraction,
        }
    }

    /// A server's progress in slow start, from 0 to 1; `None` if unknown.
    fn progress(&self, listing: &Listing, unix_ms: Ms) -> Option<f64> {
        let (started_at, duration) = listing.started_at.zip(self.duration)?;
        Some(((unix_ms - started_at) / duration).clamp(0.0, 1.0))
    }

    fn is_in_slow_start(&self, listing: &Listing, unix_ms: Ms) -> bool {
        let Some((started_at, span)) = listing.started_at.zip(self.duration) else { return false };
        (0.0..span).contains(&(unix_ms - started_at))
    }

    /// The current capacity of a server in slow start: the total that demands are fractions of. `None` if the
    /// settings have no overload window.
    fn limit(&self, listing: &Listing, overload_window: Option<Ms>, unix_ms: Ms) -> Option<TotalLimit> {
        let overload_window = overload_window?;
        let initial = self.initial_fraction.unwrap_or(0.0).clamp(MIN_SLOW_START_FRACTION, 1.0);
        let progress = self.progress(listing, unix_ms).unwrap_or(1.0);
        let capacity = (initial + (1.0 - initial) * progress) * USED_CAPACITY;
        let burst =
            listing.weight.max(1.0) * self.overload_factor.unwrap_or(1.0) * overload_window * capacity;
        Some(TotalLimit { rate: 0.0, burst, window: (overload_window * 1000.0) as Micros })
    }
}

/// Recently denied units and recently needed units, both decaying over time.
#[derive(Debug, Default)]
struct DenialRate {
    denied: f64,
    needed: f64,
    updated_at: Micros,
}

impl DenialRate {
    fn decay(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let factor = (-elapsed / DENIAL_DECAY).exp();
        self.denied *= factor;
        self.needed *= factor;
        self.updated_at = now;
    }

    fn note(&mut self, was_granted: bool, now: Micros) {
        self.decay(now);
        self.denied += f64::from(u8::from(!was_granted));
        self.needed += 1.0;
    }

    fn is_shortage(&mut self, now: Micros) -> bool {
        self.decay(now);
        self.denied > MIN_DENIALS && self.denied > TOLERATED_DENIALS * self.needed
    }
}

/// A change of the number of fronts among which a server's slow-start budget counts as divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartShare {
    /// The server.
    pub member: MemberId,
    /// The number of fronts; `None` for a server that is not in slow start any more.
    pub fronts: Option<f64>,
}

/// The engine's side of the fleet's budgets.
#[derive(Debug)]
pub struct BudgetClient {
    settings: LeaseSettings,
    /// The clocks, read once for each input of the engine and used for all its decisions.
    now: Clocks,
    /// The budgets to which the fleet's file gives a size.
    limits: Vec<(BudgetId, TotalLimit)>,
    /// The kinds for which the file has budgets.
    kinds: Vec<BudgetKind>,
    ledger: QuotaLedger,
    reports: Sender<EngineReport>,
    waker: Waker,
    spend_log: Option<SpendLog>,
    /// The servers in slow start that have a budget.
    slow_start: BTreeMap<MemberId, SlowStartServer>,
    /// Units reserved for attempts that may need a fill.
    reserved_fills: HashMap<AttemptKey, Vec<(BudgetId, Reservation)>>,
    /// Running requests and the shop concurrency budget that each one holds.
    running: HashMap<RequestId, BudgetId>,
    /// Whether a lease was in force when slow-start quotas were last taken over.
    had_lease: bool,
    denials: DenialRate,
}

impl BudgetClient {
    pub fn new(
        settings: LeaseSettings,
        limits: Vec<(BudgetId, TotalLimit)>,
        kinds: Vec<BudgetKind>,
        reports: Sender<EngineReport>,
        waker: Waker,
        spend_log: Option<SpendLog>,
    ) -> BudgetClient {
        let mut client = BudgetClient {
            settings,
            now: clock::both_clocks(),
            limits,
            kinds,
            ledger: QuotaLedger::new(settings),
            reports,
            waker,
            spend_log,
            slow_start: BTreeMap::new(),
            reserved_fills: HashMap::new(),
            running: HashMap::new(),
            had_lease: false,
            denials: DenialRate::default(),
        };
        client.reset();
        client
    }

    fn reset(&mut self) {
        self.ledger = QuotaLedger::new(self.settings);
        self.slow_start.clear();
        self.reserved_fills.clear();
        self.running.clear();
        for (budget, limit) in &self.limits {
            self.ledger.configure_budget(*budget, *limit, self.now);
        }
    }

    /// Sets the clocks of the next input.
    pub fn set_time(&mut self, now: Clocks) {
        self.now = now;
    }

    /// Whether the file has this budget.
    pub fn has_budget(&self, budget: BudgetId) -> bool {
        self.limits.iter().any(|(id, _)| *id == budget)
    }

    /// Applies an update from the fleet, and wakes the fleet's thread, since others may wait for the confirmation.
    pub fn apply(&mut self, update: FleetUpdate) {
        match update {
            FleetUpdate::Grant(grant) => self.ledger.apply_grant(grant, self.now),
            FleetUpdate::Minimums(minimums) => self.ledger.apply_minimums(minimums, self.now),
            FleetUpdate::Reset => self.reset(),
            FleetUpdate::Maintenance(_) | FleetUpdate::Close(_) => {}
        }
        self.waker.wake();
    }

    /// Stops spending leased quotas.
    pub fn close(&mut self) {
        self.ledger.close(self.now);
    }

    /// Wakes the fleet's thread.
    pub fn wake_fleet(&self) {
        self.waker.wake();
    }

    /// Whether more than a tenth of the recently needed retries or fills were denied.
    pub fn is_short(&mut self) -> bool {
        self.denials.is_shortage(self.now.monotonic)
    }

    fn note_request(&mut self, was_granted: bool) {
        self.denials.note(was_granted, self.now.monotonic);
    }

    /// Reports what is needed and in use; a thread that is behind hears it the next time.
    pub fn report(&mut self, maintenance: Option<elmtide_maintenance::MaintenanceReport>, caches_warm: bool) {
        let now = self.now;
        let own_site = OwnSiteState { caches_warm, overloaded: self.is_short() };
        let report = EngineReport {
            quota_epoch: self.ledger.confirmable_epoch(now),
            minimums_epoch: self.ledger.minimums_epoch(),
            demands: self.ledger.demands(now),
            lease_expiry: self.ledger.lease_expiry(now),
            quotas: self.ledger.quotas(now),
            maintenance,
            own_site,
        };
        let _ = self.reports.try_send(report);
    }

    /// Units that may be spent now.
    pub fn available(&mut self, budget: BudgetId) -> f64 {
        self.ledger.available(budget, self.now)
    }

    /// Spends a unit; false if none is available.
    pub fn try_spend(&mut self, budget: BudgetId, priority: Priority) -> bool {
        let source = self.ledger.try_acquire_combined(budget, 1.0, priority, self.now);
        if let (Some(source), Some(log)) = (source, &self.spend_log) {
            log.record(self.now.wall, budget, 1.0, source);
        }
        self.note_request(source.is_some());
        source.is_some()
    }

    /// Records that a unit was needed and none was available.
    pub fn note_unmet_demand(&mut self, budget: BudgetId, priority: Priority) {
        self.note_request(false);
        self.ledger.record_demand(budget, 1.0, priority, self.now);
    }

    /// Whether a lease has begun or expired since the last `update_slow_start`.
    pub fn lease_has_changed(&self) -> bool {
        self.had_lease != self.ledger.has_valid_lease(self.now)
    }

    /// Updates which listed servers are in slow start, and returns for each the number of fronts among which its budget
    /// counts as divided: the decision module has windows of its own. Empty if the file has no such budgets.
    pub fn update_slow_start(
        &mut self,
        listed: &[Listing],
        settings: &Settings,
        unix_ms: Ms,
    ) -> Vec<SlowStartShare> {
        self.had_lease = self.ledger.has_valid_lease(self.now);
        let in_slow_start = self.find_slow_start(listed, settings, unix_ms);
        let before = std::mem::replace(&mut self.slow_start, in_slow_start);
        let ended: Vec<(MemberId, SlowStartServer)> =
            before.into_iter().filter(|(member, _)| !self.slow_start.contains_key(member)).collect();
        for (_, server) in &ended {
            self.ledger.remove_budget(server.budget);
        }
        let mut shares = Vec::new();
        for (member, server) in &self.slow_start {
            let fraction = self.ledger.window_fraction(server.budget, self.now);
            shares.push(SlowStartShare { member: *member, fronts: Some(1.0 / fraction.max(MIN_FRACTION)) });
        }
        shares.extend(ended.into_iter().map(|(member, _)| SlowStartShare { member, fronts: None }));
        shares
    }

    /// Finds the servers in slow start and configures the budget of each.
    fn find_slow_start(
        &mut self,
        listed: &[Listing],
        settings: &Settings,
        unix_ms: Ms,
    ) -> BTreeMap<MemberId, SlowStartServer> {
        let mut servers = BTreeMap::new();
        // The total weights of caches and of parents. A server in slow start counts in proportion to its progress.
        let mut total_weights = [0.0; 2];
        for listing in listed {
            let is_parent = Some(listing.kind) == settings.parent_kind;
            let is_elsewhere = !is_parent && listing.zone != settings.zone;
            if Some(listing.kind) == settings.origin_kind || is_elsewhere {
                continue;
            }
            let rule = match is_parent {
                true => SlowStartRule::of_parents(settings),
                false => SlowStartRule::of_caches(settings),
            };
            let weight = listing.weight.max(0.0) * rule.progress(listing, unix_ms).unwrap_or(1.0);
            total_weights[usize::from(is_parent)] += weight;
            if !self.kinds.contains(&rule.kind) || !rule.is_in_slow_start(listing, unix_ms) {
                continue;
            }
            let Some(limit) = rule.limit(listing, settings.overload_window, unix_ms) else { continue };
            let budget = BudgetId { kind: rule.kind, resource: listing.member.0 };
            self.ledger.configure_budget(budget, limit, self.now);
            servers.insert(listing.member, SlowStartServer { budget, work_fraction: weight });
        }
        for server in servers.values_mut() {
            let is_parent = server.budget.kind == BudgetKind::SlowStartParent;
            server.work_fraction /= total_weights[usize::from(is_parent)].max(1e-9);
        }
        servers
    }

    /// Records that work was sent to a cache and possibly to a parent. The fraction of the work that is meant for
    /// each server in slow start counts as demand on that server's budget, even if another server got the work:
    /// otherwise work that the budget denied, and that was therefore sent to another server, would not be counted.
    pub fn note_work_sent(&mut self, with_parent: bool, work: Option<Ms>, priority: Priority) {
        let work = work.unwrap_or(DEFAULT_WORK_MS);
        for server in self.slow_start.values() {
            if with_parent || server.budget.kind == BudgetKind::SlowStartCache {
                self.ledger.record_demand(server.budget, work * server.work_fraction, priority, self.now);
            }
        }
    }

    /// Whether a fill may be requested; its units stay reserved until the end of the attempt shows whether it was used.
    pub fn try_reserve_fill(&mut self, attempt: AttemptKey, from_origin: bool, priority: Priority) -> bool {
        let link = self.limits.iter().map(|(id, _)| *id).find(|id| id.kind == BudgetKind::LinkFills);
        let origin = Some(ORIGIN).filter(|origin| from_origin && self.has_budget(*origin));
        let mut reservations = Vec::new();
        for budget in link.into_iter().chain(origin) {
            let Some(reservation) = self.ledger.reserve(budget, priority, self.now) else {
                self.note_request(false);
                for (budget, reservation) in reservations {
                    self.ledger.resolve(budget, reservation, ReservationOutcome::Unused, self.now);
                }
                return false;
            };
            reservations.push((budget, reservation));
        }
        if !reservations.is_empty() {
            self.reserved_fills.insert(attempt, reservations);
        }
        true
    }

    /// Resolves the reservations of an ended attempt, by whether it was a fill and whether the origin supplied it.
    pub fn resolve_fill(&mut self, attempt: AttemptKey, was_filled: bool, by_origin: bool) {
        let Some(reservations) = self.reserved_fills.remove(&attempt) else { return };
        for (budget, reservation) in reservations {
            let is_used = was_filled && (budget != ORIGIN || by_origin);
            let outcome = if is_used { ReservationOutcome::Used } else { ReservationOutcome::Unused };
            self.ledger.resolve(budget, reservation, outcome, self.now);
            if let (true, Some(log)) = (is_used, &self.spend_log) {
                log.record(reservation.taken_at.wall, budget, 1.0, reservation.source);
            }
        }
    }

    /// Whether a shop's request is admitted by the shop's rate and concurrency budgets.
    pub fn admit_shop_request(&mut self, id: RequestId, shop: ShopId, priority: Priority) -> bool {
        let concurrency = BudgetId { kind: BudgetKind::ShopConcurrency, resource: shop.0 };
        if self.has_budget(concurrency) {
            if !self.ledger.begin_running(concurrency, priority, self.now) {
                return false;
            }
            self.running.insert(id, concurrency);
        }
        let rate = BudgetId { kind: BudgetKind::ShopRate, resource: shop.0 };
        if self.has_budget(rate) && !self.try_spend(rate, priority) {
            self.end_request(id);
            return false;
        }
        true
    }

    /// Releases the concurrency unit of an answered request.
    pub fn end_request(&mut self, id: RequestId) {
        if let Some(budget) = self.running.remove(&id) {
            self.ledger.end_running(budget);
        }
    }
}
