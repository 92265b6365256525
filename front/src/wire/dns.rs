//! DNS messages: what an authoritative server answers and what a client of a resolver reads. The message format
//! itself is hickory-proto's.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, NS, SOA};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};

const HEADER: usize = 12;
/// The least that any transport takes, and the most that is sent over UDP whatever a client says.
const UDP: (usize, usize) = (512, 1232);
/// Links of a chain of aliases that are followed.
pub const CHAIN: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    Udp,
    Tcp,
}

/// What the server is an authority for.
#[derive(Clone, Debug)]
pub struct Zone {
    pub origin: Name,
    pub serial: u32,
    pub ttl: u32,
    /// Names in small letters and the addresses they have.
    pub names: Vec<(Name, Vec<IpAddr>)>,
}

impl Zone {
    fn addresses(&self, name: &Name) -> Option<&[IpAddr]> {
        self.names.iter().find(|(n, _)| n == name).map(|(_, a)| &a[..])
    }

    /// Whether the name exists, be it only because of one below it.
    fn exists(&self, name: &Name) -> bool {
        *name == self.origin || self.names.iter().any(|(n, _)| name.zone_of(n))
    }

    fn soa(&self) -> Record {
        let (mname, rname) = (self.origin.clone(), self.origin.clone());
        let soa = SOA::new(mname, rname, self.serial, 60, 30, 600, self.ttl);
        Record::from_rdata(self.origin.clone(), self.ttl, RData::SOA(soa))
    }
}

/// The answer to a query; `None` where nothing may be said (no header, or itself an answer). `turn` rotates the
/// addresses.
pub fn answer(bytes: &[u8], zone: &Zone, transport: Transport, turn: usize) -> Option<Vec<u8>> {
    let header = bytes.get(..HEADER).filter(|h| h[2] & 0x80 == 0)?;
    let id = u16::from_be_bytes([header[0], header[1]]);
    let op_code = OpCode::from_u8(header[2] >> 3 & 0xF);
    let plain = |code| Message::error_msg(id, op_code, code).to_vec().ok();
    if op_code != OpCode::Query {
        return plain(ResponseCode::NotImp);
    }
    let Ok(query) = Message::from_vec(bytes) else { return plain(ResponseCode::FormErr) };
    let mut reply = Message::response(id, op_code);
    reply.metadata.recursion_desired = query.metadata.recursion_desired;
    reply.add_queries(query.queries.iter().cloned());
    if let Some(asked) = &query.edns {
        let mut edns = Edns::new();
        edns.set_max_payload(UDP.1 as u16);
        edns.set_dnssec_ok(asked.flags().dnssec_ok);
        reply.set_edns(edns);
    }
    let version = query.edns.as_ref().map_or(0, Edns::version);
    match &query.queries[..] {
        _ if version > 0 => reply.metadata.response_code = ResponseCode::BADVERS,
        [question] => fill(&mut reply, question, zone, turn),
        _ => reply.metadata.response_code = ResponseCode::FormErr,
    }
    let most = match transport {
        Transport::Tcp => usize::from(u16::MAX),
        Transport::Udp => usize::from(query.max_payload()).clamp(UDP.0, UDP.1),
    };
    let whole = reply.to_vec().ok()?;
    if whole.len() <= most {
        return Some(whole);
    }
    reply.truncate().to_vec().ok()
}

fn fill(reply: &mut Message, question: &Query, zone: &Zone, turn: usize) {
    let name = question.name().to_lowercase();
    let code = &mut reply.metadata.response_code;
    if question.query_class() != DNSClass::IN || !zone.origin.zone_of(&name) {
        *code = ResponseCode::Refused;
        return;
    }
    if matches!(question.query_type(), RecordType::AXFR | RecordType::IXFR) {
        *code = ResponseCode::Refused;
        return;
    }
    reply.metadata.authoritative = true;
    if !zone.exists(&name) {
        reply.metadata.response_code = ResponseCode::NXDomain;
        reply.add_authority(zone.soa());
        return;
    }
    let (kind, owner) = (question.query_type(), question.name().clone());
    let wants = |other| kind == other || kind == RecordType::ANY;
    let mut addresses = zone.addresses(&name).unwrap_or_default().to_vec();
    if !addresses.is_empty() {
        let by = turn % addresses.len();
        addresses.rotate_left(by);
    }
    for address in addresses {
        let data = match address {
            IpAddr::V4(v4) if wants(RecordType::A) => RData::A(A(v4)),
            IpAddr::V6(v6) if wants(RecordType::AAAA) => RData::AAAA(AAAA(v6)),
            _ => continue,
        };
        reply.add_answer(Record::from_rdata(owner.clone(), zone.ttl, data));
    }
    if name == zone.origin && wants(RecordType::SOA) {
        reply.add_answer(zone.soa());
    }
    if name == zone.origin && wants(RecordType::NS) {
        let data = RData::NS(NS(zone.origin.clone()));
        reply.add_answer(Record::from_rdata(owner, zone.ttl, data));
    }
    if reply.answers.is_empty() {
        reply.add_authority(zone.soa());
    }
}

/// A question to a resolver: its id, which the answer must repeat, and the bytes.
pub fn query(name: &Name) -> Option<(u16, Vec<u8>)> {
    let mut message = Message::query();
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(name.clone(), RecordType::A));
    let mut edns = Edns::new();
    edns.set_max_payload(UDP.1 as u16);
    message.set_edns(edns);
    Some((message.metadata.id, message.to_vec().ok()?))
}

/// What a resolver's answer says.
#[derive(Debug, PartialEq, Eq)]
pub enum Said {
    /// The addresses, none if there is no such name or it has none, for so many seconds.
    Addresses(BTreeSet<Ipv4Addr>, u32),
    /// The name is another's alias, and the answer does not go on from there.
    Alias(Name, u32),
    Truncated,
    /// SERVFAIL and the like: nothing is known.
    Failed(ResponseCode),
    /// Not an answer to this question.
    NotOurs,
}

pub fn read_answer(bytes: &[u8], id: u16, asked: &Name) -> Said {
    let Ok(message) = Message::from_vec(bytes) else { return Said::NotOurs };
    let ours = message.metadata.id == id
        && message.metadata.message_type == MessageType::Response
        && matches!(&message.queries[..], [q] if q.name() == asked && q.query_type() == RecordType::A
            && q.query_class() == DNSClass::IN);
    if !ours {
        return Said::NotOurs;
    }
    if message.metadata.truncation {
        return Said::Truncated;
    }
    let no_name = match message.metadata.response_code {
        ResponseCode::NoError => false,
        ResponseCode::NXDomain => true,
        other => return Said::Failed(other),
    };
    let (mut name, mut ttl) = (asked.clone(), u32::MAX);
    for _ in 0..=CHAIN {
        let at_name = || message.answers.iter().filter(|r| r.name == name);
        let mut addresses = BTreeSet::new();
        for record in at_name() {
            if let RData::A(a) = &record.data {
                addresses.insert(a.0);
                ttl = ttl.min(record.ttl);
            }
        }
        if !addresses.is_empty() {
            return Said::Addresses(addresses, ttl);
        }
        let alias = at_name().find_map(|r| match &r.data {
            RData::CNAME(target) => Some((target.0.clone(), r.ttl)),
            _ => None,
        });
        match alias {
            Some((target, life)) => (name, ttl) = (target, ttl.min(life)),
            None if name == *asked || no_name => return Said::Addresses(addresses, ttl),
            None => return Said::Alias(name, ttl),
        }
    }
    Said::Failed(ResponseCode::ServFail)
}
