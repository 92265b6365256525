//! A cache node: keeps what it has fetched, runs what is never kept, and can be slow, mute or lose answers.

use std::collections::{BTreeMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Where misses are filled from; what it is asked for is counted.
#[derive(Debug, Default)]
pub struct Origin {
    pub fills: AtomicU64,
    pub bytes: AtomicU64,
    /// Bytes by who was asked for them: parents and the origin, by name.
    pub by_source: Mutex<BTreeMap<String, u64>>,
    /// Fetches a second that it can do, one after the other; 0 for no limit.
    pub rate: Mutex<f64>,
    /// Until when it is busy with those that wait.
    busy: Mutex<Option<Instant>>,
}

impl Origin {
    /// Waits until it is this fetch's turn.
    fn fetch(&self) {
        let rate = *lock(&self.rate);
        if rate <= 0.0 {
            return;
        }
        let now = Instant::now();
        let until = {
            let mut busy = lock(&self.busy);
            let until = busy.map_or(now, |b| b.max(now)) + Duration::from_secs_f64(1.0 / rate);
            *busy = Some(until);
            until
        };
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Before an answer.
    pub delay: Duration,
    /// Takes everything and answers nothing.
    pub mute: bool,
    /// Does what is asked and closes the connection instead of answering, in so many cases of 1.
    pub lose: f64,
    /// Turns work away, in so many cases of 1.
    pub shed: f64,
    pub bytes: usize,
    /// Requests that it works on at once, and that wait besides; what is more is turned away.
    pub slots: usize,
    pub queue: usize,
    /// Just started it has this part of its slots, and all after that long, rising evenly.
    pub cold: Option<(f64, Duration)>,
    /// Bytes a second of its link, which all its answers share; 0 for no limit.
    pub link: f64,
    /// What it lacks and is named no supplier for it says it has not; else it fills by itself.
    pub honest: bool,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            delay: Duration::ZERO,
            mute: false,
            lose: 0.0,
            shed: 0.0,
            bytes: 64,
            slots: 64,
            queue: 256,
            cold: None,
            link: 0.0,
            honest: false,
        }
    }
}

/// A request as the node saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub job: String,
    pub profile: String,
    pub thing: String,
    pub body: Vec<u8>,
    /// Who was to supply a miss; empty for nobody.
    pub parent: String,
    /// The oldest copy that would do, in milliseconds, where it was told.
    pub max_age_ms: Option<u64>,
    /// It was not held.
    pub missed: bool,
}

#[derive(Debug)]
struct Shared {
    behaviour: Mutex<Behaviour>,
    seen: Mutex<Vec<Seen>>,
    held: Mutex<HashSet<String>>,
    origin: Arc<Origin>,
    random: Mutex<StdRng>,
    /// At work, and waiting.
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
    /// When it started, and until when its link is taken.
    started: Mutex<Instant>,
    link: Mutex<Instant>,
    turned_away: Mutex<usize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}

/// Classes that run each time, by the name's second part: signups and their like.
fn never_kept(profile: &str) -> bool {
    profile.ends_with("signup")
}

#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

impl Node {
    pub fn start(
        name: &str,
        listener: TcpListener,
        origin: &Arc<Origin>,
        seed: u64,
    ) -> std::io::Result<Node> {
        let shared = Arc::new(Shared {
            behaviour: Mutex::default(),
            seen: Mutex::default(),
            held: Mutex::default(),
            origin: origin.clone(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            busy: Mutex::default(),
            freed: Condvar::new(),
            started: Mutex::new(Instant::now()),
            link: Mutex::new(Instant::now()),
            turned_away: Mutex::new(0),
        });
        let at = listener.local_addr()?;
        let serving = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                std::thread::spawn(move || drop(serve(stream, &shared)));
            }
        });
        Ok(Node { name: name.into(), at, shared })
    }

    pub fn set(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// It is a new process from here on: it holds nothing, and is cold.
    pub fn start_again(&self) {
        *lock(&self.shared.started) = Instant::now();
        lock(&self.shared.held).clear();
        *lock(&self.shared.turned_away) = 0;
    }

    /// What it has been asked, in order.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.shared.seen).clone()
    }

    /// Requests for which it had no room, not even to wait, since its last start.
    pub fn turned_away(&self) -> usize {
        *lock(&self.shared.turned_away)
    }

    pub fn asked(&self) -> usize {
        lock(&self.shared.seen).len()
    }

    /// Requests that came after a moment.
    pub fn after(&self, moment: Instant) -> usize {
        lock(&self.shared.seen).iter().filter(|s| s.at > moment).count()
    }
}

/// How often each body has run as something that must run once, at all nodes together.
pub fn runs<'a>(nodes: impl IntoIterator<Item = &'a Node>) -> BTreeMap<Vec<u8>, usize> {
    let mut runs = BTreeMap::new();
    for node in nodes {
        for seen in lock(&node.shared.seen).iter().filter(|s| never_kept(&s.profile)) {
            *runs.entry(seen.body.clone()).or_insert(0) += 1;
        }
    }
    runs
}

