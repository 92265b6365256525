//! The job ids of requests that must not run twice, for as long as a run may have effects: an id that comes again is
//! told the outcome of its run, or to return later, and never runs a second time.
//!
//! Invariant: of the requests with one id, at most one is given to the engine until the id is forgotten, by this process
//! and, where claims are shared, by any process of the front. When there is no room for another id, the request is
//! refused; an id is forgotten only by its age.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Arc, Mutex, MutexGuard};

use elmtide::Ms;

use crate::exchange::{Answer, ServedCopy, Token};
use crate::memory::job_claims::JobClaims;
use crate::memory::ledger::LIVES;
use crate::memory::longest::Longest;
use crate::process::clock;
use crate::process::log::RateLimitedLog;

/// The most ids that are remembered, and the bytes of the outcomes that are kept with them.
const MAX_IDS: usize = 10_000;
const MAX_OUTCOME_BYTES: usize = 1 << 20;
/// A longer outcome is not kept: who asks again is told that the request has failed.
const MAX_KEPT_BYTES: usize = 4096;

/// What becomes of a request with a job id.
#[derive(Debug)]
pub enum Claimed {
    /// The first with this id: it may run. The claim is to be ended with its outcome.
    New(JobClaim),
    /// It has run here before; this is its outcome.
    Ended(Arc<Answer>),
    /// It may be running here or in another process of the front, is another request with the same id, or there is no
    /// room to remember it.
    Refused,
}

#[derive(Debug)]
enum JobState {
    Running,
    Ended(Arc<Answer>),
}

#[derive(Debug)]
struct Job {
    fingerprint: u64,
    state: JobState,
}

#[derive(Debug, Default)]
struct Jobs {
    by_id: HashMap<Token, Job>,
    /// When ids are forgotten, in order: those that have ended, and claims of earlier processes.
    expiries: VecDeque<(Ms, Token)>,
    /// Ids whose shared claim is to be given up. The engine ends requests and must not wait for a disk.
    released: Vec<Token>,
    outcome_bytes: usize,
}

impl Jobs {
    /// Forgets the ids whose time is over; gives those whose shared claim is to be given up.
    fn forget(&mut self, now: Ms) -> Vec<Token> {
        let mut released = std::mem::take(&mut self.released);
        while self.expiries.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, job)) = self.expiries.pop_front() else { break };
            if let Some(Job { state: JobState::Ended(answer), .. }) = self.by_id.remove(&job) {
                self.outcome_bytes -= kept_bytes(&answer);
            }
            released.push(job);
        }
        released
    }
}

/// The ids that this process has taken.
#[derive(Debug)]
pub struct JobIds {
    jobs: Mutex<Jobs>,
    hashes: RandomState,
    longest: Longest,
    claims: Option<JobClaims>,
    log: RateLimitedLog,
}

impl JobIds {
    /// Ids of this process alone.
    pub fn new(longest: Longest) -> JobIds {
        let (jobs, hashes, log) = (Mutex::default(), RandomState::new(), RateLimitedLog::default());
        JobIds { jobs, hashes, longest, claims: None, log }
    }

    /// Shares the claims with the other processes of the front. The ids that earlier ones claimed are kept as long as
    /// this process's own.
    pub fn with_claims(mut self, claims: JobClaims, adopted: Vec<Token>) -> JobIds {
        let until = clock::steady_ms() + self.life();
        self.lock().expiries.extend(adopted.into_iter().map(|job| (until, job)));
        self.claims = Some(claims);
        self
    }

    /// How long an id is remembered after its run.
    fn life(&self) -> Ms {
        self.longest.ms() * LIVES
    }

