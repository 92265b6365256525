//! What is checked while the world runs, and the report of it.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetId, PartsPerMillion, TOTAL};

use super::{Event, World, MAX_BREACHES};
use crate::setup::Report;

impl World {
    /// Sums the parts in force at this moment over all fronts, as each would spend by now.
    pub(super) fn check_quotas(&mut self) {
        self.checked_at = self.now;
        self.check_machines();
        self.record_silence();
        let mut sums: BTreeMap<BudgetId, u64> = BTreeMap::new();
        for node in 0..self.nodes.len() {
            let clocks = self.clocks(node);
            let place = &mut self.nodes[node];
            if place.member.is_none() || self.now < place.stalled_until {
                continue;
            }
            for quota in place.ledger.quotas(clocks) {
                *sums.entry(quota.budget).or_default() += u64::from(quota.leased) + u64::from(quota.minimum);
            }
        }
        for (key, sum) in sums {
            let of = sum as f64 / f64::from(TOTAL);
            self.report.largest = self.report.largest.max(of);
            if sum > u64::from(TOTAL) && self.report.over.len() < MAX_BREACHES {
                self.report.over.push(format!("{} us: parts of {key:?} sum to {of:.4}", self.now));
            }
        }
    }

    /// Something that must not be, told with the report.
    pub(crate) fn breach(&mut self, text: String) {
        if self.report.over.len() < MAX_BREACHES {
            self.report.over.push(text);
        }
    }

    pub(super) fn digest(&mut self, event: &Event) {
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
        };
        add(&self.now.to_le_bytes());
        match event {
            Event::Arrive { to, bytes } => {
                add(&(*to as u64).to_le_bytes());
                add(bytes);
            }
            Event::Wake { node, .. } => add(&[1, *node as u8]),
            Event::Synced { node, .. } => add(&[2, *node as u8]),
            Event::Spend { node, .. } => add(&[3, *node as u8]),
            Event::Send { node } => add(&[5, *node as u8]),
            Event::Report { node, .. } => add(&[4, *node as u8]),
        }
    }

    /// The same for two runs of one seed.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The part that a front may spend by now: share and floor.
    pub fn part(&mut self, node: usize, key: BudgetId) -> (PartsPerMillion, PartsPerMillion) {
        let clocks = self.clocks(node);
        let shown = self.nodes[node].ledger.quotas(clocks);
        shown.into_iter().find(|q| q.budget == key).map_or((0, 0), |q| (q.leased, q.minimum))
    }

    pub fn report(&mut self) -> Report {
        self.check_quotas();
        let mut report = self.report.clone();
        for over in &self.spends.over {
            let text = format!(
                "{} us: a window of {:?} held {:.2} above the rate, {:.2} may",
                over.at, over.key, over.level, over.burst
            );
            report.over.push(text);
        }
        for (key, _) in &self.setup.budgets {
            report.spent.insert(*key, self.spends.sum(key));
            report.closest.insert(*key, self.spends.closest(key));
        }
        report.tried = self.nodes.iter().map(|n| n.tried).sum();
        report.served = self.nodes.iter().map(|n| n.served).sum();
        report
    }
}
