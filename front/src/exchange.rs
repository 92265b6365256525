//! The types shared by the server side, which receives requests, and the client side, which sends them upstream.
//! Neither side depends on the other. An exchange has an identity, an absolute deadline, the attempts in flight and
//! exactly one final answer.

use std::fmt;
use std::sync::Arc;

use crate::fleet_link::FleetUpdate;
use crate::memory::budget::Held;
use crate::memory::figures::{ClassTally, Ended, InFlight};
use crate::memory::job_ids::JobClaim;
use elmtide_cells::{Layout, ShopId};

use elmtide::{ClassId, FillMode, MemberId, Ms, Note, ObjectId, Outcome, PurgeGroup, RequestId, Try};

/// A token of 1 to 64 letters, digits, `-`, `_` and `.`. It can be a word in a line of a text protocol without
/// escaping.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(Box<str>);

impl Token {
    /// Creates a token; `None` if the bytes are not a valid one.
    pub fn new(bytes: &[u8]) -> Option<Token> {
        let is_allowed = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let fits = (1..=64).contains(&bytes.len()) && bytes.iter().all(is_allowed);
        let text = std::str::from_utf8(bytes).ok().filter(|_| fits)?;
        Some(Token(text.into()))
    }

    /// The token as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A class of requests, as configured.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: Arc<str>,
    pub id: ClassId,
    pub write: bool,
    /// Requests must not run twice.
    pub once: bool,
    /// Cache nodes recognise a repeat by its idempotency key.
    pub keyed: bool,
    pub deadline: Ms,
}

/// The parts of a request that are forwarded unchanged, with the resources that the request holds.
#[derive(Debug)]
pub struct ForwardedRequest {
    pub job: Token,
    pub class_name: Arc<str>,
    pub item: Token,
    pub part: Token,
    /// The digest of the copy that the client already has.
    pub client_digest: Option<Token>,
    /// The key by which cache nodes recognise a repeat, if the client sent one.
    pub idempotency_key: Option<Token>,
    pub body: Vec<u8>,
    /// The request must not run twice.
    pub once: bool,
    /// Never cached: it must run at its source and does not count as a fill.
    pub write: bool,
    /// The request's share of the memory budget of all requests.
    pub _held: Held,
    /// The counters of its class.
    pub tally: Arc<ClassTally>,
}

/// A completely received request, with the fields that routing decisions need.
#[derive(Debug)]
pub struct Incoming {
    pub id: RequestId,
    pub class: ClassId,
    pub object: ObjectId,
    pub part: u32,
    pub group: PurgeGroup,
    pub size_kb: Option<f64>,
    /// The shop (tenant) that it belongs to.
    pub shop: ShopId,
    /// Unix time at which the client stops waiting.
    pub deadline: Ms,
    pub forwarded: Arc<ForwardedRequest>,
    pub responder: Responder,
}

/// The one final answer of an exchange.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    Served(ServedCopy),
    /// Nothing ran, or a retry is harmless; the client may retry after this many milliseconds.
    Refused {
        wait_ms: Option<u64>,
    },
    Failed,
}

/// A client whose answer was given up for its memory is told to return after this time.
const GIVEN_UP_ANSWER_WAIT_MS: u64 = 500;

impl Answer {
    /// What takes the place of a served answer that is given up for its memory.
    pub fn given_up(may_be_repeated: bool) -> Answer {
        match may_be_repeated {
            true => Answer::Refused { wait_ms: Some(GIVEN_UP_ANSWER_WAIT_MS) },
            false => Answer::Failed,
        }
    }

    /// Bytes of the answer's body.
    pub fn body_bytes(&self) -> usize {
        match self {
            Answer::Served(copy) => copy.bytes.len(),
            Answer::Refused { .. } | Answer::Failed => 0,
        }
    }
}

/// The copy that a cache node answered with.
#[derive(Debug, PartialEq, Eq)]
pub struct ServedCopy {
    pub bytes: Vec<u8>,
    /// The digest of this copy.
    pub digest: Option<Token>,
    /// The client already has this copy, so `bytes` is empty.
    pub client_has_it: bool,
}

type AnswerSink = Box<dyn FnOnce(Answer) + Send>;

