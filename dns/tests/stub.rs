//! The stub resolver's machine, table by table, without a socket: what it asks, whom, and which answers it believes.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use elmtide_dns::stub::*;
use elmtide_dns::wire::{parse_name, Rcode, Type};
use hickory_proto::op::{Edns, Message, ResponseCode};
use hickory_proto::rr::rdata::opt::EdnsOption;
use hickory_proto::rr::rdata::{A, AAAA, CNAME, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};

fn server(n: u8) -> SocketAddr {
    ([127, 0, 1, n], 53).into()
}

fn wire(name: &str) -> Box<[u8]> {
    parse_name(name, &[0]).unwrap()
}

fn name(text: &str) -> Name {
    Name::from_ascii(text).unwrap()
}

/// What a server answers to a query: records as name, ttl, data.
fn reply(query: &[u8], records: &[(&str, u32, RData)]) -> Message {
    let asked = Message::from_vec(query).unwrap();
    let mut reply = Message::response(asked.metadata.id, asked.metadata.op_code);
    reply.add_queries(asked.queries);
    reply.add_answers(records.iter().map(|(n, ttl, data)| Record::from_rdata(name(n), *ttl, data.clone())));
    reply
}

/// The answer with the letters of the question as they were sent.
fn bytes(query: &[u8], message: &Message) -> Vec<u8> {
    let mut bytes = message.to_vec().unwrap();
    let end = query[12..].iter().position(|b| *b == 0).unwrap() + 13;
    bytes[12..end].copy_from_slice(&query[12..end]);
    bytes
}

fn a(last: u8) -> RData {
    RData::A(A(Ipv4Addr::new(10, 0, 0, last)))
}

type Sent = (AskId, SocketAddr, Vec<u8>);

/// What is to be done now, by kind.
#[derive(Debug, Default)]
struct Out {
    udp: Vec<Sent>,
    tcp: Vec<Sent>,
    done: Vec<Result<(ServerId, Answer), Failure>>,
}

fn out(resolver: &mut Resolver) -> Out {
    let mut out = Out::default();
    while let Some(output) = resolver.poll() {
        match output {
            Output::Udp { ask, to, bytes } => out.udp.push((ask, to, bytes)),
            Output::Tcp { ask, to, bytes, .. } => out.tcp.push((ask, to, bytes)),
            Output::Forget(_) => {}
            Output::Done { result, .. } => out.done.push(result),
        }
    }
    out
}

fn begin(servers: &[SocketAddr]) -> (Resolver, Vec<Sent>) {
    let mut resolver = Resolver::new(servers, Limits::default(), 7);
    resolver.lookup(&wire("boxes.test."), Type::A, 0.0);
    let sent = out(&mut resolver).udp;
    (resolver, sent)
}

fn addresses(done: &[Result<(ServerId, Answer), Failure>]) -> Vec<IpAddr> {
    let (_, answer) = done[0].as_ref().unwrap();
    answer.data.iter().filter_map(|d| if let Data::Address(ip) = d { Some(*ip) } else { None }).collect()
}

#[test]
fn an_answer_is_believed() {
    let (mut resolver, sent) = begin(&[server(1)]);
    assert_eq!(sent.len(), 1);
    let (ask, to, query) = &sent[0];
    assert_eq!(*to, server(1));
    resolver.datagram(
        *ask,
        &bytes(query, &reply(query, &[("boxes.test.", 30, a(1)), ("boxes.test.", 20, a(2))])),
        5.0,
    );
    let out = out(&mut resolver);
    assert_eq!(addresses(&out.done).len(), 2);
    assert_eq!(out.done[0].as_ref().unwrap().1.ttl, 20, "the least of the TTLs");
    assert_eq!(resolver.due(), None, "nothing is under way");
}

/// Ids, letters and cookies are not the same twice; the question's letters vary.
#[test]
fn questions_are_hard_to_guess() {
    let mut resolver = Resolver::new(&[server(1)], Limits::default(), 7);
    let mut ids = BTreeMap::new();
    for _ in 0..100 {
        resolver.lookup(&wire("a-long-name-of-boxes.test."), Type::A, 0.0);
        for (_, _, query) in out(&mut resolver).udp {
            ids.insert(query[..2].to_vec(), query[12..30].to_vec());
        }
    }
    assert!(ids.len() > 95);
    assert!(ids.values().collect::<std::collections::BTreeSet<_>>().len() > 95, "0x20");
}

