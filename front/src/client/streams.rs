//! The streams on one connection to a cache node: which answer each caller awaits, and how far each request has come.
//! Pure state without sockets, threads or a clock; `connection` runs the threads around it.
//!
//! - A request counts as possibly run from the moment its bytes are handed to the writer, never later.
//! - A request withdrawn before that is never written, even though its bytes are in the writer's queue.
//! - If a request must not run twice, a tag that has been answered on this connection is not used on it again: a
//!   duplicate answer that arrives milliseconds late would be matched to the next attempt.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide::MemberId;

use crate::exchange::{AttemptKey, Progress, Token};
use crate::memory::figures::ClassTally;

/// How long the tag of an abandoned request stays reserved, since its answer may still arrive.
const ABANDONED_TAG_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of answered tags that are remembered.
const MAX_ANSWERED_TAGS: usize = 64;
/// Bounds of the number of silent checks before a ping, see `Peer::checks_before_ping`. A connection with an
/// unanswered request is checked at a fixed interval (`CONNECTION_CHECK_INTERVAL_MS` of the engine). Checks are
/// counted instead of time, because a process that was stopped for a while finds many seconds gone and the answers
/// not read yet.
pub const MIN_CHECKS_BEFORE_PING: u32 = 4;
pub const MAX_CHECKS_BEFORE_PING: u32 = 16;
/// Number of checks without an answer to a ping after which the connection is considered broken. After as many in the
/// middle of an answer that nobody awaits, it accepts no new requests.
const MAX_SILENT_CHECKS: u32 = 4;
/// Number of checks in the middle of an answer, or of a line that does not end, after which the connection is
/// considered broken.
const MAX_STALLED_CHECKS: u32 = 8;
/// A request that waits for a peer that accepts no bytes is no longer sent after this fraction of the shortest grace
/// period (of purges and drains, in the settings): it was decided before purges and drains that may have been
/// announced since and are binding after that period.
const WRITE_DELAY_FRACTION: f64 = 0.7;
/// Bounds of that delay. The platform's rules allow 50 ms of slack.
const MIN_WRITE_DELAY: Duration = Duration::from_millis(40);
const MAX_WRITE_DELAY: Duration = Duration::from_millis(700);

/// The time for which an attempt may wait to be written, from the grace periods after which purges and drains are
/// binding.
pub fn max_write_delay(graces: impl IntoIterator<Item = Option<elmtide::Ms>>) -> Duration {
    let graces = graces.into_iter().flatten().filter(|ms| ms.is_finite());
    let shortest = graces.fold(f64::INFINITY, f64::min);
    let (min, max) = (MIN_WRITE_DELAY, MAX_WRITE_DELAY);
    Duration::try_from_secs_f64(shortest.max(0.0) * WRITE_DELAY_FRACTION / 1000.0)
        .unwrap_or(max)
        .clamp(min, max)
}

/// What the answer of a stream is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Attempt(AttemptKey),
    Probe(MemberId),
    /// A check whether the connection still works.
    Ping,
    Abandoned,
}

impl Purpose {
    /// Whether somebody awaits the answer.
    fn is_awaited(self) -> bool {
        matches!(self, Purpose::Attempt(_) | Purpose::Probe(_))
    }
}

/// The limits on a connection's open streams under which it accepts a request.
#[derive(Clone, Copy, Debug)]
pub struct Sharing {
    /// Maximum number of open streams, including this one.
    pub max_streams: usize,
    /// No other stream: a malformed answer to another request would break the connection and this request with it,
    /// and this one must not be sent again.
    pub exclusive: bool,
}

/// A request to be sent on a connection.
#[derive(Clone, Debug)]
pub struct NewStream<'a> {
    pub tag: &'a Token,
    pub purpose: Purpose,
    pub sharing: Sharing,
    /// Where the attempt is counted once it is fully written.
    pub tally: Option<&'a Arc<ClassTally>>,
    /// Writing must not begin after this time.
    pub write_by: Option<Instant>,
    /// The request is not safe to repeat.
    pub guarded: bool,
    /// The member that serves the request and the member that fills a miss.
    pub members: [Option<MemberId>; 2],
}

/// Identifies a stream: bytes in the writer's queue belong to this stream and not to a later one with the same tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamId(u64);

