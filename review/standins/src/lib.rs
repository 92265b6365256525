//! Stand-ins on loopback for the cases under `review/`: an event bus, cache nodes, HTTP clients, and the project's own
//! program as separate processes. Standard library only.
//!
//! The cache node and the bus follow the platform's protocol page; where the page is silent they act as sound ones.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Res<T> = Result<T, String>;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn text<E: std::fmt::Display>(what: &str) -> impl Fn(E) -> String + '_ {
    move |e| format!("{what}: {e}")
}

/// What was sent, answered and run, in order, with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    pub fn say(&self, line: impl AsRef<str>) {
        let line = format!("{:9.1} {}", self.ms(), line.as_ref());
        lock(&self.lines).push(line);
    }

    pub fn write(&self, path: &Path) -> Res<()> {
        let all = lock(&self.lines).join("\n") + "\n";
        fs::write(path, all).map_err(text("record"))
    }
}

impl Default for Record {
    fn default() -> Record {
        Record::new()
    }
}

/// A folder for files of the case, gone with this value.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Res<Folder> {
        let path = std::env::temp_dir().join(format!("elmtide-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(text("folder"))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Ports that were free a moment ago, all different. They lie below those that the system hands out by itself, so that no
/// other socket gets one of them before the program binds it.
pub fn free_ports<const N: usize>() -> Res<[u16; N]> {
    const RANGE: (u32, u32) = (12_000, 32_000);
    let mut ports = [0; N];
    let (mut found, mut at) = (0, std::process::id().wrapping_mul(97) ^ unix_ms() as u32);
    for _ in 0..2_000 {
        at = at.wrapping_add(13);
        let port = (RANGE.0 + at % (RANGE.1 - RANGE.0)) as u16;
        // The name server binds its port for TCP and UDP; both loopback addresses of the cases are tried.
        let is_free = ["127.0.0.1", "127.0.0.2"].iter().all(|ip| {
            TcpListener::bind((*ip, port)).is_ok() && std::net::UdpSocket::bind((*ip, port)).is_ok()
        });
        if is_free && !ports.contains(&port) {
            ports[found] = port;
            found += 1;
            if found == N {
                return Ok(ports);
            }
        }
    }
    Err("no free ports".into())
}

// ---- Event bus ----------------------------------------------------------------------------------------------

#[derive(Default)]
struct Book {
    events: Mutex<Vec<String>>,
    more: Condvar,
    /// While it is down, it ends open connections and takes no new ones.
    down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

/// The event bus: numbered events, read on from the last number that a reader has.
#[derive(Clone)]
pub struct Bus {
    pub at: SocketAddr,
    book: Arc<Book>,
    record: Record,
}

/// A server as the bus lists it.
pub fn listed(id: &str, at: SocketAddr, zone: &str, kind: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{at}","zone":"{zone}","kind":"{kind}","cell":0,"state":"{state}","weight":4,"started_ms":0}}"#
    )
}

impl Bus {
    pub fn start(record: &Record) -> Res<Bus> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(text("bus"))?;
        let at = listener.local_addr().map_err(text("bus"))?;
        let bus = Bus { at, book: Arc::default(), record: record.clone() };
        let serving = bus.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let bus = serving.clone();
                let mut open = lock(&bus.book.open);
                if bus.book.down.load(Relaxed) {
                    continue;
                }
                open.extend(stream.try_clone());
                drop(open);
                thread::spawn(move || bus.serve(stream));
            }
        });
        Ok(bus)
    }

    fn say(&self, event: &str, quiet: bool) -> usize {
        let mut events = lock(&self.book.events);
        let number = events.len() + 1;
        if !quiet {
            self.record.say(format!("bus      event {number}: {event:.200}"));
        }
        events.push(format!(r#"{{"offset":{number},{event}}}"#));
        self.book.more.notify_all();
        number
    }

    /// Goes down, or comes back. The events that come meanwhile are told afterwards.
    pub fn set_down(&self, down: bool) {
        let mut open = lock(&self.book.open);
        self.book.down.store(down, Relaxed);
        if down {
            open.drain(..).for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
        }
        self.record.say(format!("bus      {}", if down { "is down" } else { "is back" }));
    }

    pub fn list(&self, full: bool, servers: &[String]) {
        let servers = servers.join(",");
        self.say(&format!(r#""topology":{{"version":1,"full":{full},"servers":[{servers}]}}"#), false);
    }

    /// One server's change, one of thousands: it is not recorded by itself.
    pub fn change(&self, server: &str) {
        self.say(&format!(r#""topology":{{"version":1,"full":false,"servers":[{server}]}}"#), true);
    }

    /// A purge of an object, made at this Unix millisecond.
    pub fn purge(&self, object: &str, ts: u64) -> usize {
        self.say(&format!(r#""ban":{{"url":"{object}","ts":{ts}}}"#), false)
    }

    /// All events so far, in the form of `known`.
    pub fn known(&self) -> String {
        let events = lock(&self.book.events);
        format!(r#"{{"offset":{},"batch":[{}]}}"#, events.len(), events.join(","))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut lines = BufReader::new(stream.try_clone().ok()?);
        loop {
            let mut first = String::new();
            if lines.read_line(&mut first).ok()? == 0 {
                return None;
            }
            let mut line = String::new();
            while line != "\r\n" {
                line.clear();
                if lines.read_line(&mut line).ok()? == 0 {
                    return None;
                }
            }
            let query = first.split(' ').nth(1)?.split_once('?').map_or("", |(_, q)| q);
            let number = |name: &str| {
                let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
                pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok()).unwrap_or(0)
            };
            let (from, hold) = (number("from") as usize, Duration::from_millis(number("hold").min(5000)));
            let events = lock(&self.book.events);
            let waited = self.book.more.wait_timeout_while(events, hold, |e| e.len() <= from);
            let events = waited.unwrap_or_else(|p| p.into_inner()).0;
            let fresh: Vec<String> = events.iter().skip(from).cloned().collect();
            let body = format!(r#"{{"offset":{},"batch":[{}]}}"#, events.len().max(from), fresh.join(","));
            if self.book.down.load(Relaxed) {
                return None;
            }
            if !fresh.is_empty() {
                let bytes = body.len();
                self.record.say(format!(
                    "bus      tells events {} to {}, {bytes} bytes",
                    from + 1,
                    events.len()
                ));
            }
            drop(events);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            (&stream).write_all((head + &body).as_bytes()).ok()?;
        }
    }
}

// ---- Cache node ---------------------------------------------------------------------------------------------

/// A request as it came whole to a cache node.
#[derive(Clone, Debug)]
pub struct Want {
    pub at_ms: f64,
    pub node: String,
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body: String,
    /// When the origin gave out the copy that it was answered with; none where there was no answer or no copy.
    pub dated: Option<u64>,
}

impl Want {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

struct NodeState {
    copies: BTreeMap<String, u64>,
    /// Bodies of writes of which the first runs and its answer never arrives; the connection stays open.
    lost: Vec<String>,
    /// Purged objects: until a copy from before is dropped, it may still be given out.
    drops: Vec<(Instant, String, u64)>,
}

/// A cache node: keeps one copy of each object, runs what is never kept when it has come whole.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub at: SocketAddr,
    state: Arc<Mutex<NodeState>>,
    wants: Arc<Mutex<Vec<Want>>>,
    record: Record,
}

impl Node {
    pub fn start(name: &str, record: &Record) -> Res<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(text("node"))?;
        let at = listener.local_addr().map_err(text("node"))?;
        let state = NodeState { copies: BTreeMap::new(), lost: Vec::new(), drops: Vec::new() };
        let node = Node {
            name: name.into(),
            at,
            state: Arc::new(Mutex::new(state)),
            wants: Arc::default(),
            record: record.clone(),
        };
        let serving = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = serving.clone();
                thread::spawn(move || node.serve(stream));
            }
        });
        Ok(node)
    }

    /// The first write with this body runs, and its answer never arrives.
    pub fn loses_answer_to(&self, body: &str) {
        lock(&self.state).lost.push(body.into());
    }

    /// Takes [`Node::loses_answer_to`] back where no such write has come.
    pub fn loses_no_answer(&self) {
        lock(&self.state).lost.clear();
    }

    /// A copy that the origin gave out at this Unix millisecond.
    pub fn keeps(&self, object: &str, dated: u64) {
        lock(&self.state).copies.insert(object.into(), dated);
        self.record.say(format!("{:8} keeps {object} dated {dated}", self.name));
    }

    /// Copies of this object from before `ts` are dropped after this time.
    pub fn drops_after(&self, object: &str, ts: u64, after: Duration) {
        lock(&self.state).drops.push((Instant::now() + after, object.into(), ts));
    }

    pub fn wants(&self) -> Vec<Want> {
        lock(&self.wants).clone()
    }

    /// How often a body came whole to this node: each time it ran.
    pub fn runs(&self, body: &str) -> usize {
        lock(&self.wants).iter().filter(|w| w.body == body).count()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream.try_clone().ok()?);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["want", id, fields, length] => {
                    let length: usize = length.parse().ok()?;
                    let mut body = vec![0; length + 2];
                    input.read_exact(&mut body).ok()?;
                    body.truncate(length);
                    let fields = fields.split(',').filter_map(|f| f.split_once('='));
                    let want = Want {
                        at_ms: self.record.ms(),
                        node: self.name.clone(),
                        id: id.into(),
                        fields: fields.map(|(n, v)| (n.into(), v.into())).collect(),
                        body: String::from_utf8_lossy(&body).into_owned(),
                        dated: None,
                    };
                    self.record.say(format!("{:8} got {} body {:?}", self.name, line.trim_end(), want.body));
                    if let Some(answer) = self.answer(want) {
                        (&stream).write_all(&answer).ok()?;
                    }
                }
                ["there" | "busy", tag] => {
                    (&stream).write_all(format!("{tag} PONG - 0\r\n\r\n").as_bytes()).ok()?;
                }
                ["never_mind", id] => self.record.say(format!("{:8} got never_mind {id}", self.name)),
                _ => return None,
            }
        }
    }

    fn answer(&self, mut want: Want) -> Option<Vec<u8>> {
        let now = unix_ms();
        let mut state = lock(&self.state);
        let state = &mut *state;
        let is_write = want.field("profile") == "plan-signup";
        if is_write {
            self.record.say(format!("{:8} RUNS {} for {:?}", self.name, want.id, want.body));
            let (id, body) = (want.id.clone(), want.body.clone());
            lock(&self.wants).push(want);
            if let Some(place) = state.lost.iter().position(|lost| *lost == body) {
                state.lost.remove(place);
                self.record.say(format!("{:8} the answer to {id} never arrives", self.name));
                return None;
            }
            self.record.say(format!("{:8} answers {id} HIT", self.name));
            return Some(
                format!("{id} HIT digest=w{id},dated={now},remark=pulled_far 2\r\nok\r\n").into_bytes(),
            );
        }
        let thing = want.field("thing").to_owned();
        state.drops.retain(|(at, object, ts)| {
            let due = Instant::now() >= *at;
            if due && state.copies.get(object).is_some_and(|dated| dated < ts) {
                state.copies.remove(object);
            }
            !due
        });
        // Absent or 0: any age, since the classes set no fresh time.
        let accept: u64 = want.field("accept").parse().unwrap_or(0);
        let kept =
            state.copies.get(&thing).copied().filter(|at| accept == 0 || now.saturating_sub(*at) <= accept);
        let may_fill = !want.field("parent").is_empty() && !want.field("hints").contains("have-only");
        let id = want.id.clone();
        let (dated, remark) = match kept {
            Some(dated) => (dated, "local"),
            None if may_fill => {
                state.copies.insert(thing, now);
                (now, "pulled_far")
            }
            None => {
                lock(&self.wants).push(want);
                self.record.say(format!("{:8} answers {id} NONE", self.name));
                return Some(format!("{id} NONE remark=not_there 0\r\n\r\n").into_bytes());
            }
        };
        want.dated = Some(dated);
        lock(&self.wants).push(want);
        let body = format!("copy-of-{dated}");
        self.record.say(format!("{:8} answers {id} HIT remark={remark} dated={dated}", self.name));
        let head =
            format!("{id} HIT digest=d{dated},dated={dated},remark={remark} {}\r\n{body}\r\n", body.len());
        Some(head.into_bytes())
    }
}

// ---- HTTP client --------------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// One connection of a client.
pub struct Http(BufReader<TcpStream>);

impl Http {
    pub fn connect(at: SocketAddr) -> Res<Http> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).map_err(text("connect"))?;
        stream.set_nodelay(true).map_err(text("connect"))?;
        Ok(Http(BufReader::new(stream)))
    }

    pub fn send(&mut self, request: &str) -> Res<()> {
        self.0.get_mut().write_all(request.as_bytes()).map_err(text("send"))
    }

    /// The answer, if it comes whole within this time.
    pub fn reply(&mut self, patience: Duration) -> Res<Reply> {
        let until = Instant::now() + patience;
        let mut reply = Reply::default();
        let mut line = String::new();
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            self.0.get_ref().set_read_timeout(Some(left)).map_err(text("read"))?;
            line.clear();
            if self.0.read_line(&mut line).map_err(text("read"))? == 0 {
                return Err("closed".into());
            }
            let head = line.trim_end();
            if head.is_empty() {
                break;
            } else if let Some(code) = head.strip_prefix("HTTP/1.1 ") {
                reply.status = code.get(..3).and_then(|c| c.parse().ok()).unwrap_or(0);
            } else if let Some((name, value)) = head.split_once(": ") {
                reply.headers.push((name.into(), value.into()));
            }
        }
        let length = reply.header("Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).map_err(text("body"))?;
        reply.body = String::from_utf8_lossy(&body).into_owned();
        Ok(reply)
    }
}

