//! Files and answers that operators and their tools read: the deploy files, a saved plan, the management address, the counters.

mod common;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use common::{elmtide, folder, last_word, Program};
use elmtide_golden::GoldenFile;
use elmtide_standins::until;

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

/// A folder with the deploy files, removed at the test's end.
struct DeployFolder(PathBuf);

impl DeployFolder {
    fn new() -> DeployFolder {
        let folder = folder();
        copy_deploy_files(&folder);
        DeployFolder(folder)
    }

    fn run(&self, args: &[&str]) -> (Option<i32>, String) {
        let output = elmtide().args(args).current_dir(&self.0).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    }
}

impl Drop for DeployFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn copy_deploy_files(folder: &Path) {
    for name in ["edge.toml", "cells.toml", "fleet.toml"] {
        fs::copy(golden(name), folder.join(name)).unwrap();
    }
    let key = folder.join("fleet.key");
    fs::write(&key, "00112233445566778899aabbccddeeff\n").unwrap();
    fs::set_permissions(&key, fs::Permissions::from_mode(0o600)).unwrap();
}

/// The text with each whole number in it replaced, as counts differ from run to run.
fn without_numbers(text: &str) -> String {
    let mut kept = String::new();
    for c in text.chars() {
        let digit = c.is_ascii_digit();
        let follows_value = kept.ends_with(['=', ':', 'N']);
        if !digit || !follows_value {
            kept.push(c);
        } else if !kept.ends_with('N') {
            kept.push('N');
        }
    }
    kept
}

#[test]
fn every_key_of_the_deploy_files_is_still_read() {
    let program = Program::start(&["s-1"], None);
    copy_deploy_files(&program.folder);
    let (code, text) = program.run(&[
        "check",
        "--config",
        "config.json",
        "--edge",
        "edge.toml",
        "--cells",
        "cells.toml",
        "--fleet",
        "fleet.toml",
    ]);
    assert_eq!(code, Some(0), "{text}");
    let mut expected = GoldenFile::new(golden("check.txt"));
    text.lines().skip(1).for_each(|line| expected.line(line));
    expected.check();
}

#[test]
fn the_plan_for_lost_sites_is_still_the_same() {
    let folder = DeployFolder::new();
    let (code, text) = folder.run(&["site", "plan", "--fleet", "fleet.toml"]);
    let mut expected = GoldenFile::new(golden("site_plan.txt"));
    expected.line(&format!("exit {code:?}"));
    text.lines().for_each(|line| expected.line(line));
    expected.check();
}

#[test]
fn a_plan_is_written_to_the_same_bytes() {
    let folder = DeployFolder::new();
    let plan =
        ["plan", "--edge", "edge.toml", "--cells", "cells.toml", "--control", "none.sock", "--out", "p.json"];
    let (code, text) = folder.run(&plan);
    assert_eq!(code, Some(2), "{text}");
    let mut expected = GoldenFile::new(golden("plan.json"));
    fs::read_to_string(folder.0.join("p.json")).unwrap().lines().for_each(|line| expected.line(line));
    expected.check();
    let mut expected = GoldenFile::new(golden("plan_difference.txt"));
    text.lines().filter(|l| !l.starts_with("no program runs")).for_each(|line| expected.line(line));
    expected.check();
}

#[test]
fn a_plan_of_an_earlier_version_is_still_applied() {
    let program = Program::start(&["s-1", "s-2"], Some(""));
    fs::copy(golden("plan.json"), program.folder.join("plan.json")).unwrap();
    let (code, text) = program.run(&["apply", "--control", "control.sock", "plan.json"]);
    assert_eq!((code, text.trim()), (Some(0), "applied"));
    let (code, text) = program.run(&["apply", "--control", "control.sock", "plan.json"]);
    assert_eq!((code, text.trim()), (Some(0), "in force already"));
}

fn call(at: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(common::PATIENCE)).unwrap();
    stream.write_all(line.as_bytes()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}

#[test]
fn status_metrics_and_counters_keep_their_form_and_names() {
    let program = Program::start_env(&["s-1"], Some(""), 1024, &[("LB_MANAGEMENT", "127.0.0.1:0")]);
    let at = last_word(&program.log.wait("management: calls are taken at ", 0)).parse().unwrap();
    let engine_started = || !call(at, "METRICS\n").contains("\"cache_nodes_known\":0");
    assert!(until(engine_started));
    let mut expected = GoldenFile::new(golden("management.txt"));
    for line in ["STATUS", "PAUSE", "STATUS", "RESUME", "STATUS", "METRICS", "NONE"] {
        let reply = call(at, &format!("{line}\n"));
        expected.line(&format!("{line} -> {:?}", without_numbers(&reply)));
    }
    let (code, text) = program.run(&["counters", "--control", "control.sock"]);
    assert_eq!(code, Some(0), "{text}");
    text.lines().for_each(|line| expected.line(&without_numbers(line)));
    expected.check();
}
