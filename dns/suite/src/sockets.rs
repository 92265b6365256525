//! A running name server as a target. Silence is seen without waiting for it: a question that is always answered is
//! sent behind, and its answer comes first.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use crate::{Target, Way};

const PATIENCE: Duration = Duration::from_secs(10);
/// The id of the question that is sent behind.
const SENTINEL: [u8; 2] = [0xF1, 0x7E];

pub struct Sockets {
    at: SocketAddr,
    udp: UdpSocket,
    /// The zone's SOA is asked for.
    sentinel: Vec<u8>,
}

fn frame(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u16).to_be_bytes()[..], message].concat()
}

impl Sockets {
    /// The zone in wire form.
    pub fn new(at: SocketAddr, zone: &[u8]) -> std::io::Result<Sockets> {
        let udp = UdpSocket::bind(if at.is_ipv4() { "127.0.0.1:0" } else { "[::1]:0" })?;
        udp.connect(at)?;
        udp.set_read_timeout(Some(PATIENCE))?;
        let head = [SENTINEL[0], SENTINEL[1], 0, 0, 0, 1, 0, 0, 0, 0, 0, 0];
        Ok(Sockets { at, udp, sentinel: [&head, zone, &[0, 6, 0, 1]].concat() })
    }

    fn udp(&mut self, message: &[u8]) -> std::io::Result<Vec<Vec<u8>>> {
        self.udp.send(message)?;
        self.udp.send(&self.sentinel)?;
        let (mut answers, mut bytes) = (Vec::new(), [0; 65_536]);
        loop {
            let got = self.udp.recv(&mut bytes)?;
            if bytes[..2] == SENTINEL {
                return Ok(answers);
            }
            answers.push(bytes[..got].to_vec());
        }
    }

    /// The sentinel goes on a connection of its own: what may not be answered ends one.
    fn tcp(&mut self, message: &[u8], many: bool) -> std::io::Result<Vec<Vec<u8>>> {
        let mut stream = TcpStream::connect(self.at)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(&frame(message))?;
        // With the end of the questions the server ends when all is answered.
        stream.shutdown(std::net::Shutdown::Write)?;
        let mut all = Vec::new();
        let read = stream.read_to_end(&mut all);
        if let Err(why) = read {
            if why.kind() != std::io::ErrorKind::ConnectionReset {
                return Err(why);
            }
        }
        let (mut answers, mut rest) = (Vec::new(), &all[..]);
        while let [a, b, tail @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*a, *b])).min(tail.len());
            answers.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        let _ = many;
        Ok(answers)
    }
}

impl Target for Sockets {
    fn ask(&mut self, way: Way, message: &[u8], many: bool) -> Vec<Vec<u8>> {
        let asked = match way {
            Way::Udp => self.udp(message),
            Way::Tcp => self.tcp(message, many),
        };
        // A server that can't be reached is silent to every case, which tells it.
        asked.unwrap_or_default()
    }

    fn serial(&mut self) -> u32 {
        let sentinel = self.sentinel.clone();
        let Ok(answers) = self.tcp(&sentinel, false) else { return 0 };
        let Some(bytes) = answers.first() else { return 0 };
        // The numbers are the last 20 bytes of an SOA.
        let at = bytes.len().saturating_sub(20);
        bytes.get(at..at + 4).map_or(0, |n| u32::from_be_bytes([n[0], n[1], n[2], n[3]]))
    }
}
