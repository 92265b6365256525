//! What this node does while it leads: it proposes commands at its own pace, begins reads for lease requests, and notifies
//! holders for whom something has changed.

use elmtide_budgets::{BudgetCommand, Clocks, FrontId, HolderId, LeaseAllocator, LeaseRequest, Micros};
use elmtide_consensus::{Role, VoterId};
use elmtide_maintenance::CoordinatorInput as MaintenanceClock;

use super::voting::{ActiveVoter, Leadership, VoterState};
use super::FleetNode;
use crate::agreed_state::{AgreedCommand, AgreedState};
use crate::message::{PeerMessage, Reports};
use crate::output::Event;
use crate::settings::FleetSettings;

/// Ticks between two plans of a leader.
const PLAN_INTERVAL_TICKS: u64 = 2;
/// Added to the wait until a machine counts as drained: an attempt that was decided within the lease is written after it.
const WRITE_ALLOWANCE: Micros = 1_000_000;
const MICROS_PER_MS: u64 = 1000;

/// A voting front with the id of its store.
#[derive(Clone, Copy, Debug)]
struct VotingFront {
    front: FrontId,
    voter: VoterId,
}

/// A change of the cluster's voters.
struct VoterReplacement {
    front: FrontId,
    add: Vec<VoterId>,
    remove: Vec<VoterId>,
}

/// What a leader is about to propose.
#[derive(Default)]
struct LeaderPlan {
    commands: Vec<AgreedCommand>,
    budget_commands: Vec<BudgetCommand>,
    voter_replacement: Option<VoterReplacement>,
    /// This node's own machine is to go: another one leads first.
    transfers_leadership: bool,
}

/// What a plan is made by, besides the leader's own state.
struct PlanInput<'a> {
    settings: &'a FleetSettings,
    own: FrontId,
    /// Voting fronts whose stores are known.
    voting_fronts: Vec<VotingFront>,
    now: Clocks,
}

impl FleetNode {
    pub(super) fn is_leading(&self) -> bool {
        matches!(&self.voting, VoterState::Active(active) if active.is_leading())
    }

    /// Who leads, as far as this voter knows; of a front without a vote, who answered last.
    pub(super) fn leader_front(&self) -> Option<FrontId> {
        let VoterState::Active(active) = &self.voting else { return self.lease.leader };
        let leader = active.voter.leader()?;
        if leader == active.voter.id() {
            return Some(self.own);
        }
        self.front_of_voter(leader)
    }

    /// The leader to name to a front that asked here.
    pub(super) fn leader_for(&self, asking: FrontId) -> Option<FrontId> {
        self.leader_front().filter(|leader| *leader != self.own && *leader != asking)
    }

    /// Begins or ends a term as the leader, and plans at the leader's pace.
    pub(super) fn tick_leadership(&mut self, now: Clocks) {
        self.update_leadership(now);
        let ticks = self.ticks;
        let VoterState::Active(active) = &mut self.voting else { return };
        if active.leadership.is_some() && ticks >= active.next_plan_tick {
            active.next_plan_tick = ticks + PLAN_INTERVAL_TICKS;
            self.plan_as_leader(now);
        }
    }

    fn update_leadership(&mut self, now: Clocks) {
        let lease_settings = self.settings.lease;
        let VoterState::Active(active) = &mut self.voting else { return };
        let is_leader = active.voter.role() == Role::Leader;
        let term = active.voter.term();
        let ended = active.leadership.as_ref().filter(|l| !is_leader || l.term != term).map(|l| l.term);
        if ended.is_some() {
            active.leadership = None;
            active.waiting_clients.clear();
        }
        let begins = is_leader && active.leadership.is_none();
        if begins {
            active.leadership = Some(Leadership {
                term,
                allocator: LeaseAllocator::new(lease_settings, now.monotonic),
                maintenance: elmtide_maintenance::MaintenanceCoordinator::new(),
                sites: elmtide_sites::FailoverCoordinator::default(),
            });
        }
        if let Some(term) = ended {
            self.report_event(Event::LeadershipLost { term });
        }
        if begins {
            self.report_event(Event::LeadershipGained { term });
        }
    }

