//! The replicated allocations of all budgets. Only commands of the log change them, with the same result at every
//! replica.
//!
//! For each budget, `reserved for minimums + committed quotas <= TOTAL`, and the committed minimums do not exceed what
//! is reserved. Every command preserves this or does nothing; none depends on a clock.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::command::{MAX_BUDGETS, MAX_CHANGES, MAX_FRONTS, MAX_INCARNATIONS};
use crate::{
    BudgetCommand, BudgetId, BudgetKind, CommandRejected, ConfirmedReduction, Epoch, FrontId, HolderId,
    Incarnation, Micros, MinimumRule, PartsPerMillion, TOTAL,
};

/// A quota or minimum: what its holder may still be using, and what it should use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// What the holder may still be using; not available to others.
    pub committed: PartsPerMillion,
    /// What the holder should have.
    pub target: PartsPerMillion,
    /// Epoch of the last change of [`Allocation::granted`].
    pub epoch: Epoch,
}

impl Allocation {
    /// What the holder is told that it may use.
    pub fn granted(&self) -> PartsPerMillion {
        self.target.min(self.committed)
    }

    /// Whether the holder may still be using more than it is granted.
    pub fn is_being_reduced(&self) -> bool {
        self.committed > self.granted()
    }
}

/// The quotas of one incarnation of a front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderState {
    /// Quotas by budget.
    pub quotas: BTreeMap<BudgetId, Allocation>,
    /// Epoch of the holder's join, or of the last change or expiry of its granted quotas.
    pub epoch: Epoch,
}

impl HolderState {
    fn revoke_all(&mut self, epoch: Epoch) {
        for quota in self.quotas.values_mut() {
            quota.target = 0;
            quota.epoch = epoch;
            self.epoch = epoch;
        }
    }
}

/// Everything that the state has of one front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontAccount {
    /// The front is in the list in force.
    pub is_listed: bool,
    /// The latest incarnation that has joined; lower ones can no longer join.
    pub latest_incarnation: Incarnation,
    /// The latest incarnation has joined and has not left.
    pub is_active: bool,
    /// Its guaranteed minimums by kind of budget.
    pub minimums: BTreeMap<BudgetKind, Allocation>,
    /// Epoch of the last change of its granted minimums.
    pub minimums_epoch: Epoch,
    /// Its incarnations that may still be spending.
    pub holders: BTreeMap<Incarnation, HolderState>,
}

impl FrontAccount {
    fn is_current(&self, incarnation: Incarnation) -> bool {
        self.is_active && self.latest_incarnation == incarnation
    }

    /// Sets the target of a minimum; its epoch changes only if the granted amount changes.
    fn set_minimum_target(&mut self, kind: BudgetKind, target: PartsPerMillion, epoch: Epoch) {
        if target == 0 && !self.minimums.contains_key(&kind) {
            return;
        }
        let minimum = self.minimums.entry(kind).or_default();
        let granted_before = minimum.granted();
        minimum.target = target;
        if minimum.granted() != granted_before {
            minimum.epoch = epoch;
            self.minimums_epoch = epoch;
        }
    }
}

/// A holder with its quotas.
#[derive(Clone, Copy, Debug)]
pub struct HolderEntry<'a> {
    /// The holder.
    pub id: HolderId,
    /// Its quotas.
    pub state: &'a HolderState,
    /// Whether it is the latest incarnation of its front.
    pub is_current: bool,
}

/// The replicated state of all budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetState {
    front_list_version: u64,
    minimum_rules: BTreeMap<BudgetKind, MinimumRule>,
    /// Reserved for minimums and unavailable to quotas, by kind.
    reserved: BTreeMap<BudgetKind, PartsPerMillion>,
    accounts: BTreeMap<FrontId, FrontAccount>,
    /// Sum of the committed quotas of each budget.
    committed_quotas: BTreeMap<BudgetId, PartsPerMillion>,
    epoch: Epoch,
    /// Length of leases granted now.
    lease: Micros,
    /// The longest lease length so far: a lease of that length may still be in force.
    longest_lease: Micros,
}

impl BudgetState {
    /// Version of the list of fronts in force; 0 before the first.
    pub fn front_list_version(&self) -> u64 {
        self.front_list_version
    }

    /// Length of leases granted now.
    pub fn lease(&self) -> Micros {
        self.lease
    }

    /// Length of the longest lease that may still be in force.
    pub fn longest_lease(&self) -> Micros {
        self.longest_lease
    }

