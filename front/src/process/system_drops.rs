//! How many datagrams the system has dropped for want of room in the queues of UDP sockets, from `/proc/net/udp` (`proc(5)`).
//!
//! The system counts them for each socket, and tells a socket by its inode. Where the files can't be read nothing is counted.

use std::collections::{BTreeMap, BTreeSet};
use std::net::UdpSocket;
use std::os::fd::AsRawFd;

/// The system's tables of UDP sockets, of IPv4 and IPv6.
const TABLES: [&str; 2] = ["/proc/net/udp", "/proc/net/udp6"];
/// The place of the inode in a line of a table.
const INODE_FIELD: usize = 9;

/// Follows the drops of a fixed set of sockets.
#[derive(Debug, Default)]
pub struct SystemDrops {
    inodes: BTreeSet<u64>,
    /// What was last read of each socket.
    seen: BTreeMap<u64, u64>,
}

impl SystemDrops {
    /// Follows these sockets.
    pub fn of<'a>(sockets: impl IntoIterator<Item = &'a UdpSocket>) -> SystemDrops {
        SystemDrops { inodes: sockets.into_iter().filter_map(inode).collect(), seen: BTreeMap::new() }
    }

    /// Datagrams dropped since the last call. It reads a line for each UDP socket of the machine.
    pub fn take_new(&mut self) -> u64 {
        let tables = TABLES.iter().filter_map(|path| std::fs::read_to_string(path).ok());
        tables.map(|table| self.take_new_of(&table)).sum()
    }

    fn take_new_of(&mut self, table: &str) -> u64 {
        let mut new = 0;
        for (inode, drops) in table.lines().skip(1).filter_map(parse_line) {
            if self.inodes.contains(&inode) {
                let before = self.seen.insert(inode, drops).unwrap_or(0);
                new += drops.saturating_sub(before);
            }
        }
        new
    }
}

/// The system calls a socket `socket:[INODE]`.
fn inode(socket: &UdpSocket) -> Option<u64> {
    let link = std::fs::read_link(format!("/proc/self/fd/{}", socket.as_raw_fd())).ok()?;
    link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
}

/// The inode and the drops of one socket; the drops are the last field.
fn parse_line(line: &str) -> Option<(u64, u64)> {
    let inode = line.split_whitespace().nth(INODE_FIELD)?.parse().ok()?;
    let drops = line.split_whitespace().last()?.parse().ok()?;
    Some((inode, drops))
}

#[cfg(test)]
mod tests;
