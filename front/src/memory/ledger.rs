//! The ledger of requests that must never run twice: all our addresses share it. A retry at whichever address
//! joins the run that is under way, or is told its result again.

use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};

use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide::{Ms, RequestId};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::exchange::{Answer, ServedCopy, Token};
use crate::memory::longest::Longest;

/// Bounds: entries, bytes of the results that are kept, and clients that wait for one run.
const ENTRIES: usize = 10_000;
const BYTES: usize = 24 << 20;
const WAITING: usize = 64;
/// A result is kept for so many of the longest deadlines after its end: clients retry within one.
pub const LIVES: f64 = 6.0;

/// Results above this are not passed to the process after this one: their keys are, as uncertain.
const PASSED_RESULT: usize = 4096;

/// What a key was used for, as two keyed hashes: nobody can make another request with the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(u64, u64);

/// The keys of both hashes.
type HashKeys = [(u64, u64); 2];

/// A request's fingerprint under the keys that the ledger had then: it may take over another process's.
#[derive(Clone, Copy, Debug)]
pub struct Printed(Fingerprint, HashKeys);

/// What the process after this one must know: of a ledger that takes nothing any more.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Sealed {
    /// The seal's moment on the time line of whoever sealed it.
    at: Ms,
    hash_keys: HashKeys,
    entries: Vec<SealedEntry>,
}

impl Sealed {
    /// The same on the time line of another process, where it was sealed so long before `now`.
    pub fn sealed_before(self, now: Ms, age: Ms) -> Sealed {
        Sealed { at: now - age, ..self }
    }
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct SealedEntry {
    key: String,
    fingerprint: Fingerprint,
    /// For how long from the seal it is remembered.
    left: Ms,
    outcome: SealedOutcome,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum SealedOutcome {
    /// It may have run: never run it again.
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
    /// Made in the future, or longer ago than its entries live, by this machine's clock.
    Dated,
    /// More, longer or other than a ledger of ours holds.
    Foreign,
    /// Signups have been taken here already.
    Late,
}

#[derive(Debug)]
enum State {
    Running(Run),
    Done(Arc<Answer>),
}

/// A run that has not ended: who waits for it, and what the engine knows it as.
#[derive(Debug, Default)]
struct Run {
    waiting: Vec<(u64, Sender<Arc<Answer>>)>,
    request: Option<RequestId>,
}

/// A client's place among those that wait for a run.
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

/// Whether new keys are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    /// What ran before this process is not known yet.
    Closed,
    Open,
    /// What is here has been passed on.
    Sealed,
}

#[derive(Debug)]
struct Book {
    door: Door,
    hash_keys: HashKeys,
    entries: HashMap<Token, Entry>,
    /// Ended runs in the order of their ends, and until when each is remembered.
    ended: VecDeque<(Ms, Token, usize)>,
    bytes: usize,
    /// Places that have been given to those who wait.
    places: u64,
}

impl Book {
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
    book: Mutex<Book>,
    longest: Longest,
}

/// What becomes of a request with this key.
#[derive(Debug)]
pub enum Entered {
    /// It is the first: run it, say so with [`Ledger::runs`], end it with [`Ledger::finish`], and wait for the result here.
    Run(Wait),
    /// It is running: wait for the result here.
    Join(Wait),
    Repeat(Arc<Answer>),
    OtherRequest,
    /// No room, or too soon after a start: nothing has run for it here, but what ran before is not known.
    Refuse,
}

impl Ledger {
    /// Closed until it is opened or has taken over what ran before. The secret keys its hashes.
    pub fn new(secret: [u64; 4], longest: Longest) -> Ledger {
        let [a, b, c, d] = secret;
        let book = Book {
            door: Door::Closed,
            hash_keys: [(a, b), (c, d)],
            entries: HashMap::new(),
            ended: VecDeque::new(),
            bytes: 0,
            places: 0,
        };
        Ledger { book: Mutex::new(book), longest }
    }

