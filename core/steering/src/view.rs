//! The state that answers are selected from, and the selection of addresses.

use std::net::IpAddr;

use crate::net::mix;
use crate::{BranchId, Layout, Net, PoolId, Subnet};

/// Maximum number of addresses in one answer.
pub const MAX_ANSWER_ADDRESSES: usize = 64;

/// When a front may be selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Eligibility {
    Serving,
    LastResort,
    Never,
}

#[derive(Clone, Debug, PartialEq)]
struct Member {
    address: IpAddr,
    /// The same for all addresses of a front, so that they are selected together.
    owner_hash: u64,
    weight: f64,
    branch: Option<BranchId>,
    eligibility: Eligibility,
}

#[derive(Clone, Debug, PartialEq)]
struct PoolMembers {
    members: Vec<Member>,
    answers: usize,
    /// Whether every client gets the same answer.
    is_same_for_all: bool,
}

/// Everything that an answer depends on. It is immutable: a change creates a new one.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pools: Vec<PoolMembers>,
    subnets: Vec<Subnet>,
    overflow_branches: Vec<Option<BranchId>>,
    overflow_fractions: Vec<f64>,
    failover_routes: Vec<Option<FailoverRoute>>,
    client_bits: (u8, u8),
    seed: u64,
}

/// Where the clients of a branch go by the failover plan in force, in place of the usual rule of home branch and
/// overflow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverRoute {
    /// The fraction of its networks that stay at the branch. At 0 none of its fronts is selected for any client.
    pub home_fraction: f64,
    /// The branches that share the displaced networks, each with the end of its interval between 0 and 1. The ends are
    /// in ascending order; the last one is 1.
    pub targets: Vec<(BranchId, f64)>,
}

impl FailoverRoute {
    fn branch(&self, home: BranchId, draw: f64) -> BranchId {
        if draw < self.home_fraction {
            return home;
        }
        let position = (draw - self.home_fraction) / (1.0 - self.home_fraction).max(1e-9);
        self.targets
            .iter()
            .find(|(_, interval_end)| position < *interval_end)
            .or(self.targets.last())
            .map_or(home, |(target, _)| *target)
    }
}

/// Which fronts a selection was made from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionKind {
    /// Fronts that take new clients.
    Serving,
    /// No front is known to serve; the selected ones are at least not draining.
    LastResort,
    /// All fronts drain or are lost, or the name has no address of the type.
    Empty,
}

/// The selected addresses, the best one first. It is created for each answer, and holds no allocation.
#[derive(Clone, Copy, Debug)]
pub struct Selection<'v> {
    members: &'v [Member],
    indexes: [u8; MAX_ANSWER_ADDRESSES],
    count: usize,
    pub kind: SelectionKind,
    /// Leading bits of the client's address that the selection depends on (RFC 7871, section 7.2.1).
    pub scope: u8,
}

impl Selection<'_> {
    pub fn iter(&self) -> impl Iterator<Item = IpAddr> + '_ {
        self.indexes[..self.count].iter().map(|index| self.members[usize::from(*index)].address)
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The addresses as a vector, for callers that may allocate.
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.iter().collect()
    }
}

/// FNV-1a. Fronts are identified by name, so that a reordered list of fronts moves no clients.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xCBF2_9CE4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01B3))
}

