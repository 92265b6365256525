//! Divides a budget among its holders by weighted max-min fairness over their demands, high priority first.
//!
//! A holder that needs less than its fair share gets what it needs; the others divide the rest in proportion to their
//! weights, so a holder that requests everything gets its fair share and no more. What nobody needs is spread over all
//! holders, so that each has some quota for a sudden demand. A budget with too few units for all holders is divided in
//! whole units, which rotate among them.

use std::cmp::Reverse;

use crate::{Demand, PartsPerMillion};

/// Factor by which quotas exceed demand where there is enough for all, to cover a rise in demand.
const HEADROOM: f64 = 1.2;
/// Differences below this are treated as rounding errors.
const EPSILON: f64 = 1e-9;
const MIN_WEIGHT: f64 = 1e-6;

/// One holder's claim to a share of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Weight of the holder relative to the others.
    pub weight: f64,
    /// What the holder needs.
    pub demand: Demand,
    /// What the holder may use now.
    pub current: PartsPerMillion,
    /// Where units rotate: the holder has a unit, and its turn is not over.
    pub has_unexpired_turn: bool,
    /// Where units rotate: how long the holder has been without a unit, in microseconds.
    pub waited_us: u64,
}

/// Returns a part of `available` for each claim, in order; the sum of the parts does not exceed `available`.
pub fn divide(available: PartsPerMillion, claims: &[Claim]) -> Vec<PartsPerMillion> {
    let unit = claims.iter().map(|c| c.demand.unit).max().unwrap_or(0).max(1);
    let has_room_for = |count: usize| u64::from(unit) * count as u64 <= u64::from(available);
    let with_demand = claims.iter().filter(|c| c.demand.is_any());
    if !has_room_for(with_demand.clone().count()) {
        return divide_in_units(available, unit, claims);
    }
    if !has_room_for(claims.len()) {
        // The parts for claims without demand would be smaller than a useful unit.
        let mut parts = divide_by_weight(available, unit, with_demand).into_iter();
        let part = |claim: &Claim| if claim.demand.is_any() { parts.next().unwrap_or(0) } else { 0 };
        return claims.iter().map(part).collect();
    }
    divide_by_weight(available, unit, claims.iter())
}

fn divide_by_weight<'a>(
    available: PartsPerMillion,
    unit: PartsPerMillion,
    claims: impl Iterator<Item = &'a Claim>,
) -> Vec<PartsPerMillion> {
    let claims: Vec<&Claim> = claims.collect();
    // A part smaller than one unit is useless.
    let at_least_one_unit = |demand: f64| if demand > 0.0 { demand.max(f64::from(unit)) } else { 0.0 };
    let weights: Vec<f64> = claims.iter().map(|c| c.weight.max(MIN_WEIGHT)).collect();
    let high: Vec<f64> = claims.iter().map(|c| at_least_one_unit(f64::from(c.demand.high))).collect();
    let full_demand = |c: &&Claim| at_least_one_unit(f64::from(c.demand.high) + f64::from(c.demand.low));
    let full_demands: Vec<f64> = claims.iter().map(full_demand).collect();
    let with_headroom: Vec<f64> = full_demands.iter().map(|demand| demand * HEADROOM).collect();
    let current: Vec<f64> = claims.iter().map(|c| f64::from(c.current)).collect();

    let mut parts = vec![0.0; claims.len()];
    let mut rest = f64::from(available);
    // After the headroom, the rest goes to the current quotas: a reduced quota loses tokens that its bucket has
    // accumulated.
    for targets in [&high, &full_demands, &with_headroom, &current] {
        rest = fill_up(&mut parts, targets, &weights, rest);
    }
    let total_weight: f64 = weights.iter().sum();
    for (part, weight) in parts.iter_mut().zip(&weights) {
        *part += rest * weight / total_weight.max(EPSILON);
    }
    let rounded = parts.iter().map(|part| part.floor().max(0.0) as PartsPerMillion).collect();
    trim_to_available(available, rounded)
}

/// Progressive filling: raises `parts` towards `targets` in proportion to the weights; returns what is left of
/// `available`.
fn fill_up(parts: &mut [f64], targets: &[f64], weights: &[f64], mut available: f64) -> f64 {
    loop {
        let unmet: Vec<usize> = (0..parts.len()).filter(|i| parts[*i] + EPSILON < targets[*i]).collect();
        let weight: f64 = unmet.iter().map(|i| weights[*i]).sum();
        if unmet.is_empty() || available <= EPSILON || weight <= 0.0 {
            return available;
        }
        // The level at which the first part reaches its target, or at which nothing is left.
        let level_of = |i: usize| (targets[i] - parts[i]) / weights[i];
        let level = unmet.iter().map(|i| level_of(*i)).fold(available / weight, f64::min);
        for i in &unmet {
            parts[*i] += level * weights[*i];
        }
        available -= level * weight;
    }
}

/// Cuts the sum of the parts to `available`. The parts were rounded down, so only rounding errors can make the sum
/// larger.
fn trim_to_available(available: PartsPerMillion, mut parts: Vec<PartsPerMillion>) -> Vec<PartsPerMillion> {
    let sum: u64 = parts.iter().map(|part| u64::from(*part)).sum();
    let mut excess = sum.saturating_sub(u64::from(available));
    for part in parts.iter_mut().rev() {
        let cut = excess.min(u64::from(*part));
        *part -= cut as PartsPerMillion;
        excess -= cut;
    }
    parts
}

/// Gives whole units to as many holders as there is room for: first one unit to each holder with demand, in order of
/// priority and then of the longest wait, then further units to those that need several.
fn divide_in_units(
    available: PartsPerMillion,
    unit: PartsPerMillion,
    claims: &[Claim],
) -> Vec<PartsPerMillion> {
    let mut units = available / unit;
    let mut parts = vec![0; claims.len()];
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|i| {
        let claim = &claims[*i];
        let priority = (claim.demand.high > 0, claim.demand.low > 0);
        let turn_order =
            (Reverse(claim.has_unexpired_turn), Reverse(claim.waited_us), Reverse(claim.current));
        (Reverse(priority), turn_order, *i)
    });
    for round in 0.. {
        let needs_more = |i: &&usize| claims[**i].demand.total() > round * u64::from(unit);
        let before = units;
        for i in order.iter().filter(needs_more).take(units as usize) {
            parts[*i] += unit;
            units -= 1;
        }
        if units == 0 || units == before {
            break;
        }
    }
    parts
}
