//! The event bus: numbered events as JSON.

pub mod batch;

use std::fmt;

use serde::de::{Deserializer, Error as _, SeqAccess, Visitor};
use serde::Deserialize;
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

/// Events with their numbers, and the number of the last event that the bus has.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    pub offset: u64,
    pub events: Vec<(u64, Event)>,
}

/// The most servers that one event may have: four times what the largest fleet has.
const MAX_SERVERS_PER_EVENT: usize = 16_384;

/// Why a field of an event can't be used.
#[derive(Debug, thiserror::Error)]
enum FieldError {
    #[error("{0} is missing or not a string")]
    NoString(&'static str),
    #[error("{0} is missing or not a number")]
    NoNumber(&'static str),
    #[error("state is missing or unknown: {0:?}")]
    UnknownState(Option<String>),
    #[error("url {0:?} is not a 64-bit hexadecimal number")]
    InvalidUrl(String),
    #[error("ban has neither a url nor a valid tag")]
    NoBanTarget,
}

/// Why an event can't be used.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct EventError(#[from] serde_json::Error);

/// Why the events known at startup can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KnownEventsError {
    #[error("offset is missing or not a number")]
    NoOffset,
    #[error("batch is missing or not a list")]
    NoEvents,
    #[error("an event has no offset")]
    Unnumbered,
    #[error("event {0}: {1}")]
    Event(u64, EventError),
}

fn string_field(value: &Value, key: &'static str) -> Result<String, FieldError> {
    value[key].as_str().map(str::to_owned).ok_or(FieldError::NoString(key))
}

fn state_field(value: &Value) -> Result<State, FieldError> {
    match value["state"].as_str() {
        Some("active") => Ok(State::Active),
        Some("leaving") => Ok(State::Leaving),
        Some("left") => Ok(State::Left),
        other => Err(FieldError::UnknownState(other.map(str::to_owned))),
    }
}

fn parse_server(value: &Value) -> Result<Server, FieldError> {
    Ok(Server {
        id: string_field(value, "id")?,
        addr: string_field(value, "addr")?,
        zone: string_field(value, "zone")?,
        kind: string_field(value, "kind")?,
        cell: value["cell"].as_u64().and_then(|c| u16::try_from(c).ok()).unwrap_or(0),
        state: state_field(value)?,
        weight: value["weight"].as_f64().unwrap_or(0.0),
        started_ms: value["started_ms"].as_f64().unwrap_or(0.0),
    })
}

fn parse_ban(ban: &Value) -> Result<Event, FieldError> {
    let ts = ban["ts"].as_f64().ok_or(FieldError::NoNumber("ts"))?;
    if let Some(url) = ban["url"].as_str() {
        let url = u64::from_str_radix(url, 16).map_err(|_| FieldError::InvalidUrl(url.to_owned()))?;
        return Ok(Event::BanUrl { url, ts });
    }
    let tag = ban["tag"].as_u64().and_then(|t| u16::try_from(t).ok()).ok_or(FieldError::NoBanTarget)?;
    Ok(Event::BanTag { tag, ts })
}

impl<'de> Deserialize<'de> for Server {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Server, D::Error> {
        // One server at a time as a tree of values, which takes many times the memory of a server.
        let value = Value::deserialize(deserializer)?;
        parse_server(&value).map_err(D::Error::custom)
    }
}

/// The servers of one event, whose number is bounded.
struct Servers(Vec<Server>);

impl<'de> Deserialize<'de> for Servers {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Servers, D::Error> {
        deserializer.deserialize_seq(ServersVisitor)
    }
}

struct ServersVisitor;

impl<'de> Visitor<'de> for ServersVisitor {
    type Value = Servers;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of servers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Servers, A::Error> {
        let mut servers = Vec::new();
        while let Some(server) = elements.next_element()? {
            if servers.len() == MAX_SERVERS_PER_EVENT {
                return Err(A::Error::custom(format!("more than {MAX_SERVERS_PER_EVENT} servers")));
            }
            servers.push(server);
        }
        Ok(Servers(servers))
    }
}

/// An event as it is written.
#[derive(Deserialize)]
struct EncodedEvent {
    topology: Option<EncodedTopology>,
    ban: Option<Value>,
}

#[derive(Deserialize)]
struct EncodedTopology {
    #[serde(default)]
    full: Value,
    servers: Option<Servers>,
}

impl<'de> Deserialize<'de> for Event {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Event, D::Error> {
        let event = EncodedEvent::deserialize(deserializer)?;
        if let Some(EncodedTopology { full, servers }) = event.topology {
            let Servers(servers) =
                servers.ok_or_else(|| D::Error::custom("servers is missing or not a list"))?;
            return Ok(Event::Topology { full: full.as_bool().unwrap_or(false), servers });
        }
        let ban = event.ban.ok_or_else(|| D::Error::custom("event is neither topology nor ban"))?;
        parse_ban(&ban).map_err(D::Error::custom)
    }
}

/// Decodes the events that a front is given at startup. One that can't be used makes all unusable.
pub fn decode_known(value: &Value) -> Result<Batch, KnownEventsError> {
    let offset = value["offset"].as_u64().ok_or(KnownEventsError::NoOffset)?;
    let elements = value["batch"].as_array().ok_or(KnownEventsError::NoEvents)?;
    let mut events = Vec::with_capacity(elements.len());
    for element in elements {
        let number = element["offset"].as_u64().ok_or(KnownEventsError::Unnumbered)?;
        let event = Event::deserialize(element).map_err(|e| KnownEventsError::Event(number, e.into()))?;
        events.push((number, event));
    }
    Ok(Batch { offset, events })
}

/// The HTTP request that reads events from number `from` on; the bus holds it up to `hold_ms` while there are none.
pub fn encode_read_request(host: &str, from: u64, hold_ms: u64) -> String {
    format!("GET /bus/read?from={from}&hold={hold_ms} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
}
