//! The whole of one member: who is there, the log where it votes, the leases it holds, and what it grants while it leads.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use elmtide_budgets::MinimumRule;
use elmtide_budgets::{
    BudgetCommand, BudgetId, BudgetKind, BudgetState, Clocks, Demand, Epoch, FrontId, HolderId, Incarnation,
    LeaseAllocator, LeaseHolder, LeaseSettings, Micros, PartsPerMillion,
};
use elmtide_budgets::{Grant, GuaranteedMinimums};
use elmtide_consensus::records::{StorageUpdate, StoredLog};
use elmtide_consensus::sessions::CommandStatus;
use elmtide_consensus::voter::initial_snapshot;
use elmtide_consensus::{CommandId, Progress, Ready, Role, Voter, VoterId};
use elmtide_peers::{FailureDetector, Liveness, MemberStatus, PeerIdentity, ProbeSettings};
use elmtide_work::conductor::Now;
use elmtide_work::state::Step;
use elmtide_work::view::Told;
use elmtide_work::{Bounds, Conductor, MachineId, Said, Spec};
use serde::{Deserialize, Serialize};

use crate::frame::{Dropped, Frames};
use crate::machine::{Agreed, Change, Outcome};
use crate::word::{Aside, Hello, Views, Word};

/// Ticks between hellos of voters; between plans of the leader; a command that waits is sent again after so many.
const HELLO: u64 = 5;
/// Ticks between words to one front of each other site.
const HERE: u64 = 5;
const PLAN: u64 = 2;
const AGAIN: u64 = 10;
/// A voter that was started waits so many ticks for word of a later run of its own before it votes, if not all others
/// have answered; see [`Member`].
const PROBATION: u64 = 20;
/// Commands of others that wait here at a time, for answers.
const WAITING: usize = 256;
/// Messages of voters that wait while something is synced; what is more is lost, as on the way.
const QUEUED: usize = 512;
/// Commands of this front's operators that wait at a time.
const PENDING: usize = 16;
/// Added to what is outwaited before a machine counts as empty: decided within the lease, written after it.
const WRITTEN: Micros = 1_000_000;

/// A front as the file names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Front {
    pub id: FrontId,
    pub site: u16,
    pub votes: bool,
}

/// What the file says of the fleet: the same at all fronts, by its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub version: u64,
    pub fronts: Vec<Front>,
    pub floors: Vec<(BudgetKind, MinimumRule)>,
    pub terms: LeaseSettings,
    pub tick: Micros,
    /// Machines that may be taken out for work, and the bounds; none where that is off.
    pub work: Option<(Vec<Spec>, Bounds)>,
    /// Sites that are watched; none where that is off.
    pub sites: Option<elmtide_sites::Rules>,
}

pub struct Config {
    pub me: FrontId,
    pub installation: String,
    pub key: Vec<u8>,
    pub settings: Settings,
    /// What was kept, with an incarnation that is higher than any before; nothing kept without a store.
    pub kept: Kept,
    pub seed: u64,
}

/// What has been kept for this front.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    pub incarnation: u64,
    /// Whether there is a lasting store: without one there is no vote, and no floor before the first answer.
    pub lasting: bool,
    pub voter: Option<VoterId>,
    pub stored: StoredLog,
    pub floors: GuaranteedMinimums,
}

/// What the caller has to do.
#[derive(Debug)]
pub enum Output {
    Send(FrontId, Vec<u8>),
    /// To be synced, then [`Member::synced`]. Nothing else of the log happens meanwhile.
    Sync(StorageUpdate),
    /// To be synced at leisure.
    Compact(StorageUpdate),
    /// This voter's number is to be kept before it is used: synced, then [`Member::synced`].
    Number(VoterId),
    /// The store is not the latest of this front: it is to be emptied, and the member begun anew.
    Stale,
    Spend(Grant),
    /// To be synced, then spent by; then [`Member::applied`].
    Floors(GuaranteedMinimums),
    /// What is kept off from now on.
    View(Told),
    /// Which sites are lost from now on.
    Sites(elmtide_sites::Told),
    /// The outcome of a command that was asked for under this tag.
    Outcome(u64, Outcome),
    Event(Event),
}

/// What the operators may want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Leads {
        term: u64,
    },
    LeadsNoMore {
        term: u64,
    },
    Begun {
        voters: usize,
    },
    Contact,
    ContactLost,
    Listed {
        version: u64,
    },
    Superseded,
    StoreStale {
        seen: u64,
    },
    StoreFailed,
    VoterReplaced {
        front: FrontId,
    },
    Granted {
        number: Epoch,
        shares: usize,
    },
    Applied {
        refused: bool,
        what: &'static str,
    },
    Left,
    /// A site has come to this standing; said by the leader.
    Site {
        site: elmtide_sites::SiteId,
        standing: elmtide_sites::Standing,
    },
    /// A machine's step is agreed on; said by the leader.
    Worked {
        machine: MachineId,
        step: Step,
    },
}

/// Where a voter stands with its log.
enum Seat {
    /// No vote here.
    None,
    /// Its number is being kept.
    Numbering(VoterId),
    Sitting(Box<Sitting>),
    /// The store has failed: it votes no more.
    Lost,
}

struct Sitting {
    voter: Voter<Agreed>,
    /// Work whose `persist` is being synced: until then the crate takes nothing in.
    syncing: Option<Ready>,
    /// What came meanwhile.
    queued: VecDeque<elmtide_consensus::Message>,
    later: Vec<(FrontId, CommandId, Change)>,
    /// Beginning a new log, with its first voters; being synced.
    beginning: Option<StorageUpdate>,
    /// Ticks at which it may vote at the latest; none once it may.
    probation: Option<u64>,
    /// Who has answered that no later run was seen.
    vouched: Vec<FrontId>,
    granter: Option<(u64, LeaseAllocator)>,
    conductor: Conductor,
    sites: elmtide_sites::Conductor,
    plan_at: u64,
    /// Whom to tell the outcome of a command.
    waiting: BTreeMap<(u64, u64, u64), FrontId>,
}

