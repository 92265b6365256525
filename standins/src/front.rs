//! A real front between stand-ins: its files, its process, its log.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

use serde_json::{json, Value};

use crate::PATIENCE;

/// Settings with one cache location; the longest deadline is short, so that the ledger opens soon.
pub const SETTINGS: &str = r#"{"Az":1,"GroupSize":1,"Zones":["east","edge-1"],"Kinds":["small","parent","origin"],
"Weights":"rough","FamilyInfo":{"ShieldKind":1,"SourceKind":2,"NeverKept":[false,true],"ClientKbPerS":7800.0,
"CountByZone":[0,1]},"Limits":{"TryLimit":8,"Cancelling":true,"Probes":true,"SecondCopies":true,"RetryAfter":true,
"MaxRetryAfterMs":500.0},"RequestClasses":[{"Name":"small-files","OnTimeMs":400,"HardLimitMs":900,"Repeat":"free"},
{"Name":"plan-signup","OnTimeMs":600,"HardLimitMs":900,"Repeat":"single_shot"}]}"#;

/// CPU time that a process has used, in seconds; the system counts in hundredths.
pub fn cpu_seconds(process: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let mut fields = stat.rsplit(") ").next()?.split(' ').skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / 100.0)
}

#[derive(Default)]
pub struct Log(Mutex<Vec<String>>, Condvar);

impl Log {
    /// Waits for the n-th line (from 0) that holds the text.
    pub fn wait(&self, text: &str, nth: usize) -> Result<String, String> {
        let mut lines = self.0.lock().unwrap_or_else(|p| p.into_inner());
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(line) = lines.iter().filter(|l| l.contains(text)).nth(nth) {
                return Ok(line.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(format!("the log never said {text:?}:\n{}", lines.join("\n")));
            }
            lines = self.1.wait_timeout(lines, left).unwrap_or_else(|p| p.into_inner()).0;
        }
    }

    pub fn lines(&self) -> Vec<String> {
        self.0.lock().unwrap_or_else(|p| p.into_inner()).clone()
    }
}

/// A folder for a front's files, gone with this value.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> std::io::Result<Folder> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("elmtide-front-{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed));
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        Ok(Folder(folder))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a front is started with.
pub struct Setup<'a> {
    pub binary: &'a Path,
    /// LB_NAME and the name in its configuration.
    pub name: &'a str,
    pub bus: SocketAddr,
    /// Events that it knows at its start.
    pub known: Value,
    pub edge: &'a str,
    /// The cells' file; empty for none.
    pub cells: &'a str,
    pub sockets: u32,
}

pub struct Front {
    child: Child,
    pub log: Arc<Log>,
    pub folder: Folder,
    binary: PathBuf,
    name: String,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a platform hands from process to process at an upgrade: the clients' listener and a folder.
pub struct Handed {
    pub listener: TcpListener,
    pub folder: Folder,
    /// Variables of the environment that each process is started with.
    pub environment: Vec<(&'static str, String)>,
}

impl Handed {
    pub fn new() -> std::io::Result<Handed> {
        let (listener, folder) = (TcpListener::bind("127.0.0.1:0")?, Folder::new()?);
        Ok(Handed { listener, folder, environment: Vec::new() })
    }
}

/// The program with the listener as its descriptor 3 and the folder as its `TMPDIR`; a shell puts the one in place and
/// is gone by `exec`.
fn handed_down(binary: &Path, handed: &Handed) -> std::io::Result<Command> {
    let mut command = Command::new("sh");
    command
        .args(["-c", "exec \"$0\" \"$@\" 3<&0 </dev/null"])
        .arg(binary)
        .stdin(Stdio::from(OwnedFd::from(handed.listener.try_clone()?)))
        .env("LB_FD", "3")
        .envs(handed.environment.iter().map(|(name, value)| (name, value)))
        .env("TMPDIR", &handed.folder.0);
    Ok(command)
}

fn start(
    binary: &Path,
    folder: &Path,
    name: &str,
    handed: Option<&Handed>,
) -> Result<(Child, Arc<Log>), String> {
    let mut arguments = vec!["serve", "--config", "config.json", "--edge", "edge.toml"];
    // Processes that follow one another find each other at the usual place.
    if handed.is_none() {
        arguments.extend(["--control", "control.sock"]);
    }
    // Earlier versions know no cells.
    if folder.join("cells.toml").exists() {
        arguments.extend(["--cells", "cells.toml"]);
    }
    if folder.join("fleet.toml").exists() {
        arguments.extend(["--fleet", "fleet.toml"]);
    }
    let command = match handed {
        Some(handed) => handed_down(binary, handed),
        // A write past the limit on a file's size then fails, as on a full disk, and ends nothing.
        None if folder.join("full-disk").exists() => {
            let mut command = Command::new("sh");
            command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]).arg(binary);
            Ok(command)
        }
        None => Ok(Command::new(binary)),
    };
    let mut child = command
        .map_err(|e| e.to_string())?
        .args(arguments)
        .current_dir(folder)
        .env_remove("LB_LISTEN")
        .env("LB_NAME", name)
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|e| format!("{}: {e}", binary.display()))?;
    let log: Arc<Log> = Arc::default();
    let (lines, stderr) = (log.clone(), child.stderr.take().ok_or("no standard error")?);
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            lines.0.lock().unwrap_or_else(|p| p.into_inner()).push(line);
            lines.1.notify_all();
        }
    });
    log.wait("ready: ", 0)?;
    Ok((child, log))
}