    /// For how long a result is kept.
    fn life(&self) -> Ms {
        self.longest.ms() * LIVES
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes new keys from now on: the clients of whatever ran before have given up.
    pub fn open(&self) {
        let mut book = self.book();
        if book.door == Door::Closed {
            book.door = Door::Open;
        }
    }

    /// Takes nothing any more, and tells all that it holds. What has not ended by now is uncertain.
    pub fn seal(&self, now: Ms) -> Sealed {
        let mut book = self.book();
        book.forget(now);
        book.door = Door::Sealed;
        let until: HashMap<&Token, Ms> = book.ended.iter().map(|(until, key, _)| (key, *until)).collect();
        let entry = |(key, entry): (&Token, &Entry)| {
            let outcome = match &entry.state {
                State::Done(answer) => match &**answer {
                    Answer::Served(copy) if copy.bytes.len() <= PASSED_RESULT => SealedOutcome::Served {
                        bytes: copy.bytes.clone(),
                        digest: copy.digest.as_ref().map(|d| d.as_str().to_owned()),
                        client_has_it: copy.client_has_it,
                    },
                    _ => SealedOutcome::Uncertain,
                },
                State::Running(_) => SealedOutcome::Uncertain,
            };
            let left = until.get(key).map_or(self.life(), |until| until - now);
            SealedEntry { key: key.as_str().to_owned(), fingerprint: entry.fingerprint, left, outcome }
        };
        let mut entries: Vec<SealedEntry> = book.entries.iter().map(entry).collect();
        entries.sort_by(|a, b| a.left.total_cmp(&b.left));
        Sealed { at: now, hash_keys: book.hash_keys, entries }
    }

    /// Goes on with what the process before has sealed, and opens; all of it or nothing. Gives the number of keys.
    pub fn take_over(&self, sealed: Sealed, now: Ms) -> Result<usize, NotUsed> {
        let age = now - sealed.at;
        if !(0.0..=self.life()).contains(&age) {
            return Err(NotUsed::Dated);
        }
        if sealed.entries.len() > ENTRIES {
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
            if taken.is_some() || size > PASSED_RESULT || bytes > BYTES {
                return Err(NotUsed::Foreign);
            }
            ended.push_back((until, key, size));
        }
        let mut book = self.book();
        if book.door != Door::Closed {
            return Err(NotUsed::Late);
        }
        let count = entries.len();
        let (door, hash_keys) = (Door::Open, sealed.hash_keys);
        *book = Book { door, hash_keys, entries, ended, bytes, places: 0 };
        Ok(count)
    }

    /// Whether something has run, or runs, for this key here.
    pub fn knows(&self, key: &Token) -> bool {
        self.book().entries.contains_key(key)
    }

    pub fn print(&self, request: &impl Hash) -> Printed {
        let book = self.book();
        Printed(book.fingerprint(request), book.hash_keys)
    }

    pub fn enter(&self, key: &Token, Printed(fingerprint, hash_keys): Printed, now: Ms) -> Entered {
        let mut book = self.book();
        book.forget(now);
        if book.hash_keys != hash_keys {
            return Entered::Refuse;
        }
        let open = book.door == Door::Open;
        let (held, bytes) = (book.entries.len(), book.bytes);
        let (to, result) = bounded(1);
        book.places += 1;
        let place = book.places;
        let wait = Wait { result, place };
        match book.entries.get_mut(key) {
            Some(entry) if entry.fingerprint != fingerprint => Entered::OtherRequest,
            Some(Entry { state: State::Done(answer), .. }) => Entered::Repeat(answer.clone()),
            Some(Entry { state: State::Running(run), .. }) if run.waiting.len() < WAITING => {
                run.waiting.push((place, to));
                Entered::Join(wait)
            }
            Some(_) => Entered::Refuse,
            None if !open || held >= ENTRIES || bytes >= BYTES => Entered::Refuse,
            None => {
                let state = State::Running(Run { waiting: vec![(place, to)], request: None });
                book.entries.insert(key.clone(), Entry { fingerprint, state });
                Entered::Run(wait)
            }
        }
    }

    /// The engine knows the run by this id.
    pub fn runs(&self, key: &Token, request: RequestId) {
        if let Some(Entry { state: State::Running(run), .. }) = self.book().entries.get_mut(key) {
            run.request = Some(request);
        }
    }

    /// A client that waits for the run has left. Gives the run's id if nobody waits for it any more: if none of it has been
    /// sent on by then, it is not to be.
    pub fn leave(&self, key: &Token, wait: &Wait) -> Option<RequestId> {
        let mut book = self.book();
        let State::Running(run) = &mut book.entries.get_mut(key)?.state else { return None };
        run.waiting.retain(|(place, _)| *place != wait.place);
        run.request.filter(|_| run.waiting.is_empty())
    }

    /// The run has ended. What was refused never ran, and may be tried anew; what is uncertain has failed for good.
    pub fn finish(&self, key: &Token, answer: Answer, now: Ms) {
        let mut book = self.book();
        let Some(entry) = book.entries.get_mut(key) else { return };
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
            None => drop(book.entries.remove(key)),
            Some(size) => {
                book.bytes += size;
                book.ended.push_back((now + self.life(), key.clone(), size));
            }
        }
        drop(book);
        // Each channel has room for the one result.
        run.waiting.iter().for_each(|(_, to)| drop(to.try_send(answer.clone())));
    }
}

#[cfg(test)]
mod tests;
