//! The state in force: one immutable value that is replaced atomically. Readers take a reference and keep it for one
//! request.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use arc_swap::ArcSwap;
use elmtide::Ms;
use elmtide_dns::answer::Served;
use elmtide_dns::tcp;
use elmtide_ratelimit::Limits;
use elmtide_steering::{Net, PoolId};

use crate::edge::config::{EdgeConfig, FrontEntry};

/// The front that runs the requests of an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum Owner {
    Ours,
    Other(FrontEntry),
    /// This front from this moment on; until then the former owner may still be running a request of the key.
    NotYet(Ms),
}

impl Owner {
    /// Combines the owner by sites (`self`) with the owner by the file. If either of them requires waiting for a former
    /// owner, so does the result, until the later moment.
    pub fn with_later_handover(self, by_file: Owner) -> Owner {
        match (self, by_file) {
            (Owner::NotYet(one), Owner::NotYet(other)) => Owner::NotYet(one.max(other)),
            (Owner::Ours, Owner::NotYet(until)) => Owner::NotYet(until),
            (by_sites, _) => by_sites,
        }
    }
}

/// The configuration before a change of the fronts, and until when keys that other fronts owned in it are not taken
/// over.
#[derive(Clone, Debug)]
pub struct FormerFronts {
    pub config: Arc<EdgeConfig>,
    pub until: Ms,
}

/// The second front's configuration and everything derived from it.
#[derive(Clone, Debug)]
pub struct State {
    pub config: Arc<EdgeConfig>,
    /// The data that the name server answers from; `None` while the second front is off.
    pub served: Option<Served>,
    pub limits: Limits,
    pub tcp: tcp::Limits,
    pub all_fronts: PoolId,
    /// Set while this front drains: clients that still connect are served until then.
    pub drain_grace_until: Option<Ms>,
    pub former: Vec<FormerFronts>,
}

impl Default for State {
    fn default() -> State {
        State {
            config: Arc::default(),
            served: None,
            limits: Limits::default(),
            tcp: tcp::Limits::default(),
            all_fronts: PoolId(0),
            drain_grace_until: None,
            former: Vec::new(),
        }
    }
}

impl State {
    /// Whether this front has drained, so that it rejects new requests and redirects their clients.
    pub fn is_drained(&self, now: Ms) -> bool {
        self.drain_grace_until.is_some_and(|until| now > until)
    }

    /// The address of another front that this client should use instead.
    pub fn redirect_address(&self, client: IpAddr, own: &str) -> Option<SocketAddr> {
        let view = &self.served.as_ref()?.view;
        let client = Net::host(client);
        let chosen = [false, true].map(|v6| view.choose(self.all_fronts, client, v6));
        let others = || self.config.front.iter().filter(|f| f.name != own).flat_map(|f| &f.http);
        let mut ips = chosen.iter().flat_map(|c| c.iter());
        ips.find_map(|ip| others().find(|a| a.ip() == ip).copied())
    }

    /// The front that runs requests of this key now.
    pub fn owner(&self, key: &str, own: &str, now: Ms) -> Owner {
        match self.config.owner(key) {
            Some(owner) if owner.name != own => Owner::Other(owner.clone()),
            _ => {
                let owned_by_another =
                    |f: &&FormerFronts| f.until > now && f.config.owner(key).is_some_and(|o| o.name != own);
                match self.former.iter().find(owned_by_another) {
                    Some(former) => Owner::NotYet(former.until),
                    None => Owner::Ours,
                }
            }
        }
    }
}

/// The state in force.
pub struct InForce(Arc<ArcSwap<State>>);

/// A cached view of the state in force, for a thread that reads it very often.
pub type Reader = arc_swap::Cache<Arc<ArcSwap<State>>, Arc<State>>;

impl Default for InForce {
    fn default() -> InForce {
        InForce(Arc::new(ArcSwap::from_pointee(State::default())))
    }
}

impl InForce {
    /// The current state.
    pub fn now(&self) -> Arc<State> {
        self.0.load_full()
    }

    /// Replaces the state.
    pub fn set(&self, state: State) {
        self.0.store(Arc::new(state));
    }

    /// A cached view for one thread.
    pub fn reader(&self) -> Reader {
        arc_swap::Cache::new(self.0.clone())
    }
}

#[cfg(test)]
mod tests;
