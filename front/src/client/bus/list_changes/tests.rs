use std::collections::{BTreeMap, BTreeSet};

use elmtide::{Availability, CellId, KindId, MemberId, ZoneId};
use proptest::prelude::*;

use super::*;
use crate::memory::announced::Announced;
use crate::memory::members::Members;

/// One server of a change: which one, its port, start time and availability.
type Server = (u64, u16, bool, Availability);

fn change(servers: &[Server]) -> Input {
    let (entries, members) = servers
        .iter()
        .map(|(id, port, is_late, availability)| {
            let (member, started_at) = (MemberId(*id), is_late.then_some(5.0));
            let listing = Listing {
                member,
                weight: 1.0,
                zone: ZoneId(0),
                kind: KindId(0),
                cell: CellId(0),
                started_at,
                availability: *availability,
            };
            let addr = Some(([127, 0, 0, 1], *port).into());
            let gone = *availability == Availability::Gone;
            (listing, MemberUpdate { member, name: "s".into(), addr, started_at, gone })
        })
        .unzip();
    Input::MembersListed {
        from: ListSource::Bus,
        members_update: MembersUpdate { full: false, members },
        event: Event::List { update: ListUpdate::Delta, entries },
    }
}

/// What a change leaves behind.
#[derive(Debug, Default)]
struct State {
    listings: BTreeMap<MemberId, Listing>,
    members: Members,
    announced: Announced,
    /// Servers to which connections that were open before had to be closed, since their process has gone.
    retired: BTreeSet<MemberId>,
}

impl State {
    fn apply(&mut self, input: &Input) {
        let Input::MembersListed { members_update, event, .. } = input else { panic!("a list") };
        let Event::List { entries, .. } = event else { panic!("a list") };
        self.announced.heard(members_update, event, 1.0);
        for (listing, member) in entries.iter().zip(&members_update.members) {
            let earlier_addr = self.members.get(member.member).map(|earlier| earlier.addr);
            let earlier = self.listings.insert(listing.member, *listing);
            let is_replaced = earlier_addr != Some(member.addr)
                || earlier.is_none_or(|earlier| earlier.started_at != listing.started_at);
            if is_replaced || member.gone {
                self.retired.insert(member.member);
            }
            self.members.learn(member);
        }
    }
}

/// Merges changes as they would be merged between two reads.
fn merged(changes: &[Vec<Server>]) -> Vec<Input> {
    let (mut buffer, mut out) = (ListChanges::default(), Vec::new());
    for servers in changes {
        if let Err(input) = buffer.merge(change(servers)) {
            out.extend(buffer.take());
            out.extend(buffer.merge(input).err());
        }
    }
    out.extend(buffer.take());
    out
}

#[test]
fn a_release_becomes_few_changes() {
    let (ready, draining, gone) = (Availability::Ready, Availability::Draining, Availability::Gone);
    let replacement = |n: u64| {
        let port = n as u16;
        [
            vec![(n, port, false, draining)],
            vec![(n + 1000, port + 1000, true, ready)],
            vec![(n, port, false, gone)],
        ]
    };
    let changes: Vec<Vec<Server>> = (1..=200).flat_map(replacement).collect();
    assert_eq!(merged(&changes).len(), 1);
    let large: Vec<Vec<Server>> = (0..2000).map(|n| vec![(n, 1, false, gone)]).collect();
    assert_eq!(merged(&large).len(), 2000usize.div_ceil(MAX_MERGED_SERVERS));
}

#[test]
fn a_full_list_and_a_purge_are_passed_on_after_what_is_merged() {
    let mut buffer = ListChanges::default();
    assert!(buffer.merge(change(&[(1, 1, false, Availability::Ready)])).is_ok());
    let purge = Input::Purged { object: None, group: elmtide::PurgeGroup(1), at: 1.0 };
    assert!(buffer.merge(purge).is_err());
    let Input::MembersListed { from, event, .. } = change(&[]) else { panic!("a list") };
    let full = MembersUpdate { full: true, members: Vec::new() };
    assert!(buffer.merge(Input::MembersListed { from, members_update: full, event }).is_err());
    assert!(buffer.take().is_some() && buffer.take().is_none());
}

fn drawn_server() -> impl Strategy<Value = Server> {
    let availability =
        prop_oneof![Just(Availability::Ready), Just(Availability::Draining), Just(Availability::Gone)];
    (0..4u64, 1..4u16, any::<bool>(), availability)
}

proptest! {
    #[test]
    fn merged_changes_leave_what_their_parts_leave(
        changes in prop::collection::vec(prop::collection::vec(drawn_server(), 0..3), 0..20),
    ) {
        let (mut one_by_one, mut at_once) = (State::default(), State::default());
        let listed: Vec<Server> = (0..4).map(|id| (id, 1, false, Availability::Ready)).collect();
        for state in [&mut one_by_one, &mut at_once] {
            state.apply(&change(&listed));
            state.retired.clear();
        }
        changes.iter().for_each(|servers| one_by_one.apply(&change(servers)));
        merged(&changes).iter().for_each(|input| at_once.apply(input));
        prop_assert_eq!(format!("{one_by_one:?}"), format!("{at_once:?}"));
    }
}
