//! A front that ends: what it was granted, and the machines that it sends to, are others' only once nothing of it is open.

use super::router_knowledge::Scenario;
use super::*;
use crate::fleet_link::FleetUpdate;
use crate::memory::mode::Mode;

/// Since when the front ends: long enough that it takes no more requests.
const ENDING_SINCE: Duration = Duration::from_secs(2);
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);

fn end(mode: &Mode) {
    mode.end(clock::uptime() - ENDING_SINCE, LONGEST_DEADLINE);
}

/// Guards against giving back budgets and machines while an attempt is in flight that rests on them.
#[test]
fn a_front_leaves_the_fleet_only_when_nothing_is_open() {
    let mut scenario = Scenario::new(false, false);
    let open = scenario.ask("", None, PurgeGroup(0));
    assert_eq!(open.len(), 1);
    let (confirm, confirmed) = bounded(1);
    scenario.engine.handle(Input::Fleet(FleetUpdate::Close(confirm)));
    assert!(confirmed.is_empty(), "requests are still admitted");
    end(&scenario.engine.counters.mode);
    scenario.engine.close_if_idle();
    assert!(confirmed.is_empty(), "an attempt is in flight");
    // Its client gives up; the node may still be working on it.
    scenario.engine.handle(Input::Abandoned(open[0].key.id));
    assert!(confirmed.is_empty(), "the attempt is still in flight");
    let copy = Some(ServedCopy { bytes: vec![], digest: None, client_has_it: false });
    let end = AttemptEnd::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
    scenario.engine.handle(Input::AttemptEnded { key: open[0].key, end });
    assert_eq!(confirmed.len(), 1, "nothing is open any more");
}

/// Guards against releasing a front's own machine while clients that were not sent away yet get answers there.
#[test]
fn the_machine_of_a_front_is_drained_only_when_it_takes_no_more_requests() {
    let mut scenario = Scenario::on_machine("s-1");
    scenario.put_under_maintenance(2, Some(elmtide_maintenance::Stage::Draining));
    assert!(!scenario.reports_drained(), "requests are still admitted");
    end(&scenario.engine.counters.mode);
    assert!(scenario.reports_drained());
}