/// The slots that it has now.
fn slots(shared: &Shared, behaviour: &Behaviour) -> usize {
    let Some((from, warm)) = behaviour.cold else { return behaviour.slots };
    let risen = lock(&shared.started).elapsed().as_secs_f64() / warm.as_secs_f64().max(1e-9);
    let part = (from + (1.0 - from) * risen).clamp(0.0, 1.0);
    ((behaviour.slots as f64 * part) as usize).max(1)
}

/// Waits until the link has carried so many bytes.
fn carry(shared: &Shared, behaviour: &Behaviour) {
    if behaviour.link <= 0.0 {
        return;
    }
    let until = {
        let mut taken = lock(&shared.link);
        let span = Duration::from_secs_f64(behaviour.bytes as f64 / behaviour.link);
        *taken = (*taken).max(Instant::now()) + span;
        *taken
    };
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
}

/// Waits for a slot; false where there is no room even to wait.
fn enter(shared: &Shared, behaviour: &Behaviour) -> bool {
    let slots = slots(shared, behaviour);
    let mut busy = lock(&shared.busy);
    if busy.0 >= slots {
        if busy.1 >= behaviour.queue {
            return false;
        }
        busy.1 += 1;
        busy = shared.freed.wait_while(busy, |b| b.0 >= slots).unwrap_or_else(|p| p.into_inner());
        busy.1 -= 1;
    }
    busy.0 += 1;
    true
}

fn serve(stream: TcpStream, shared: &Arc<Shared>) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    stream.set_nodelay(true)?;
    let stream = Arc::new(Mutex::new(stream));
    let say = |text: &[u8]| lock(&stream).write_all(text);
    loop {
        line.clear();
        if lines.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["there", tag] if !lock(&shared.behaviour).mute => {
                say(format!("{tag} PONG - 0\r\n\r\n").as_bytes())?;
            }
            ["want", job, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0).min(1 << 20) + 2];
                lines.read_exact(&mut body)?;
                body.truncate(body.len() - 2);
                let field = |name: &str| {
                    let mut all = fields.split(',').filter_map(|f| f.split_once('='));
                    all.find(|(n, _)| *n == name).map_or("", |(_, v)| v).to_owned()
                };
                let (profile, thing) = (field("profile"), field("thing"));
                let key = format!("{thing}/{}", field("nth"));
                let behaviour = *lock(&shared.behaviour);
                let draw = |part: f64| part > 0.0 && lock(&shared.random).random::<f64>() < part;
                if draw(behaviour.shed) {
                    say(format!("{job} SHED - 0\r\n\r\n").as_bytes())?;
                    continue;
                }
                let (busy, waiting) = *lock(&shared.busy);
                if busy >= slots(shared, &behaviour) && waiting >= behaviour.queue {
                    *lock(&shared.turned_away) += 1;
                    say(format!("{job} SHED - 0\r\n\r\n").as_bytes())?;
                    continue;
                }
                let parent = field("parent");
                let missed = never_kept(&profile) || !lock(&shared.held).contains(&key);
                let (at, job_id) = (Instant::now(), job.to_owned());
                let profile_of = profile.clone();
                lock(&shared.seen).push(Seen {
                    at,
                    job: job_id,
                    profile: profile_of,
                    thing,
                    body,
                    parent: parent.clone(),
                    max_age_ms: field("accept").parse().ok(),
                    missed,
                });
                if missed && parent.is_empty() && !never_kept(&profile) && behaviour.honest {
                    say(format!("{job} NONE - 0\r\n\r\n").as_bytes())?;
                    continue;
                }
                let fetched = never_kept(&profile) || lock(&shared.held).insert(key);
                if fetched {
                    shared.origin.fills.fetch_add(1, Relaxed);
                    shared.origin.bytes.fetch_add(behaviour.bytes as u64, Relaxed);
                    *lock(&shared.origin.by_source).entry(field("parent")).or_insert(0) +=
                        behaviour.bytes as u64;
                }
                if behaviour.mute {
                    continue;
                }
                let lost = draw(behaviour.lose);
                let (shared, stream, job) = (shared.clone(), stream.clone(), job.to_owned());
                std::thread::spawn(move || {
                    let admitted = enter(&shared, &behaviour);
                    if admitted {
                        if fetched {
                            shared.origin.fetch();
                        }
                        std::thread::sleep(behaviour.delay);
                        carry(&shared, &behaviour);
                        lock(&shared.busy).0 -= 1;
                        shared.freed.notify_one();
                    }
                    let mut stream = lock(&stream);
                    if lost {
                        return drop(stream.shutdown(std::net::Shutdown::Both));
                    }
                    let dated = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
                    let remark = if fetched { "filled" } else { "local" };
                    let bytes = behaviour.bytes;
                    let head = match admitted {
                        true => format!("{job} HIT digest={job},dated={dated},remark={remark} {bytes}\r\n"),
                        false => format!("{job} SHED - 0\r\n\r\n"),
                    };
                    let body = if admitted { [&vec![b'x'; bytes][..], b"\r\n"].concat() } else { Vec::new() };
                    let _ = stream.write_all(&[head.as_bytes(), &body].concat());
                });
            }
            _ => {}
        }
    }
}