/// A member of the fleet.
///
/// A voter that was started asks the others whether they have seen a later run of it: its store may be a copy from yesterday,
/// whose vote must not count. It votes when all other voters have denied it, or when a majority of all has, itself counted, and
/// `PROBATION` ticks have passed. What this leaves open: a store put back while all who saw the later run are away.
pub struct Member {
    me: FrontId,
    settings: Settings,
    frames: Frames,
    peers: FailureDetector,
    seat: Seat,
    lessee: LeaseHolder,
    wants: Vec<(BudgetId, Demand)>,
    applied: (Epoch, Epoch),
    ticks: u64,
    tick_at: Micros,
    next_ask: Micros,
    /// Whom the next ask goes to, and the turn of those asked in vain.
    leader: Option<FrontId>,
    turn: usize,
    asked: Option<Micros>,
    contact: bool,
    /// The last list that the agreed state had, as far as this front was told.
    list: u64,
    ids: BTreeMap<FrontId, (VoterId, bool)>,
    submitted: Option<(CommandId, Change, u64)>,
    /// The tag of what is submitted, and commands of operators that wait for it.
    tag: Option<u64>,
    pending: VecDeque<(u64, Change)>,
    said: Said,
    says_of_sites: elmtide_sites::Said,
    /// The layout's version, as far as this front was told.
    layout: u64,
    sites_layout: u64,
    /// Fronts of which something came since it was last asked.
    heard: BTreeSet<FrontId>,
    seq: u64,
    leaving: bool,
    left: bool,
    lasting: bool,
    seed: u64,
    out: VecDeque<Output>,
    /// Frames sent, and bytes.
    pub sent: (u64, u64),
}

/// What a front says of itself and the fleet to those who look.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub front: FrontId,
    pub incarnation: u64,
    pub role: String,
    pub term: u64,
    pub leader: Option<FrontId>,
    /// Microseconds since the last answer of a leader; none if there never was one.
    pub answer_age: Option<Micros>,
    pub contact: bool,
    pub list: u64,
    pub file: u64,
    pub fronts: Vec<(FrontId, Liveness, u64, u16)>,
    pub dropped: Vec<(String, u64)>,
    pub log: u64,
    pub applied: u64,
    /// What the state says of every run, where there is one here: counted and told by budget.
    pub shares: Vec<(HolderId, BudgetId, PartsPerMillion, PartsPerMillion)>,
    pub floors: Vec<(FrontId, BudgetKind, PartsPerMillion, PartsPerMillion)>,
}

impl Member {
    pub fn new(config: Config, now: Clocks) -> Result<Member, String> {
        let Config { me, installation, key, settings, kept, seed } = config;
        let own = settings.fronts.iter().find(|f| f.id == me).cloned();
        let own = own.ok_or("this front is not in the fleet's file")?;
        let ids = || settings.fronts.iter().map(|f| f.id);
        let frames = Frames::new(&key, &installation, me, kept.incarnation, ids());
        let peer = PeerIdentity { front: me.0, incarnation: kept.incarnation, renewal: 0, site: own.site };
        let pace = ProbeSettings { period: settings.tick * 20, fronts: settings.fronts.len() };
        let listed: Vec<u64> = ids().map(|f| f.0).collect();
        let peers = FailureDetector::new(peer, pace, &listed, seed, now.monotonic);
        let holder = HolderId { front: me, incarnation: Incarnation(kept.incarnation) };
        let floors = if kept.lasting { kept.floors.clone() } else { GuaranteedMinimums::default() };
        let lessee = LeaseHolder::new(holder, settings.terms, seed | 1, floors.epoch);
        let seat = match (own.votes && kept.lasting, kept.voter) {
            (false, _) => Seat::None,
            (true, Some(id)) => Seat::Sitting(Sitting::new(id, kept.stored)?),
            (true, None) => Seat::Numbering(VoterId(mix(seed ^ now.wall) | 1)),
        };
        let mut member = Member {
            me,
            frames,
            peers,
            seat,
            lessee,
            wants: Vec::new(),
            applied: (Epoch(0), floors.epoch),
            ticks: 0,
            tick_at: now.monotonic,
            next_ask: now.monotonic,
            leader: None,
            turn: (seed % 97) as usize,
            asked: None,
            contact: false,
            list: 0,
            ids: BTreeMap::new(),
            submitted: None,
            tag: None,
            pending: VecDeque::new(),
            said: Said::default(),
            says_of_sites: elmtide_sites::Said::default(),
            layout: 0,
            sites_layout: 0,
            heard: BTreeSet::new(),
            seq: 0,
            leaving: false,
            left: false,
            lasting: kept.lasting,
            seed,
            out: VecDeque::new(),
            sent: (0, 0),
            settings,
        };
        if let Seat::Numbering(id) = member.seat {
            member.out.push_back(Output::Number(id));
        }
        if !floors.minimums.is_empty() {
            member.out.push_back(Output::Floors(floors));
        }
        Ok(member)
    }

    pub fn holder(&self) -> HolderId {
        self.lessee.id()
    }

    /// What is to be done, in order. Nothing of the log follows a `Sync` or `Number` before it was synced.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// When [`Member::pass`] is to be called next.
    pub fn due(&self) -> Micros {
        self.tick_at.min(self.peers.next_deadline()).min(self.next_ask)
    }

    /// What the front wants, from now on.
    pub fn wants(&mut self, wants: Vec<(BudgetId, Demand)>) {
        self.wants = wants;
    }

    /// What the front says of machines, from now on. That it has seen another view is said at once.
    pub fn says(&mut self, said: Said, now: Clocks) {
        if said.seen != self.said.seen
            || said.clear.len() > self.said.clear.len()
            || said.looks != self.said.looks
        {
            let soon = self.asked.map_or(now.monotonic, |at| at + self.settings.tick / 2);
            self.next_ask = self.next_ask.min(soon.max(now.monotonic));
        }
        self.said = said;
    }

    /// What the front says of sites, from now on. Other words, and that it has seen another view, are said at once.
    pub fn says_of_sites(&mut self, said: elmtide_sites::Said, now: Clocks) {
        if said.words != self.says_of_sites.words || said.seen != self.says_of_sites.seen {
            let soon = self.asked.map_or(now.monotonic, |at| at + self.settings.tick / 2);
            self.next_ask = self.next_ask.min(soon.max(now.monotonic));
        }
        self.says_of_sites = said;
    }

