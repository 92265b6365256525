//! Questions as they are sent and answers as they are read. The message format is hickory-proto's.

use std::net::IpAddr;

use hickory_proto::op::Message;
use hickory_proto::rr::rdata::svcb::{SvcParamKey, SvcParamValue};
use hickory_proto::rr::rdata::SVCB;
use hickory_proto::rr::{DNSClass, Name, RData, Record};

use crate::query::{Header, Query};
use crate::wire::{is_within, Rcode, Type, HEADER};
use crate::zone::CHAIN;

/// Records of an answer that are looked at.
const RECORDS: usize = 512;
/// RFC 9715: what is asked for over UDP.
const UDP_SIZE: u16 = 1232;

/// What one record says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Data {
    Address(IpAddr),
    Srv {
        priority: u16,
        weight: u16,
        port: u16,
        target: Box<[u8]>,
    },
    /// The strings of a TXT record, one after the other.
    Text(Box<[u8]>),
    /// SVCB or HTTPS; an alias where the priority is 0. The target `.` stands for the owner and is put in its place.
    Service {
        priority: u16,
        target: Box<[u8]>,
        port: Option<u16>,
        hints: Vec<IpAddr>,
    },
}

/// A believed answer: the data at the end of the chain of aliases, none if there are none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub data: Vec<Data>,
    /// Seconds; of what is not there, how long that may be believed (RFC 2308, section 5).
    pub ttl: u32,
}

/// What a message says to a question.
#[derive(Debug, PartialEq, Eq)]
pub enum Said {
    Answer(Answer),
    /// The name is another's alias, and the message does not go on from there.
    Alias(Box<[u8]>, u32),
    Truncated,
    /// A loop of aliases in the message itself, or too many.
    TooManyAliases,
    /// The cookie sent was not liked.
    BadCookie,
    /// Nothing is known: SERVFAIL, REFUSED and the like.
    Failed(Rcode),
    /// Not an answer to this question, or one that breaks the rules for answers.
    NotOurs,
}

/// A name in wire form and small letters.
pub(crate) fn wire_of(name: &Name) -> Box<[u8]> {
    let mut wire = Vec::new();
    for label in name.iter() {
        wire.push(label.len() as u8);
        wire.extend(label.iter().map(u8::to_ascii_lowercase));
    }
    wire.push(0);
    wire.into()
}

/// A question: `cased` is the name with its letters in any case (draft-vixie-dnsext-dns0x20).
pub(crate) fn question(id: u16, cased: &[u8], kind: Type, edns: bool, cookie: Option<&[u8]>) -> Vec<u8> {
    let mut bytes = id.to_be_bytes().to_vec();
    bytes.extend([1, 0, 0, 1, 0, 0, 0, 0, 0, u8::from(edns)]);
    bytes.extend_from_slice(cased);
    bytes.extend(kind.0.to_be_bytes());
    bytes.extend([0, 1]);
    if edns {
        bytes.extend([0, 0, 41]);
        bytes.extend(UDP_SIZE.to_be_bytes());
        bytes.extend([0; 4]);
        let options = cookie.map_or(0, |c| 4 + c.len());
        bytes.extend((options as u16).to_be_bytes());
        if let Some(cookie) = cookie {
            bytes.extend([0, 10]);
            bytes.extend((cookie.len() as u16).to_be_bytes());
            bytes.extend_from_slice(cookie);
        }
    }
    bytes
}

/// The cookie that a message brings, whole.
pub(crate) fn cookie_of(bytes: &[u8]) -> Option<Vec<u8>> {
    let header = Header::read(bytes)?;
    let option = Query::read(bytes, &header).ok()?.edns?.cookie?;
    Some([&option.client[..], option.server?].concat())
}

/// Whether the message answers this question: id, kind of message and the question to the letter (RFC 5452, section 9.1).
pub(crate) fn matches(bytes: &[u8], sent: &[u8], exact_case: bool) -> bool {
    let end = question_end(sent);
    let question = |b: &[u8]| b.get(HEADER..end).map(<[u8]>::to_vec);
    let (Some(asked), Some(came)) = (question(sent), question(bytes)) else { return false };
    let same = if exact_case { asked == came } else { asked.eq_ignore_ascii_case(&came) };
    bytes.len() >= HEADER
        && bytes[..2] == sent[..2]
        && bytes[2] & 0xF8 == 0x80
        && bytes[4..6] == [0, 1]
        && same
}

fn question_end(sent: &[u8]) -> usize {
    crate::wire::skip_name(sent, HEADER).map_or(sent.len(), |at| at + 4)
}

