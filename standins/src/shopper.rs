//! Phones and tills: they resolve a name, cling to an address, try a second one, race both, and repeat a signup
//! whose answer they lost, under the same key.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use hickory_proto::op::{Message, Query};
use hickory_proto::rr::{Name, RData, RecordType};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// What an HTTP answer says, as far as a client needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn wait_ms(&self) -> Option<u64> {
        self.header("X-Wait-Ms")?.parse().ok()
    }

    pub fn use_address(&self) -> Option<SocketAddr> {
        self.header("X-Use-Address")?.parse().ok()
    }
}

/// A connection that is kept.
pub struct Http(BufReader<TcpStream>);

impl Http {
    pub fn connect(at: SocketAddr, patience: Duration) -> std::io::Result<Http> {
        let stream = TcpStream::connect_timeout(&at, patience)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Http(BufReader::new(stream)))
    }

    /// As [`Http::connect`], from an address of ours: a client of that net.
    pub fn connect_from(from: IpAddr, at: SocketAddr, patience: Duration) -> std::io::Result<Http> {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.bind(&SocketAddr::new(from, 0).into())?;
        socket.connect_timeout(&at.into(), patience)?;
        let stream: TcpStream = socket.into();
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Http(BufReader::new(stream)))
    }

    pub fn send(&mut self, request: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(request.as_bytes())
    }

    pub fn reply(&mut self) -> std::io::Result<Reply> {
        let mut reply = Reply::default();
        let mut line = String::new();
        let ended = || std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "closed");
        loop {
            line.clear();
            if self.0.read_line(&mut line)? == 0 {
                return Err(ended());
            }
            let text = line.trim_end();
            if text.is_empty() {
                break;
            } else if let Some(code) = text.strip_prefix("HTTP/1.1 ") {
                reply.status = code.get(..3).and_then(|c| c.parse().ok()).unwrap_or(0);
            } else if let Some((name, value)) = text.split_once(": ") {
                reply.headers.push((name.into(), value.into()));
            }
        }
        let length = reply.header("Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
        reply.body = vec![0; length];
        self.0.read_exact(&mut reply.body)?;
        Ok(reply)
    }
}

pub fn get(item: u64) -> String {
    format!("GET /api/v2/small-files HTTP/1.1\r\nHost: b\r\nX-Item: {item:016x}\r\n\r\n")
}

/// A request of a shop by name.
pub fn get_for(item: u64, shop: &str) -> String {
    get(item).replacen("Host: b", &format!("Host: b\r\nX-Shop: {shop}"), 1)
}

pub fn signup_for(key: &str, shop: &str) -> String {
    signup(key).replacen("Host: b", &format!("Host: b\r\nX-Shop: {shop}"), 1)
}

pub fn signup(key: &str) -> String {
    format!(
        "POST /api/v2/plan-signup HTTP/1.1\r\nHost: b\r\nX-Item: 7f3a9c21e0b4d655\r\nIdempotency-Key: {key}\r\n\
         Content-Length: {}\r\n\r\n{key}",
        key.len()
    )
}

/// How often a shopper does what, parts of 1.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// Closes before the answer and asks again.
    pub loses: f64,
    /// Asks at two addresses at once.
    pub races: f64,
    /// Takes the second address of an answer first.
    pub second: f64,
    /// Uses an answer for so long, whatever its TTL.
    pub clings: Duration,
    /// A signup is given up after so long, and not repeated after.
    pub patience: Duration,
}

impl Default for Habits {
    fn default() -> Habits {
        Habits {
            loses: 0.1,
            races: 0.05,
            second: 0.3,
            clings: Duration::from_secs(5),
            patience: Duration::from_millis(880),
        }
    }
}

/// The end of a signup as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Served,
    /// 502: it may have run.
    Uncertain,
    /// 503 until the client gave up: it has not run.
    Refused,
    /// The owner could not be reached (421, and nobody there).
    OwnerAway,
    /// An address took the request and gave no answer in time, by no fault of the client.
    Unanswered,
    /// No address took the connection, or it broke: a front was killed.
    Unreached,
}

pub struct Shopper {
    resolver: SocketAddr,
    name: String,
    port: u16,
    habits: Habits,
    random: StdRng,
    known: Option<(Instant, Vec<IpAddr>)>,
}

