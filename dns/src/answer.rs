//! The way of a query to its answer. Nothing on it allocates or locks for an ordinary query: the caller's buffer is
//! reused, the zone is compiled, and what is in force is one value that is not changed while it is read.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

use elmtide_ratelimit::{Kind, Limiter, Verdict};
use elmtide_steering::{Net, SelectionKind, View};

use crate::cookie::{Secrets, Standing};
use crate::edns::{ExtendedError, Said};
use crate::query::{Header, Query, Question};
use crate::records::Rdata;
use crate::time::Now;
use crate::transfer::{History, Transfer};
use crate::tsig::{self, Keys, Signer, Unverified};
use crate::wire::{is_within, Name, Rcode, Type, CLASS_IN, HEADER, QUESTION_POINTER};
use crate::zone::{Found, Node, RrSet, Zone, CHAIN};

/// The least that any transport takes, and the most that is sent over UDP whatever a client says (RFC 9715).
const UDP: (usize, usize) = (512, 1232);
const TCP: usize = 65_535;
/// Answers over a transport that proves the client are padded to blocks of this (RFC 8467, section 4.1).
const BLOCK: usize = 468;
/// An identifier is this long at most (RFC 5001 sets no bound; the answer has to fit).
pub const NSID: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    Udp,
    Tcp,
}

/// Who asks, and how.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    pub address: IpAddr,
    pub transport: Transport,
}

/// The name and the data of the record by which other fronts learn how this one is.
pub type OwnState = (Box<[u8]>, Box<[u8]>);

/// All that answers are made of. It is replaced whole.
#[derive(Clone, Debug)]
pub struct Served {
    pub zone: Arc<Zone>,
    pub view: View,
    pub secrets: Secrets,
    pub nsid: Option<Box<[u8]>>,
    pub keys: Keys,
    /// Keys that may take the zone over.
    pub transfer_keys: Vec<Box<[u8]>>,
    pub history: History,
    pub state: Option<OwnState>,
    /// What TCP clients are told of how long a connection is kept, in units of 100 ms.
    pub keepalive: u16,
}

/// What is to be done after a message.
#[derive(Debug)]
pub enum Reaction {
    /// Nothing may be said.
    Silence,
    /// The buffer holds the answer.
    Reply,
    /// Several messages, over TCP.
    Transfer(Box<Transfer>),
}

/// Counts of what was asked and answered.
#[derive(Debug, Default)]
pub struct Counts {
    pub udp: AtomicU64,
    pub tcp: AtomicU64,
    pub answers: AtomicU64,
    pub nodata: AtomicU64,
    pub nxdomain: AtomicU64,
    pub referrals: AtomicU64,
    pub refused: AtomicU64,
    pub formerr: AtomicU64,
    pub servfail: AtomicU64,
    pub other_errors: AtomicU64,
    pub truncated: AtomicU64,
    pub cookies_valid: AtomicU64,
    pub cookies_bad: AtomicU64,
    pub limited_dropped: AtomicU64,
    pub limited_slipped: AtomicU64,
    pub transfers: AtomicU64,
    pub signatures_bad: AtomicU64,
    pub last_resort: AtomicU64,
}

