//! Settings of the SWIM protocol: probe period, timeouts and datagram limits.

use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::Micros;

/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Number of fronts that are asked to probe a front that did not answer.
const INDIRECT_PROBES: usize = 2;
/// Maximum number of datagrams that a front sends per period, not counting indirect probes and their answers.
const MAX_DIRECT_DATAGRAMS: usize = 16;
const MAX_UPDATE_TRANSMISSIONS: u8 = 10;
const SUSPECT_PERIODS: u32 = 3;
const DEAD_MEMBER_RETENTION_PERIODS: u32 = 600;

/// How often fronts probe each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeSettings {
    /// Time between two probes; each probes one front.
    pub period: Micros,
    /// Number of fronts in the configuration.
    pub fronts: usize,
}

impl ProbeSettings {
    /// Maximum number of datagrams that one front sends per period: its own probe, its answers to probes (one on
    /// average, sometimes several), indirect probes for others, gossip and announcements.
    pub fn max_datagrams_per_period(&self) -> usize {
        MAX_DIRECT_DATAGRAMS + 2 * INDIRECT_PROBES
    }

    pub(crate) fn foca_config(&self) -> Config {
        let period = Duration::from_micros(self.period);
        let fronts = NonZeroU32::new(self.fronts.max(2) as u32).unwrap_or(NonZeroU32::MIN);
        let mut config = Config::new_lan(fronts);
        config.probe_period = period;
        config.probe_rtt = period / 3;
        config.num_indirect_probes = non_zero(INDIRECT_PROBES);
        config.max_transmissions = NonZeroU8::new(MAX_UPDATE_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN);
        config.suspect_to_down_after = period * SUSPECT_PERIODS;
        config.remove_down_after = Some(period * DEAD_MEMBER_RETENTION_PERIODS);
        config.max_packet_size = non_zero(MAX_DATAGRAM_BYTES);
        config.notify_down_members = true;
        config.periodic_announce = Some(every(period * 20, 1));
        config.periodic_announce_to_down_members = Some(every(period * 10, 1));
        config.periodic_gossip = Some(every(period, 2));
        config
    }
}

fn every(frequency: Duration, num_members: usize) -> PeriodicParams {
    PeriodicParams { frequency, num_members: non_zero(num_members) }
}

fn non_zero(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
