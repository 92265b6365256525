//! Configuration of a front at startup: three environment variables and a JSON file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use elmtide::{ClassId, Ms, Repeat, Settings};
use serde_json::Value;

use crate::client::bus::NameTable;
use crate::client::pool::PoolLimits;
use crate::client::streams::max_write_delay;
use crate::exchange::Class;
use crate::process::transient::retry_within;
use crate::wire::bus::{self, Batch};

/// How long opening a file is retried on transient errors. At SIGHUP, other signals wait during this time.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The configuration of a front.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The management address: `$LB_MANAGEMENT`, else `management` of the file; older files have none.
    pub management: Option<SocketAddr>,
    pub bus: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub memory: usize,
    pub names: NameTable,
    pub classes: Vec<Class>,
    pub known: Batch,
    pub settings: Settings,
    pub pool: PoolLimits,
    pub longest_deadline: Ms,
    /// The keys of the file, which a later file must also have.
    pub shape: Shape,
}

/// The keys of a configuration file replaced their paths: a file at SIGHUP that does not have all keys of the startup
/// file is incomplete. Classes may be added and removed, so only the keys common to all classes of the file are
/// included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shape(std::collections::BTreeSet<String>);

/// Paths of the objects whose keys are compared.
const COMPARED_OBJECTS: [&str; 5] =
    ["", "settings", "settings.Limits", "settings.FamilyInfo", "settings.Rules"];

impl Shape {
    fn of(root: &Value) -> Shape {
        let mut keys = std::collections::BTreeSet::new();
        for path in COMPARED_OBJECTS {
            let at = path.split('.').filter(|p| !p.is_empty()).fold(root, |at, key| &at[key]);
            for key in at.as_object().into_iter().flat_map(|o| o.keys()) {
                keys.insert(format!("{path}/{key}"));
            }
        }
        let classes = root["settings"]["RequestClasses"].as_array().cloned().unwrap_or_default();
        let class_keys =
            |c: &Value| c.as_object().map(|o| o.keys().cloned().collect::<Vec<_>>()).unwrap_or_default();
        if let Some(first) = classes.first() {
            for key in class_keys(first) {
                if classes.iter().all(|c| c.get(&key).is_some()) {
                    keys.insert(format!("class/{key}"));
                }
            }
        }
        Shape(keys)
    }

