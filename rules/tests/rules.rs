//! Each checker reports what violates its rule and nothing else.

use elmtide_rules::*;
use proptest::prelude::*;

fn violated_rules(observations: &[(Ms, Observation)], end: Ms) -> Vec<Rule> {
    let mut checker = RuleChecker::new(0.0);
    observations.iter().for_each(|(at, s)| checker.observe(*at, s.clone()));
    checker.finish(end).into_iter().map(|b| b.rule).collect()
}

#[test]
fn a_late_missing_or_second_answer_is_lost() {
    let requested = (0.0, Observation::Requested { request: 1, deadline: 100.0 });
    let answer = |at| (at, Observation::Answered { request: 1, copy: None });
    assert_eq!(violated_rules(&[requested.clone(), answer(99.0)], 500.0), []);
    assert_eq!(violated_rules(&[requested.clone(), answer(101.0)], 500.0), [Rule::Lost]);
    assert_eq!(violated_rules(std::slice::from_ref(&requested), 500.0), [Rule::Lost]);
    assert_eq!(violated_rules(std::slice::from_ref(&requested), 50.0), [], "before the deadline");
    assert_eq!(
        violated_rules(&[requested.clone(), (10.0, Observation::Abandoned { request: 1 })], 500.0),
        []
    );
    assert_eq!(violated_rules(&[requested, answer(10.0), answer(11.0)], 500.0), [Rule::Lost], "two answers");
}

#[test]
fn a_key_that_runs_again_is_reported_once() {
    let executed = |key| (1.0, Observation::Executed { key });
    assert_eq!(violated_rules(&[executed(1), executed(2)], 5.0), []);
    assert_eq!(violated_rules(&[executed(1), executed(1), executed(1)], 5.0), [Rule::DuplicateExecution]);
}

#[test]
fn work_for_a_draining_node_is_reported_after_the_grace_period() {
    let work = |at, node, source| (at, Observation::WorkAssigned { node, source });
    let draining = (100.0, Observation::DrainAnnounced { node: 7 });
    assert_eq!(violated_rules(&[draining.clone(), work(2099.0, 7, None)], 1e9), []);
    assert_eq!(violated_rules(&[draining.clone(), work(2101.0, 7, None)], 1e9), [Rule::WorkWhileDraining]);
    assert_eq!(
        violated_rules(&[draining.clone(), work(2101.0, 1, Some(7))], 1e9),
        [Rule::WorkWhileDraining],
        "a fill from the draining node"
    );
    let announced_again = (1000.0, Observation::DrainAnnounced { node: 7 });
    assert_eq!(
        violated_rules(&[draining.clone(), announced_again, work(2101.0, 7, None)], 1e9),
        [Rule::WorkWhileDraining],
        "the first announcement counts"
    );
    let resumed = (3000.0, Observation::ServiceResumed { node: 7 });
    assert_eq!(violated_rules(&[draining, resumed, work(3001.0, 7, None)], 1e9), []);
}

#[test]
fn a_cold_node_above_its_capacity_is_reported() {
    let started = (
        0.0,
        Observation::Started {
            node: 7,
            capacity: 40.0,
            initial_fraction: 0.25,
            window: 100.0,
            warm_after: 10_000.0,
        },
    );
    let work = |count: usize, at: f64| vec![(at, Observation::WorkAssigned { node: 7, source: None }); count];
    let after_start = |observations: Vec<(Ms, Observation)>| [vec![started.clone()], observations].concat();
    assert_eq!(violated_rules(&after_start(work(10, 1.0)), 1e9), []);
    assert_eq!(violated_rules(&after_start(work(11, 1.0)), 1e9), [Rule::ColdOverload]);
    assert_eq!(
        violated_rules(&after_start([work(10, 1.0), work(10, 102.0)].concat()), 1e9),
        [],
        "in another window"
    );
    assert_eq!(violated_rules(&after_start(work(25, 5000.0)), 1e9), [], "half warm");
    assert_eq!(violated_rules(&after_start(work(500, 10_001.0)), 1e9), [], "warm");
}

#[test]
fn a_copy_from_before_the_purge_is_reported_after_the_grace_period() {
    let purge = (1000.0, Observation::PurgeAnnounced { object: 7 });
    let answer = |at, made_at| (at, Observation::Answered { request: 1, copy: Some((7, made_at)) });
    assert_eq!(violated_rules(&[purge.clone(), answer(1999.0, 500.0)], 1e9), []);
    assert_eq!(violated_rules(&[purge.clone(), answer(2001.0, 500.0)], 1e9), [Rule::StaleAfterPurge]);
    assert_eq!(violated_rules(&[purge.clone(), answer(2001.0, 1500.0)], 1e9), []);
    let later = (3000.0, Observation::PurgeAnnounced { object: 7 });
    assert_eq!(
        violated_rules(&[later, purge, answer(4001.0, 1500.0)], 1e9),
        [Rule::StaleAfterPurge],
        "the latest purge counts"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Answers within their deadlines, made from fresh copies, are never reported.
    #[test]
    fn a_stream_that_keeps_the_rules_has_no_violations(
        requests in prop::collection::vec((0.0f64..1e5, 1.0f64..1000.0, 0.0f64..1.0), 0..100),
    ) {
        let mut checker = RuleChecker::new(0.0);
        for (n, (at, allowed, part)) in requests.iter().enumerate() {
            let request = n as u64;
            checker.observe(*at, Observation::Requested { request, deadline: at + allowed });
            checker.observe(*at, Observation::Executed { key: request });
            checker.observe(
                at + allowed * part,
                Observation::Answered { request, copy: Some((request % 3, *at)) },
            );
        }
        prop_assert!(checker.finish(1e9).is_empty());
    }
}
