//! What is open on one connection to a cache node: who waits for which answer, and how far each request has come.
//! Values and moments in, decisions out: no socket, no thread, no clock. `connection` has the threads around it.
//!
//! - A request counts as possibly run from the moment its bytes are handed to the writer, never later.
//! - What is taken back before that is never written, though its bytes lie in the writer's queue.
//! - Where a request must not run twice, a tag that has had its answer here is not used here again: a second answer
//!   to it, some milliseconds late, would be taken for the answer to the next attempt.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide::MemberId;

use crate::exchange::{AttemptKey, Progress, Token};
use crate::memory::figures::ClassTally;

/// An answer to what was given up may still cross; its id is kept free of others for so long.
const FORGET_GIVEN_UP: Duration = Duration::from_secs(10);
/// Tags that have had their answers, remembered at most.
const ANSWERED: usize = 64;
/// A connection that owes an answer is looked at in turns, `Limits::look` apart. Turns are counted and not time:
/// a process that was stopped for a while finds many seconds gone and the answers not read yet.
/// After so many without a byte it is asked whether it is still there, at least (`Peer::patience`) and at most,
pub const QUIET: (u32, u32) = (4, 16);
/// after so many without an answer to that it is of no use any more,
const MUTE: u32 = 4;
/// nor is it after so many in the middle of an answer, or of a line that does not end.
const STALLED: u32 = 8;
/// What has waited for a peer that takes in nothing is not sent any more after this part of the shortest time from which on
/// what is told binds (the settings' grace of purges and of drains): it was decided before what may have been told since.
const STALE: f64 = 0.7;
/// Between these. The rules' own slack is 50 ms.
const STALE_RANGE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(700));

/// How long an attempt may wait to be written, by the times from which on what is told binds.
pub fn stale(graces: impl IntoIterator<Item = Option<elmtide::Ms>>) -> Duration {
    let graces = graces.into_iter().flatten().filter(|ms| ms.is_finite());
    let least = graces.fold(f64::INFINITY, f64::min);
    let (from, to) = STALE_RANGE;
    Duration::try_from_secs_f64(least.max(0.0) * STALE / 1000.0).unwrap_or(to).clamp(from, to)
}

/// What an answer on this connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Attempt(AttemptKey),
    Probe(MemberId),
    /// Whether the connection is still of use.
    Ping,
    GivenUp,
}

impl Purpose {
    /// Somebody waits for the answer.
    fn is_wanted(self) -> bool {
        matches!(self, Purpose::Attempt(_) | Purpose::Probe(_))
    }
}

/// How much else may be open on a connection that takes something.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// So many at most, with this one.
    pub streams: usize,
    /// Nothing else: what breaks the connection over another's answer would take this with it, and it must not
    /// be sent again.
    pub alone: bool,
}

/// A request that is to go out on a connection.
#[derive(Clone, Debug)]
pub struct Opening<'a> {
    pub tag: &'a Token,
    pub purpose: Purpose,
    pub room: Room,
    /// Where an attempt that is written whole is counted.
    pub tally: Option<&'a Arc<ClassTally>>,
    /// It is not begun to be written after this moment.
    pub write_by: Option<Instant>,
    /// It may not simply be repeated.
    pub guarded: bool,
    /// Who is to serve it, and who fills a miss.
    pub members: [Option<MemberId>; 2],
}

/// Names one opening of a connection: bytes in the writer's queue belong to it and to no later one of the same tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn(u64);

#[derive(Debug)]
pub struct Slot {
    pub purpose: Purpose,
    pub progress: Progress,
    pub since: Instant,
    turn: Turn,
    tally: Option<Arc<ClassTally>>,
    write_by: Option<Instant>,
    alone: bool,
    guarded: bool,
    members: [Option<MemberId>; 2],
}

/// Whether bytes of the writer's queue are to be written.
#[derive(Debug)]
pub enum Admitted {
    /// With the counts to add the attempt to, once it is written whole.
    Yes(Option<Arc<ClassTally>>),
    /// Nobody waits for it any more.
    Skipped,
    /// It has waited too long: it ends unwritten.
    Overdue(Purpose),
    Closed,
}

/// What the reading side is in the middle of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reading {
    Nothing,
    /// The line that begins an answer.
    Line,
    /// The bytes of the answer to this tag.
    Answer(Token),
}

/// What is to be done about a connection that was looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    Leave,
    /// Ask whether the node is still there.
    Ask,
    /// End it.
    Shut,
}

#[derive(Debug)]
pub struct Streams {
    slots: HashMap<Token, Slot>,
    /// Tags of what must not run twice that have had an answer here.
    answered: VecDeque<Token>,
    turns: u64,
    closed: bool,
    /// By this side, over the other side's silence.
    is_shut_by_us: bool,
    /// Takes nothing new; closed once nothing is open.
    retired: bool,
    last_used: Instant,
    /// What has waited so long is not written any more.
    stale: Duration,
    reading: Reading,
    /// Looks that found the reading side in the middle of one and the same thing that nobody waits for.
    stuck: u32,
    /// Reads at the last look, looks since then, and how many until it is asked.
    seen: u64,
    quiet: u32,
    usual_patience: u32,
    patience: u32,
    asked: bool,
}

