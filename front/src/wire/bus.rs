//! The event bus: numbered events as JSON.

use serde_json::Value;

/// A server as the bus announces it.
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

/// The announced state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Active,
    Leaving,
    Left,
}

/// One event of the bus.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Topology { full: bool, servers: Vec<Server> },
    BanUrl { url: u64, ts: f64 },
    BanTag { tag: u16, ts: f64 },
}

/// The result of one read: the number of the last event, and the events with their numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    pub offset: u64,
    pub events: Vec<(u64, Event)>,
}

fn string_field(value: &Value, key: &str) -> Result<String, String> {
    value[key].as_str().map(str::to_owned).ok_or_else(|| format!("{key} is missing or not a string"))
}

fn number_field(value: &Value, key: &str) -> Result<f64, String> {
    value[key].as_f64().ok_or_else(|| format!("{key} is missing or not a number"))
}

fn parse_server(value: &Value) -> Result<Server, String> {
    Ok(Server {
        id: string_field(value, "id")?,
        addr: string_field(value, "addr")?,
        zone: string_field(value, "zone")?,
        kind: string_field(value, "kind")?,
        cell: value["cell"].as_u64().and_then(|c| u16::try_from(c).ok()).unwrap_or(0),
        state: match value["state"].as_str() {
            Some("active") => State::Active,
            Some("leaving") => State::Leaving,
            Some("left") => State::Left,
            other => return Err(format!("state is missing or unknown: {other:?}")),
        },
        weight: value["weight"].as_f64().unwrap_or(0.0),
        started_ms: value["started_ms"].as_f64().unwrap_or(0.0),
    })
}

fn parse_event(value: &Value) -> Result<Event, String> {
    if let Some(topology) = value.get("topology") {
        let servers = topology["servers"].as_array().ok_or("servers is missing or not a list")?;
        let servers = servers.iter().map(parse_server).collect::<Result<_, _>>()?;
        return Ok(Event::Topology { full: topology["full"].as_bool().unwrap_or(false), servers });
    }
    let ban = value.get("ban").ok_or("event is neither topology nor ban")?;
    let ts = number_field(ban, "ts")?;
    if let Some(url) = ban["url"].as_str() {
        let url = u64::from_str_radix(url, 16)
            .map_err(|_| format!("url {url:?} is not a 64-bit hexadecimal number"))?;
        return Ok(Event::BanUrl { url, ts });
    }
    let tag = ban["tag"]
        .as_u64()
        .and_then(|t| u16::try_from(t).ok())
        .ok_or("ban has neither a url nor a valid tag")?;
    Ok(Event::BanTag { tag, ts })
}

/// Parses a batch. An invalid event is reported by its number and error, so that it does not block the events after it.
pub fn parse_batch(value: &Value) -> Result<(Batch, Vec<(u64, String)>), String> {
    let offset = value["offset"].as_u64().ok_or("offset is missing or not a number")?;
    let items = value["batch"].as_array().ok_or("batch is missing or not a list")?;
    let (mut events, mut invalid) = (Vec::new(), Vec::new());
    for item in items {
        let number = item["offset"].as_u64().ok_or("an event has no offset")?;
        match parse_event(item) {
            Ok(event) => events.push((number, event)),
            Err(error) => invalid.push((number, error)),
        }
    }
    Ok((Batch { offset, events }, invalid))
}

/// The HTTP request that reads events from number `from` on; the bus holds it up to `hold_ms` while there are none.
pub fn encode_read_request(host: &str, from: u64, hold_ms: u64) -> String {
    format!("GET /bus/read?from={from}&hold={hold_ms} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
}
