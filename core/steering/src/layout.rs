//! The layout of an installation: its fronts, the branches that they belong to, and the client networks of each branch.

use std::collections::BTreeSet;
use std::fmt;
use std::net::IpAddr;

use crate::{Ms, Net};

/// Index into [`Layout::fronts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontId(pub u16);
/// Index into [`Layout::branches`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BranchId(pub u16);
/// Index into [`Layout::pools`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u16);

/// One process of this edge.
#[derive(Clone, Debug, PartialEq)]
pub struct Front {
    pub name: String,
    pub branch: BranchId,
    /// Its share of the branch's clients, relative to the branch's other fronts; above 0.
    pub weight: f64,
}

/// A group of fronts that serves the clients of its own networks.
#[derive(Clone, Debug, PartialEq)]
pub struct Branch {
    pub name: String,
    /// The branch that takes the clients that this branch's own fronts can't serve.
    pub overflow: Option<BranchId>,
}

/// Assigns the clients of a network to a branch. The longest prefix that contains an address applies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subnet {
    pub net: Net,
    pub branch: BranchId,
}

/// The addresses behind one DNS name. An address belongs to a front, or to none and is then always eligible.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub members: Vec<(IpAddr, Option<FrontId>)>,
    /// Maximum number of addresses of one type (A or AAAA) in an answer.
    pub answers: usize,
}

/// The settings of the selection; the fields are named as in the settings file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// How long a front must report that it serves before it is selected again.
    pub settle: Ms,
    /// A front without a report for longer than this is no longer selected.
    pub silence: Ms,
    /// A front that sheds up to this fraction of its requests counts as shedding none.
    pub shed_from: f64,
    /// The fraction that a branch's fronts can carry above their usual share before clients overflow.
    pub headroom: f64,
    /// The overflow of a branch is a multiple of this fraction of its clients.
    pub spill_step: f64,
    /// Leading bits of a client's address that determine its answer (IPv4, IPv6).
    pub client_bits: (u8, u8),
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            settle: 3000.0,
            silence: 2000.0,
            shed_from: 0.05,
            headroom: 0.25,
            spill_step: 0.125,
            client_bits: (24, 56),
        }
    }
}

/// Why a layout is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayoutError(pub String);

impl fmt::Display for LayoutError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LayoutError {}

/// Maximum number of fronts, and of branches.
const MAX_FRONTS: usize = 1024;
const MAX_SUBNETS: usize = 65_536;
const MAX_POOLS: usize = 4096;
const MAX_POOL_MEMBERS: usize = 256;

/// A validated layout.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    fronts: Vec<Front>,
    branches: Vec<Branch>,
    /// In order of their networks, so that a network comes before the networks that it contains.
    subnets: Vec<Subnet>,
    pools: Vec<Pool>,
    policy: Policy,
}

impl Layout {
    /// Checks all parts of a layout.
    pub fn new(
        fronts: Vec<Front>,
        branches: Vec<Branch>,
        mut subnets: Vec<Subnet>,
        pools: Vec<Pool>,
        policy: Policy,
    ) -> Result<Layout, LayoutError> {
        let invalid = |message: String| Err(LayoutError(message));
        if fronts.len() > MAX_FRONTS
            || subnets.len() > MAX_SUBNETS
            || pools.len() > MAX_POOLS
            || branches.len() > MAX_FRONTS
        {
            return invalid(format!(
                "at most {MAX_FRONTS} fronts and branches, {MAX_SUBNETS} subnets, {MAX_POOLS} names"
            ));
        }
        for front in &fronts {
            if !(front.weight.is_finite() && front.weight > 0.0 && front.weight <= 1e6) {
                return invalid(format!("front {}: weight must be above 0 and at most 1e6", front.name));
            }
            if usize::from(front.branch.0) >= branches.len() {
                return invalid(format!("front {}: its branch does not exist", front.name));
            }
        }
        let exists = |b: BranchId| usize::from(b.0) < branches.len();
        for (index, branch) in branches.iter().enumerate() {
            match branch.overflow {
                Some(target) if !exists(target) || usize::from(target.0) == index => {
                    return invalid(format!(
                        "branch {}: its overflow must be another existing branch",
                        branch.name
                    ));
                }
                _ => {}
            }
        }
        subnets.sort_by_key(|s| s.net);
        for pair in subnets.windows(2) {
            if pair[0].net == pair[1].net {
                return invalid(format!("duplicate subnet {}", pair[0].net));
            }
        }
        if let Some(subnet) = subnets.iter().find(|s| !exists(s.branch)) {
            return invalid(format!("subnet {}: its branch does not exist", subnet.net));
        }
        for pool in &pools {
            let addresses: BTreeSet<IpAddr> = pool.members.iter().map(|(a, _)| *a).collect();
            let has_unknown_front =
                pool.members.iter().any(|(_, f)| f.is_some_and(|f| usize::from(f.0) >= fronts.len()));
            if addresses.len() != pool.members.len()
                || has_unknown_front
                || pool.members.len() > MAX_POOL_MEMBERS
            {
                return invalid(format!(
                    "a name has a duplicate address, an address of an unknown front, \
                     or more than {MAX_POOL_MEMBERS} addresses"
                ));
            }
            if pool.answers == 0 {
                return invalid("a name allows no address in its answers".into());
            }
        }
        let fractions = [policy.shed_from, policy.headroom, policy.spill_step];
        let durations = [policy.settle, policy.silence];
        let is_valid = fractions.iter().all(|p| (0.0..=1.0).contains(p))
            && policy.spill_step > 0.0
            && durations.iter().all(|s| s.is_finite() && *s >= 0.0)
            && (1..=32).contains(&policy.client_bits.0)
            && (1..=128).contains(&policy.client_bits.1);
        if !is_valid {
            return invalid(
                "steering: fractions must be 0 to 1 (spill_step above 0), durations 0 or more, \
                 client bits 1 to 32 (IPv4) and 1 to 128 (IPv6)"
                    .into(),
            );
        }
        Ok(Layout { fronts, branches, subnets, pools, policy })
    }

    pub fn fronts(&self) -> &[Front] {
        &self.fronts
    }

    pub fn branches(&self) -> &[Branch] {
        &self.branches
    }

    pub fn subnets(&self) -> &[Subnet] {
        &self.subnets
    }

    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// The id of the front with this name.
    pub fn front_by_name(&self, name: &str) -> Option<FrontId> {
        self.fronts.iter().position(|f| f.name == name).map(|index| FrontId(index as u16))
    }
}
