//! Selection of fronts under lost, draining, shedding and flapping fronts, and with overlapping client networks.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use elmtide_steering::*;
use proptest::prelude::*;

const POOL: PoolId = PoolId(0);

fn address(n: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, n).into()
}

/// Two branches of three fronts each, 10.0/16 and 10.1/16; the first branch overflows to the second.
fn layout() -> Layout {
    let front = |n: u16| Front { name: format!("n{n}"), branch: BranchId(n / 3), weight: 1.0 };
    let branch = |name: &str, overflow| Branch { name: name.into(), overflow };
    let subnet = |net: &str, b| Subnet { net: net.parse().unwrap(), branch: BranchId(b) };
    Layout::new(
        (0..6).map(front).collect(),
        vec![branch("east", Some(BranchId(1))), branch("west", None)],
        vec![subnet("10.0.0.0/16", 0), subnet("10.1.0.0/16", 1), subnet("10.0.7.128/25", 1)],
        vec![Pool {
            members: (0..6).map(|n| (address(n), Some(FrontId(u16::from(n))))).collect(),
            answers: 2,
        }],
        Policy::default(),
    )
    .unwrap()
}

fn client(third: u8, fourth: u8) -> Net {
    Net::host(Ipv4Addr::new(10, third, fourth, 9).into())
}

fn first_address(view: &View, net: Net) -> IpAddr {
    view.choose(POOL, net, false).addresses()[0]
}

fn report_all_serving(steering: &mut Steering, now: Ms) {
    for n in 0..6 {
        steering.report(FrontId(n), Condition::Serving { shed: 0.0 }, now);
    }
    steering.tick(now);
}

fn first_addresses(view: &View) -> BTreeMap<u8, IpAddr> {
    (0..=255).map(|n| (n, first_address(view, client(0, n)))).collect()
}

/// The loss of a front moves only its own networks, and they return to it after it recovers.
#[test]
fn losing_a_front_moves_only_its_own_networks() {
    let mut steering = Steering::new(layout(), 7, 0.0);
    let before = first_addresses(&steering.view());
    let lost = before[&1];
    let id = FrontId((0..6).find(|n| address(*n) == lost).unwrap().into());
    steering.report(id, Condition::NotReady, 10.0);
    let during = first_addresses(&steering.view());
    for (net, was) in &before {
        match *was == lost {
            true => assert_ne!(during[net], lost),
            false => assert_eq!(during[net], *was, "network {net} moved although its front was not lost"),
        }
    }
    for now in [20.0, 2000.0, 3100.0] {
        steering.report(id, Condition::Serving { shed: 0.0 }, now);
    }
    assert_eq!(first_addresses(&steering.view()), before);
}

/// A draining front is gone from the next answer; good reports bring it back only after the settling time.
#[test]
fn a_draining_front_is_deselected_at_once_and_returns_after_the_settling_time() {
    let mut steering = Steering::new(layout(), 7, 0.0);
    let is_selected = |s: &Steering| {
        let view = s.view();
        (0..=255).any(|n| first_address(&view, client(0, n)) == address(1))
    };
    assert!(is_selected(&steering));
    steering.report(FrontId(1), Condition::Draining, 1.0);
    assert!(!is_selected(&steering));
    for now in [100.0, 1500.0, 3000.0] {
        steering.report(FrontId(1), Condition::Serving { shed: 0.0 }, now);
        assert!(!is_selected(&steering), "selected again too early, at {now}");
    }
    steering.report(FrontId(1), Condition::NotReady, 3050.0);
    steering.report(FrontId(1), Condition::Serving { shed: 0.0 }, 3100.0);
    assert!(!is_selected(&steering), "a bad report restarts the settling time");
    steering.report(FrontId(1), Condition::Serving { shed: 0.0 }, 6100.0);
    assert!(is_selected(&steering));
}

/// Reports that alternate between good and bad ten times a second do not bring the front back, so answers do not flap.
#[test]
fn flapping_reports_change_the_answers_only_once() {
    let mut steering = Steering::new(layout(), 7, 0.0);
    let mut changes = 0;
    let mut last = first_addresses(&steering.view());
    for n in 1..200 {
        let condition = if n % 2 == 0 { Condition::Serving { shed: 0.0 } } else { Condition::NotReady };
        steering.report(FrontId(0), condition, f64::from(n) * 100.0);
        let now = first_addresses(&steering.view());
        changes += usize::from(now != last);
        last = now;
    }
    assert_eq!(changes, 1);
}