/// An id of 16 hex digits, new with every request and every run.
fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let next = NEXT.fetch_add(1, Relaxed);
    format!("{:016x}", (unix_ms() << 20) ^ (next << 52) ^ u64::from(std::process::id()))
}

/// A signup under its key; the body is the key, so that a node's runs can be told apart.
pub fn signup(key: &str, allow_ms: u64, again: bool) -> String {
    let again = if again { "X-Again: 1\r\n" } else { "" };
    format!(
        "POST /api/v2/plan-signup HTTP/1.1\r\nHost: branch\r\nX-Job-Id: {}\r\nX-Item: 7f3a9c21e0b4d655\r\nX-Allow-Ms: {allow_ms}\r\n{again}\
         Idempotency-Key: {key}\r\nContent-Length: {}\r\n\r\n{key}",
        new_id(),
        key.len()
    )
}

pub fn get(item: &str, allow_ms: u64) -> String {
    format!(
        "GET /api/v2/small-files HTTP/1.1\r\nHost: branch\r\nX-Job-Id: {}\r\nX-Item: {item}\r\nX-Set: 17\r\nX-Allow-Ms: {allow_ms}\r\n\r\n",
        new_id()
    )
}

// ---- Web server ---------------------------------------------------------------------------------------------

/// A connection of a web server, which speaks FastCGI 1.0 and keeps it; one request at a time.
pub struct Web {
    stream: TcpStream,
    last_id: u16,
}

