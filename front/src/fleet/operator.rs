//! Operators' requests: the calls that the operators' socket passes to the fleet's thread, and the replies that wait
//! there.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use crossbeam_channel::{bounded, Sender};
use elmtide_budgets::{Clocks, FrontId};
use elmtide_fleet::{CommandOutcome, FleetNode};
use elmtide_maintenance::report::MaintenanceDetails;
use elmtide_maintenance::MaintenanceReport;

use crate::fleet::config::FleetConfig;
use crate::fleet::display_names::DisplayNames;
use crate::fleet::hooks::Hooks;
use crate::fleet::maintenance_view::MaintenanceStatusView;
use crate::fleet::operator_request::{OperatorReply, OperatorRequest};
use crate::fleet::site_directory::SiteDirectory;
use crate::fleet::status_view::FleetStatusView;
use crate::fleet_link::Waker;

/// Maximum number of commands whose outcome is waited for.
const MAX_WAITING_REPLIES: usize = 64;
/// How long the leader is asked for details after an operator's request for the status, and how long an operator's
/// command waits for its outcome.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// A command from another thread of the process to the fleet's thread.
pub enum RunnerCommand {
    /// Let another front lead the fleet, if this one does.
    TransferLeadership,
    /// Leave the fleet, then reply.
    Leave(Sender<()>),
    /// Remove a front that is not in the list.
    RemoveFront(FrontId),
    /// An operator's request; replies with JSON.
    Request(Box<OperatorRequest>, Sender<String>),
    /// Show machines in maintenance; replies with JSON once the leader has sent details.
    ShowMaintenance(Sender<String>),
}