/// If all fronts are silent, they are selected as a last resort: a name server that has lost contact with its fronts
/// must not make the whole installation unreachable. Draining fronts are not selected even then.
#[test]
fn if_all_fronts_are_silent_those_not_draining_are_the_last_resort() {
    let mut steering = Steering::new(layout(), 7, 0.0);
    steering.report(FrontId(2), Condition::Draining, 1.0);
    steering.tick(10_000.0);
    let view = steering.view();
    let selection = view.choose(POOL, client(0, 3), false);
    assert_eq!(selection.kind, SelectionKind::LastResort);
    assert!(!selection.addresses().is_empty() && !selection.addresses().contains(&address(2)));
    for n in 0..6 {
        steering.report(FrontId(n), Condition::Draining, 10_001.0);
    }
    assert_eq!(steering.view().choose(POOL, client(0, 3), false).kind, SelectionKind::Empty);
}

/// Shedding moves some of the networks to the overflow branch, always the same ones, and back step by step.
#[test]
fn shedding_moves_networks_to_the_overflow_branch_and_back_in_steps() {
    let mut steering = Steering::new(layout(), 7, 0.0);
    let overflowed = |s: &Steering| {
        let view = s.view();
        (0..=255u8)
            .filter(|n| *n != 7 && (3..6).any(|f| first_address(&view, client(0, *n)) == address(f)))
            .count()
    };
    report_all_serving(&mut steering, 1.0);
    assert_eq!(overflowed(&steering), 0);
    for n in 0..3 {
        steering.report(FrontId(n), Condition::Serving { shed: 0.04 }, 2.0);
    }
    steering.tick(2.0);
    assert_eq!(overflowed(&steering), 0, "shedding below the threshold moves no networks");
    for n in 0..3 {
        steering.report(FrontId(n), Condition::Serving { shed: 0.6 }, 3.0);
    }
    steering.tick(3.0);
    let peak = overflowed(&steering);
    assert!((90..170).contains(&peak), "about half of the networks: {peak}");
    let (mut now, mut last) = (4.0, peak);
    while now < 60_000.0 {
        report_all_serving(&mut steering, now);
        assert!(overflowed(&steering) <= last, "the overflow only shrinks");
        last = overflowed(&steering);
        now += 500.0;
    }
    assert_eq!(last, 0);
    assert!(first_address(&steering.view(), client(1, 3)) != first_address(&steering.view(), client(0, 3)));
}

/// The clients of a lost branch go to its overflow branch, or to any branch if it has none.
#[test]
fn clients_of_a_lost_branch_go_to_its_overflow_branch_or_to_any() {
    let mut steering = Steering::new(layout(), 7, 0.0);
    for n in 0..3 {
        steering.report(FrontId(n), Condition::NotReady, 1.0);
    }
    steering.tick(1.0);
    assert!(first_addresses(&steering.view()).values().all(|a| (3..6).any(|n| address(n) == *a)));
    let mut steering = Steering::new(layout(), 7, 0.0);
    for n in 3..6 {
        steering.report(FrontId(n), Condition::NotReady, 1.0);
    }
    steering.tick(1.0);
    assert!(
        (0..3).any(|n| address(n) == first_address(&steering.view(), client(1, 3))),
        "west has no overflow branch"
    );
}

/// The longest prefix applies, and the scope covers the bits that the selection depends on.
#[test]
fn the_scope_covers_the_bits_that_the_selection_depends_on() {
    let view = Steering::new(layout(), 7, 0.0).view();
    assert_eq!(view.choose(POOL, client(0, 200), false).scope, 24);
    // 10.0.7.0/24 is split at bit 25.
    assert_eq!(view.choose(POOL, client(0, 7), false).scope, 25);
    let upper = Net::host("10.0.7.200".parse().unwrap());
    assert!(
        (3..6).any(|n| address(n) == first_address(&view, upper)),
        "the longer prefix belongs to the west"
    );
    let one = Pool { members: vec![(address(1), None)], answers: 1 };
    let single = Layout::new(vec![], vec![], vec![], vec![one], Policy::default()).unwrap();
    assert_eq!(Steering::new(single, 7, 0.0).view().choose(POOL, upper, false).scope, 0);
}

