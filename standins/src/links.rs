//! The network between fronts, in user space: for each directed pair a socket that loses, delays, doubles, spoils, slows,
//! cuts or holds back what is sent through it, by a seed. A front sends to the socket of its pair; nothing of the operating system is
//! changed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use elmtide_fleet::datagram::{peek, PeekedKind};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}

/// How one direction is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    pub loss: f64,
    pub double: f64,
    /// A bit is turned, in so many cases of 1.
    pub spoil: f64,
    /// Least and most delay; what is drawn between reorders.
    pub delay: (Duration, Duration),
    /// Bytes a second; 0 for no limit.
    pub rate: f64,
    pub cut: bool,
}

impl Default for Way {
    fn default() -> Way {
        let delay = (Duration::ZERO, Duration::ZERO);
        Way { loss: 0.0, double: 0.0, spoil: 0.0, delay, rate: 0.0, cut: false }
    }
}

#[derive(Debug, Default)]
struct Held {
    /// Words of this kind are held back, and those kept so far.
    kind: Option<PeekedKind>,
    kept: Vec<Vec<u8>>,
}

struct Pair {
    socket: UdpSocket,
    at: SocketAddr,
    to: Mutex<Option<SocketAddr>>,
    way: Mutex<Way>,
    held: Mutex<Held>,
    /// Until when its rate is taken up.
    busy: Mutex<Instant>,
    sent: AtomicU64,
    bytes: AtomicU64,
}

impl Pair {
    fn forward(&self, bytes: &[u8]) {
        if let Some(to) = *lock(&self.to) {
            let _ = self.socket.send_to(bytes, to);
        }
    }
}

type Late = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

#[derive(Default)]
struct Waiting {
    queue: Mutex<BinaryHeap<Late>>,
    more: Condvar,
}

/// All directed pairs of so many fronts.
pub struct Links {
    pairs: Arc<BTreeMap<(usize, usize), Pair>>,
    fronts: usize,
}

impl Links {
    pub fn start(fronts: usize, seed: u64) -> std::io::Result<Links> {
        let mut pairs = BTreeMap::new();
        for from in 0..fronts {
            for to in (0..fronts).filter(|to| *to != from) {
                let socket = UdpSocket::bind("127.0.0.1:0")?;
                let at = socket.local_addr()?;
                let (way, held) = (Mutex::default(), Mutex::default());
                let (sent, bytes) = (AtomicU64::new(0), AtomicU64::new(0));
                let (to_addr, busy) = (Mutex::new(None), Mutex::new(Instant::now()));
                pairs.insert((from, to), Pair { socket, at, to: to_addr, way, held, busy, sent, bytes });
            }
        }
        let pairs = Arc::new(pairs);
        let waiting: Arc<Waiting> = Arc::default();
        for place in pairs.keys().copied() {
            let (pairs, waiting) = (pairs.clone(), waiting.clone());
            let random = StdRng::seed_from_u64(seed ^ ((place.0 as u64) << 32) ^ place.1 as u64);
            std::thread::Builder::new()
                .name("link".into())
                .stack_size(128 * 1024)
                .spawn(move || carry(&pairs, place, &waiting, random))?;
        }
        let late = pairs.clone();
        std::thread::spawn(move || deliver(&late, &waiting));
        Ok(Links { pairs, fronts })
    }

    /// Where one front sends to reach another.
    pub fn at(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.pairs.get(&(from, to)).map(|p| p.at)
    }

    /// Where a front listens now.
    pub fn listens(&self, front: usize, at: SocketAddr) {
        for (_, pair) in self.pairs.iter().filter(|((_, to), _)| *to == front) {
            *lock(&pair.to) = Some(at);
        }
    }

    /// The machine of a front is gone: its links are silent.
    pub fn silent(&self, front: usize) {
        for (_, pair) in self.pairs.iter().filter(|((_, to), _)| *to == front) {
            *lock(&pair.to) = None;
        }
    }

    pub fn set(&self, from: usize, to: usize, way: Way) {
        if let Some(pair) = self.pairs.get(&(from, to)) {
            *lock(&pair.way) = way;
        }
    }

    pub fn set_all(&self, way: Way) {
        self.pairs.values().for_each(|pair| *lock(&pair.way) = way);
    }

