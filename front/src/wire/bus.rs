//! The event bus: numbered events as JSON.

use serde_json::Value;

#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub id: String,
    pub addr: String,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub state: State,
    pub weight: f64,
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Active,
    Leaving,
    Left,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Topology { full: bool, servers: Vec<Server> },
    BanUrl { url: u64, ts: f64 },
    BanTag { tag: u16, ts: f64 },
}

/// What one read gives: the number of the last event, and the events with their numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    pub offset: u64,
    pub events: Vec<(u64, Event)>,
}

fn text(at: &Value, key: &str) -> Result<String, String> {
    at[key].as_str().map(str::to_owned).ok_or_else(|| format!("{key} is missing or no text"))
}

fn number(at: &Value, key: &str) -> Result<f64, String> {
    at[key].as_f64().ok_or_else(|| format!("{key} is missing or no number"))
}

fn server(at: &Value) -> Result<Server, String> {
    Ok(Server {
        id: text(at, "id")?,
        addr: text(at, "addr")?,
        zone: text(at, "zone")?,
        kind: text(at, "kind")?,
        cell: at["cell"].as_u64().and_then(|c| u16::try_from(c).ok()).unwrap_or(0),
        state: match at["state"].as_str() {
            Some("active") => State::Active,
            Some("leaving") => State::Leaving,
            Some("left") => State::Left,
            other => return Err(format!("state is {other:?}")),
        },
        weight: at["weight"].as_f64().unwrap_or(0.0),
        started_ms: at["started_ms"].as_f64().unwrap_or(0.0),
    })
}

fn event(at: &Value) -> Result<Event, String> {
    if let Some(topology) = at.get("topology") {
        let servers = topology["servers"].as_array().ok_or("servers is missing or no list")?;
        let servers = servers.iter().map(server).collect::<Result<_, _>>()?;
        return Ok(Event::Topology { full: topology["full"].as_bool().unwrap_or(false), servers });
    }
    let ban = at.get("ban").ok_or("neither topology nor ban")?;
    let ts = number(ban, "ts")?;
    if let Some(url) = ban["url"].as_str() {
        let url = u64::from_str_radix(url, 16).map_err(|_| format!("url is {url:?}"))?;
        return Ok(Event::BanUrl { url, ts });
    }
    let tag = ban["tag"].as_u64().and_then(|t| u16::try_from(t).ok()).ok_or("ban without url and tag")?;
    Ok(Event::BanTag { tag, ts })
}

/// Reads a batch. An event that can't be used is given as its number and what is wrong with it: it must not
/// keep the ones behind it from being heard.
pub fn batch(at: &Value) -> Result<(Batch, Vec<(u64, String)>), String> {
    let offset = at["offset"].as_u64().ok_or("offset is missing or no number")?;
    let list = at["batch"].as_array().ok_or("batch is missing or no list")?;
    let (mut events, mut bad) = (Vec::new(), Vec::new());
    for item in list {
        let number = item["offset"].as_u64().ok_or("an event has no offset")?;
        match event(item) {
            Ok(event) => events.push((number, event)),
            Err(why) => bad.push((number, why)),
        }
    }
    Ok((Batch { offset, events }, bad))
}

pub fn read_request(host: &str, from: u64, hold_ms: u64) -> String {
    format!("GET /bus/read?from={from}&hold={hold_ms} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
}
