//! Which quotas should change, from what the holders have reported.

use std::collections::{BTreeMap, BTreeSet};

use super::{HolderReport, LeaseAllocator, UnitTurn};
use crate::command::MAX_CHANGES;
use crate::division::{divide, Claim};
use crate::{BudgetId, BudgetState, HolderId, Micros, PartsPerMillion};

/// A quota is changed where it is too small by this fraction of itself, and by [`HYSTERESIS_PARTS`].
const HYSTERESIS_FRACTION: f64 = 0.1;
const HYSTERESIS_PARTS: PartsPerMillion = 10_000;
/// Leases after which a budget that nobody has needed is taken back.
const IDLE_LEASES: u64 = 10;
/// Leases for which a unit that goes round stays with its holder, at the least.
const UNIT_TURN_LEASES: u64 = 5;
/// And as many times the time in which its bucket fills: what has begun to fill is lost with the unit.
const UNIT_TURN_REFILLS: u64 = 10;
const EQUAL_WEIGHT: f64 = 1.0;

type QuotaChange = (HolderId, BudgetId, PartsPerMillion);

/// What all budgets are planned by in one turn.
struct Planning<'a> {
    state: &'a BudgetState,
    now: Micros,
    /// Holders that were heard lately.
    present: BTreeMap<HolderId, &'a HolderReport>,
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

    /// Whether the holder's quota may change now. One that is being reduced stays as it is until that is confirmed: each
    /// change would put the confirmation off, and what is committed for it would be available to nobody for as long.
    fn may_change(&self, holder: HolderId, budget: BudgetId) -> bool {
        self.present.contains_key(&holder) && !self.is_being_reduced(holder, budget)
    }

    /// What can be divided now: all but what is committed for holders whose quota can't change.
    fn divisible(&self, budget: BudgetId) -> PartsPerMillion {
        let fixed = self.state.holders().filter(|entry| !self.may_change(entry.id, budget));
        let quotas = fixed.filter_map(|entry| entry.state.quotas.get(&budget));
        let committed: PartsPerMillion = quotas.map(|quota| quota.committed).sum();
        self.state.available_to_quotas(budget.kind).saturating_sub(committed)
    }
}

impl LeaseAllocator {
    /// Quotas that should change. A holder that has not asked for half a lease is left alone: its lease expires, or it asks
    /// again.
    pub(super) fn plan_quotas(&mut self, state: &BudgetState, now: Micros) -> Vec<QuotaChange> {
        let reports = std::mem::take(&mut self.reports);
        let is_present = |report: &HolderReport| now.saturating_sub(report.received_at) <= state.lease() / 2;
        let present = reports.iter().filter(|(_, report)| is_present(report));
        let present = present.map(|(holder, report)| (*holder, report)).collect();
        let planning = Planning { state, now, present };
        self.note_demand(&planning);
        let budgets: BTreeSet<BudgetId> = self.last_demand.keys().copied().chain(state.budgets()).collect();
        let mut changes = Vec::new();
        for budget in budgets {
            self.plan_budget(&planning, budget, &mut changes);
        }
        self.reports = reports;
        // Reductions first, so that one command can already give away what was not committed.
        changes.sort_by_key(|(holder, budget, quota)| (*quota, *holder, *budget));
        changes.truncate(MAX_CHANGES);
        changes
    }

    /// Notes which budgets are in demand, and forgets those that have been idle for long.
    fn note_demand(&mut self, planning: &Planning) {
        for report in planning.present.values() {
            for (budget, _) in report.demands.iter().filter(|(_, demand)| demand.is_any()) {
                self.last_demand.insert(*budget, planning.now);
            }
        }
        let idle = planning.state.lease() * IDLE_LEASES;
        self.last_demand.retain(|_, last| planning.now.saturating_sub(*last) <= idle);
    }

    fn plan_budget(&mut self, planning: &Planning, budget: BudgetId, changes: &mut Vec<QuotaChange>) {
        let present = planning.present.iter().map(|(holder, report)| (*holder, *report));
        let changeable = present.filter(|(holder, _)| !planning.is_being_reduced(*holder, budget));
        // A holder that does not name a budget has no use for it: it is of a resource elsewhere.
        let (claimants, others): (Vec<_>, Vec<_>) =
            changeable.partition(|(_, report)| report.demands.contains_key(&budget));
        for (holder, _) in others {
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
            self.note_unit_turn(budget, *holder, claim.current > 0, planning.now);
        }
        if is_in_use && is_close_enough(&claims, &parts) {
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
        let in_turn_for = turn.map_or(0, |turn| planning.now.saturating_sub(turn.since));
        let refill = u64::from(demand.refill_ms) * 1000;
        let turn_length = (planning.state.lease() * UNIT_TURN_LEASES).max(refill * UNIT_TURN_REFILLS);
        Claim {
            weight: EQUAL_WEIGHT,
            demand,
            current,
            holds_fresh_unit: current > 0 && in_turn_for < turn_length,
            waited: if current > 0 { 0 } else { in_turn_for },
        }
    }

    fn note_unit_turn(&mut self, budget: BudgetId, holder: HolderId, holds_unit: bool, now: Micros) {
        let new = UnitTurn { holds_unit, since: now };
        let turn = self.unit_turns.entry((budget, holder.front)).or_insert(new);
        if turn.holds_unit != holds_unit {
            *turn = new;
        }
    }
}

/// Whether the quotas are near enough to what they should be: nobody is short of what it needs and could have. What nobody
/// needs may stay where it is.
fn is_close_enough(claims: &[Claim], parts: &[PartsPerMillion]) -> bool {
    claims.iter().zip(parts).all(|(claim, part)| {
        let current = f64::from(claim.current);
        let tolerance = f64::from(claim.demand.unit.min(HYSTERESIS_PARTS));
        let enough = current + (HYSTERESIS_FRACTION * current).max(tolerance);
        let is_starved = claim.current == 0 && claim.demand.total() > 0 && *part > 0;
        let is_short = claim.demand.total() > u64::from(claim.current) && f64::from(*part) > enough;
        !(is_starved || is_short)
    })
}

/// Whether a quota would fall by too little to be worth it: with each reduction a bucket loses some of what it had saved.
fn is_slight_reduction(claim: &Claim, part: PartsPerMillion) -> bool {
    let slight = (HYSTERESIS_FRACTION * f64::from(claim.current)).max(f64::from(HYSTERESIS_PARTS));
    part > 0 && claim.current > part && f64::from(claim.current - part) < slight
}
