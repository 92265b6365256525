//! Operators' requests: what their socket hands to the fleet's thread, and what waits there for an answer.

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

/// Most commands whose outcome is waited for.
const MAX_WAITING_REPLIES: usize = 64;
/// For so long the leader is asked for details after an operator has looked, and an operator's command waits for its outcome.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);

/// What the program asks of the fleet's thread.
pub enum Order {
    /// Leave the fleet; then answer.
    Leave(Sender<()>),
    /// Have an unlisted front removed.
    RemoveFront(FrontId),
    /// An operator's request; the JSON reply goes back.
    Request(Box<OperatorRequest>, Sender<String>),
    /// Show machines in maintenance, once the leader has told details; JSON goes back.
    ShowMaintenance(Sender<String>),
}

/// Why a call of an operator was not handed on.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Only a front that is out of the list can be removed.
    #[error("{0} is in this front's file: take it out of the list first")]
    FrontConfigured(String),
    /// The file has no maintenance, or no sites.
    #[error("this front's file has no [work], or no [sites] with fronts of theirs")]
    NotConfigured,
    /// The request can't be read.
    #[error("{0}")]
    Unreadable(#[from] serde_json::Error),
    /// The fleet's thread is busy or has ended.
    #[error("{0}")]
    Busy(&'static str),
    /// Nothing was agreed on in time.
    #[error("nothing was agreed on within 5 s: it may be yet, look with `elmtide work`")]
    Timeout,
}

/// The operators' socket's side.
pub struct OperatorCalls {
    /// To the fleet's thread.
    pub orders: Sender<Order>,
    /// Wakes it.
    pub waker: Waker,
    /// What is shown of the fleet now.
    pub status: Arc<ArcSwapOption<FleetStatusView>>,
    /// The fronts of this front's file.
    pub configured_fronts: Vec<String>,
    /// Whether machines can go into maintenance.
    pub has_maintenance: bool,
    /// Whether sites are watched.
    pub has_sites: bool,
}

impl OperatorCalls {
    /// What is shown of the fleet now, as JSON.
    pub fn status(&self) -> String {
        let status = self.status.load();
        status.as_ref().and_then(|status| serde_json::to_string(&**status).ok()).unwrap_or_default()
    }

    /// Has an unlisted front removed.
    ///
    /// # Errors
    /// If the front is listed, or the thread is busy.
    pub fn remove_front(&self, name: &str) -> Result<(), CallError> {
        if self.configured_fronts.iter().any(|configured| configured == name) {
            return Err(CallError::FrontConfigured(name.to_owned()));
        }
        self.send(Order::RemoveFront(FrontId::from_name(name)))
    }

    /// What is shown of machines in maintenance, as JSON.
    ///
    /// # Errors
    /// If there is no maintenance, or no answer in time.
    pub fn maintenance(&self) -> Result<String, CallError> {
        if !self.has_maintenance {
            return Err(CallError::NotConfigured);
        }
        self.call(Order::ShowMaintenance)
    }

    /// Requests a command given as JSON; gives the reply as JSON.
    ///
    /// # Errors
    /// If the request can't be read or is not configured for, or there is no answer in time.
    pub fn request(&self, json: &str) -> Result<String, CallError> {
        let concerns_site = json.contains("\"site-");
        if !(if concerns_site { self.has_sites } else { self.has_maintenance }) {
            return Err(CallError::NotConfigured);
        }
        let request: Box<OperatorRequest> = serde_json::from_str(json)?;
        self.call(|reply| Order::Request(request, reply))
    }

    fn call(&self, order: impl FnOnce(Sender<String>) -> Order) -> Result<String, CallError> {
        let (reply, outcome) = bounded(1);
        self.send(order(reply))?;
        self.waker.wake();
        outcome.recv_timeout(OPERATOR_TIMEOUT).map_err(|_| CallError::Timeout)
    }

    fn send(&self, order: Order) -> Result<(), CallError> {
        self.orders.try_send(order).map_err(|error| {
            CallError::Busy(match error {
                crossbeam_channel::TrySendError::Full(_) => "sending on a full channel",
                crossbeam_channel::TrySendError::Disconnected(_) => "sending on a disconnected channel",
            })
        })
    }
}

/// Details of the leader, with the moment at which they came.
struct ReceivedDetails {
    at: Instant,
    details: MaintenanceDetails,
}

/// The fleet's thread's side: who waits for what.
pub struct OperatorDesk {
    is_maintenance_on: bool,
    names: DisplayNames,
    hooks: Hooks,
    /// Until when details are asked for.
    details_needed_until: Option<Instant>,
    /// Who waits for details.
    waiting_for_details: Vec<Sender<String>>,
    details: Option<ReceivedDetails>,
    /// Who waits for the outcome of a command, by its tag.
    waiting_for_outcome: BTreeMap<u64, Sender<String>>,
    next_tag: u64,
    /// What the engine has reported last.
    engine_report: MaintenanceReport,
}

impl OperatorDesk {
    pub fn new(config: &FleetConfig) -> OperatorDesk {
        let hooks = config.work.as_ref().map(|work| Hooks::new(work.hooks.clone(), work.hook_seconds));
        OperatorDesk {
            is_maintenance_on: config.work.is_some(),
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

    /// DisplayNames of machines and fronts.
    pub fn names(&self) -> &DisplayNames {
        &self.names
    }

    /// Runs the hook of a step.
    pub fn run_hook(&self, step: &str, machine: &str) {
        self.hooks.run(step, machine);
    }

    /// Takes what the engine reports on machines.
    pub fn on_engine_report(&mut self, report: &MaintenanceReport) {
        self.engine_report = report.clone();
    }

    /// What is reported to the leader now; `None` where maintenance is off.
    pub fn report(&self) -> Option<MaintenanceReport> {
        let needs_details = self.details_needed_until.is_some_and(|until| Instant::now() < until);
        self.is_maintenance_on.then(|| MaintenanceReport { needs_details, ..self.engine_report.clone() })
    }

    /// An operator looks: an answer comes with the leader's details, or at once from a front without contact.
    pub fn on_show(&mut self, node: &FleetNode, reply: Sender<String>) {
        self.details_needed_until = Some(Instant::now() + OPERATOR_TIMEOUT);
        if node.has_contact() {
            self.waiting_for_details.push(reply);
        } else {
            let _ = reply.try_send(self.shown(node));
        }
    }

    /// The leader has told details.
    pub fn on_details(&mut self, node: &FleetNode, details: MaintenanceDetails) {
        self.details = Some(ReceivedDetails { at: Instant::now(), details });
        let shown = self.shown(node);
        for reply in self.waiting_for_details.drain(..) {
            let _ = reply.try_send(shown.clone());
        }
    }

    fn shown(&self, node: &FleetNode) -> String {
        let leader = node.known_leader().map(|front| self.front_name(front));
        let contact = node.has_contact();
        let shown = match &self.details {
            None => MaintenanceStatusView { contact, leader, ..MaintenanceStatusView::default() },
            Some(ReceivedDetails { at, details }) => {
                let age_ms = at.elapsed().as_secs_f64() * 1000.0;
                MaintenanceStatusView::new(details, &self.names, contact, leader, age_ms)
            }
        };
        serde_json::to_string(&shown).unwrap_or_default()
    }

    /// The name of a front, or its id.
    pub fn front_name(&self, front: FrontId) -> String {
        self.names.fronts.get(&front).cloned().unwrap_or_else(|| format!("{:016x}", front.0))
    }

    /// An operator's command: a front without contact refuses it, and says who would have it.
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

    /// The outcome of a command is known.
    pub fn on_outcome(&mut self, tag: u64, outcome: CommandOutcome) {
        if let Some(reply) = self.waiting_for_outcome.remove(&tag) {
            send_reply(&reply, &self.names.reply(outcome));
        }
    }
}

fn send_reply(to: &Sender<String>, reply: &OperatorReply) {
    let _ = to.try_send(serde_json::to_string(reply).unwrap_or_default());
}