impl Streams {
    pub fn new(patience: u32, stale: Duration, now: Instant) -> Streams {
        Streams {
            slots: HashMap::new(),
            answered: VecDeque::new(),
            turns: 0,
            closed: false,
            is_shut_by_us: false,
            retired: false,
            last_used: now,
            stale,
            reading: Reading::Nothing,
            stuck: 0,
            seen: 0,
            quiet: 0,
            usual_patience: patience,
            patience,
            asked: false,
        }
    }

    /// Whether this connection can take it now.
    pub fn accepts(&self, opening: &Opening<'_>) -> bool {
        let open = self.slots.values().filter(|s| s.purpose.is_wanted()).count();
        let room = opening.room;
        let taken = if room.alone { open > 0 } else { self.slots.values().any(|s| s.alone) };
        let used =
            self.slots.contains_key(opening.tag) || (opening.guarded && self.answered.contains(opening.tag));
        !(self.closed || self.retired || taken || used || open >= room.streams || self.is_busy(opening, open))
    }

    /// What is coming may break the connection before it is whole, and the opening must not be broken by it. The beginning of
    /// a line on an idle connection belongs to nobody: it ends the connection, or keeps all else waiting.
    fn is_busy(&self, opening: &Opening<'_>, open: usize) -> bool {
        match &self.reading {
            Reading::Nothing => false,
            Reading::Line => open == 0 || opening.guarded,
            Reading::Answer(_) => opening.guarded,
        }
    }

    pub fn open(&mut self, opening: &Opening<'_>, now: Instant) -> Turn {
        self.turns += 1;
        let turn = Turn(self.turns);
        let slot = Slot {
            purpose: opening.purpose,
            progress: Progress::NotConnected,
            since: now,
            turn,
            tally: opening.tally.cloned(),
            write_by: opening.write_by,
            alone: opening.room.alone,
            guarded: opening.guarded,
            members: opening.members,
        };
        self.slots.insert(opening.tag.clone(), slot);
        self.last_used = now;
        turn
    }

    /// The turn that the next opening has: its bytes are queued before it is open.
    pub fn next_turn(&self) -> Turn {
        Turn(self.turns + 1)
    }

    fn is_attempt(&self, tag: &Token, key: AttemptKey) -> bool {
        self.slots.get(tag).is_some_and(|s| s.purpose == Purpose::Attempt(key))
    }

    /// Takes an attempt back of which nothing has been handed to the writer; false if that is not so.
    pub fn withdraw(&mut self, tag: &Token, key: AttemptKey) -> bool {
        let unwritten = self.slots.get(tag).is_some_and(|s| s.progress == Progress::NotConnected);
        let back = unwritten && self.is_attempt(tag, key);
        if back {
            self.slots.remove(tag);
        }
        back
    }

    /// Takes back all attempts of which nothing has been handed to the writer and that such a member would serve or
    /// fill.
    pub fn withdraw_from(&mut self, lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        let mut back = Vec::new();
        self.slots.retain(|_, slot| match slot.purpose {
            Purpose::Attempt(key)
                if slot.progress == Progress::NotConnected
                    && slot.members.iter().flatten().any(|m| lost(*m)) =>
            {
                back.push(key);
                false
            }
            _ => true,
        });
        back
    }

    /// Gives an attempt up; tells how far it had come, `None` if it is not open here. What had not been begun is
    /// never written; of the rest the node is to be told.
    pub fn give_up(&mut self, tag: &Token, key: AttemptKey, now: Instant) -> Option<Progress> {
        if self.withdraw(tag, key) {
            return Some(Progress::NotConnected);
        }
        if !self.is_attempt(tag, key) {
            return None;
        }
        let slot = self.slots.get_mut(tag)?;
        (slot.purpose, slot.since, slot.alone) = (Purpose::GivenUp, now, false);
        Some(slot.progress)
    }

    /// Whether an attempt may have run. One that is not here any more has ended: how far it came is on its way.
    pub fn may_have_run(&self, tag: &Token, key: AttemptKey) -> bool {
        !self.is_attempt(tag, key) || self.slots.get(tag).is_none_or(|s| s.progress.may_have_run())
    }

    /// Takes nothing new from now on.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Whether bytes are to be written: those of an opening, or what is said of one that is written already. An
    /// opening counts as whole from before its write: the node may act on its last byte, and break the connection,
    /// before the writer runs again. Only a write that falls short proves less.
    pub fn admit(&mut self, tag: &Token, turn: Option<Turn>, now: Instant) -> Admitted {
        if self.closed {
            return Admitted::Closed;
        }
        let Some(slot) = self.slots.get_mut(tag) else { return Admitted::Skipped };
        let Some(turn) = turn else { return Admitted::Yes(None) };
        if slot.turn != turn {
            return Admitted::Skipped;
        }
        if now.saturating_duration_since(slot.since) > self.stale || slot.write_by.is_some_and(|by| now > by)
        {
            let purpose = slot.purpose;
            self.slots.remove(tag);
            return Admitted::Overdue(purpose);
        }
        slot.progress = Progress::FullyWritten;
        Admitted::Yes(slot.tally.take())
    }

