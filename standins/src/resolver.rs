//! A caching resolver with bad habits: it holds answers beyond their TTL, loses, delays, doubles, reorders, cuts
//! and forges, fails or is silent. It knows a table of its own and asks a name server for the rest.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::A;
use hickory_proto::rr::{Name, RData, Record, RecordType};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// What it does with each answer; the figures are parts of 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Habits {
    /// Answers are held for so long, whatever their TTL.
    pub holds: Option<Duration>,
    pub lose: f64,
    pub delay: Duration,
    /// The answer comes twice.
    pub double: f64,
    /// The answer comes behind the next one.
    pub reorder: f64,
    /// TC is set, and the answer is empty.
    pub truncate: f64,
    /// One with a wrong id and other addresses comes first.
    pub forge: f64,
    /// The answer stops in its middle.
    pub cut: f64,
    pub says: Says,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub enum Says {
    #[default]
    Truth,
    ServFail,
    Nothing,
    NoSuchName,
    /// These addresses for every name.
    Lies(Vec<Ipv4Addr>),
}

type Question = (String, RecordType);

struct Shared {
    habits: Mutex<Habits>,
    table: Mutex<HashMap<Question, Vec<Record>>>,
    held: Mutex<HashMap<Question, (Instant, Message)>>,
    upstream: Mutex<Option<SocketAddr>>,
    random: Mutex<StdRng>,
    late: Mutex<Vec<(SocketAddr, Vec<u8>)>>,
    asked: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}

#[derive(Clone)]
pub struct Resolver {
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

impl Resolver {
    pub fn start(seed: u64) -> std::io::Result<Resolver> {
        let (tcp, udp) = loop {
            let tcp = TcpListener::bind("127.0.0.1:0")?;
            if let Ok(udp) = UdpSocket::bind(tcp.local_addr()?) {
                break (tcp, udp);
            }
        };
        let at = tcp.local_addr()?;
        let shared = Arc::new(Shared {
            habits: Mutex::default(),
            table: Mutex::default(),
            held: Mutex::default(),
            upstream: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            late: Mutex::default(),
            asked: AtomicU64::new(0),
        });
        let (over_udp, over_tcp) = (shared.clone(), shared.clone());
        std::thread::spawn(move || serve_udp(&udp, &over_udp));
        std::thread::spawn(move || {
            for stream in tcp.incoming().flatten() {
                let shared = over_tcp.clone();
                std::thread::spawn(move || drop(serve_tcp(stream, &shared)));
            }
        });
        Ok(Resolver { at, shared })
    }

    pub fn set(&self, habits: Habits) {
        *lock(&self.shared.habits) = habits;
    }

    /// What it says to a name and type from now on.
    pub fn knows(&self, name: &str, kind: RecordType, ttl: u32, data: Vec<RData>) {
        let owner = Name::from_ascii(name).unwrap_or_default();
        let records = data.into_iter().map(|d| Record::from_rdata(owner.clone(), ttl, d)).collect();
        lock(&self.shared.table).insert((name.to_ascii_lowercase(), kind), records);
    }

    pub fn addresses(&self, name: &str, addresses: &[Ipv4Addr]) {
        self.knows(name, RecordType::A, 300, addresses.iter().map(|a| RData::A(A(*a))).collect());
    }

    /// Asked for what the table does not know.
    pub fn forward_to(&self, server: SocketAddr) {
        *lock(&self.shared.upstream) = Some(server);
    }

    pub fn asked(&self) -> u64 {
        self.shared.asked.load(Relaxed)
    }
}

fn serve_udp(socket: &UdpSocket, shared: &Arc<Shared>) {
    let mut bytes = [0; 4096];
    while let Ok((got, from)) = socket.recv_from(&mut bytes) {
        let Ok(query) = Message::from_vec(&bytes[..got]) else { continue };
        let habits = lock(&shared.habits).clone();
        let (shared, socket) = (shared.clone(), socket.try_clone());
        let Ok(socket) = socket else { continue };
        // What is delayed must not delay the others.
        let answer = move || {
            for reply in replies(&query, &shared, &habits, false) {
                std::thread::sleep(habits.delay);
                if chance(&shared, habits.reorder) {
                    lock(&shared.late).push((from, reply));
                    continue;
                }
                let _ = socket.send_to(&reply, from);
                for (to, late) in std::mem::take(&mut *lock(&shared.late)) {
                    let _ = socket.send_to(&late, to);
                }
            }
        };
        std::thread::spawn(answer);
    }
}

fn serve_tcp(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    loop {
        let mut length = [0; 2];
        stream.read_exact(&mut length)?;
        let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut bytes)?;
        let Ok(query) = Message::from_vec(&bytes) else { return Ok(()) };
        let habits = lock(&shared.habits).clone();
        for reply in replies(&query, shared, &habits, true) {
            let framed = [&(reply.len() as u16).to_be_bytes()[..], &reply].concat();
            let upto = if chance(shared, habits.cut) { framed.len() / 2 } else { framed.len() };
            stream.write_all(&framed[..upto])?;
            if upto < framed.len() {
                return Ok(());
            }
        }
    }
}