impl Web {
    pub fn connect(at: SocketAddr) -> Res<Web> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).map_err(text("connect"))?;
        stream.set_nodelay(true).map_err(text("connect"))?;
        Ok(Web { stream, last_id: 0 })
    }

    /// Asks for an object of the group 17: status and body of the answer.
    pub fn get(&mut self, class: &str, item: &str, allow_ms: u64, patience: Duration) -> Res<(u16, String)> {
        self.last_id = self.last_id % 60_000 + 1;
        let [high, low] = self.last_id.to_be_bytes();
        let record = |kind: u8, content: &[u8]| {
            let length = (content.len() as u16).to_be_bytes();
            [&[1, kind, high, low, length[0], length[1], 0, 0], content].concat()
        };
        let (script, job, allow) = (format!("/api/v2/{class}"), new_id(), allow_ms.to_string());
        let pairs = [
            ("SCRIPT_NAME", &script[..]),
            ("HTTP_X_JOB_ID", &job),
            ("HTTP_X_ITEM", item),
            ("HTTP_X_SLICE", "0"),
            ("HTTP_X_SET", "17"),
            ("HTTP_X_RAM_KB", "100"),
            ("HTTP_X_ALLOW_MS", &allow),
        ];
        let mut params = Vec::new();
        for (name, value) in pairs {
            params.extend([name.len() as u8, value.len() as u8]);
            params.extend([name.as_bytes(), value.as_bytes()].concat());
        }
        let begin = record(1, &[0, 1, 1, 0, 0, 0, 0, 0]);
        let request = [begin, record(4, &params), record(4, b""), record(5, b"")].concat();
        self.stream.write_all(&request).map_err(text("send"))?;
        self.stream.set_read_timeout(Some(patience)).map_err(text("read"))?;
        let (mut out, mut head) = (Vec::new(), [0; 8]);
        loop {
            self.stream.read_exact(&mut head).map_err(text("read"))?;
            let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
            let mut content = vec![0; length + usize::from(head[6])];
            self.stream.read_exact(&mut content).map_err(text("read"))?;
            match head[1] {
                6 => out.extend(&content[..length]),
                3 => break,
                _ => {}
            }
        }
        let out = String::from_utf8_lossy(&out).into_owned();
        let status = out.strip_prefix("Status: ").and_then(|s| s.get(..3)?.parse().ok()).unwrap_or(0);
        Ok((status, out.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.into())))
    }
}

