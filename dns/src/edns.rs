//! The options of EDNS (RFC 6891): read from queries, written into answers.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use elmtide_steering::Net;

use crate::wire::u16_at;

/// Option codes.
mod code {
    pub const NSID: u16 = 3;
    pub const CLIENT_SUBNET: u16 = 8;
    pub const COOKIE: u16 = 10;
    pub const TCP_KEEPALIVE: u16 = 11;
    pub const PADDING: u16 = 12;
    pub const EXTENDED_ERROR: u16 = 15;
}

/// Options looked at in one query; a query with more of them is not read.
const OPTIONS: usize = 64;

/// The client's net as a resolver tells it (RFC 7871, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSubnet {
    pub family: u16,
    pub source: u8,
    pub net: Net,
}

/// A cookie option (RFC 7873, section 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CookieOption<'a> {
    pub client: [u8; 8],
    /// 8 to 32 bytes where the client has one of ours.
    pub server: Option<&'a [u8]>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Edns<'a> {
    pub udp_size: u16,
    pub version: u8,
    pub dnssec_ok: bool,
    pub nsid: bool,
    pub subnet: Option<ClientSubnet>,
    pub cookie: Option<CookieOption<'a>>,
    pub keepalive: bool,
    pub padding: bool,
}

/// An option can't be read; what could be is here.
#[derive(Clone, Copy, Debug)]
pub struct BadOption<'a>(pub Edns<'a>);

impl<'a> Edns<'a> {
    /// Reads the record: its class is the sender's size, its TTL the version and flags (RFC 6891, section 6.1.3).
    pub fn read(class: u16, ttl: u32, rdata: &'a [u8]) -> Result<Edns<'a>, BadOption<'a>> {
        let mut edns = Edns {
            udp_size: class,
            version: (ttl >> 16) as u8,
            dnssec_ok: ttl & 0x8000 != 0,
            ..Edns::default()
        };
        // Of a later version nothing is known, not even the form of its options.
        if edns.version > 0 {
            return Ok(edns);
        }
        let (mut at, mut seen) = (0, 0);
        while at < rdata.len() {
            let head = (u16_at(rdata, at), u16_at(rdata, at + 2));
            let (Ok(option), Ok(length)) = head else { return Err(BadOption(edns)) };
            let Some(data) = rdata.get(at + 4..at + 4 + usize::from(length)) else {
                return Err(BadOption(edns));
            };
            at += 4 + data.len();
            seen += 1;
            if seen > OPTIONS || edns.take(option, data).is_none() {
                return Err(BadOption(edns));
            }
        }
        Ok(edns)
    }

    /// Takes one option in; `None` where it is malformed. Unknown ones are passed over (section 6.1.2).
    fn take(&mut self, option: u16, data: &'a [u8]) -> Option<()> {
        match option {
            // RFC 5001, section 2.1: empty in a query; what is in it is of no account.
            code::NSID => self.nsid = true,
            code::CLIENT_SUBNET if self.subnet.is_some() => return None,
            code::CLIENT_SUBNET => self.subnet = Some(subnet(data)?),
            // RFC 7873, section 5.2: the first counts where there are several.
            code::COOKIE if self.cookie.is_some() => {}
            code::COOKIE => {
                let client = data.get(..8)?.try_into().ok()?;
                let server = match data.len() {
                    8 => None,
                    16..=40 => Some(&data[8..]),
                    _ => return None,
                };
                self.cookie = Some(CookieOption { client, server });
            }
            // RFC 7828, section 3.2.1: a client sends it without a time-out.
            code::TCP_KEEPALIVE if data.is_empty() => self.keepalive = true,
            code::TCP_KEEPALIVE => return None,
            code::PADDING => self.padding = true,
            _ => {}
        }
        Some(())
    }
}

/// RFC 7871, section 6 and 7.1.1: as many address bytes as the length needs, zero behind it, scope 0 in a query.
fn subnet(data: &[u8]) -> Option<ClientSubnet> {
    let [f0, f1, source, scope, address @ ..] = data else { return None };
    let family = u16::from_be_bytes([*f0, *f1]);
    if *scope != 0 || address.len() != usize::from(*source).div_ceil(8) {
        return None;
    }
    let ip: IpAddr = match family {
        1 if *source <= 32 => {
            let mut bytes = [0; 4];
            bytes[..address.len()].copy_from_slice(address);
            Ipv4Addr::from(bytes).into()
        }
        2 if *source <= 128 => {
            let mut bytes = [0; 16];
            bytes[..address.len()].copy_from_slice(address);
            Ipv6Addr::from(bytes).into()
        }
        _ => return None,
    };
    let net = match ip {
        // A mapped address keeps its family: the answer has to repeat it as it came.
        IpAddr::V6(v6) if v6.to_ipv4_mapped().is_some() => Net::new(ip, source.saturating_sub(96)),
        _ => Net::new(ip, *source),
    };
    let clean = source % 8 == 0 || address.last().is_some_and(|last| last << (source % 8) == 0);
    clean.then_some(ClientSubnet { family, source: *source, net })
}