    /// Cuts one direction, or heals it.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        if let Some(pair) = self.pairs.get(&(from, to)) {
            lock(&pair.way).cut = cut;
        }
    }

    /// Only fronts of one part reach each other.
    pub fn split(&self, parts: &[&[usize]]) {
        let part = |front: &usize| parts.iter().position(|p| p.contains(front));
        for ((from, to), pair) in self.pairs.iter() {
            lock(&pair.way).cut = part(from) != part(to);
        }
    }

    pub fn heal(&self) {
        self.set_all(Way::default());
    }

    /// Holds back words of a kind that one front sends, until [`Links::release`].
    pub fn hold(&self, from: usize, kind: PeekedKind) {
        for (_, pair) in self.pairs.iter().filter(|((f, _), _)| *f == from) {
            lock(&pair.held).kind = Some(kind);
        }
    }

    /// How many words of a front are held back.
    pub fn held(&self, from: usize) -> usize {
        self.pairs.iter().filter(|((f, _), _)| *f == from).map(|(_, p)| lock(&p.held).kept.len()).sum()
    }

    /// Lets through what was held back of a front, or drops it.
    pub fn release(&self, from: usize, through: bool) {
        for (_, pair) in self.pairs.iter().filter(|((f, _), _)| *f == from) {
            let held = std::mem::take(&mut *lock(&pair.held));
            if through {
                held.kept.iter().for_each(|bytes| pair.forward(bytes));
            }
        }
    }

    /// What was held back of a front, with whom it was for; it stays held back.
    pub fn kept(&self, from: usize) -> Vec<(usize, Vec<u8>)> {
        let of = self.pairs.iter().filter(|((f, _), _)| *f == from);
        of.flat_map(|((_, to), p)| lock(&p.held).kept.iter().map(|b| (*to, b.clone())).collect::<Vec<_>>())
            .collect()
    }

    /// Puts bytes on a link as if a front had sent them.
    pub fn inject(&self, from: usize, to: usize, bytes: &[u8]) {
        if let Some(pair) = self.pairs.get(&(from, to)) {
            pair.forward(bytes);
        }
    }

    /// Datagrams and bytes that a front has sent.
    pub fn sent(&self, from: usize) -> (u64, u64) {
        let of = self.pairs.iter().filter(|((f, _), _)| *f == from);
        of.fold((0, 0), |(n, b), (_, p)| (n + p.sent.load(Relaxed), b + p.bytes.load(Relaxed)))
    }

    pub fn fronts(&self) -> usize {
        self.fronts
    }
}

fn carry(
    pairs: &BTreeMap<(usize, usize), Pair>,
    place: (usize, usize),
    waiting: &Waiting,
    mut random: StdRng,
) {
    let Some(pair) = pairs.get(&place) else { return };
    let mut bytes = [0; 2048];
    let mut serial = 0u64;
    loop {
        let Ok((got, _)) = pair.socket.recv_from(&mut bytes) else { continue };
        pair.sent.fetch_add(1, Relaxed);
        pair.bytes.fetch_add(got as u64, Relaxed);
        let way = *lock(&pair.way);
        let draw = |chance: f64, random: &mut StdRng| chance > 0.0 && random.random::<f64>() < chance;
        if way.cut || draw(way.loss, &mut random) {
            continue;
        }
        let mut datagram = bytes[..got].to_vec();
        {
            let mut held = lock(&pair.held);
            let kind = peek(&datagram).map(|peeked| peeked.kind);
            if held.kind.is_some() && held.kind == kind {
                held.kept.push(datagram);
                continue;
            }
        }
        if draw(way.spoil, &mut random) {
            let bit = random.random_range(0..got * 8);
            datagram[bit / 8] ^= 1 << (bit % 8);
        }
        let copies = if draw(way.double, &mut random) { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = way.delay.0;
            if way.delay.1 > way.delay.0 {
                delay += (way.delay.1 - way.delay.0).mul_f64(random.random::<f64>());
            }
            let now = Instant::now();
            let mut at = now + delay;
            if way.rate > 0.0 {
                let mut busy = lock(&pair.busy);
                *busy = (*busy).max(now) + Duration::from_secs_f64(got as f64 / way.rate);
                at += busy.saturating_duration_since(now);
            }
            if at <= now {
                pair.forward(&datagram);
            } else {
                serial += 1;
                let mut queue = lock(&waiting.queue);
                queue.push(Reverse((at, serial, place.0, place.1, datagram.clone())));
                waiting.more.notify_one();
            }
        }
    }
}

fn deliver(pairs: &BTreeMap<(usize, usize), Pair>, waiting: &Waiting) {
    let mut queue = lock(&waiting.queue);
    loop {
        let now = Instant::now();
        let due = queue.peek().map(|Reverse((at, ..))| *at);
        match due {
            Some(at) if at <= now => {
                if let Some(Reverse((_, _, from, to, bytes))) = queue.pop() {
                    // A cut that came meanwhile holds for what is under way.
                    if let Some(pair) = pairs.get(&(from, to)).filter(|p| !lock(&p.way).cut) {
                        pair.forward(&bytes);
                    }
                }
            }
            Some(at) => {
                queue = waiting.more.wait_timeout(queue, at - now).unwrap_or_else(|p| p.into_inner()).0
            }
            None => queue = waiting.more.wait(queue).unwrap_or_else(|p| p.into_inner()),
        }
    }
}