    /// Proposes what is to be changed, begins a read for the requests that wait, and notifies those for whom something has
    /// changed.
    pub(super) fn plan_as_leader(&mut self, now: Clocks) {
        let own = self.own;
        let known = self.settings.voters().filter_map(|front| {
            self.known_voters.get(&front).map(|known| VotingFront { front, voter: known.id })
        });
        let voting_fronts = known.collect();
        let VoterState::Active(active) = &mut self.voting else { return };
        if !active.is_leading() || active.syncing.is_some() {
            return;
        }
        let input = PlanInput { settings: &self.settings, own, voting_fronts, now };
        let plan = active.plan(&input);
        let transfers_leadership = plan.transfers_leadership;
        let replaced = active.propose(plan);
        active.begin_lease_read();
        let notified = active.holders_to_notify();
        if let Some(front) = replaced {
            self.report_event(Event::VoterReplaced { front });
        }
        if transfers_leadership {
            self.transfer_leadership(now);
        }
        for holder in notified {
            self.notify(holder, now);
        }
        self.run_log(now);
    }

    fn notify(&mut self, holder: HolderId, now: Clocks) {
        if holder.front == self.own {
            self.lease.request_no_later_than(now.monotonic);
        } else {
            self.send(holder.front, &PeerMessage::RenewNow);
        }
    }

    pub(super) fn begin_lease_read(&mut self) {
        if let VoterState::Active(active) = &mut self.voting {
            active.begin_lease_read();
        }
    }

    pub(super) fn on_lease_request(
        &mut self,
        from: FrontId,
        request: LeaseRequest,
        reports: Reports,
        now: Clocks,
    ) {
        // A front asks for itself alone.
        if request.holder.front != from {
            return;
        }
        if !self.is_leading() {
            let leader = self.leader_for(from);
            self.send(from, &PeerMessage::NotLeader(leader));
            return;
        }
        if let VoterState::Active(active) = &mut self.voting {
            active.accept_lease_request(request, reports, now);
        }
        self.run_log(now);
    }

    /// Hands leadership to another voter, if this one leads and another is there.
    pub fn transfer_leadership(&mut self, now: Clocks) {
        let alive = self.detector.members();
        let is_alive = |front: &FrontId| {
            alive.get(&front.0).is_some_and(|m| m.liveness == elmtide_peers::Liveness::Alive)
        };
        let others = self.other_voters();
        let known = others.iter().filter(|front| is_alive(front)).find_map(|f| self.known_voters.get(f));
        let successor = known.map(|voter| voter.id);
        if let (VoterState::Active(active), Some(successor)) = (&mut self.voting, successor) {
            if active.syncing.is_none() {
                active.voter.transfer_leadership(successor);
                self.run_log(now);
            }
        }
    }
}

impl ActiveVoter {
    fn plan(&mut self, input: &PlanInput) -> LeaderPlan {
        // What is in progress is waited for: it would only be proposed again.
        if !self.voter.is_fully_applied() {
            let voter_replacement = self.plan_voters(input, &mut Vec::new());
            return LeaderPlan { voter_replacement, ..LeaderPlan::default() };
        }
        let Some(leadership) = &mut self.leadership else { return LeaderPlan::default() };
        let agreed = self.voter.state_machine();
        let mut plan =
            LeaderPlan { commands: outdated_settings(agreed, input.settings), ..LeaderPlan::default() };
        plan.budget_commands = leadership.allocator.propose(&agreed.budgets, input.now.monotonic);
        leadership.plan_maintenance(agreed, input, &mut plan);
        leadership.plan_sites(agreed, input, &mut plan);
        plan.voter_replacement = self.plan_voters(input, &mut plan.commands);
        plan
    }

    /// Assigns voters to fronts, and replaces one voter at a time whose store or whose front is another one now.
    fn plan_voters(&self, input: &PlanInput, commands: &mut Vec<AgreedCommand>) -> Option<VoterReplacement> {
        let current = self.voter.voters().incoming;
        let agreed = self.voter.state_machine();
        let is_list_current = agreed.budgets.front_list_version() == input.settings.version;
        let own = VotingFront { front: input.own, voter: self.voter.id() };
        let mut replacement = None;
        for VotingFront { front, voter } in input.voting_fronts.iter().copied().chain([own]) {
            let is_admitted = current.contains(&voter);
            match agreed.voters.get(&front) {
                Some(assigned) if *assigned == voter => {}
                _ if is_admitted => commands.push(AgreedCommand::AssignVoter { front, voter }),
                Some(assigned) if current.contains(assigned) => {
                    replacement = Some(VoterReplacement { front, add: vec![voter], remove: vec![*assigned] });
                }
                // A front that newly votes: only where the agreed list is the one of this configuration.
                None if is_list_current => {
                    replacement = Some(VoterReplacement { front, add: vec![voter], remove: Vec::new() });
                }
                _ => {}
            }
        }
        if replacement.is_none() && is_list_current {
            let configured: Vec<FrontId> = input.settings.voters().collect();
            let mut assigned = agreed.voters.iter();
            let removed = assigned.find(|(f, voter)| !configured.contains(f) && current.contains(voter));
            replacement = removed.map(|(front, voter)| VoterReplacement {
                front: *front,
                add: Vec::new(),
                remove: vec![*voter],
            });
        }
        replacement
    }

