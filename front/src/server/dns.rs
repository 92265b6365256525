//! The authoritative name server, on UDP and TCP. What it answers names addresses of ours and no others.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use crate::lifecycle::edge::InForce;
use crate::lifecycle::spawn;
use crate::wire::dns::{answer, Transport};

/// Connections of clients that ask over TCP.
const CONNECTIONS: usize = 32;
const IDLE: Duration = Duration::from_secs(5);
/// So often a waiting thread looks whether it is to stop.
const LOOK: Duration = Duration::from_millis(200);

pub struct DnsSockets {
    udp: UdpSocket,
    tcp: TcpListener,
}

impl DnsSockets {
    /// Both on one port; with port 0 any that both can have.
    pub fn bind(at: SocketAddr) -> io::Result<DnsSockets> {
        let mut left = 8;
        loop {
            let tcp = TcpListener::bind(at)?;
            match UdpSocket::bind(tcp.local_addr()?) {
                Ok(udp) => return Ok(DnsSockets { udp, tcp }),
                Err(why) if at.port() != 0 || left == 0 => return Err(why),
                Err(_) => left -= 1,
            }
        }
    }

    pub fn at(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    pub fn start(self, in_force: &Arc<InForce>, stop: &Arc<AtomicBool>) -> io::Result<()> {
        let DnsSockets { udp, tcp } = self;
        udp.set_read_timeout(Some(LOOK))?;
        let turn = Arc::new(AtomicUsize::new(0));
        let (force, stopped, turns) = (in_force.clone(), stop.clone(), turn.clone());
        spawn("dns-udp", move || serve_udp(&udp, &force, &stopped, &turns))?;
        let (force, stopped) = (in_force.clone(), stop.clone());
        spawn("dns-tcp", move || accept(&tcp, &force, &stopped, &turn)).map(drop)
    }
}

fn serve_udp(socket: &UdpSocket, in_force: &InForce, stop: &AtomicBool, turn: &AtomicUsize) {
    let mut bytes = [0; 4096];
    while !stop.load(Relaxed) {
        // A time-out is the moment to look at `stop`; an error is one client's (its port was closed).
        let Ok((got, client)) = socket.recv_from(&mut bytes) else { continue };
        let now = in_force.now();
        if let Some(reply) = answer(&bytes[..got], &now.1, Transport::Udp, turn.fetch_add(1, Relaxed)) {
            let _ = socket.send_to(&reply, client);
        }
    }
}

fn accept(listener: &TcpListener, in_force: &Arc<InForce>, stop: &Arc<AtomicBool>, turn: &Arc<AtomicUsize>) {
    let live = Arc::new(());
    for stream in listener.incoming() {
        if stop.load(Relaxed) {
            return;
        }
        let Ok(stream) = stream else {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        };
        if Arc::strong_count(&live) > CONNECTIONS {
            continue;
        }
        let (in_force, stop, turn, held) = (in_force.clone(), stop.clone(), turn.clone(), live.clone());
        let served = spawn("dns-client", move || {
            let _held = held;
            // It ends with an error when the client closes or is idle for long: that is how these end.
            let _ = serve_tcp(stream, &in_force, &stop, &turn);
        });
        if let Err(why) = served {
            eprintln!("dns: no thread for a connection: {why}");
        }
    }
}

fn serve_tcp(
    mut stream: TcpStream,
    in_force: &InForce,
    stop: &AtomicBool,
    turn: &AtomicUsize,
) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE))?;
    stream.set_write_timeout(Some(IDLE))?;
    while !stop.load(Relaxed) {
        let mut length = [0; 2];
        stream.read_exact(&mut length)?;
        let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut bytes)?;
        let now = in_force.now();
        let Some(reply) = answer(&bytes, &now.1, Transport::Tcp, turn.fetch_add(1, Relaxed)) else {
            return Ok(());
        };
        let mut framed = (reply.len() as u16).to_be_bytes().to_vec();
        framed.extend_from_slice(&reply);
        stream.write_all(&framed)?;
    }
    Ok(())
}