impl Counts {
    /// Names and values, for whoever shows them.
    pub fn named(&self) -> [(&'static str, u64); 18] {
        [
            ("dns_udp", &self.udp),
            ("dns_tcp", &self.tcp),
            ("dns_answers", &self.answers),
            ("dns_nodata", &self.nodata),
            ("dns_nxdomain", &self.nxdomain),
            ("dns_referrals", &self.referrals),
            ("dns_refused", &self.refused),
            ("dns_formerr", &self.formerr),
            ("dns_servfail", &self.servfail),
            ("dns_other_errors", &self.other_errors),
            ("dns_truncated", &self.truncated),
            ("dns_cookies_valid", &self.cookies_valid),
            ("dns_cookies_bad", &self.cookies_bad),
            ("dns_limited_dropped", &self.limited_dropped),
            ("dns_limited_slipped", &self.limited_slipped),
            ("dns_transfers", &self.transfers),
            ("dns_signatures_bad", &self.signatures_bad),
            ("dns_last_resort", &self.last_resort),
        ]
        .map(|(name, count)| (name, count.load(Relaxed)))
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// How an answer ended, which is what limits and counters go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// Of the node with this number.
    Answer(u32),
    NoData(u32),
    NxDomain,
    Referral(u32),
    Error(Rcode),
}

/// One thread's way of answering.
#[derive(Debug)]
pub struct Server {
    limiter: Limiter,
    counts: Arc<Counts>,
}

impl Server {
    pub fn new(limiter: Limiter, counts: Arc<Counts>) -> Server {
        Server { limiter, counts }
    }

    /// Other limits from here on.
    pub fn limit(&mut self, limiter: Limiter) {
        self.limiter = limiter;
    }

    pub fn limits(&self) -> &elmtide_ratelimit::Limits {
        self.limiter.limits()
    }

    /// Answers one message into `out`, whose room is reused.
    pub fn answer(
        &mut self,
        served: &Served,
        client: Client,
        now: impl Into<Now>,
        bytes: &[u8],
        out: &mut Vec<u8>,
    ) -> Reaction {
        let now = now.into();
        out.clear();
        count(if client.transport == Transport::Udp { &self.counts.udp } else { &self.counts.tcp });
        let Some(header) = Header::read(bytes).filter(|h| !h.is_response) else { return Reaction::Silence };
        // Only queries (RFC 1035, section 4.1.1); a notice is for those who have the zone from somebody else.
        if header.opcode != 0 {
            return self.short(client, now, &header, Rcode::NOTIMP, out);
        }
        let Ok(query) = Query::read(bytes, &header) else {
            return self.short(client, now, &header, Rcode::FORMERR, out);
        };
        let mut signer = None;
        if let Some(at) = query.tsig {
            match tsig::verify(&served.keys, bytes, at, now.unix_s) {
                Ok(verified) => signer = Some(verified),
                Err(Unverified::Malformed) => return self.short(client, now, &header, Rcode::FORMERR, out),
                Err(Unverified::Error { reply, .. }) => {
                    count(&self.counts.signatures_bad);
                    let reaction = self.short(client, now, &header, Rcode::NOTAUTH, out);
                    if matches!(reaction, Reaction::Reply) {
                        bring_question(out, bytes, query.question.as_ref());
                        reply.sign(out, now.unix_s);
                    }
                    return reaction;
                }
            }
        }
        if let Some(question) = &query.question {
            if matches!(question.kind, Type::AXFR | Type::IXFR)
                && query.edns.as_ref().is_none_or(|e| e.version == 0)
            {
                return self.transfer(served, client, now, bytes, &header, &query, question, signer, out);
            }
        }
        self.ordinary(served, client, now, bytes, &header, &query, signer, out)
    }

    /// A header and no more.
    fn short(
        &mut self,
        client: Client,
        now: Now,
        header: &Header,
        rcode: Rcode,
        out: &mut Vec<u8>,
    ) -> Reaction {
        out.clear();
        out.extend(header.id.to_be_bytes());
        out.extend([0x80 | header.opcode << 3 | u8::from(header.recursion_desired), rcode.0 as u8]);
        out.extend([0; 8]);
        self.tally(Ending::Error(rcode));
        match self.judge(client, now, Ending::Error(rcode)) {
            Verdict::Send => Reaction::Reply,
            Verdict::Slip | Verdict::Drop => Reaction::Silence,
        }
    }

    fn tally(&self, ending: Ending) {
        let counts = &self.counts;
        count(match ending {
            Ending::Answer(_) => &counts.answers,
            Ending::NoData(_) => &counts.nodata,
            Ending::NxDomain => &counts.nxdomain,
            Ending::Referral(_) => &counts.referrals,
            Ending::Error(Rcode::REFUSED) => &counts.refused,
            Ending::Error(Rcode::FORMERR) => &counts.formerr,
            Ending::Error(Rcode::SERVFAIL) => &counts.servfail,
            Ending::Error(_) => &counts.other_errors,
        });
    }

    /// The last word on an answer over UDP to a client that has not proven its address.
    fn judge(&mut self, client: Client, now: Now, ending: Ending) -> Verdict {
        if client.transport == Transport::Tcp {
            return Verdict::Send;
        }
        let (kind, what) = match ending {
            Ending::Answer(node) => (Kind::Answer, node),
            Ending::NoData(node) => (Kind::NoData, node),
            Ending::Referral(node) => (Kind::Referral, node),
            Ending::NxDomain => (Kind::NxDomain, 0),
            Ending::Error(_) => (Kind::Error, 0),
        };
        let net = match client.address.to_canonical() {
            IpAddr::V4(v4) => u64::from(v4.to_bits() >> 8),
            IpAddr::V6(v6) => (v6.to_bits() >> 72) as u64 | 1 << 63,
        };
        let verdict = self.limiter.check(net, kind, u64::from(what), now.steady);
        match verdict {
            Verdict::Send => {}
            Verdict::Slip => count(&self.counts.limited_slipped),
            Verdict::Drop => count(&self.counts.limited_dropped),
        }
        verdict
    }

    #[allow(clippy::too_many_arguments)]
    fn ordinary(
        &mut self,
        served: &Served,
        client: Client,
        now: Now,
        bytes: &[u8],
        header: &Header,
        query: &Query<'_>,
        mut signer: Option<Signer>,
        out: &mut Vec<u8>,
    ) -> Reaction {
        let mut said = Said { udp_size: UDP.1 as u16, ..Said::default() };
        let mut proven = client.transport == Transport::Tcp;
        let mut bad_cookie = false;
        if let Some(edns) = &query.edns {
            said.dnssec_ok = edns.dnssec_ok;
            if let Some(option) = edns.cookie {
                let now_s = (now.steady / 1000.0) as u64 as u32;
                let (standing, cookie) =
                    served.secrets.judge(option.client, option.server, client.address, now_s);
                said.cookie = Some(cookie);
                if standing == Standing::Valid {
                    count(&self.counts.cookies_valid);
                    proven = true;
                } else if option.server.is_some() {
                    count(&self.counts.cookies_bad);
                    // RFC 7873, section 5.2.4: over UDP the client is told the right one and asks again with it.
                    bad_cookie = !proven;
                }
            }
            said.nsid = served.nsid.as_deref().filter(|_| edns.nsid);
            said.subnet = edns.subnet.map(|s| (s, 0));
            if client.transport == Transport::Tcp {
                said.keepalive = edns.keepalive.then_some(served.keepalive);
                // RFC 7830 has padding where nobody listens in; over UDP it would only make floods of answers larger.
                said.pad_to = edns.padding.then_some(BLOCK);
            }
        }
        let most = match (client.transport, &query.edns) {
            (Transport::Tcp, _) => TCP,
            (Transport::Udp, Some(edns)) => usize::from(edns.udp_size).clamp(UDP.0, UDP.1),
            (Transport::Udp, None) => UDP.0,
        };
        let behind = signer.as_ref().map_or(0, Signer::room);
        let room = if query.edns.is_some() { said.room() } else { 0 } + behind;
        let question_end = query.question.as_ref().map_or(HEADER, |q| q.end);
        out.extend_from_slice(&bytes[..question_end]);
        let mut composer = Composer {
            out,
            limit: most.saturating_sub(room).max(question_end),
            origin_at: 0,
            zone: &served.zone,
            view: &served.view,
            state: served.state.as_ref(),
            client: said
                .subnet
                .filter(|(s, _)| s.source > 0)
                .map_or(Net::host(client.address), |(s, _)| s.net),
            sections: [0; 3],
            authoritative: false,
            truncated: false,
            scope: 0,
            last_resort: false,
        };
        let (ending, error) = match (&query.question, query.edns.as_ref().map_or(0, |e| e.version)) {
            (_, 1..) => (Ending::Error(Rcode::BADVERS), None),
            _ if query.bad_option => (Ending::Error(Rcode::FORMERR), Some(ExtendedError::InvalidData)),
            _ if bad_cookie => (Ending::Error(Rcode::BADCOOKIE), None),
            // RFC 7873, section 5.4: a client asks for a cookie alone.
            (None, _) => (Ending::Answer(u32::MAX), None),
            (Some(question), _) => composer.question(question),
        };
        if composer.last_resort {
            count(&self.counts.last_resort);
        }
        let rcode = match ending {
            Ending::Error(rcode) => rcode,
            Ending::NxDomain => Rcode::NXDOMAIN,
            _ => Rcode::NOERROR,
        };
        let (mut truncated, mut sections) = (composer.truncated, composer.sections);
        let authoritative = composer.authoritative && !matches!(ending, Ending::Error(_));
        if let Some((subnet, scope)) = &mut said.subnet {
            // Section 7.2.1: a client that tells nothing is told that nothing mattered.
            *scope = if subnet.source > 0 { composer.scope } else { 0 };
        }
        said.error = error;
        self.tally(ending);
        if !proven {
            match self.judge(client, now, ending) {
                Verdict::Send => {}
                Verdict::Slip => truncated = true,
                Verdict::Drop => return Reaction::Silence,
            }
        }
        if truncated {
            // What is cut is left out whole: half a set must not be taken for one (RFC 2181, section 9).
            count(&self.counts.truncated);
            out.truncate(question_end);
            sections = [0; 3];
        }
        let additional = sections[2] + u16::from(query.edns.is_some());
        out[2] = 0x80
            | u8::from(authoritative) << 2
            | u8::from(truncated) << 1
            | u8::from(header.recursion_desired);
        out[3] = (rcode.0 & 0xF) as u8;
        for (at, number) in
            [(4, u16::from(query.question.is_some())), (6, sections[0]), (8, sections[1]), (10, additional)]
        {
            out[at..at + 2].copy_from_slice(&number.to_be_bytes());
        }
        if query.edns.is_some() {
            said.write(out, (rcode.0 >> 4) as u8, behind, most);
        }
        if let Some(signer) = &mut signer {
            signer.sign(out, now.unix_s);
        }
        Reaction::Reply
    }

    /// AXFR and IXFR: signed by a key that may, of the zone itself, over TCP.
    #[allow(clippy::too_many_arguments)]
    fn transfer(
        &mut self,
        served: &Served,
        client: Client,
        now: Now,
        bytes: &[u8],
        header: &Header,
        query: &Query<'_>,
        question: &Question,
        signer: Option<Signer>,
        out: &mut Vec<u8>,
    ) -> Reaction {
        let zone = &served.zone;
        let may = signer.as_ref().is_some_and(|s| served.transfer_keys.contains(&s.key().name));
        let incremental = question.kind == Type::IXFR;
        let rcode = if question.class != CLASS_IN || *question.name.wire() != *zone.origin {
            Some(Rcode::NOTAUTH)
        } else if !may {
            Some(Rcode::REFUSED)
        } else if incremental && query.have_serial.is_none()
            || !incremental && client.transport == Transport::Udp
        {
            // RFC 1995, section 3; RFC 5936, section 4.2.
            Some(Rcode::FORMERR)
        } else {
            None
        };
        if let Some(rcode) = rcode {
            let Reaction::Reply = self.short(client, now, header, rcode, out) else {
                return Reaction::Silence;
            };
            bring_question(out, bytes, Some(question));
            if let Some(mut signer) = signer {
                signer.sign(out, now.unix_s);
            }
            return Reaction::Reply;
        }
        count(&self.counts.transfers);
        let asked = &bytes[HEADER..question.end];
        let have = query.have_serial.filter(|_| incremental);
        match (have, client.transport) {
            // RFC 1995, section 2: over UDP the newest SOA tells that there is something to fetch over TCP.
            (Some(_), Transport::Udp) => {
                let mut newest =
                    Transfer::changes(header.id, asked, zone, &served.history, zone.serial, signer);
                newest.next(out, now.unix_s);
                Reaction::Reply
            }
            (Some(have), Transport::Tcp) => {
                let transfer = Transfer::changes(header.id, asked, zone, &served.history, have, signer);
                Reaction::Transfer(Box::new(transfer))
            }
            (None, _) => Reaction::Transfer(Box::new(Transfer::whole(header.id, asked, zone, signer))),
        }
    }
}

/// The question comes back, so that the asker sees what is refused.
fn bring_question(out: &mut Vec<u8>, bytes: &[u8], question: Option<&Question>) {
    if let Some(question) = question {
        out[5] = 1;
        out.extend_from_slice(&bytes[HEADER..question.end]);
    }
}

/// Owners of records: the name in the question, or another of the zone.
#[derive(Clone, Copy)]
enum Owner<'a> {
    Question,
    Name(&'a [u8]),
}

const ANSWER: usize = 0;
const AUTHORITY: usize = 1;
const ADDITIONAL: usize = 2;

struct Composer<'a> {
    out: &'a mut Vec<u8>,
    limit: usize,
    /// Where the zone's name stands in the question.
    origin_at: usize,
    zone: &'a Zone,
    view: &'a View,
    state: Option<&'a OwnState>,
    client: Net,
    sections: [u16; 3],
    authoritative: bool,
    truncated: bool,
    scope: u8,
    last_resort: bool,
}

impl Composer<'_> {
    fn question(&mut self, question: &Question) -> (Ending, Option<ExtendedError>) {
        let error = |rcode, why| (Ending::Error(rcode), Some(why));
        let zone = self.zone;
        if question.class != CLASS_IN {
            return error(Rcode::REFUSED, ExtendedError::NotAuthoritative);
        }
        // RFC 6895, section 3.1: kinds of questions that nobody asks any more, and records that are none.
        match question.kind {
            Type::MAILA | Type::MAILB => return error(Rcode::NOTIMP, ExtendedError::NotSupported),
            Type::OPT | Type::TSIG | Type(0) | Type(249) => return (Ending::Error(Rcode::FORMERR), None),
            _ => {}
        }
        let name = &question.name;
        if !is_within(name.wire(), &zone.origin) {
            return error(Rcode::REFUSED, ExtendedError::NotAuthoritative);
        }
        self.origin_at = HEADER + name.wire().len() - zone.origin.len();
        self.authoritative = true;
        if let Some((_, words)) =
            self.state.filter(|(n, _)| question.kind == Type::TXT && **n == *name.wire())
        {
            self.record(ANSWER, Owner::Question, Type::TXT, 0, words, &[]);
            return (Ending::Answer(u32::MAX), None);
        }
        self.walk(name, question.kind, 0)
    }

