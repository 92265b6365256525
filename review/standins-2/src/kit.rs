//! What the cases share: a cache node, an event bus, clients and the start of fronts. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run: lines with the milliseconds since its start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<Vec<String>>>, Instant);

impl Record {
    pub fn new() -> Record {
        Record(Arc::default(), Instant::now())
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>8.1} {}", self.1.elapsed().as_secs_f64() * 1000.0, text.as_ref());
        self.0.lock().unwrap().push(line);
    }

    pub fn save(&self, path: &Path) {
        let mut text = self.0.lock().unwrap().join("\n");
        text.push('\n');
        let _ = fs::write(path, text);
    }
}

/// A loopback address with a port that was free a moment ago, for TCP and UDP.
pub fn free(ip: &str) -> SocketAddr {
    for _ in 0..100 {
        let Ok(tcp) = TcpListener::bind((ip, 0)) else { continue };
        let at = tcp.local_addr().unwrap();
        if UdpSocket::bind(at).is_ok() {
            return at;
        }
    }
    panic!("no free port")
}

/// A request as a cache node reads it.
#[derive(Clone, Debug)]
pub struct Want {
    pub id: String,
    pub fields: BTreeMap<String, String>,
    /// Unix time at which it had come whole.
    pub at: f64,
}

impl Want {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// What a cache node answers, and after how long; `None` is no answer.
pub struct Reply {
    pub after_ms: u64,
    pub word: &'static str,
    pub fields: String,
    pub body: Vec<u8>,
}

pub type Behaviour = Arc<dyn Fn(&Want) -> Option<Reply> + Send + Sync>;

/// A cache node: answers `want` as its behaviour says, `there` and `busy` at once.
#[derive(Clone)]
pub struct Node {
    pub at: SocketAddr,
    pub wants: Arc<Mutex<Vec<Want>>>,
    /// The attempts that are out: come whole, and neither answered nor given up. By connection and id.
    out: Arc<Mutex<BTreeMap<(u64, String), f64>>>,
}

impl Node {
    pub fn start(behaviour: Behaviour) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Node { at: listener.local_addr().unwrap(), wants: Arc::default(), out: Arc::default() };
        let (wants, out) = (node.wants.clone(), node.out.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (behaviour, wants, open) = (behaviour.clone(), wants.clone(), out.clone());
                thread::spawn(move || {
                    let _ = serve_node(stream, number as u64, &behaviour, &wants, &open);
                    // All that is open on a connection is given up when it is closed.
                    open.lock().unwrap().retain(|(connection, _), _| *connection != number as u64);
                });
            }
        });
        node
    }

    /// The ids of the attempts that are out, and when each had come whole.
    pub fn out(&self) -> Vec<(String, f64)> {
        self.out.lock().unwrap().iter().map(|((_, id), at)| (id.clone(), *at)).collect()
    }

    pub fn seen(&self) -> Vec<Want> {
        self.wants.lock().unwrap().clone()
    }
}

type OpenAttempts = Arc<Mutex<BTreeMap<(u64, String), f64>>>;

fn serve_node(
    stream: TcpStream,
    number: u64,
    behaviour: &Behaviour,
    wants: &Mutex<Vec<Want>>,
    open: &OpenAttempts,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let out = Arc::new(Mutex::new(stream.try_clone()?));
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["want", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                input.read_exact(&mut body)?;
                let pairs = fields.split(',').filter_map(|f| f.split_once('='));
                let fields = pairs.map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
                let want = Want { id: id.to_owned(), fields, at: now_ms() };
                wants.lock().unwrap().push(want.clone());
                open.lock().unwrap().insert((number, want.id.clone()), want.at);
                let Some(reply) = behaviour(&want) else { continue };
                let (out, open) = (out.clone(), open.clone());
                let send = move || {
                    sleep_ms(reply.after_ms);
                    let fields = if reply.fields.is_empty() { "-" } else { &reply.fields };
                    let mut bytes =
                        format!("{} {} {fields} {}\r\n", want.id, reply.word, reply.body.len()).into_bytes();
                    bytes.extend(&reply.body);
                    bytes.extend(b"\r\n");
                    let _ = out.lock().unwrap().write_all(&bytes);
                    open.lock().unwrap().remove(&(number, want.id));
                };
                if reply.after_ms == 0 {
                    send();
                } else {
                    thread::spawn(send);
                }
            }
            ["never_mind", id] => drop(open.lock().unwrap().remove(&(number, id.to_owned()))),
            ["there" | "busy", tag] => {
                out.lock().unwrap().write_all(format!("{tag} PONG - 0\r\n\r\n").as_bytes())?;
            }
            _ => {}
        }
    }
}

