//! How much of a budget each holder should have: weighted max-min fairness over their demands, high priority first.
//!
//! A holder that needs less than its fair part gets what it needs; the others divide the rest evenly by weight, so a holder
//! that asks for everything gets its fair part and no more. What nobody needs is spread over all, so that a sudden demand
//! finds something there. A budget with room for few units is divided in whole units, in turns.

use std::cmp::Reverse;

use crate::{Demand, PartsPerMillion};

/// Given above the demand where there is enough for all, so that a rise in demand is covered.
const HEADROOM: f64 = 1.2;
/// Differences below this are rounding errors.
const EPSILON: f64 = 1e-9;
const LEAST_WEIGHT: f64 = 1e-6;

/// One holder's claim to a part of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Its weight against the other holders.
    pub weight: f64,
    /// What it needs.
    pub demand: Demand,
    /// What it may use now.
    pub current: PartsPerMillion,
    /// It has had its unit for less than a turn, where units go round.
    pub holds_fresh_unit: bool,
    /// For how long it has had none, in microseconds.
    pub waited: u64,
}

/// The parts of `available` for each claim, in their order; their sum is never above it.
pub fn divide(available: PartsPerMillion, claims: &[Claim]) -> Vec<PartsPerMillion> {
    let unit = claims.iter().map(|c| c.demand.unit).max().unwrap_or(0).max(1);
    let has_room_for = |count: usize| u64::from(unit) * count as u64 <= u64::from(available);
    let with_demand = claims.iter().filter(|c| c.demand.is_any());
    if !has_room_for(with_demand.clone().count()) {
        return divide_in_units(available, unit, claims);
    }
    if !has_room_for(claims.len()) {
        // What those without demand would get is too little to be of use.
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
    // Less than a unit is of no use.
    let useful = |demand: f64| if demand > 0.0 { demand.max(f64::from(unit)) } else { 0.0 };
    let weights: Vec<f64> = claims.iter().map(|c| c.weight.max(LEAST_WEIGHT)).collect();
    let high: Vec<f64> = claims.iter().map(|c| useful(f64::from(c.demand.high))).collect();
    let both = |c: &&Claim| useful(f64::from(c.demand.high) + f64::from(c.demand.low));
    let all: Vec<f64> = claims.iter().map(both).collect();
    let with_headroom: Vec<f64> = all.iter().map(|demand| demand * HEADROOM).collect();
    let current: Vec<f64> = claims.iter().map(|c| f64::from(c.current)).collect();

    let mut parts = vec![0.0; claims.len()];
    let mut rest = f64::from(available);
    // After the headroom the rest stays where it is: a quota that falls loses what its bucket had saved.
    for targets in [&high, &all, &with_headroom, &current] {
        rest = fill_up(&mut parts, targets, &weights, rest);
    }
    let total_weight: f64 = weights.iter().sum();
    for (part, weight) in parts.iter_mut().zip(&weights) {
        *part += rest * weight / total_weight.max(EPSILON);
    }
    let rounded = parts.iter().map(|part| part.floor().max(0.0) as PartsPerMillion).collect();
    cut_to(available, rounded)
}

/// Raises `parts` towards `targets`, each in proportion to its weight; returns what is left of `available`.
fn fill_up(parts: &mut [f64], targets: &[f64], weights: &[f64], mut available: f64) -> f64 {
    loop {
        let open: Vec<usize> = (0..parts.len()).filter(|i| parts[*i] + EPSILON < targets[*i]).collect();
        let weight: f64 = open.iter().map(|i| weights[*i]).sum();
        if open.is_empty() || available <= EPSILON || weight <= 0.0 {
            return available;
        }
        // The level at which the first of them has its target, or nothing is left.
        let level_of = |i: usize| (targets[i] - parts[i]) / weights[i];
        let level = open.iter().map(|i| level_of(*i)).fold(available / weight, f64::min);
        for i in &open {
            parts[*i] += level * weights[*i];
        }
        available -= level * weight;
    }
}

/// The parts were rounded down; a sum above what is available could only come from rounding errors, and is cut.
fn cut_to(available: PartsPerMillion, mut parts: Vec<PartsPerMillion>) -> Vec<PartsPerMillion> {
    let sum: u64 = parts.iter().map(|part| u64::from(*part)).sum();
    let mut excess = sum.saturating_sub(u64::from(available));
    for part in parts.iter_mut().rev() {
        let cut = excess.min(u64::from(*part));
        *part -= cut as PartsPerMillion;
        excess -= cut;
    }
    parts
}

/// Whole units for as many holders as there is room for: first a unit for each that needs one, by priority and then by the
/// longest wait, then further ones for those that need several.
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
        let tenure = (Reverse(claim.holds_fresh_unit), Reverse(claim.waited), Reverse(claim.current));
        (Reverse(priority), tenure, *i)
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