/// What is no answer to the question is passed over, and too much of it sends the question over TCP.
#[test]
fn forgeries_are_passed_over() {
    let (mut resolver, sent) = begin(&[server(1)]);
    let (ask, _, query) = &sent[0];
    let good = bytes(query, &reply(query, &[("boxes.test.", 30, a(1))]));
    let mut other_id = good.clone();
    other_id[0] ^= 1;
    let mut not_a_response = good.clone();
    not_a_response[2] &= 0x7F;
    let mut other_name = good.clone();
    other_name[13] ^= 1;
    let mut other_type = good.clone();
    let end = query[12..].iter().position(|b| *b == 0).unwrap() + 13;
    other_type[end + 1] = 28;
    for forged in [
        &other_id,
        &not_a_response,
        &other_name,
        &other_type,
        &good[..11].to_vec(),
        &good[..good.len() - 3].to_vec(),
    ] {
        resolver.datagram(*ask, forged, 1.0);
        assert!(out(&mut resolver).done.is_empty());
    }
    for _ in 0..20 {
        resolver.datagram(*ask, &other_id, 2.0);
    }
    let out_now = out(&mut resolver);
    assert_eq!(out_now.tcp.len(), 1, "asked over TCP");
    let (ask, _, query) = &out_now.tcp[0];
    resolver.stream(*ask, Some(&bytes(query, &reply(query, &[("boxes.test.", 30, a(1))]))), 3.0);
    assert_eq!(addresses(&out(&mut resolver).done).len(), 1);
    assert!(resolver.forged >= 16);
}

/// A server that folds letters is asked over TCP once, and believed over UDP from then on.
#[test]
fn a_server_that_folds_letters() {
    let (mut resolver, sent) = begin(&[server(1)]);
    let (ask, _, query) = &sent[0];
    let fold = |query: &[u8]| {
        let mut bytes = reply(query, &[("boxes.test.", 30, a(1))]).to_vec().unwrap();
        bytes[12..24].make_ascii_lowercase();
        bytes
    };
    resolver.datagram(*ask, &fold(query), 1.0);
    let tcp = out(&mut resolver).tcp;
    resolver.stream(tcp[0].0, Some(&fold(&tcp[0].2)), 2.0);
    assert_eq!(addresses(&out(&mut resolver).done).len(), 1);
    resolver.lookup(&wire("boxes.test."), Type::A, 3.0);
    let sent = out(&mut resolver).udp;
    resolver.datagram(sent[0].0, &fold(&sent[0].2), 4.0);
    assert_eq!(addresses(&out(&mut resolver).done).len(), 1);
}

/// Silent: a second server is asked early, and the first is left alone for a while, longer each time.
#[test]
fn a_second_is_asked_early_and_a_silent_one_is_spared() {
    let (mut resolver, sent) = begin(&[server(1), server(2)]);
    // The time of an answer of each is learned.
    let (ask, to, query) = &sent[0];
    assert_eq!(*to, server(1));
    resolver.datagram(*ask, &bytes(query, &reply(query, &[("boxes.test.", 1, a(1))])), 2.0);
    out(&mut resolver);
    resolver.lookup(&wire("boxes.test."), Type::A, 1000.0);
    assert_eq!(out(&mut resolver).udp[0].1, server(1));
    assert!(resolver.due().unwrap() <= 1060.0, "long before the question is given up");
    resolver.tick(resolver.due().unwrap());
    let second = out(&mut resolver).udp;
    assert_eq!(second[0].1, server(2));
    resolver.datagram(
        second[0].0,
        &bytes(&second[0].2, &reply(&second[0].2, &[("boxes.test.", 1, a(2))])),
        1062.0,
    );
    assert_eq!(addresses(&out(&mut resolver).done), [IpAddr::from([10, 0, 0, 2])]);
    // Silent to the end: it rests, and the other is asked first.
    resolver.lookup(&wire("boxes.test."), Type::A, 2000.0);
    let first = out(&mut resolver).udp[0].1;
    resolver.tick(2301.0);
    resolver.tick(2950.0);
    out(&mut resolver);
    resolver.lookup(&wire("boxes.test."), Type::A, 2960.0);
    let next = out(&mut resolver).udp[0].1;
    assert!(first == server(1) || next == server(2) || first != next);
}

/// All are silent: the lookup ends by its own time, with a cause.
#[test]
fn all_silent() {
    let (mut resolver, _) = begin(&[server(1), server(2)]);
    let mut now = 0.0;
    let mut asked = 1;
    let ended = loop {
        now = resolver.due().expect("something is due").max(now);
        resolver.tick(now);
        let out = out(&mut resolver);
        asked += out.udp.len();
        if let Some(done) = out.done.first() {
            break done.clone();
        }
        assert!(now < 2000.0);
    };
    assert_eq!(ended, Err(Failure::Silent));
    assert!(now <= 900.0 && asked <= 6, "{asked} questions, {now} ms");
}

