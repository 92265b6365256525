//! The cells file (`deploy/cells.toml`): cells, their boxes (cache nodes), shops by name, and limits. It is valid or
//! rejected as a whole.

use std::collections::BTreeSet;
use std::path::Path;

use elmtide_cells::{Cell, CellIx, Layout, Limits, ShopId, ShopRule};
use serde::{Deserialize, Serialize};

use crate::memory::members::member_id;

/// Default path of the file.
pub const FILE: &str = "deploy/cells.toml";
/// Maximum size of the file.
pub const MAX_FILE_BYTES: u64 = 16 << 20;
/// Maximum number of different shards: together with 64 cells, each still gets its own router.
const MAX_SHARDS: usize = 60;

/// The contents of the file. If it is empty there are no cells: one list and one budget, as without the file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CellsConfig {
    pub limits: LimitsEntry,
    pub cell: Vec<CellEntry>,
    pub shop: Vec<ShopEntry>,
}

/// A cell and the cache nodes that belong to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellEntry {
    pub name: String,
    /// Names of cache nodes as on the bus, or their addresses.
    pub boxes: Vec<String>,
    #[serde(default = "one")]
    pub weight: f64,
    /// Its fraction of the fills that parents and origin can serve; the fractions are equal if no cell sets one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source_share: Option<f64>,
    /// Whether other cells serve its shops, because it is being emptied.
    #[serde(default)]
    pub evacuate: bool,
}

fn one() -> f64 {
    1.0
}

/// A shop, its cell and its own limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShopEntry {
    pub name: String,
    pub cell: String,
    /// Requests per second; by default the general limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Size of its own subset of the cell's boxes; by default it uses all of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<usize>,
    /// Its value relative to other shops, when a cell is evacuated and the others cannot take all of its shops.
    #[serde(default = "one")]
    pub worth: f64,
}

/// The limits of cells and shops, see [`Limits`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsEntry {
    pub shop_rate: f64,
    pub shop_burst_s: f64,
    pub shop_share: f64,
    pub running_first: f64,
    pub running_least: f64,
    pub running_most: f64,
    pub waiting: usize,
    pub waiting_of_shop: usize,
    pub tolerance: f64,
    pub fills_per_s: f64,
    pub recall_ms: f64,
    pub places: usize,
    pub warm_step_ms: f64,
}

impl Default for LimitsEntry {
    fn default() -> LimitsEntry {
        let l = Limits::default();
        LimitsEntry {
            shop_rate: l.shop_rate,
            shop_burst_s: l.shop_burst_s,
            shop_share: l.shop_share,
            running_first: l.running.0,
            running_least: l.running.1,
            running_most: l.running.2,
            waiting: l.waiting,
            waiting_of_shop: l.waiting_of_shop,
            tolerance: l.tolerance,
            fills_per_s: l.fills_per_s,
            recall_ms: l.recall_ms,
            places: l.places,
            warm_step_ms: l.warm_step_ms,
        }
    }
}

impl CellsConfig {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// If it can't be read or is invalid: the path and the cause.
    pub fn load(path: &Path) -> Result<CellsConfig, String> {
        let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let size = std::fs::metadata(path).map_err(|e| failed(&e))?.len();
        if size > MAX_FILE_BYTES {
            return Err(failed(&format!("{size} bytes: {MAX_FILE_BYTES} at most")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| failed(&e))?;
        let config: CellsConfig = toml::from_str(&text).map_err(|e| failed(&e))?;
        config.layout(1.0).map_err(|why| failed(&why))?;
        Ok(config)
    }

    /// Whether there are no cells.
    pub fn is_off(&self) -> bool {
        self.cell.is_empty()
    }

    /// The layout that it describes, for requests with deadlines up to `max_request_ms`; `None` without cells.
    ///
    /// # Errors
    /// If it is invalid: the entry and the cause.
    pub fn layout(&self, max_request_ms: f64) -> Result<Option<Layout>, String> {
        if self.is_off() {
            return match self.shop.first() {
                Some(shop) => Err(format!("shop {}: there are no cells", shop.name)),
                None => Ok(None),
            };
        }
        let equal_share = 1.0 / self.cell.len() as f64;
        let shares_are_unset = self.cell.iter().all(|c| c.source_share.is_none());
        let cells = self.cell.iter().map(|c| Cell {
            name: c.name.clone(),
            boxes: c.boxes.clone(),
            weight: c.weight,
            source_share: if shares_are_unset { equal_share } else { c.source_share.unwrap_or(0.0) },
            evacuate: c.evacuate,
        });
        let mut rules = Vec::new();
        for shop in &self.shop {
            let cell = self.cell.iter().position(|c| c.name == shop.cell);
            let cell = cell.ok_or_else(|| format!("shop {}: there is no cell {}", shop.name, shop.cell))?;
            rules.push(ShopRule {
                shop: shop.name.clone(),
                cell: CellIx(cell as u16),
                shard: shop.shard,
                rate: shop.rate,
                worth: shop.worth,
            });
        }
        let l = &self.limits;
        let limits = Limits {
            shop_rate: l.shop_rate,
            shop_burst_s: l.shop_burst_s,
            shop_share: l.shop_share,
            running: (l.running_first, l.running_least, l.running_most),
            waiting: l.waiting,
            waiting_of_shop: l.waiting_of_shop,
            tolerance: l.tolerance,
            fills_per_s: l.fills_per_s,
            recall_ms: l.recall_ms,
            places: l.places,
            warm_step_ms: l.warm_step_ms,
            max_request_ms: max_request_ms.max(1.0),
            ..Limits::default()
        };
        let layout = Layout::new(cells.collect(), rules, limits).map_err(|e| e.to_string())?;
        // Each different shard needs its own router.
        let sharded = |shop: &ShopId| layout.rule(*shop).is_some_and(|r| r.shard.is_some());
        let shards: BTreeSet<_> =
            layout.shops().filter(sharded).map(|s| (layout.cell_of(s), layout.shard_of(s))).collect();
        match shards.len() {
            0..=MAX_SHARDS => Ok(Some(layout)),
            count => Err(format!("{count} different shards: {MAX_SHARDS} at most")),
        }
    }

    /// A hash of the contents.
    pub fn fingerprint(&self) -> String {
        format!("{:016x}", member_id(&serde_json::to_string(self).unwrap_or_default()).0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A file with more shards than there may be routers is rejected before anything changes.
    #[test]
    fn more_than_the_maximum_number_of_shards_is_rejected() {
        let file = |shops: usize| {
            let boxes: Vec<String> = (0..200).map(|n| format!("\"box-{n}\"")).collect();
            let mut text = format!("[[cell]]\nname = \"a\"\nboxes = [{}]\n", boxes.join(", "));
            for n in 0..shops {
                text += &format!("[[shop]]\nname = \"s{n}\"\ncell = \"a\"\nshard = 4\n");
            }
            toml::from_str::<CellsConfig>(&text).unwrap().layout(1000.0)
        };
        assert!(file(MAX_SHARDS).is_ok());
        assert!(file(MAX_SHARDS + 1).unwrap_err().contains("61 different shards"));
    }
}
