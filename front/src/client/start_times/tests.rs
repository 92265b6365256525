use elmtide::{Availability, CellId, Event, KindId, ListUpdate, Listing, MemberId, Ms, ZoneId};

use super::StartTimes;

fn listing(member: u64, started_at: Option<Ms>, availability: Availability) -> Listing {
    let (zone, kind, cell) = (ZoneId(0), KindId(0), CellId(0));
    Listing { member: MemberId(member), weight: 1.0, zone, kind, cell, started_at, availability }
}

/// The converted start times of a list, for a front whose clock differs from Unix time by `offset`.
fn converted(
    times: &mut StartTimes,
    update: ListUpdate,
    entries: Vec<Listing>,
    offset: Ms,
) -> Vec<Option<Ms>> {
    let mut event = Event::List { update, entries };
    times.convert(&mut event, |unix_time| unix_time + offset);
    let Event::List { entries, .. } = event else { unreachable!() };
    entries.iter().map(|listing| listing.started_at).collect()
}

#[test]
fn a_start_time_is_converted_once_per_start_of_the_server() {
    let mut times = StartTimes::default();
    let mut start_after = |unix_time, offset| {
        converted(
            &mut times,
            ListUpdate::Delta,
            vec![listing(1, Some(unix_time), Availability::Ready)],
            offset,
        )
    };
    assert_eq!(start_after(100.0, 10.0), [Some(110.0)]);
    assert_eq!(start_after(100.0, 999.0), [Some(110.0)], "the same start, whatever the clocks say by now");
    assert_eq!(start_after(200.0, 20.0), [Some(220.0)]);
}

#[test]
fn a_missing_start_time_stays_missing() {
    let entries = vec![listing(1, None, Availability::Ready)];
    assert_eq!(converted(&mut StartTimes::default(), ListUpdate::Full, entries, 5.0), [None]);
}

#[test]
fn start_times_of_unlisted_servers_are_removed() {
    let mut times = StartTimes::default();
    let two_servers =
        || vec![listing(1, Some(1.0), Availability::Ready), listing(2, Some(2.0), Availability::Ready)];
    converted(&mut times, ListUpdate::Full, two_servers(), 0.0);
    converted(&mut times, ListUpdate::Delta, vec![listing(1, Some(1.0), Availability::Gone)], 0.0);
    assert_eq!(times.0.len(), 1);
    converted(&mut times, ListUpdate::Full, vec![listing(3, Some(3.0), Availability::Ready)], 0.0);
    assert_eq!(times.0.keys().collect::<Vec<_>>(), [&MemberId(3)]);
}
