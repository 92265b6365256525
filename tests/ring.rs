//! The ring table.

use elmtide::{MemberId, ObjectId, Ring};
use std::collections::BTreeMap;

fn members(weights: &[f64]) -> Vec<(MemberId, f64)> {
    weights.iter().enumerate().map(|(i, w)| (MemberId(1000 + 77 * i as u64), *w)).collect()
}

fn first_place_shares(ring: &Ring, objects: u64) -> BTreeMap<MemberId, f64> {
    let mut shares = BTreeMap::new();
    for object in 0..objects {
        *shares.entry(ring.group(ObjectId(object), 0)[0]).or_insert(0.0) += 1.0 / objects as f64;
    }
    shares
}

#[test]
fn groups_hold_distinct_members_for_any_size_and_weights() {
    let mut seed = 1u64;
    for n in 1..25 {
        let mut next = || {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            0.2 + (seed >> 40) as f64 / (1u64 << 24) as f64 * 5.0
        };
        let weights: Vec<f64> = (0..n).map(|_| next()).collect();
        let ring = Ring::build(&members(&weights));
        for object in 0..500 {
            let mut group = ring.group(ObjectId(object), (object % 7) as u32);
            assert_eq!(group.len(), n.min(3));
            group.sort();
            group.dedup();
            assert_eq!(group.len(), n.min(3), "a group of {n} repeats a member");
        }
    }
}

#[test]
fn first_places_follow_the_weights() {
    for weights in
        [vec![1.0; 4], vec![1.0, 2.0, 3.0, 4.0], vec![1.0, 1.0, 1.0], vec![8.0, 5.0, 6.0, 7.0, 9.0, 5.0]]
    {
        let list = members(&weights);
        let shares = first_place_shares(&Ring::build(&list), 20_000);
        let total: f64 = weights.iter().sum();
        for (id, weight) in &list {
            let (got, want) = (shares.get(id).copied().unwrap_or(0.0), weight / total);
            assert!((got - want).abs() < 0.25 * want + 0.02, "{weights:?}: {got} for {want}");
        }
    }
}

#[test]
fn a_small_ramp_weight_gets_a_small_share_even_where_the_group_is_everyone() {
    let shares = first_place_shares(&Ring::build(&members(&[6.0, 6.0, 1.0])), 20_000);
    let cold = shares[&MemberId(1000 + 2 * 77)];
    assert!((0.03..0.13).contains(&cold), "{cold}");
}

#[test]
fn the_same_list_in_any_order_gives_the_same_table() {
    let mut list = members(&[3.0, 1.0, 4.0, 1.5, 9.0]);
    let ring = Ring::build(&list);
    list.reverse();
    assert_eq!(ring, Ring::build(&list));
    list.swap(0, 2);
    assert_eq!(ring, Ring::build(&list));
}

#[test]
fn rings_of_few_members_invalid_weights_or_no_members_give_valid_groups() {
    assert!(Ring::build(&[]).group(ObjectId(1), 0).is_empty());
    assert!(Ring::build(&members(&[0.0, 0.0])).group(ObjectId(1), 0).is_empty());
    assert!(Ring::build(&members(&[f64::NAN, -1.0])).group(ObjectId(1), 0).is_empty());
    assert_eq!(Ring::build(&members(&[2.0])).group(ObjectId(5), 3).len(), 1);
    assert_eq!(Ring::build(&members(&[2.0, 0.0, 1.0])).group(ObjectId(5), 3).len(), 2);
    let giant = Ring::build(&members(&[1e30, 1.0, 1.0, 1.0]));
    let shares = first_place_shares(&giant, 2000);
    assert!(shares[&MemberId(1000)] > 0.9);
}

#[test]
fn parts_of_an_object_share_its_group_in_different_orders() {
    let ring = Ring::build(&members(&[1.0; 6]));
    for object in 0..200 {
        let mut whole = ring.group(ObjectId(object), 0);
        whole.sort();
        let mut firsts = std::collections::BTreeSet::new();
        for part in 0..30 {
            let mut group = ring.group(ObjectId(object), part);
            firsts.insert(group[0]);
            group.sort();
            assert_eq!(group, whole);
        }
        assert_eq!(firsts.len(), 3, "parts of one object start at every member of its group");
    }
}

#[test]
fn subframes_meet_the_papers_condition() {
    let epsilon = 0.5f64;
    for n in 2..14 {
        let starts = Ring::build(&members(&vec![1.0; n])).starts;
        let end = |f: usize| starts.get(f + 1).copied().unwrap_or(1.0);
        assert!(starts[0] == 0.0 && starts.windows(2).all(|w| w[0] < w[1]), "sorted from 0");
        // Starts made by halving are multiples of 1/4096, as there are at most 12 halvings. All other starts are frame
        // borders, one per member.
        let borders: Vec<f64> = starts.iter().copied().filter(|s| (s * 4096.0).fract() != 0.0).collect();
        assert_eq!(borders.len(), n);
        for (f, start) in starts.iter().enumerate() {
            let length = end(f) - start;
            for w in 0..n {
                let next = borders[(w + 1) % n];
                let frame = (next - borders[w]).rem_euclid(1.0);
                if (start - borders[w]).rem_euclid(1.0) < frame {
                    continue; // its own frame
                }
                let distance = (start - next).rem_euclid(1.0);
                let (mut k, mut sum) = (0, 0.0);
                while sum <= distance + 1e-12 {
                    k += 1;
                    sum += if k > 1 { epsilon * (1.0 + epsilon).powi(k - 1) * frame } else { 0.0 };
                }
                // The loop ends at the first k that is too large.
                let bound = epsilon * (1.0 + epsilon).powi(k - 1) * frame;
                assert!(
                    length <= bound * 1.0001 || length <= 1.0 / 4096.0,
                    "{n} members: {length} over {bound}"
                );
            }
        }
    }
}