/// Servers that take the same time for each answer, of the others that are silent: how many of ten lookups have an answer.
fn lookups_answered(slow: &[u8], silent: &[u8], takes: f64) -> usize {
    let servers: Vec<SocketAddr> = slow.iter().chain(silent).map(|n| server(*n)).collect();
    let mut resolver = Resolver::new(&servers, Limits::default(), 7);
    let mut now = 0.0;
    let mut answered = 0;
    for _ in 0..10 {
        now += 1000.0;
        resolver.lookup(&wire("boxes.test."), Type::A, now);
        let mut replies: Vec<(f64, AskId, Vec<u8>)> = Vec::new();
        loop {
            let out = out(&mut resolver);
            for (ask, to, query) in out.udp {
                if slow.iter().any(|n| server(*n) == to) {
                    let reply = bytes(&query, &reply(&query, &[("boxes.test.", 30, a(1))]));
                    replies.push((now + takes, ask, reply));
                }
            }
            if let Some(done) = out.done.first() {
                answered += usize::from(done.is_ok());
                break;
            }
            let reply = replies.iter().map(|r| r.0).fold(f64::INFINITY, f64::min);
            let due = resolver.due().expect("something is due");
            now = now.max(reply.min(due));
            replies.retain(|(at, ask, bytes)| {
                let has_come = *at <= now;
                if has_come {
                    resolver.datagram(*ask, bytes, now);
                }
                !has_come
            });
            resolver.tick(now);
        }
    }
    answered
}

/// A server that takes longer than 0.3 s for each answer was given up each time, and asked again with the same limit.
#[test]
fn a_slow_server_is_heard() {
    assert_eq!(lookups_answered(&[1], &[], 200.0), 10);
    for takes in [350.0, 800.0, 2000.0, 2300.0] {
        assert!(lookups_answered(&[1], &[], takes) >= 7, "{takes} ms");
        assert!(lookups_answered(&[1, 2], &[], takes) >= 7, "{takes} ms, two servers");
        assert!(lookups_answered(&[1], &[2], takes) >= 5, "{takes} ms beside a silent server");
    }
}

/// A failing server sends the question to the next at once; where all fail the last code is told.
#[test]
fn failures_go_to_the_next() {
    let (mut resolver, sent) = begin(&[server(1), server(2)]);
    let fail = |query: &[u8], code| {
        let mut message = reply(query, &[]);
        message.metadata.response_code = code;
        bytes(query, &message)
    };
    resolver.datagram(sent[0].0, &fail(&sent[0].2, ResponseCode::ServFail), 1.0);
    let next = out(&mut resolver).udp;
    assert_eq!(next[0].1, server(2));
    resolver.datagram(next[0].0, &fail(&next[0].2, ResponseCode::Refused), 2.0);
    let mut last = out(&mut resolver);
    while last.done.is_empty() {
        let (ask, _, query) = last.udp.pop().unwrap();
        resolver.datagram(ask, &fail(&query, ResponseCode::Refused), 3.0);
        last = out(&mut resolver);
    }
    assert_eq!(last.done[0], Err(Failure::Code(Rcode::REFUSED)));
}

/// Cut answers come over TCP; one that breaks off there goes to the next server.
#[test]
fn truncated_and_broken_off() {
    let (mut resolver, sent) = begin(&[server(1), server(2)]);
    let cut = reply(&sent[0].2, &[]).truncate();
    resolver.datagram(sent[0].0, &bytes(&sent[0].2, &cut), 1.0);
    let tcp = out(&mut resolver).tcp;
    assert_eq!(tcp[0].1, server(1));
    resolver.stream(tcp[0].0, None, 2.0);
    assert_eq!(out(&mut resolver).udp[0].1, server(2));
}

/// A server that knows no EDNS is asked without.
#[test]
fn without_edns() {
    let (mut resolver, sent) = begin(&[server(1)]);
    let mut message = reply(&sent[0].2, &[]);
    message.metadata.response_code = ResponseCode::FormErr;
    resolver.datagram(sent[0].0, &bytes(&sent[0].2, &message), 1.0);
    let plain = out(&mut resolver).udp;
    assert_eq!(plain[0].2[11], 0, "no additional record");
    resolver.datagram(plain[0].0, &bytes(&plain[0].2, &reply(&plain[0].2, &[("boxes.test.", 1, a(1))])), 2.0);
    assert_eq!(addresses(&out(&mut resolver).done).len(), 1);
}