/// The event bus: numbered events, told as soon as they are there.
#[derive(Clone)]
pub struct Bus {
    pub at: SocketAddr,
    events: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Bus {
    pub fn start() -> Bus {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let bus = Bus { at: listener.local_addr().unwrap(), events: Arc::default() };
        let served = bus.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let bus = served.clone();
                thread::spawn(move || drop(bus.serve(stream)));
            }
        });
        bus
    }

    /// Adds an event; `rest` is what comes after its number.
    pub fn tell(&self, rest: &str) {
        let mut events = self.events.0.lock().unwrap();
        let number = events.len() + 1;
        events.push(format!("{{\"offset\":{number},{rest}}}"));
        self.events.1.notify_all();
    }

    /// All events from this number on, in the form that a front takes.
    pub fn since(&self, from: usize) -> String {
        let events = self.events.0.lock().unwrap();
        let later = events.get(from.min(events.len())..).unwrap_or(&[]);
        format!("{{\"offset\":{},\"batch\":[{}]}}", events.len(), later.join(","))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if input.read_line(&mut first)? == 0 {
                return Ok(());
            }
            loop {
                let mut line = String::new();
                if input.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                if line == "\r\n" {
                    break;
                }
            }
            let query = first.split(' ').nth(1).unwrap_or("").split('?').nth(1).unwrap_or("").to_owned();
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
                pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok()).unwrap_or(0)
            };
            let (from, until) =
                (value("from") as usize, Instant::now() + Duration::from_millis(value("hold").min(5000)));
            let mut events = self.events.0.lock().unwrap();
            while events.len() <= from && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                events = self.events.1.wait_timeout(events, left).unwrap().0;
            }
            drop(events);
            let body = self.since(from);
            write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
    }
}

/// One server of a list.
pub fn server(
    id: &str,
    at: SocketAddr,
    zone: &str,
    kind: &str,
    state: &str,
    weight: f64,
    started: f64,
) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"{at}\",\"zone\":\"{zone}\",\"kind\":\"{kind}\",\"cell\":0,\
         \"state\":\"{state}\",\"weight\":{weight},\"started_ms\":{}}}",
        started as u64
    )
}

/// An event that tells of a whole list or of a change.
pub fn topology(version: u32, full: bool, servers: &[String]) -> String {
    format!("\"topology\":{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", servers.join(","))
}