/// Weighted rendezvous hashing: the member with the highest score is selected. Its probability is its share of the
/// total weight.
fn rendezvous_score(key: u64, owner_hash: u64, weight: f64) -> f64 {
    // 53 bits, strictly between 0 and 1.
    let fraction = ((mix(key ^ owner_hash) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / fraction.ln()
}

/// Keeps the numbers for failover independent of a network's other numbers.
const FAILOVER_SALT: u64 = 0xA3A1;

/// A number from 0 to below 1 that a network's hash and a salt determine.
fn unit_hash(key: u64, salt: u64) -> f64 {
    (mix(key ^ salt) >> 11) as f64 / (1u64 << 53) as f64
}

impl View {
    pub(crate) fn new(
        layout: &Layout,
        seed: u64,
        eligibility: Vec<Eligibility>,
        overflow_fractions: Vec<f64>,
        failover_routes: Vec<Option<FailoverRoute>>,
    ) -> View {
        let pools = layout.pools().iter().map(|pool| {
            let members = pool.members.iter().map(|(address, front)| match front {
                Some(id) => {
                    let front = &layout.fronts()[usize::from(id.0)];
                    Member {
                        address: *address,
                        owner_hash: name_hash(&front.name),
                        weight: front.weight,
                        branch: Some(front.branch),
                        eligibility: eligibility[usize::from(id.0)],
                    }
                }
                None => Member {
                    address: *address,
                    owner_hash: name_hash(&address.to_string()),
                    weight: 1.0,
                    branch: None,
                    eligibility: Eligibility::Serving,
                },
            });
            let members: Vec<Member> = members.collect();
            let is_same_for_all = members.len() <= 1;
            PoolMembers { members, answers: pool.answers.min(MAX_ANSWER_ADDRESSES), is_same_for_all }
        });
        View {
            pools: pools.collect(),
            subnets: layout.subnets().to_vec(),
            overflow_branches: layout.branches().iter().map(|b| b.overflow).collect(),
            overflow_fractions,
            failover_routes,
            client_bits: layout.policy().client_bits,
            seed,
        }
    }

    /// The home branch of a client, and two numbers between 0 and 1 that its network determines and that are the same
    /// at every front. The first one selects the branch by [`FailoverRoute`].
    pub fn home(&self, client: Net) -> (Option<BranchId>, f64, f64) {
        let bits = if client.is_v6() { self.client_bits.1 } else { self.client_bits.0 };
        let key = client.truncated(bits).seeded_hash(self.seed);
        (self.locate(client).0, unit_hash(key, FAILOVER_SALT), unit_hash(key, FAILOVER_SALT + 1))
    }

    /// The home branch of a client, and the number of leading bits of its address that determine it.
    fn locate(&self, client: Net) -> (Option<BranchId>, u8) {
        let end = self.subnets.partition_point(|s| s.net <= client);
        // The subnets that contain the client come before it, the longest prefix last.
        let found = self.subnets[..end].iter().rev().find(|s| s.net.contains(client));
        let mut scope = found.map_or(0, |s| s.net.prefix_len());
        // The scope must include the first bit that differs from the neighboring subnets.
        let neighbors = [end.checked_sub(1), Some(end)];
        for other in neighbors.into_iter().flatten().filter_map(|index| self.subnets.get(index)) {
            if other.net.is_v6() == client.is_v6() && !other.net.contains(client) {
                scope = scope.max(common_prefix_len(other.net, client).saturating_add(1));
            }
        }
        (found.map(|s| s.branch), scope)
    }

    /// Selects a pool's addresses of one type (IPv6 if `v6`) for a client.
    pub fn choose(&self, pool: PoolId, client: Net, v6: bool) -> Selection<'_> {
        let mut selection = Selection {
            members: &[],
            indexes: [0; MAX_ANSWER_ADDRESSES],
            count: 0,
            kind: SelectionKind::Empty,
            scope: 0,
        };
        let Some(pool) = self.pools.get(usize::from(pool.0)) else { return selection };
        selection.members = &pool.members;
        let bits = if client.is_v6() { self.client_bits.1 } else { self.client_bits.0 };
        let net = client.truncated(bits);
        let (branch, branch_scope) = if pool.is_same_for_all { (None, 0) } else { self.locate(client) };
        selection.scope = if pool.is_same_for_all { 0 } else { branch_scope.max(bits) };
        let key = net.seeded_hash(self.seed);
        let target = branch.and_then(|b| self.target_branch(b, key));
        for eligibility in [Eligibility::Serving, Eligibility::LastResort] {
            // The client's target branch first, then all branches.
            for of_branch in [target, None] {
                self.select_members(pool, key, v6, eligibility, of_branch, &mut selection);
                if selection.count > 0 {
                    selection.kind = if eligibility == Eligibility::Serving {
                        SelectionKind::Serving
                    } else {
                        SelectionKind::LastResort
                    };
                    return selection;
                }
                if target.is_none() {
                    break;
                }
            }
        }
        selection
    }

    /// The branch that serves a client of the given home branch. The overflow moves a fraction of the networks to the
    /// overflow branch, always the same ones.
    fn target_branch(&self, home: BranchId, key: u64) -> Option<BranchId> {
        let index = usize::from(home.0);
        if let Some(route) = self.failover_routes.get(index).and_then(Option::as_ref) {
            return Some(route.branch(home, unit_hash(key, FAILOVER_SALT)));
        }
        let fraction = self.overflow_fractions.get(index).copied().unwrap_or(0.0);
        let draw = (mix(key ^ 0x5B11) >> 11) as f64 / (1u64 << 53) as f64;
        match self.overflow_branches.get(index).copied().flatten() {
            Some(second) if draw < fraction => {
                let second_fraction =
                    self.overflow_fractions.get(usize::from(second.0)).copied().unwrap_or(0.0);
                // A branch whose own clients all overflow takes no others.
                Some(if second_fraction < 1.0 { second } else { home })
            }
            _ => Some(home),
        }
    }

    /// Adds the members of the given eligibility (and branch, if any) to the selection, in descending order of score.
    fn select_members(
        &self,
        pool: &PoolMembers,
        key: u64,
        v6: bool,
        eligibility: Eligibility,
        branch: Option<BranchId>,
        selection: &mut Selection<'_>,
    ) {
        let mut scores = [0f32; MAX_ANSWER_ADDRESSES];
        for (index, member) in pool.members.iter().enumerate() {
            let is_candidate = member.address.is_ipv6() == v6
                && member.eligibility == eligibility
                && branch.is_none_or(|b| member.branch.is_none_or(|own| own == b));
            if !is_candidate {
                continue;
            }
            let score = rendezvous_score(key, member.owner_hash, member.weight) as f32;
            let rank = scores[..selection.count].partition_point(|s| *s >= score);
            if rank >= pool.answers {
                continue;
            }
            let end = (selection.count + 1).min(pool.answers);
            scores[rank..end].rotate_right(1);
            selection.indexes[rank..end].rotate_right(1);
            (scores[rank], selection.indexes[rank]) = (score, index as u8);
            selection.count = end;
        }
    }
}

/// The number of leading bits that two networks have in common.
fn common_prefix_len(one: Net, other: Net) -> u8 {
    let shorter = one.prefix_len().min(other.prefix_len());
    (0..=shorter).rev().find(|l| one.truncated(*l) == other.truncated(*l)).unwrap_or(0)
}
