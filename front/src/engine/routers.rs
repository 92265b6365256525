//! The routers of the process: the one or, with cells, those that take requests, and those that were replaced and still
//! have requests open.
//!
//! Invariant: from its first decision to its last a router knows all of [`RouterKnowledge`] that concerns its servers.
//! A router is created in one place, which hands all of it over; afterwards every change goes to every router, whether
//! it takes requests or was replaced.

use std::collections::{BTreeSet, HashSet};

use elmtide::{Action, Event, ListUpdate, Listing, MemberId, Ms, Router, ServerHistories, Settings};

use super::router_knowledge::RouterKnowledge;

/// The most routers at a time. Replaced ones remain for as long as a request lasts that was given to them.
pub const MAX_ROUTERS: usize = 512;

/// What has been learned of a server's health is of use for about this long.
const MIN_HISTORY_MS: Ms = 10_000.0;

/// Too many routers have requests open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{MAX_ROUTERS} routers still have requests open: try again in a moment")]
pub struct TooManyRouters;

/// Which of the listed servers a router uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouterScope {
    /// All of them.
    AllServers,
    /// Those of a cell or a shard; the name tells scopes apart.
    Named(String),
}

/// What distinguishes a router from others.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSpec {
    pub scope: RouterScope,
    pub settings: Settings,
}

/// All that a router must know when it comes to take requests, collected at one moment.
#[derive(Debug)]
pub struct Handover<'a> {
    knowledge: &'a RouterKnowledge,
    /// What all routers of the process have learned of the servers, those that are gone included.
    histories: ServerHistories,
    now: Ms,
}

/// The members that an update of the list concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangedMembers {
    All,
    Some(Vec<MemberId>),
}

impl ChangedMembers {
    /// Those of a list event.
    pub fn of(event: &Event) -> ChangedMembers {
        match event {
            Event::List { update: ListUpdate::Delta, entries } => {
                ChangedMembers::Some(entries.iter().map(|listing| listing.member).collect())
            }
            _ => ChangedMembers::All,
        }
    }
}

/// Whether a router takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Current,
    /// It decides on the requests that it still has open.
    Replaced,
}

#[derive(Debug)]
struct Slot {
    router: Router,
    role: Role,
    scope: RouterScope,
    settings: Settings,
    /// The servers of its last full list, where it uses a part of them.
    listed: BTreeSet<MemberId>,
}

/// All routers, by index. The index of a router that is gone is used again.
#[derive(Debug)]
pub struct RouterSet {
    seed: u64,
    slots: Vec<Option<Slot>>,
}

impl RouterSet {
    /// No routers yet. They all use the same seed, so that they build their tables alike.
    pub fn new(seed: u64) -> RouterSet {
        RouterSet { seed, slots: Vec::new() }
    }

    /// The number of indices in use.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// The indices of all routers.
    pub fn indices(&self) -> Vec<usize> {
        (0..self.slots.len()).filter(|index| self.slots[*index].is_some()).collect()
    }

    /// Whether there is room for so many more routers.
    pub fn has_room_for(&self, count: usize) -> Result<(), TooManyRouters> {
        match self.slots.iter().flatten().count() + count > MAX_ROUTERS {
            true => Err(TooManyRouters),
            false => Ok(()),
        }
    }

    /// The router that takes requests and was created by this specification.
    pub fn find_current(&self, spec: &RouterSpec) -> Option<usize> {
        let is_it = |slot: &Slot| {
            slot.role == Role::Current && slot.scope == spec.scope && slot.settings == spec.settings
        };
        self.slots.iter().position(|slot| slot.as_ref().is_some_and(is_it))
    }

    /// Creates a router that takes requests, with all that the process knows. Returns its index; what it orders is added
    /// to `actions`.
    pub fn create(
        &mut self,
        spec: RouterSpec,
        list: Vec<Listing>,
        handover: &Handover,
        actions: &mut Vec<Action>,
    ) -> usize {
        let RouterSpec { scope, settings } = spec;
        let mut router = Router::new(settings.clone(), self.seed, handover.now, actions);
        router.adopt_purges(&handover.knowledge.purges);
        router.adopt_histories(&handover.histories, handover.now);
        let slot = Slot { router, role: Role::Current, scope, settings, listed: BTreeSet::new() };
        let index = match self.slots.iter().position(Option::is_none) {
            Some(index) => index,
            None => {
                self.slots.push(None);
                self.slots.len() - 1
            }
        };
        self.slots[index] = Some(slot);
        self.replace_list(index, list, handover, actions);
        index
    }