/// The settings of a small deployment: three classes, one branch and its hub.
pub fn settings(fronts: u32, me: u32) -> String {
    format!(
        r#"{{"Az":1,"Clients":{{"MarksRetry":true}},"Discovery":"automatic","GroupSize":{fronts},"Me":{me},
"Deductions":{{"Probe":0.011}},"Kinds":["small","large","parent","origin"],"Zones":["east","edge-1"],
"FamilyInfo":{{"ClientKbPerS":8000.0,"Collapses":false,"CountByZone":[0,{fronts}],"FreshForMs":[0.0,0.0,0.0],
"InPieces":[true,false,false],"LinkInKbPerS":[0.0,0.0],"NeverKept":[false,false,true],"NotesGiven":"all",
"ParentFallMultiple":2.0,"ParentFloor":0.061,"ParentRampMs":22000.0,"PurgeSlackMs":1000.0,"PurgeTakesMs":6000.0,
"ShieldKind":2,"Sideways":"location","SourceKind":3,"Straight":false,"UsableAfterMs":[0.0,0.0,0.0],"ZoneHub":[0,0]}},
"Limits":{{"Cancelling":true,"ConnIdleMs":30000.0,"ConnectTimeoutMs":400.0,"MaxRetryAfterMs":500.0,"Probes":true,
"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100,"TryLimit":8}},
"Report":{{"Fields":["utilization","outstanding","x1"],"How":"probe"}},
"RequestClasses":[
{{"AimStretch":1.6,"Group":"all","HardLimitMs":5000.0,"LateWorth":0.15,"MemorySpanMs":5000.0,"Name":"video-parts","OnTimeMs":400.0,"Repeat":"free","Streamed":false,"Worth":2.0}},
{{"AimStretch":2.0,"Group":"all","HardLimitMs":2500.0,"LateWorth":0.2,"MemorySpanMs":5000.0,"Name":"small-files","OnTimeMs":400.0,"Repeat":"free","Streamed":false,"Worth":1.0}},
{{"Group":"all","HardLimitMs":3000.0,"LateWorth":0.0,"MemorySpanMs":5000.0,"Name":"plan-signup","OnTimeMs":600.0,"Repeat":"single_shot","Streamed":false,"Worth":3.0}}],
"Rules":{{"AnswerSlackMs":8.0,"DrainGraceMs":2000.0,"FallMs":3000.0,"MustAskInMs":10000.0,"OverloadFactor":3.0,"StartCapacity":0.15,"WarmAfterMs":18000.0}},
"Stage":0,"Stages":["branch-cache"],"TickMs":2.0,"Weights":"rough","Workload":"edge"}}"#
    )
}

/// A front: its name, addresses and files. Its process is started by `start`.
pub struct Front {
    pub name: String,
    pub folder: PathBuf,
    pub listener: TcpListener,
    pub listen: SocketAddr,
    /// Arguments after `serve`.
    pub arguments: Vec<String>,
    pub settings: String,
    starts: u32,
}

/// The processes that run, by id.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started and still run.
pub fn end_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status();
    }
}