    /// From a name on, after so many aliases.
    fn walk(&mut self, name: &Name, kind: Type, links: usize) -> (Ending, Option<ExtendedError>) {
        if links > CHAIN {
            // Longer chains are refused when the zone is read; wildcards could still make one.
            return (Ending::Error(Rcode::SERVFAIL), Some(ExtendedError::NotSupported));
        }
        let owner = if links > 0 { Owner::Name(name.wire()) } else { Owner::Question };
        match self.zone.find(name) {
            // Where an alias leaves the zone, its answer ends.
            Found::Outside => (Ending::Answer(u32::MAX), None),
            Found::NoName => {
                self.soa(AUTHORITY);
                (Ending::NxDomain, None)
            }
            // A DS is the parent's to tell (RFC 4035, section 3.1.4.1), and there is none.
            Found::Referral(cut) if kind == Type::DS && *cut.name == *name.wire() => {
                self.soa(AUTHORITY);
                (Ending::NoData(cut.id), None)
            }
            Found::Referral(cut) => {
                self.referral(cut);
                self.authoritative = links > 0;
                (Ending::Referral(cut.id), None)
            }
            Found::Node(node) => {
                let alias = node.set(Type::CNAME).filter(|_| !matches!(kind, Type::CNAME | Type::ANY));
                let Some(alias) = alias else { return self.node(node, owner, kind) };
                self.set(ANSWER, owner, alias);
                match alias.data[0].target.as_deref().map(|t| Name::read(t, 0)) {
                    Some(Ok((target, _))) => self.walk(&target, kind, links + 1),
                    _ => (Ending::Answer(node.id), None),
                }
            }
        }
    }