// ---- The project's program ----------------------------------------------------------------------------------

#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    more: Condvar,
}

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A running front, started with the deploy file's command in a folder of its own.
pub struct Front {
    pub name: String,
    child: Child,
    log: Arc<Log>,
    record: Record,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        lock(&STARTED).retain(|pid| *pid != id);
    }
}

/// The files and the surroundings of a front: they stay where its process is replaced.
pub struct Place {
    pub name: String,
    /// Holds `deploy/edge.toml` and a link to the built program.
    pub folder: PathBuf,
    /// `$TMPDIR` of all processes of this front.
    pub tmp: PathBuf,
    listener: TcpListener,
    pub listen: SocketAddr,
}

impl Place {
    /// Lays out the folder of a front below `root`; `program` is the folder of the repository.
    pub fn new(root: &Path, name: &str, repository: &Path) -> Res<Place> {
        let folder = root.join(name);
        let tmp = root.join(format!("{name}-tmp"));
        for path in [&folder.join("deploy"), &tmp] {
            fs::create_dir_all(path).map_err(text("folder"))?;
        }
        std::os::unix::fs::symlink(repository.join("target"), folder.join("target")).map_err(text("link"))?;
        let listener = TcpListener::bind("127.0.0.1:0").map_err(text("listener"))?;
        let listen = listener.local_addr().map_err(text("listener"))?;
        Ok(Place { name: name.into(), folder, tmp, listener, listen })
    }