    /// The accounts of all fronts.
    pub fn accounts(&self) -> &BTreeMap<FrontId, FrontAccount> {
        &self.accounts
    }

    /// The account of a front, if there is one.
    pub fn account(&self, front: FrontId) -> Option<&FrontAccount> {
        self.accounts.get(&front)
    }

    /// The state of a holder that has joined and is the latest incarnation of its front.
    pub fn current_holder(&self, holder: HolderId) -> Option<&HolderState> {
        let account = self.accounts.get(&holder.front)?;
        account.is_current(holder.incarnation).then_some(())?;
        account.holders.get(&holder.incarnation)
    }

    /// All holders that have joined and may still be spending.
    pub fn holders(&self) -> impl Iterator<Item = HolderEntry<'_>> {
        self.accounts.iter().flat_map(|(front, account)| {
            account.holders.iter().map(|(incarnation, state)| HolderEntry {
                id: HolderId { front: *front, incarnation: *incarnation },
                state,
                is_current: account.is_current(*incarnation),
            })
        })
    }

    /// The budgets that have quotas.
    pub fn budgets(&self) -> impl Iterator<Item = BudgetId> + '_ {
        self.committed_quotas.keys().copied()
    }

    /// What the quotas of a budget of this kind may sum to.
    pub fn available_to_quotas(&self, kind: BudgetKind) -> PartsPerMillion {
        TOTAL - self.reserved.get(&kind).copied().unwrap_or(0)
    }

    /// What is left of the budget for further quotas.
    pub fn unallocated(&self, budget: BudgetId) -> PartsPerMillion {
        let committed = self.committed_quotas.get(&budget).copied().unwrap_or(0);
        self.available_to_quotas(budget.kind) - committed
    }

    fn next_epoch(&mut self) -> Epoch {
        self.epoch.0 += 1;
        self.epoch
    }

    /// Applies a command of the log.
    ///
    /// # Errors
    /// The reason why the command was rejected and changed nothing.
    pub fn apply(&mut self, command: &BudgetCommand) -> Result<(), CommandRejected> {
        let applied = match command {
            BudgetCommand::UpdateFronts { version, fronts, minimums, lease } => {
                self.update_fronts(*version, fronts, minimums, *lease)
            }
            BudgetCommand::Join { holder } => self.join(*holder),
            BudgetCommand::Leave { holder } => self.leave(*holder),
            BudgetCommand::Allocate { changes } => self.allocate(changes),
            BudgetCommand::ConfirmReductions { reductions } => self.confirm_reductions(reductions),
            BudgetCommand::ExpireLease { holder, epoch } => self.expire_lease(*holder, *epoch),
            BudgetCommand::RemoveFront { front } => self.remove_front(*front),
        };
        if applied.is_ok() {
            self.adjust_minimums();
        }
        debug_assert_eq!(self.check_invariant(), Ok(()));
        applied
    }

    fn update_fronts(
        &mut self,
        version: u64,
        fronts: &[FrontId],
        minimums: &[(BudgetKind, MinimumRule)],
        lease: Micros,
    ) -> Result<(), CommandRejected> {
        if version <= self.front_list_version {
            return Err(CommandRejected::StaleFrontList);
        }
        let listed: BTreeSet<FrontId> = fronts.iter().copied().collect();
        let unlisted = self.accounts.keys().filter(|f| !listed.contains(f)).count();
        if listed.len() + unlisted > MAX_FRONTS {
            return Err(CommandRejected::LimitExceeded);
        }
        if minimums.iter().any(|(_, rule)| rule.set_aside > TOTAL) {
            return Err(CommandRejected::ExceedsTotal);
        }
        self.front_list_version = version;
        self.lease = lease;
        self.longest_lease = self.longest_lease.max(lease);
        self.minimum_rules = minimums.iter().copied().collect();
        for front in &listed {
            self.accounts.entry(*front).or_default();
        }
        self.apply_front_list(&listed);
        Ok(())
    }

    /// Sets the targets of the minimums according to the list, and revokes the quotas of fronts that are not in it.
    fn apply_front_list(&mut self, listed: &BTreeSet<FrontId>) {
        let rules = self.minimum_rules.iter();
        let targets: BTreeMap<BudgetKind, BTreeMap<FrontId, PartsPerMillion>> =
            rules.map(|(kind, rule)| (*kind, divide_minimum(*kind, rule, listed))).collect();
        let epoch = self.next_epoch();
        for (front, account) in &mut self.accounts {
            account.is_listed = listed.contains(front);
            for kind in BudgetKind::ALL {
                let target = targets.get(&kind).and_then(|by_front| by_front.get(front)).copied();
                account.set_minimum_target(kind, target.unwrap_or(0), epoch);
            }
            if !account.is_listed {
                account.holders.values_mut().for_each(|holder| holder.revoke_all(epoch));
            }
        }
    }

    fn join(&mut self, holder: HolderId) -> Result<(), CommandRejected> {
        let epoch = self.next_epoch();
        let account = self.accounts.get_mut(&holder.front).filter(|account| account.is_listed);
        let account = account.ok_or(CommandRejected::UnknownFront)?;
        if holder.incarnation <= account.latest_incarnation {
            return Err(CommandRejected::Superseded);
        }
        if account.holders.len() >= MAX_INCARNATIONS {
            return Err(CommandRejected::LimitExceeded);
        }
        account.holders.values_mut().for_each(|earlier| earlier.revoke_all(epoch));
        account.latest_incarnation = holder.incarnation;
        account.is_active = true;
        account.holders.insert(holder.incarnation, HolderState { quotas: BTreeMap::new(), epoch });
        Ok(())
    }

    fn leave(&mut self, holder: HolderId) -> Result<(), CommandRejected> {
        let account = self.accounts.get_mut(&holder.front).ok_or(CommandRejected::UnknownFront)?;
        let state = account.holders.remove(&holder.incarnation).ok_or(CommandRejected::Superseded)?;
        account.is_active &= account.latest_incarnation != holder.incarnation;
        self.release_all(state.quotas);
        Ok(())
    }

    fn allocate(&mut self, changes: &[(HolderId, BudgetId, PartsPerMillion)]) -> Result<(), CommandRejected> {
        if changes.len() > MAX_CHANGES {
            return Err(CommandRejected::LimitExceeded);
        }
        for (holder, budget, target) in changes {
            self.allocate_one(*holder, *budget, *target);
        }
        Ok(())
    }

    /// Sets one quota if its holder is current. The quota is raised only as far as the budget has unallocated room.
    fn allocate_one(&mut self, holder: HolderId, budget: BudgetId, target: PartsPerMillion) {
        let epoch = Epoch(self.epoch.0 + 1);
        let unallocated = self.unallocated(budget);
        let is_known = self.committed_quotas.contains_key(&budget);
        let has_room = is_known || self.committed_quotas.len() < MAX_BUDGETS;
        let account = self.accounts.get_mut(&holder.front);
        let Some(account) = account.filter(|a| a.is_current(holder.incarnation)) else { return };
        if target > 0 && !account.is_listed {
            return;
        }
        let Some(state) = account.holders.get_mut(&holder.incarnation) else { return };
        let before = state.quotas.get(&budget).copied().unwrap_or_default();
        let rise = target.saturating_sub(before.committed).min(unallocated);
        let committed = before.committed + rise;
        let after = Allocation { committed, target: target.min(committed), epoch };
        if after.granted() == before.granted() || !has_room {
            return;
        }
        self.epoch = epoch;
        state.epoch = epoch;
        state.quotas.insert(budget, after);
        *self.committed_quotas.entry(budget).or_insert(0) += rise;
    }

    fn confirm_reductions(&mut self, reductions: &[ConfirmedReduction]) -> Result<(), CommandRejected> {
        if reductions.len() > MAX_CHANGES {
            return Err(CommandRejected::LimitExceeded);
        }
        for reduction in reductions {
            match reduction {
                ConfirmedReduction::Quota { holder, budget, epoch } => {
                    self.confirm_quota(*holder, *budget, *epoch);
                }
                ConfirmedReduction::Minimum { front, kind, epoch } => {
                    self.confirm_minimum(*front, *kind, *epoch);
                }
            }
        }
        Ok(())
    }

    fn confirm_quota(&mut self, holder: HolderId, budget: BudgetId, epoch: Epoch) {
        let account = self.accounts.get_mut(&holder.front);
        let Some(state) = account.and_then(|a| a.holders.get_mut(&holder.incarnation)) else { return };
        let Some(quota) = state.quotas.get_mut(&budget).filter(|q| q.epoch == epoch) else { return };
        let freed = quota.committed - quota.granted();
        quota.committed = quota.granted();
        if quota.committed == 0 {
            state.quotas.remove(&budget);
        }
        self.release(budget, freed);
    }

    fn confirm_minimum(&mut self, front: FrontId, kind: BudgetKind, epoch: Epoch) {
        let Some(account) = self.accounts.get_mut(&front) else { return };
        let minimum = account.minimums.get_mut(&kind).filter(|m| m.epoch == epoch);
        let Some(minimum) = minimum else { return };
        minimum.committed = minimum.granted();
        if minimum.committed == 0 && minimum.target == 0 {
            account.minimums.remove(&kind);
        }
    }

    fn expire_lease(&mut self, holder: HolderId, epoch: Epoch) -> Result<(), CommandRejected> {
        let next = Epoch(self.epoch.0 + 1);
        let account = self.accounts.get_mut(&holder.front).ok_or(CommandRejected::UnknownFront)?;
        let is_current = account.is_current(holder.incarnation);
        let state = account.holders.get_mut(&holder.incarnation).ok_or(CommandRejected::Superseded)?;
        if state.epoch != epoch {
            return Err(CommandRejected::StaleEpoch);
        }
        let quotas = std::mem::take(&mut state.quotas);
        // With a new epoch, responses sent before the expiry are older than any later grant.
        state.epoch = next;
        if !is_current {
            account.holders.remove(&holder.incarnation);
        }
        self.epoch = next;
        self.release_all(quotas);
        Ok(())
    }

    fn remove_front(&mut self, front: FrontId) -> Result<(), CommandRejected> {
        let account = self.accounts.get(&front).ok_or(CommandRejected::UnknownFront)?;
        if account.is_listed {
            return Err(CommandRejected::FrontStillListed);
        }
        if let Some(account) = self.accounts.remove(&front) {
            account.holders.into_values().for_each(|holder| self.release_all(holder.quotas));
        }
        Ok(())
    }

    fn release_all(&mut self, quotas: BTreeMap<BudgetId, Allocation>) {
        for (budget, quota) in quotas {
            self.release(budget, quota.committed);
        }
    }

    fn release(&mut self, budget: BudgetId, parts: PartsPerMillion) {
        if let Some(committed) = self.committed_quotas.get_mut(&budget) {
            *committed -= parts.min(*committed);
        }
        let has_quota = |a: &FrontAccount| a.holders.values().any(|h| h.quotas.contains_key(&budget));
        let is_unused = self.committed_quotas.get(&budget) == Some(&0);
        if is_unused && !self.accounts.values().any(has_quota) {
            self.committed_quotas.remove(&budget);
        }
    }

    /// Moves the reserve and the minimums as close to the list's rules as the committed quotas and minimums allow.
    fn adjust_minimums(&mut self) {
        for kind in BudgetKind::ALL {
            let reserved = self.reserve_minimums(kind);
            let available = reserved - self.committed_minimums(kind);
            if available > 0 {
                self.raise_minimums(kind, available);
            }
        }
        self.accounts.retain(|_, a| a.is_listed || !a.holders.is_empty() || !a.minimums.is_empty());
    }

    /// Reserves no more than the sum of the minimums of this kind: nobody could use more.
    fn reserve_minimums(&mut self, kind: BudgetKind) -> PartsPerMillion {
        let targets = self.minimums(kind).map(|m| m.target).sum::<PartsPerMillion>();
        let set_aside = self.minimum_rules.get(&kind).map_or(0, |rule| rule.set_aside);
        let wanted = targets.min(set_aside);
        let committed = self.committed_minimums(kind);
        let quotas = self.committed_quotas.iter().filter(|(budget, _)| budget.kind == kind);
        let max_committed_quota = quotas.map(|(_, committed)| *committed).max().unwrap_or(0);
        let reserved = wanted.max(committed).min(TOTAL - max_committed_quota).max(committed);
        if reserved == 0 {
            self.reserved.remove(&kind);
        } else {
            self.reserved.insert(kind, reserved);
        }
        reserved
    }

    /// Raises minimums that are below their targets, in order of the front ids.
    fn raise_minimums(&mut self, kind: BudgetKind, mut available: PartsPerMillion) {
        if !self.minimums(kind).any(|m| m.target > m.committed) {
            return;
        }
        let epoch = self.next_epoch();
        for account in self.accounts.values_mut() {
            let Some(minimum) = account.minimums.get_mut(&kind) else { continue };
            let rise = minimum.target.saturating_sub(minimum.committed).min(available);
            if rise > 0 {
                available -= rise;
                minimum.committed += rise;
                minimum.epoch = epoch;
                account.minimums_epoch = epoch;
            }
        }
    }

    fn minimums(&self, kind: BudgetKind) -> impl Iterator<Item = &Allocation> {
        self.accounts.values().filter_map(move |account| account.minimums.get(&kind))
    }

    fn committed_minimums(&self, kind: BudgetKind) -> PartsPerMillion {
        self.minimums(kind).map(|m| m.committed).sum()
    }

    /// Checks the invariant, with all sums recomputed from the accounts.
    ///
    /// # Errors
    /// The first violation found.
    pub fn check_invariant(&self) -> Result<(), InvariantViolation> {
        let sums = self.sum_committed_quotas()?;
        for (budget, sum) in &sums {
            let recorded = self.committed_quotas.get(budget).copied();
            if recorded.map(u64::from) != Some(*sum) {
                return Err(InvariantViolation::WrongSum { budget: *budget, sum: *sum, recorded });
            }
        }
        for kind in BudgetKind::ALL {
            let reserved = u64::from(self.reserved.get(&kind).copied().unwrap_or(0));
            let minimums: u64 = self.minimums(kind).map(|m| u64::from(m.committed)).sum();
            if minimums > reserved {
                return Err(InvariantViolation::MinimumsAboveReserve { kind, minimums, reserved });
            }
            for (budget, sum) in sums.iter().filter(|(budget, _)| budget.kind == kind) {
                if sum + reserved > u64::from(TOTAL) {
                    return Err(InvariantViolation::AboveTotal { budget: *budget, sum: *sum, reserved });
                }
            }
        }
        Ok(())
    }

    fn sum_committed_quotas(&self) -> Result<BTreeMap<BudgetId, u64>, InvariantViolation> {
        let mut sums: BTreeMap<BudgetId, u64> = BTreeMap::new();
        for (budget, quota) in self.holders().flat_map(|holder| &holder.state.quotas) {
            if quota.target > quota.committed {
                return Err(InvariantViolation::TargetAboveCommitted { budget: *budget, quota: *quota });
            }
            *sums.entry(*budget).or_default() += u64::from(quota.committed);
        }
        Ok(sums)
    }
}