/// One request on the connection that has not been answered yet.
#[derive(Debug)]
pub struct Stream {
    pub purpose: Purpose,
    pub progress: Progress,
    pub since: Instant,
    id: StreamId,
    tally: Option<Arc<ClassTally>>,
    write_by: Option<Instant>,
    exclusive: bool,
    guarded: bool,
    members: [Option<MemberId>; 2],
}

/// Whether queued bytes are to be written.
#[derive(Debug)]
pub enum WriteDecision {
    /// Write them; the attempt is added to these counters once it is fully written.
    Write(Option<Arc<ClassTally>>),
    /// Nobody awaits the answer any more.
    Skip,
    /// The request waited too long and ends unwritten.
    Expired(Purpose),
    Closed,
}

/// What the reader is in the middle of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadState {
    Idle,
    /// The first line of an answer.
    Line,
    /// The body of the answer to this tag.
    Answer(Token),
}

/// What to do with a connection after a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    Keep,
    /// Ask whether the node is still there.
    SendPing,
    /// Close it.
    Close,
}

/// All streams of a connection, and the state of its reader.
#[derive(Debug)]
pub struct Streams {
    streams: HashMap<Token, Stream>,
    /// Tags of answered requests that must not run twice.
    answered_tags: VecDeque<Token>,
    last_id: u64,
    closed: bool,
    /// Closed by this side because the other side was silent.
    is_closed_by_us: bool,
    /// Accepts no new requests; closed once no stream is open.
    retired: bool,
    last_used: Instant,
    /// A request that has waited longer to be written is no longer written.
    max_write_delay: Duration,
    read_state: ReadState,
    /// Consecutive checks that found the reader in the middle of the same line, or of the same answer that nobody
    /// awaits.
    stuck_checks: u32,
    /// Number of reads at the last check.
    reads_at_last_check: u64,
    /// Checks since the last read.
    silent_checks: u32,
    /// Silent checks before a ping at first, and at present: each ping after which bytes came doubles the number.
    initial_checks_before_ping: u32,
    checks_before_ping: u32,
    ping_sent: bool,
}

impl Streams {
    /// Creates the state of a new connection.
    pub fn new(checks_before_ping: u32, max_write_delay: Duration, now: Instant) -> Streams {
        Streams {
            streams: HashMap::new(),
            answered_tags: VecDeque::new(),
            last_id: 0,
            closed: false,
            is_closed_by_us: false,
            retired: false,
            last_used: now,
            max_write_delay,
            read_state: ReadState::Idle,
            stuck_checks: 0,
            reads_at_last_check: 0,
            silent_checks: 0,
            initial_checks_before_ping: checks_before_ping,
            checks_before_ping,
            ping_sent: false,
        }
    }

    /// Whether this connection can accept the request now.
    pub fn can_accept(&self, new_stream: &NewStream<'_>) -> bool {
        let open = self.streams.values().filter(|s| s.purpose.is_awaited()).count();
        let sharing = new_stream.sharing;
        let is_occupied =
            if sharing.exclusive { open > 0 } else { self.streams.values().any(|s| s.exclusive) };
        let is_tag_used = self.streams.contains_key(new_stream.tag)
            || (new_stream.guarded && self.answered_tags.contains(new_stream.tag));
        !(self.closed
            || self.retired
            || is_occupied
            || is_tag_used
            || open >= sharing.max_streams
            || self.is_blocked_by_read(new_stream, open))
    }

    /// Whether the answer being received keeps the request off this connection: it may break the connection before it
    /// is complete, which must not affect the new request. The beginning of a line on an idle connection belongs to
    /// no request: it breaks the connection, or blocks everything behind it.
    fn is_blocked_by_read(&self, new_stream: &NewStream<'_>, open: usize) -> bool {
        match &self.read_state {
            ReadState::Idle => false,
            ReadState::Line => open == 0 || new_stream.guarded,
            ReadState::Answer(_) => new_stream.guarded,
        }
    }

    /// Opens a stream for a request that [`Streams::can_accept`] has allowed.
    pub fn open(&mut self, new_stream: &NewStream<'_>, now: Instant) -> StreamId {
        self.last_id += 1;
        let id = StreamId(self.last_id);
        let stream = Stream {
            purpose: new_stream.purpose,
            progress: Progress::NotConnected,
            since: now,
            id,
            tally: new_stream.tally.cloned(),
            write_by: new_stream.write_by,
            exclusive: new_stream.sharing.exclusive,
            guarded: new_stream.guarded,
            members: new_stream.members,
        };
        self.streams.insert(new_stream.tag.clone(), stream);
        self.last_used = now;
        id
    }

