//! The encodings of the messages between nodes, of commands and of the replicated state stay as they are, byte for
//! byte.

use elmtide_budgets::{BudgetCommand, BudgetId, BudgetKind, Demand, Epoch, FrontId, HolderId, Incarnation};
use elmtide_budgets::{CommandRejected, ConfirmedReduction, MinimumRule};
use elmtide_budgets::{LeaseRequest, LeaseResponse};
use elmtide_consensus::message::{Message, MessageKind};
use elmtide_consensus::{CommandId, StateMachine, VoterId};
use elmtide_fleet::message::VoterHello;
use elmtide_fleet::DatagramCodec;
use elmtide_fleet::{AgreedCommand, AgreedState, CommandOutcome, PeerMessage};
use elmtide_golden::GoldenFile;
use elmtide_maintenance::report::{AttemptOutcome, MachineObservation, MaintenanceDetails, ObservedState};
use elmtide_maintenance::WaitReason;
use elmtide_maintenance::{DisruptedMachine, DisruptionLimit, HostedFront, Job, MachineProgress, Step};
use elmtide_maintenance::{
    DisruptionBudget, JobId, MachineId, MachineSpec, MaintenanceReport, MaintenanceView, ReturnPolicy, Stage,
};
use elmtide_sites::report::SiteViewEntry;
use elmtide_sites::{Reachability, SiteOpinion};
use elmtide_sites::{RecoveryPhase, SiteId};

