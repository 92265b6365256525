//! The addresses at which the second front listens.

use std::fmt;
use std::net::SocketAddr;

/// An address that this front serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listens {
    Dns(SocketAddr),
    Http(SocketAddr),
}

impl fmt::Display for Listens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Listens::Dns(at) => write!(f, "dns {at}"),
            Listens::Http(at) => write!(f, "http {at}"),
        }
    }
}
