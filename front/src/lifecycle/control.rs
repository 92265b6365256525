//! The control socket of a running front, used by plan and apply: one line of JSON in each direction over a Unix
//! socket.

use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::edge::cells::{self, CellsConfig};
use crate::edge::config::{self, EdgeConfig};
use crate::edge::plan::Plan;
use crate::lifecycle::cells::CellsInForce;
use crate::lifecycle::edge::Edge;
use crate::memory::counters::Counters;
use crate::process::accept::accept_until;
use crate::process::spawn_at_start;
use crate::process::transient::retry_at_start;

const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Every plan that is made of valid files must fit: as JSON, with what the files leave at its default, they take up to twice
/// their size. A plan that is refused for its length is refused at every try.
const MAX_REQUEST_BYTES: u64 = 2 * (config::MAX_FILE_BYTES + cells::MAX_FILE_BYTES);

/// A request to the running program.
#[derive(Debug, Serialize, Deserialize)]
pub enum Ask {
    Show,
    ShowCells,
    Counters,
    Apply(Box<Plan>),
    UndoMove(String),
}

/// The reply of the running program.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    InForce(Box<EdgeConfig>),
    Cells(Box<CellsConfig>),
    Counters(String),
    Applied { changed: bool },
    Refused(String),
}

/// Default control socket path of the front with this name.
pub fn usual_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("elmtide-{name}.sock"))
}

/// Sends a request to the running program and returns its reply.
pub fn ask(path: &Path, ask: &Ask) -> Result<Reply, String> {
    let failed = |e: std::io::Error| format!("{}: {e}", path.display());
    let mut stream = UnixStream::connect(path).map_err(failed)?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).map_err(failed)?;
    let line = serde_json::to_string(ask).map_err(|e| e.to_string())?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(failed)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(failed)?;
    serde_json::from_str(&answer).map_err(|e| format!("the program's answer can't be read: {e}"))
}

/// Whether a running program listens at this path.
pub fn taken(path: &Path) -> bool {
    UnixStream::connect(path).is_ok()
}

/// Serves control requests one at a time, so that two plans are never applied at once.
pub fn listen(
    path: &Path,
    edge: Arc<Edge>,
    cells: Arc<CellsInForce>,
    counters: Arc<Counters>,
) -> Result<(), String> {
    // Removes the socket file of an earlier process if no program answers there.
    if !taken(path) {
        let _ = std::fs::remove_file(path);
    }
    let listener = retry_at_start("control socket", || UnixListener::bind(path))
        .map_err(|e| format!("{}: {e}", path.display()))?;
    let serve = move || {
        let take = |stream: UnixStream| {
            if let Err(why) = answer(stream, &edge, &cells, &counters) {
                eprintln!("control: {why}");
            }
        };
        accept_until("control", &listener, || false, take);
    };
    spawn_at_start("control", serve).map(drop).map_err(|e| e.to_string())
}

fn answer(
    mut stream: UnixStream,
    edge: &Edge,
    cells: &CellsInForce,
    counters: &Counters,
) -> Result<(), String> {
    stream.set_read_timeout(Some(READ_TIMEOUT)).map_err(|e| e.to_string())?;
    let mut line = String::new();
    let got = BufReader::new((&stream).take(MAX_REQUEST_BYTES)).read_line(&mut line);
    got.map_err(|e| e.to_string())?;
    let reply = match serde_json::from_str(&line) {
        Err(why) => Reply::Refused(format!("not understood: {why}")),
        Ok(Ask::Show) => Reply::InForce(Box::new(edge.in_force())),
        Ok(Ask::Counters) => Reply::Counters(counters.to_string()),
        Ok(Ask::ShowCells) => Reply::Cells(Box::new(cells.now())),
        Ok(Ask::UndoMove(shop)) => match cells.undo(&shop) {
            Ok(()) => Reply::Applied { changed: true },
            Err(why) => Reply::Refused(why),
        },
        Ok(Ask::Apply(plan)) => match apply(*plan, edge, cells) {
            Ok(changed) => Reply::Applied { changed },
            Err(why) => Reply::Refused(why),
        },
    };
    let text = serde_json::to_string(&reply).map_err(|e| e.to_string())?;
    stream.write_all(text.as_bytes()).map_err(|e| e.to_string())
}

/// Applies both files or neither: the cells are checked before the edge is changed, which may still fail because an
/// address is in use.
fn apply(plan: Plan, edge: &Edge, cells: &CellsInForce) -> Result<bool, String> {
    if let Some(wanted) = &plan.cells {
        cells.check(&wanted.to, &wanted.from)?;
    }
    let changed = edge.apply(plan.to, Some(&plan.from)).map_err(|error| error.to_string())?;
    match plan.cells {
        Some(wanted) => Ok(cells.apply(wanted.to, Some(&wanted.from))? || changed),
        None => Ok(changed),
    }
}
