//! Plans quota changes from the demands that the holders have reported.

use std::collections::{BTreeMap, BTreeSet};

use super::{HolderReport, LeaseAllocator, UnitTurn};
use crate::command::MAX_CHANGES;
use crate::division::{divide, Claim};
use crate::{BudgetId, BudgetState, HolderId, Micros, PartsPerMillion};

/// Tolerated difference between a quota and its planned value, as a fraction of the quota. The tolerance is at least
/// [`HYSTERESIS_PPM`], or for a rise one unit if that is less.
const HYSTERESIS_FRACTION: f64 = 0.1;
const HYSTERESIS_PPM: PartsPerMillion = 10_000;
/// After this many lease lengths without demand, the quotas of a budget are reclaimed.
const RECLAIM_AFTER_IDLE_LEASES: u64 = 10;
/// Minimum turn of a rotating unit with one holder, in lease lengths.
const MIN_UNIT_TURN_LEASES: u64 = 5;
/// Minimum turn in refill times of the bucket: the holder loses a partly filled bucket with its unit.
const MIN_UNIT_TURN_REFILLS: u64 = 10;
const EQUAL_WEIGHT: f64 = 1.0;

type QuotaChange = (HolderId, BudgetId, PartsPerMillion);

/// The inputs of one planning round, shared by all budgets.
struct Planning<'a> {
    state: &'a BudgetState,
    now: Micros,
    /// Holders that sent a request recently.
    responsive: BTreeMap<HolderId, &'a HolderReport>,
}

impl Planning<'_> {
    fn granted(&self, holder: HolderId, budget: BudgetId) -> PartsPerMillion {
        let quota = self.state.current_holder(holder).and_then(|state| state.quotas.get(&budget));
        quota.map_or(0, |quota| quota.granted())
    }

    fn is_being_reduced(&self, holder: HolderId, budget: BudgetId) -> bool {
        let quota = self.state.current_holder(holder).and_then(|state| state.quotas.get(&budget));
        quota.is_some_and(|quota| quota.is_being_reduced())
    }

    /// Whether the holder's quota may change now. A quota that is being reduced stays unchanged until the reduction is
    /// confirmed: each change would delay the confirmation, and what is committed for it would stay unavailable to all.
    fn may_change(&self, holder: HolderId, budget: BudgetId) -> bool {
        self.responsive.contains_key(&holder) && !self.is_being_reduced(holder, budget)
    }

    /// What can be divided now: all except what is committed for holders whose quota may not change.
    fn divisible(&self, budget: BudgetId) -> PartsPerMillion {
        let fixed = self.state.holders().filter(|entry| !self.may_change(entry.id, budget));
        let quotas = fixed.filter_map(|entry| entry.state.quotas.get(&budget));
        let committed: PartsPerMillion = quotas.map(|quota| quota.committed).sum();
        self.state.available_to_quotas(budget.kind).saturating_sub(committed)
    }
}

impl LeaseAllocator {
    /// Returns the quotas to change. Holders that have sent no request for half a lease are skipped: either their lease
    /// expires or they send another request.
    pub(super) fn plan_quotas(&mut self, state: &BudgetState, now: Micros) -> Vec<QuotaChange> {
        let reports = std::mem::take(&mut self.reports);
        let is_responsive =
            |report: &HolderReport| now.saturating_sub(report.received_at) <= state.lease() / 2;
        let responsive = reports.iter().filter(|(_, report)| is_responsive(report));
        let responsive = responsive.map(|(holder, report)| (*holder, report)).collect();
        let planning = Planning { state, now, responsive };
        self.record_demand(&planning);
        let budgets: BTreeSet<BudgetId> = self.last_demand.keys().copied().chain(state.budgets()).collect();
        let mut changes = Vec::new();
        for budget in budgets {
            self.plan_budget(&planning, budget, &mut changes);
        }
        self.reports = reports;
        // Reductions first, so that the same command can already allocate what was not committed.
        changes.sort_by_key(|(holder, budget, quota)| (*quota, *holder, *budget));
        changes.truncate(MAX_CHANGES);
        changes
    }

    /// Records which budgets have demand, and removes those that have been idle for [`RECLAIM_AFTER_IDLE_LEASES`].
    fn record_demand(&mut self, planning: &Planning) {
        for report in planning.responsive.values() {
            for (budget, _) in report.demands.iter().filter(|(_, demand)| demand.is_any()) {
                self.last_demand.insert(*budget, planning.now);
            }
        }
        let idle = planning.state.lease() * RECLAIM_AFTER_IDLE_LEASES;
        self.last_demand.retain(|_, last| planning.now.saturating_sub(*last) <= idle);
    }