    /// The id that the next stream will get. It is needed before the stream is opened, since its bytes are queued
    /// first.
    pub fn next_id(&self) -> StreamId {
        StreamId(self.last_id + 1)
    }

    fn is_attempt(&self, tag: &Token, key: AttemptKey) -> bool {
        self.streams.get(tag).is_some_and(|s| s.purpose == Purpose::Attempt(key))
    }

    /// Withdraws an attempt of which nothing has been handed to the writer; false if that is not possible.
    pub fn withdraw(&mut self, tag: &Token, key: AttemptKey) -> bool {
        let is_unwritten = self.streams.get(tag).is_some_and(|s| s.progress == Progress::NotConnected);
        let withdrawn = is_unwritten && self.is_attempt(tag, key);
        if withdrawn {
            self.streams.remove(tag);
        }
        withdrawn
    }

    /// Withdraws all attempts that a lost member would serve or fill and of which nothing has been handed to the
    /// writer.
    pub fn withdraw_from(&mut self, is_lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        let mut withdrawn = Vec::new();
        self.streams.retain(|_, stream| match stream.purpose {
            Purpose::Attempt(key)
                if stream.progress == Progress::NotConnected
                    && stream.members.iter().flatten().any(|m| is_lost(*m)) =>
            {
                withdrawn.push(key);
                false
            }
            _ => true,
        });
        withdrawn
    }

    /// Abandons an attempt and returns how far it had come; `None` if it is not open here. An attempt that was not
    /// begun is never written; for others the caller is to tell the node.
    pub fn abandon(&mut self, tag: &Token, key: AttemptKey, now: Instant) -> Option<Progress> {
        if self.withdraw(tag, key) {
            return Some(Progress::NotConnected);
        }
        if !self.is_attempt(tag, key) {
            return None;
        }
        let stream = self.streams.get_mut(tag)?;
        (stream.purpose, stream.since, stream.exclusive) = (Purpose::Abandoned, now, false);
        Some(stream.progress)
    }

    /// Whether an attempt may have run. One that is no longer here has ended, and its progress has been reported.
    pub fn may_have_run(&self, tag: &Token, key: AttemptKey) -> bool {
        !self.is_attempt(tag, key) || self.streams.get(tag).is_none_or(|s| s.progress.may_have_run())
    }

    /// Accepts no new requests from now on.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Decides whether queued bytes are written: those of a new stream, or, without an id, a message about one that
    /// has already been written. A request counts as fully written from before its write, because the node may act on
    /// its last byte and break the connection before the writer runs again. Only an incomplete write proves
    /// otherwise.
    pub fn begin_write(&mut self, tag: &Token, id: Option<StreamId>, now: Instant) -> WriteDecision {
        if self.closed {
            return WriteDecision::Closed;
        }
        let Some(stream) = self.streams.get_mut(tag) else { return WriteDecision::Skip };
        let Some(id) = id else { return WriteDecision::Write(None) };
        if stream.id != id {
            return WriteDecision::Skip;
        }
        if now.saturating_duration_since(stream.since) > self.max_write_delay
            || stream.write_by.is_some_and(|write_by| now > write_by)
        {
            let purpose = stream.purpose;
            self.streams.remove(tag);
            return WriteDecision::Expired(purpose);
        }
        stream.progress = Progress::FullyWritten;
        WriteDecision::Write(stream.tally.take())
    }

    /// The write of this request was incomplete.
    pub fn mark_partly_written(&mut self, tag: &Token) {
        if let Some(stream) = self.streams.get_mut(tag) {
            stream.progress = Progress::PartlyWritten;
        }
    }

    /// Part of a line has been received.
    pub fn line_started(&mut self) {
        (self.read_state, self.stuck_checks) = (ReadState::Line, 0);
    }

    /// The first line of an answer has been received: from here on the answer is truncated if the connection breaks.
    pub fn answer_started(&mut self, tag: &Token) {
        if let Some(stream) = self.streams.get_mut(tag) {
            stream.progress = Progress::PartlyAnswered;
        }
        (self.read_state, self.stuck_checks) = (ReadState::Answer(tag.clone()), 0);
    }

