//! Records as they are written in a file, and their data on the wire.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use serde::{Deserialize, Serialize};

use crate::wire::{parse_name, Type};

/// One record of the zone. Each type has its own keys; one that is not its own is a slip and refused.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RecordEntry {
    /// Relative to the zone; `@` is the zone itself, `*` a wildcard.
    pub name: String,
    #[serde(rename = "type")]
    pub kind: String,
    /// Seconds; the zone's where it is not there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ttl_s: Option<u32>,
    /// A, AAAA.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<IpAddr>,
    /// CNAME, NS, SRV, SVCB, HTTPS.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// SRV, SVCB, HTTPS.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u16>,
    /// SRV.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u16>,
    /// SRV, SVCB, HTTPS.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub port: Option<u16>,
    /// TXT: strings of 255 bytes at most.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub text: Vec<String>,
    /// CAA.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flags: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tag: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// SVCB, HTTPS.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub alpn: Vec<String>,
    #[serde(skip_serializing_if = "is_false")]
    pub no_default_alpn: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub ipv4hint: Vec<Ipv4Addr>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub ipv6hint: Vec<Ipv6Addr>,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Data of a record: bytes, and where in them names stand that may be compressed (RFC 3597, section 4: in the types
/// of RFC 1035 only).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rdata {
    pub bytes: Box<[u8]>,
    /// Starts and ends of the names that may be compressed.
    pub names: Vec<(usize, usize)>,
    /// The name of whose addresses an answer tells besides.
    pub target: Option<Box<[u8]>>,
}

impl Rdata {
    pub fn address(address: IpAddr) -> Rdata {
        let bytes: Box<[u8]> = match address {
            IpAddr::V4(v4) => v4.octets().into(),
            IpAddr::V6(v6) => v6.octets().into(),
        };
        Rdata { bytes, names: Vec::new(), target: None }
    }

    /// NS or CNAME.
    pub fn name(target: Box<[u8]>) -> Rdata {
        Rdata { names: vec![(0, target.len())], target: Some(target.clone()), bytes: target }
    }

    /// SOA: refresh, retry, expire and minimum in seconds.
    pub fn soa(mname: &[u8], rname: &[u8], serial: u32, times: [u32; 4]) -> Rdata {
        let mut bytes = [mname, rname].concat();
        let names = vec![(0, mname.len()), (mname.len(), bytes.len())];
        for number in [serial].into_iter().chain(times) {
            bytes.extend(number.to_be_bytes());
        }
        Rdata { bytes: bytes.into(), names, target: None }
    }

    fn plain(bytes: Vec<u8>, target: Option<Box<[u8]>>) -> Rdata {
        Rdata { bytes: bytes.into(), names: Vec::new(), target }
    }
}

impl RecordEntry {
    /// The type and the data, or what is wrong with the entry.
    pub fn data(&self, origin: &[u8]) -> Result<(Type, Rdata), String> {
        let kind = self.kind.to_ascii_uppercase();
        self.only_own_keys(&kind)?;
        let target = || {
            let text = self.target.as_deref().ok_or("target is missing")?;
            parse_name(text, origin)
        };
        let number = |value: Option<u16>, key: &str| value.ok_or(format!("{key} is missing"));
        Ok(match kind.as_str() {
            "A" | "AAAA" => match (self.address, kind.as_str()) {
                (Some(v4 @ IpAddr::V4(_)), "A") => (Type::A, Rdata::address(v4)),
                (Some(v6 @ IpAddr::V6(_)), "AAAA") => (Type::AAAA, Rdata::address(v6)),
                (None, _) => return Err("address is missing".into()),
                (Some(other), _) => return Err(format!("{other} is no address of this type")),
            },
            "CNAME" => (Type::CNAME, Rdata::name(target()?)),
            "NS" => (Type::NS, Rdata::name(target()?)),
            "SRV" => {
                let target = target()?;
                let mut bytes = Vec::new();
                for value in [(self.priority, "priority"), (self.weight, "weight"), (self.port, "port")] {
                    bytes.extend(number(value.0, value.1)?.to_be_bytes());
                }
                // RFC 2782: the target is not compressed.
                bytes.extend_from_slice(&target);
                (Type::SRV, Rdata::plain(bytes, Some(target)))
            }
            "TXT" => (Type::TXT, Rdata::plain(self.strings()?, None)),
            "CAA" => (Type::CAA, Rdata::plain(self.caa()?, None)),
            "SVCB" => self.svcb(Type::SVCB, number(self.priority, "priority")?, target()?)?,
            "HTTPS" => self.svcb(Type::HTTPS, number(self.priority, "priority")?, target()?)?,
            _ => {
                let known = "A, AAAA, CNAME, NS, SRV, TXT, CAA, SVCB or HTTPS";
                return Err(format!("type {:?} is none of {known}", self.kind));
            }
        })
    }

