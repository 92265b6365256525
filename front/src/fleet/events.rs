//! What the fleet's thread logs of its node.

use elmtide_fleet::Event;

use crate::fleet::display_names::step_name;
use crate::fleet::operator::OperatorDesk;
use crate::fleet::site_watch::SiteWatch;

/// Logs an event, and runs the hook of a machine's step.
pub fn log_event(event: &Event, desk: &OperatorDesk, sites: Option<&SiteWatch>) {
    match event {
        Event::LeadershipGained { term } => tracing::info!(term, "fleet: leads"),
        Event::LeadershipLost { term } => tracing::info!(term, "fleet: leads no more"),
        Event::LogBootstrapped { voters } => tracing::info!(voters, "fleet: a new log is begun"),
        Event::ContactGained => tracing::info!("fleet: in contact with a leader"),
        Event::ContactLost => {
            tracing::warn!("fleet: no leader has answered for a lease: this front goes on with its floors");
        }
        Event::FrontListInForce { version } => tracing::info!(version, "fleet: the list in force"),
        Event::StoreStale { seen_incarnation } => tracing::error!(
            seen = seen_incarnation,
            "fleet: others have seen a later run of this front: its store is a copy from before, and is emptied"
        ),
        Event::StoreFailed => tracing::error!("fleet: no vote without a store"),
        Event::VoterReplaced { front } => {
            tracing::info!(front = %desk.front_name(*front), "fleet: a voter with another store takes its seat");
        }
        Event::LeaseGranted { epoch, quotas } => {
            tracing::debug!(number = epoch.0, shares = quotas, "fleet: granted");
        }
        Event::CommandApplied { rejected, command } => {
            tracing::info!(refused = rejected, what = command.name(), "fleet: agreed");
        }
        Event::Left => tracing::info!("fleet: left in order"),
        Event::SiteChanged { site, phase } => {
            let name = sites.map_or_else(String::new, |sites| sites.failover().sites().name(*site));
            tracing::warn!(site = name, standing = phase.name(), "sites: agreed");
        }
        Event::MachineAdvanced { machine, step } => {
            let machine = desk.names().machine(*machine);
            let step = step_name(*step);
            tracing::info!(machine, step, "work: agreed");
            desk.run_hook(step, &machine);
        }
    }
}
