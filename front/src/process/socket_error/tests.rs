use super::*;
use rstest::rstest;

#[rstest]
#[case::interrupted(Call::Accept, Errno::INTR, Remedy::RetryNow)]
#[case::no_pending_connection(Call::Accept, Errno::AGAIN, Remedy::WaitUntilReady)]
#[case::client_left(Call::Accept, Errno::CONNABORTED, Remedy::RetryNow)]
#[case::pending_network_error(Call::Accept, Errno::HOSTUNREACH, Remedy::RetryNow)]
#[case::process_out_of_descriptors(Call::Accept, Errno::MFILE, Remedy::BackOff)]
#[case::system_out_of_descriptors(Call::Accept, Errno::NFILE, Remedy::BackOff)]
#[case::out_of_memory(Call::Accept, Errno::NOMEM, Remedy::BackOff)]
#[case::not_a_socket(Call::Accept, Errno::NOTSOCK, Remedy::GiveUp)]
#[case::address_in_use(Call::Bind, Errno::ADDRINUSE, Remedy::BackOff)]
#[case::address_not_available_yet(Call::Bind, Errno::ADDRNOTAVAIL, Remedy::BackOff)]
#[case::not_allowed(Call::Bind, Errno::ACCESS, Remedy::GiveUp)]
#[case::refused(Call::Connect, Errno::CONNREFUSED, Remedy::DropConnection)]
#[case::unreachable(Call::Connect, Errno::NETUNREACH, Remedy::DropConnection)]
#[case::timed_out(Call::Connect, Errno::TIMEDOUT, Remedy::DropConnection)]
#[case::no_port_left(Call::Connect, Errno::ADDRNOTAVAIL, Remedy::DropConnection)]
#[case::no_buffers(Call::Connect, Errno::NOBUFS, Remedy::BackOff)]
#[case::no_datagram(Call::ReceiveDatagram, Errno::AGAIN, Remedy::WaitUntilReady)]
#[case::peer_not_listening(Call::ReceiveDatagram, Errno::CONNREFUSED, Remedy::RetryNow)]
#[case::no_memory_for_a_datagram(Call::ReceiveDatagram, Errno::NOMEM, Remedy::BackOff)]
#[case::not_a_datagram_socket(Call::ReceiveDatagram, Errno::NOTSOCK, Remedy::GiveUp)]
#[case::invalid_peer(Call::Connect, Errno::INVAL, Remedy::GiveUp)]
fn each_documented_error_maps_to_its_remedy(
    #[case] call: Call,
    #[case] errno: Errno,
    #[case] expected: Remedy,
) {
    assert_eq!(remedy(call, &errno.into()), expected);
}

/// `connect_timeout` reports its timeout as an error without an error number.
#[test]
fn a_timeout_of_the_standard_library_drops_the_connection() {
    let error = io::Error::new(ErrorKind::TimedOut, "connection timed out");
    assert_eq!(remedy(Call::Connect, &error), Remedy::DropConnection);
}