    /// An answer is complete. Returns the stream that it answers.
    pub fn answer_completed(&mut self, tag: &Token, now: Instant) -> Option<Stream> {
        (self.read_state, self.stuck_checks) = (ReadState::Idle, 0);
        self.last_used = now;
        let stream = self.streams.remove(tag)?;
        if stream.guarded {
            if self.answered_tags.len() >= MAX_ANSWERED_TAGS {
                self.answered_tags.pop_front();
            }
            self.answered_tags.push_back(tag.clone());
        }
        Some(stream)
    }

    /// Checks whether the connection, with this many reads so far, is still of use: a machine that has vanished, or
    /// an answer that never arrives or never ends, would keep it open for ever.
    pub fn check(&mut self, read_count: u64, may_ping: bool) -> CheckResult {
        if self.closed {
            return CheckResult::Keep;
        }
        match &self.read_state {
            ReadState::Line => self.stuck_checks += 1,
            ReadState::Answer(tag) if self.streams.get(tag).is_none_or(|s| !s.purpose.is_awaited()) => {
                self.stuck_checks += 1;
                // Nobody awaits the answer being received, and everything else would wait behind it.
                self.retired |= self.stuck_checks >= MAX_SILENT_CHECKS;
            }
            ReadState::Idle | ReadState::Answer(_) => self.stuck_checks = 0,
        }
        if self.read_state == ReadState::Line && self.stuck_checks >= MAX_STALLED_CHECKS {
            return self.close_silent();
        }
        let in_flight = |s: &Stream| matches!(s.purpose, Purpose::Attempt(_)) && s.progress.may_have_run();
        let is_answer_owed = self.streams.values().any(in_flight);
        if !is_answer_owed || self.reads_at_last_check != read_count {
            self.checks_before_ping =
                if !is_answer_owed { self.initial_checks_before_ping } else { self.checks_before_ping };
            (self.reads_at_last_check, self.silent_checks) = (read_count, 0);
            if std::mem::take(&mut self.ping_sent) {
                self.checks_before_ping = (self.checks_before_ping * 2).min(MAX_CHECKS_BEFORE_PING);
            }
            return CheckResult::Keep;
        }
        self.silent_checks += 1;
        let is_answer_partial = self.streams.values().any(|s| s.progress == Progress::PartlyAnswered);
        let is_limit_reached =
            self.silent_checks >= if is_answer_partial { MAX_STALLED_CHECKS } else { MAX_SILENT_CHECKS };
        if (is_answer_partial || self.ping_sent) && is_limit_reached {
            return self.close_silent();
        }
        if may_ping && !is_answer_partial && !self.ping_sent && self.silent_checks >= self.checks_before_ping
        {
            (self.ping_sent, self.silent_checks) = (true, 0);
            return CheckResult::SendPing;
        }
        CheckResult::Keep
    }

    /// Closes the connection, as nothing more is expected from the other side.
    fn close_silent(&mut self) -> CheckResult {
        (self.closed, self.is_closed_by_us) = (true, true);
        CheckResult::Close
    }

    /// Whether this side closed the connection because the other side was silent.
    pub fn is_closed_by_us(&self) -> bool {
        self.is_closed_by_us
    }

    /// Registers a ping under this tag.
    pub fn open_ping(&mut self, ping: &Token, now: Instant) {
        self.last_id += 1;
        let stream = Stream {
            purpose: Purpose::Ping,
            progress: Progress::FullyWritten,
            since: now,
            id: StreamId(self.last_id),
            tally: None,
            write_by: None,
            exclusive: false,
            guarded: false,
            members: [None; 2],
        };
        self.streams.insert(ping.clone(), stream);
    }

    /// Closes the connection if it has been idle for the timeout, or is retired and idle; true if it closes now.
    pub fn close_if_idle(&mut self, idle_timeout: Duration, now: Instant) -> bool {
        let is_kept = |s: &Stream| {
            s.purpose.is_awaited() || now.saturating_duration_since(s.since) < ABANDONED_TAG_RETENTION
        };
        self.streams.retain(|_, s| is_kept(s));
        let open = self.streams.values().any(|s| s.purpose.is_awaited());
        let is_idle = now.saturating_duration_since(self.last_used) > idle_timeout;
        let closes_now = !self.closed && !open && (self.retired || is_idle);
        self.closed |= closes_now;
        closes_now
    }

    /// Closes the connection and returns its open streams with their progress.
    pub fn close(&mut self) -> impl Iterator<Item = (Purpose, Progress)> {
        self.closed = true;
        std::mem::take(&mut self.streams).into_values().map(|stream| (stream.purpose, stream.progress))
    }
}

#[cfg(test)]
mod tests;