    /// Gives a router that takes requests its full list, with what the process knows of the servers that are new to it.
    pub fn replace_list(
        &mut self,
        index: usize,
        list: Vec<Listing>,
        handover: &Handover,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.slots.get_mut(index).and_then(Option::as_mut) else { return };
        slot.listed = list.iter().map(|listing| listing.member).collect();
        slot.router.adopt_histories(&handover.histories, handover.now);
        let event = Event::List { update: ListUpdate::Full, entries: list };
        slot.router.handle(handover.now, event, actions);
        for (member, fronts) in &handover.knowledge.slow_start_fronts {
            slot.router.divide_cold_budget(*member, Some(*fronts));
        }
    }

    /// What a router that comes to take requests, or gets other servers, has to be given now.
    pub fn handover<'a>(&self, knowledge: &'a RouterKnowledge, now: Ms) -> Handover<'a> {
        let mut histories = knowledge.past_histories.clone();
        self.slots.iter().flatten().for_each(|slot| histories.merge(slot.router.server_histories()));
        Handover { knowledge, histories, now }
    }

    /// Whether a full list has a server that the router's last one had not.
    pub fn gains_server(&self, index: usize, list: &[Listing]) -> bool {
        self.slot(index).is_some_and(|slot| list.iter().any(|l| !slot.listed.contains(&l.member)))
    }

    /// The router takes no more requests.
    pub fn replace(&mut self, index: usize) {
        if let Some(slot) = self.slots.get_mut(index).and_then(Option::as_mut) {
            slot.role = Role::Replaced;
        }
    }

    /// All routers but these take no more requests.
    pub fn replace_all_but(&mut self, kept: &[usize]) {
        (0..self.slots.len()).filter(|index| !kept.contains(index)).for_each(|index| self.replace(index));
    }

    /// Removes the replaced routers that have no requests, given those that have some.
    pub fn remove_idle(&mut self, in_use: &HashSet<usize>, knowledge: &mut RouterKnowledge, now: Ms) {
        for (index, place) in self.slots.iter_mut().enumerate() {
            let is_idle = |slot: &mut Slot| slot.role == Role::Replaced && !in_use.contains(&index);
            let Some(slot) = place.take_if(is_idle) else { continue };
            let window = slot.settings.overload_window.unwrap_or(0.0);
            knowledge.past_histories.merge(slot.router.server_histories());
            knowledge.past_histories.forget_before(now - window.max(MIN_HISTORY_MS));
        }
    }

    /// The full list of a replaced router that uses a part of the servers, if any of these is among them: those that it
    /// had, as they are now.
    pub fn list_of_replaced(
        &self,
        index: usize,
        changed: &ChangedMembers,
        knowledge: &RouterKnowledge,
    ) -> Option<Vec<Listing>> {
        let slot = self.slot(index)?;
        let is_concerned = match changed {
            ChangedMembers::All => true,
            ChangedMembers::Some(members) => members.iter().any(|member| slot.listed.contains(member)),
        };
        if slot.role == Role::Current || slot.scope == RouterScope::AllServers || !is_concerned {
            return None;
        }
        let members: Vec<MemberId> = slot.listed.iter().copied().collect();
        Some(knowledge.endpoints.effective_listings(&members))
    }

    /// Whether the last full list of any router has this server.
    pub fn lists(&self, member: MemberId) -> bool {
        self.slots.iter().flatten().any(|slot| slot.listed.contains(&member))
    }

    /// Whether the router uses all servers.
    pub fn uses_all_servers(&self, index: usize) -> bool {
        self.slot(index).is_some_and(|slot| slot.scope == RouterScope::AllServers)
    }

    /// The router, prepared for a decision at this time; `None` if it is gone.
    pub fn prepare(&mut self, index: usize, knowledge: &RouterKnowledge, now: Ms) -> Option<&mut Router> {
        let slot = self.slots.get_mut(index).and_then(Option::as_mut)?;
        let divisor = match slot.role {
            Role::Current => knowledge.process_divisor(&slot.settings, now),
            // The routers that take requests use the whole budget.
            Role::Replaced => f64::INFINITY,
        };
        slot.router.divide_among_processes(divisor);
        Some(&mut slot.router)
    }

    /// Gives all routers the division of a slow-start budget.
    pub fn divide_cold_budget(&mut self, member: MemberId, fronts: Option<f64>) {
        self.slots.iter_mut().flatten().for_each(|slot| slot.router.divide_cold_budget(member, fronts));
    }

    fn slot(&self, index: usize) -> Option<&Slot> {
        self.slots.get(index).and_then(Option::as_ref)
    }
}
