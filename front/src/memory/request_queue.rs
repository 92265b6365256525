//! The requests that wait for the engine, in turns by address and connection. They wait here and not in the engine's
//! channel, so that one client's requests do not delay those of others, and one that is given up costs the engine
//! nothing.

use std::sync::{Mutex, MutexGuard};

use crossbeam_channel::Sender;
use elmtide::RequestId;

use crate::exchange::{Answer, Incoming, Input};
use crate::memory::fair_queue::{FairQueue, Source};

/// The queue between the threads that receive requests and the engine.
#[derive(Debug)]
pub struct RequestQueue {
    waiting: Mutex<Waiting>,
    inputs: Sender<Input>,
}

#[derive(Debug)]
struct Waiting {
    requests: FairQueue<Incoming>,
    /// The engine has been told that requests wait, and has not found the queue empty since.
    is_signalled: bool,
}

impl RequestQueue {
    /// An empty queue; the engine is woken through `inputs`.
    pub fn new(inputs: Sender<Input>) -> RequestQueue {
        let waiting = Waiting { requests: FairQueue::new(), is_signalled: false };
        RequestQueue { waiting: Mutex::new(waiting), inputs }
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds a request. If the engine is gone, dropping the responder answers it.
    pub fn push(&self, source: Source, incoming: Incoming) {
        let mut waiting = self.lock();
        waiting.requests.push(source, incoming);
        if std::mem::replace(&mut waiting.is_signalled, true) {
            return;
        }
        drop(waiting);
        if self.inputs.send(Input::RequestsWaiting).is_err() {
            while let Some(incoming) = self.pop() {
                drop(incoming);
            }
        }
    }

    /// The next request; `None` if none waits, and the engine is told of the next one.
    pub fn pop(&self) -> Option<Incoming> {
        let mut waiting = self.lock();
        let next = waiting.requests.pop();
        waiting.is_signalled = next.is_some();
        next
    }

    /// Withdraws a request whose client has left.
    pub fn abandon(&self, source: Source, id: RequestId) {
        match self.remove(source, id) {
            Some(incoming) => incoming.responder.discard_unsent(),
            None => drop(self.inputs.send(Input::Abandoned(id))),
        }
    }

    /// Refuses a request for which no client waits any more, if nothing of it has been sent. The last client to leave
    /// need not be the one that it came from.
    pub fn abandon_by_all(&self, id: RequestId) {
        let source = self.lock().requests.source_of(|incoming| incoming.id == id);
        match source.and_then(|source| self.remove(source, id)) {
            Some(incoming) => incoming.responder.answer(Answer::Refused { wait_ms: None }),
            None => drop(self.inputs.send(Input::NoWaiters(id))),
        }
    }

    fn remove(&self, source: Source, id: RequestId) -> Option<Incoming> {
        self.lock().requests.remove(source, |incoming| incoming.id == id)
    }
}
