use std::net::{Ipv4Addr, TcpStream};

use rustix::buffer::spare_capacity;

use super::*;

const TOKEN: u64 = 7;
const PAUSE: Duration = Duration::from_millis(30);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An acceptor registered with an event loop.
struct Fixture {
    epoll: OwnedFd,
    acceptor: Acceptor,
}

impl Fixture {
    fn new() -> Fixture {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).unwrap();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let acceptor = Acceptor::register(&epoll, listener, TOKEN).unwrap();
        Fixture { epoll, acceptor }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.acceptor.local_addr().unwrap()).unwrap()
    }

    /// The number of events that the loop gets within this time.
    fn events_within(&self, time: Duration) -> usize {
        let timeout = Timespec { tv_sec: time.as_secs() as i64, tv_nsec: i64::from(time.subsec_nanos()) };
        let mut events: Vec<epoll::Event> = Vec::with_capacity(8);
        epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&timeout)).unwrap();
        events.len()
    }
}

/// A connection that is pending while none can be accepted does not wake the loop, and is accepted after the pause.
#[test]
fn the_loop_sleeps_while_no_connection_can_be_accepted() {
    let mut fixture = Fixture::new();
    let _client = fixture.connect();
    assert_eq!(fixture.events_within(TEST_TIMEOUT), 1);
    let until = Instant::now() + PAUSE;
    fixture.acceptor.pause(&fixture.epoll, PAUSE);
    assert!(fixture.acceptor.accept(&fixture.epoll).unwrap().is_none());
    while Instant::now() < until {
        let wait = fixture.acceptor.poll_timeout(TEST_TIMEOUT);
        assert!(wait.tv_sec == 0 && wait.tv_nsec <= PAUSE.as_nanos() as i64);
        assert_eq!(fixture.events_within(until.saturating_duration_since(Instant::now())), 0);
    }
    fixture.acceptor.resume(&fixture.epoll);
    assert_eq!(fixture.events_within(TEST_TIMEOUT), 1);
    assert!(fixture.acceptor.accept(&fixture.epoll).unwrap().is_some());
    assert_eq!(fixture.acceptor.poll_timeout(TEST_TIMEOUT).tv_sec, TEST_TIMEOUT.as_secs() as i64);
}

/// A listener that is closed during a pause stays closed, and does not shorten the poll timeout.
#[test]
fn the_end_of_a_pause_does_not_reopen_a_closed_listener() {
    let mut fixture = Fixture::new();
    let _client = fixture.connect();
    fixture.acceptor.pause(&fixture.epoll, Duration::ZERO);
    assert!(fixture.acceptor.close(&fixture.epoll));
    fixture.acceptor.resume(&fixture.epoll);
    assert!(!fixture.acceptor.is_open());
    assert_eq!(fixture.events_within(Duration::ZERO), 0);
    assert_eq!(fixture.acceptor.poll_timeout(TEST_TIMEOUT).tv_sec, TEST_TIMEOUT.as_secs() as i64);
}