/// A new layout keeps draining fronts; a clock that goes back changes nothing.
#[test]
fn a_new_layout_does_not_bring_a_draining_front_back() {
    let mut steering = Steering::new(layout(), 7, 5000.0);
    steering.report(FrontId(4), Condition::Draining, 5001.0);
    steering.apply_layout(layout(), 10.0);
    steering.tick(0.0);
    let view = steering.view();
    assert!((0..=255).all(|n| !view.choose(POOL, client(1, n), false).addresses().contains(&address(4))));
}

#[test]
fn invalid_layouts_and_networks_are_refused() {
    let front = |weight| Front { name: "n".into(), branch: BranchId(0), weight };
    let east = || vec![Branch { name: "east".into(), overflow: None }];
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert!(Layout::new(vec![front(weight)], east(), vec![], vec![], Policy::default()).is_err());
    }
    let overflows_to_itself = vec![Branch { name: "east".into(), overflow: Some(BranchId(0)) }];
    assert!(Layout::new(vec![], overflows_to_itself, vec![], vec![], Policy::default()).is_err());
    let duplicates = vec![(address(1), None), (address(1), None)];
    let pool = Pool { members: duplicates, answers: 1 };
    assert!(Layout::new(vec![], east(), vec![], vec![pool], Policy::default()).is_err());
    let policy = Policy { spill_step: 0.0, ..Policy::default() };
    assert!(Layout::new(vec![], east(), vec![], vec![], policy).is_err());
    for bad in ["10.0.0.1/24", "10.0.0.0/33", "x/8", "::1/129"] {
        assert!(bad.parse::<Net>().is_err(), "{bad}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any reports at any times: draining fronts are never selected, an answer has no duplicate address, and a
    /// client of the same scope gets the same answer.
    #[test]
    fn no_reports_make_an_answer_name_draining_fronts_or_contradict_its_scope(
        seed: u64,
        reports in prop::collection::vec((0u16..7, 0u8..3, prop::num::f64::ANY, 0.0f64..5000.0), 0..60),
        (third, fourth, last) in (0u8..3, any::<u8>(), any::<u8>()),
    ) {
        let mut steering = Steering::new(layout(), seed, 0.0);
        let (mut now, mut draining) = (0.0, [false; 6]);
        for (front, kind, shed, delay) in reports {
            now += delay;
            let condition = match kind {
                0 => Condition::Draining,
                1 => Condition::NotReady,
                _ => Condition::Serving { shed },
            };
            steering.report(FrontId(front), condition, now);
            steering.tick(now);
            if let Some(is_draining) = draining.get_mut(usize::from(front)) {
                *is_draining = match kind { 0 => true, 1 => *is_draining, _ => false };
            }
        }
        let view = steering.view();
        let net = Net::host(Ipv4Addr::new(10, third, fourth, last).into());
        let selection = view.choose(POOL, net, false);
        for (n, is_draining) in draining.iter().enumerate() {
            prop_assert!(!(*is_draining && selection.addresses().contains(&address(n as u8))));
        }
        let mut sorted = selection.addresses().to_vec();
        sorted.sort();
        sorted.dedup();
        prop_assert_eq!(sorted.len(), selection.addresses().len());
        prop_assert!(selection.addresses().len() <= 2);
        let scoped = net.truncated(selection.scope);
        let repeated = view.choose(POOL, scoped, false);
        prop_assert_eq!(repeated.addresses(), selection.addresses());
    }

    /// A front with twice the weight gets about twice the networks.
    #[test]
    fn fronts_get_networks_in_proportion_to_their_weights(seed: u64) {
        let front = |n: u16, weight| Front { name: format!("n{n}"), branch: BranchId(0), weight };
        let pool = Pool {
            members: vec![(address(0), Some(FrontId(0))), (address(1), Some(FrontId(1)))],
            answers: 1,
        };
        let branches = vec![Branch { name: "east".into(), overflow: None }];
        let layout =
            Layout::new(vec![front(0, 1.0), front(1, 2.0)], branches, vec![], vec![pool], Policy::default())
                .unwrap();
        let view = Steering::new(layout, seed, 0.0).view();
        let nets = (0..3000u32).map(|n| Net::host(Ipv4Addr::from_bits(n << 8).into()));
        let heavy = nets.filter(|n| first_address(&view, *n) == address(1)).count();
        prop_assert!((1850..2150).contains(&heavy), "{} of 3000", heavy);
    }
}