    /// Asks for an operator's command; its outcome comes under the tag. False where too many wait.
    pub fn command(&mut self, tag: u64, change: Change, now: Clocks) -> bool {
        if self.pending.len() >= PENDING {
            return false;
        }
        self.pending.push_back((tag, change));
        self.next_command(now);
        true
    }

    fn next_command(&mut self, now: Clocks) {
        if self.submitted.is_some() || self.leaving {
            return;
        }
        if let Some((tag, change)) = self.pending.pop_front() {
            self.submit(change, now);
            self.tag = self.submitted.is_some().then_some(tag);
        }
    }

    /// The spender uses no more than what it was told by these numbers. A change is said at once: others wait for it.
    pub fn applied(&mut self, number: Epoch, floors: Epoch, now: Clocks) {
        if (number, floors) != self.applied {
            self.applied = (number, floors);
            self.lessee.confirm_quotas(number);
            self.lessee.confirm_minimums(floors);
            self.next_ask = self.next_ask.min(now.monotonic);
        }
    }

    /// The last `Sync` or `Number` is on stable storage, or can't be: then this front votes no more.
    pub fn synced(&mut self, kept: bool, now: Clocks) {
        if !kept {
            self.seat = Seat::Lost;
            self.out.push_back(Output::Event(Event::StoreFailed));
            return;
        }
        match std::mem::replace(&mut self.seat, Seat::None) {
            Seat::Numbering(id) => match Sitting::new(id, StoredLog::default()) {
                Ok(mut sitting) => {
                    // A store that is new has no vote that could count twice.
                    sitting.probation = None;
                    self.seat = Seat::Sitting(sitting);
                }
                Err(_) => self.seat = Seat::Lost,
            },
            Seat::Sitting(mut sitting) => {
                if let Some(first) = sitting.beginning.take() {
                    let mut stored = StoredLog::default();
                    stored.apply(&first);
                    let id = sitting.voter.id();
                    match Sitting::new(id, stored) {
                        Ok(mut begun) => {
                            begun.probation = None;
                            let voters = begun.voter.voters().incoming;
                            if voters.iter().min() == Some(&id) {
                                begun.voter.campaign();
                            }
                            let event = Event::Begun { voters: voters.len() };
                            self.out.push_back(Output::Event(event));
                            self.seat = Seat::Sitting(begun);
                        }
                        Err(_) => self.seat = Seat::Lost,
                    }
                } else if let Some(work) = sitting.syncing.take() {
                    let done = sitting.voter.advance(work);
                    self.seat = Seat::Sitting(sitting);
                    self.after(done, now);
                    self.catch_up(now);
                } else {
                    self.seat = Seat::Sitting(sitting);
                }
                self.work(now);
            }
            other => self.seat = other,
        }
    }

    /// Takes in what came while something was synced, until the next sync.
    fn catch_up(&mut self, now: Clocks) {
        self.work(now);
        loop {
            let Seat::Sitting(sitting) = &mut self.seat else { return };
            if sitting.syncing.is_some() {
                return;
            }
            if let Some(message) = sitting.queued.pop_front() {
                sitting.voter.on_message(message);
            } else if let Some((from, id, change)) = sitting.later.pop() {
                self.on_submit(from, id, change, now);
            } else {
                break;
            }
            self.work(now);
        }
        // Asks that came meanwhile wait for a round.
        if self.leads() {
            if let Seat::Sitting(sitting) = &mut self.seat {
                if let Some((_, granter)) = &mut sitting.granter {
                    if let Some(round) = granter.begin_read() {
                        sitting.voter.read_index(round);
                    }
                }
            }
            self.work(now);
        }
    }

    /// This front ends in order: it has stopped spending shares. [`Member::has_left`] says when the others know.
    pub fn leave(&mut self, now: Clocks) {
        if !self.leaving {
            self.leaving = true;
            self.peers.leave(now.monotonic);
            let holder = self.lessee.id();
            self.submit(Change::Budgets(BudgetCommand::Leave { holder }), now);
        }
    }

    pub fn has_left(&self) -> bool {
        self.left
    }

    /// Asks for a command to be agreed on; one at a time, the last one is what is sent.
    pub fn submit(&mut self, change: Change, now: Clocks) {
        self.tag = None;
        self.seq += 1;
        let id =
            CommandId { client: self.me.0, incarnation: self.lessee.id().incarnation.0, sequence: self.seq };
        self.submitted = Some((id, change, self.ticks));
        self.send_submitted(now);
    }

    fn send_submitted(&mut self, now: Clocks) {
        let Some((id, change, _)) = self.submitted.clone() else { return };
        match self.whom() {
            Some(to) if to == self.me => self.on_submit(self.me, id, change, now),
            Some(to) => self.say(to, &Word::Submit(id, change)),
            None => {}
        }
    }

    /// Hands the leadership to another voter, if it is here.
    pub fn hand_over(&mut self, now: Clocks) {
        let next = {
            let view = self.peers.members();
            let voters = self.settings.fronts.iter().filter(|f| f.votes && f.id != self.me);
            let alive = |f: &&Front| {
                view.get(&f.id.0).is_some_and(|s| s.liveness == Liveness::Alive)
                    && self.ids.contains_key(&f.id)
            };
            voters.filter(alive).map(|f| f.id).next()
        };
        let id = next.and_then(|front| self.ids.get(&front)).map(|(id, _)| *id);
        if let (Seat::Sitting(sitting), Some(id)) = (&mut self.seat, id) {
            if sitting.syncing.is_none() {
                sitting.voter.transfer_leadership(id);
                self.work(now);
            }
        }
    }