impl Front {
    pub fn start(setup: &Setup<'_>) -> Result<Front, String> {
        Front::start_on(setup, None)
    }

    /// On what the platform hands down, beside the process before or after it.
    pub fn start_on(setup: &Setup<'_>, handed: Option<&Handed>) -> Result<Front, String> {
        Front::start_in(Folder::new().map_err(|e| e.to_string())?, setup, handed)
    }

    /// In a folder that has other files already.
    pub fn start_in(folder: Folder, setup: &Setup<'_>, handed: Option<&Handed>) -> Result<Front, String> {
        // A folder may bring settings of its own.
        let own = std::fs::read_to_string(folder.0.join("settings.json"));
        let settings = own.as_deref().unwrap_or(SETTINGS);
        let settings: Value = serde_json::from_str(settings).map_err(|e| e.to_string())?;
        let config = json!({"name": setup.name, "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"sockets": setup.sockets}, "bus": setup.bus.to_string(), "known": setup.known,
            "settings": settings});
        let write =
            |name: &str, text: &str| std::fs::write(folder.0.join(name), text).map_err(|e| e.to_string());
        write("config.json", &config.to_string())?;
        if !setup.edge.is_empty() || !folder.0.join("fleet.toml").exists() {
            write("edge.toml", setup.edge)?;
        }
        if !setup.cells.is_empty() {
            write("cells.toml", setup.cells)?;
        }
        let (child, log) = start(setup.binary, &folder.0, setup.name, handed)?;
        let binary = setup.binary.canonicalize().map_err(|e| e.to_string())?;
        Ok(Front { child, log, folder, binary, name: setup.name.into() })
    }

    /// Where the n-th listener of the second front of this kind is.
    pub fn edge(&self, kind: &str, nth: usize) -> Result<SocketAddr, String> {
        let line = self.log.wait(&format!("edge: {kind} on "), nth)?;
        line.rsplit(' ').next().and_then(|a| a.parse().ok()).ok_or(line)
    }

    /// Ends it at once, as a machine that fails would, and starts it again with the same files.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn again(&mut self) -> Result<(), String> {
        self.kill();
        (self.child, self.log) = start(&self.binary, &self.folder.0, &self.name, None)?;
        Ok(())
    }

    /// Where the platform's clients connect to.
    pub fn listen(&self) -> Result<SocketAddr, String> {
        let line = self.log.wait("ready: ", 0)?;
        let at = line.split(' ').nth(4).and_then(|at| at.trim_end_matches(',').parse().ok());
        at.ok_or(line)
    }

    /// Its folder stays when this value goes, for another run in it.
    pub fn keep_folder(&mut self) {
        self.folder.0 = PathBuf::new();
    }

    /// Sends a signal by its name, as `TERM`.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let kill = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        kill.map_err(|e| e.to_string()).and_then(|s| s.success().then_some(()).ok_or(format!("kill: {s}")))
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Memory that it holds, in kilobytes.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// CPU time that it has used, in seconds; the system counts in hundredths.
    pub fn cpu_s(&self) -> Option<f64> {
        cpu_seconds(self.child.id())
    }

    /// Runs a command in its folder: the exit code and all that it printed.
    pub fn run(&self, args: &[&str]) -> Result<(Option<i32>, String), String> {
        let out = Command::new(&self.binary).args(args).current_dir(&self.folder.0).output();
        let out = out.map_err(|e| e.to_string())?;
        let text = [out.stdout, out.stderr].concat();
        Ok((out.status.code(), String::from_utf8_lossy(&text).into_owned()))
    }

    /// Writes another cells' file, plans and applies it.
    pub fn apply_cells(&self, cells: &str) -> Result<(), String> {
        std::fs::write(self.folder.0.join("cells.toml"), cells).map_err(|e| e.to_string())?;
        let edge = std::fs::read_to_string(self.folder.0.join("edge.toml")).map_err(|e| e.to_string())?;
        self.apply(&edge)
    }

    /// Writes another edge file, plans and applies it.
    pub fn apply(&self, edge: &str) -> Result<(), String> {
        std::fs::write(self.folder.0.join("edge.toml"), edge).map_err(|e| e.to_string())?;
        let (_, said) = self.run(&[
            "plan",
            "--edge",
            "edge.toml",
            "--cells",
            "cells.toml",
            "--control",
            "control.sock",
            "--out",
            "p.json",
        ])?;
        // A plan that was not saved must not be taken for one.
        let planned = self.folder.0.join("p.json");
        if !planned.exists() {
            return Err(said);
        }
        let applied = match self.run(&["apply", "--control", "control.sock", "p.json"])? {
            (Some(0), _) => Ok(()),
            (_, why) => Err(format!("{said}{why}")),
        };
        let _ = std::fs::remove_file(planned);
        applied
    }
}