/// A violated invariant of the state. No sequence of commands may cause one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// A holder's target exceeds what is committed for it.
    #[error("{budget:?}: the target exceeds the committed quota: {quota:?}")]
    TargetAboveCommitted {
        /// The budget.
        budget: BudgetId,
        /// The quota.
        quota: Allocation,
    },
    /// The recorded sum of a budget's quotas is wrong.
    #[error("{budget:?}: quotas sum to {sum}, but the recorded sum is {recorded:?}")]
    WrongSum {
        /// The budget.
        budget: BudgetId,
        /// The sum computed from the accounts.
        sum: u64,
        /// The sum recorded in the state.
        recorded: Option<PartsPerMillion>,
    },
    /// The minimums of a kind exceed the reserve.
    #[error("{kind:?}: minimums sum to {minimums}, above the reserve of {reserved}")]
    MinimumsAboveReserve {
        /// The kind of budget.
        kind: BudgetKind,
        /// Sum of the committed minimums.
        minimums: u64,
        /// The part of the total that is reserved for minimums.
        reserved: u64,
    },
    /// The quotas and the reserve together exceed the total.
    #[error("{budget:?}: quotas of {sum} and the reserve of {reserved} together exceed the total")]
    AboveTotal {
        /// The budget.
        budget: BudgetId,
        /// Sum of the committed quotas.
        sum: u64,
        /// The part of the total that is reserved for minimums.
        reserved: u64,
    },
}

/// Divides the minimum evenly, or, where the even share would be smaller than a useful unit, gives one unit each to as
/// many fronts as there are units. Which fronts get a unit differs from kind to kind.
fn divide_minimum(
    kind: BudgetKind,
    rule: &MinimumRule,
    fronts: &BTreeSet<FrontId>,
) -> BTreeMap<FrontId, PartsPerMillion> {
    let even = rule.set_aside / (fronts.len().max(1) as PartsPerMillion);
    if even >= rule.unit {
        return fronts.iter().map(|front| (*front, even)).collect();
    }
    let count = (rule.set_aside / rule.unit.max(1)) as usize;
    let mut order: Vec<FrontId> = fronts.iter().copied().collect();
    order.sort_by_key(|front| (shuffle_key(kind, *front), *front));
    order.into_iter().take(count).map(|front| (front, rule.unit)).collect()
}

/// Sort key that puts the fronts in a different order for each kind.
fn shuffle_key(kind: BudgetKind, front: FrontId) -> u64 {
    const ODD_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    let multiplier = (kind as u64 + 1).wrapping_mul(ODD_MULTIPLIER);
    front.0.rotate_left(13).wrapping_mul(multiplier)
}