    /// A datagram came.
    pub fn on_datagram(&mut self, datagram: &[u8], now: Clocks) {
        let Some((from, word)) = self.frames.open(datagram) else { return };
        if self.settings.sites.is_some() {
            self.heard.insert(from);
        }
        match word {
            Word::Peers(bytes) => {
                self.peers.on_datagram(&bytes, now.monotonic);
                self.peers_out();
            }
            Word::Hello(hello) => self.on_hello(from, hello, now),
            Word::Raft(message) => {
                self.ids.entry(from).or_insert((message.from, true)).0 = message.from;
                if let Seat::Sitting(sitting) = &mut self.seat {
                    if sitting.syncing.is_none() && sitting.takes_part() {
                        sitting.voter.on_message(*message);
                    } else if sitting.takes_part() && sitting.queued.len() < QUEUED {
                        sitting.queued.push_back(*message);
                    }
                }
                self.work(now);
            }
            Word::Ask(ask) => self.on_ask(from, ask, Aside::default(), now),
            Word::Answer(answer) => self.on_answer(from, answer, Views::default(), now),
            Word::AskWork(ask, said) => self.on_ask(from, ask, Aside { work: Some(said), sites: None }, now),
            Word::AnswerWork(answer, view) => {
                self.on_answer(from, answer, Views { work: Some(view), sites: None }, now)
            }
            Word::AskSites(ask, work, said) => self.on_ask(from, ask, Aside { work, sites: Some(said) }, now),
            Word::AnswerSites(answer, work, view) => {
                self.on_answer(from, answer, Views { work, sites: Some(view) }, now)
            }
            Word::Elsewhere(leader) => {
                if self.leader == Some(from) {
                    self.leader = leader.filter(|l| *l != self.me);
                    self.next_ask = self.next_ask.min(now.monotonic + self.settings.tick);
                }
            }
            Word::Poke => {
                // However often it is said, it is not asked more often than each half tick.
                let soon = self.asked.map_or(now.monotonic, |at| at + self.settings.tick / 2);
                self.leader = Some(from);
                self.next_ask = self.next_ask.min(soon.max(now.monotonic));
            }
            Word::Submit(id, change) => self.on_submit(from, id, change, now),
            Word::Here => {}
            Word::Told(id, outcome) => self.on_told(id, outcome, now),
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, now: Clocks) {
        self.peers.advance_time(now.monotonic);
        self.peers_out();
        let mut turns = 0;
        while now.monotonic >= self.tick_at && turns < 3 {
            turns += 1;
            self.tick_at += self.settings.tick;
            self.tick(now);
        }
        // After a stall the ticks that were missed are not made up for: others' time-outs have passed, ours have not.
        self.tick_at = self.tick_at.max(now.monotonic.saturating_sub(self.settings.tick));
        if now.monotonic >= self.next_ask {
            self.ask(now);
        }
        let age = self.lessee.last_renewal().map(|at| now.monotonic.saturating_sub(at));
        let contact = age.is_some_and(|age| age <= self.settings.terms.duration);
        if contact != self.contact {
            self.contact = contact;
            self.out.push_back(Output::Event(if contact { Event::Contact } else { Event::ContactLost }));
        }
        self.work(now);
    }

    fn tick(&mut self, now: Clocks) {
        self.ticks += 1;
        let ticks = self.ticks;
        if let Seat::Sitting(sitting) = &mut self.seat {
            if sitting.syncing.is_none() && sitting.takes_part() {
                sitting.voter.tick();
            }
        }
        let votes = matches!(self.seat, Seat::Sitting(_));
        if votes && ticks % HELLO == 1 {
            self.say_hello();
        }
        if ticks.is_multiple_of(HERE) {
            self.say_here();
        }
        self.end_probation();
        self.begin();
        self.lead(now);
        let waits = self.submitted.as_ref().is_some_and(|(.., at)| ticks - at >= AGAIN);
        if waits {
            if let Some((.., at)) = &mut self.submitted {
                *at = ticks;
            }
            self.send_submitted(now);
        }
        if self.submitted.is_none() && self.contact && self.list > 0 && self.list < self.settings.version {
            self.submit(self.list_change(), now);
        }
        let newer =
            |told: u64| self.list == self.settings.version && (1..self.settings.version).contains(&told);
        let layout = self.layout_change().filter(|_| newer(self.layout));
        let layout = layout.or_else(|| self.sites_change().filter(|_| newer(self.sites_layout)));
        if let Some(layout) = layout.filter(|_| self.submitted.is_none() && self.contact) {
            self.submit(layout, now);
        }
        self.next_command(now);
    }

    /// To one front of each other site, so that each of them hears each site at that pace: the turns of a site's fronts are spread over the
    /// other's.
    fn say_here(&mut self) {
        let Some(rules) = &self.settings.sites else { return };
        let Some(own) = rules.fronts.get(&self.me) else { return };
        let mut of: BTreeMap<elmtide_sites::SiteId, Vec<FrontId>> = BTreeMap::new();
        rules.fronts.iter().for_each(|(front, site)| of.entry(*site).or_default().push(*front));
        let rank = of.get(own).and_then(|f| f.iter().position(|x| *x == self.me)).unwrap_or(0);
        let turn = (self.ticks / HERE) as usize + rank;
        let to: Vec<FrontId> =
            of.iter().filter(|(site, _)| *site != own).map(|(_, f)| f[turn % f.len()]).collect();
        to.into_iter().for_each(|to| self.say(to, &Word::Here));
    }

    /// Fronts of which something came since this was asked last: where sites are watched.
    pub fn take_heard(&mut self) -> Vec<FrontId> {
        std::mem::take(&mut self.heard).into_iter().collect()
    }

    fn list_change(&self) -> Change {
        Change::Budgets(BudgetCommand::UpdateFronts {
            version: self.settings.version,
            fronts: self.settings.fronts.iter().map(|f| f.id).collect(),
            minimums: self.settings.floors.clone(),
            lease: self.settings.terms.duration,
        })
    }

    fn layout_change(&self) -> Option<Change> {
        let (machines, bounds) = self.settings.work.clone()?;
        let version = self.settings.version;
        Some(Change::Work(elmtide_work::Command::Layout { version, machines, bounds }))
    }

    fn sites_change(&self) -> Option<Change> {
        let rules = self.settings.sites.as_ref()?;
        let (version, sites) = (self.settings.version, rules.sites);
        let (patience, ceiling) = (rules.patience, rules.ceiling);
        Some(Change::Sites(elmtide_sites::Command::Layout { version, sites, patience, ceiling }))
    }

    fn voters(&self) -> impl Iterator<Item = FrontId> + '_ {
        self.settings.fronts.iter().filter(|f| f.votes).map(|f| f.id)
    }

    fn say(&mut self, to: FrontId, word: &Word) {
        for datagram in self.frames.seal(to, word) {
            self.sent.0 += 1;
            self.sent.1 += datagram.len() as u64;
            self.out.push_back(Output::Send(to, datagram));
        }
    }

