//! What this node does as the leader: it proposes commands at regular intervals, starts reads for lease requests, and
//! notifies holders for whom something has changed.

use elmtide_budgets::{BudgetCommand, Clocks, FrontId, HolderId, LeaseAllocator, LeaseRequest, Micros};
use elmtide_consensus::{Role, VoterId};
use elmtide_maintenance::CoordinatorInput as MaintenanceInput;

use super::voting::{ActiveVoter, Leadership, VoterState};
use super::FleetNode;
use crate::agreed_state::{AgreedCommand, AgreedState};
use crate::message::{PeerMessage, Reports};
use crate::output::Event;
use crate::settings::FleetSettings;

/// Interval between a leader's plans, in ticks.
const PLAN_INTERVAL_TICKS: u64 = 2;
/// Added to the time until a machine counts as drained, because an attempt that was decided within the lease may be
/// written after it has expired.
const WRITE_ALLOWANCE_MICROS: Micros = 1_000_000;
const MICROS_PER_MS: u64 = 1000;

/// A voting front and the voter id of its store.
#[derive(Clone, Copy, Debug)]
struct VotingFront {
    front: FrontId,
    voter: VoterId,
}

/// A change of the log's voters for one front.
struct VoterReplacement {
    front: FrontId,
    add: Vec<VoterId>,
    remove: Vec<VoterId>,
}

/// What a leader has decided to propose.
#[derive(Default)]
struct LeaderPlan {
    commands: Vec<AgreedCommand>,
    budget_commands: Vec<BudgetCommand>,
    voter_replacement: Option<VoterReplacement>,
    /// Whether another node has to lead first, because this node's own machine is to be released for maintenance.
    transfers_leadership: bool,
}

/// The inputs of a plan besides the leader's own state.
struct PlanInput<'a> {
    settings: &'a FleetSettings,
    own: FrontId,
    /// The other voting fronts whose voter ids are known.
    voting_fronts: Vec<VotingFront>,
    now: Clocks,
}

impl FleetNode {
    pub(super) fn is_leading(&self) -> bool {
        matches!(&self.voting, VoterState::Active(active) if active.is_leading())
    }

    /// The leader as far as this voter knows; for a front without a vote, the one that its lease requests go to.
    pub(super) fn leader_front(&self) -> Option<FrontId> {
        let VoterState::Active(active) = &self.voting else { return self.lease.leader };
        let leader = active.voter.leader()?;
        if leader == active.voter.id() {
            return Some(self.own);
        }
        self.front_of_voter(leader)
    }

    /// The leader to name to a front that sent its request here.
    pub(super) fn leader_for(&self, requester: FrontId) -> Option<FrontId> {
        self.leader_front().filter(|leader| *leader != self.own && *leader != requester)
    }

    /// Starts or ends leadership as the voter's role changes, and plans at the leader's interval.
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
        let starts_leading = is_leader && active.leadership.is_none();
        if starts_leading {
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
        if starts_leading {
            self.report_event(Event::LeadershipGained { term });
        }
    }

    /// Proposes a plan, starts a read for the waiting lease requests, and notifies holders for whom something has
    /// changed.
    pub(super) fn plan_as_leader(&mut self, now: Clocks) {
        let own = self.own;
        let known_voting_fronts = self.settings.voters().filter_map(|front| {
            self.known_voters.get(&front).map(|known| VotingFront { front, voter: known.id })
        });
        let voting_fronts = known_voting_fronts.collect();
        let VoterState::Active(active) = &mut self.voting else { return };
        if !active.is_leading() || active.syncing.is_some() {
            return;
        }
        let input = PlanInput { settings: &self.settings, own, voting_fronts, now };
        let plan = active.plan(&input);
        let transfers_leadership = plan.transfers_leadership;
        let replaced = active.propose(plan);
        active.begin_lease_read();
        let notified_holders = active.holders_to_notify();
        if let Some(front) = replaced {
            self.report_event(Event::VoterReplaced { front });
        }
        if transfers_leadership {
            self.transfer_leadership(now);
        }
        for holder in notified_holders {
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
        // A front may request a lease only for itself.
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

    /// Transfers leadership to another voter that is alive, if this node is the leader and no sync is in progress.
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
        // While commands are in progress, only voter changes are planned; other commands would be proposed a second
        // time.
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

    /// Assigns admitted voters to their fronts, and plans at most one change of voters: it adds the voter of a front
    /// that is new or has a new store, in place of the front's previous voter, or removes the voter of a front that no
    /// longer votes.
    fn plan_voters(&self, input: &PlanInput, commands: &mut Vec<AgreedCommand>) -> Option<VoterReplacement> {
        let current = self.voter.voters().incoming;
        let agreed = self.voter.state_machine();
        let is_front_list_current = agreed.budgets.front_list_version() == input.settings.version;
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
                // A front that has no voter yet is admitted only if the agreed list of fronts is this configuration's.
                None if is_front_list_current => {
                    replacement = Some(VoterReplacement { front, add: vec![voter], remove: Vec::new() });
                }
                _ => {}
            }
        }
        if replacement.is_none() && is_front_list_current {
            let configured: Vec<FrontId> = input.settings.voters().collect();
            let mut assigned = agreed.voters.iter();
            let removed_front =
                assigned.find(|(f, voter)| !configured.contains(f) && current.contains(voter));
            replacement = removed_front.map(|(front, voter)| VoterReplacement {
                front: *front,
                add: Vec::new(),
                remove: vec![*voter],
            });
        }
        replacement
    }

    /// Proposes a plan. Returns the front whose voter is being replaced.
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
        let max_attempt_duration = input.settings.lease.max_request_deadline + WRITE_ALLOWANCE_MICROS;
        let requests_ended_at =
            |holder| allocator.lease_expiry(holder, &agreed.budgets) + max_attempt_duration;
        let coordinator_input = MaintenanceInput {
            monotonic: input.now.monotonic,
            wall_ms: input.now.wall / MICROS_PER_MS,
            lease: agreed.budgets.lease(),
            own_front: input.own,
            requests_ended_at: &requests_ended_at,
        };
        let proposal = self.maintenance.propose(&agreed.maintenance, &coordinator_input);
        plan.commands.extend(proposal.commands.into_iter().map(AgreedCommand::Maintenance));
        plan.transfers_leadership = proposal.transfers_leadership;
    }

    fn plan_sites(&mut self, agreed: &AgreedState, input: &PlanInput, plan: &mut LeaderPlan) {
        let Some(failover_settings) = &input.settings.sites else { return };
        if agreed.sites.version() == 0 {
            return;
        }
        let coordinator_input = elmtide_sites::CoordinatorInput {
            monotonic: input.now.monotonic,
            wall_ms: input.now.wall / MICROS_PER_MS,
            lease: agreed.budgets.lease(),
        };
        let commands = self.sites.propose(&agreed.sites, failover_settings, &coordinator_input);
        plan.commands.extend(commands.into_iter().map(AgreedCommand::Sites));
    }
}

/// Commands that update what the replicated state has in an earlier version than the configuration. The list of fronts
/// goes first.
fn outdated_settings(agreed: &AgreedState, settings: &FleetSettings) -> Vec<AgreedCommand> {
    if agreed.budgets.front_list_version() < settings.version {
        return vec![settings.front_list_command()];
    }
    let machines = settings.machines_command().filter(|_| agreed.maintenance.version() < settings.version);
    let sites = settings.sites_command().filter(|_| agreed.sites.version() < settings.version);
    machines.into_iter().chain(sites).collect()
}
