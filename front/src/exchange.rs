//! The exchange: the one place where the side that takes requests in and the side that sends them on meet.
//! Neither knows the other; both know these types. An exchange has an identity, an absolute deadline, the
//! attempts that are out and exactly one final answer.

use std::fmt;
use std::sync::Arc;

use crate::fleet_link::FleetUpdate;
use crate::memory::budget::Held;
use crate::memory::figures::{ClassTally, Ended, InFlight};
use elmtide_cells::{Layout, ShopId};

use elmtide::{ClassId, FillMode, MemberId, Ms, Note, ObjectId, Outcome, PurgeGroup, RequestId, Try};

/// A word of at most 64 letters, digits, `-`, `_` and `.`: it can stand in a line of words as it came.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(Box<str>);

impl Token {
    pub fn new(bytes: &[u8]) -> Option<Token> {
        let plain = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let fits = (1..=64).contains(&bytes.len()) && bytes.iter().all(plain);
        let text = std::str::from_utf8(bytes).ok().filter(|_| fits)?;
        Some(Token(text.into()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A class of requests, as the settings have it.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: Arc<str>,
    pub id: ClassId,
    pub write: bool,
    /// It must not run twice.
    pub once: bool,
    /// Cache nodes know a repeat of it by its key.
    pub keyed: bool,
    pub deadline: Ms,
}

/// What goes on unchanged, as the bytes that came.
#[derive(Debug)]
pub struct Passed {
    pub job: Token,
    pub class_name: Arc<str>,
    pub item: Token,
    pub part: Token,
    pub seen: Option<Token>,
    /// By what cache nodes know a repeat of it, where its client has said so.
    pub unique: Option<Token>,
    pub body: Vec<u8>,
    /// It must not run twice.
    pub once: bool,
    /// It is never kept: it has to be run at its source, and is no fill.
    pub write: bool,
    /// What the request holds of the bytes allowed to all.
    pub _held: Held,
    /// The counts of its class.
    pub tally: Arc<ClassTally>,
}

/// A request that has come whole, with the fields that decisions need.
#[derive(Debug)]
pub struct Incoming {
    pub id: RequestId,
    pub class: ClassId,
    pub object: ObjectId,
    pub part: u32,
    pub group: PurgeGroup,
    pub size_kb: Option<f64>,
    /// Whom it is for.
    pub shop: ShopId,
    /// Unix time at which the client gives up.
    pub deadline: Ms,
    pub passed: Arc<Passed>,
    pub responder: Responder,
}

/// The one final answer of an exchange.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Copy),
    /// Nothing ran, or trying again does no harm; the client may come back after so many milliseconds.
    Refused {
        wait_ms: Option<u64>,
    },
    Failed,
}

/// What a cache node answered with.
#[derive(Debug, PartialEq, Eq)]
pub struct Copy {
    pub bytes: Vec<u8>,
    /// The tag of this copy.
    pub digest: Option<Token>,
    /// The copy that the client has is the one: there are no bytes.
    pub client_has_it: bool,
}

type Sink = Box<dyn FnOnce(Answer) + Send>;

/// Takes the final answer to whoever asked. It is used up by answering, so there is never a second one; dropped
/// without one, it answers 'failed', so there is always a first. Where it is counted, the answer is counted here.
pub struct Responder(Option<Sink>, Option<InFlight>);

impl Responder {
    /// The sink is called by the engine: it may not block.
    pub fn new(sink: impl FnOnce(Answer) + Send + 'static) -> Responder {
        Responder(Some(Box::new(sink)), None)
    }

    /// Counts its answer, and is in flight until then.
    pub fn counted(mut self, flight: InFlight) -> Responder {
        self.1 = Some(flight);
        self
    }

    pub fn answer(mut self, answer: Answer) {
        self.give(answer);
    }

    /// The client has left: no answer is owed.
    pub fn discard(mut self) {
        self.0 = None;
        if let Some(flight) = self.1.take() {
            flight.end(Ended::Left);
        }
    }

    fn give(&mut self, answer: Answer) {
        if let Some(sink) = self.0.take() {
            let ended = match &answer {
                Answer::Served(_) => Ended::Served,
                Answer::Refused { .. } => Ended::Refused,
                Answer::Failed => Ended::Failed,
            };
            if let Some(flight) = self.1.take() {
                flight.end(ended);
            }
            sink(answer);
        }
    }
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_some() { "Responder(owed)" } else { "Responder(given)" })
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.give(Answer::Failed);
    }
}

/// Names one attempt of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    pub id: RequestId,
    pub attempt: Try,
}

/// What the client side is to send, and to whom.
#[derive(Debug)]
pub struct Order {
    pub key: AttemptKey,
    pub passed: Arc<Passed>,
    pub cache: MemberId,
    /// Who supplies a miss; none for no fill.
    pub source: Option<MemberId>,
    pub rank: u8,
    pub max_age: Option<Ms>,
    pub mode: FillMode,
    pub timeout: Ms,
    /// Unix time after which it is not begun to be written: what an earlier attempt did may be forgotten by then.
    pub write_by: Option<Ms>,
    /// It may not simply be repeated.
    pub guarded: bool,
}

