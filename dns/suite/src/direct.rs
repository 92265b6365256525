//! The crate itself as a target: bytes in, bytes out, no socket.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use elmtide_dns::answer::{Client, Counts, Reaction, Served, Server, Transport};
use elmtide_dns::cookie::{Secret, Secrets};
use elmtide_dns::transfer::History;
use elmtide_dns::wire::parse_name;
use elmtide_dns::zone::Zone;
use elmtide_ratelimit::{Limiter, Limits};
use elmtide_steering::Steering;

use crate::zone::{self, KEY};
use crate::{Target, Way};

pub struct Direct {
    pub served: Served,
    pub server: Server,
    out: Vec<u8>,
}

/// Limits that no case reaches.
pub fn no_limits() -> Limits {
    Limits { answers: 0.0, nxdomains: 0.0, errors: 0.0, all: 0.0, ..Limits::default() }
}

impl Direct {
    pub fn new(limits: Limits) -> Result<Direct, String> {
        let (source, layout) = zone::source()?;
        // The version before had one record more and one less.
        let mut before = source.clone();
        let moved = before.records.pop();
        before.records.extend(moved.map(|mut m| {
            m.name = "before".into();
            m
        }));
        let serial = 2_026_120_100;
        let (old, new) = (Zone::compile(&before, serial - 1)?, Zone::compile(&source, serial)?);
        let served = Served {
            history: History::default().with(&old, &new),
            zone: Arc::new(new),
            view: Steering::new(layout, 0, 0.0).view(),
            secrets: Secrets::new(Secret::new([7; 16]), None),
            nsid: Some(b"direct".as_slice().into()),
            keys: zone::keys(false),
            transfer_keys: vec![parse_name(KEY, &[0])?],
            state: None,
            keepalive: 100,
        };
        let server = Server::new(Limiter::new(limits, 1), Arc::new(Counts::default()));
        Ok(Direct { served, server, out: Vec::with_capacity(65_536) })
    }

    /// One message of a client at this address.
    pub fn from(&mut self, address: IpAddr, way: Way, message: &[u8], now_ms: f64) -> Vec<Vec<u8>> {
        let transport = if way == Way::Udp { Transport::Udp } else { Transport::Tcp };
        let client = Client { address, transport };
        match self.server.answer(&self.served, client, now_ms, message, &mut self.out) {
            Reaction::Silence => Vec::new(),
            Reaction::Reply => vec![self.out.clone()],
            Reaction::Transfer(mut transfer) => {
                let mut messages = Vec::new();
                while transfer.next(&mut self.out, (now_ms / 1000.0) as u64) {
                    messages.push(self.out.clone());
                }
                messages
            }
        }
    }
}

impl Target for Direct {
    fn ask(&mut self, way: Way, message: &[u8], _many: bool) -> Vec<Vec<u8>> {
        self.from(Ipv4Addr::LOCALHOST.into(), way, message, zone::now_s() as f64 * 1000.0)
    }

    fn serial(&mut self) -> u32 {
        self.served.zone.serial
    }
}
