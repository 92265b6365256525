//! Name service without I/O: what an authoritative server answers to the bytes of a query, and how a stub resolver
//! asks. Time, addresses and random seeds are inputs; sockets are somebody else's.
//!
//! - [`zone`] is what the server is an authority for, compiled from [`records`] so that answering copies bytes;
//! - [`Server::answer`](answer::Server::answer) is the way of a query: [`query`] reads it, [`edns`] and [`cookie`]
//!   its options, [`tsig`] its signature, the steering chooses addresses and the rate limit has the last word;
//! - [`transfer`] and [`notify`] hand the zone on, [`peers`] asks how other fronts are, [`tcp`] bounds connections;
//! - [`stub`] asks resolvers and knows which answers to believe.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]
#![expect(unreachable_pub, reason = "not all items have their narrowest visibility yet: see docs/ROADMAP.md")]

pub mod answer;
pub mod cookie;
pub mod edns;
pub mod notify;
pub mod peers;
pub mod query;
pub mod records;
pub mod stub;
pub mod tcp;
pub mod time;
pub mod transfer;
pub mod tsig;
pub mod wire;
pub mod zone;

/// Milliseconds of the Unix clock.
pub type Ms = f64;