    fn lock(&self) -> MutexGuard<'_, Jobs> {
        self.jobs.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Claims the id of a request; `request` is all by which it differs from others. It may wait for a disk.
    pub fn claim(self: &Arc<Self>, job: &Token, request: &impl Hash, now: Ms) -> Claimed {
        let fingerprint = self.hashes.hash_one(request);
        let mut jobs = self.lock();
        let released = jobs.forget(now);
        let known = match jobs.by_id.get(job) {
            Some(known) if known.fingerprint != fingerprint => Some(Claimed::Refused),
            Some(Job { state: JobState::Ended(answer), .. }) => Some(Claimed::Ended(answer.clone())),
            Some(Job { state: JobState::Running, .. }) => Some(Claimed::Refused),
            None if jobs.by_id.len() >= MAX_IDS => Some(Claimed::Refused),
            None => None,
        };
        if known.is_none() {
            jobs.by_id.insert(job.clone(), Job { fingerprint, state: JobState::Running });
        }
        drop(jobs);
        if let Some(claims) = &self.claims {
            released.iter().for_each(|job| claims.release(job));
        }
        if let Some(known) = known {
            return known;
        }
        if !self.claim_among_processes(job) {
            self.lock().by_id.remove(job);
            return Claimed::Refused;
        }
        Claimed::New(JobClaim { ids: self.clone(), job: job.clone(), is_ended: false })
    }

    /// Where the folder fails, this process goes on with what it knows itself: clients use each id once, and must not be
    /// refused for a fault of the disk.
    fn claim_among_processes(&self, job: &Token) -> bool {
        let Some(claims) = &self.claims else { return true };
        claims.claim(job).unwrap_or_else(|error| {
            self.log.write(|| format!("jobs: ids are not shared with other processes: {error}"));
            true
        })
    }

    fn end(&self, job: &Token, answer: &Answer) {
        let until = clock::steady_ms() + self.life();
        let mut jobs = self.lock();
        let kept = match answer {
            Answer::Served(copy) if jobs.outcome_bytes + copy.bytes.len() <= MAX_OUTCOME_BYTES => keep(copy),
            _ => Answer::Failed,
        };
        jobs.outcome_bytes += kept_bytes(&kept);
        if let Some(known) = jobs.by_id.get_mut(job) {
            known.state = JobState::Ended(Arc::new(kept));
        }
        jobs.expiries.push_back((until, job.clone()));
    }

    fn release(&self, job: &Token) {
        let mut jobs = self.lock();
        jobs.by_id.remove(job);
        if self.claims.is_some() {
            jobs.released.push(job.clone());
        }
    }
}

/// The outcome as it is kept for who asks again.
fn keep(copy: &ServedCopy) -> Answer {
    if copy.bytes.len() > MAX_KEPT_BYTES {
        return Answer::Failed;
    }
    let ServedCopy { bytes, digest, client_has_it } = copy;
    Answer::Served(ServedCopy { bytes: bytes.clone(), digest: digest.clone(), client_has_it: *client_has_it })
}

fn kept_bytes(answer: &Answer) -> usize {
    match answer {
        Answer::Served(copy) => copy.bytes.len(),
        Answer::Refused { .. } | Answer::Failed => 0,
    }
}

/// The claim of a request that may run. Dropped without an outcome, the request may have run, and counts as failed.
#[derive(Debug)]
pub struct JobClaim {
    ids: Arc<JobIds>,
    job: Token,
    is_ended: bool,
}

impl JobClaim {
    /// Ends the claim with the request's answer. A refused request has not run: its id may come again.
    pub fn end(mut self, answer: &Answer) {
        self.is_ended = true;
        match answer {
            Answer::Refused { .. } => self.ids.release(&self.job),
            Answer::Served(_) | Answer::Failed => self.ids.end(&self.job, answer),
        }
    }

    /// Ends the claim of a request that was given up before anything of it was sent.
    pub fn release(mut self) {
        self.is_ended = true;
        self.ids.release(&self.job);
    }
}

impl Drop for JobClaim {
    fn drop(&mut self) {
        if !self.is_ended {
            self.ids.end(&self.job, &Answer::Failed);
        }
    }
}

#[cfg(test)]
mod tests;