    fn only_own_keys(&self, kind: &str) -> Result<(), String> {
        let service = matches!(kind, "SVCB" | "HTTPS");
        let keys = [
            ("address", self.address.is_some(), matches!(kind, "A" | "AAAA")),
            ("target", self.target.is_some(), service || matches!(kind, "CNAME" | "NS" | "SRV")),
            ("priority", self.priority.is_some(), service || kind == "SRV"),
            ("weight", self.weight.is_some(), kind == "SRV"),
            ("port", self.port.is_some(), service || kind == "SRV"),
            ("text", !self.text.is_empty(), kind == "TXT"),
            ("flags", self.flags.is_some(), kind == "CAA"),
            ("tag", self.tag.is_some(), kind == "CAA"),
            ("value", self.value.is_some(), kind == "CAA"),
            ("alpn", !self.alpn.is_empty(), service),
            ("no_default_alpn", self.no_default_alpn, service),
            ("ipv4hint", !self.ipv4hint.is_empty(), service),
            ("ipv6hint", !self.ipv6hint.is_empty(), service),
        ];
        match keys.iter().find(|(_, set, own)| *set && !own) {
            Some((key, ..)) => Err(format!("{key} is no key of type {kind}")),
            None => Ok(()),
        }
    }

    /// RFC 1035, section 3.3.14: one string or more, each with its length before it.
    fn strings(&self) -> Result<Vec<u8>, String> {
        let mut bytes = Vec::new();
        for text in &self.text {
            let length = u8::try_from(text.len()).map_err(|_| "a string of text is over 255 bytes long")?;
            bytes.push(length);
            bytes.extend_from_slice(text.as_bytes());
        }
        match bytes.len() {
            0 => Err("text is missing".into()),
            1..=16_000 => Ok(bytes),
            _ => Err("text is over 16,000 bytes long".into()),
        }
    }

    /// RFC 8659, section 4.1.
    fn caa(&self) -> Result<Vec<u8>, String> {
        let tag = self.tag.as_deref().ok_or("tag is missing")?;
        let value = self.value.as_deref().ok_or("value is missing")?;
        let fits = (1..=15).contains(&tag.len()) && tag.bytes().all(|b| b.is_ascii_alphanumeric());
        if !fits {
            return Err(format!("tag {tag:?}: 1 to 15 letters and digits"));
        }
        if value.len() > 1024 {
            return Err("value is over 1,024 bytes long".into());
        }
        let head = [self.flags.unwrap_or(0), tag.len() as u8];
        Ok([&head[..], tag.to_ascii_lowercase().as_bytes(), value.as_bytes()].concat())
    }

    /// RFC 9460, section 2.2: priority, target (not compressed), parameters by rising key.
    fn svcb(&self, kind: Type, priority: u16, target: Box<[u8]>) -> Result<(Type, Rdata), String> {
        let mut params: Vec<(u16, Vec<u8>)> = Vec::new();
        if !self.alpn.is_empty() {
            let mut ids = Vec::new();
            for id in &self.alpn {
                let length = u8::try_from(id.len()).ok().filter(|l| *l > 0);
                ids.push(length.ok_or(format!("alpn {id:?}: 1 to 255 bytes"))?);
                ids.extend_from_slice(id.as_bytes());
            }
            params.push((1, ids));
        }
        if self.no_default_alpn {
            // Section 7.1.1.
            if self.alpn.is_empty() {
                return Err("no_default_alpn needs alpn".into());
            }
            params.push((2, Vec::new()));
        }
        if let Some(port) = self.port {
            params.push((3, port.to_be_bytes().into()));
        }
        if !self.ipv4hint.is_empty() {
            params.push((4, self.ipv4hint.iter().flat_map(|a| a.octets()).collect()));
        }
        if !self.ipv6hint.is_empty() {
            params.push((6, self.ipv6hint.iter().flat_map(|a| a.octets()).collect()));
        }
        // Section 2.4.2: an alias has no parameters.
        if priority == 0 && !params.is_empty() {
            return Err("with priority 0 (an alias) there are no alpn, port or hints".into());
        }
        let mut bytes = priority.to_be_bytes().to_vec();
        bytes.extend_from_slice(&target);
        for (key, value) in params {
            let length =
                u16::try_from(value.len()).map_err(|_| "alpn or hints are over 65,535 bytes long")?;
            bytes.extend(key.to_be_bytes());
            bytes.extend(length.to_be_bytes());
            bytes.extend(value);
        }
        let target = (target.len() > 1).then_some(target);
        Ok((kind, Rdata::plain(bytes, target)))
    }
}
