//! The address of the event bus, which a new configuration may change at any time.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::time::Duration;

#[derive(Debug)]
struct AddressState {
    current: SocketAddr,
    /// The connections on which the bus is being read.
    connections: Vec<Weak<TcpStream>>,
}

/// The address of the bus, which a new configuration may change while the bus is being read.
#[derive(Debug)]
pub struct BusAddress {
    state: Mutex<AddressState>,
    moved: Condvar,
}

impl BusAddress {
    /// Creates the address, with no connection registered.
    pub fn new(addr: SocketAddr) -> BusAddress {
        let state = AddressState { current: addr, connections: Vec::new() };
        BusAddress { state: Mutex::new(state), moved: Condvar::new() }
    }

    fn state(&self) -> MutexGuard<'_, AddressState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The current address.
    pub fn current(&self) -> SocketAddr {
        self.state().current
    }

    /// Registers a connection on which the bus is read, until the stream is dropped. Returns false if the address has
    /// changed since it was obtained.
    pub fn register(&self, addr: SocketAddr, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        state.connections.retain(|connection| connection.strong_count() > 0);
        state.connections.push(Arc::downgrade(stream));
        state.current == addr
    }

    /// Waits for the timeout, or until the address changes.
    pub fn wait_until_moved(&self, addr: SocketAddr, timeout: Duration) {
        let is_unchanged = |state: &mut AddressState| state.current == addr;
        drop(self.moved.wait_timeout_while(self.state(), timeout, is_unchanged));
    }

    /// Changes the address and ends the reads from the old one immediately. Returns false if the address is unchanged.
    pub fn move_to(&self, addr: SocketAddr) -> bool {
        let mut state = self.state();
        if state.current == addr {
            return false;
        }
        state.current = addr;
        for stream in state.connections.drain(..).filter_map(|connection| connection.upgrade()) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.moved.notify_all();
        true
    }
}