/// Delivers the final answer to the client's side. Answering consumes the responder, so there is never a second answer;
/// dropping it answers `Failed`, so there is always one. The answer is counted here if counting is on.
pub struct Responder {
    sink: Option<AnswerSink>,
    flight: Option<InFlight>,
    claim: Option<Box<JobClaim>>,
}

impl Responder {
    /// Creates a responder. The engine calls `sink`, so it must not block.
    pub fn new(sink: impl FnOnce(Answer) + Send + 'static) -> Responder {
        Responder { sink: Some(Box::new(sink)), flight: None, claim: None }
    }

    /// Counts the request as in flight until its answer, and counts the answer.
    pub fn counted(mut self, flight: InFlight) -> Responder {
        self.flight = Some(flight);
        self
    }

    /// Ends the claim on the request's job id with its answer.
    pub fn with_claim(mut self, claim: Option<JobClaim>) -> Responder {
        self.claim = claim.map(Box::new);
        self
    }

    /// Delivers the answer.
    pub fn answer(mut self, answer: Answer) {
        self.send_answer(answer);
    }

    /// Drops the responder without an answer, since the client has left. The request may have run.
    pub fn discard(mut self) {
        self.sink = None;
        if let Some(flight) = self.flight.take() {
            flight.end(Ended::Left);
        }
    }

    /// The same where nothing of the request has been sent, so that its job id may come again.
    pub fn discard_unsent(mut self) {
        if let Some(claim) = self.claim.take() {
            claim.release();
        }
        self.discard();
    }

    fn send_answer(&mut self, answer: Answer) {
        if let Some(sink) = self.sink.take() {
            let ended = match &answer {
                Answer::Served(_) => Ended::Served,
                Answer::Refused { .. } => Ended::Refused,
                Answer::Failed => Ended::Failed,
            };
            if let Some(flight) = self.flight.take() {
                flight.end(ended);
            }
            if let Some(claim) = self.claim.take() {
                claim.end(&answer);
            }
            sink(answer);
        }
    }
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.sink.is_some() { "Responder(owed)" } else { "Responder(given)" })
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.send_answer(Answer::Failed);
    }
}

/// Identifies one attempt of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    pub id: RequestId,
    pub attempt: Try,
}

/// An attempt that the client side is to send.
#[derive(Debug)]
pub struct AttemptOrder {
    pub key: AttemptKey,
    pub forwarded: Arc<ForwardedRequest>,
    pub cache: MemberId,
    /// The member that supplies a miss; `None` if no fill is allowed.
    pub source: Option<MemberId>,
    pub rank: u8,
    pub max_age: Option<Ms>,
    pub mode: FillMode,
    pub timeout: Ms,
    /// Unix time after which writing must not begin: by then the node may have forgotten the idempotency key of an
    /// earlier attempt.
    pub write_by: Option<Ms>,
    /// The request is not safe to repeat.
    pub guarded: bool,
}

/// How far an attempt had come when its connection failed. This decides whether a write may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    NotConnected,
    PartlyWritten,
    FullyWritten,
    PartlyAnswered,
}

impl Progress {
    /// Whether the attempt may have run: a cache node acts only on a request that it has received completely.
    pub fn may_have_run(self) -> bool {
        matches!(self, Progress::FullyWritten | Progress::PartlyAnswered)
    }

    /// The outcome if the connection broke.
    pub fn outcome_if_broken(self) -> Outcome {
        if self.may_have_run() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }

    /// The outcome if the attempt timed out.
    pub fn outcome_if_timed_out(self) -> Outcome {
        if self.may_have_run() {
            Outcome::Timeout
        } else {
            Outcome::ConnectFailed
        }
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    Answered {
        outcome: Outcome,
        note: Note,
        copy: Option<ServedCopy>,
    },
    /// The peer closed the connection, or it could not be used.
    ConnectionFailed(Progress),
    /// This machine lacked a resource: nothing was written, and it says nothing about the server.
    NotSent,
    /// This side closed the connection because the server was silent. A server that hangs or is cut off does not
    /// notice, and may still process the request.
    Abandoned(Progress),
}

/// Why nothing was sent to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The member's address is unknown.
    #[error("the address of the server is unknown")]
    NoAddress,
    /// This process can't open another connection or start a thread for it. It says nothing about the member.
    #[error("this process can't open another connection")]
    NoConnection,
}