/// A server that has sent a cookie goes on sending it: without one, or with another's, nothing is believed.
#[test]
fn cookies_are_kept_to() {
    let with_cookie = |query: &[u8], server: &[u8]| {
        let client = &query[query.len() - if query.len() > 60 { 24 } else { 8 }..];
        let mut message = reply(query, &[("boxes.test.", 1, a(1))]);
        let mut edns = Edns::new();
        edns.options_mut().insert(EdnsOption::Unknown(10, [&client[..8], server].concat()));
        message.set_edns(edns);
        bytes(query, &message)
    };
    let (mut resolver, sent) = begin(&[server(1)]);
    resolver.datagram(sent[0].0, &with_cookie(&sent[0].2, &[9; 16]), 1.0);
    assert_eq!(out(&mut resolver).done.len(), 1);
    resolver.lookup(&wire("boxes.test."), Type::A, 2.0);
    let sent = out(&mut resolver).udp;
    assert!(sent[0].2.ends_with(&[9; 16]), "its cookie goes back to it");
    resolver.datagram(sent[0].0, &bytes(&sent[0].2, &reply(&sent[0].2, &[("boxes.test.", 1, a(6))])), 3.0);
    assert!(out(&mut resolver).done.is_empty(), "an answer without the cookie");
    resolver.datagram(sent[0].0, &with_cookie(&sent[0].2, &[9; 16]), 4.0);
    assert_eq!(out(&mut resolver).done.len(), 1);
}

/// Aliases are followed through answers and over several questions; loops and endless chains end.
#[test]
fn aliases() {
    let alias = |to: &str| RData::CNAME(CNAME(name(to)));
    let (mut resolver, sent) = begin(&[server(1)]);
    let chain =
        [("boxes.test.", 9, alias("x.test.")), ("x.test.", 5, alias("y.other.")), ("y.other.", 7, a(3))];
    resolver.datagram(sent[0].0, &bytes(&sent[0].2, &reply(&sent[0].2, &chain)), 1.0);
    let done = out(&mut resolver).done;
    assert_eq!((addresses(&done).len(), done[0].as_ref().unwrap().1.ttl), (1, 5));
    // Over several questions, and back to where it began.
    for (to, ends) in [("z.test.", false), ("boxes.test.", true)] {
        let (mut resolver, sent) = begin(&[server(1)]);
        let answer = reply(&sent[0].2, &[("boxes.test.", 9, alias(to))]);
        resolver.datagram(sent[0].0, &bytes(&sent[0].2, &answer), 1.0);
        let mut next = out(&mut resolver);
        if !ends {
            let (ask, _, query) = next.udp.pop().unwrap();
            resolver.datagram(
                ask,
                &bytes(&query, &reply(&query, &[("z.test.", 9, alias("boxes.test."))])),
                2.0,
            );
            next = out(&mut resolver);
        }
        assert!(matches!(next.done[0], Err(Failure::Aliases | Failure::Code(_))), "{next:?}");
    }
    let (mut resolver, sent) = begin(&[server(1)]);
    let (mut ask, mut query) = (sent[0].0, sent[0].2.clone());
    let mut from = "boxes.test.".to_owned();
    let ended = (0..40).find_map(|n| {
        let to = format!("n{n}.test.");
        resolver.datagram(ask, &bytes(&query, &reply(&query, &[(&from, 9, alias(&to))])), f64::from(n));
        let mut next = out(&mut resolver);
        let done = next.done.pop();
        if let Some((a, _, q)) = next.udp.pop() {
            (ask, query, from) = (a, q, to);
        }
        done
    });
    assert_eq!(ended, Some(Err(Failure::Aliases)));
}

/// What stands beside the way from the name is nobody's word on it.
#[test]
fn bailiwick() {
    let (mut resolver, sent) = begin(&[server(1)]);
    let records = [("other.test.", 9, a(6)), ("boxes.test.", 9, a(1)), ("sub.boxes.test.", 9, a(7))];
    let mut message = reply(&sent[0].2, &records);
    message.add_additional(Record::from_rdata(name("boxes.test."), 9, a(8)));
    resolver.datagram(sent[0].0, &bytes(&sent[0].2, &message), 1.0);
    assert_eq!(addresses(&out(&mut resolver).done), [IpAddr::from([10, 0, 0, 1])]);
}

