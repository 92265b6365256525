//! Checks during a run, and the report.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetId, PartsPerMillion, TOTAL};

use super::{Event, World, MAX_VIOLATIONS};
use crate::setup::Report;

impl World {
    /// Checks that the quotas which all fronts may use at this moment sum to at most the total.
    pub(super) fn check_quotas(&mut self) {
        self.last_check_at = self.now;
        self.check_machines();
        self.record_silence();
        let mut sums: BTreeMap<BudgetId, u64> = BTreeMap::new();
        for node in 0..self.nodes.len() {
            let clocks = self.clocks(node);
            let host = &mut self.nodes[node];
            if host.member.is_none() || self.now < host.stalled_until {
                continue;
            }
            for quota in host.ledger.quotas(clocks) {
                *sums.entry(quota.budget).or_default() += u64::from(quota.leased) + u64::from(quota.minimum);
            }
        }
        for (budget, sum) in sums {
            let fraction = sum as f64 / f64::from(TOTAL);
            self.report.peak_quota_sum = self.report.peak_quota_sum.max(fraction);
            if sum > u64::from(TOTAL) && self.report.violations.len() < MAX_VIOLATIONS {
                self.report
                    .violations
                    .push(format!("{} us: quotas of {budget:?} sum to {fraction:.4} of the total", self.now));
            }
        }
    }

    /// Adds a violation to the report, up to the maximum.
    pub(crate) fn record_violation(&mut self, text: String) {
        if self.report.violations.len() < MAX_VIOLATIONS {
            self.report.violations.push(text);
        }
    }

    /// Adds an event to the digest (FNV-1a).
    pub(super) fn digest(&mut self, event: &Event) {
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
        };
        add(&self.now.to_le_bytes());
        match event {
            Event::Deliver { to, bytes } => {
                add(&(*to as u64).to_le_bytes());
                add(bytes);
            }
            Event::Wake { node, .. } => add(&[1, *node as u8]),
            Event::SyncDone { node, .. } => add(&[2, *node as u8]),
            Event::Spend { node, .. } => add(&[3, *node as u8]),
            Event::SendRequest { node } => add(&[5, *node as u8]),
            Event::Report { node, .. } => add(&[4, *node as u8]),
        }
    }

    /// Digest of all events so far, equal for two runs of one seed.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The quota that a front may use at this moment: leased share and guaranteed minimum.
    pub fn quota(&mut self, node: usize, budget: BudgetId) -> (PartsPerMillion, PartsPerMillion) {
        let clocks = self.clocks(node);
        let quotas = self.nodes[node].ledger.quotas(clocks);
        quotas.into_iter().find(|q| q.budget == budget).map_or((0, 0), |q| (q.leased, q.minimum))
    }

    /// Checks the quotas and returns the report of the run so far.
    pub fn report(&mut self) -> Report {
        self.check_quotas();
        let mut report = self.report.clone();
        for excess in &self.spend_checker.excesses {
            let text = format!(
                "{} us: a window of {:?} held {:.2} above the rate, its burst is {:.2}",
                excess.at, excess.key, excess.level, excess.burst
            );
            report.violations.push(text);
        }
        for (budget, _) in &self.setup.budgets {
            report.spent.insert(*budget, self.spend_checker.total(budget));
            report.peak_window_use.insert(*budget, self.spend_checker.peak_ratio(budget));
        }
        report.requests_attempted = self.nodes.iter().map(|n| n.attempted).sum();
        report.requests_served = self.nodes.iter().map(|n| n.served).sum();
        report
    }
}