    /// The write of this fell short.
    pub fn fell_short(&mut self, tag: &Token) {
        if let Some(slot) = self.slots.get_mut(tag) {
            slot.progress = Progress::PartlyWritten;
        }
    }

    /// A line has begun to come and is not whole.
    pub fn line_begins(&mut self) {
        (self.reading, self.stuck) = (Reading::Line, 0);
    }

    /// The line of an answer has come: from here on it is cut if it is not whole.
    pub fn answer_begins(&mut self, tag: &Token) {
        if let Some(slot) = self.slots.get_mut(tag) {
            slot.progress = Progress::PartlyAnswered;
        }
        (self.reading, self.stuck) = (Reading::Answer(tag.clone()), 0);
    }

    /// An answer has come whole: whom it is for.
    pub fn answer_ends(&mut self, tag: &Token, now: Instant) -> Option<Slot> {
        (self.reading, self.stuck) = (Reading::Nothing, 0);
        self.last_used = now;
        let slot = self.slots.remove(tag)?;
        if slot.guarded {
            if self.answered.len() >= ANSWERED {
                self.answered.pop_front();
            }
            self.answered.push_back(tag.clone());
        }
        Some(slot)
    }

    /// Whether the connection, read from so often by now, is still of use: a machine that has vanished, and an
    /// answer that never comes or never ends, leave it open for good.
    pub fn look(&mut self, reads: u64, may_ask: bool) -> Look {
        if self.closed {
            return Look::Leave;
        }
        match &self.reading {
            Reading::Line => self.stuck += 1,
            Reading::Answer(tag) if self.slots.get(tag).is_none_or(|s| !s.purpose.is_wanted()) => {
                self.stuck += 1;
                // Nobody waits for what is coming, and all else would wait behind it.
                self.retired |= self.stuck >= MUTE;
            }
            Reading::Nothing | Reading::Answer(_) => self.stuck = 0,
        }
        if self.reading == Reading::Line && self.stuck >= STALLED {
            return self.shut();
        }
        let out = |s: &Slot| matches!(s.purpose, Purpose::Attempt(_)) && s.progress.may_have_run();
        let owes = self.slots.values().any(out);
        if !owes || self.seen != reads {
            self.patience = if !owes { self.usual_patience } else { self.patience };
            (self.seen, self.quiet) = (reads, 0);
            if std::mem::take(&mut self.asked) {
                self.patience = (self.patience * 2).min(QUIET.1);
            }
            return Look::Leave;
        }
        self.quiet += 1;
        let cut = self.slots.values().any(|s| s.progress == Progress::PartlyAnswered);
        let useless = self.quiet >= if cut { STALLED } else { MUTE };
        if (cut || self.asked) && useless {
            return self.shut();
        }
        if may_ask && !cut && !self.asked && self.quiet >= self.patience {
            (self.asked, self.quiet) = (true, 0);
            return Look::Ask;
        }
        Look::Leave
    }

    /// Nothing more is expected of the other side.
    fn shut(&mut self) -> Look {
        (self.closed, self.is_shut_by_us) = (true, true);
        Look::Shut
    }

    /// This side has closed it over the other side's silence.
    pub fn is_shut_by_us(&self) -> bool {
        self.is_shut_by_us
    }

    /// The question whether the node is still there goes out under this tag.
    pub fn asks(&mut self, ping: &Token, now: Instant) {
        self.turns += 1;
        let slot = Slot {
            purpose: Purpose::Ping,
            progress: Progress::FullyWritten,
            since: now,
            turn: Turn(self.turns),
            tally: None,
            write_by: None,
            alone: false,
            guarded: false,
            members: [None; 2],
        };
        self.slots.insert(ping.clone(), slot);
    }

    /// Closes it if it has been idle for so long, or if it is retired and idle; true if that is done now.
    pub fn sweep(&mut self, idle: Duration, now: Instant) -> bool {
        let kept =
            |s: &Slot| s.purpose.is_wanted() || now.saturating_duration_since(s.since) < FORGET_GIVEN_UP;
        self.slots.retain(|_, s| kept(s));
        let open = self.slots.values().any(|s| s.purpose.is_wanted());
        let rests = now.saturating_duration_since(self.last_used) > idle;
        let closes = !self.closed && !open && (self.retired || rests);
        self.closed |= closes;
        closes
    }

    /// Ends it: what was open, and how far that had come.
    pub fn close(&mut self) -> impl Iterator<Item = (Purpose, Progress)> {
        self.closed = true;
        std::mem::take(&mut self.slots).into_values().map(|slot| (slot.purpose, slot.progress))
    }
}

#[cfg(test)]
mod tests;
