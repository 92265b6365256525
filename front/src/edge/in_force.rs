//! What is in force: one value, replaced whole, that readers take a share of and keep for one request.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use arc_swap::ArcSwap;
use elmtide::Ms;
use elmtide_dns::answer::Served;
use elmtide_dns::tcp;
use elmtide_ratelimit::Limits;
use elmtide_steering::{Net, PoolId};

use crate::edge::config::{EdgeConfig, FrontEntry};

/// Who runs a key's request.
#[derive(Clone, Debug, PartialEq)]
pub enum Owner {
    Ours,
    Other(FrontEntry),
    /// Ours from this moment on; until then the one before may still be running it.
    NotYet(Ms),
}

impl Owner {
    /// By sites, and by the file as it was before: where either says that a key is left alone it is, until the later moment.
    pub fn or_later(self, by_file: Owner) -> Owner {
        match (self, by_file) {
            (Owner::NotYet(one), Owner::NotYet(other)) => Owner::NotYet(one.max(other)),
            (Owner::Ours, Owner::NotYet(until)) => Owner::NotYet(until),
            (by_sites, _) => by_sites,
        }
    }
}

/// Fronts as they were before a change, and until when a key of theirs is left alone.
#[derive(Clone, Debug)]
pub struct Former {
    pub config: Arc<EdgeConfig>,
    pub until: Ms,
}

#[derive(Clone, Debug)]
pub struct State {
    pub config: Arc<EdgeConfig>,
    /// What the name server answers with; none while the front is off.
    pub served: Option<Served>,
    pub limits: Limits,
    pub tcp: tcp::Limits,
    pub all_fronts: PoolId,
    /// This front drains: those who come all the same are served until then.
    pub clings_until: Option<Ms>,
    pub former: Vec<Former>,
}

impl Default for State {
    fn default() -> State {
        State {
            config: Arc::default(),
            served: None,
            limits: Limits::default(),
            tcp: tcp::Limits::default(),
            all_fronts: PoolId(0),
            clings_until: None,
            former: Vec::new(),
        }
    }
}

impl State {
    /// Whether new requests are turned away, and where to, because this front has drained.
    pub fn drained(&self, now: Ms) -> bool {
        self.clings_until.is_some_and(|until| now > until)
    }

    /// Where this client is to go instead of here.
    pub fn elsewhere(&self, client: IpAddr, own: &str) -> Option<SocketAddr> {
        let view = &self.served.as_ref()?.view;
        let client = Net::host(client);
        let chosen = [false, true].map(|v6| view.choose(self.all_fronts, client, v6));
        let others = || self.config.front.iter().filter(|f| f.name != own).flat_map(|f| &f.http);
        let mut ips = chosen.iter().flat_map(|c| c.iter());
        ips.find_map(|ip| others().find(|a| a.ip() == ip).copied())
    }

    /// Who runs a key's request now.
    pub fn owner(&self, key: &str, own: &str, now: Ms) -> Owner {
        match self.config.owner(key) {
            Some(owner) if owner.name != own => Owner::Other(owner.clone()),
            _ => {
                let elsewhere =
                    |f: &&Former| f.until > now && f.config.owner(key).is_some_and(|o| o.name != own);
                match self.former.iter().find(elsewhere) {
                    Some(former) => Owner::NotYet(former.until),
                    None => Owner::Ours,
                }
            }
        }
    }
}

/// The state in force.
pub struct InForce(Arc<ArcSwap<State>>);

/// A thread's own view of the state in force, for one that reads very often.
pub type Reader = arc_swap::Cache<Arc<ArcSwap<State>>, Arc<State>>;

impl Default for InForce {
    fn default() -> InForce {
        InForce(Arc::new(ArcSwap::from_pointee(State::default())))
    }
}

impl InForce {
    pub fn now(&self) -> Arc<State> {
        self.0.load_full()
    }

    pub fn set(&self, state: State) {
        self.0.store(Arc::new(state));
    }

    /// A view for one thread.
    pub fn reader(&self) -> Reader {
        arc_swap::Cache::new(self.0.clone())
    }
}

#[cfg(test)]
mod tests;