    /// The end of the way: a name that exists and is no alias.
    fn node(&mut self, node: &Node, owner: Owner<'_>, kind: Type) -> (Ending, Option<ExtendedError>) {
        let before = self.sections[ANSWER];
        let nobody = match kind {
            Type::A | Type::AAAA => self.addresses(ANSWER, owner, node, kind),
            Type::SOA if *node.name == *self.zone.origin => {
                self.soa(ANSWER);
                false
            }
            // RFC 8482, section 4.1: of all there is one set.
            Type::ANY => {
                let steered = node.steered.as_ref().and_then(|(_, a)| a.first());
                match (steered, node.sets.first()) {
                    (Some(IpAddr::V4(_)), _) => self.addresses(ANSWER, owner, node, Type::A),
                    (Some(IpAddr::V6(_)), _) => self.addresses(ANSWER, owner, node, Type::AAAA),
                    (None, Some(set)) => {
                        self.set(ANSWER, owner, set);
                        false
                    }
                    (None, None) => false,
                }
            }
            kind => {
                if let Some(set) = node.set(kind) {
                    self.set(ANSWER, owner, set);
                    self.besides(set);
                }
                false
            }
        };
        if nobody {
            return (Ending::Error(Rcode::SERVFAIL), Some(ExtendedError::NotReady));
        }
        if self.sections[ANSWER] == before && !self.truncated {
            self.soa(AUTHORITY);
            // RFC 2308, section 2.2: an alias to a name without data is without data too.
            return (Ending::NoData(node.id), None);
        }
        (Ending::Answer(node.id), None)
    }

