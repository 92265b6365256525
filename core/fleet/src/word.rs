//! What members say to each other.

use elmtide_budgets::FrontId;
use elmtide_budgets::{LeaseRequest, LeaseResponse};
use elmtide_consensus::{CommandId, Message, VoterId};
use elmtide_work::{Said, View};
use serde::{Deserialize, Serialize};

use crate::machine::{Change, Outcome};

/// Who says it, to those who vote and to whoever wants to know who leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The number of its store, where it votes.
    pub voter: Option<VoterId>,
    /// It has taken part in a log.
    pub begun: bool,
    /// The highest incarnation that it has seen of whom it says this to.
    pub seen: u64,
    /// It is in doubt about its own store and asks for an answer.
    pub asks: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// A datagram of [`elmtide_peers`].
    Peers(Vec<u8>),
    Hello(Hello),
    Raft(Box<Message>),
    Ask(LeaseRequest),
    Answer(LeaseResponse),
    /// Not the leader; who is, as far as it is known here.
    Elsewhere(Option<FrontId>),
    /// Something has changed for this front: it should ask now.
    Poke,
    Submit(CommandId, Change),
    Told(CommandId, Outcome),
    /// An ask and an answer where machines go out for work.
    AskWork(LeaseRequest, Said),
    AnswerWork(LeaseResponse, View),
    /// An ask and an answer where sites are watched, and machines may go out for work as well.
    AskSites(LeaseRequest, Option<Said>, elmtide_sites::Said),
    AnswerSites(LeaseResponse, Option<View>, elmtide_sites::View),
    /// It is there: said to fronts of other sites.
    Here,
}

/// What goes with an ask beside wants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Aside {
    pub work: Option<Said>,
    pub sites: Option<elmtide_sites::Said>,
}

impl Aside {
    pub fn ask(self, ask: LeaseRequest) -> Word {
        match self {
            Aside { work, sites: Some(sites) } => Word::AskSites(ask, work, sites),
            Aside { work: Some(work), sites: None } => Word::AskWork(ask, work),
            Aside { work: None, sites: None } => Word::Ask(ask),
        }
    }
}

/// What goes with an answer beside shares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    pub work: Option<View>,
    pub sites: Option<elmtide_sites::View>,
}

impl Views {
    pub fn answer(self, answer: LeaseResponse) -> Word {
        match self {
            Views { work, sites: Some(sites) } => Word::AnswerSites(answer, work, sites),
            Views { work: Some(work), sites: None } => Word::AnswerWork(answer, work),
            Views { work: None, sites: None } => Word::Answer(answer),
        }
    }
}
