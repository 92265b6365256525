//! What a front is told at its start: three variables of the environment and a JSON file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use elmtide::{ClassId, Ms, Repeat, Settings};
use serde_json::Value;

use crate::client::bus::Names;
use crate::client::pool::Limits;
use crate::exchange::Class;
use crate::wire::bus::{self, Batch};

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the operators call: `$LB_MANAGEMENT`, else `management` of the file; none on the older days.
    pub management: Option<SocketAddr>,
    pub bus: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub memory: usize,
    pub names: Names,
    pub classes: Vec<Class>,
    pub known: Batch,
    pub settings: Settings,
    pub pool: Limits,
    pub longest_deadline: Ms,
}

fn names(settings: &Value, key: &str) -> Vec<String> {
    let list = settings[key].as_array();
    list.into_iter().flatten().map(|v| v.as_str().unwrap_or("").to_owned()).collect()
}

fn address(root: &Value, key: &str) -> Result<SocketAddr, String> {
    let text = root[key].as_str().ok_or_else(|| format!("{key} is missing or no text"))?;
    let addr: SocketAddr = text.parse().map_err(|_| format!("{key} is {text:?}, which is no address"))?;
    Ok(addr)
}

impl Config {
    /// Reads the file; `listen` of the environment goes before that of the file.
    pub fn load(path: &Path, listen: Option<&str>) -> Result<Config, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Config::parse(&text, listen).map_err(|why| format!("{}: {why}", path.display()))
    }

    pub fn parse(text: &[u8], listen: Option<&str>) -> Result<Config, String> {
        let root: Value = serde_json::from_slice(text).map_err(|e| format!("no JSON: {e}"))?;
        let told = &root["settings"];
        let settings = elmtide_settings::read(told)?;
        let listen = match listen {
            Some(text) => text.parse().map_err(|_| format!("LB_LISTEN is {text:?}, which is no address"))?,
            None => address(&root, "listen")?,
        };
        let seed = root["seed"].as_str().ok_or("seed is missing or no text")?;
        let (known, bad) = bus::batch(&root["known"]).map_err(|why| format!("known: {why}"))?;
        if let Some((number, why)) = bad.first() {
            return Err(format!("known: event {number}: {why}"));
        }
        let classes: Vec<Class> = (told["RequestClasses"].as_array().into_iter().flatten().enumerate())
            .map(|(place, class)| Class {
                name: class["Name"].as_str().unwrap_or("").into(),
                id: ClassId(place as u16),
                write: settings.classes.get(place).is_some_and(|c| c.write),
                once: settings.classes.get(place).is_some_and(|c| c.repeat == Repeat::Unsafe),
                deadline: settings.classes.get(place).map_or(0.0, |c| c.deadline),
            })
            .collect();
        let limit =
            |key: &str, usual: f64| told["Limits"][key].as_f64().filter(|v| *v > 0.0).unwrap_or(usual);
        let sockets = root["limits"]["sockets"].as_u64().unwrap_or(1024) as usize;
        let memory = root["limits"]["memory_mb"].as_u64().filter(|mb| *mb > 0).unwrap_or(192) as usize;
        let pool = Limits {
            connect_timeout: Duration::from_secs_f64(limit("ConnectTimeoutMs", 400.0) / 1000.0),
            idle: Duration::from_secs_f64(limit("ConnIdleMs", 30_000.0) / 1000.0 * 0.6),
            streams_per_connection: limit("StreamsPerConn", 100.0) as usize,
            connections: sockets / 3,
            probes: settings.probes,
            patience: Limits::patience(told["Deductions"]["Probe"].as_f64()),
        };
        let management = match std::env::var("LB_MANAGEMENT").ok().filter(|t| !t.is_empty()) {
            Some(text) => {
                Some(text.parse().map_err(|_| format!("LB_MANAGEMENT is {text:?}, which is no address"))?)
            }
            None if root["management"].is_string() => Some(address(&root, "management")?),
            None => None,
        };
        Ok(Config {
            name: root["name"].as_str().unwrap_or("front").to_owned(),
            listen,
            management,
            bus: address(&root, "bus")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed is {seed:?}"))?,
            sockets,
            memory: memory << 20,
            names: Names { zones: names(told, "Zones"), kinds: names(told, "Kinds") },
            classes,
            known,
            longest_deadline: settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max),
            settings,
            pool,
        })
    }
}
