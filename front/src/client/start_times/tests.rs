use elmtide::{Availability, CellId, Event, KindId, ListUpdate, Listing, MemberId, Ms, ZoneId};

use super::StartTimes;

fn listing(member: u64, started_at: Option<Ms>, availability: Availability) -> Listing {
    let (zone, kind, cell) = (ZoneId(0), KindId(0), CellId(0));
    Listing { member: MemberId(member), weight: 1.0, zone, kind, cell, started_at, availability }
}

/// Where the starts of a list lie for a front whose line is so far from the stamps.
fn placed(times: &mut StartTimes, update: ListUpdate, entries: Vec<Listing>, offset: Ms) -> Vec<Option<Ms>> {
    let mut event = Event::List { update, entries };
    times.place(&mut event, |stamp| stamp + offset);
    let Event::List { entries, .. } = event else { unreachable!() };
    entries.iter().map(|listing| listing.started_at).collect()
}

#[test]
fn a_start_is_placed_once_and_again_when_the_server_starts_again() {
    let mut times = StartTimes::default();
    let mut told = |stamp, offset| {
        placed(&mut times, ListUpdate::Delta, vec![listing(1, Some(stamp), Availability::Ready)], offset)
    };
    assert_eq!(told(100.0, 10.0), [Some(110.0)]);
    assert_eq!(told(100.0, 999.0), [Some(110.0)], "the same start, whatever the clocks say by now");
    assert_eq!(told(200.0, 20.0), [Some(220.0)]);
}

#[test]
fn a_start_that_is_not_stamped_stays_so() {
    let entries = vec![listing(1, None, Availability::Ready)];
    assert_eq!(placed(&mut StartTimes::default(), ListUpdate::Full, entries, 5.0), [None]);
}

#[test]
fn servers_that_are_gone_are_forgotten() {
    let mut times = StartTimes::default();
    let two = || vec![listing(1, Some(1.0), Availability::Ready), listing(2, Some(2.0), Availability::Ready)];
    placed(&mut times, ListUpdate::Full, two(), 0.0);
    placed(&mut times, ListUpdate::Delta, vec![listing(1, Some(1.0), Availability::Gone)], 0.0);
    assert_eq!(times.0.len(), 1);
    placed(&mut times, ListUpdate::Full, vec![listing(3, Some(3.0), Availability::Ready)], 0.0);
    assert_eq!(times.0.keys().collect::<Vec<_>>(), [&MemberId(3)]);
}