    /// Addresses of a name, chosen where it is steered; true where it has some and nobody takes clients.
    fn addresses(&mut self, section: usize, owner: Owner<'_>, node: &Node, kind: Type) -> bool {
        let Some((pool, all)) = &node.steered else {
            if let Some(set) = node.set(kind) {
                self.set(section, owner, set);
            }
            return false;
        };
        let v6 = kind == Type::AAAA;
        if !all.iter().any(|a| a.is_ipv6() == v6) {
            return false;
        }
        let chosen = self.view.choose(*pool, self.client, v6);
        self.scope = self.scope.max(chosen.scope);
        self.last_resort |= chosen.kind == SelectionKind::LastResort;
        let (start, count) = (self.out.len(), self.sections[section]);
        for address in chosen.iter() {
            let fits = match address {
                IpAddr::V4(v4) => self.record(section, owner, kind, self.zone.ttl, &v4.octets(), &[]),
                IpAddr::V6(v6) => self.record(section, owner, kind, self.zone.ttl, &v6.octets(), &[]),
            };
            if !fits {
                self.cut(section, start, count);
                break;
            }
        }
        chosen.is_empty()
    }

    fn set(&mut self, section: usize, owner: Owner<'_>, set: &RrSet) {
        let (start, count) = (self.out.len(), self.sections[section]);
        for data in &set.data {
            if !self.record(section, owner, set.kind, set.ttl, &data.bytes, &data.names) {
                return self.cut(section, start, count);
            }
        }
    }

