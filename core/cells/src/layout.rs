//! The validated configuration of cells and shops, and the mapping of a shop to its cell and cache nodes.

use std::collections::BTreeMap;
use std::fmt;

use crate::{hash_to_unit, mix, Ms};

/// Index of a cell in the layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellIx(pub u16);

/// Identifies a shop by the hash of its name, which is the same on every front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShopId(pub u64);

impl ShopId {
    /// FNV-1a with a final mixing step.
    pub fn of(name: &str) -> ShopId {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01B3);
        ShopId(mix(name.bytes().fold(0xCBF2_9CE4_8422_2325, step)))
    }
}

/// A partition of the front: a group of cache nodes with limits of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    pub name: String,
    /// Names of its cache nodes.
    pub boxes: Vec<String>,
    /// Its share of the shops without a rule, relative to the other cells.
    pub weight: f64,
    /// Its fraction of the fills that parents and origin can serve; other cells can't use it up.
    pub source_share: f64,
    /// Other cells are to serve its shops as guests.
    pub evacuate: bool,
}

/// Settings of a shop that the configuration names.
#[derive(Clone, Debug, PartialEq)]
pub struct ShopRule {
    pub shop: String,
    pub cell: CellIx,
    /// Number of the cell's cache nodes that serve the shop, in a subset chosen for it; `None` for all.
    pub shard: Option<usize>,
    /// Requests per second; `None` for [`Limits::shop_rate`].
    pub rate: Option<f64>,
    /// Value of serving it relative to other shops, when there is no capacity for all; usually 1.
    pub worth: f64,
}

/// Limits that hold for every shop and cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests per second of one shop; 0 is no limit.
    pub shop_rate: f64,
    /// Burst of one shop, in seconds of its rate.
    pub shop_burst_s: f64,
    /// Fraction of a cell's concurrency that one shop may use while others run or wait.
    pub shop_share: f64,
    /// Concurrency limit of a cell: initial, lowest and highest.
    pub running: (f64, f64, f64),
    /// Maximum number of waiting requests of a cell.
    pub waiting: usize,
    /// Maximum number of waiting requests of one shop in its cell.
    pub waiting_of_shop: usize,
    /// A cell is overloaded, and its concurrency limit decreases, above this many times its latency without load.
    pub tolerance: f64,
    /// Retries allowed per request of a cell.
    pub retry_fraction: f64,
    /// Fills per second that parents and origin can serve for this front; 0 is no limit.
    pub fills_per_s: f64,
    /// Time within which a cell gets back the fills that others have borrowed.
    pub recall_ms: Ms,
    /// Slots in the table of the shops' rate limits.
    pub places: usize,
    /// Interval at which the share of a move doubles.
    pub warm_step_ms: Ms,
    /// Longest deadline of a request.
    pub max_request_ms: Ms,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            shop_rate: 0.0,
            shop_burst_s: 2.0,
            shop_share: 0.5,
            running: (32.0, 4.0, 512.0),
            waiting: 256,
            waiting_of_shop: 64,
            tolerance: 2.5,
            retry_fraction: 0.1,
            fills_per_s: 0.0,
            recall_ms: 1000.0,
            places: 16_384,
            warm_step_ms: 2000.0,
            max_request_ms: 10_000.0,
        }
    }
}

/// Why a layout is invalid: the entry and the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LayoutError(pub String);

impl fmt::Display for LayoutError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LayoutError {}

const MAX_CELLS: usize = 64;
const MAX_NODES: usize = 4096;
const MAX_SHOP_RULES: usize = 100_000;

/// The validated configuration of cells.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    cells: Vec<Cell>,
    /// Hashes of the cells' names, for the rendezvous hash.
    name_hashes: Vec<u64>,
    rules: BTreeMap<ShopId, ShopRule>,
    limits: Limits,
}