impl Shopper {
    pub fn new(resolver: SocketAddr, name: &str, port: u16, habits: Habits, seed: u64) -> Shopper {
        let random = StdRng::seed_from_u64(seed);
        Shopper { resolver, name: name.into(), port, habits, random, known: None }
    }

    fn draw(&mut self, part: f64) -> bool {
        part > 0.0 && self.random.random::<f64>() < part
    }

    /// The addresses that it uses now: an old answer until that is too old, and also where there is no new one.
    pub fn addresses(&mut self) -> Vec<SocketAddr> {
        let old = self.known.as_ref().is_none_or(|(since, _)| since.elapsed() > self.habits.clings);
        if old {
            let id = self.random.random();
            if let Some(found) = lookup(self.resolver, &self.name, id).filter(|f| !f.is_empty()) {
                self.known = Some((Instant::now(), found));
            }
        }
        let known = self.known.iter().flat_map(|(_, ips)| ips);
        known.map(|ip| SocketAddr::new(*ip, self.port)).collect()
    }

    /// One signup with all that may come between, until an answer settles it or patience ends.
    pub fn sign_up(&mut self, key: &str) -> End {
        let end = Instant::now() + self.habits.patience;
        let mut at = self.addresses();
        if at.len() > 1 && self.draw(self.habits.second) {
            at.rotate_left(1);
        }
        let (mut turn, mut last, mut sent_on) = (0, End::Unreached, None);
        while Instant::now() < end {
            let Some(to) = sent_on.take().or_else(|| at.get(turn % at.len().max(1)).copied()) else {
                return End::Unreached;
            };
            turn += 1;
            if at.len() > 1 && self.draw(self.habits.races) {
                // The other address is asked at the same time, and nobody waits for its answer.
                let (other, key) = (at[turn % at.len()], key.to_owned());
                std::thread::spawn(move || {
                    let mut http = Http::connect(other, Duration::from_millis(900)).ok()?;
                    http.send(&signup(&key)).ok()?;
                    http.reply().ok()
                });
            }
            let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let Ok(mut http) = Http::connect(to, left) else {
                last = if last == End::OwnerAway { last } else { End::Unreached };
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            if http.send(&signup(key)).is_err() {
                continue;
            }
            if self.draw(self.habits.loses) {
                drop(http);
                std::thread::sleep(Duration::from_millis(self.random.random_range(1..30)));
                continue;
            }
            match http.reply() {
                Ok(reply) => match reply.status {
                    200 => return End::Served,
                    502 => return End::Uncertain,
                    421 => {
                        last = End::OwnerAway;
                        sent_on = reply.use_address();
                    }
                    _ => {
                        last = End::Refused;
                        let wait = Duration::from_millis(reply.wait_ms().unwrap_or(50));
                        std::thread::sleep(wait.min(end.saturating_duration_since(Instant::now())));
                    }
                },
                Err(why)
                    if matches!(
                        why.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    last = End::Unanswered;
                }
                Err(_) => last = End::Unreached,
            }
        }
        last
    }
}

/// Asks a resolver for the A records of a name.
pub fn lookup(resolver: SocketAddr, name: &str, id: u16) -> Option<Vec<IpAddr>> {
    lookup_from(IpAddr::from([127, 0, 0, 1]), resolver, name, id)
}

/// As [`lookup`], from an address of ours.
pub fn lookup_from(from: IpAddr, resolver: SocketAddr, name: &str, id: u16) -> Option<Vec<IpAddr>> {
    let socket = UdpSocket::bind((from, 0)).ok()?;
    socket.connect(resolver).ok()?;
    let mut message = Message::query();
    message.metadata.id = id;
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(Name::from_ascii(name).ok()?, RecordType::A));
    let asked = message.to_vec().ok()?;
    socket.set_read_timeout(Some(Duration::from_millis(150))).ok()?;
    for _ in 0..4 {
        socket.send(&asked).ok()?;
        let mut bytes = [0; 4096];
        while let Ok(got) = socket.recv(&mut bytes) {
            let Ok(answer) = Message::from_vec(&bytes[..got]) else { continue };
            if answer.metadata.id == id && !answer.metadata.truncation {
                let address = |r: &hickory_proto::rr::Record| match &r.data {
                    RData::A(a) => Some(IpAddr::V4(a.0)),
                    _ => None,
                };
                return Some(answer.answers.iter().filter_map(address).collect());
            }
        }
    }
    None
}
