//! A stub resolver without sockets: it asks recursive resolvers, says which answers to believe, and follows names
//! whose addresses are members.
//!
//! [`Resolver`] is one machine for all questions: `lookup` begins one, `datagram`, `stream` and `tick` move it on,
//! `poll` says what to send and what has ended. [`Follow`] keeps one name's members by it; [`Known`] is the rule by
//! which what is known changes, and by which an old answer never brings back what has gone.

mod follow;
mod known;
pub(crate) mod message;
mod resolver;

pub use follow::{Endpoint, Follow, Kind, News, Source};
pub use known::{Change, Known, STALE};
pub use message::{read_answer, Answer, Data, Said};
pub use resolver::{AskId, Failure, Limits, LookupId, Output, Resolver, ServerId};