    pub fn write(&self, file: &str, content: &str) -> Res<()> {
        fs::write(self.folder.join(file), content).map_err(text(file))
    }

    /// Writes the configuration file that the platform hands to a front.
    pub fn configure(&self, bus: &Bus, settings: &str) -> Res<()> {
        let seed = unix_ms() ^ u64::from(self.listen.port()) << 32;
        self.write(
            "config.json",
            &format!(
                r#"{{"name":"{}","listen":"{}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"bus":"{}","known":{},"settings":{settings}}}"#,
                self.name,
                self.listen,
                bus.at,
                bus.known()
            ),
        )
    }

    fn command(&self, line: &str) -> Command {
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", line])
            .current_dir(&self.folder)
            .env("LB_NAME", &self.name)
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", &self.tmp)
            .env_remove("LB_FD")
            .env_remove("LB_MANAGEMENT");
        command
    }

    /// Starts a process with `run` of the deploy file. With `inherited`, the platform holds the clients' listener, and the
    /// process has it as descriptor 3.
    pub fn start(&self, inherited: bool, record: &Record) -> Res<Front> {
        const RUN: &str = "exec target/release/elmtide serve";
        let mut command;
        if inherited {
            command = self.command(&format!("exec 3<&0 </dev/null; {RUN}"));
            let handed = self.listener.try_clone().map_err(text("listener"))?;
            command.env("LB_FD", "3").stdin(Stdio::from(OwnedFd::from(handed)));
        } else {
            return Err("only inherited listeners are used".into());
        }
        let mut child = command.stderr(Stdio::piped()).spawn().map_err(text("start"))?;
        lock(&STARTED).push(child.id());
        let stderr = child.stderr.take().ok_or("no standard error")?;
        let log: Arc<Log> = Arc::default();
        let (kept, said, who) = (log.clone(), record.clone(), format!("{}[{}]", self.name, child.id()));
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                said.say(format!("{who} log: {line}"));
                lock(&kept.lines).push(line);
                kept.more.notify_all();
            }
        });
        record.say(format!("{}[{}] started", self.name, child.id()));
        let front = Front { name: self.name.clone(), child, log, record: record.clone() };
        front.wait("ready: ", Duration::from_secs(20))?;
        Ok(front)
    }

    /// Runs another command of the program to its end: its exit code and output.
    pub fn run(&self, args: &str, record: &Record) -> Res<i32> {
        let out =
            self.command(&format!("exec target/release/elmtide {args}")).output().map_err(text(args))?;
        let said = [out.stdout, out.stderr].concat();
        let said = String::from_utf8_lossy(&said).trim_end().replace('\n', " | ");
        let code = out.status.code().unwrap_or(-1);
        record.say(format!("operator {}: elmtide {args}: {code}: {said}", self.name));
        Ok(code)
    }

    /// Plans the files that lie in the folder, and saves the plan.
    pub fn plan(&self, record: &Record) -> Res<()> {
        match self.run("plan --out change.json", record)? {
            0 | 2 => Ok(()),
            code => Err(format!("plan ended with {code}")),
        }
    }

    pub fn apply(&self, record: &Record) -> Res<()> {
        match self.run("apply change.json", record)? {
            0 => Ok(()),
            code => Err(format!("apply ended with {code}")),
        }
    }
}

