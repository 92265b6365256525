//! The store of this front, which recovers from temporary disk failures.
//!
//! A store is closed when a write fails. It is rewritten and reopened as soon as that succeeds; until then nothing is
//! reported as stored. Attempts are made on a separate thread, since a failing disk may also be slow.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, TryRecvError};
use elmtide_fleet::RecoveredState;
use elmtide_store::{Store, StoreError};

use crate::process::backoff::Backoff;
use crate::process::spawn_with_default_stack;

/// Pauses between attempts to rewrite a failed store: the first and the longest.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Why nothing was stored.
#[derive(Debug, thiserror::Error)]
pub enum NotStored {
    /// This front has no store.
    #[error("this front has no store")]
    NoStore,
    /// An earlier write has failed, and the store has not been rewritten since.
    #[error("the store has failed and has not been rewritten yet")]
    StoreFailed,
    /// The write has failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// The result of an attempt to rewrite a failed store.
type RewriteResult = Result<(Store, RecoveredState), StoreError>;

/// The state of this front's store.
enum State {
    Absent,
    Open(Store),
    Failed(FailedStore),
}

struct FailedStore {
    path: PathBuf,
    backoff: Backoff,
    retry_at: Instant,
    /// The result of the attempt in progress.
    attempt: Option<Receiver<RewriteResult>>,
}

impl FailedStore {
    fn new(path: PathBuf, now: Instant) -> FailedStore {
        let mut backoff = Backoff::new(RETRY_PAUSE.0, RETRY_PAUSE.1);
        let retry_at = now + backoff.pause();
        FailedStore { path, backoff, retry_at, attempt: None }
    }

    fn begin_attempt(&mut self, installation: &str) -> std::io::Result<()> {
        let (result_sender, attempt) = bounded(1);
        let (path, installation) = (self.path.clone(), installation.to_owned());
        let rewrite = move || {
            let _ = result_sender.send(Store::rewrite(&path, &installation));
        };
        spawn_with_default_stack("store-recovery", rewrite)?;
        self.attempt = Some(attempt);
        Ok(())
    }

    /// Returns the store once an attempt has succeeded, and starts the next attempt when it is due.
    fn poll(&mut self, now: Instant, installation: &str) -> Option<(Store, RecoveredState)> {
        let Some(attempt) = &self.attempt else {
            if now >= self.retry_at && self.begin_attempt(installation).is_err() {
                self.retry_at = now + self.backoff.pause();
            }
            return None;
        };
        let error = match attempt.try_recv() {
            Ok(Ok(rewritten)) => return Some(rewritten),
            Err(TryRecvError::Empty) => return None,
            Ok(Err(error)) => Some(error),
            // The thread panicked.
            Err(TryRecvError::Disconnected) => None,
        };
        let reason = error.map_or_else(|| "a panic".to_owned(), |error| error.to_string());
        tracing::warn!(reason, path = %self.path.display(), "fleet: the store could not be rewritten");
        self.attempt = None;
        self.retry_at = now + self.backoff.pause();
        None
    }
}

/// The store of this front: absent, open, or failed and to be rewritten.
pub struct NodeStore {
    state: State,
    installation: String,
}

impl NodeStore {
    /// Wraps a store that has just been opened; `None` if this front has no store.
    pub fn new(store: Option<Store>, installation: String) -> NodeStore {
        NodeStore { state: store.map_or(State::Absent, State::Open), installation }
    }

    /// Whether this front is configured to have a store.
    pub fn is_configured(&self) -> bool {
        !matches!(self.state, State::Absent)
    }

    /// Writes to the store, and closes it if that fails.
    ///
    /// # Errors
    /// Why nothing was stored.
    pub fn write<T>(
        &mut self,
        now: Instant,
        write: impl FnOnce(&Store) -> Result<T, StoreError>,
    ) -> Result<T, NotStored> {
        let store = match &self.state {
            State::Absent => return Err(NotStored::NoStore),
            State::Failed(_) => return Err(NotStored::StoreFailed),
            State::Open(store) => store,
        };
        match write(store) {
            Ok(written) => Ok(written),
            Err(error) => {
                self.state = State::Failed(FailedStore::new(store.path().to_owned(), now));
                Err(error.into())
            }
        }
    }

    /// Drives the attempts to rewrite a failed store. Returns the state for a new node when one has succeeded.
    pub fn recover(&mut self, now: Instant) -> Option<RecoveredState> {
        let State::Failed(failed) = &mut self.state else { return None };
        let (store, recovered) = failed.poll(now, &self.installation)?;
        self.state = State::Open(store);
        Some(recovered)
    }
}
