//! How often fronts probe each other.

use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::Micros;

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Fronts that are asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 2;
/// Datagrams of one front in a period besides indirect probes and their answers.
const DIRECT_DATAGRAMS: usize = 16;
const MAX_TRANSMISSIONS: u8 = 10;
const SUSPECT_PERIODS: u32 = 3;
const DEAD_MEMBER_RETENTION_PERIODS: u32 = 600;

/// How often fronts probe each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeSettings {
    /// One front is probed each period.
    pub period: Micros,
    /// Number of fronts in the configuration.
    pub fronts: usize,
}

impl ProbeSettings {
    /// Most datagrams that one front sends in a period: its own probe, probes that it answers (one on average, several by
    /// chance), probes for others, gossip, announcements.
    pub fn max_datagrams_per_period(&self) -> usize {
        DIRECT_DATAGRAMS + 2 * INDIRECT_PROBES
    }

    pub(crate) fn foca_config(&self) -> Config {
        let period = Duration::from_micros(self.period);
        let fronts = NonZeroU32::new(self.fronts.max(2) as u32).unwrap_or(NonZeroU32::MIN);
        let mut config = Config::new_lan(fronts);
        config.probe_period = period;
        config.probe_rtt = period / 3;
        config.num_indirect_probes = non_zero(INDIRECT_PROBES);
        config.max_transmissions = NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN);
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
