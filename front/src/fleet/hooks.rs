//! Hooks: commands that the leader runs at a machine's step, without a shell, with a timeout and a maximum number at a
//! time. A step may run its hook twice, at two leaders; the permit's number is the same in both.

use std::collections::BTreeMap;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::process::spawn;

/// Maximum number of hooks that run at the same time.
const MAX_RUNNING: usize = 8;
/// How often a running hook is checked for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The hooks of the fleet's file, by step.
#[derive(Clone, Debug)]
pub struct Hooks {
    commands: BTreeMap<String, Vec<String>>,
    timeout: Duration,
    running: Arc<AtomicUsize>,
}

impl Hooks {
    /// Takes the command and its arguments for each step, and the timeout of all.
    pub fn new(commands: BTreeMap<String, Vec<String>>, seconds: f64) -> Hooks {
        Hooks { commands, timeout: Duration::from_secs_f64(seconds), running: Arc::default() }
    }

    /// Runs the hook of a step, if there is one, on its own thread. The machine's name is its last argument.
    pub fn run(&self, step: &str, machine: &str) {
        let Some(command) = self.commands.get(step) else { return };
        if self.running.fetch_add(1, Relaxed) >= MAX_RUNNING {
            self.running.fetch_sub(1, Relaxed);
            tracing::error!(step, machine, "work: too many hooks are running: this one is skipped");
            return;
        }
        let (command, timeout, running) = (command.clone(), self.timeout, self.running.clone());
        let (step, machine) = (step.to_owned(), machine.to_owned());
        let spawned = spawn("hook", move || {
            match run(&command, &machine, timeout) {
                Ok(()) => tracing::info!(step, machine, "work: hook succeeded"),
                Err(why) => tracing::error!(step, machine, why, "work: hook failed"),
            }
            running.fetch_sub(1, Relaxed);
        });
        if spawned.is_err() {
            self.running.fetch_sub(1, Relaxed);
        }
    }
}

fn run(command: &[String], machine: &str, timeout: Duration) -> Result<(), String> {
    let (program, arguments) = command.split_first().ok_or("no command")?;
    let mut command = Command::new(program);
    command.args(arguments).arg(machine).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    let mut child = command.spawn().map_err(|e| format!("{program}: {e}"))?;
    let started_at = Instant::now();
    loop {
        match child.try_wait() {
            Ok(Some(status)) if status.success() => return Ok(()),
            Ok(Some(status)) => return Err(format!("{program}: {status}")),
            Ok(None) if started_at.elapsed() < timeout => std::thread::sleep(POLL_INTERVAL),
            Ok(None) => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!("{program}: not finished within {timeout:?}"));
            }
            Err(e) => return Err(format!("{program}: {e}")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn owned(words: &[&str]) -> Vec<String> {
        words.iter().map(|w| (*w).to_owned()).collect()
    }

    #[test]
    fn a_hook_gets_the_machine_name_and_reports_failures_and_timeouts() {
        let ample = Duration::from_secs(5);
        assert_eq!(run(&owned(&["test", "c-1", "="]), "c-1", ample), Ok(()));
        assert!(run(&owned(&["test", "c-1", "="]), "c-2", ample).unwrap_err().contains("exit status"));
        assert!(run(&owned(&["no-such-program"]), "c-1", ample).is_err());
        let timed_out = run(&owned(&["sleep"]), "20", Duration::from_millis(100));
        assert!(timed_out.unwrap_err().contains("not finished within"));
    }
}