impl SendError {
    /// The outcome of an attempt that was not sent.
    pub fn outcome(self) -> Outcome {
        match self {
            SendError::NoAddress => Outcome::ConnectFailed,
            SendError::NoConnection => Outcome::Moot,
        }
    }
}

/// The engine's interface to the client side. No call may block.
pub trait Upstream {
    /// Sends an attempt. Its end arrives as an input, unless an error is returned.
    fn send(&mut self, order: &AttemptOrder) -> Result<(), SendError>;
    /// Releases what is kept for an ended attempt.
    fn attempt_ended(&mut self, key: AttemptKey);
    /// Abandons an attempt and returns how far it had come; `None` if its end is already queued.
    fn abandon(&mut self, key: AttemptKey) -> Option<Progress>;
    /// Withdraws an attempt of which nothing has been written, which ends it; false if that is not possible.
    fn withdraw(&mut self, key: AttemptKey) -> bool;
    /// Withdraws all unwritten attempts that a lost member would serve or fill.
    fn withdraw_from(&mut self, lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey>;
    /// Whether an attempt in flight has been fully written.
    fn may_have_run(&self, key: AttemptKey) -> bool;
    /// Probes whether a member responds; the result arrives as an input.
    fn probe(&mut self, member: MemberId) -> Result<(), SendError>;
    /// Applies an update of the members' addresses and start times.
    fn update_members(&mut self, members_update: &MembersUpdate);
    /// Checks connections with unanswered attempts, and closes those that no longer work.
    fn check_connections(&mut self);
    /// Closes connections that have been idle for long.
    fn close_idle(&mut self);
}

/// The addresses of listed members.
#[derive(Clone, Debug, Default)]
pub struct MembersUpdate {
    /// Members that are not included are gone.
    pub full: bool,
    pub members: Vec<MemberUpdate>,
}

/// One member of a `MembersUpdate`.
#[derive(Clone, Debug)]
pub struct MemberUpdate {
    pub member: MemberId,
    pub name: Arc<str>,
    pub addr: Option<std::net::SocketAddr>,
    pub started_at: Option<Ms>,
    pub gone: bool,
}

/// Where a list comes from. A full list of the bus does not include the members that the resolver found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    Bus,
    Resolver,
}

/// New settings from a reload.
pub struct Reconfiguration {
    pub settings: elmtide::Settings,
    /// The file's classes; the id of each is its index in the file's settings.
    pub classes: Vec<Class>,
    /// Called with the classes under the engine's ids, once a router uses them.
    pub done: Box<dyn FnOnce(Result<Vec<Class>, String>) + Send>,
}

impl fmt::Debug for Reconfiguration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Reconfiguration({} classes)", self.classes.len())
    }
}

/// Another layout of cells, or none, which returns to one list and one budget.
pub struct CellsChange {
    pub layout: Option<Box<Layout>>,
    /// Called once the layout is in force, or can't be.
    pub done: Box<dyn FnOnce(Result<(), String>) + Send>,
}

impl fmt::Debug for CellsChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CellsChange({} cells)", self.layout.as_ref().map_or(0, |layout| layout.cells().len()))
    }
}

/// An input of the engine.
#[derive(Debug)]
pub enum Input {
    Request(Incoming),
    /// Requests wait in the request queue.
    RequestsWaiting,
    /// New settings at SIGHUP.
    Reconfigure(Box<Reconfiguration>),
    /// The client has stopped waiting.
    Abandoned(RequestId),
    /// No client waits for the request any more, but its outcome is stored. It is rejected if it has not been sent
    /// on, and continues otherwise.
    NoWaiters(RequestId),
    AttemptEnded {
        key: AttemptKey,
        end: AttemptEnd,
    },
    Probed {
        member: MemberId,
        outcome: Outcome,
        latency: Ms,
    },
    MembersListed {
        from: ListSource,
        members_update: MembersUpdate,
        event: elmtide::Event,
    },
    /// A purge made at this time of the process's steady clock, or before.
    Purged {
        object: Option<ObjectId>,
        group: PurgeGroup,
        at: Ms,
    },
    Cells(CellsChange),
    /// Undoes the move of a shop.
    UndoMove(ShopId),
    /// The processes of this front, this one included, counted from `at` on; `None` if they could not be counted.
    ProcessesObserved {
        at: Ms,
        processes: Option<u32>,
    },
    /// An update from the fleet's thread.
    Fleet(FleetUpdate),
    Stop,
}