    /// Takes back a set that does not fit; of the additional section nothing is missed.
    fn cut(&mut self, section: usize, start: usize, count: u16) {
        self.out.truncate(start);
        self.sections[section] = count;
        self.truncated |= section != ADDITIONAL;
    }

    /// Addresses of the names that a set points to, as far as they fit.
    fn besides(&mut self, set: &RrSet) {
        for place in &set.additional {
            let node = self.zone.at(*place);
            let owner = Owner::Name(&node.name);
            self.addresses(ADDITIONAL, owner, node, Type::A);
            self.addresses(ADDITIONAL, owner, node, Type::AAAA);
        }
    }

    /// RFC 1034, section 4.3.2, step 3b; glue that does not fit is missed (RFC 9471, section 3.1).
    fn referral(&mut self, cut: &Node) {
        let Some(servers) = cut.set(Type::NS) else { return };
        self.set(AUTHORITY, Owner::Name(&cut.name), servers);
        for place in &servers.additional {
            let node = self.zone.at(*place);
            for kind in [Type::A, Type::AAAA] {
                let wanted = node.set(kind).map_or(0, |s| s.data.len() as u16);
                let before = self.sections[ADDITIONAL];
                self.addresses(ADDITIONAL, Owner::Name(&node.name), node, kind);
                let missed = self.sections[ADDITIONAL] < before + wanted;
                self.truncated |= missed && is_within(&node.name, &cut.name);
            }
        }
    }

