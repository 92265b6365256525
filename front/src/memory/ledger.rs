//! The ledger of requests that must never run twice, shared by all addresses of this front. A retry at any address
//! joins the run in progress or receives its stored result.

use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};

use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide::{Ms, RequestId};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::exchange::{Answer, ServedCopy, Token};
use crate::memory::longest::Longest;

/// Limits: entries, bytes of stored results, and clients waiting for one run.
const MAX_ENTRIES: usize = 10_000;
const MAX_RESULT_BYTES: usize = 24 << 20;
const MAX_WAITING_CLIENTS: usize = 64;
/// A result is kept for this multiple of the longest deadline after its end: clients retry within one deadline.
pub const LIVES: f64 = 6.0;

/// Larger results are not passed to the next process: their keys are passed as uncertain.
const MAX_SEALED_RESULT_BYTES: usize = 4096;

/// A request as two keyed hashes, so that no client can construct another request with the same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(u64, u64);

/// The keys of both hashes.
type HashKeys = [(u64, u64); 2];

/// A request's fingerprint and the hash keys it was made with: the ledger may take over another process's keys later.
#[derive(Clone, Copy, Debug)]
pub struct Printed(Fingerprint, HashKeys);

/// The content of a sealed ledger, for the next process.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Sealed {
    /// When it was sealed, on the time line of the sealing process.
    at: Ms,
    hash_keys: HashKeys,
    entries: Vec<SealedEntry>,
}

impl Sealed {
    /// Moves the seal time to the time line of another process, where it was sealed `age` before `now`.
    pub fn sealed_before(self, now: Ms, age: Ms) -> Sealed {
        Sealed { at: now - age, ..self }
    }
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct SealedEntry {
    key: String,
    fingerprint: Fingerprint,
    /// Remaining retention time, counted from the seal.
    left: Ms,
    outcome: SealedOutcome,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum SealedOutcome {
    /// It may have run and must never run again.
    Uncertain,
    Served {
        bytes: Vec<u8>,
        digest: Option<String>,
        client_has_it: bool,
    },
}

/// Why a sealed ledger is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotUsed {
    /// Sealed in the future, or longer ago than entries are kept, by this machine's clock.
    Dated,
    /// Its entries exceed the limits of a ledger or are invalid.
    Foreign,
    /// This ledger was opened or sealed already.
    Late,
}

#[derive(Debug)]
enum State {
    Running(Run),
    Done(Arc<Answer>),
}

/// A run in progress: the clients waiting for it and its id in the engine.
#[derive(Debug, Default)]
struct Run {
    waiting: Vec<(u64, Sender<Arc<Answer>>)>,
    request: Option<RequestId>,
}

/// A client's registration for the result of a run.
#[derive(Debug)]
pub struct Wait {
    pub result: Receiver<Arc<Answer>>,
    place: u64,
}

#[derive(Debug)]
struct Entry {
    fingerprint: Fingerprint,
    state: State,
}

/// Whether new keys are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LedgerPhase {
    /// It is not known yet what earlier processes have run.
    Closed,
    Open,
    /// The content has been passed to the next process.
    Sealed,
}

#[derive(Debug)]
struct LedgerState {
    phase: LedgerPhase,
    hash_keys: HashKeys,
    entries: HashMap<Token, Entry>,
    /// Ended runs in the order of their ends: expiry time, key and result size.
    ended: VecDeque<(Ms, Token, usize)>,
    bytes: usize,
    /// The last place that was assigned to a waiting client.
    last_place: u64,
}

impl LedgerState {
    fn fingerprint(&self, request: &impl Hash) -> Fingerprint {
        let [a, b] = self.hash_keys.map(|(k0, k1)| {
            let mut hasher = SipHasher13::new_with_keys(k0, k1);
            request.hash(&mut hasher);
            hasher.finish()
        });
        Fingerprint(a, b)
    }

    fn forget(&mut self, now: Ms) {
        while self.ended.front().is_some_and(|(until, ..)| *until <= now) {
            if let Some((_, old, size)) = self.ended.pop_front() {
                self.entries.remove(&old);
                self.bytes -= size;
            }
        }
    }
}

#[derive(Debug)]
pub struct Ledger {
    state: Mutex<LedgerState>,
    longest: Longest,
}

