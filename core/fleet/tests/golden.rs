//! Encodings that members send each other, and of the state that they agree on.

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
use elmtide_sites::{Reachability as SiteLooks, SiteOpinion as SiteWord};
use elmtide_sites::{RecoveryPhase, SiteId};

fn golden(name: &str) -> GoldenFile {
    GoldenFile::new(format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR")))
}

fn holder(front: u64) -> HolderId {
    HolderId { front: FrontId(front), incarnation: Incarnation(3) }
}

fn key(kind: BudgetKind) -> BudgetId {
    BudgetId { kind, resource: 77 }
}

fn machine(n: u64) -> MachineId {
    MachineId::from_name(&format!("m{n}"))
}

fn ask() -> LeaseRequest {
    let demand = Demand { high: 5, low: 600_000, unit: 1000, refill_ms: 250 };
    let wants = BudgetKind::ALL.into_iter().map(|kind| (key(kind), demand)).collect();
    LeaseRequest {
        holder: holder(1),
        request_id: 99,
        quota_epoch: Epoch(12),
        minimums_epoch: Epoch(4),
        demands: wants,
    }
}

fn answer() -> LeaseResponse {
    LeaseResponse {
        holder: holder(1),
        request_id: 99,
        epoch: Epoch(13),
        quotas: vec![(key(BudgetKind::Retries), 250_000), (key(BudgetKind::OriginFetches), 1)],
        minimums_epoch: Epoch(5),
        minimums: vec![(BudgetKind::ShopRate, 10_000)],
        duration: 3_000_000,
        front_list_version: 8,
    }
}

fn work_said() -> MaintenanceReport {
    let sight = |looks, attempt_outcome| MachineObservation {
        state: looks,
        started_at_ms: 1_700_000_000_000,
        warm_percent: 40,
        load: 900,
        attempt_outcome,
    };
    MaintenanceReport {
        acknowledged: Some(Epoch(6)),
        drained: vec![machine(1)],
        observations: vec![
            (machine(1), sight(ObservedState::Ready, AttemptOutcome::NoneSent)),
            (machine(2), sight(ObservedState::Draining, AttemptOutcome::NoneSucceeded)),
            (machine(3), sight(ObservedState::Failing, AttemptOutcome::Succeeded)),
            (machine(4), sight(ObservedState::Absent, AttemptOutcome::Succeeded)),
        ],
        is_overloaded: true,
        needs_details: true,
    }
}

fn way(stage: Stage) -> MachineProgress {
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

fn waits() -> Vec<WaitReason> {
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

fn work_view() -> MaintenanceView {
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
        progress: Stage::ALL.into_iter().map(|stage| (machine(1), way(stage))).collect(),
        wait_reasons: waits().into_iter().map(|wait| (machine(2), wait)).collect(),
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

fn site_words() -> Vec<(SiteId, SiteWord)> {
    let word = |fronts, boxes| SiteWord { fronts, caches: boxes };
    vec![
        (SiteId(1), word(SiteLooks::Unreachable, SiteLooks::Unreachable)),
        (SiteId(2), word(SiteLooks::Reachable, SiteLooks::Degraded)),
    ]
}

fn sites_said() -> elmtide_sites::SiteReport {
    elmtide_sites::SiteReport {
        opinions: site_words(),
        view_revision: Some(4),
        has_caught_up: true,
        caches_warm: false,
        is_overloaded: true,
    }
}

fn sites_view() -> elmtide_sites::SiteView {
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
        ("ask", PeerMessage::LeaseRequest(ask())),
        ("answer", PeerMessage::LeaseResponse(answer())),
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
        ("ask_work", PeerMessage::MaintenanceLeaseRequest(ask(), work_said())),
        ("answer_work", PeerMessage::MaintenanceLeaseResponse(answer(), work_view())),
        ("ask_sites", PeerMessage::SiteLeaseRequest(ask(), Some(work_said()), sites_said())),
        ("answer_sites", PeerMessage::SiteLeaseResponse(answer(), Some(work_view()), sites_view())),
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

/// Version, MAC, header and fragments: one front's datagrams for another, which opens each of them.
#[test]
fn datagrams_keep_their_bytes() {
    let frames = |me, incarnation| {
        DatagramCodec::new(b"key", "duna", FrontId(me), incarnation, [FrontId(1), FrontId(2)].into_iter())
    };
    let (mut sender, mut receiver) = (frames(1, 3), frames(2, 8));
    let mut file = golden("datagrams.txt");
    let long = PeerMessage::Gossip((0..3000u32).map(|n| n as u8).collect());
    for (name, message) in messages().into_iter().chain([("long", long)]) {
        let datagrams = sender.encode(FrontId(2), &message);
        let mut opened = None;
        for (place, datagram) in datagrams.iter().enumerate() {
            file.bytes(&format!("{name}_{place}"), datagram);
            opened = receiver.decode(datagram);
        }
        assert_eq!(opened, Some((FrontId(1), message)), "{name}");
    }
    file.check();
}

fn budget_commands() -> Vec<BudgetCommand> {
    let rule = MinimumRule { set_aside: 200_000, unit: 10_000 };
    let floors = vec![(BudgetKind::Retries, rule), (BudgetKind::ShopRate, rule)];
    let share = |front, parts| (holder(front), key(BudgetKind::Retries), parts);
    vec![
        BudgetCommand::UpdateFronts {
            version: 1,
            fronts: vec![FrontId(1), FrontId(2)],
            minimums: floors,
            lease: 3_000_000,
        },
        BudgetCommand::Join { holder: holder(1) },
        BudgetCommand::Join { holder: holder(2) },
        BudgetCommand::Allocate { changes: vec![share(1, 500_000), share(2, 200_000)] },
        BudgetCommand::Allocate { changes: vec![share(1, 300_000)] },
        BudgetCommand::ConfirmReductions {
            reductions: vec![
                ConfirmedReduction::Quota {
                    holder: holder(1),
                    budget: key(BudgetKind::Retries),
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

fn bounds() -> DisruptionBudget {
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

fn work_commands() -> Vec<elmtide_maintenance::MaintenanceCommand> {
    use elmtide_maintenance::MaintenanceCommand;
    let job = JobId(1);
    let step = |number, step| MaintenanceCommand::Advance {
        machine: machine(1),
        epoch: Epoch(number),
        step,
        at_ms: 2000,
    };
    vec![
        MaintenanceCommand::UpdateMachines { version: 1, machines: specs(), budget: bounds() },
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
    let lost = SiteWord { fronts: SiteLooks::Unreachable, caches: SiteLooks::Unreachable };
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

/// Every command by its encoding, and the state after each of them.
#[test]
fn commands_and_the_agreed_state_keep_their_encoding() {
    let mut file = golden("agreed.txt");
    let mut agreed = AgreedState::default();
    let budgets = budget_commands().into_iter().map(AgreedCommand::Budgets);
    let seat = [AgreedCommand::AssignVoter { front: FrontId(1), voter: VoterId(11) }];
    let work = work_commands().into_iter().map(AgreedCommand::Maintenance);
    let sites = site_commands().into_iter().map(AgreedCommand::Sites);
    // Fronts that are there have to see what machines do: the budgets' commands up to the last join go first.
    let changes: Vec<AgreedCommand> = budgets.chain(seat).chain(work).chain(sites).collect();
    for (place, change) in changes.iter().enumerate() {
        file.value(&format!("command_{place}"), change);
        let outcome = agreed.apply(change);
        file.value(&format!("outcome_{place}"), &outcome);
        let snapshot = agreed.snapshot();
        assert_eq!(AgreedState::restore(&snapshot).as_ref(), Some(&agreed), "after {change:?}");
        file.bytes(&format!("state_{place}"), &snapshot);
    }
    file.check();
}

/// Snapshots of versions that had no maintenance jobs, or no sites, end where those begin.
#[test]
fn snapshots_of_earlier_versions_are_still_read() {
    let mut agreed = AgreedState::default();
    for command in budget_commands() {
        agreed.apply(&AgreedCommand::Budgets(command));
    }
    agreed.apply(&AgreedCommand::AssignVoter { front: FrontId(1), voter: VoterId(11) });
    let early =
        [postcard::to_allocvec(&agreed.budgets).unwrap(), postcard::to_allocvec(&agreed.voters).unwrap()];
    let restored = AgreedState::restore(&early.concat()).expect("a snapshot without jobs");
    assert_eq!((restored.budgets, restored.voters), (agreed.budgets.clone(), agreed.voters.clone()));
    let with_work = [early.concat(), postcard::to_allocvec(&agreed.maintenance).unwrap()].concat();
    let restored = AgreedState::restore(&with_work).expect("a snapshot without sites");
    assert_eq!(restored.maintenance, agreed.maintenance);
}

#[test]
fn outcomes_keep_their_encoding() {
    let mut file = golden("outcomes.txt");
    let refused = [
        CommandRejected::StaleFrontList,
        CommandRejected::LimitExceeded,
        CommandRejected::ExceedsTotal,
        CommandRejected::UnknownFront,
        CommandRejected::Superseded,
        CommandRejected::StaleEpoch,
        CommandRejected::FrontStillListed,
    ];
    for (place, refused) in refused.into_iter().enumerate() {
        file.value(&format!("budgets_{place}"), &CommandOutcome::BudgetsRejected(refused));
    }
    file.value("no_seat", &CommandOutcome::TooManyVoters);
    use elmtide_maintenance::CommandRejected as Work;
    let refused = [
        Work::StaleVersion,
        Work::LimitExceeded,
        Work::UnknownMachine(machine(1)),
        Work::AlreadyInJob(machine(1), JobId(2)),
        Work::UnknownJob,
        Work::StaleEpoch,
        Work::NotInJob,
        Work::NotReleased(machine(1)),
        Work::AlreadyReleased(machine(1)),
        Work::JobPaused,
        Work::DisruptionLimit(DisruptionLimit::Voters),
        Work::NotAcknowledged(FrontId(2)),
        Work::TooManyFronts,
        Work::LastOfItsKind(machine(1)),
        Work::TextTooLong,
        Work::FrontNotPresent(FrontId(2)),
    ];
    file.value("work_done", &CommandOutcome::Maintenance(Ok(JobId(2))));
    for (place, refused) in refused.into_iter().enumerate() {
        file.value(&format!("work_{place}"), &CommandOutcome::Maintenance(Err(refused)));
    }
    use elmtide_sites::CommandRejected as Sites;
    let refused = [
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
    for (place, refused) in refused.into_iter().enumerate() {
        file.value(&format!("sites_{place}"), &CommandOutcome::Sites(Err(refused)));
    }
    file.check();
}