    fn peers_out(&mut self) {
        for datagram in self.peers.take_datagrams() {
            self.say(FrontId(datagram.to), &Word::Peers(datagram.bytes));
        }
    }

    // ---- Voters' hellos: numbers, a new log, a stale store ----

    fn hello(&self, to: FrontId) -> Hello {
        let (voter, begun, asks) = match &self.seat {
            Seat::Sitting(s) => (Some(s.voter.id()), s.begun(), s.probation.is_some()),
            _ => (None, false, false),
        };
        let agreed = match &self.seat {
            Seat::Sitting(s) => s.voter.machine().budgets.account(to).map_or(0, |a| a.latest_incarnation.0),
            _ => 0,
        };
        Hello { voter, begun, seen: self.frames.seen(to).max(agreed), asks }
    }

    fn say_hello(&mut self) {
        let others: Vec<FrontId> = self.voters().filter(|f| *f != self.me).collect();
        for to in others {
            let hello = self.hello(to);
            self.say(to, &Word::Hello(hello));
        }
    }

    fn on_hello(&mut self, from: FrontId, hello: Hello, now: Clocks) {
        let mine = self.lessee.id().incarnation.0;
        if hello.seen > mine {
            // Another run of this front is, or was, later than this one: its store is the later one as well.
            if !matches!(self.seat, Seat::Lost) {
                self.seat = Seat::Lost;
                self.out.push_back(Output::Event(Event::StoreStale { seen: hello.seen }));
                self.out.push_back(Output::Stale);
            }
            return;
        }
        if let Some(voter) = hello.voter {
            self.ids.insert(from, (voter, hello.begun));
        }
        if hello.asks {
            let answer = Hello { asks: false, ..self.hello(from) };
            self.say(from, &Word::Hello(answer));
        }
        if let Seat::Sitting(sitting) = &mut self.seat {
            if sitting.probation.is_some() && hello.seen == mine && !sitting.vouched.contains(&from) {
                sitting.vouched.push(from);
            }
        }
        self.end_probation();
        self.begin();
        self.work(now);
    }

    fn end_probation(&mut self) {
        let voters: Vec<FrontId> = self.voters().collect();
        let ticks = self.ticks;
        let Seat::Sitting(sitting) = &mut self.seat else { return };
        let Some(until) = sitting.probation else { return };
        let vouched = sitting.vouched.iter().filter(|f| voters.contains(f)).count();
        let all = vouched + 1 >= voters.len();
        if all || (ticks >= until && (vouched + 1) * 2 > voters.len()) {
            sitting.probation = None;
        }
    }

    /// The first voters of a new installation begin its log together, once each has heard of all that they are new.
    fn begin(&mut self) {
        let voters: Vec<FrontId> = self.voters().collect();
        let Seat::Sitting(sitting) = &mut self.seat else { return };
        if sitting.begun()
            || sitting.voter.term() > 0
            || sitting.beginning.is_some()
            || sitting.syncing.is_some()
        {
            return;
        }
        let mut ids = vec![sitting.voter.id()];
        for front in voters.iter().filter(|f| **f != self.me) {
            match self.ids.get(front) {
                Some((id, false)) => ids.push(*id),
                _ => return,
            }
        }
        let first = initial_snapshot::<Agreed>(&ids);
        sitting.beginning = Some(first.clone());
        self.out.push_back(Output::Sync(first));
    }

    // ---- The log ----

    fn work(&mut self, now: Clocks) {
        loop {
            let Seat::Sitting(sitting) = &mut self.seat else { return };
            if sitting.syncing.is_some() || !sitting.takes_part() {
                return;
            }
            let Some(work) = sitting.voter.ready() else { return };
            let sends = work.messages.clone();
            if work.update.is_empty() {
                let done = sitting.voter.advance(work);
                self.raft_out(sends);
                self.after(done, now);
                continue;
            }
            let persist = work.update.clone();
            sitting.syncing = Some(work);
            self.raft_out(sends);
            self.out.push_back(Output::Sync(persist));
            return;
        }
    }

    fn raft_out(&mut self, messages: Vec<elmtide_consensus::Message>) {
        for message in messages {
            let to = self.ids.iter().find(|(_, (id, _))| *id == message.to).map(|(front, _)| *front);
            if let Some(to) = to {
                self.say(to, &Word::Raft(Box::new(message)));
            }
        }
    }

    fn after(&mut self, done: Progress<Agreed>, now: Clocks) {
        self.raft_out(done.messages);
        if !done.compaction.is_empty() {
            self.out.push_back(Output::Compact(done.compaction));
        }
        let mut told = Vec::new();
        let mut answers = Vec::new();
        let mut events = Vec::new();
        if let Seat::Sitting(sitting) = &mut self.seat {
            for applied in &done.applied {
                let done = applied.outcome == Some(Outcome::Sites(Ok(())));
                if let Some(event) =
                    site_event(&applied.command).filter(|_| done && sitting.granter.is_some())
                {
                    events.push(event);
                }
                if let Change::Work(elmtide_work::Command::Step { machine, step, .. }) = &applied.command {
                    let done = matches!(applied.outcome, Some(Outcome::Work(Ok(_))));
                    let event = Event::Worked { machine: *machine, step: *step };
                    events.extend((done && sitting.granter.is_some()).then_some(event));
                }
                if let (Some((_, granter)), Change::Budgets(command)) =
                    (&mut sitting.granter, &applied.command)
                {
                    granter.on_command_ended(command);
                }
                if let Some(id) = applied.id {
                    let place = (id.client, id.incarnation, id.sequence);
                    if let (Some(to), CommandStatus::Duplicate(outcome)) =
                        (sitting.waiting.remove(&place), sitting.voter.command_status(id))
                    {
                        told.push((to, id, outcome));
                    }
                }
            }
            if let Some((_, granter)) = &mut sitting.granter {
                let state = &sitting.voter.machine().budgets;
                let wall = now.wall / 1000;
                for round in done.acknowledged_reads {
                    let with_view =
                        granter.on_read_acknowledged(state, round, now.monotonic).into_iter().map(|answer| {
                            let agreed = sitting.voter.machine();
                            let work = sitting.conductor.view(&agreed.work, answer.holder, wall);
                            let sites = sitting.sites.view(&agreed.sites, answer.holder.front);
                            (answer, Views { work, sites })
                        });
                    answers.extend(with_view);
                }
            }
        }
        self.out.extend(events.into_iter().map(Output::Event));
        for (to, id, outcome) in told {
            match to == self.me {
                true => self.on_told(id, outcome, now),
                false => self.say(to, &Word::Told(id, outcome)),
            }
        }
        for (answer, views) in answers {
            let to = answer.holder.front;
            match to == self.me {
                true => self.on_answer(self.me, answer, views, now),
                false => self.say(to, &views.answer(answer)),
            }
        }
        if !done.applied.is_empty() {
            self.lead_on(now);
        }
    }