    fn soa(&mut self, section: usize) {
        let zone = self.zone;
        let ttl = if section == AUTHORITY { zone.negative_ttl } else { zone.ttl };
        let (start, count) = (self.out.len(), self.sections[section]);
        let Rdata { bytes, names, .. } = &zone.soa;
        if !self.record(section, Owner::Name(&zone.origin), Type::SOA, ttl, bytes, names) {
            self.cut(section, start, count);
        }
    }

    /// Writes one record; false where it does not fit, with what was written of it still there.
    fn record(
        &mut self,
        section: usize,
        owner: Owner<'_>,
        kind: Type,
        ttl: u32,
        data: &[u8],
        names: &[(usize, usize)],
    ) -> bool {
        // Few and larger copies: this is the most of what an answer costs.
        let [k0, k1] = kind.0.to_be_bytes();
        let [t0, t1, t2, t3] = ttl.to_be_bytes();
        let [l0, l1] = (data.len() as u16).to_be_bytes();
        let [o0, o1] = QUESTION_POINTER.to_be_bytes();
        let head = [o0, o1, k0, k1, 0, CLASS_IN as u8, t0, t1, t2, t3, l0, l1];
        match owner {
            Owner::Question => self.out.extend_from_slice(&head),
            Owner::Name(name) => {
                self.name(name);
                self.out.extend_from_slice(&head[2..]);
            }
        }
        let (start, mut from) = (self.out.len(), 0);
        for (begin, end) in names {
            self.out.extend_from_slice(&data[from..*begin]);
            self.name(&data[*begin..*end]);
            from = *end;
        }
        self.out.extend_from_slice(&data[from..]);
        if !names.is_empty() {
            let length = (self.out.len() - start) as u16;
            self.out[start - 2..start].copy_from_slice(&length.to_be_bytes());
        }
        self.sections[section] += 1;
        self.out.len() <= self.limit
    }

    /// A name; the part that is the zone's own points to where the question has it.
    fn name(&mut self, name: &[u8]) {
        let origin = &self.zone.origin;
        if is_within(name, origin) {
            self.out.extend_from_slice(&name[..name.len() - origin.len()]);
            self.out.extend((0xC000 | self.origin_at as u16).to_be_bytes());
        } else {
            self.out.extend_from_slice(name);
        }
    }
}
