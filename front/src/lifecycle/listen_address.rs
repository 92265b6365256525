//! The addresses at which the second front listens.

use std::fmt;
use std::net::SocketAddr;

/// An address that this front serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listens {
    Dns(SocketAddr),
    Http(SocketAddr),
}

impl Listens {
    /// The protocol served at this address.
    pub fn protocol(self) -> &'static str {
        match self {
            Listens::Dns(_) => "dns",
            Listens::Http(_) => "http",
        }
    }
}

impl fmt::Display for Listens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Listens::Dns(at) | Listens::Http(at)) = self;
        write!(f, "{} {at}", self.protocol())
    }
}
