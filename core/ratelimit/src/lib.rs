//! Response rate limiting: how many answers of a kind a client net gets a second.
//!
//! A table of fixed size holds a token bucket for each net and kind seen of late. It never grows and never
//! allocates after its start: a new net takes the place of the one in its set that needs its bucket least, and what
//! is forgotten was full or nearly so, except under a flood of as many nets as the table has places; then limits
//! grow slack, they don't spread to others. Source: "DNS Response Rate Limiting", ISC-TN-2012-1.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]

pub mod heavy_senders;

/// Milliseconds of any clock that does not go back.
pub type Ms = f64;

/// Kinds of answers, each with a bucket of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An answer of this name and type: told apart by `what`.
    Answer,
    Referral,
    NoData,
    /// All names that do not exist share one bucket a net: a flood of random names does not get one each.
    NxDomain,
    Error,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Send,
    /// An empty answer with TC set: a client that is there asks again over TCP, a forged address gets no more
    /// bytes than were sent in its name.
    Slip,
    Drop,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Answers a second for a net: of one name and type, of names that do not exist, of errors, and of all kinds
    /// together. Not above 0: no limit.
    pub answers: f64,
    pub nxdomains: f64,
    pub errors: f64,
    pub all: f64,
    /// Seconds' worth that may be used at once.
    pub burst_s: f64,
    /// Of the answers over the limit each `slip`-th is sent empty with TC; 0 for none.
    pub slip: u32,
    /// Places in the table.
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
    /// Whether each figure can be used.
    pub fn check(&self) -> Result<(), String> {
        for (name, figure) in [
            ("answers", self.answers),
            ("nxdomains", self.nxdomains),
            ("errors", self.errors),
            ("all", self.all),
        ] {
            if !(figure.is_finite() && (0.0..=1e6).contains(&figure)) {
                return Err(format!("{name} is {figure}: 0 (no limit) to 1e6 a second"));
            }
        }
        if !(self.burst_s.is_finite() && (0.1..=60.0).contains(&self.burst_s)) {
            return Err(format!("burst_s is {}: 0.1 to 60", self.burst_s));
        }
        if !(64..=1 << 20).contains(&self.places) {
            return Err(format!("places is {}: 64 to {}", self.places, 1 << 20));
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
    /// 0 for a place never used.
    tag: u32,
    /// Answers over the limit since the first.
    over: u32,
    /// When the bucket will be full again (the theoretical arrival time of the generic cell rate algorithm).
    full_at: Ms,
}

/// Places of one set: a net may be in any of them.
const SET: usize = 8;

/// Token buckets by key in a table of fixed size: it never grows, and a new key takes the place of the bucket in its set
/// that is full again soonest.
#[derive(Debug)]
pub struct Buckets {
    seed: u64,
    table: Box<[Bucket]>,
}

impl Buckets {
    /// The seed keeps others from choosing keys that meet in one set.
    pub fn new(places: usize, seed: u64) -> Buckets {
        let sets = (places / SET).next_power_of_two().max(1);
        Buckets { seed, table: vec![Bucket::default(); sets * SET].into() }
    }

    /// Takes one of a key's tokens, of which there are `rate` a second and `burst_s` seconds' worth at most; where there
    /// is none, how often that has happened.
    pub fn take(&mut self, key: u64, rate: f64, burst_s: f64, now: Ms) -> Result<(), u32> {
        let each = 1000.0 / rate;
        let burst = (burst_s * 1000.0).max(each);
        let hash = mix(key ^ self.seed);
        let tag = (hash >> 32) as u32 | 1;
        let sets = self.table.len() / SET;
        let set = &mut self.table[(hash as usize & (sets - 1)) * SET..][..SET];
        // Its own place, else one never used, else the one that is full again soonest: least is lost with it.
        let at = set.iter().position(|b| b.tag == tag).unwrap_or_else(|| {
            let full = |b: &Bucket| if b.tag == 0 { f64::MIN } else { b.full_at };
            let at = (0..SET).min_by(|a, b| full(&set[*a]).total_cmp(&full(&set[*b]))).unwrap_or(0);
            set[at] = Bucket { tag, over: 0, full_at: now };
            at
        });
        let bucket = &mut set[at];
        let full_at = bucket.full_at.max(now) + each;
        if full_at - now <= burst + 1e-6 {
            bucket.full_at = full_at;
            return Ok(());
        }
        bucket.over = bucket.over.wrapping_add(1);
        Err(bucket.over)
    }
}

#[derive(Debug)]
pub struct Limiter {
    limits: Limits,
    buckets: Buckets,
    now: Ms,
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

impl Limiter {
    /// The seed keeps others from choosing nets that meet in one set.
    pub fn new(limits: Limits, seed: u64) -> Limiter {
        Limiter { limits, buckets: Buckets::new(limits.places, seed), now: 0.0 }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// What becomes of an answer of this kind to this net (any number that stands for it); `what` tells answers
    /// of one kind apart.
    pub fn judge(&mut self, net: u64, kind: Kind, what: u64, now: Ms) -> Verdict {
        // A clock that is set back stands still: tokens are neither lost nor made.
        self.now = self.now.max(now);
        let own = self.limits.rate(kind);
        let what = if kind == Kind::NxDomain || kind == Kind::Error { 0 } else { what };
        let mut verdict = Verdict::Send;
        if own > 0.0 {
            verdict = self.take(mix(net) ^ mix(what ^ (kind as u64) << 56), own);
        }
        if verdict == Verdict::Send && self.limits.all > 0.0 {
            verdict = self.take(mix(net) ^ 0xA11, self.limits.all);
        }
        verdict
    }

    fn take(&mut self, key: u64, rate: f64) -> Verdict {
        match (self.buckets.take(key, rate, self.limits.burst_s, self.now), self.limits.slip) {
            (Ok(()), _) => Verdict::Send,
            (Err(over), every) if every > 0 && over.is_multiple_of(every) => Verdict::Slip,
            _ => Verdict::Drop,
        }
    }
}
