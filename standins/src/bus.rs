//! The event bus: events with numbers, read on from the last that a reader has, with a wait for the next.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

#[derive(Debug, Default)]
struct Book {
    events: Mutex<Vec<Value>>,
    more: Condvar,
}

#[derive(Clone, Debug)]
pub struct Bus {
    pub at: SocketAddr,
    book: Arc<Book>,
}

/// A server as the bus lists it.
pub fn listed(name: &str, at: SocketAddr, zone: &str, kind: &str, state: &str) -> Value {
    json!({"id": name, "addr": at.to_string(), "zone": zone, "kind": kind, "cell": 0, "state": state,
        "weight": 4, "started_ms": 0})
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

impl Bus {
    pub fn start() -> std::io::Result<Bus> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let book: Arc<Book> = Arc::default();
        let bus = Bus { at: listener.local_addr()?, book: book.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let book = book.clone();
                std::thread::spawn(move || drop(serve(&stream, &book)));
            }
        });
        Ok(bus)
    }

    fn say(&self, event: Value) {
        let mut events = self.book.events.lock().unwrap_or_else(|p| p.into_inner());
        let number = events.len() + 1;
        let mut numbered = event;
        numbered["offset"] = json!(number);
        events.push(numbered);
        self.book.more.notify_all();
    }

    /// A list of servers, whole or what has changed.
    pub fn list(&self, full: bool, servers: &[Value]) {
        self.say(json!({"topology": {"version": 1, "full": full, "servers": servers}}));
    }

    /// A purge of an object, made now.
    pub fn purge(&self, object: u64) {
        self.say(json!({"ban": {"url": format!("{object:016x}"), "ts": unix_ms()}}));
    }

    /// A purge of a group, made now.
    pub fn purge_group(&self, group: u16) {
        self.say(json!({"ban": {"tag": group, "ts": unix_ms()}}));
    }

    /// All events so far, as a front is told at its start.
    pub fn known(&self) -> Value {
        let events = self.book.events.lock().unwrap_or_else(|p| p.into_inner());
        json!({"offset": events.len(), "batch": *events})
    }
}

fn serve(stream: &TcpStream, book: &Book) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream);
    loop {
        let mut first = String::new();
        if lines.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            if lines.read_line(&mut line)? == 0 {
                return Ok(());
            }
        }
        let query = first.split(' ').nth(1).and_then(|p| p.split_once('?')).map_or("", |(_, q)| q);
        let number = |name: &str| {
            let mut all = query.split('&').filter_map(|p| p.split_once('='));
            all.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok()).unwrap_or(0)
        };
        let (from, hold) = (number("from") as usize, Duration::from_millis(number("hold").min(5000)));
        let events = book.events.lock().unwrap_or_else(|p| p.into_inner());
        let waited = book.more.wait_timeout_while(events, hold, |e| e.len() <= from);
        let events = waited.unwrap_or_else(|p| p.into_inner()).0;
        let fresh: Vec<Value> = events.iter().skip(from).cloned().collect();
        let body = json!({"offset": events.len().max(from), "batch": fresh}).to_string();
        drop(events);
        (&*stream).write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes(),
        )?;
    }
}