    // ---- Leading ----

    /// What the leader does at its own pace.
    fn lead(&mut self, now: Clocks) {
        let ticks = self.ticks;
        let terms = self.settings.terms;
        let Seat::Sitting(sitting) = &mut self.seat else { return };
        let leads = sitting.voter.role() == Role::Leader;
        let term = sitting.voter.term();
        match &sitting.granter {
            Some((of, _)) if !leads || *of != term => {
                self.out.push_back(Output::Event(Event::LeadsNoMore { term: *of }));
                sitting.granter = None;
                sitting.waiting.clear();
            }
            _ => {}
        }
        if leads && sitting.granter.is_none() {
            sitting.granter = Some((term, LeaseAllocator::new(terms, now.monotonic)));
            sitting.conductor = Conductor::new();
            sitting.sites = elmtide_sites::Conductor::default();
            self.out.push_back(Output::Event(Event::Leads { term }));
        }
        if sitting.granter.is_none() || ticks < sitting.plan_at {
            return;
        }
        sitting.plan_at = ticks + PLAN;
        self.lead_on(now);
    }

    /// Proposes what is to be changed, begins a round for those who wait, and reminds those for whom something has changed.
    fn lead_on(&mut self, now: Clocks) {
        let list = self.list_change();
        let version = self.settings.version;
        let seats: Vec<(FrontId, VoterId, bool)> =
            self.voters().filter_map(|f| self.ids.get(&f).map(|(id, begun)| (f, *id, *begun))).collect();
        let me = self.me;
        let layout = self.layout_change();
        let sites_layout = self.sites_change();
        let rules = self.settings.sites.clone();
        let terms = self.settings.terms;
        let configured: Vec<FrontId> = self.voters().collect();
        let Seat::Sitting(sitting) = &mut self.seat else { return };
        let Some((_, granter)) = &mut sitting.granter else { return };
        if sitting.syncing.is_some() {
            return;
        }
        let voter = &mut sitting.voter;
        if voter.role() != Role::Leader {
            return;
        }
        let state = &voter.machine().budgets;
        let mut changes = Vec::new();
        if state.front_list_version() < version {
            changes.push(list);
        }
        let work = &voter.machine().work;
        changes.extend(layout.filter(|_| state.front_list_version() >= version && work.version() < version));
        let sites = &voter.machine().sites;
        changes.extend(
            sites_layout.filter(|_| state.front_list_version() >= version && sites.version() < version),
        );
        // What is under way is waited for: it would only be proposed again.
        let idle = voter.is_idle();
        let proposals = if idle { granter.propose(state, now.monotonic) } else { Vec::new() };
        let mut hand_over = false;
        if idle && work.version() > 0 {
            let over_at = |holder| granter.lease_expiry(holder, state) + terms.max_request_deadline + WRITTEN;
            let (steady, wall, lease) = (now.monotonic, now.wall / 1000, state.lease());
            let planned =
                sitting.conductor.propose(work, &Now { steady, wall, lease, me, over_at: &over_at });
            changes.extend(planned.commands.into_iter().map(Change::Work));
            hand_over = planned.hand_over;
        }
        if let Some(rules) = rules.filter(|_| idle && sites.version() > 0) {
            let at = elmtide_sites::conductor::Now {
                steady: now.monotonic,
                wall: now.wall / 1000,
                lease: state.lease(),
            };
            changes.extend(sitting.sites.propose(sites, &rules, &at).into_iter().map(Change::Sites));
        }
        if !idle {
            changes.clear();
        }
        let current = voter.voters();
        let agreed = voter.machine().seats.clone();
        let mut replace = None;
        for (front, id, _) in seats.into_iter().chain([(me, voter.id(), true)]) {
            let sits = current.incoming.contains(&id);
            match agreed.get(&front) {
                Some(old) if *old == id => {}
                _ if sits && idle => changes.push(Change::Seat { front, voter: id }),
                _ if sits => {}
                Some(old) if current.incoming.contains(old) => replace = Some((front, vec![id], vec![*old])),
                // A front that newly votes: only where the agreed list is the one of this file.
                None if state.front_list_version() == version => replace = Some((front, vec![id], vec![])),
                _ => {}
            }
        }
        if replace.is_none() && state.front_list_version() == version {
            let out = agreed.iter().find(|(f, id)| !configured.contains(f) && current.incoming.contains(id));
            replace = out.map(|(front, id)| (*front, vec![], vec![*id]));
        }
        for change in changes {
            let _ = voter.propose(None, &change);
        }
        for command in proposals {
            if voter.propose(None, &Change::Budgets(command.clone())).is_err() {
                granter.on_command_ended(&command);
            }
        }
        if let Some((front, add, remove)) = replace {
            if voter.change_voters(add, remove).is_ok() {
                self.out.push_back(Output::Event(Event::VoterReplaced { front }));
            }
        }
        if let Some(round) = granter.begin_read() {
            voter.read_index(round);
        }
        let mut pokes = granter.holders_to_notify(&voter.machine().budgets);
        if voter.machine().work.version() > 0 {
            let more = sitting.conductor.pokes(&voter.machine().work);
            pokes.extend(more);
        }
        pokes.extend(sitting.sites.behind(&voter.machine().sites));
        pokes.sort_unstable();
        pokes.dedup();
        if hand_over {
            self.hand_over(now);
        }
        for holder in pokes {
            match holder.front == me {
                true => self.next_ask = self.next_ask.min(now.monotonic),
                false => self.say(holder.front, &Word::Poke),
            }
        }
        self.work(now);
    }

    fn leads(&self) -> bool {
        matches!(&self.seat, Seat::Sitting(s) if s.granter.is_some() && s.voter.role() == Role::Leader)
    }

