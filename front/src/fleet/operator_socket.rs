//! The operators' socket: answers each connection, which sends one line. The status comes from what this front knows:
//! a front without contact answers as well, and says how old its knowledge is.

use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

use crate::fleet::operator::{CallError, OperatorCalls};
use crate::fleet::operator_client::CALL_TIMEOUT;
use crate::process::accept::accept_until;
use crate::process::spawn;

/// Maximum number of calls that are answered at the same time.
const MAX_CALLS: usize = 16;
/// Maximum length of a line.
const MAX_LINE_BYTES: u64 = 256 << 10;

/// Starts the thread that answers calls. The line of a call is `show`, `forget NAME`, `work-show` or `work JSON`.
pub fn listen(path: &Path, calls: OperatorCalls) -> std::io::Result<()> {
    if UnixStream::connect(path).is_err() {
        let _ = std::fs::remove_file(path);
    }
    let listener = UnixListener::bind(path)?;
    let calls = Arc::new(calls);
    // Each call has its own thread: a command waits for its outcome while other operators ask for the status.
    let open_calls = Arc::new(AtomicUsize::new(0));
    let serve = move || {
        let handle_connection = |stream: UnixStream| {
            if open_calls.fetch_add(1, Relaxed) >= MAX_CALLS {
                open_calls.fetch_sub(1, Relaxed);
                return;
            }
            let (calls, call_counter) = (calls.clone(), open_calls.clone());
            let handle_call = move || {
                let _ = answer(stream, &calls);
                call_counter.fetch_sub(1, Relaxed);
            };
            if spawn("fleet-call", handle_call).is_err() {
                open_calls.fetch_sub(1, Relaxed);
            }
        };
        accept_until("fleet socket", &listener, || false, handle_connection);
    };
    spawn("fleet-look", serve).map(drop)
}

fn answer(mut stream: UnixStream, calls: &OperatorCalls) -> std::io::Result<()> {
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let mut line = String::new();
    BufReader::new((&stream).take(MAX_LINE_BYTES)).read_line(&mut line)?;
    let refusal = |why: CallError| format!("refused: {why}");
    let line = line.trim();
    let text = match line.split_once(' ') {
        None if line == "show" => calls.status(),
        None if line == "work-show" => calls.maintenance().unwrap_or_else(refusal),
        Some(("forget", name)) => calls.remove_front(name).map_or_else(refusal, |()| "asked".to_owned()),
        Some(("work", request)) => calls.request(request).unwrap_or_else(refusal),
        _ => "refused: not understood".to_owned(),
    };
    stream.write_all(text.as_bytes())
}