    fn plan_budget(&mut self, planning: &Planning, budget: BudgetId, changes: &mut Vec<QuotaChange>) {
        let responsive = planning.responsive.iter().map(|(holder, report)| (*holder, *report));
        let changeable = responsive.filter(|(holder, _)| !planning.is_being_reduced(*holder, budget));
        // A holder that does not list a budget has no use for it: its resource is used elsewhere.
        let (claimants, holders_without_demand): (Vec<_>, Vec<_>) =
            changeable.partition(|(_, report)| report.demands.contains_key(&budget));
        for (holder, _) in holders_without_demand {
            if planning.granted(holder, budget) > 0 {
                changes.push((holder, budget, 0));
            }
        }
        let claims: Vec<Claim> =
            claimants.iter().map(|(holder, report)| self.claim(planning, budget, *holder, report)).collect();
        let is_in_use = self.last_demand.contains_key(&budget);
        let parts =
            if is_in_use { divide(planning.divisible(budget), &claims) } else { vec![0; claims.len()] };
        for ((holder, _), claim) in claimants.iter().zip(&claims).filter(|(_, c)| c.demand.unit > 1) {
            self.record_unit_turn(budget, *holder, claim.current > 0, planning.now);
        }
        if is_in_use && is_within_tolerance(&claims, &parts) {
            return;
        }
        let has_room = planning.state.unallocated(budget) > 0;
        for (((holder, _), claim), part) in claimants.iter().zip(&claims).zip(parts) {
            let may_rise = has_room || part < claim.current;
            if may_rise && part != claim.current && !is_slight_reduction(claim, part) {
                changes.push((*holder, budget, part));
            }
        }
    }

    fn claim(&self, planning: &Planning, budget: BudgetId, holder: HolderId, report: &HolderReport) -> Claim {
        let account = planning.state.account(holder.front);
        let minimum = account.and_then(|account| account.minimums.get(&budget.kind));
        let demand = report.demands.get(&budget).copied().unwrap_or_default();
        let demand = demand.above_minimum(minimum.map_or(0, |minimum| minimum.granted()));
        let current = planning.granted(holder, budget);
        let turn = self.unit_turns.get(&(budget, holder.front));
        let turn = turn.filter(|turn| turn.holds_unit == (current > 0));
        let time_in_turn = turn.map_or(0, |turn| planning.now.saturating_sub(turn.since));
        let refill = u64::from(demand.refill_ms) * 1000;
        let turn_length = (planning.state.lease() * MIN_UNIT_TURN_LEASES).max(refill * MIN_UNIT_TURN_REFILLS);
        Claim {
            weight: EQUAL_WEIGHT,
            demand,
            current,
            has_unexpired_turn: current > 0 && time_in_turn < turn_length,
            waited_us: if current > 0 { 0 } else { time_in_turn },
        }
    }

    fn record_unit_turn(&mut self, budget: BudgetId, holder: HolderId, holds_unit: bool, now: Micros) {
        let new_turn = UnitTurn { holds_unit, since: now };
        let turn = self.unit_turns.entry((budget, holder.front)).or_insert(new_turn);
        if turn.holds_unit != holds_unit {
            *turn = new_turn;
        }
    }
}

/// Whether the quotas are close enough to the division: no holder lacks quota that it needs and the division would give
/// it. Unneeded quota may stay where it is.
fn is_within_tolerance(claims: &[Claim], parts: &[PartsPerMillion]) -> bool {
    claims.iter().zip(parts).all(|(claim, part)| {
        let current = f64::from(claim.current);
        let tolerance = f64::from(claim.demand.unit.min(HYSTERESIS_PPM));
        let with_tolerance = current + (HYSTERESIS_FRACTION * current).max(tolerance);
        let is_starved = claim.current == 0 && claim.demand.total() > 0 && *part > 0;
        let is_short = claim.demand.total() > u64::from(claim.current) && f64::from(*part) > with_tolerance;
        !(is_starved || is_short)
    })
}

/// Whether a reduction is too small to be worth it: each reduction costs the bucket some of its accumulated tokens.
fn is_slight_reduction(claim: &Claim, part: PartsPerMillion) -> bool {
    let threshold = (HYSTERESIS_FRACTION * f64::from(claim.current)).max(f64::from(HYSTERESIS_PPM));
    part > 0 && claim.current > part && f64::from(claim.current - part) < threshold
}