    fn leader_front(&self) -> Option<FrontId> {
        let Seat::Sitting(sitting) = &self.seat else { return self.leader };
        let leader = sitting.voter.leader()?;
        if leader == sitting.voter.id() {
            return Some(self.me);
        }
        self.ids.iter().find(|(_, (id, _))| *id == leader).map(|(front, _)| *front)
    }

    fn on_ask(&mut self, from: FrontId, ask: elmtide_budgets::LeaseRequest, aside: Aside, now: Clocks) {
        // A front asks for itself alone.
        if ask.holder.front != from {
            return;
        }
        if !self.leads() {
            let leader = self.leader_front().filter(|l| *l != self.me && *l != from);
            return self.say(from, &Word::Elsewhere(leader));
        }
        if let Seat::Sitting(sitting) = &mut self.seat {
            if let Some((_, granter)) = &mut sitting.granter {
                let machine = sitting.voter.machine();
                if let Some(said) = aside.work {
                    sitting.conductor.on_said(&machine.work, ask.holder, said, now.monotonic);
                }
                if let Some(said) =
                    aside.sites.filter(|_| machine.budgets.current_holder(ask.holder).is_some())
                {
                    sitting.sites.on_said(ask.holder, said, now.monotonic);
                }
                granter.on_request(&machine.budgets, ask, now.monotonic);
                if sitting.syncing.is_none() {
                    if let Some(round) = granter.begin_read() {
                        sitting.voter.read_index(round);
                    }
                }
            }
        }
        self.work(now);
    }

    fn on_submit(&mut self, from: FrontId, id: CommandId, change: Change, now: Clocks) {
        let mut change = change;
        let asked = match &mut change {
            Change::Budgets(_) => true,
            Change::Work(elmtide_work::Command::Out { at, .. }) => {
                // The time is the leader's.
                *at = now.wall / 1000;
                true
            }
            Change::Work(elmtide_work::Command::Seen { .. } | elmtide_work::Command::Step { .. }) => false,
            Change::Work(_) => true,
            Change::Sites(elmtide_sites::Command::Operator { at, .. }) => {
                *at = now.wall / 1000;
                true
            }
            Change::Sites(elmtide_sites::Command::Layout { .. }) => true,
            Change::Sites(_) => false,
            Change::Seat { .. } => false,
        };
        if id.client != from.0 || !asked {
            return;
        }
        if !self.leads() {
            if from != self.me {
                let leader = self.leader_front().filter(|l| *l != self.me && *l != from);
                self.say(from, &Word::Elsewhere(leader));
            }
            return;
        }
        let mut told = None;
        if let Seat::Sitting(sitting) = &mut self.seat {
            if sitting.syncing.is_some() {
                if sitting.later.len() < WAITING {
                    sitting.later.push((from, id, change));
                }
                return;
            }
            match sitting.voter.command_status(id) {
                CommandStatus::Duplicate(outcome) => told = Some(outcome),
                CommandStatus::Stale => {}
                CommandStatus::New if sitting.waiting.len() < WAITING => {
                    if sitting.voter.propose(Some(id), &change).is_ok() {
                        sitting.waiting.insert((id.client, id.incarnation, id.sequence), from);
                    }
                }
                CommandStatus::New => {}
            }
        }
        match told {
            Some(outcome) if from == self.me => self.on_told(id, outcome, now),
            Some(outcome) => self.say(from, &Word::Told(id, outcome)),
            None => self.work(now),
        }
    }

    fn on_told(&mut self, id: CommandId, outcome: Outcome, now: Clocks) {
        let Some((waiting, change, _)) = &self.submitted else { return };
        if *waiting != id {
            return;
        }
        let what = match change {
            Change::Budgets(BudgetCommand::UpdateFronts { .. }) => "list",
            Change::Budgets(BudgetCommand::Leave { .. }) => "leave",
            Change::Budgets(BudgetCommand::RemoveFront { .. }) => "forget",
            Change::Work(elmtide_work::Command::Layout { .. })
            | Change::Sites(elmtide_sites::Command::Layout { .. }) => "layout",
            _ => "command",
        };
        self.left |= what == "leave";
        self.submitted = None;
        if let Some(tag) = self.tag.take() {
            self.out.push_back(Output::Outcome(tag, outcome));
        }
        let refused = !matches!(outcome, Outcome::Done | Outcome::Work(Ok(_)) | Outcome::Sites(Ok(())));
        self.out.push_back(Output::Event(Event::Applied { refused, what }));
        if self.left {
            self.out.push_back(Output::Event(Event::Left));
        }
        self.next_command(now);
    }

    // ---- Holding ----

    /// Whom to ask: who leads, as far as it is known, or the voters in turns.
    fn whom(&self) -> Option<FrontId> {
        if self.leads() {
            return Some(self.me);
        }
        let voters: Vec<FrontId> = self.voters().filter(|f| *f != self.me).collect();
        let known = match &self.seat {
            Seat::Sitting(_) => self.leader_front().filter(|l| *l != self.me),
            _ => None,
        };
        known.or(self.leader).or_else(|| voters.get(self.turn % voters.len().max(1)).copied())
    }

    fn ask(&mut self, now: Clocks) {
        let every = self.settings.terms.renewal_interval();
        self.next_ask = now.monotonic + every;
        if self.leaving {
            return;
        }
        // An ask that had no answer goes to the next voter; while there is none, more often.
        let answered =
            self.lessee.last_renewal().is_some_and(|at| now.monotonic.saturating_sub(at) <= 2 * every);
        if !answered {
            self.leader = None;
            self.turn = self.turn.wrapping_add(1);
            // Fronts that all lost the same leader do not ask the next one in the same moment.
            let part = mix(self.seed ^ self.turn as u64) % 1000;
            self.next_ask = now.monotonic + (every / 2 * (500 + part / 2) / 1000).max(1);
        }
        let Some(to) = self.whom() else { return };
        self.asked = Some(now.monotonic);
        let ask = self.lessee.request(&self.wants, now);
        let aside = Aside {
            work: self.settings.work.as_ref().map(|_| self.said.clone()),
            sites: self.settings.sites.as_ref().map(|_| self.says_of_sites.clone()),
        };
        match to == self.me {
            true => self.on_ask(self.me, ask, aside, now),
            false => self.say(to, &aside.ask(ask)),
        }
    }