/// How far an attempt had come when its connection failed it: this decides whether a write may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    NotConnected,
    PartlyWritten,
    Whole,
    PartOfAnswer,
}

impl Progress {
    /// What is not written whole can't have run: a cache node acts on whole requests only.
    pub fn may_have_run(self) -> bool {
        matches!(self, Progress::Whole | Progress::PartOfAnswer)
    }

    pub fn broken(self) -> Outcome {
        if self.may_have_run() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }

    pub fn timed_out(self) -> Outcome {
        if self.may_have_run() {
            Outcome::Timeout
        } else {
            Outcome::ConnectFailed
        }
    }
}

/// How an attempt came back.
#[derive(Debug)]
pub enum Returned {
    Answered {
        outcome: Outcome,
        note: Note,
        copy: Option<Copy>,
    },
    /// Its connection was ended by the other side, or could not be used.
    Broke(Progress),
    /// This machine was short of something: nothing was written, and it says nothing of the server.
    NotSent,
    /// Its connection was closed by this side over the server's silence: where the server hangs or is cut off it has not heard
    /// of that, and may still work on it.
    Abandoned(Progress),
}

/// Why nothing was sent to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No address of it is known.
    #[error("no address of the server is known")]
    NoAddress,
    /// This process has no room for another connection, or can't get a thread for it. It says nothing of the member.
    #[error("this process can't open another connection")]
    NoConnection,
}

impl SendError {
    /// How an attempt ends that was not sent.
    pub fn outcome(self) -> Outcome {
        match self {
            SendError::NoAddress => Outcome::ConnectFailed,
            SendError::NoConnection => Outcome::Moot,
        }
    }
}

/// The client side as the engine sees it. No call may block.
pub trait Upstream {
    /// Sends an attempt; its end comes back as an event, unless there is no way to send it at all.
    fn send(&mut self, order: &Order) -> Result<(), SendError>;
    /// The attempt has come back.
    fn ended(&mut self, key: AttemptKey);
    /// Gives an attempt up and tells how far it had come; `None` if its end is on the way already.
    fn give_up(&mut self, key: AttemptKey) -> Option<Progress>;
    /// Takes an attempt back of which nothing has been written, nor will be; false if that is not so. It ends by this.
    fn withdraw(&mut self, key: AttemptKey) -> bool;
    /// Takes back all attempts of which nothing has been written and that such a member would serve or fill.
    fn withdraw_from(&mut self, lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey>;
    /// Whether an attempt that is out has been written whole.
    fn may_have_run(&self, key: AttemptKey) -> bool;
    /// Asks a member whether it is there; what comes of that comes back as an event.
    fn probe(&mut self, member: MemberId) -> Result<(), SendError>;
    fn learn(&mut self, news: &MembersNews);
    /// Ends connections that owe answers and are of no further use.
    fn look(&mut self);
    /// Closes what has been idle for long.
    fn sweep(&mut self);
}

/// Where the members of a list are to be found.
#[derive(Clone, Debug, Default)]
pub struct MembersNews {
    /// Members that are not named have gone.
    pub full: bool,
    pub members: Vec<MemberNews>,
}

#[derive(Clone, Debug)]
pub struct MemberNews {
    pub member: MemberId,
    pub name: Arc<str>,
    pub addr: Option<std::net::SocketAddr>,
    pub started_at: Option<Ms>,
    pub gone: bool,
}

/// Who names members. A whole list of the bus says nothing of those that the resolver has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    Bus,
    Resolver,
}

/// Settings that a reload brings.
pub struct Reconfiguration {
    pub settings: elmtide::Settings,
    /// The file's classes, with their places in its settings as ids.
    pub classes: Vec<Class>,
    /// Takes the classes with the engine's ids, once a router decides by them.
    pub done: Box<dyn FnOnce(Result<Vec<Class>, String>) + Send>,
}

impl fmt::Debug for Reconfiguration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Reconfiguration({} classes)", self.classes.len())
    }
}

/// What comes in at the engine.
#[derive(Debug)]
pub enum Input {
    Taken(Incoming),
    /// New settings at SIGHUP: the classes of the file, and who takes the table of names and ids.
    Reconfigure(Box<Reconfiguration>),
    /// The client has stopped waiting.
    Abandoned(RequestId),
    /// Nobody waits for it any more, but its outcome is kept: if none of it has been sent on, it is refused, else it goes on.
    Unwanted(RequestId),
    Returned {
        key: AttemptKey,
        returned: Returned,
    },
    Probed {
        member: MemberId,
        outcome: Outcome,
        latency: Ms,
    },
    Listed {
        from: ListSource,
        news: MembersNews,
        event: elmtide::Event,
    },
    /// Made at this Unix time.
    Purged {
        object: Option<ObjectId>,
        group: PurgeGroup,
        at: Ms,
    },
    /// Other cells from here on; none for one list and one budget again.
    Cells(Option<Box<Layout>>),
    /// A move is taken back.
    UndoMove(ShopId),
    /// News of budgets that belong to all fronts.
    Fleet(FleetUpdate),
    Stop,
}