/// TTLs: 0, over 2^31, and those of what is not there, by an SOA that may speak for the name.
#[test]
fn ttls() {
    let soa = |owner: &str, ttl, minimum| {
        let data = SOA::new(name("m."), name("r."), 1, 1, 1, 1, minimum);
        Record::from_rdata(name(owner), ttl, RData::SOA(data))
    };
    let ttl_of = |records: &[(&str, u32, RData)], authority: Option<Record>, code| {
        let (mut resolver, sent) = begin(&[server(1)]);
        let mut message = reply(&sent[0].2, records);
        message.metadata.response_code = code;
        message.add_authorities(authority);
        resolver.datagram(sent[0].0, &bytes(&sent[0].2, &message), 1.0);
        out(&mut resolver).done[0].clone().unwrap().1.ttl
    };
    let (ok, no) = (ResponseCode::NoError, ResponseCode::NXDomain);
    assert_eq!(ttl_of(&[("boxes.test.", 0, a(1))], None, ok), 0);
    assert_eq!(ttl_of(&[("boxes.test.", u32::MAX, a(1))], None, ok), 0);
    assert_eq!(ttl_of(&[], Some(soa("test.", 50, 20)), no), 20);
    assert_eq!(ttl_of(&[], Some(soa("test.", 10, 20)), ok), 10);
    assert_eq!(ttl_of(&[], Some(soa("other.", 10, 20)), no), 0, "another zone's");
    assert_eq!(ttl_of(&[], None, no), 0);
}

/// One name followed by SRV: priorities, weights and ports, a target that goes, and the lowest priority failing.
#[test]
fn services() {
    let mut resolver = Resolver::new(&[server(1)], Limits::default(), 7);
    let mut follow = Follow::new(Source { name: wire("_b._tcp.test."), kind: Kind::Srv, port: 1 });
    let srv = |p, w, port, to: &str| RData::SRV(SRV::new(p, w, port, name(to)));
    let mut table: BTreeMap<(&str, RecordType), Vec<RData>> = BTreeMap::new();
    let service = ("_b._tcp.test.", RecordType::SRV);
    table.insert(
        service,
        vec![srv(1, 10, 80, "x.test."), srv(1, 30, 81, "y.test."), srv(2, 1, 82, "z.test.")],
    );
    table.insert(("x.test.", RecordType::A), vec![a(1)]);
    table.insert(("y.test.", RecordType::A), vec![a(2)]);
    table.insert(("y.test.", RecordType::AAAA), vec![RData::AAAA(AAAA("2001:db8::2".parse().unwrap()))]);
    table.insert(("z.test.", RecordType::A), vec![a(3)]);
    let mut now = 0.0;
    let mut round = |table: &BTreeMap<(&str, RecordType), Vec<RData>>| {
        now += 2000.0;
        follow.tick(&mut resolver, now);
        while let Some(output) = resolver.poll() {
            match output {
                Output::Udp { ask, bytes: query, .. } => {
                    let asked = Message::from_vec(&query).unwrap();
                    let question = &asked.queries[0];
                    let of = question.name().to_lowercase().to_ascii();
                    let data = table.iter().find(|((n, k), _)| *n == of && *k == question.query_type());
                    let records: Vec<_> = data
                        .map_or(&[][..], |(_, d)| d)
                        .iter()
                        .map(|d| (of.as_str(), 1, d.clone()))
                        .collect();
                    resolver.datagram(ask, &bytes(&query, &reply(&query, &records)), now);
                }
                Output::Done { lookup, result } => {
                    follow.done(&mut resolver, lookup, &result, now);
                }
                _ => {}
            }
        }
        let all = follow.endpoints().into_iter();
        all.map(|e| (e.at.to_string(), (e.share * 100.0).round() as u32)).collect::<BTreeMap<_, _>>()
    };
    let both = round(&table);
    let wanted = [("10.0.0.1:80", 75), ("10.0.0.2:81", 113), ("[2001:db8::2]:81", 113)];
    assert_eq!(both, wanted.map(|(at, share)| (at.to_owned(), share)).into());
    // A target is taken out: its addresses go with the very answer.
    table.insert(service, vec![srv(1, 10, 80, "x.test."), srv(2, 1, 82, "z.test.")]);
    assert_eq!(round(&table).keys().collect::<Vec<_>>(), ["10.0.0.1:80"]);
    // The lowest priority has no address any more: the next one serves.
    table.remove(&("x.test.", RecordType::A));
    assert_eq!(round(&table).keys().collect::<Vec<_>>(), ["10.0.0.3:82"]);
}