fn chance(shared: &Shared, part: f64) -> bool {
    part > 0.0 && lock(&shared.random).random::<f64>() < part
}

fn replies(query: &Message, shared: &Shared, habits: &Habits, tcp: bool) -> Vec<Vec<u8>> {
    shared.asked.fetch_add(1, Relaxed);
    let Some(truth) = truth(query, shared, habits) else { return Vec::new() };
    if !tcp && chance(shared, habits.lose) {
        return Vec::new();
    }
    let mut out = Vec::new();
    if !tcp && chance(shared, habits.forge) {
        let mut forged = truth.clone();
        forged.metadata.id ^= 0x5A5A;
        forged.answers = lies(query, &[Ipv4Addr::new(127, 6, 6, 6)]);
        out.extend(forged.to_vec());
    }
    let cut = !tcp && chance(shared, habits.truncate);
    let whole = if cut { truth.truncate() } else { truth };
    let Ok(bytes) = whole.to_vec() else { return out };
    if !tcp && chance(shared, habits.cut) {
        out.push(bytes[..bytes.len() / 2].to_vec());
        return out;
    }
    if chance(shared, habits.double) {
        out.push(bytes.clone());
    }
    out.push(bytes);
    out
}

fn lies(query: &Message, addresses: &[Ipv4Addr]) -> Vec<Record> {
    let Some(question) = query.queries.first().filter(|q| q.query_type() == RecordType::A) else {
        return Vec::new();
    };
    addresses.iter().map(|a| Record::from_rdata(question.name().clone(), 300, RData::A(A(*a)))).collect()
}

/// The answer, before habits spoil its way.
fn truth(query: &Message, shared: &Shared, habits: &Habits) -> Option<Message> {
    let question = query.queries.first()?;
    let key = (question.name().to_lowercase().to_ascii(), question.query_type());
    let mut reply = Message::response(query.metadata.id, query.metadata.op_code);
    reply.add_queries(query.queries.clone());
    match &habits.says {
        Says::Nothing => return None,
        Says::ServFail => {
            reply.metadata.response_code = ResponseCode::ServFail;
            return Some(reply);
        }
        Says::NoSuchName => {
            reply.metadata.response_code = ResponseCode::NXDomain;
            return Some(reply);
        }
        Says::Lies(addresses) => {
            reply.add_answers(lies(query, addresses));
            return Some(reply);
        }
        Says::Truth => {}
    }
    if let (Some(holds), Some((since, held))) = (habits.holds, lock(&shared.held).get(&key)) {
        if since.elapsed() < holds {
            reply.metadata.response_code = held.metadata.response_code;
            reply.add_answers(held.answers.clone());
            return Some(reply);
        }
    }
    if let Some(records) = lock(&shared.table).get(&key) {
        reply.add_answers(records.clone());
    } else if let Some(server) = *lock(&shared.upstream) {
        let from = forward(server, query)?;
        reply.metadata.response_code = from.metadata.response_code;
        reply.add_answers(from.answers);
    }
    if habits.holds.is_some() {
        lock(&shared.held).insert(key, (Instant::now(), reply.clone()));
    }
    Some(reply)
}

fn forward(server: SocketAddr, query: &Message) -> Option<Message> {
    let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
    socket.connect(server).ok()?;
    socket.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    let mut asked = query.clone();
    asked.edns = None;
    socket.send(&asked.to_vec().ok()?).ok()?;
    let mut bytes = [0; 4096];
    let got = socket.recv(&mut bytes).ok()?;
    Message::from_vec(&bytes[..got]).ok()
}
