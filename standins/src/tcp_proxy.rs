//! A TCP proxy with faults, between two parties on loopback: it delays, splits, throttles, falls silent and resets.
//!
//! Silence holds what comes until it is over, as a partition does with a connection that outlives it.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use socket2::SockRef;

/// How often a silent proxy checks whether it may go on.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 64 * 1024;

/// What the proxy does to every connection.
#[derive(Clone, Copy, Debug)]
pub struct LinkFaults {
    /// Bytes are passed on so much later.
    pub delay: Duration,
    /// Bytes are passed on in pieces of at most so many.
    pub max_piece: usize,
    /// Bytes a second in each direction; 0 for no limit.
    pub bytes_per_second: usize,
    /// Nothing is passed on, and no new connection comes up.
    pub is_silent: bool,
}

impl Default for LinkFaults {
    fn default() -> LinkFaults {
        LinkFaults { delay: Duration::ZERO, max_piece: BUFFER_BYTES, bytes_per_second: 0, is_silent: false }
    }
}

#[derive(Debug)]
struct Shared {
    /// Where new connections lead.
    to: Mutex<SocketAddr>,
    faults: Mutex<LinkFaults>,
    /// Both ends of each connection.
    open: Mutex<Vec<(TcpStream, TcpStream)>>,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct TcpProxy(Arc<Shared>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl TcpProxy {
    /// Passes what comes to the listener on to an address, and back.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub fn start(listener: TcpListener, to: SocketAddr) -> io::Result<TcpProxy> {
        let shared =
            Arc::new(Shared { to: Mutex::new(to), faults: Mutex::default(), open: Mutex::default() });
        let proxy = TcpProxy(shared.clone());
        let accept = move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || drop(connect(stream, &shared)));
            }
        };
        std::thread::Builder::new().spawn(accept)?;
        Ok(proxy)
    }

    /// From now on the proxy does this.
    pub fn set(&self, faults: LinkFaults) {
        *lock(&self.0.faults) = faults;
    }

    /// New connections lead to another address, as when a new process takes the address of one that has gone.
    pub fn retarget(&self, to: SocketAddr) {
        *lock(&self.0.to) = to;
    }

    /// Resets all connections that are open.
    pub fn reset_all(&self) {
        for (client, server) in lock(&self.0.open).drain(..) {
            for stream in [client, server] {
                // A close with no time to linger is a reset.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Waits until the proxy is not silent.
fn wait_for_link(shared: &Shared) -> LinkFaults {
    loop {
        let faults = *lock(&shared.faults);
        if !faults.is_silent {
            return faults;
        }
        std::thread::sleep(SILENCE_CHECK_INTERVAL);
    }
}

fn connect(client: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    wait_for_link(shared);
    let to = *lock(&shared.to);
    let server = TcpStream::connect(to)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    lock(&shared.open).push((client.try_clone()?, server.try_clone()?));
    let (from_server, to_client) = (server.try_clone()?, client.try_clone()?);
    let back = shared.clone();
    std::thread::spawn(move || pump(from_server, to_client, &back));
    pump(client, server, shared);
    Ok(())
}

/// Passes bytes on in one direction until either side ends.
fn pump(mut from: TcpStream, mut to: TcpStream, shared: &Shared) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let got = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(got) => got,
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        };
        let came = Instant::now();
        let faults = wait_for_link(shared);
        std::thread::sleep((came + faults.delay).saturating_duration_since(Instant::now()));
        for piece in buffer[..got].chunks(faults.max_piece.max(1)) {
            if to.write_all(piece).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
            if faults.bytes_per_second > 0 {
                std::thread::sleep(Duration::from_secs_f64(
                    piece.len() as f64 / faults.bytes_per_second as f64,
                ));
            }
        }
    }
    wait_for_link(shared);
    let _ = to.shutdown(Shutdown::Write);
}