/// Reads what answers a question of this name and type; that it does has been seen. Only records on the way from the
/// name are believed, whatever else the message holds.
pub fn read_answer(bytes: &[u8], name: &[u8], kind: Type) -> Said {
    let Ok(message) = Message::from_vec(bytes) else { return Said::NotOurs };
    if message.metadata.truncation {
        return Said::Truncated;
    }
    let rcode = Rcode(u16::from(message.metadata.response_code));
    let no_name = match rcode {
        Rcode::NOERROR => false,
        Rcode::NXDOMAIN => true,
        Rcode::BADCOOKIE => return Said::BadCookie,
        other => return Said::Failed(other),
    };
    if message.answers.len() > RECORDS {
        return Said::NotOurs;
    }
    let (mut at, mut ttl) = (Box::<[u8]>::from(name), u32::MAX);
    for _ in 0..=CHAIN {
        let here =
            || message.answers.iter().filter(|r| r.dns_class == DNSClass::IN && wire_of(&r.name) == at);
        let mut data = Vec::new();
        for record in here() {
            if let Some(read) = data_of(&record.data, &at, kind) {
                ttl = ttl.min(life(record));
                if !data.contains(&read) {
                    data.push(read);
                }
            }
        }
        if !data.is_empty() {
            return Said::Answer(Answer { data, ttl });
        }
        let alias = here().find_map(|r| match &r.data {
            RData::CNAME(target) => Some((wire_of(&target.0), life(r))),
            _ => None,
        });
        match alias {
            Some((target, life)) => (at, ttl) = (target, ttl.min(life)),
            None if *at == *name || no_name => {
                let ttl = ttl.min(negative_ttl(&message, &at));
                return Said::Answer(Answer { data, ttl });
            }
            None => return Said::Alias(at, ttl),
        }
    }
    Said::TooManyAliases
}

/// RFC 2181, section 8: a TTL with its highest bit set is 0.
fn life(record: &Record) -> u32 {
    if record.ttl > i32::MAX as u32 {
        0
    } else {
        record.ttl
    }
}

/// RFC 2308, section 5: the SOA of a zone that the name is in, its TTL or its minimum; without one nothing is held.
fn negative_ttl(message: &Message, name: &[u8]) -> u32 {
    let soa = message.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) if is_within(name, &wire_of(&r.name)) => Some(life(r).min(soa.minimum)),
        _ => None,
    });
    soa.unwrap_or(0)
}

fn data_of(data: &RData, owner: &[u8], kind: Type) -> Option<Data> {
    match (data, kind) {
        (RData::A(a), Type::A) => Some(Data::Address(IpAddr::V4(a.0))),
        (RData::AAAA(a), Type::AAAA) => Some(Data::Address(IpAddr::V6(a.0))),
        (RData::SRV(s), Type::SRV) => Some(Data::Srv {
            priority: s.priority,
            weight: s.weight,
            port: s.port,
            target: wire_of(&s.target),
        }),
        (RData::TXT(t), Type::TXT) => Some(Data::Text(t.txt_data.concat().into())),
        (RData::SVCB(s), Type::SVCB) => service(s, owner),
        (RData::HTTPS(s), Type::HTTPS) => service(&s.0, owner),
        _ => None,
    }
}

/// RFC 9460; a record that demands a key which is not known here is passed over (section 8).
fn service(s: &SVCB, owner: &[u8]) -> Option<Data> {
    let mut target = wire_of(&s.target_name);
    if target.len() == 1 {
        target = owner.into();
    }
    let (mut port, mut hints) = (None, Vec::new());
    for (_, value) in &s.svc_params {
        match value {
            SvcParamValue::Port(p) => port = Some(*p),
            SvcParamValue::Ipv4Hint(v4) => hints.extend(v4.0.iter().map(|a| IpAddr::V4(a.0))),
            SvcParamValue::Ipv6Hint(v6) => hints.extend(v6.0.iter().map(|a| IpAddr::V6(a.0))),
            SvcParamValue::Mandatory(keys) => {
                let known = |k: &SvcParamKey| {
                    matches!(
                        k,
                        SvcParamKey::Alpn
                            | SvcParamKey::NoDefaultAlpn
                            | SvcParamKey::Port
                            | SvcParamKey::Ipv4Hint
                            | SvcParamKey::Ipv6Hint
                    )
                };
                if !keys.0.iter().all(known) {
                    return None;
                }
            }
            _ => {}
        }
    }
    Some(Data::Service { priority: s.svc_priority, target, port, hints })
}
