use std::net::UdpSocket;

use super::{parse_line, SystemDrops};

#[test]
fn a_table_line_yields_inode_and_drop_count() {
    let line = " 2115: 0100007F:14E9 00000000:0000 07 00000000:00000000 00:00000000 00000000     0        0 31742 2 00000000e5b2 17";
    assert_eq!(parse_line(line), Some((31742, 17)));
    assert_eq!(parse_line("   sl  local_address rem_address"), None);
    assert_eq!(parse_line(""), None);
}

/// Drops at a socket that is not read are reported once, and drops of other sockets are not reported.
#[test]
fn drops_are_reported_once_and_only_for_the_given_sockets() {
    let (full, empty) = (UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap());
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    sender.connect(full.local_addr().unwrap()).unwrap();
    let (mut full_drops, mut empty_drops) =
        (SystemDrops::for_sockets([&full]), SystemDrops::for_sockets([&empty]));
    assert_eq!(full_drops.take_new(), 0);
    const SENT: u64 = 20_000;
    (0..SENT).for_each(|_| drop(sender.send(&[0; 200])));
    full.set_nonblocking(true).unwrap();
    let received =
        std::iter::repeat_with(|| full.recv(&mut [0; 256])).take_while(Result::is_ok).count() as u64;
    assert_eq!(full_drops.take_new() + received, SENT);
    assert_eq!(full_drops.take_new(), 0);
    assert_eq!(empty_drops.take_new(), 0);
}
