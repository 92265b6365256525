//! The adapter as a process: frames in, reply frames or one error line out.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"Az": 0, "GroupSize": 1, "Unknown": [1],
    "RequestClasses": [{"OnTimeMs": 300, "HardLimitMs": 2000, "Repeat": "free"}],
    "Limits": {"RetryAfter": true, "MaxRetryAfterMs": 500}}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_elmtide-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The write fails if the process has refused its input and closed the pipe; its exit status tells.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

fn frame(records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut out = (records.len() as u32).to_le_bytes().to_vec();
    out.extend((16 + body.len() as u32).to_le_bytes());
    out.extend(8000f64.to_le_bytes());
    out.extend(body);
    out
}

fn start(settings: &str) -> Vec<u8> {
    let mut out = vec![17];
    out.extend(7u64.to_le_bytes());
    out.extend((settings.len() as u32).to_le_bytes());
    out.extend(settings.as_bytes());
    out
}

fn select_instance(instance: u32) -> Vec<u8> {
    [vec![18], instance.to_le_bytes().to_vec()].concat()
}

fn list(members: &[u8]) -> Vec<u8> {
    let mut out = vec![19, 2, 1, 0, 0, 0];
    out.extend((members.len() as u32).to_le_bytes());
    for member in members {
        out.extend(1f32.to_le_bytes());
        out.push(0);
        out.extend(0f64.to_le_bytes());
        out.extend([0, 0, 1]);
        out.extend([10, 0, 0, *member, 80, 0]);
        out.extend([0, 0]);
    }
    out
}

fn request(id: u32) -> Vec<u8> {
    let mut out = vec![27];
    out.extend(id.to_le_bytes());
    out.extend([0, 0, 0, 0]);
    out.extend(99u64.to_le_bytes());
    out.extend(1000f64.to_le_bytes());
    out.extend([0; 12]);
    out.extend([0, 0]);
    out
}

fn assert_refused(input: &[u8], expected: &str) {
    let out = run(input);
    let text = String::from_utf8_lossy(&out.stderr).to_string();
    assert_eq!(out.status.code(), Some(1), "{text}");
    assert!(text.contains(expected) && text.lines().count() == 1 && !text.contains("panicked"), "{text}");
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_exits_with_0() {
    let out = run(&frame(&[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [4, 0, 0, 0]);
    assert!(run(&[]).status.success());
}

#[test]
fn a_request_is_served_by_a_listed_cache_and_refused_if_there_is_none() {
    let out = run(&frame(&[select_instance(3), start(SETTINGS), list(&[5]), request(1)]));
    assert!(out.status.success());
    assert_eq!(out.stdout[4..9], [27, 3, 0, 0, 0]);
    assert_eq!(out.stdout[9..14], [24, 1, 0, 0, 0], "serve action for request 1");
    assert_eq!(out.stdout[29..35], [10, 0, 0, 5, 80, 0], "sent to the listed cache");
    let out = run(&frame(&[select_instance(3), start(SETTINGS), list(&[]), request(1)]));
    assert_eq!(out.stdout[9], 22);
    let retry_after = f64::from_le_bytes(out.stdout[14..22].try_into().unwrap());
    assert!((300.0..=500.0).contains(&retry_after), "{retry_after} ms, expected at most 500");
}

#[test]
fn a_stopped_instance_ignores_events_and_can_be_started_again() {
    let stop = vec![22];
    let out = run(&frame(&[select_instance(3), start(SETTINGS), list(&[5]), stop.clone(), request(1)]));
    assert!(out.status.success());
    assert_eq!(out.stdout.len(), 4);
    let restarted = [select_instance(3), start(SETTINGS), stop, start(SETTINGS), list(&[5]), request(1)];
    assert_eq!(run(&frame(&restarted)).stdout[9], 24);
}

#[test]
fn malformed_input_ends_the_adapter_with_one_error_line() {
    let good = frame(&[select_instance(3), start(SETTINGS), request(1)]);
    assert_refused(&good[..7], "header");
    assert_refused(&good[..good.len() - 3], "within a batch");
    assert_refused(&frame(&[vec![99]]), "before any record that selects an instance");
    assert_refused(&frame(&[select_instance(1), vec![99]]), "unknown event code 99");
    assert_refused(&frame(&[request(1)]), "before any record that selects an instance");
    assert_refused(&frame(&[select_instance(1), request(1)[..9].to_vec()]), "truncated record");
    assert_refused(&frame(&[select_instance(1), start("{")]), "JSON");
    assert_refused(&frame(&[select_instance(1), start("{}")]), "RequestClasses");
    assert_refused(&frame(&[select_instance(1), start(&SETTINGS.replace("\"Az\"", "\"B\""))]), "Az");
    let mut too_long = frame(&[select_instance(1)]);
    too_long[0] = 0;
    assert_refused(&too_long, "left over after the last record");
    let mut too_short = frame(&[]);
    too_short[4] = 3;
    assert_refused(&too_short, "shorter than its header");
}

#[test]
fn a_flipped_bit_causes_no_panic() {
    let good = frame(&[select_instance(3), start(SETTINGS), list(&[5, 6]), request(1), request(2)]);
    let mut seed = 5u64;
    for _ in 0..60 {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let mut bad = good.clone();
        let position = (seed >> 33) as usize % bad.len();
        bad[position] ^= 1 << ((seed >> 20) & 7);
        if (4..8).contains(&position) {
            continue; // the frame length: the adapter would wait for more input
        }
        let code = run(&bad).status.code();
        assert!(matches!(code, Some(0 | 1)), "byte {position}: {code:?}");
    }
}