/// A process of a front, killed when dropped.
pub struct Process {
    pub child: Child,
    pub management: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Sends a signal by the system's `kill` command.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {}", self.child.id())).status();
    }

    /// One call at the management address.
    pub fn call(&self, word: &str) -> String {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.management, Duration::from_millis(500)) else {
            return String::new();
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(format!("{word}\n").as_bytes());
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text
    }

    /// Waits until it says that it can serve.
    pub fn ready(&mut self, within_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(within_ms);
        while Instant::now() < until {
            if self.call("STATUS").starts_with("200 yes") {
                return true;
            }
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return false;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Front {
    pub fn new(root: &Path, name: &str, settings: String) -> Front {
        let folder = root.join(name);
        fs::create_dir_all(folder.join("tmp")).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let listen = listener.local_addr().unwrap();
        Front { name: name.into(), folder, listener, listen, arguments: Vec::new(), settings, starts: 0 }
    }

    pub fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    pub fn control(&self) -> PathBuf {
        self.folder.join("control.sock")
    }

    pub fn write_config(&self, bus: &Bus) {
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\
             \"sockets\":1024}},\"bus\":\"{}\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\
             \"known\":{},\"settings\":{}}}",
            self.name,
            self.listen,
            (now_ms() as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(self.starts),
            bus.at,
            bus.since(0),
            self.settings
        );
        fs::write(self.config_path(), text).unwrap();
    }

    /// Starts the program with the deploy file's command. The clients' listener is descriptor 3.
    pub fn start(&mut self, bus: &Bus, inherited: bool) -> Process {
        self.starts += 1;
        self.write_config(bus);
        let management = free("127.0.0.1");
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).unwrap();
        let quoted: Vec<String> = self.arguments.iter().map(|a| format!("'{a}'")).collect();
        let run = format!("exec target/release/elmtide serve {}", quoted.join(" "));
        let mut command = Command::new("/bin/sh");
        command.arg("-c");
        if inherited {
            let fd: OwnedFd = self.listener.try_clone().unwrap().into();
            command.arg(format!("exec 3<&0 0</dev/null; {run}")).stdin(Stdio::from(fd)).env("LB_FD", "3");
        } else {
            command.arg(run).stdin(Stdio::null()).env_remove("LB_FD");
        }
        let child = command
            .env("LB_CONFIG", self.config_path())
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_NAME", &self.name)
            .env("LB_MANAGEMENT", management.to_string())
            .env("TMPDIR", self.folder.join("tmp"))
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        RUNNING.lock().unwrap().push(child.id());
        Process { child, management }
    }
}

/// Runs a command of the program; its output and exit code.
pub fn elmtide(arguments: &[&str]) -> (i32, String) {
    let got = Command::new("target/release/elmtide").args(arguments).output();
    match got {
        Ok(got) => {
            let text = [got.stdout, got.stderr].concat();
            (got.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
        }
        Err(why) => (-1, why.to_string()),
    }
}

/// The folder of a case's run, removed at its end unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// One FastCGI record.
fn fcgi_record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    out.extend([1, kind, (id >> 8) as u8, id as u8, (content.len() >> 8) as u8, content.len() as u8, 0, 0]);
    out.extend(content);
}

/// A web server's connection to a front, with one request open at a time.
pub struct Fcgi {
    stream: TcpStream,
}

/// The status of an answer and its body; status 0 stands for OVERLOADED.
pub struct FcgiAnswer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Fcgi {
    pub fn connect(at: SocketAddr) -> io::Result<Fcgi> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_millis(500))?;
        stream.set_nodelay(true)?;
        Ok(Fcgi { stream })
    }

    /// Sends a request whole.
    pub fn send(&mut self, script: &str, parameters: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut out = Vec::new();
        fcgi_record(&mut out, 1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]);
        let mut pairs = Vec::new();
        let named = [("SCRIPT_NAME", script.to_owned())];
        for (name, value) in named.iter().chain(parameters) {
            pairs.extend([name.len() as u8, value.len() as u8]);
            pairs.extend(name.bytes());
            pairs.extend(value.bytes());
        }
        fcgi_record(&mut out, 4, 1, &pairs);
        fcgi_record(&mut out, 4, 1, &[]);
        if !body.is_empty() {
            fcgi_record(&mut out, 5, 1, body);
        }
        fcgi_record(&mut out, 5, 1, &[]);
        self.stream.write_all(&out)
    }

    /// Reads the answer to the open request.
    pub fn answer(&mut self, within_ms: u64) -> io::Result<FcgiAnswer> {
        self.stream.set_read_timeout(Some(Duration::from_millis(within_ms.max(1))))?;
        let mut output = Vec::new();
        loop {
            let mut head = [0; 8];
            self.stream.read_exact(&mut head)?;
            let length = usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]);
            let mut content = vec![0; length];
            self.stream.read_exact(&mut content)?;
            content.truncate(length - usize::from(head[6]));
            match head[1] {
                6 => output.extend(content),
                3 if content.get(4) != Some(&0) => return Ok(FcgiAnswer { status: 0, body: Vec::new() }),
                3 => break,
                _ => {}
            }
        }
        let end = output.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(output.len());
        let head = String::from_utf8_lossy(&output[..end]).into_owned();
        let status =
            head.lines().find_map(|l| l.strip_prefix("Status: ")).and_then(|s| s.get(..3)?.parse().ok());
        let body = output.get(end + 4..).unwrap_or(&[]).to_vec();
        Ok(FcgiAnswer { status: status.unwrap_or(200), body })
    }
}