    /// The first key of `start` that is missing here.
    pub fn missing_key<'a>(&self, start: &'a Shape) -> Option<&'a str> {
        start.0.iter().find(|key| !self.0.contains(*key)).map(String::as_str)
    }
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
    /// Reads the file; `listen` from the environment takes precedence over the file. A transient shortage of file
    /// descriptors is waited out.
    pub fn load(path: &Path, listen: Option<&str>) -> Result<Config, String> {
        let read = || std::fs::read(path);
        let text = retry_within(READ_TIMEOUT, "configuration", read)
            .map_err(|e| format!("{}: {e}", path.display()))?;
        Config::parse(&text, listen).map_err(|why| format!("{}: {why}", path.display()))
    }

    pub fn parse(text: &[u8], listen: Option<&str>) -> Result<Config, String> {
        let root: Value = serde_json::from_slice(text).map_err(|e| format!("no JSON: {e}"))?;
        let settings_json = &root["settings"];
        elmtide_settings::check(settings_json)?;
        let settings = elmtide_settings::read(settings_json)?;
        let listen = match listen {
            Some(text) => text.parse().map_err(|_| format!("LB_LISTEN is {text:?}, which is no address"))?,
            None => address(&root, "listen")?,
        };
        let seed = root["seed"].as_str().ok_or("seed is missing or no text")?;
        let known = bus::decode_known(&root["known"]).map_err(|why| format!("known: {why}"))?;
        let classes: Vec<Class> =
            (settings_json["RequestClasses"].as_array().into_iter().flatten().enumerate())
                .map(|(place, class)| Class {
                    name: class["Name"].as_str().unwrap_or("").into(),
                    id: ClassId(place as u16),
                    write: settings.classes.get(place).is_some_and(|c| c.write),
                    once: settings.classes.get(place).is_some_and(|c| c.repeat == Repeat::Unsafe),
                    keyed: settings.classes.get(place).is_some_and(|c| c.repeat == Repeat::Keyed),
                    deadline: settings.classes.get(place).map_or(0.0, |c| c.deadline),
                })
                .collect();
        let limit = |key: &str, default: f64| {
            settings_json["Limits"][key].as_f64().filter(|v| *v > 0.0).unwrap_or(default)
        };
        let sockets = root["limits"]["sockets"].as_u64().unwrap_or(1024) as usize;
        let memory = root["limits"]["memory_mb"].as_u64().filter(|mb| *mb > 0).unwrap_or(192) as usize;
        let pool = PoolLimits {
            connect_timeout: Duration::from_secs_f64(limit("ConnectTimeoutMs", 400.0) / 1000.0),
            idle_timeout: Duration::from_secs_f64(limit("ConnIdleMs", 30_000.0) / 1000.0 * 0.6),
            streams_per_connection: limit("StreamsPerConn", 100.0) as usize,
            max_connections: sockets / 3,
            probes: settings.probes,
            checks_before_ping: PoolLimits::checks_before_ping(settings_json["Deductions"]["Probe"].as_f64()),
            max_write_delay: max_write_delay([
                settings.drain_grace,
                settings_json["FamilyInfo"]["PurgeSlackMs"].as_f64(),
            ]),
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
            names: NameTable { zones: names(settings_json, "Zones"), kinds: names(settings_json, "Kinds") },
            classes,
            known,
            longest_deadline: settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max),
            settings,
            pool,
            shape: Shape::of(&root),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"name":"n1","listen":"127.0.0.1:1","seed":"01","bus":"127.0.0.1:2",
        "known":{"offset":0,"batch":[]},"settings":{"Az":0,"Zones":["z"],"Kinds":["k"],"Limits":{"TryLimit":3},
        "RequestClasses":[{"Name":"a","OnTimeMs":100,"HardLimitMs":900,"Repeat":"free"}]}}"#;

    fn replaced(from: &str, to: &str) -> String {
        assert!(GOOD.contains(from), "{from}");
        GOOD.replace(from, to)
    }

    #[test]
    fn a_valid_file_is_read_and_has_its_own_keys() {
        let config = Config::parse(GOOD.as_bytes(), None).unwrap();
        assert_eq!(config.shape.missing_key(&config.shape), None);
        // Absent values may also be written as certain numbers, and only classes repeated by key need a key window.
        for odd in [
            r#""Az":0,"Rules":{"FallMs":-1,"MustAskInMs":null}"#,
            r#""Az":0,"FamilyInfo":{"ParentRampMs":0}"#,
        ] {
            Config::parse(replaced(r#""Az":0"#, odd).as_bytes(), None).unwrap();
        }
        let free = replaced(r#""Repeat":"free""#, r#""Repeat":"free","MemorySpanMs":0"#);
        Config::parse(free.as_bytes(), None).unwrap();
    }

    #[test]
    fn each_kind_of_invalid_file_is_rejected_with_its_reason() {
        let broken = [
            (String::new(), "no JSON"),
            (GOOD[..GOOD.len() / 2].to_owned(), "no JSON"),
            (replaced(r#""HardLimitMs":900"#, r#""HardLimitMs":0"#), "HardLimitMs is 0"),
            (replaced(r#""HardLimitMs":900"#, r#""HardLimitMs":-5"#), "HardLimitMs is -5"),
            (replaced(r#""HardLimitMs":900"#, r#""HardLimitMs":"900""#), "not a positive number"),
            (replaced(r#","HardLimitMs":900"#, ""), "has no HardLimitMs"),
            (replaced(r#""TryLimit":3"#, r#""TryLimit":0"#), "TryLimit is 0"),
            (replaced(r#""TryLimit":3"#, r#""ConnIdleMs":"9""#), "Limits: ConnIdleMs is \"9\""),
            (replaced(r#""Az":0"#, r#""Az":1"#), "Az is 1, but must be less than 1, the number of Zones"),
            (
                replaced(r#""Az":0"#, r#""Az":0,"Rules":{"StartCapacity":"a fifth"}"#),
                "Rules: StartCapacity is",
            ),
            (replaced(r#""Az":0"#, r#""Az":0,"FamilyInfo":{"PurgeSlackMs":true}"#), "PurgeSlackMs is true"),
            (replaced(r#""Repeat":"free""#, r#""Repeat":"freely""#), "Repeat is \"freely\""),
            (
                replaced(r#""Repeat":"free""#, r#""Repeat":"guarded","MemorySpanMs":0"#),
                "class a: MemorySpanMs is 0",
            ),
            (
                replaced(
                    r#""Repeat":"free"}"#,
                    r#""Repeat":"free"},{"Name":"a","OnTimeMs":1,"HardLimitMs":2,"Repeat":"free"}"#,
                ),
                "class a is listed twice",
            ),
            (replaced(r#""TryLimit":3"#, r#""TryLimit":null"#), "TryLimit is null"),
            (
                replaced(r#"{"Name":"a","OnTimeMs":100,"HardLimitMs":900,"Repeat":"free"}"#, ""),
                "RequestClasses is empty",
            ),
        ];
        for (text, why) in broken {
            let read = Config::parse(text.as_bytes(), None);
            let said = read.err().unwrap_or_default();
            assert!(said.contains(why), "{text:?}: {said:?}, not {why:?}");
        }
    }

    #[test]
    fn a_file_without_a_startup_key_is_incomplete_but_classes_may_change() {
        let start = Config::parse(GOOD.as_bytes(), None).unwrap().shape;
        let fewer = Config::parse(replaced(r#""Limits":{"TryLimit":3},"#, "").as_bytes(), None).unwrap();
        let missing_key = fewer.shape.missing_key(&start).unwrap_or_default();
        assert!(missing_key.contains("Limits"), "{missing_key:?}");
        let other = replaced(r#""Name":"a""#, r#""Name":"b""#).replace(
            r#""Repeat":"free"}]"#,
            r#""Repeat":"free"},{"Name":"c","OnTimeMs":50,"HardLimitMs":300,"Repeat":"free"}]"#,
        );
        let classes = Config::parse(other.as_bytes(), None).unwrap();
        assert_eq!(classes.shape.missing_key(&start), None);
    }
}
