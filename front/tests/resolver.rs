//! Hard cases of request routing by names, with a stand-in resolver on loopback: a client that clings to an old
//! answer, and a resolver that fails or lies when a cache box is drained.

mod common;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Program, PATIENCE};
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::{A, CNAME};
use hickory_proto::rr::{Name, RData, Record};

/// What the stand-in says to a question.
#[derive(Clone, Copy, PartialEq)]
enum Says {
    Truth,
    ServFail,
    Nothing,
    /// Wrong id first, then another question's answer, then the truth.
    LiesFirst,
    /// Does not fit: the truth comes over TCP.
    Truncated,
    /// An alias to the name that has the addresses.
    Alias,
    AliasOfItself,
}

struct Resolver {
    says: Mutex<(Says, Vec<Ipv4Addr>)>,
    asked: Mutex<usize>,
    addr: SocketAddr,
}

fn message(query: &Message, name: &Name, addresses: &[Ipv4Addr]) -> Message {
    let mut reply = Message::response(query.metadata.id, query.metadata.op_code);
    reply.add_queries(query.queries.clone());
    // A long TTL: the program may not rest on it for more than a second.
    reply.add_answers(addresses.iter().map(|a| Record::from_rdata(name.clone(), 300, RData::A(A(*a)))));
    reply
}

impl Resolver {
    fn start(addresses: Vec<Ipv4Addr>) -> Arc<Resolver> {
        let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = tcp.local_addr().unwrap();
        let udp = UdpSocket::bind(addr).unwrap();
        let says = Mutex::new((Says::Truth, addresses));
        let resolver = Arc::new(Resolver { says, asked: Mutex::new(0), addr });
        let (over_udp, over_tcp) = (resolver.clone(), resolver.clone());
        std::thread::spawn(move || {
            let mut bytes = [0; 2048];
            while let Ok((got, from)) = udp.recv_from(&mut bytes) {
                let query = Message::from_vec(&bytes[..got]).unwrap();
                for reply in over_udp.replies(&query, false) {
                    udp.send_to(&reply.to_vec().unwrap(), from).unwrap();
                }
            }
        });
        std::thread::spawn(move || {
            for mut stream in tcp.incoming().flatten() {
                let mut length = [0; 2];
                stream.read_exact(&mut length).unwrap();
                let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
                stream.read_exact(&mut bytes).unwrap();
                let query = Message::from_vec(&bytes).unwrap();
                let reply = over_tcp.replies(&query, true)[0].to_vec().unwrap();
                stream.write_all(&[&(reply.len() as u16).to_be_bytes()[..], &reply].concat()).unwrap();
            }
        });
        resolver
    }

    fn replies(&self, query: &Message, tcp: bool) -> Vec<Message> {
        let (says, addresses) = self.says.lock().unwrap().clone();
        *self.asked.lock().unwrap() += 1;
        let name = query.queries[0].name();
        let truth = message(query, name, &addresses);
        let target = Name::from_ascii("real.boxes.test.").unwrap();
        let alias = |to: &Name| {
            let mut reply = message(query, name, &[]);
            reply.add_answer(Record::from_rdata(name.clone(), 300, RData::CNAME(CNAME(to.clone()))));
            reply
        };
        match says {
            Says::Nothing => vec![],
            Says::ServFail => {
                let mut reply = message(query, name, &[]);
                reply.metadata.response_code = ResponseCode::ServFail;
                vec![reply]
            }
            Says::LiesFirst => {
                let every = [Ipv4Addr::new(127, 0, 0, 1), Ipv4Addr::new(127, 0, 0, 2)];
                let mut other_id = message(query, name, &every);
                other_id.metadata.id ^= 1;
                let mut other_question = message(query, &target, &every);
                other_question.queries[0].set_name(target);
                vec![other_id, other_question, truth]
            }
            Says::Truncated if !tcp => vec![truth.truncate()],
            Says::Alias if *name != target => vec![alias(&target)],
            Says::AliasOfItself => vec![alias(name)],
            _ => vec![truth],
        }
    }

    fn set(&self, says: Says, addresses: &[Ipv4Addr]) {
        *self.says.lock().unwrap() = (says, addresses.to_vec());
    }

    /// Until so many more questions have come.
    fn await_questions(&self, more: usize) {
        let (from, until) = (*self.asked.lock().unwrap(), Instant::now() + PATIENCE);
        while *self.asked.lock().unwrap() < from + more {
            assert!(Instant::now() < until, "the resolver is not asked");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

type Wants = Arc<Mutex<BTreeMap<Ipv4Addr, Vec<Instant>>>>;

/// Cache boxes on one port of two addresses; each want is noted and answered.
fn boxes(wants: &Wants) -> u16 {
    let (one, two) = (Ipv4Addr::new(127, 0, 0, 1), Ipv4Addr::new(127, 0, 0, 2));
    let (first, second) = loop {
        let first = TcpListener::bind((one, 0)).unwrap();
        if let Ok(second) = TcpListener::bind((two, first.local_addr().unwrap().port())) {
            break (first, second);
        }
    };
    let port = first.local_addr().unwrap().port();
    for (ip, listener) in [(one, first), (two, second)] {
        let wants = wants.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let wants = wants.clone();
                std::thread::spawn(move || {
                    let mut lines = BufReader::new(&stream);
                    let mut line = String::new();
                    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
                        if let Some(id) = line.strip_prefix("want ").and_then(|l| l.split(' ').next()) {
                            wants.lock().unwrap().entry(ip).or_default().push(Instant::now());
                            (&stream).write_all(format!("{id} HIT - 2\r\nok\r\n").as_bytes()).unwrap();
                        }
                        line.clear();
                    }
                });
            }
        });
    }
    port
}