impl Layout {
    /// Checks the whole configuration.
    pub fn new(cells: Vec<Cell>, rules: Vec<ShopRule>, limits: Limits) -> Result<Layout, LayoutError> {
        let invalid = |cause: String| Err(LayoutError(cause));
        if !(1..=MAX_CELLS).contains(&cells.len()) {
            return invalid(format!("there are {} cells, but must be 1 to {MAX_CELLS}", cells.len()));
        }
        if rules.len() > MAX_SHOP_RULES {
            return invalid(format!("there are {} shops, but may be at most {MAX_SHOP_RULES}", rules.len()));
        }
        let mut cell_of_node: BTreeMap<&str, &str> = BTreeMap::new();
        let mut names: Vec<&str> = cells.iter().map(|c| &c.name[..]).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|p| p[0] == p[1]) {
            return invalid(format!("cell {} is listed twice", pair[0]));
        }
        for cell in &cells {
            if cell.boxes.is_empty() {
                return invalid(format!("cell {} has no boxes", cell.name));
            }
            for name in &cell.boxes {
                if let Some(other) = cell_of_node.insert(name, &cell.name) {
                    return invalid(format!("box {name} is in cell {other} and in cell {}", cell.name));
                }
            }
            if !(cell.weight.is_finite() && (0.0..=1e6).contains(&cell.weight)) {
                return invalid(format!("cell {}: weight must be 0 to 1e6", cell.name));
            }
            if !(0.0..=1.0).contains(&cell.source_share) {
                return invalid(format!("cell {}: source_share must be 0 to 1", cell.name));
            }
        }
        if cell_of_node.len() > MAX_NODES {
            return invalid(format!("there may be at most {MAX_NODES} boxes"));
        }
        if cells.iter().map(|c| c.source_share).sum::<f64>() > 1.0 + 1e-9 {
            return invalid("the cells' source_share add up to more than 1".into());
        }
        if !cells.iter().any(|c| c.weight > 0.0 && !c.evacuate) {
            return invalid("no cell takes shops: one needs a weight above 0 and no evacuate".into());
        }
        let mut by_shop = BTreeMap::new();
        for rule in rules {
            let Some(cell) = cells.get(usize::from(rule.cell.0)) else {
                return invalid(format!("shop {}: its cell does not exist", rule.shop));
            };
            if rule.shard.is_some_and(|n| !(1..=cell.boxes.len()).contains(&n)) {
                return invalid(format!(
                    "shop {}: shard must be 1 to {}, the number of boxes of its cell",
                    rule.shop,
                    cell.boxes.len()
                ));
            }
            if rule.rate.is_some_and(|r| !(r.is_finite() && r > 0.0 && r <= 1e6)) {
                return invalid(format!("shop {}: rate must be above 0 and at most 1e6", rule.shop));
            }
            if !(rule.worth.is_finite() && (0.0..=1e6).contains(&rule.worth)) {
                return invalid(format!("shop {}: worth must be 0 to 1e6", rule.shop));
            }
            if let Some(other) = by_shop.insert(ShopId::of(&rule.shop), rule.clone()) {
                return invalid(format!("shop {} is listed twice ({})", rule.shop, other.shop));
            }
        }
        let l = &limits;
        let fractions = [l.shop_share, l.retry_fraction];
        let bounded =
            [l.shop_rate, l.shop_burst_s, l.running.0, l.running.1, l.running.2, l.tolerance, l.fills_per_s];
        let valid = fractions.iter().all(|p| (0.0..=1.0).contains(p))
            && bounded.iter().all(|f| f.is_finite() && (0.0..=1e6).contains(f))
            && l.shop_share > 0.0
            && l.running.1 >= 1.0
            && l.running.1 <= l.running.0
            && l.running.0 <= l.running.2
            && l.tolerance > 1.0
            && l.waiting_of_shop <= l.waiting
            && l.waiting <= 100_000
            && (64..=1 << 20).contains(&l.places)
            && [l.recall_ms, l.warm_step_ms, l.max_request_ms]
                .iter()
                .all(|t| t.is_finite() && (1.0..=3.6e6).contains(t));
        match valid {
            true => Ok(Layout { name_hashes: name_hashes(&cells), cells, rules: by_shop, limits }),
            false => invalid("limits: a value is out of its range".into()),
        }
    }

    /// One cell with all cache nodes, for a front without a configuration of cells.
    pub fn single(limits: Limits) -> Layout {
        let cell = Cell {
            name: "all".into(),
            boxes: vec!["*".into()],
            weight: 1.0,
            source_share: 1.0,
            evacuate: false,
        };
        Layout { name_hashes: vec![0], cells: vec![cell], rules: BTreeMap::new(), limits }
    }

    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    pub fn rule(&self, shop: ShopId) -> Option<&ShopRule> {
        self.rules.get(&shop)
    }

    /// The shops that the configuration names.
    pub fn shops(&self) -> impl Iterator<Item = ShopId> + '_ {
        self.rules.keys().copied()
    }

    /// The cell of this name.
    pub fn cell_by_name(&self, name: &str) -> Option<CellIx> {
        self.cells.iter().position(|c| c.name == name).map(|p| CellIx(p as u16))
    }

    /// The cell of a cache node, by the name under which [`Cell::boxes`] lists it.
    pub fn cell_of_node(&self, name: &str) -> Option<CellIx> {
        let contains = |c: &Cell| c.boxes.iter().any(|b| b == name || b == "*");
        self.cells.iter().position(contains).map(|p| CellIx(p as u16))
    }

    /// The cell that a weighted rendezvous hash selects among the eligible ones: without one of them, only the shops of
    /// that cell are mapped differently.
    fn rendezvous_cell(&self, shop: ShopId, is_eligible: impl Fn(&Cell) -> bool) -> Option<CellIx> {
        let mut best = None;
        for (index, (cell, hash)) in self.cells.iter().zip(&self.name_hashes).enumerate() {
            if cell.weight > 0.0 && is_eligible(cell) {
                let score = -cell.weight / hash_to_unit(shop.0 ^ hash).max(1e-300).ln();
                if best.is_none_or(|(highest, _)| score > highest) {
                    best = Some((score, CellIx(index as u16)));
                }
            }
        }
        best.map(|(_, cell)| cell)
    }

    /// The cell to which a shop belongs, also while that cell is evacuated.
    pub fn cell_of(&self, shop: ShopId) -> CellIx {
        if self.cells.len() == 1 {
            return CellIx(0);
        }
        match self.rules.get(&shop) {
            Some(rule) => rule.cell,
            None => self.rendezvous_cell(shop, |_| true).unwrap_or(CellIx(0)),
        }
    }

    /// The cell that serves a shop by default, and whether as a guest, that is while its own cell is evacuated.
    pub fn host_of(&self, shop: ShopId) -> (CellIx, bool) {
        let own = self.cell_of(shop);
        match self.cells[usize::from(own.0)].evacuate {
            false => (own, false),
            true => {
                let host = self.rendezvous_cell(shop, |c| !c.evacuate).unwrap_or(own);
                (host, host != own)
            }
        }
    }

    /// Value of serving a shop relative to others.
    pub fn worth_of(&self, shop: ShopId) -> f64 {
        self.rules.get(&shop).map_or(1.0, |r| r.worth)
    }

    /// The cache nodes of its cell that serve a shop, as indexes into [`Cell::boxes`].
    pub fn shard_of(&self, shop: ShopId) -> Vec<usize> {
        let cell = &self.cells[usize::from(self.cell_of(shop).0)];
        let size = self.rules.get(&shop).and_then(|r| r.shard).unwrap_or(cell.boxes.len());
        shard(shop, &cell.boxes, size)
    }

    /// The fraction of one shop's cache nodes that also serve another shop: what a harmful neighbour can affect.
    pub fn shard_overlap(&self, one: ShopId, other: ShopId) -> f64 {
        if self.cell_of(one) != self.cell_of(other) {
            return 0.0;
        }
        let (a, b) = (self.shard_of(one), self.shard_of(other));
        a.iter().filter(|p| b.contains(p)).count() as f64 / a.len().max(1) as f64
    }
}

fn name_hashes(cells: &[Cell]) -> Vec<u64> {
    cells.iter().map(|c| ShopId::of(&c.name).0).collect()
}

/// The `size` cache nodes with the highest rendezvous hash for a shop, as indexes in ascending order.
pub fn shard(shop: ShopId, boxes: &[String], size: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..boxes.len()).collect();
    ranked.sort_by_key(|p| std::cmp::Reverse(mix(shop.0 ^ ShopId::of(&boxes[*p]).0)));
    ranked.truncate(size);
    ranked.sort_unstable();
    ranked
}

/// For shards of `size` out of `nodes` cache nodes: the fraction of shops that share all of their nodes with one
/// harmful shop, and the fraction that share at least one (hypergeometric distribution).
pub fn blast_radius(nodes: usize, size: usize) -> (f64, f64) {
    let choose = |n: usize, k: usize| -> f64 {
        if k > n {
            return 0.0;
        }
        (0..k).map(|i| (n - i) as f64 / (k - i) as f64).product()
    };
    let all = choose(nodes, size);
    (1.0 / all, 1.0 - choose(nodes - size.min(nodes), size) / all)
}
