//! A till: a web server of a branch that speaks FastCGI with a front, one request a connection or one after the other.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// One request as a web server sends it: id 1 on its connection, which closes after it or is kept.
pub fn request(class: &str, job: &str, allow_ms: u32, body: &str, keep: bool) -> Vec<u8> {
    request_for(&Asks { class, ..Asks::default() }, job, ITEM, allow_ms, body, keep)
}

/// What is asked for where no other item is named.
const ITEM: &str = "7f3a9c21e0b4d655";

/// The same for an item, as a load asks.
fn request_for(asks: &Asks, job: &str, item: &str, allow_ms: u32, body: &str, keep: bool) -> Vec<u8> {
    let (script, allow) = (format!("/api/v2/{}", asks.class), allow_ms.to_string());
    let size = if asks.size_kb > 0 { asks.size_kb.to_string() } else { String::new() };
    let pairs = [
        ("SCRIPT_NAME", &script[..]),
        ("REQUEST_METHOD", "POST"),
        ("HTTP_X_JOB_ID", job),
        ("HTTP_X_ITEM", item),
        ("HTTP_X_ALLOW_MS", &allow),
        ("HTTP_X_SHOP", asks.shop),
        ("HTTP_X_RAM_KB", &size),
    ];
    let mut params = Vec::new();
    for (name, value) in pairs.into_iter().filter(|(_, value)| !value.is_empty()) {
        params.extend([name.len() as u8, value.len() as u8]);
        params.extend([name.as_bytes(), value.as_bytes()].concat());
    }
    let record = |kind: u8, content: &[u8]| {
        let length = (content.len() as u16).to_be_bytes();
        [&[1, kind, 0, 1, length[0], length[1], 0, 0], content].concat()
    };
    let begin = record(1, &[0, 1, u8::from(keep), 0, 0, 0, 0, 0]);
    [begin, record(4, &params), record(4, b""), record(5, body.as_bytes()), record(5, b"")].concat()
}

/// An answer as far as a client goes by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: String,
    /// After how many milliseconds a refused client may come back.
    pub wait_ms: Option<u64>,
}

/// Reads one answer up to its end record; none where the connection ended before.
pub fn reply(stream: &mut TcpStream) -> Option<Reply> {
    let (mut text, mut head) = (Vec::new(), [0; 8]);
    loop {
        stream.read_exact(&mut head).ok()?;
        let mut content = vec![0; usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6])];
        stream.read_exact(&mut content).ok()?;
        match head[1] {
            6 => text.extend(content),
            3 => break,
            _ => {}
        }
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    let status = text.split("Status: ").nth(1).map(|s| s[..3].to_owned())?;
    let wait_ms = text.split("X-Wait-Ms: ").nth(1).and_then(|s| s.split_whitespace().next()?.parse().ok());
    Some(Reply { status, wait_ms })
}

/// The status of one answer.
pub fn status(stream: &mut TcpStream) -> Option<String> {
    reply(stream).map(|reply| reply.status)
}

/// What came of a load, by status.
#[derive(Debug, Default)]
pub struct Counts {
    pub asked: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    /// No answer came, or the connection broke.
    pub none: AtomicU64,
}

/// What a load asks for.
#[derive(Clone, Copy, Debug)]
pub struct Asks<'a> {
    pub class: &'a str,
    pub shop: &'a str,
    /// Items that are asked for in turn; none where each request is for another one: every one is a miss.
    pub items: Option<u64>,
    /// Size of an answer, as the client tells it; 0 where it does not.
    pub size_kb: u32,
}

impl Default for Asks<'_> {
    fn default() -> Self {
        Asks { class: "small-files", shop: "", items: Some(1), size_kb: 0 }
    }
}

/// Clients that ask a front at a steady rate until they are stopped; each has a connection of its own.
pub struct Load {
    stop: Arc<AtomicBool>,
    pub counts: Arc<Counts>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// `rate` requests a second in all, by so many clients; `first` keeps the ids of several loads apart.
    pub fn start(at: SocketAddr, class: &'static str, rate: f64, clients: u32, first: u64) -> Load {
        Load::of(at, Asks { class, ..Asks::default() }, rate, clients, first)
    }

    pub fn of(at: SocketAddr, asks: Asks<'static>, rate: f64, clients: u32, first: u64) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let counts: Arc<Counts> = Arc::default();
        let every = Duration::from_secs_f64(f64::from(clients) / rate);
        let client = |n: u32| {
            let (stop, counts) = (stop.clone(), counts.clone());
            let offset = every * n / clients.max(1);
            std::thread::spawn(move || {
                client(at, asks, every, offset, first + (u64::from(n) << 32), &stop, &counts)
            })
        };
        let threads = (0..clients).map(client).collect();
        Load { stop, counts, threads }
    }

    /// No further request, while what is counted can still be read.
    pub fn pause(&self) {
        self.stop.store(true, Relaxed);
    }

    pub fn stop(self) -> Arc<Counts> {
        self.stop.store(true, Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.counts
    }
}

fn client(
    at: SocketAddr,
    asks: Asks,
    every: Duration,
    offset: Duration,
    first: u64,
    stop: &AtomicBool,
    counts: &Counts,
) {
    let mut next = Instant::now() + offset;
    let mut stream: Option<TcpStream> = None;
    let mut job = first;
    while !stop.load(Relaxed) {
        let left = next.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            std::thread::sleep(left.min(Duration::from_millis(50)));
            continue;
        }
        // What a slow answer made late is not made up for.
        next = (next + every).max(Instant::now() - every);
        job += 1;
        counts.asked.fetch_add(1, Relaxed);
        if stream.is_none() {
            stream = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok();
            if let Some(stream) = &stream {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let _ = stream.set_nodelay(true);
            }
        }
        let asked = stream.as_mut().and_then(|stream| {
            let id = format!("{job:016x}");
            let item = match asks.items {
                None => id.clone(),
                Some(0 | 1) => ITEM.to_owned(),
                Some(items) => format!("{:016x}", (job ^ job >> 32) % items + 1),
            };
            // What has an item of its own has a body of its own: that tells one signup from another.
            let body = if asks.items.is_none() { &id[..] } else { "" };
            let bytes = request_for(&asks, &id, &item, 800, body, true);
            stream.write_all(&bytes).ok()?;
            status(stream)
        });
        match asked.as_deref() {
            Some("200") => counts.served.fetch_add(1, Relaxed),
            Some("503") => counts.refused.fetch_add(1, Relaxed),
            Some(_) => counts.failed.fetch_add(1, Relaxed),
            None => {
                stream = None;
                counts.none.fetch_add(1, Relaxed)
            }
        };
    }
}
