//! The cells' file (`deploy/cells.toml`): cells, their boxes, shops by name, limits. Checked whole.

use std::collections::BTreeSet;
use std::path::Path;

use elmtide_cells::{Cell, CellIx, Layout, Limits, ShopId, ShopRule};
use serde::{Deserialize, Serialize};

use crate::memory::members::member_id;

pub const FILE: &str = "deploy/cells.toml";
const FILE_BYTES: u64 = 16 << 20;
/// Different shards at most: with 64 cells there is room for all of their routers.
const SHARDS: usize = 60;

/// The file. Empty, there are no cells: one list, one budget, as without it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CellsConfig {
    pub limits: LimitsEntry,
    pub cell: Vec<CellEntry>,
    pub shop: Vec<ShopEntry>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellEntry {
    pub name: String,
    /// Names of cache nodes as the bus has them, or their addresses.
    pub boxes: Vec<String>,
    #[serde(default = "one")]
    pub weight: f64,
    /// Its part of what parents and origin bear; equal parts where no cell says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source_share: Option<f64>,
    #[serde(default)]
    pub evacuate: bool,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShopEntry {
    pub name: String,
    pub cell: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// So many of the cell's boxes, a subset of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<usize>,
    /// What serving it is worth against others, where a cell is emptied and there is no room for all.
    #[serde(default = "one")]
    pub worth: f64,
}

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
    pub fn load(path: &Path) -> Result<CellsConfig, String> {
        let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let size = std::fs::metadata(path).map_err(|e| failed(&e))?.len();
        if size > FILE_BYTES {
            return Err(failed(&format!("{size} bytes: {FILE_BYTES} at most")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| failed(&e))?;
        let config: CellsConfig = toml::from_str(&text).map_err(|e| failed(&e))?;
        config.layout(1.0).map_err(|why| failed(&why))?;
        Ok(config)
    }

    pub fn is_off(&self) -> bool {
        self.cell.is_empty()
    }

    /// What it means; `None` for no cells.
    pub fn layout(&self, longest: f64) -> Result<Option<Layout>, String> {
        if self.is_off() {
            return match self.shop.first() {
                Some(shop) => Err(format!("shop {}: there are no cells", shop.name)),
                None => Ok(None),
            };
        }
        let equal = 1.0 / self.cell.len() as f64;
        let none_says = self.cell.iter().all(|c| c.source_share.is_none());
        let cells = self.cell.iter().map(|c| Cell {
            name: c.name.clone(),
            boxes: c.boxes.clone(),
            weight: c.weight,
            source_share: if none_says { equal } else { c.source_share.unwrap_or(0.0) },
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
            max_request_ms: longest.max(1.0),
            ..Limits::default()
        };
        let layout = Layout::new(cells.collect(), rules, limits).map_err(|e| e.to_string())?;
        // Each different shard needs a router of its own.
        let sharded = |shop: &ShopId| layout.rule(*shop).is_some_and(|r| r.shard.is_some());
        let shards: BTreeSet<_> =
            layout.shops().filter(sharded).map(|s| (layout.cell_of(s), layout.shard_of(s))).collect();
        match shards.len() {
            0..=SHARDS => Ok(Some(layout)),
            many => Err(format!("{many} different shards: {SHARDS} at most")),
        }
    }

    /// The same for the same contents.
    pub fn fingerprint(&self) -> String {
        format!("{:016x}", member_id(&serde_json::to_string(self).unwrap_or_default()).0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// More shards than there may be routers: refused before anything changes.
    #[test]
    fn shards_are_bounded() {
        let file = |shops: usize| {
            let boxes: Vec<String> = (0..200).map(|n| format!("\"box-{n}\"")).collect();
            let mut text = format!("[[cell]]\nname = \"a\"\nboxes = [{}]\n", boxes.join(", "));
            for n in 0..shops {
                text += &format!("[[shop]]\nname = \"s{n}\"\ncell = \"a\"\nshard = 4\n");
            }
            toml::from_str::<CellsConfig>(&text).unwrap().layout(1000.0)
        };
        assert!(file(SHARDS).is_ok());
        assert!(file(SHARDS + 1).unwrap_err().contains("61 different shards"));
    }
}