/// Why an operator's call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Only a front that is not in the list can be removed.
    #[error("{0} is in this front's file: take it out of the list first")]
    FrontConfigured(String),
    /// The file does not configure maintenance, or no sites with fronts.
    #[error("this front's file has no [work], or no [sites] with fronts of theirs")]
    NotConfigured,
    /// The request can't be parsed.
    #[error("{0}")]
    Unreadable(#[from] serde_json::Error),
    /// The fleet's thread is busy or has stopped.
    #[error("{0}")]
    Busy(&'static str),
    /// The outcome was not known before the timeout.
    #[error("nothing was agreed on within 5 s: it may be yet, look with `elmtide work`")]
    Timeout,
}

/// The calls that the operators' socket makes.
pub struct OperatorCalls {
    /// The queue of the fleet's thread.
    pub commands: Sender<RunnerCommand>,
    /// Wakes the fleet's thread.
    pub waker: Waker,
    /// The current status of the fleet.
    pub status: Arc<ArcSwapOption<FleetStatusView>>,
    /// The fronts of this front's file.
    pub configured_fronts: Vec<String>,
    /// Whether maintenance is configured.
    pub has_maintenance: bool,
    /// Whether site failover is configured.
    pub has_sites: bool,
}

impl OperatorCalls {
    /// The current status of the fleet as JSON; empty before there is one.
    pub fn status(&self) -> String {
        let status = self.status.load();
        status.as_ref().and_then(|status| serde_json::to_string(&**status).ok()).unwrap_or_default()
    }

    /// Requests the removal of a front that is not in the list.
    ///
    /// # Errors
    /// If the front is in this front's file, or the thread is busy.
    pub fn remove_front(&self, name: &str) -> Result<(), CallError> {
        if self.configured_fronts.iter().any(|configured| configured == name) {
            return Err(CallError::FrontConfigured(name.to_owned()));
        }
        self.send(RunnerCommand::RemoveFront(FrontId::from_name(name)))
    }

    /// The status of maintenance as JSON.
    ///
    /// # Errors
    /// If maintenance is not configured, or there is no reply before the timeout.
    pub fn maintenance(&self) -> Result<String, CallError> {
        if !self.has_maintenance {
            return Err(CallError::NotConfigured);
        }
        self.call(RunnerCommand::ShowMaintenance)
    }

    /// Submits a request given as JSON and returns the reply as JSON.
    ///
    /// # Errors
    /// If the request can't be parsed, what it concerns is not configured, or there is no reply before the timeout.
    pub fn request(&self, json: &str) -> Result<String, CallError> {
        let concerns_site = json.contains("\"site-");
        if !(if concerns_site { self.has_sites } else { self.has_maintenance }) {
            return Err(CallError::NotConfigured);
        }
        let request: Box<OperatorRequest> = serde_json::from_str(json)?;
        self.call(|reply| RunnerCommand::Request(request, reply))
    }

    fn call(&self, command: impl FnOnce(Sender<String>) -> RunnerCommand) -> Result<String, CallError> {
        let (reply, outcome) = bounded(1);
        self.send(command(reply))?;
        self.waker.wake();
        outcome.recv_timeout(OPERATOR_TIMEOUT).map_err(|_| CallError::Timeout)
    }

    fn send(&self, command: RunnerCommand) -> Result<(), CallError> {
        self.commands.try_send(command).map_err(|error| {
            CallError::Busy(match error {
                crossbeam_channel::TrySendError::Full(_) => "sending on a full channel",
                crossbeam_channel::TrySendError::Disconnected(_) => "sending on a disconnected channel",
            })
        })
    }
}

/// The leader's details and when they arrived.
struct ReceivedDetails {
    at: Instant,
    details: MaintenanceDetails,
}

/// The fleet's thread's part of operators' calls: the replies that wait, and what they are made of.
pub struct OperatorDesk {
    has_maintenance_enabled: bool,
    names: DisplayNames,
    hooks: Hooks,
    /// The time until which the leader is asked for details.
    details_needed_until: Option<Instant>,
    /// Replies that wait for details.
    waiting_for_details: Vec<Sender<String>>,
    details: Option<ReceivedDetails>,
    /// Replies that wait for the outcome of a command, by the command's tag.
    waiting_for_outcome: BTreeMap<u64, Sender<String>>,
    next_tag: u64,
    /// The engine's last report.
    engine_report: MaintenanceReport,
}

impl OperatorDesk {
    /// Without any waiting reply or details.
    pub fn new(config: &FleetConfig) -> OperatorDesk {
        let hooks = config.work.as_ref().map(|work| Hooks::new(work.hooks.clone(), work.hook_seconds));
        OperatorDesk {
            has_maintenance_enabled: config.work.is_some(),
            names: DisplayNames::from_config(config),
            hooks: hooks.unwrap_or_else(|| Hooks::new(BTreeMap::new(), 1.0)),
            details_needed_until: None,
            waiting_for_details: Vec::new(),
            details: None,
            waiting_for_outcome: BTreeMap::new(),
            next_tag: 1,
            engine_report: MaintenanceReport::default(),
        }
    }

    /// The names of machines and fronts.
    pub fn names(&self) -> &DisplayNames {
        &self.names
    }

    /// Runs the hook of a step, if there is one.
    pub fn run_hook(&self, step: &str, machine: &str) {
        self.hooks.run(step, machine);
    }

    /// Stores the engine's report on machines.
    pub fn on_engine_report(&mut self, report: &MaintenanceReport) {
        self.engine_report = report.clone();
    }

    /// The report to the leader; `None` if maintenance is not configured.
    pub fn report(&self) -> Option<MaintenanceReport> {
        let needs_details = self.details_needed_until.is_some_and(|until| Instant::now() < until);
        self.has_maintenance_enabled
            .then(|| MaintenanceReport { needs_details, ..self.engine_report.clone() })
    }

    /// An operator asks for the status of maintenance. The reply waits for the leader's details; a front without
    /// contact replies at once.
    pub fn on_maintenance_request(&mut self, node: &FleetNode, reply: Sender<String>) {
        self.details_needed_until = Some(Instant::now() + OPERATOR_TIMEOUT);
        if node.has_contact() {
            self.waiting_for_details.push(reply);
        } else {
            let _ = reply.try_send(self.maintenance_json(node));
        }
    }

    /// Details of the leader have arrived: sends the waiting replies.
    pub fn on_details(&mut self, node: &FleetNode, details: MaintenanceDetails) {
        self.details = Some(ReceivedDetails { at: Instant::now(), details });
        let json = self.maintenance_json(node);
        for reply in self.waiting_for_details.drain(..) {
            let _ = reply.try_send(json.clone());
        }
    }

    /// The status of maintenance as JSON.
    fn maintenance_json(&self, node: &FleetNode) -> String {
        let leader = node.known_leader().map(|front| self.front_name(front));
        let contact = node.has_contact();
        let status = match &self.details {
            None => MaintenanceStatusView { contact, leader, ..MaintenanceStatusView::default() },
            Some(ReceivedDetails { at, details }) => {
                let age_ms = at.elapsed().as_secs_f64() * 1000.0;
                MaintenanceStatusView::new(details, &self.names, contact, leader, age_ms)
            }
        };
        serde_json::to_string(&status).unwrap_or_default()
    }

    /// The name of a front, or its id.
    pub fn front_name(&self, front: FrontId) -> String {
        self.names.fronts.get(&front).cloned().unwrap_or_else(|| format!("{:016x}", front.0))
    }

    /// Submits an operator's request. A front without contact refuses it and names the last known leader.
    pub fn on_request(
        &mut self,
        node: &mut FleetNode,
        sites: Option<&SiteDirectory>,
        request: OperatorRequest,
        reply: Sender<String>,
        now: Clocks,
    ) {
        match self.submit(node, sites, request, now) {
            Ok(tag) => {
                while self.waiting_for_outcome.len() >= MAX_WAITING_REPLIES {
                    self.waiting_for_outcome.pop_first();
                }
                self.waiting_for_outcome.insert(tag, reply);
            }
            Err(text) => send_reply(&reply, &OperatorReply::refused(text)),
        }
    }

    fn submit(
        &mut self,
        node: &mut FleetNode,
        sites: Option<&SiteDirectory>,
        request: OperatorRequest,
        now: Clocks,
    ) -> Result<u64, String> {
        if !node.has_contact() {
            let leader = node.known_leader().map(|front| self.front_name(front));
            let leader = leader.map_or("nobody known here leads".to_owned(), |leader| {
                format!("{leader} led when last heard")
            });
            return Err(format!("this front has no contact: ask another one; {leader}"));
        }
        let command = request.into_command(sites)?;
        let tag = self.next_tag;
        self.next_tag += 1;
        node.request_command(tag, command, now).map_err(|error| error.to_string())?;
        Ok(tag)
    }

    /// The outcome of a command is known: sends its reply.
    pub fn on_outcome(&mut self, tag: u64, outcome: CommandOutcome) {
        if let Some(reply) = self.waiting_for_outcome.remove(&tag) {
            send_reply(&reply, &self.names.reply(outcome));
        }
    }
}

fn send_reply(to: &Sender<String>, reply: &OperatorReply) {
    let _ = to.try_send(serde_json::to_string(reply).unwrap_or_default());
}