/// What happens to a request with this key.
#[derive(Debug)]
pub enum Entered {
    /// The first with this key: run it, report it with [`Ledger::runs`], end it with [`Ledger::finish`], and wait for
    /// the result here.
    Run(Wait),
    /// It is already running: wait for the result here.
    Join(Wait),
    Repeat(Arc<Answer>),
    OtherRequest,
    /// The ledger is full, closed or sealed, or the hash keys have changed: the request is not run.
    Refuse,
}

impl Ledger {
    /// A closed ledger: it must be opened, or take over a sealed one. The hashes are keyed with `secret`.
    pub fn new(secret: [u64; 4], longest: Longest) -> Ledger {
        let [a, b, c, d] = secret;
        let ledger_state = LedgerState {
            phase: LedgerPhase::Closed,
            hash_keys: [(a, b), (c, d)],
            entries: HashMap::new(),
            ended: VecDeque::new(),
            bytes: 0,
            last_place: 0,
        };
        Ledger { state: Mutex::new(ledger_state), longest }
    }

    /// How long a result is kept.
    fn life(&self) -> Ms {
        self.longest.ms() * LIVES
    }

    fn lock_state(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Accepts new keys from now on: the clients of earlier processes have given up.
    pub fn open(&self) {
        let mut ledger_state = self.lock_state();
        if ledger_state.phase == LedgerPhase::Closed {
            ledger_state.phase = LedgerPhase::Open;
        }
    }

    /// Stops accepting keys and returns the content. Runs that have not ended are uncertain.
    pub fn seal(&self, now: Ms) -> Sealed {
        let mut ledger_state = self.lock_state();
        ledger_state.forget(now);
        ledger_state.phase = LedgerPhase::Sealed;
        let until: HashMap<&Token, Ms> =
            ledger_state.ended.iter().map(|(until, key, _)| (key, *until)).collect();
        let entry = |(key, entry): (&Token, &Entry)| {
            let outcome = match &entry.state {
                State::Done(answer) => match &**answer {
                    Answer::Served(copy) if copy.bytes.len() <= MAX_SEALED_RESULT_BYTES => {
                        SealedOutcome::Served {
                            bytes: copy.bytes.clone(),
                            digest: copy.digest.as_ref().map(|d| d.as_str().to_owned()),
                            client_has_it: copy.client_has_it,
                        }
                    }
                    _ => SealedOutcome::Uncertain,
                },
                State::Running(_) => SealedOutcome::Uncertain,
            };
            let left = until.get(key).map_or(self.life(), |until| until - now);
            SealedEntry { key: key.as_str().to_owned(), fingerprint: entry.fingerprint, left, outcome }
        };
        let mut entries: Vec<SealedEntry> = ledger_state.entries.iter().map(entry).collect();
        entries.sort_by(|a, b| a.left.total_cmp(&b.left));
        Sealed { at: now, hash_keys: ledger_state.hash_keys, entries }
    }

    /// Takes over what the previous process sealed, and opens; all of it or nothing. Returns the number of keys.
    pub fn take_over(&self, sealed: Sealed, now: Ms) -> Result<usize, NotUsed> {
        let age = now - sealed.at;
        if !(0.0..=self.life()).contains(&age) {
            return Err(NotUsed::Dated);
        }
        if sealed.entries.len() > MAX_ENTRIES {
            return Err(NotUsed::Foreign);
        }
        let mut entries = HashMap::new();
        let (mut ended, mut bytes) = (VecDeque::new(), 0);
        for entry in sealed.entries {
            let key = Token::new(entry.key.as_bytes()).ok_or(NotUsed::Foreign)?;
            let until = sealed.at + entry.left;
            let ordered = ended.back().is_none_or(|(last, ..): &(Ms, Token, usize)| *last <= until);
            if !ordered || !(0.0..=self.life()).contains(&entry.left) {
                return Err(NotUsed::Foreign);
            }
            let (answer, size) = match entry.outcome {
                SealedOutcome::Uncertain => (Answer::Failed, 0),
                SealedOutcome::Served { bytes, digest, client_has_it } => {
                    let digest = digest.map(|d| Token::new(d.as_bytes()).ok_or(NotUsed::Foreign));
                    let size = bytes.len();
                    (Answer::Served(ServedCopy { bytes, digest: digest.transpose()?, client_has_it }), size)
                }
            };
            bytes += size;
            let state = State::Done(Arc::new(answer));
            let taken = entries.insert(key.clone(), Entry { fingerprint: entry.fingerprint, state });
            if taken.is_some() || size > MAX_SEALED_RESULT_BYTES || bytes > MAX_RESULT_BYTES {
                return Err(NotUsed::Foreign);
            }
            ended.push_back((until, key, size));
        }
        let mut ledger_state = self.lock_state();
        if ledger_state.phase != LedgerPhase::Closed {
            return Err(NotUsed::Late);
        }
        let count = entries.len();
        let (phase, hash_keys) = (LedgerPhase::Open, sealed.hash_keys);
        *ledger_state = LedgerState { phase, hash_keys, entries, ended, bytes, last_place: 0 };
        Ok(count)
    }

    /// Whether this key has an entry.
    pub fn knows(&self, key: &Token) -> bool {
        self.lock_state().entries.contains_key(key)
    }

    pub fn print(&self, request: &impl Hash) -> Printed {
        let ledger_state = self.lock_state();
        Printed(ledger_state.fingerprint(request), ledger_state.hash_keys)
    }

    pub fn enter(&self, key: &Token, Printed(fingerprint, hash_keys): Printed, now: Ms) -> Entered {
        let mut ledger_state = self.lock_state();
        ledger_state.forget(now);
        if ledger_state.hash_keys != hash_keys {
            return Entered::Refuse;
        }
        let open = ledger_state.phase == LedgerPhase::Open;
        let (held, bytes) = (ledger_state.entries.len(), ledger_state.bytes);
        let (to, result) = bounded(1);
        ledger_state.last_place += 1;
        let place = ledger_state.last_place;
        let wait = Wait { result, place };
        match ledger_state.entries.get_mut(key) {
            Some(entry) if entry.fingerprint != fingerprint => Entered::OtherRequest,
            Some(Entry { state: State::Done(answer), .. }) => Entered::Repeat(answer.clone()),
            Some(Entry { state: State::Running(run), .. }) if run.waiting.len() < MAX_WAITING_CLIENTS => {
                run.waiting.push((place, to));
                Entered::Join(wait)
            }
            Some(_) => Entered::Refuse,
            None if !open || held >= MAX_ENTRIES || bytes >= MAX_RESULT_BYTES => Entered::Refuse,
            None => {
                let state = State::Running(Run { waiting: vec![(place, to)], request: None });
                ledger_state.entries.insert(key.clone(), Entry { fingerprint, state });
                Entered::Run(wait)
            }
        }
    }

    /// Records the id of the run in the engine.
    pub fn runs(&self, key: &Token, request: RequestId) {
        if let Some(Entry { state: State::Running(run), .. }) = self.lock_state().entries.get_mut(key) {
            run.request = Some(request);
        }
    }

    /// Removes a waiting client that has left. Returns the run's id if no client waits for it any more: the run must
    /// then be cancelled if nothing of it has been sent.
    pub fn leave(&self, key: &Token, wait: &Wait) -> Option<RequestId> {
        let mut ledger_state = self.lock_state();
        let State::Running(run) = &mut ledger_state.entries.get_mut(key)?.state else { return None };
        run.waiting.retain(|(place, _)| *place != wait.place);
        run.request.filter(|_| run.waiting.is_empty())
    }

    /// Ends a run. A refused request never ran and may be retried; an uncertain one has failed permanently.
    pub fn finish(&self, key: &Token, answer: Answer, now: Ms) {
        let mut ledger_state = self.lock_state();
        let Some(entry) = ledger_state.entries.get_mut(key) else { return };
        let answer = Arc::new(answer);
        let State::Running(run) = std::mem::replace(&mut entry.state, State::Done(answer.clone())) else {
            return;
        };
        let size = match &*answer {
            Answer::Refused { .. } => None,
            Answer::Served(copy) => Some(copy.bytes.len()),
            Answer::Failed => Some(0),
        };
        match size {
            None => drop(ledger_state.entries.remove(key)),
            Some(size) => {
                ledger_state.bytes += size;
                ledger_state.ended.push_back((now + self.life(), key.clone(), size));
            }
        }
        drop(ledger_state);
        // Each channel has capacity for the one result.
        run.waiting.iter().for_each(|(_, to)| drop(to.try_send(answer.clone())));
    }
}

#[cfg(test)]
mod tests;
