//! The management address against the running program: calls, silent callers, lines that are no call, pause.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use common::{call_management as call, start_managed as start, Program, PATIENCE};
use elmtide_standins::node::{Behaviour, Node, Origin};
use elmtide_standins::{till, until};

/// The platform's readiness question over FastCGI: the status line of `/-/healthy`.
fn healthy(listen: SocketAddr) -> String {
    let mut stream = TcpStream::connect(listen).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let name = b"SCRIPT_NAME/-/healthy";
    let mut bytes = vec![1, 1, 0, 1, 0, 8, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0];
    bytes.extend_from_slice(&[1, 4, 0, 1, 0, (name.len() + 2) as u8, 0, 0, 11, 10]);
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(&[1, 4, 0, 1, 0, 0, 0, 0, 1, 5, 0, 1, 0, 0, 0, 0]);
    stream.write_all(&bytes).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split("Status: ").nth(1).expect("an answer with a status");
    status[..3].to_owned()
}

#[test]
fn status_is_answered_at_once_beside_two_hundred_silent_callers() {
    let (_program, at) = start();
    let silent: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(at).unwrap()).collect();
    let mut half = TcpStream::connect(at).unwrap();
    half.write_all(b"STAT").unwrap();
    assert_eq!(call(at, b"STATUS\n"), "200 yes\r\n");
    drop(silent);
}

#[test]
fn lines_that_are_no_call_get_400_and_never_a_hang() {
    let (_program, at) = start();
    for line in [&b"status\n"[..], b"\0\n", b"\xff\xfe\n", b"PAUSE NOW\n", &vec![b'M'; 1 << 20]] {
        let reply = call(at, line);
        assert!(reply.starts_with("400 "), "{reply:?} to {:?}", line[..line.len().min(12)].escape_ascii());
    }
    assert_eq!(call(at, b"STATUS\r\n"), "200 yes\r\n");
}

#[test]
fn metrics_are_one_json_object_then_eof_from_naught() {
    let (_program, at) = start();
    // The engine has taken in the list that it was started with.
    assert!(until(|| figures(at)["cache_nodes_known"] != 0));
    let reply = call(at, b"METRICS\n");
    let lines: Vec<&str> = reply.lines().collect();
    assert_eq!(lines.len(), 2, "{reply}");
    assert_eq!(lines.last(), Some(&"EOF"));
    let figures: serde_json::Value = serde_json::from_str(lines[0]).unwrap();
    for class in ["small-files", "plan-signup"] {
        for count in ["served", "refused", "failed"] {
            assert_eq!(figures[count][class], 0, "{count} {class}: {reply}");
        }
    }
    for count in ["attempts", "in_flight", "reloads_ok", "reloads_failed", "cache_nodes_excluded"] {
        assert_eq!(figures[count], 0, "{count}: {reply}");
    }
    // The cache node, and the origin with it or not.
    assert!([1, 2].contains(&figures["cache_nodes_known"].as_u64().unwrap()), "{reply}");
}

#[test]
fn pause_turns_readiness_to_no_and_resume_back() {
    let (program, at) = start();
    assert_eq!(healthy(program.listen), "200");
    assert_eq!(call(at, b"PAUSE\n"), "200 paused\r\n");
    assert_eq!(call(at, b"STATUS\n"), "200 no: paused\r\n");
    assert_eq!(healthy(program.listen), "503");
    assert_eq!(call(at, b"RESUME\n"), "200 resumed\r\n");
    assert_eq!(call(at, b"STATUS\n"), "200 yes\r\n");
    assert_eq!(healthy(program.listen), "200");
}

/// A cache node behind the program, and how it behaves.
fn node(program: &mut Program) -> Node {
    let listener = program.listeners.remove("s-1").unwrap();
    Node::start("s-1", listener, &Arc::new(Origin::default()), 1).unwrap()
}

fn ask(program: &Program, class: &str, job: u64, keep: bool) -> TcpStream {
    let mut stream = TcpStream::connect(program.listen).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let body = if class == "plan-signup" { "x" } else { "" };
    stream.write_all(&till::request(class, &format!("{job:016x}"), 900, body, keep)).unwrap();
    stream
}

fn figures(at: SocketAddr) -> serde_json::Value {
    serde_json::from_str(call(at, b"METRICS\n").lines().next().unwrap()).unwrap()
}

/// Of known requests the figures are exact once it is quiet: served, refused, failed, attempts, and nothing in flight.
#[test]
fn metrics_count_what_was_asked() {
    let (mut program, at) = start();
    let node = node(&mut program);
    for job in 0..7 {
        assert_eq!(till::status(&mut ask(&program, "small-files", job, false)).as_deref(), Some("200"));
    }
    // A signup whose node takes it and never answers is failed: it may have run.
    node.set(Behaviour { mute: true, ..Behaviour::default() });
    let mut silent = ask(&program, "plan-signup", 100, false);
    assert!(until(|| figures(at)["in_flight"] == 1 && node.asked() == 8));
    assert_eq!(till::status(&mut silent).as_deref(), Some("502"));
    // One that the node sheds every time was never run: it is refused, whatever is tried.
    node.set(Behaviour { shed: 1.0, ..Behaviour::default() });
    assert_eq!(till::status(&mut ask(&program, "small-files", 101, false)).as_deref(), Some("503"));
    let quiet = |f: &serde_json::Value| f["in_flight"] == 0 && f["refused"]["small-files"] == 1;
    assert!(until(|| quiet(&figures(at))), "{}", figures(at));
    let figures = figures(at);
    assert_eq!(figures["served"]["small-files"], 7, "{figures}");
    assert_eq!(figures["failed"]["plan-signup"], 1, "{figures}");
    assert_eq!(figures["served"]["plan-signup"], 0, "{figures}");
    assert_eq!(figures["failed"]["small-files"], 0, "{figures}");
    // Seven, the mute one, and what was shed: at least once.
    assert!(figures["attempts"].as_u64().unwrap() >= 9, "{figures}");
}

/// A pause lets a long request end, closes the idle connection, does not end the process, and is undone by RESUME.
#[test]
fn a_pause_finishes_what_is_open_and_holds_nobody_idle() {
    let (mut program, at) = start();
    let node = node(&mut program);
    let mut idle = ask(&program, "small-files", 1, true);
    assert_eq!(till::status(&mut idle).as_deref(), Some("200"));
    node.set(Behaviour { delay: Duration::from_millis(600), ..Behaviour::default() });
    let mut long = ask(&program, "plan-signup", 2, true);
    assert!(until(|| node.asked() == 2));
    assert_eq!(call(at, b"PAUSE\n"), "200 paused\r\n");
    assert_eq!(idle.read(&mut [0; 8]).unwrap(), 0, "the idle connection is closed");
    assert_eq!(till::status(&mut long).as_deref(), Some("200"), "what was open is answered");
    assert_eq!(long.read(&mut [0; 8]).unwrap(), 0, "and closed after it");
    assert!(until(|| figures(at)["in_flight"] == 0));
    assert!(program.child.try_wait().unwrap().is_none(), "the process stays");
    assert_eq!(call(at, b"RESUME\n"), "200 resumed\r\n");
    node.set(Behaviour::default());
    let mut kept = ask(&program, "small-files", 3, true);
    assert_eq!(till::status(&mut kept).as_deref(), Some("200"));
    kept.write_all(&till::request("small-files", "00000000000000aa", 900, "", true)).unwrap();
    assert_eq!(till::status(&mut kept).as_deref(), Some("200"), "connections are kept again");
}
