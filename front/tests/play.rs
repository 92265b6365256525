//! Plays recorded byte exchanges (tests/exchanges) against the program and compares what comes back.
//!
//! A line is a step: `caches NAME...`, `sockets N`, `edge` (a file, up to `end`, with `@NAME` for a stand-in's address); `connect C [http N | dns]`, `udp C`;
//! `accept C NAME` at a stand-in; `C > bytes` sends, `C < bytes` expects, `C close`, `C closed` (or reset), `C ended` (and no reset);
//! `C ask N CLASS NAME=VALUE...` sends a whole FastCGI request (fields by their usual names and values unless they
//! are named; `+NAME=VALUE` beside the usual one, `body=N` bytes), `C got N TEXT` reads its whole answer and compares the beginning;
//! `move FROM TO` (the bus, in the configuration file), `spoil TEXT BY` (in that file), `signal NAME`, `exit CODE`, `log TEXT`, `run CODE ARGS` and, under it, `| TEXT` that its output holds.
//! In bytes `{d}` is a number, `{purged}` the milliseconds since a purge was told, at most what has passed since the stand-in sent it, `{N}` any N bytes, `{c*N}` N times the character, `\r \n \xHH` as in Rust.

mod common;

use std::cell::Cell;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Cursor, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::time::Instant;

use common::{Program, PATIENCE};
use rstest::rstest;

thread_local! {
    /// When a stand-in of this play told of a purge last.
    static PURGED_AT: Cell<Option<Instant>> = const { Cell::new(None) };
}

enum Piece {
    Byte(u8),
    Number,
    /// An age that is 1 at least, and no older than the last purge.
    SincePurge,
    Any,
}

fn pieces(text: &str) -> Vec<Piece> {
    let (mut out, mut rest) = (Vec::new(), text);
    while let Some(c) = rest.chars().next() {
        if let Some(inner) = rest.strip_prefix('{') {
            let (word, tail) = inner.split_once('}').expect("a brace is closed");
            match word.split_once('*') {
                Some((c, n)) => (0..n.parse().unwrap()).for_each(|_| out.push(Piece::Byte(c.as_bytes()[0]))),
                None if word == "d" => out.push(Piece::Number),
                None if word == "purged" => out.push(Piece::SincePurge),
                None => (0..word.parse::<usize>().unwrap()).for_each(|_| out.push(Piece::Any)),
            }
            rest = tail;
        } else if let Some(escape) = rest.strip_prefix('\\') {
            let (byte, used) = match &escape[..1] {
                "r" => (b'\r', 1),
                "n" => (b'\n', 1),
                "x" => (u8::from_str_radix(&escape[1..3], 16).expect("two hex digits"), 3),
                other => panic!("no such escape: {other}"),
            };
            out.push(Piece::Byte(byte));
            rest = &escape[used..];
        } else {
            out.push(Piece::Byte(c as u8));
            rest = &rest[1..];
        }
    }
    out
}

fn bytes(text: &str) -> Vec<u8> {
    let byte = |piece| match piece {
        Piece::Byte(b) => b,
        _ => panic!("what is sent is exact"),
    };
    pieces(text).into_iter().map(byte).collect()
}

/// What an event of the bus that purges something has in it.
const PURGE_KEY: &[u8] = b"\"ban\"";

enum Peer {
    Tcp(TcpStream, Box<dyn BufRead>),
    Udp(UdpSocket),
}

impl Peer {
    fn tcp(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Peer::Tcp(stream, Box::new(reader))
    }

    fn send(&mut self, data: &[u8]) {
        if data.windows(PURGE_KEY.len()).any(|part| part == PURGE_KEY) {
            PURGED_AT.set(Some(Instant::now()));
        }
        match self {
            Peer::Tcp(stream, _) => stream.write_all(data).unwrap(),
            Peer::Udp(socket) => assert_eq!(socket.send(data).unwrap(), data.len()),
        }
    }

    fn expect(&mut self, text: &str) {
        match self {
            Peer::Tcp(_, reader) => compare(reader, text),
            Peer::Udp(socket) => {
                let mut datagram = vec![0; 65_536];
                let got = socket.recv(&mut datagram).expect("a datagram");
                datagram.truncate(got);
                let mut reader = Cursor::new(datagram);
                compare(&mut reader, text);
                assert_eq!(reader.position(), got as u64, "the datagram is longer");
            }
        }
    }
}

