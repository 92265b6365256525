//! The operators' socket: answers whoever connects with one line, from what this front knows. Nothing is asked of other fronts
//! for it, so a front that is cut off answers as well, and says how old what it knows is.

use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

use crate::fleet::operator::{CallError, OperatorCalls};
use crate::fleet::operator_client::CALL_TIMEOUT;
use crate::process::accept::accept_until;
use crate::process::spawn;

/// Calls that are answered at a time.
const MAX_CALLS: usize = 16;
/// The longest line that is read.
const MAX_LINE_BYTES: u64 = 256 << 10;

/// Answers whoever connects with one line: `show`, `forget NAME`, `work-show` or `work JSON`.
pub fn listen(path: &Path, calls: OperatorCalls) -> std::io::Result<()> {
    if UnixStream::connect(path).is_err() {
        let _ = std::fs::remove_file(path);
    }
    let listener = UnixListener::bind(path)?;
    let calls = Arc::new(calls);
    // An operator's command waits for its outcome, while others look.
    let busy = Arc::new(AtomicUsize::new(0));
    let serve = move || {
        let take = |stream: UnixStream| {
            if busy.fetch_add(1, Relaxed) >= MAX_CALLS {
                busy.fetch_sub(1, Relaxed);
                return;
            }
            let (calls, done) = (calls.clone(), busy.clone());
            let one = move || {
                let _ = answer(stream, &calls);
                done.fetch_sub(1, Relaxed);
            };
            if spawn("fleet-call", one).is_err() {
                busy.fetch_sub(1, Relaxed);
            }
        };
        accept_until("fleet socket", &listener, || false, take);
    };
    spawn("fleet-look", serve).map(drop)
}

fn answer(mut stream: UnixStream, calls: &OperatorCalls) -> std::io::Result<()> {
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let mut line = String::new();
    BufReader::new((&stream).take(MAX_LINE_BYTES)).read_line(&mut line)?;
    let refused = |why: CallError| format!("refused: {why}");
    let line = line.trim();
    let text = match line.split_once(' ') {
        None if line == "show" => calls.status(),
        None if line == "work-show" => calls.maintenance().unwrap_or_else(refused),
        Some(("forget", name)) => calls.remove_front(name).map_or_else(refused, |()| "asked".to_owned()),
        Some(("work", request)) => calls.request(request).unwrap_or_else(refused),
        _ => "refused: not understood".to_owned(),
    };
    stream.write_all(text.as_bytes())
}