impl Front {
    /// Waits for a line of the log.
    pub fn wait(&self, part: &str, patience: Duration) -> Res<String> {
        let until = Instant::now() + patience;
        let mut lines = lock(&self.log.lines);
        loop {
            if let Some(line) = lines.iter().find(|l| l.contains(part)) {
                return Ok(line.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(format!("{}: the log never said {part:?}", self.name));
            }
            lines = self.log.more.wait_timeout(lines, left).unwrap_or_else(|p| p.into_inner()).0;
        }
    }

    pub fn signal(&self, name: &str) -> Res<()> {
        self.record.say(format!("platform SIG{name} to {}[{}]", self.name, self.child.id()));
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        match sent {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("kill: {other:?}")),
        }
    }

    pub fn kill(&mut self) {
        self.record.say(format!("platform SIGKILL to {}[{}]", self.name, self.child.id()));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

// ---- Settings -----------------------------------------------------------------------------------------------

/// The deadlines of the site's classes.
pub const SITE_DEADLINES: [u64; 3] = [5000, 2500, 3000];

/// The same in a fleet with this many locations `edge-N` in all; the front is at the first.
pub fn settings_of_fleet(deadlines: [u64; 3], locations: usize) -> String {
    let mut names = vec!["\"east\"".to_owned(), "\"west\"".to_owned()];
    names.extend((1..=locations).map(|n| format!("\"edge-{n}\"")));
    let of_all = |first: &str, other: &str| {
        let mut all = vec![first.to_owned(), first.to_owned()];
        all.extend((0..locations).map(|_| other.to_owned()));
        all.join(",")
    };
    settings(deadlines)
        .replace(r#""Zones":["east","west","edge-1"]"#, &format!(r#""Zones":[{}]"#, names.join(",")))
        .replace(r#""CountByZone":[0,0,2]"#, &format!(r#""CountByZone":[{}]"#, of_all("0", "2")))
        .replace(r#""LinkInKbPerS":[0.0,0.0,0.0]"#, &format!(r#""LinkInKbPerS":[{}]"#, of_all("0.0", "0.0")))
        .replace(r#""ZoneHub":[0,1,0]"#, &format!(r#""ZoneHub":[0,1,{}]"#, vec!["0"; locations].join(",")))
        .replace(r#""GroupSize":2"#, &format!(r#""GroupSize":{}"#, 2 * locations))
}

/// Settings as the platform gives them to a front of the location `edge-1`, of the form on the wire page, with the site's
/// classes: two that may be repeated and are kept, and signups, which must not run twice. The site's deadlines are 5000,
/// 2500 and 3000 ms.
pub fn settings([video_ms, files_ms, signup_ms]: [u64; 3]) -> String {
    format!(
        r#"{{"Az":2,"Clients":{{"MarksRetry":true}},
"Deductions":{{"Connection":0.0,"CrossZone":0.01,"Discovery":0.0,"Handshake":0.0,"LateFail":0.034,"Moves":0.0,"Origin":0.25,"Peer":0.0,"Probe":0.011,"Waste":0.22}},
"Discovery":"automatic",
"FamilyInfo":{{"ByteFee":0.02,"ClientKbPerS":7800.0,"Collapses":false,"CountByZone":[0,0,2],"FreshForMs":[0.0,0.0,0.0],"InPieces":[true,false,false],"LinkInKbPerS":[0.0,0.0,0.0],"NeverKept":[false,false,true],"NotesGiven":"all","OriginFallMs":3000.0,"ParentFallMultiple":2.0,"ParentFloor":0.061,"ParentRampMs":22000.0,"PurgeSlackMs":1000.0,"PurgeTakesMs":6000.0,"RootFallMultiple":0.0,"ShieldKind":2,"Sideways":"location","SourceKind":3,"StaleEarns":[0.7,0.7,0.7],"Straight":false,"UsableAfterMs":[0.0,0.0,0.0],"ZoneHub":[0,1,0]}},
"GroupSize":2,"Kinds":["small","large","parent","origin"],
"Limits":{{"Cancelling":true,"ConnIdleMs":30000.0,"ConnectTimeoutMs":400.0,"CpuUsPerRequest":0.0,"CpuUsPerS":535487,"MaxOpen":21419,"MaxRetryAfterMs":500.0,"MayTell":false,"Probes":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100,"TryLimit":8}},
"Me":0,"OverShareWorth":0.1,"Realms":[],"Report":{{"Fields":["utilization","outstanding","x1"],"How":"probe"}},
"RequestClasses":[{{"AimStretch":1.6,"Group":"all","HardLimitMs":{video_ms}.0,"LateWorth":0.15,"MemorySpanMs":5000.0,"Name":"video-parts","OnTimeMs":400.0,"Repeat":"free","Streamed":false,"Worth":2.0}},
{{"AimStretch":2.0,"Group":"all","HardLimitMs":{files_ms}.0,"LateWorth":0.2,"MemorySpanMs":5000.0,"Name":"small-files","OnTimeMs":400.0,"Repeat":"free","Streamed":false,"Worth":1.0}},
{{"Group":"all","HardLimitMs":{signup_ms}.0,"LateWorth":0.0,"MemorySpanMs":5000.0,"Name":"plan-signup","OnTimeMs":600.0,"Repeat":"single_shot","Streamed":false,"Worth":3.0}}],
"ResultMix":{{"Whole":0.5,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.3}},
"Rules":{{"AnswerSlackMs":8.0,"DrainGraceMs":2000.0,"FallMs":3000.0,"MustAskInMs":10000.0,"OverloadFactor":3.0,"StartCapacity":0.15,"WarmAfterMs":18000.0}},
"Stage":0,"Stages":["branch-cache"],"TickMs":2.0,"Weights":"rough","Workload":"edge","WorthBy":"request","Zones":["east","west","edge-1"]}}"#
    )
}

// ---- Frame of a case ----------------------------------------------------------------------------------------

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Runs a case: `PROGRAM FOLDER`, where FOLDER is that of `run.sh`. Exit code 0 if the rule held, 1 if it was broken,
/// 2 if the case couldn't run.
pub fn run_case(
    name: &str,
    case: impl FnOnce(&Record, &Path, &Path, bool) -> Res<Verdict> + Send + 'static,
) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let (record, name) = (Record::new(), name.to_owned());
    let (said, at) = (record.clone(), folder.clone());
    let (ended, result) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let run = || -> Res<Verdict> {
            let at = at.canonicalize().map_err(text("folder"))?;
            let repository = at.join("../..").canonicalize().map_err(text("repository"))?;
            if !repository.join("target/release/elmtide").exists() {
                return Err("target/release/elmtide is not built".into());
            }
            let files = Folder::new(&name)?;
            case(&said, &files.0, &repository, trouble)
        };
        let _ = ended.send(run());
    });
    // The case itself ends within a minute; its processes end with the values that hold them.
    let verdict =
        result.recv_timeout(Duration::from_secs(110)).unwrap_or_else(|_| Err("it did not end".into()));
    let (code, line) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(why)) => (1, format!("THE RULE IS BROKEN: {why}")),
        Err(why) => (2, format!("the case couldn't run: {why}")),
    };
    for pid in lock(&STARTED).iter() {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
    record.say(format!("{} (trouble: {trouble})", line));
    println!("{line}");
    if let Err(why) = record.write(&folder.join("record.txt")) {
        println!("{why}");
        std::process::exit(2);
    }
    std::process::exit(code)
}