fn golden(name: &str) -> GoldenFile {
    GoldenFile::new(format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR")))
}

fn holder(front: u64) -> HolderId {
    HolderId { front: FrontId(front), incarnation: Incarnation(3) }
}

fn budget_id(kind: BudgetKind) -> BudgetId {
    BudgetId { kind, resource: 77 }
}

fn machine(n: u64) -> MachineId {
    MachineId::from_name(&format!("m{n}"))
}

fn lease_request() -> LeaseRequest {
    let demand = Demand { high: 5, low: 600_000, unit: 1000, refill_ms: 250 };
    let demand_of_each_kind = BudgetKind::ALL.into_iter().map(|kind| (budget_id(kind), demand)).collect();
    LeaseRequest {
        holder: holder(1),
        request_id: 99,
        quota_epoch: Epoch(12),
        minimums_epoch: Epoch(4),
        demands: demand_of_each_kind,
    }
}

fn lease_response() -> LeaseResponse {
    LeaseResponse {
        holder: holder(1),
        request_id: 99,
        epoch: Epoch(13),
        quotas: vec![(budget_id(BudgetKind::Retries), 250_000), (budget_id(BudgetKind::OriginFetches), 1)],
        minimums_epoch: Epoch(5),
        minimums: vec![(BudgetKind::ShopRate, 10_000)],
        duration: 3_000_000,
        front_list_version: 8,
    }
}

fn maintenance_report() -> MaintenanceReport {
    let observation = |observed_state, attempt_outcome| MachineObservation {
        state: observed_state,
        started_at_ms: 1_700_000_000_000,
        warm_percent: 40,
        load: 900,
        attempt_outcome,
    };
    MaintenanceReport {
        acknowledged: Some(Epoch(6)),
        drained: vec![machine(1)],
        observations: vec![
            (machine(1), observation(ObservedState::Ready, AttemptOutcome::NoneSent)),
            (machine(2), observation(ObservedState::Draining, AttemptOutcome::NoneSucceeded)),
            (machine(3), observation(ObservedState::Failing, AttemptOutcome::Succeeded)),
            (machine(4), observation(ObservedState::Absent, AttemptOutcome::Succeeded)),
        ],
        is_overloaded: true,
        needs_details: true,
    }
}

fn machine_progress(stage: Stage) -> MachineProgress {
    MachineProgress {
        job: JobId(2),
        stage,
        epoch: Epoch(6),
        scheduled_at_ms: 1000,
        stage_since_ms: 2000,
        permit: 4,
        started_at_ms: 500,
        is_listed: true,
        is_confirmed: false,
        is_overdue: true,
        is_cancelled: false,
    }
}

fn wait_reasons() -> Vec<WaitReason> {
    vec![
        WaitReason::JobPaused,
        WaitReason::DisruptionLimit(DisruptionLimit::Location),
        WaitReason::DisruptionLimit(DisruptionLimit::Hub),
        WaitReason::DisruptionLimit(DisruptionLimit::Kind),
        WaitReason::DisruptionLimit(DisruptionLimit::Pair(machine(9))),
        WaitReason::DisruptionLimit(DisruptionLimit::Voters),
        WaitReason::CapacityShortfall { remaining: 900, required: 1200 },
        WaitReason::Blackout,
        WaitReason::FrontOverloaded(FrontId(2)),
        WaitReason::MachineLost(machine(2)),
        WaitReason::PermitOverdue(machine(3)),
        WaitReason::NotAcknowledged(FrontId(3)),
        WaitReason::OpenRequests(FrontId(4)),
        WaitReason::FrontUnreachable(FrontId(5)),
        WaitReason::LeadershipTransfer,
        WaitReason::VoterMajority,
        WaitReason::InMaintenance,
        WaitReason::SlowStart(30),
        WaitReason::Failing(FrontId(6)),
        WaitReason::Unproven(FrontId(7)),
        WaitReason::NotReady,
        WaitReason::ReadyToAdvance,
    ]
}

fn maintenance_view() -> MaintenanceView {
    let job = Job {
        requested_by: "ops".into(),
        reason: "kernel".into(),
        expected_minutes: 20,
        is_paused: true,
        is_cancelled: false,
        prioritized: vec![machine(1)],
        machine_count: 4,
        completed: 1,
        cancelled_count: 2,
        requested_at_ms: 900,
        ended_at_ms: Some(950),
    };
    let details = MaintenanceDetails {
        jobs: vec![(JobId(2), job)],
        progress: Stage::ALL.into_iter().map(|stage| (machine(1), machine_progress(stage))).collect(),
        wait_reasons: wait_reasons().into_iter().map(|reason| (machine(2), reason)).collect(),
        lost: vec![machine(3)],
        median_duration_ms: Some(60_000),
        now_ms: 1_700_000_000_123,
    };
    let disrupted = Stage::ALL.into_iter().map(|stage| DisruptedMachine {
        machine: machine(1),
        address: Some("127.0.0.1:9000".parse().unwrap()),
        stage,
    });
    MaintenanceView {
        epoch: Epoch(6),
        machines_version: 3,
        disrupted: Some(disrupted.collect()),
        details: Some(Box::new(details)),
    }
}

fn site_opinions() -> Vec<(SiteId, SiteOpinion)> {
    let opinion = |fronts, cache_reachability| SiteOpinion { fronts, caches: cache_reachability };
    vec![
        (SiteId(1), opinion(Reachability::Unreachable, Reachability::Unreachable)),
        (SiteId(2), opinion(Reachability::Reachable, Reachability::Degraded)),
    ]
}

fn site_report() -> elmtide_sites::SiteReport {
    elmtide_sites::SiteReport {
        opinions: site_opinions(),
        view_revision: Some(4),
        has_caught_up: true,
        caches_warm: false,
        is_overloaded: true,
    }
}

fn site_view() -> elmtide_sites::SiteView {
    let entry = |phase| SiteViewEntry { phase, since_ms: 1_700_000_000_000, by_operator: true };
    let sites = RecoveryPhase::ALL.into_iter().map(entry).collect();
    elmtide_sites::SiteView { revision: 4, sites_version: 2, sites }
}

fn raft_message() -> Message {
    Message {
        kind: MessageKind::Heartbeat,
        from: VoterId(11),
        to: VoterId(12),
        term: 2,
        log_term: 0,
        index: 0,
        entries: Vec::new(),
        commit: 9,
        commit_term: 2,
        snapshot: None,
        request_snapshot: 0,
        reject: false,
        reject_hint: 0,
        context: Vec::new(),
    }
}

fn messages() -> Vec<(&'static str, PeerMessage)> {
    let id = CommandId { client: 1, incarnation: 3, sequence: 7 };
    let hello =
        VoterHello { voter: Some(VoterId(11)), has_log: true, seen_incarnation: 3, needs_reply: false };
    vec![
        ("peers", PeerMessage::Gossip(vec![1, 2, 3])),
        ("hello", PeerMessage::VoterHello(hello)),
        ("raft", PeerMessage::Raft(Box::new(raft_message()))),
        ("ask", PeerMessage::LeaseRequest(lease_request())),
        ("answer", PeerMessage::LeaseResponse(lease_response())),
        ("elsewhere", PeerMessage::NotLeader(Some(FrontId(3)))),
        ("poke", PeerMessage::RenewNow),
        (
            "submit",
            PeerMessage::SubmitCommand(
                id,
                AgreedCommand::Budgets(BudgetCommand::Leave { holder: holder(1) }),
            ),
        ),
        ("told", PeerMessage::CommandOutcome(id, CommandOutcome::Done)),
        ("ask_work", PeerMessage::MaintenanceLeaseRequest(lease_request(), maintenance_report())),
        ("answer_work", PeerMessage::MaintenanceLeaseResponse(lease_response(), maintenance_view())),
        (
            "ask_sites",
            PeerMessage::SiteLeaseRequest(lease_request(), Some(maintenance_report()), site_report()),
        ),
        (
            "answer_sites",
            PeerMessage::SiteLeaseResponse(lease_response(), Some(maintenance_view()), site_view()),
        ),
        ("here", PeerMessage::SiteHeartbeat),
    ]
}

#[test]
fn each_kind_of_message_keeps_its_encoding() {
    let mut file = golden("messages.txt");
    for (name, message) in messages() {
        file.value(name, &message);
    }
    file.check();
}

/// Covers version, MAC, header and fragments: one front encodes datagrams, and the other one decodes each of them.
#[test]
fn datagrams_keep_their_encoding_and_are_decoded() {
    let codec = |own, incarnation| {
        DatagramCodec::new(b"key", "duna", FrontId(own), incarnation, [FrontId(1), FrontId(2)].into_iter())
    };
    let (mut sender, mut receiver) = (codec(1, 3), codec(2, 8));
    let mut file = golden("datagrams.txt");
    let long = PeerMessage::Gossip((0..3000u32).map(|n| n as u8).collect());
    for (name, message) in messages().into_iter().chain([("long", long)]) {
        let datagrams = sender.encode(FrontId(2), &message);
        let mut decoded = None;
        for (index, datagram) in datagrams.iter().enumerate() {
            file.bytes(&format!("{name}_{index}"), datagram);
            decoded = receiver.decode(datagram);
        }
        assert_eq!(decoded, Some((FrontId(1), message)), "{name}");
    }
    file.check();
}

fn budget_commands() -> Vec<BudgetCommand> {
    let rule = MinimumRule { set_aside: 200_000, unit: 10_000 };
    let minimum_rules = vec![(BudgetKind::Retries, rule), (BudgetKind::ShopRate, rule)];
    let quota_change = |front, quota| (holder(front), budget_id(BudgetKind::Retries), quota);
    vec![
        BudgetCommand::UpdateFronts {
            version: 1,
            fronts: vec![FrontId(1), FrontId(2)],
            minimums: minimum_rules,
            lease: 3_000_000,
        },
        BudgetCommand::Join { holder: holder(1) },
        BudgetCommand::Join { holder: holder(2) },
        BudgetCommand::Allocate { changes: vec![quota_change(1, 500_000), quota_change(2, 200_000)] },
        BudgetCommand::Allocate { changes: vec![quota_change(1, 300_000)] },
        BudgetCommand::ConfirmReductions {
            reductions: vec![
                ConfirmedReduction::Quota {
                    holder: holder(1),
                    budget: budget_id(BudgetKind::Retries),
                    epoch: Epoch(1),
                },
                ConfirmedReduction::Minimum { front: FrontId(1), kind: BudgetKind::Retries, epoch: Epoch(2) },
            ],
        },
        BudgetCommand::ExpireLease { holder: holder(2), epoch: Epoch(5) },
        BudgetCommand::Leave { holder: holder(2) },
        BudgetCommand::RemoveFront { front: FrontId(9) },
    ]
}

fn disruption_budget() -> DisruptionBudget {
    DisruptionBudget {
        per_location: 1,
        per_hub: 2,
        per_kind: 3,
        exclusive_pairs: vec![(machine(1), machine(2))],
        capacity_margin_percent: 15,
        tolerates_further_loss: true,
        return_policy: ReturnPolicy::Both,
        blackout_minutes: vec![(480, 540)],
    }
}

fn specs() -> Vec<MachineSpec> {
    let spec = |n: u64, front| MachineSpec {
        name: format!("m{n}"),
        location: 1,
        hub: 0,
        kind: 2,
        weight: 1000,
        address: Some(format!("127.0.0.1:{}", 9000 + n).parse().unwrap()),
        front,
    };
    vec![spec(1, None), spec(2, None), spec(3, Some(HostedFront { id: FrontId(1), is_voter: true }))]
}

fn maintenance_commands() -> Vec<elmtide_maintenance::MaintenanceCommand> {
    use elmtide_maintenance::MaintenanceCommand;
    let job = JobId(1);
    let step = |number, step| MaintenanceCommand::Advance {
        machine: machine(1),
        epoch: Epoch(number),
        step,
        at_ms: 2000,
    };
    vec![
        MaintenanceCommand::UpdateMachines { version: 1, machines: specs(), budget: disruption_budget() },
        MaintenanceCommand::Request {
            machines: vec![machine(1), machine(2)],
            requested_by: "ops".into(),
            reason: "disks".into(),
            expected_minutes: 30,
            at_ms: 1000,
        },
        MaintenanceCommand::PauseJob { job },
        MaintenanceCommand::ResumeJob { job },
        MaintenanceCommand::Prioritize { job, machines: vec![machine(2)] },
        step(0, Step::Schedule),
        MaintenanceCommand::Acknowledge {
            acknowledgements: vec![(holder(1), Epoch(1)), (holder(2), Epoch(1))],
        },
        MaintenanceCommand::DeclareFrontOff { front: FrontId(2) },
        step(1, Step::Drain),
        step(2, Step::MarkDrained),
        step(3, Step::Release { started_at_ms: 400 }),
        step(4, Step::MarkOverdue),
        step(4, Step::MarkListed),
        MaintenanceCommand::ConfirmReturn { machine: machine(1) },
        step(4, Step::Return),
        step(5, Step::BeginSlowStart),
        step(6, Step::Complete),
        step(9, Step::Revert),
        MaintenanceCommand::Cancel { job, machine: Some(machine(2)) },
    ]
}

fn site_commands() -> Vec<elmtide_sites::SiteCommand> {
    use elmtide_sites::SiteCommand;
    let lost = SiteOpinion { fronts: Reachability::Unreachable, caches: Reachability::Unreachable };
    vec![
        SiteCommand::UpdateSites { version: 1, sites: 4, patience_ms: 1000, max_patience_ms: 16_000 },
        SiteCommand::ReportOpinions { by: SiteId(1), opinions: vec![(SiteId(0), lost)], at_ms: 10_000 },
        SiteCommand::ReportOpinions { by: SiteId(2), opinions: vec![(SiteId(0), lost)], at_ms: 10_000 },
        SiteCommand::DeclareLost { site: SiteId(0), revision: 0, at_ms: 11_500 },
        SiteCommand::AdvanceRecovery {
            site: SiteId(0),
            revision: 1,
            to: RecoveryPhase::InContact,
            at_ms: 12_000,
        },
        SiteCommand::OverrideByOperator { site: SiteId(3), lost: true, at_ms: 13_000 },
    ]
}

/// Covers every command, its outcome, and the state after it.
#[test]
fn commands_and_the_agreed_state_keep_their_encoding() {
    let mut file = golden("agreed.txt");
    let mut agreed = AgreedState::default();
    let budgets = budget_commands().into_iter().map(AgreedCommand::Budgets);
    let voter_assignment = [AgreedCommand::AssignVoter { front: FrontId(1), voter: VoterId(11) }];
    let maintenance = maintenance_commands().into_iter().map(AgreedCommand::Maintenance);
    let sites = site_commands().into_iter().map(AgreedCommand::Sites);
    // Maintenance commands depend on which fronts have joined, so the budgets' commands go first.
    let commands: Vec<AgreedCommand> =
        budgets.chain(voter_assignment).chain(maintenance).chain(sites).collect();
    for (index, command) in commands.iter().enumerate() {
        file.value(&format!("command_{index}"), command);
        let outcome = agreed.apply(command);
        file.value(&format!("outcome_{index}"), &outcome);
        let snapshot = agreed.snapshot();
        assert_eq!(AgreedState::restore(&snapshot).as_ref(), Some(&agreed), "after {command:?}");
        file.bytes(&format!("state_{index}"), &snapshot);
    }
    file.check();
}

/// Snapshots of versions without maintenance, or without sites, end where that part would begin. Such a snapshot must
/// still be restored after an upgrade.
#[test]
fn snapshots_of_versions_without_maintenance_or_sites_are_restored() {
    let mut agreed = AgreedState::default();
    for command in budget_commands() {
        agreed.apply(&AgreedCommand::Budgets(command));
    }
    agreed.apply(&AgreedCommand::AssignVoter { front: FrontId(1), voter: VoterId(11) });
    let encoded_fields =
        [postcard::to_allocvec(&agreed.budgets).unwrap(), postcard::to_allocvec(&agreed.voters).unwrap()];
    let restored =
        AgreedState::restore(&encoded_fields.concat()).expect("a snapshot without maintenance is restored");
    assert_eq!((restored.budgets, restored.voters), (agreed.budgets.clone(), agreed.voters.clone()));
    let with_maintenance =
        [encoded_fields.concat(), postcard::to_allocvec(&agreed.maintenance).unwrap()].concat();
    let restored = AgreedState::restore(&with_maintenance).expect("a snapshot without sites is restored");
    assert_eq!(restored.maintenance, agreed.maintenance);
}

#[test]
fn each_command_outcome_keeps_its_encoding() {
    let mut file = golden("outcomes.txt");
    let rejections = [
        CommandRejected::StaleFrontList,
        CommandRejected::LimitExceeded,
        CommandRejected::ExceedsTotal,
        CommandRejected::UnknownFront,
        CommandRejected::Superseded,
        CommandRejected::StaleEpoch,
        CommandRejected::FrontStillListed,
    ];
    for (index, rejection) in rejections.into_iter().enumerate() {
        file.value(&format!("budgets_{index}"), &CommandOutcome::BudgetsRejected(rejection));
    }
    file.value("no_seat", &CommandOutcome::TooManyVoters);
    use elmtide_maintenance::CommandRejected as Maintenance;
    let rejections = [
        Maintenance::StaleVersion,
        Maintenance::LimitExceeded,
        Maintenance::UnknownMachine(machine(1)),
        Maintenance::AlreadyInJob(machine(1), JobId(2)),
        Maintenance::UnknownJob,
        Maintenance::StaleEpoch,
        Maintenance::NotInJob,
        Maintenance::NotReleased(machine(1)),
        Maintenance::AlreadyReleased(machine(1)),
        Maintenance::JobPaused,
        Maintenance::DisruptionLimit(DisruptionLimit::Voters),
        Maintenance::NotAcknowledged(FrontId(2)),
        Maintenance::TooManyFronts,
        Maintenance::LastOfItsKind(machine(1)),
        Maintenance::TextTooLong,
        Maintenance::FrontNotPresent(FrontId(2)),
    ];
    file.value("work_done", &CommandOutcome::Maintenance(Ok(JobId(2))));
    for (index, rejection) in rejections.into_iter().enumerate() {
        file.value(&format!("work_{index}"), &CommandOutcome::Maintenance(Err(rejection)));
    }
    use elmtide_sites::CommandRejected as Sites;
    let rejections = [
        Sites::StaleVersion,
        Sites::LimitExceeded,
        Sites::UnknownSite(SiteId(1)),
        Sites::StaleRevision,
        Sites::TooFewOpinions { present: 1, needed: 2 },
        Sites::PatienceNotElapsed(300),
        Sites::DeclaredByOperator,
        Sites::NotNextPhase,
    ];
    file.value("sites_done", &CommandOutcome::Sites(Ok(())));
    for (index, rejection) in rejections.into_iter().enumerate() {
        file.value(&format!("sites_{index}"), &CommandOutcome::Sites(Err(rejection)));
    }
    file.check();
}
