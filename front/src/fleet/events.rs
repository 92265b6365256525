//! Log lines for the events of the fleet's node.

use elmtide_fleet::Event;

use crate::fleet::display_names::step_name;
use crate::fleet::operator::OperatorDesk;
use crate::fleet::site_watch::SiteWatch;

/// Logs an event, and runs the hook configured for a machine's step.
pub fn log_event(event: &Event, desk: &OperatorDesk, sites: Option<&SiteWatch>) {
    match event {
        Event::LeadershipGained { term } => tracing::info!(term, "fleet: this front has become the leader"),
        Event::LeadershipLost { term } => tracing::info!(term, "fleet: this front is no longer the leader"),
        Event::LogBootstrapped { voters } => {
            tracing::info!(voters, "fleet: the voters have started a new log")
        }
        Event::ContactGained => tracing::info!("fleet: in contact with a leader"),
        Event::ContactLost => {
            tracing::warn!(
                "fleet: no leader has answered for a lease: this front goes on with its guaranteed minimums"
            );
        }
        Event::FrontListInForce { version } => {
            tracing::info!(version, "fleet: a different list of fronts is in force")
        }
        Event::StoreStale { seen_incarnation } => tracing::error!(
            seen = seen_incarnation,
            "fleet: others saw a later incarnation of this front: its store is an older copy and is reset"
        ),
        Event::StoreFailed => tracing::error!("fleet: this front stops voting: it has no usable store"),
        Event::VoterReplaced { front } => {
            tracing::info!(front = %desk.front_name(*front), "fleet: a voter votes with a different store");
        }
        Event::LeaseGranted { epoch, quotas } => {
            tracing::debug!(number = epoch.0, shares = quotas, "fleet: a lease was granted");
        }
        Event::CommandApplied { rejected, command } => {
            tracing::info!(refused = rejected, what = command.name(), "fleet: a command was applied");
        }
        Event::Left => tracing::info!("fleet: the orderly departure is complete"),
        Event::SiteChanged { site, phase } => {
            let name = sites.map_or_else(String::new, |sites| sites.failover().sites().name(*site));
            tracing::warn!(site = name, standing = phase.name(), "sites: the phase of a site has changed");
        }
        Event::MachineAdvanced { machine, step } => {
            let machine = desk.names().machine(*machine);
            let step = step_name(*step);
            tracing::info!(machine, step, "work: a machine has advanced");
            desk.run_hook(step, &machine);
        }
    }
}