fn read_number(reader: &mut dyn BufRead, seen: &mut Vec<u8>) -> u64 {
    let start = seen.len();
    while let Some(b) = reader.fill_buf().unwrap().first().copied().filter(u8::is_ascii_digit) {
        seen.push(b);
        reader.consume(1);
    }
    assert!(seen.len() > start, "no number after {:?}", String::from_utf8_lossy(seen));
    std::str::from_utf8(&seen[start..]).unwrap().parse().unwrap()
}

/// Reads as far as the text goes; what differs is shown with what came before it.
fn compare(reader: &mut dyn BufRead, text: &str) {
    let mut seen = Vec::new();
    for piece in pieces(text) {
        match piece {
            Piece::Number => {
                read_number(reader, &mut seen);
            }
            Piece::SincePurge => {
                let age = read_number(reader, &mut seen);
                let purged_at = PURGED_AT.get().expect("a purge was told");
                let most = purged_at.elapsed().as_millis() as u64 + 1;
                assert!((1..=most).contains(&age), "{age} ms, {most} at most since the purge was sent");
            }
            Piece::Any | Piece::Byte(_) => {
                let mut one = [0];
                let read = reader.read_exact(&mut one);
                assert!(read.is_ok(), "{read:?} after {:?}", seen.escape_ascii().to_string());
                seen.push(one[0]);
                if let Piece::Byte(wanted) = piece {
                    let shown = seen[seen.len().saturating_sub(300)..].escape_ascii().to_string();
                    assert!(
                        one[0] == wanted,
                        "came {shown:?}, where the last should be {:?}",
                        wanted as char
                    );
                }
            }
        }
    }
}

/// One FastCGI record.
fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let ([a, b], [c, d]) = (id.to_be_bytes(), (content.len() as u16).to_be_bytes());
    [&[1, kind, a, b, c, d, 0, 0][..], content].concat()
}

const USUAL: [(&str, &str); 6] = [
    ("X_JOB_ID", "9b1f03aa5c7e2d41"),
    ("X_ITEM", "7f3a9c21e0b4d655"),
    ("X_SLICE", "3"),
    ("X_ALLOW_MS", "800"),
    ("X_SET", "17"),
    ("X_RAM_KB", "41.5"),
];

fn request(id: u16, class: &str, changes: &[&str]) -> Vec<u8> {
    let mut fields = vec![("SCRIPT_NAME".to_owned(), format!("/api/v2/{class}"))];
    fields.extend(USUAL.map(|(name, value)| (format!("HTTP_{name}"), value.to_owned())));
    let mut body = 0;
    for (name, value) in changes.iter().map(|c| c.split_once('=').unwrap()) {
        let named = format!("HTTP_{}", name.trim_start_matches('+'));
        match fields.iter_mut().find(|(n, _)| *n == named) {
            _ if name == "body" => body = value.parse().unwrap(),
            Some(field) if !name.starts_with('+') => field.1 = value.to_owned(),
            _ => fields.push((named, value.to_owned())),
        }
    }
    let pair =
        |(n, v): &(String, String)| [&[n.len() as u8, v.len() as u8], n.as_bytes(), v.as_bytes()].concat();
    let params: Vec<u8> = fields.iter().filter(|(_, v)| !v.is_empty()).flat_map(pair).collect();
    let mut out =
        [record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]), record(4, id, &params), record(4, id, b"")].concat();
    vec![b'x'; body].chunks(32_000).for_each(|part| out.extend(record(5, id, part)));
    [out, record(5, id, b"")].concat()
}

/// The whole answer to a request: what STDOUT held, and the protocol status.
fn answer(reader: &mut dyn BufRead, id: u16) -> (Vec<u8>, u8) {
    let mut stdout = Vec::new();
    loop {
        let mut head = [0; 8];
        reader.read_exact(&mut head).expect("a record");
        let mut content = vec![0; usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6])];
        reader.read_exact(&mut content).expect("a whole record");
        content.truncate(content.len() - usize::from(head[6]));
        assert_eq!(u16::from_be_bytes([head[2], head[3]]), id, "another request's answer");
        match head[1] {
            6 => stdout.extend(content),
            3 => return (stdout, content[4]),
            kind => panic!("a record of kind {kind}"),
        }
    }
}