    fn on_answer(
        &mut self,
        from: FrontId,
        answer: elmtide_budgets::LeaseResponse,
        views: Views,
        now: Clocks,
    ) {
        if self.leaving {
            return;
        }
        let list = answer.front_list_version;
        let elmtide_budgets::lease_holder::Renewal { grant, minimums: floors } =
            self.lessee.on_response(&answer, now);
        if grant.is_some() {
            if from != self.me {
                self.leader = Some(from);
            }
            if list != self.list {
                self.list = list;
                self.out.push_back(Output::Event(Event::Listed { version: list }));
            }
        }
        if let Some(grant) = grant {
            if grant.epoch > self.applied.0 {
                let event = Event::Granted { number: grant.epoch, shares: grant.quotas.len() };
                self.out.push_back(Output::Event(event));
            }
            if let Some(view) = views.sites {
                self.sites_layout = view.version;
                let (asked, ends) = (grant.requested_at, grant.expires_at);
                self.out.push_back(Output::Sites(elmtide_sites::Told { view, asked, ends }));
            }
            if let Some(view) = views.work {
                self.layout = view.version;
                self.out.push_back(Output::View(Told {
                    view,
                    asked: grant.requested_at,
                    ends: grant.expires_at,
                }));
            }
            self.out.push_back(Output::Spend(grant));
        }
        if let Some(floors) = floors {
            self.out.push_back(Output::Floors(floors));
        }
    }

    // ---- For those who look ----

    pub fn state(&self) -> Option<&BudgetState> {
        match &self.seat {
            Seat::Sitting(sitting) => Some(&sitting.voter.machine().budgets),
            _ => None,
        }
    }

    pub fn sites(&self) -> Option<&elmtide_sites::State> {
        match &self.seat {
            Seat::Sitting(sitting) => Some(&sitting.voter.machine().sites),
            _ => None,
        }
    }

    pub fn jobs(&self) -> Option<&elmtide_work::State> {
        match &self.seat {
            Seat::Sitting(sitting) => Some(&sitting.voter.machine().work),
            _ => None,
        }
    }

    /// Who leads, as far as it is known here.
    pub fn known_leader(&self) -> Option<FrontId> {
        if self.leads() {
            Some(self.me)
        } else {
            self.leader_front()
        }
    }

    pub fn has_contact(&self) -> bool {
        self.contact
    }

    pub fn dropped(&self) -> &BTreeMap<Dropped, u64> {
        &self.frames.dropped
    }

    /// Who is there, as a hint.
    pub fn view(&self) -> BTreeMap<FrontId, MemberStatus> {
        self.peers.members().into_iter().map(|(front, seen)| (FrontId(front), seen)).collect()
    }

    pub fn status(&self, now: Clocks) -> Status {
        let (role, term, log, applied) = match &self.seat {
            Seat::None if self.lasting => ("no vote".to_owned(), 0, 0, 0),
            Seat::None => ("no vote, no lasting store".to_owned(), 0, 0, 0),
            Seat::Numbering(_) => ("voter, begins".to_owned(), 0, 0, 0),
            Seat::Lost => ("voter without a store: does not vote".to_owned(), 0, 0, 0),
            Seat::Sitting(s) => {
                let role = match s.voter.role() {
                    _ if s.probation.is_some() => "voter, asks whether its store is the latest",
                    _ if !s.begun() => "voter, waits to be taken in",
                    Role::Leader => "leader",
                    Role::UnconfirmedLeader => "leader, not confirmed yet",
                    Role::Candidate => "voter, seeks a leader",
                    Role::Follower => "voter",
                };
                (role.to_owned(), s.voter.term(), s.voter.log_len() as u64, s.voter.applied_index())
            }
        };
        let mut shares = Vec::new();
        let mut floors = Vec::new();
        if let Some(state) = self.state() {
            for elmtide_budgets::state::HolderEntry { id: holder, state: run, .. } in state.holders() {
                let told = run.quotas.iter().map(|(key, s)| (holder, *key, s.committed, s.granted()));
                shares.extend(told);
            }
            for (front, account) in state.accounts() {
                floors.extend(
                    account.minimums.iter().map(|(kind, f)| (*front, *kind, f.committed, f.granted())),
                );
            }
        }
        let view = self.view();
        Status {
            front: self.me,
            incarnation: self.lessee.id().incarnation.0,
            role,
            term,
            leader: if self.leads() { Some(self.me) } else { self.leader_front() },
            answer_age: self.lessee.last_renewal().map(|at| now.monotonic.saturating_sub(at)),
            contact: self.contact,
            list: self.list,
            file: self.settings.version,
            fronts: view.into_iter().map(|(f, s)| (f, s.liveness, s.incarnation, s.site)).collect(),
            dropped: self.frames.dropped.iter().map(|(why, n)| (format!("{why:?}"), *n)).collect(),
            log,
            applied,
            shares,
            floors,
        }
    }
}

/// What is to be said of a change of a site.
fn site_event(change: &Change) -> Option<Event> {
    use elmtide_sites::{Command, Standing};
    let Change::Sites(command) = change else { return None };
    let (site, standing) = match command {
        Command::Declare { site, .. } | Command::Operator { site, lost: true, .. } => (*site, Standing::Lost),
        Command::Step { site, to, .. } => (*site, *to),
        _ => return None,
    };
    Some(Event::Site { site, standing })
}

impl Sitting {
    fn new(id: VoterId, stored: StoredLog) -> Result<Box<Sitting>, String> {
        let voter = Voter::restore(id, stored).map_err(|e| e.to_string())?;
        Ok(Box::new(Sitting {
            voter,
            syncing: None,
            queued: VecDeque::new(),
            later: Vec::new(),
            beginning: None,
            probation: Some(PROBATION),
            vouched: Vec::new(),
            granter: None,
            conductor: Conductor::new(),
            sites: elmtide_sites::Conductor::default(),
            plan_at: 0,
            waiting: BTreeMap::new(),
        }))
    }

    /// It may vote, and is not just beginning.
    fn takes_part(&self) -> bool {
        self.probation.is_none() && self.beginning.is_none()
    }

    /// It has taken part in a log, or been taken into one.
    fn begun(&self) -> bool {
        self.voter.applied_index() > 0
    }
}

fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
