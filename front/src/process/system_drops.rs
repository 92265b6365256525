//! The number of datagrams that the system dropped because the queues of UDP sockets were full, from `/proc/net/udp`
//! (`proc(5)`).
//!
//! The system counts drops per socket and identifies a socket by its inode. If the files cannot be read, nothing is
//! counted.

use std::collections::{BTreeMap, BTreeSet};
use std::net::UdpSocket;
use std::os::fd::AsRawFd;

/// The system's tables of UDP sockets, for IPv4 and IPv6.
const TABLES: [&str; 2] = ["/proc/net/udp", "/proc/net/udp6"];
/// Index of the inode's field in a table line.
const INODE_FIELD: usize = 9;

/// Counts the drops of a fixed set of sockets.
#[derive(Debug, Default)]
pub struct SystemDrops {
    inodes: BTreeSet<u64>,
    /// The drop count last read for each socket's inode.
    last_counts: BTreeMap<u64, u64>,
}

impl SystemDrops {
    /// Starts counting for these sockets.
    pub fn for_sockets<'a>(sockets: impl IntoIterator<Item = &'a UdpSocket>) -> SystemDrops {
        SystemDrops { inodes: sockets.into_iter().filter_map(inode).collect(), last_counts: BTreeMap::new() }
    }

    /// Datagrams dropped since the last call. Reads a line for each of the machine's UDP sockets.
    pub fn take_new(&mut self) -> u64 {
        let tables = TABLES.iter().filter_map(|path| std::fs::read_to_string(path).ok());
        tables.map(|table| self.take_new_from_table(&table)).sum()
    }

    fn take_new_from_table(&mut self, table: &str) -> u64 {
        let mut new = 0;
        for (inode, drops) in table.lines().skip(1).filter_map(parse_line) {
            if self.inodes.contains(&inode) {
                let before = self.last_counts.insert(inode, drops).unwrap_or(0);
                new += drops.saturating_sub(before);
            }
        }
        new
    }
}

/// The socket's inode, from the descriptor's link target `socket:[INODE]`.
fn inode(socket: &UdpSocket) -> Option<u64> {
    let link = std::fs::read_link(format!("/proc/self/fd/{}", socket.as_raw_fd())).ok()?;
    link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
}

/// The inode and the drop count of one table line; the drop count is the last field.
fn parse_line(line: &str) -> Option<(u64, u64)> {
    let inode = line.split_whitespace().nth(INODE_FIELD)?.parse().ok()?;
    let drops = line.split_whitespace().last()?.parse().ok()?;
    Some((inode, drops))
}

#[cfg(test)]
mod tests;
