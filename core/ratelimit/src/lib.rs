//! Response rate limiting: limits how many DNS answers of a kind each client network gets per second.
//!
//! A table of fixed size holds a token bucket for each recently seen network and kind of answer. It allocates only when
//! it is created. A new network replaces the bucket in its set that is full again soonest; that bucket was full or
//! nearly full, except under a flood from as many networks as the table has slots. Then limits become less strict, but
//! no network is limited because of another. Source: "DNS Response Rate Limiting", ISC-TN-2012-1.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]

pub mod heavy_senders;

/// Milliseconds of any monotonic clock.
pub type Ms = f64;

/// Kind of a DNS answer; each has a bucket of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An answer with records; each name and type has a bucket of its own.
    Answer,
    Referral,
    NoData,
    /// All names that do not exist share one bucket per network, so that a flood of random names does not get a bucket
    /// each.
    NxDomain,
    Error,
}

/// What to do with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Send,
    /// Send an empty answer with TC set: a real client asks again over TCP, and a victim whose address was forged gets
    /// no more bytes than the forged query had.
    Slip,
    Drop,
}

/// Limits per client network, in answers per second; 0 is no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Answers of one name and type.
    pub answers: f64,
    /// Answers for names that do not exist.
    pub nxdomains: f64,
    /// Error answers.
    pub errors: f64,
    /// Answers of all kinds together.
    pub all: f64,
    /// Burst, in seconds of the rate.
    pub burst_s: f64,
    /// Every `slip`-th answer over the limit is sent empty with TC; 0 for none.
    pub slip: u32,
    /// Slots in the table.
    pub places: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            answers: 100.0,
            nxdomains: 20.0,
            errors: 10.0,
            all: 0.0,
            burst_s: 2.0,
            slip: 2,
            places: 16_384,
        }
    }
}

impl Limits {
    /// Checks that each value is within its range.
    pub fn check(&self) -> Result<(), String> {
        for (name, rate) in [
            ("answers", self.answers),
            ("nxdomains", self.nxdomains),
            ("errors", self.errors),
            ("all", self.all),
        ] {
            if !(rate.is_finite() && (0.0..=1e6).contains(&rate)) {
                return Err(format!("{name} is {rate}, but must be 0 (no limit) to 1e6 per second"));
            }
        }
        if !(self.burst_s.is_finite() && (0.1..=60.0).contains(&self.burst_s)) {
            return Err(format!("burst_s is {}, but must be 0.1 to 60", self.burst_s));
        }
        if !(64..=1 << 20).contains(&self.places) {
            return Err(format!("places is {}, but must be 64 to {}", self.places, 1 << 20));
        }
        Ok(())
    }

    fn rate(&self, kind: Kind) -> f64 {
        match kind {
            Kind::Answer | Kind::Referral | Kind::NoData => self.answers,
            Kind::NxDomain => self.nxdomains,
            Kind::Error => self.errors,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Part of the key's hash; 0 for a slot that was never used.
    tag: u32,
    /// Number of tokens that were denied.
    denied: u32,
    /// When the bucket will be full again (the theoretical arrival time of the generic cell rate algorithm).
    full_at: Ms,
}

/// Number of slots in a set of the table; a key may be in any slot of its set.
const SET: usize = 8;

/// Token buckets by key in a set-associative table of fixed size. A new key replaces the bucket in its set that is full
/// again soonest.
#[derive(Debug)]
pub struct Buckets {
    seed: u64,
    table: Box<[Bucket]>,
}

impl Buckets {
    /// A table of about `slots` slots: the number of sets is rounded up to a power of two. The secret `seed` prevents
    /// clients from choosing keys that collide in one set.
    pub fn new(slots: usize, seed: u64) -> Buckets {
        let sets = (slots / SET).next_power_of_two().max(1);
        Buckets { seed, table: vec![Bucket::default(); sets * SET].into() }
    }

    /// Takes a token of a key, whose bucket gets `rate` tokens per second and holds `burst_s` seconds of them. If there
    /// is none, returns how many tokens were denied to the key so far.
    pub fn take(&mut self, key: u64, rate: f64, burst_s: f64, now: Ms) -> Result<(), u32> {
        let token_interval = 1000.0 / rate;
        let burst_ms = (burst_s * 1000.0).max(token_interval);
        let hash = mix(key ^ self.seed);
        let tag = (hash >> 32) as u32 | 1;
        let sets = self.table.len() / SET;
        let set = &mut self.table[(hash as usize & (sets - 1)) * SET..][..SET];
        // The key's own slot, else one never used, else the one that is full again soonest, which loses the least
        // state.
        let slot = set.iter().position(|b| b.tag == tag).unwrap_or_else(|| {
            let full_at = |b: &Bucket| if b.tag == 0 { f64::MIN } else { b.full_at };
            let slot = (0..SET).min_by(|a, b| full_at(&set[*a]).total_cmp(&full_at(&set[*b]))).unwrap_or(0);
            set[slot] = Bucket { tag, denied: 0, full_at: now };
            slot
        });
        let bucket = &mut set[slot];
        let full_at = bucket.full_at.max(now) + token_interval;
        if full_at - now <= burst_ms + 1e-6 {
            bucket.full_at = full_at;
            return Ok(());
        }
        bucket.denied = bucket.denied.wrapping_add(1);
        Err(bucket.denied)
    }
}

/// Limits the answers to each client network.
#[derive(Debug)]
pub struct Limiter {
    limits: Limits,
    buckets: Buckets,
    now: Ms,
}

/// The finalizer of SplitMix64.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

impl Limiter {
    /// The secret `seed` prevents clients from choosing networks that collide in one set.
    pub fn new(limits: Limits, seed: u64) -> Limiter {
        Limiter { limits, buckets: Buckets::new(limits.places, seed), now: 0.0 }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Decides on an answer of this kind to a client network, given as any number that identifies it. `content`
    /// distinguishes answers of the same kind.
    pub fn check(&mut self, network: u64, kind: Kind, content: u64, now: Ms) -> Verdict {
        // While the clock is behind the latest time seen, no token is added or lost.
        self.now = self.now.max(now);
        let rate = self.limits.rate(kind);
        let content = if kind == Kind::NxDomain || kind == Kind::Error { 0 } else { content };
        let mut verdict = Verdict::Send;
        if rate > 0.0 {
            verdict = self.take(mix(network) ^ mix(content ^ (kind as u64) << 56), rate);
        }
        if verdict == Verdict::Send && self.limits.all > 0.0 {
            verdict = self.take(mix(network) ^ 0xA11, self.limits.all);
        }
        verdict
    }

    fn take(&mut self, key: u64, rate: f64) -> Verdict {
        match (self.buckets.take(key, rate, self.limits.burst_s, self.now), self.limits.slip) {
            (Ok(()), _) => Verdict::Send,
            (Err(denied), slip) if slip > 0 && denied.is_multiple_of(slip) => Verdict::Slip,
            _ => Verdict::Drop,
        }
    }
}