/// Why an answer is what it is (RFC 8914, section 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtendedError {
    NotReady,
    Prohibited,
    NotAuthoritative,
    NotSupported,
    InvalidData,
}

impl ExtendedError {
    fn code_and_text(self) -> (u16, &'static str) {
        match self {
            ExtendedError::NotReady => (14, "no front takes new clients"),
            ExtendedError::Prohibited => (18, "not for you"),
            ExtendedError::NotAuthoritative => (20, "not a zone of ours"),
            ExtendedError::NotSupported => (21, "not done here"),
            ExtendedError::InvalidData => (24, "an option can't be read"),
        }
    }
}

/// The longest that an extended error takes.
pub const EXTENDED_ERROR: usize = 4 + 2 + 32;
/// The record without options: root, type, class, TTL, length.
const EMPTY: usize = 11;

/// What an answer's EDNS record says.
#[derive(Clone, Copy, Debug, Default)]
pub struct Said<'a> {
    pub udp_size: u16,
    pub dnssec_ok: bool,
    pub cookie: Option<[u8; 24]>,
    pub nsid: Option<&'a [u8]>,
    /// The option and the scope.
    pub subnet: Option<(ClientSubnet, u8)>,
    pub error: Option<ExtendedError>,
    /// Units of 100 ms (RFC 7828, section 3.1).
    pub keepalive: Option<u16>,
    /// The message is padded to a multiple of this (RFC 8467, section 4.1).
    pub pad_to: Option<usize>,
}

impl Said<'_> {
    /// The most bytes that it can take, padding left out.
    pub fn room(&self) -> usize {
        let subnet = self.subnet.map_or(0, |(s, _)| 8 + usize::from(s.source).div_ceil(8));
        EMPTY
            + self.cookie.map_or(0, |_| 4 + 24)
            + self.nsid.map_or(0, |n| 4 + n.len())
            + subnet
            + self.keepalive.map_or(0, |_| 6)
            + EXTENDED_ERROR
    }

    /// Writes the record behind a message. `rcode_high` are the upper bits of the response code, `behind` the bytes
    /// that follow (a signature), `most` the message's limit.
    pub fn write(&self, out: &mut Vec<u8>, rcode_high: u8, behind: usize, most: usize) {
        out.extend([0, 0, 41]);
        out.extend(self.udp_size.to_be_bytes());
        out.extend([rcode_high, 0, u8::from(self.dnssec_ok) << 7, 0]);
        let length_at = out.len();
        out.extend([0, 0]);
        let head = |out: &mut Vec<u8>, code: u16, length: usize| {
            out.extend(code.to_be_bytes());
            out.extend((length as u16).to_be_bytes());
        };
        if let Some(cookie) = self.cookie {
            head(out, code::COOKIE, cookie.len());
            out.extend_from_slice(&cookie);
        }
        if let Some(nsid) = self.nsid {
            head(out, code::NSID, nsid.len());
            out.extend_from_slice(nsid);
        }
        if let Some((subnet, scope)) = self.subnet {
            let bytes = usize::from(subnet.source).div_ceil(8);
            head(out, code::CLIENT_SUBNET, 4 + bytes);
            out.extend(subnet.family.to_be_bytes());
            out.extend([subnet.source, scope]);
            match (subnet.net.address(), subnet.family) {
                (IpAddr::V4(v4), 1) => out.extend_from_slice(&v4.octets()[..bytes]),
                (IpAddr::V4(v4), _) => out.extend_from_slice(&v4.to_ipv6_mapped().octets()[..bytes]),
                (IpAddr::V6(v6), _) => out.extend_from_slice(&v6.octets()[..bytes]),
            }
        }
        if let Some(timeout) = self.keepalive {
            head(out, code::TCP_KEEPALIVE, 2);
            out.extend(timeout.to_be_bytes());
        }
        if let Some(error) = self.error {
            let (number, text) = error.code_and_text();
            head(out, code::EXTENDED_ERROR, 2 + text.len());
            out.extend(number.to_be_bytes());
            out.extend_from_slice(text.as_bytes());
        }
        if let Some(block) = self.pad_to {
            let whole = out.len() + 4 + behind;
            let padded = whole.next_multiple_of(block).min(most);
            if padded >= whole {
                head(out, code::PADDING, padded - whole);
                out.resize(out.len() + padded - whole, 0);
            }
        }
        let length = (out.len() - length_at - 2) as u16;
        out[length_at..length_at + 2].copy_from_slice(&length.to_be_bytes());
    }
}
