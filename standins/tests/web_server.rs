//! What a web server's stand-in records, which checkers go by.

use std::net::TcpListener;

use elmtide_standins::until;
use elmtide_standins::web_server::{RequestEnd, WebServerConnection};

/// The front has ended the connection, and its client has seen that, when a request is sent on it: it is recorded as one whose connection
/// was lost.
///
/// It was recorded as one that never ended, and the soak took it for a request without an answer (beside load, seeds 4 and 6: the
/// connection ended 36 us before the request was written). The end of the connection ends what is open; what was sent a moment later was
/// entered as open after that.
#[test]
fn a_request_on_an_ended_connection_has_lost_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = WebServerConnection::open(listener.local_addr().unwrap(), 1).unwrap();
    drop(listener.accept().unwrap());
    assert!(until(|| connection.has_ended()));
    let _ = connection.send("small-files", 800, b"");
    assert_eq!(connection.open_requests(), 0);
    let record = connection.record();
    assert!(record.ended.is_some());
    let end = record.requests[0].end.map(|(_, end)| end);
    assert!(matches!(end, Some(RequestEnd::ConnectionLost)), "{end:?}");
}
