//! Watches other sites by their fronts' datagrams and by probes of their cache nodes, and reports on them to the
//! leader.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver};
use elmtide_budgets::{Clocks, FrontId, LeaseSettings};
use elmtide_sites::{FailoverSettings, RecoveryPhase, SiteHealthMonitor, SiteId, SiteReport};

use crate::fleet::config::FleetConfig;
use crate::fleet::config_error::FleetConfigError;
use crate::fleet::probe;
use crate::fleet::site_directory::{SiteDirectory, SitesEntry};
use crate::fleet::site_failover::{FailoverConfig, SiteFailover};
use crate::fleet::start_error::StartError;
use crate::fleet_link::OwnSiteState;
use crate::memory::counters::Counters;
use crate::memory::ledger::LIVES;
use crate::process::clock;

/// Maximum number of probe answers that wait for the fleet's thread.
const MAX_WAITING_ANSWERS: usize = 256;
/// All cache nodes of a site count as one: which of them are down concerns only the fronts of their site.
const ANY_CACHE: u64 = 0;

/// Settings for watching sites.
pub struct SiteWatchConfig<'a> {
    /// The fleet's file.
    pub config: &'a FleetConfig,
    /// The settings of site failover in that file.
    pub table: &'a SitesEntry,
    /// The settings on which all fronts agree.
    pub failover: &'a FailoverSettings,
    /// This front.
    pub own_name: &'a str,
    /// Durations and clock tolerances of leases.
    pub lease: LeaseSettings,
    /// The longest deadline of a request, in milliseconds.
    pub max_deadline_ms: f64,
    /// Counters, of which one says when the event bus was last read to its end.
    pub counters: Arc<Counters>,
}

/// Watches other sites.
pub struct SiteWatch {
    failover: Arc<SiteFailover>,
    monitor: SiteHealthMonitor,
    site_of_front: BTreeMap<FrontId, SiteId>,
    probe_answers: Receiver<probe::CacheAnswer>,
    counters: Arc<Counters>,
    /// When this front's own site came into contact again, in Unix milliseconds; `None` while it is lost.
    recovering_since_ms: Option<u64>,
}

impl SiteWatch {
    /// Starts the planner and the probes of other sites' cache nodes.
    ///
    /// # Errors
    /// If the file's sites are invalid, or a thread can't be started.
    pub fn start(watch: SiteWatchConfig) -> Result<SiteWatch, StartError> {
        let SiteWatchConfig { config, table, failover: settings, own_name, lease, .. } = watch;
        let sites = SiteDirectory::from_config(table, &config.site).map_err(FleetConfigError::from)?;
        let failover = SiteFailover::start(FailoverConfig {
            sites,
            fronts: config.fronts_of_sites(),
            own_name: own_name.to_owned(),
            lease,
            key_lifetime: watch.max_deadline_ms * LIVES,
            max_wait: table.refused_ms,
        })
        .map_err(StartError::io("site-plans"))?;
        let timeout = Duration::from_secs_f64(table.silence_ms / 1000.0);
        let sites = config.site.iter().enumerate().map(|(index, entry)| (SiteId(index as u16), entry));
        let others: Vec<_> = sites.filter(|(site, _)| Some(*site) != failover.own_site()).collect();
        let (answer_sender, probe_answers) = bounded(MAX_WAITING_ANSWERS);
        let caches = others.iter().map(|(site, entry)| (*site, entry.boxes.clone())).collect();
        probe::start(caches, timeout, &answer_sender).map_err(StartError::io("site-probe"))?;
        let others = others.iter().map(|(site, _)| *site);
        let now = clock::both_clocks().monotonic;
        Ok(SiteWatch {
            failover,
            monitor: SiteHealthMonitor::new(timeout.as_micros() as u64, others, now),
            site_of_front: settings.site_of_front.clone(),
            probe_answers,
            counters: watch.counters,
            recovering_since_ms: None,
        })
    }

    /// The site failover state, which decides by this view how clients and keys are handled.
    pub fn failover(&self) -> &Arc<SiteFailover> {
        &self.failover
    }

    /// The report on sites; `heard_fronts` are the fronts that were heard since the last one.
    pub fn report(&mut self, heard_fronts: Vec<FrontId>, own: OwnSiteState, now: Clocks) -> SiteReport {
        for front in heard_fronts {
            if let Some(site) = self.site_of_front.get(&front) {
                self.monitor.on_front_heard(*site, front.0, now.monotonic);
            }
        }
        while let Ok(answer) = self.probe_answers.try_recv() {
            self.monitor.on_cache_answered(answer.site, ANY_CACHE, answer.timeliness, now.monotonic);
        }
        let current = self.failover.current();
        let view = current.view();
        let own_phase = self.failover.own_site().zip(view).map(|(own, view)| view.phase(own));
        self.recovering_since_ms = match own_phase {
            Some(RecoveryPhase::Lost) | None => None,
            Some(_) => self.recovering_since_ms.or(Some(now.wall / 1000)),
        };
        let bus_read_at_ms = self.counters.bus_heard.load(Relaxed);
        SiteReport {
            opinions: self.monitor.opinions(now.monotonic),
            view_revision: view.map(|view| view.revision),
            has_caught_up: self.recovering_since_ms.is_some_and(|since| bus_read_at_ms > since),
            caches_warm: own.caches_warm,
            is_overloaded: own.overloaded,
        }
    }
}