/// A client that resolved our name long ago and clings to that answer: one address, one connection.
struct Clinging(BufReader<TcpStream>, u32);

impl Clinging {
    fn ask(&mut self) -> u16 {
        self.1 += 1;
        let ask = format!(
            "GET /api/v2/small-files HTTP/1.1\r\nHost: b\r\nX-Item: {:016x}\r\n\r\n",
            u64::from(self.1) * 7_919
        );
        self.0.get_mut().write_all(ask.as_bytes()).unwrap();
        let (mut head, mut length, mut status) = (String::new(), 0, 0);
        while head != "\r\n" {
            head.clear();
            assert!(self.0.read_line(&mut head).unwrap() > 0, "closed");
            if let Some(code) = head.strip_prefix("HTTP/1.1 ") {
                status = code[..3].parse().unwrap();
            }
            if let Some(n) = head.strip_prefix("Content-Length: ") {
                length = n.trim().parse().unwrap();
            }
        }
        self.0.read_exact(&mut vec![0; length]).unwrap();
        status
    }
}

/// From 2 s after it vanished from the name no work reaches a box, whatever the resolver says or does not say
/// from then on; before, both had work.
#[rstest::rstest]
#[case(Says::Truth)]
#[case(Says::LiesFirst)]
#[case(Says::Truncated)]
#[case(Says::Alias)]
#[case(Says::ServFail)]
#[case(Says::Nothing)]
#[case(Says::AliasOfItself)]
fn no_work_reaches_a_drained_box(#[case] then: Says) {
    let wants = Wants::default();
    let port = boxes(&wants);
    let (stays, drains) = (Ipv4Addr::new(127, 0, 0, 1), Ipv4Addr::new(127, 0, 0, 2));
    let resolver = Resolver::start(vec![stays, drains]);
    let edge = format!(
        "zone = \"edge.test.\"\nresolver = \"{}\"\n[[front]]\nname = \"n1\"\nhttp = [\"127.0.0.1:0\"]\n\
         [[upstream]]\nname = \"boxes.test.\"\nport = {port}\nzone = \"edge-1\"\nkind = \"small\"\nweight = 4.0\n",
        resolver.addr
    );
    let program = Program::start(&[], Some(&edge));
    let stream = TcpStream::connect(program.edge("http", 0)).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut client = Clinging(BufReader::new(stream), 0);
    let count = |ip| wants.lock().unwrap().get(&ip).map_or(0, Vec::len);
    let until = Instant::now() + PATIENCE;
    while count(stays) == 0 || count(drains) == 0 {
        client.ask();
        assert!(Instant::now() < until, "both boxes get work");
    }
    // One answer without the box, in the way that this case has it; then, for those that fail, only failures.
    let fails = matches!(then, Says::ServFail | Says::Nothing | Says::AliasOfItself);
    resolver.set(if fails { Says::Truth } else { then }, &[stays]);
    let vanished = Instant::now();
    if fails {
        program.log.wait("is draining", 0);
        resolver.set(then, &[stays, drains]);
        resolver.await_questions(2);
    }
    let mut served = 0;
    let end = Instant::now().max(vanished + Duration::from_secs(2)) + Duration::from_millis(300);
    while Instant::now() < end {
        served += usize::from(client.ask() == 200);
    }
    let late = vanished + Duration::from_secs(2);
    let wants = wants.lock().unwrap();
    assert!(served > 0 && wants[&stays].iter().any(|at| *at > late), "the other box goes on");
    assert_eq!(wants[&drains].iter().filter(|at| **at > late).count(), 0, "work for a drained box");
}

/// A box that is named again is back: draining is no verdict for good, but it takes an answer.
#[test]
fn a_box_named_again_is_back() {
    let wants = Wants::default();
    let port = boxes(&wants);
    let ours = Ipv4Addr::new(127, 0, 0, 1);
    let resolver = Resolver::start(vec![ours]);
    let edge = format!(
        "zone = \"edge.test.\"\nresolver = \"{}\"\n[[front]]\nname = \"n1\"\nhttp = [\"127.0.0.1:0\"]\n\
         [[upstream]]\nname = \"boxes.test.\"\nport = {port}\nzone = \"edge-1\"\nkind = \"small\"\nweight = 4.0\n",
        resolver.addr
    );
    let program = Program::start(&[], Some(&edge));
    let mut client = Clinging(BufReader::new(TcpStream::connect(program.edge("http", 0)).unwrap()), 0);
    let mut ask_until = |status: u16| {
        let until = Instant::now() + PATIENCE;
        while client.ask() != status {
            assert!(Instant::now() < until, "never {status}");
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    ask_until(200);
    resolver.set(Says::Truth, &[]);
    ask_until(503);
    resolver.set(Says::Truth, &[ours]);
    ask_until(200);
}
