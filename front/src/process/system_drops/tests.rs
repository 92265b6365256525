use std::net::UdpSocket;

use super::{parse_line, SystemDrops};

#[test]
fn a_line_tells_inode_and_drops() {
    let line = " 2115: 0100007F:14E9 00000000:0000 07 00000000:00000000 00:00000000 00000000     0        0 31742 2 00000000e5b2 17";
    assert_eq!(parse_line(line), Some((31742, 17)));
    assert_eq!(parse_line("   sl  local_address rem_address"), None);
    assert_eq!(parse_line(""), None);
}

/// What the system drops at a socket that nobody reads is told once, and another socket's drops are not.
#[test]
fn drops_are_told_once_and_of_the_sockets_that_are_followed() {
    let (full, empty) = (UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap());
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    sender.connect(full.local_addr().unwrap()).unwrap();
    let (mut of_full, mut of_empty) = (SystemDrops::of([&full]), SystemDrops::of([&empty]));
    assert_eq!(of_full.take_new(), 0);
    const SENT: u64 = 20_000;
    (0..SENT).for_each(|_| drop(sender.send(&[0; 200])));
    full.set_nonblocking(true).unwrap();
    let kept = std::iter::repeat_with(|| full.recv(&mut [0; 256])).take_while(Result::is_ok).count() as u64;
    assert_eq!(of_full.take_new() + kept, SENT);
    assert_eq!(of_full.take_new(), 0);
    assert_eq!(of_empty.take_new(), 0);
}