    /// Proposes a plan; gives the front whose voter is being replaced.
    fn propose(&mut self, plan: LeaderPlan) -> Option<FrontId> {
        for command in &plan.commands {
            let _ = self.voter.propose(None, command);
        }
        for command in plan.budget_commands {
            let command = AgreedCommand::Budgets(command);
            let is_rejected = self.voter.propose(None, &command).is_err();
            if let (true, AgreedCommand::Budgets(command), Some(leadership)) =
                (is_rejected, &command, &mut self.leadership)
            {
                leadership.allocator.on_command_ended(command);
            }
        }
        let VoterReplacement { front, add, remove } = plan.voter_replacement?;
        self.voter.change_voters(add, remove).is_ok().then_some(front)
    }

    fn begin_lease_read(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        if let Some(read) = leadership.allocator.begin_read() {
            self.voter.read_index(read);
        }
    }

    fn holders_to_notify(&mut self) -> Vec<HolderId> {
        let Some(leadership) = &mut self.leadership else { return Vec::new() };
        let agreed = self.voter.state_machine();
        let mut holders = leadership.allocator.holders_to_notify(&agreed.budgets);
        if agreed.maintenance.version() > 0 {
            holders.extend(leadership.maintenance.holders_to_notify(&agreed.maintenance));
        }
        holders.extend(leadership.sites.holders_behind(&agreed.sites));
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    fn accept_lease_request(&mut self, request: LeaseRequest, reports: Reports, now: Clocks) {
        let Some(leadership) = &mut self.leadership else { return };
        let agreed = self.voter.state_machine();
        let holder = request.holder;
        if let Some(report) = reports.maintenance {
            leadership.maintenance.on_report(&agreed.maintenance, holder, report, now.monotonic);
        }
        if let Some(report) = reports.sites.filter(|_| agreed.budgets.current_holder(holder).is_some()) {
            leadership.sites.on_report(holder, report, now.monotonic);
        }
        leadership.allocator.on_request(&agreed.budgets, request, now.monotonic);
        if self.syncing.is_none() {
            self.begin_lease_read();
        }
    }
}

impl Leadership {
    fn plan_maintenance(&mut self, agreed: &AgreedState, input: &PlanInput, plan: &mut LeaderPlan) {
        if agreed.maintenance.version() == 0 {
            return;
        }
        let allocator = &self.allocator;
        let longest_attempt = input.settings.lease.max_request_deadline + WRITE_ALLOWANCE;
        let requests_ended_at = |holder| allocator.lease_expiry(holder, &agreed.budgets) + longest_attempt;
        let clock = MaintenanceClock {
            monotonic: input.now.monotonic,
            wall_ms: input.now.wall / MICROS_PER_MS,
            lease: agreed.budgets.lease(),
            own_front: input.own,
            requests_ended_at: &requests_ended_at,
        };
        let proposal = self.maintenance.propose(&agreed.maintenance, &clock);
        plan.commands.extend(proposal.commands.into_iter().map(AgreedCommand::Maintenance));
        plan.transfers_leadership = proposal.transfers_leadership;
    }

    fn plan_sites(&mut self, agreed: &AgreedState, input: &PlanInput, plan: &mut LeaderPlan) {
        let Some(rules) = &input.settings.sites else { return };
        if agreed.sites.version() == 0 {
            return;
        }
        let clock = elmtide_sites::CoordinatorInput {
            monotonic: input.now.monotonic,
            wall_ms: input.now.wall / MICROS_PER_MS,
            lease: agreed.budgets.lease(),
        };
        let commands = self.sites.propose(&agreed.sites, rules, &clock);
        plan.commands.extend(commands.into_iter().map(AgreedCommand::Sites));
    }
}

/// Commands for what the configuration has in a later version than the agreed state; the list of fronts goes first.
fn outdated_settings(agreed: &AgreedState, settings: &FleetSettings) -> Vec<AgreedCommand> {
    if agreed.budgets.front_list_version() < settings.version {
        return vec![settings.front_list_command()];
    }
    let machines = settings.machines_command().filter(|_| agreed.maintenance.version() < settings.version);
    let sites = settings.sites_command().filter(|_| agreed.sites.version() < settings.version);
    machines.into_iter().chain(sites).collect()
}