#[rstest]
fn exchange(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).unwrap();
    let (mut caches, mut edge, mut sockets) = (vec!["s-1"], None, 1024);
    let mut program: Option<Program> = None;
    let mut peers: HashMap<&str, Peer> = HashMap::new();
    let mut printed = String::new();
    let mut lines = text.lines().enumerate();
    while let Some((number, line)) = lines.next() {
        eprintln!("{}:{}: {}", path.display(), number + 1, &line[..line.len().min(160)]);
        let words: Vec<&str> = line.split(' ').collect();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        match words[..] {
            ["caches", ref names @ ..] => caches = names.to_vec(),
            ["sockets", n] => sockets = n.parse().unwrap(),
            ["edge"] => {
                let file = lines.by_ref().map(|(_, l)| l).take_while(|l| *l != "end");
                let mut text = file.collect::<Vec<_>>().join("\n");
                if let Some(program) = &program {
                    for (name, listener) in &program.listeners {
                        text = text.replace(&format!("@{name}"), &listener.local_addr().unwrap().to_string());
                    }
                    std::fs::write(program.folder.join("edge.toml"), &text).unwrap();
                }
                edge = Some(text);
            }
            _ => {
                let program =
                    program.get_or_insert_with(|| Program::start_with(&caches, edge.as_deref(), sockets));
                step(program, &mut peers, &mut printed, line, &words);
            }
        }
    }
}

fn step<'a>(
    program: &mut Program,
    peers: &mut HashMap<&'a str, Peer>,
    printed: &mut String,
    line: &'a str,
    words: &[&'a str],
) {
    match *words {
        ["connect", name, ref to @ ..] => {
            let addr = match *to {
                ["http", nth] => program.edge("http", nth.parse().unwrap()),
                ["dns"] => program.edge("dns", 0),
                _ => program.listen,
            };
            peers.insert(name, Peer::tcp(TcpStream::connect(addr).unwrap()));
        }
        ["udp", name] => {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.set_read_timeout(Some(PATIENCE)).unwrap();
            socket.connect(program.edge("dns", 0)).unwrap();
            peers.insert(name, Peer::Udp(socket));
        }
        ["accept", name, at] => {
            peers.insert(name, Peer::tcp(common::accept(&program.listeners[at])));
        }
        ["move", from, to] => program.move_bus(from, to),
        ["spoil", from, to] => program.spoil(from, to),
        ["signal", name] => program.signal(name),
        ["exit", code] => {
            assert_eq!(program.child.wait().unwrap().code(), code.parse().ok());
        }
        ["log", ..] => drop(program.log.wait(line.strip_prefix("log ").unwrap(), 0)),
        ["run", code, ref args @ ..] => {
            let (ended, text) = program.run(args);
            assert_eq!(ended, code.parse().ok(), "{text}");
            *printed = text;
        }
        ["|", ..] => assert!(printed.contains(&line[2..]), "{printed}"),
        [name, "ask", id, class, ref changes @ ..] => {
            peers.get_mut(name).unwrap().send(&request(id.parse().unwrap(), class, changes))
        }
        [name, "got", id, ..] => {
            let Some(Peer::Tcp(_, reader)) = peers.get_mut(name) else { panic!("{name} is no stream") };
            let (stdout, status) = answer(reader, id.parse().unwrap());
            let wanted = line.splitn(4, ' ').nth(3).unwrap().replace("{crlf}", "\r\n");
            let came = if status == 2 { "overloaded".into() } else { String::from_utf8_lossy(&stdout) };
            assert!(came.starts_with(&wanted), "came {came:?}");
        }
        [name, ">", ..] => peers.get_mut(name).unwrap().send(&bytes(&line[name.len() + 3..])),
        [name, "<", ..] => peers.get_mut(name).unwrap().expect(&line[name.len() + 3..]),
        [name, "close"] => drop(peers.remove(name)),
        [name, how @ ("closed" | "ended")] => {
            let Some(Peer::Tcp(stream, mut reader)) = peers.remove(name) else {
                panic!("{name} is no stream")
            };
            let mut rest = Vec::new();
            // A reset is an end as well; a connection that stays open is none.
            let waits = [ErrorKind::WouldBlock, ErrorKind::TimedOut];
            let ended = reader.read_to_end(&mut rest);
            let open = ended.as_ref().is_err_and(|e| waits.contains(&e.kind()));
            assert!(!open, "{name} is still open");
            assert!(how == "closed" || ended.is_ok(), "{name} was not ended but broken: {ended:?}");
            assert!(rest.is_empty(), "before the end came {:?}", rest.escape_ascii().to_string());
            let _ = stream.shutdown(Shutdown::Both);
        }
        _ => panic!("no such step: {line}"),
    }
}
