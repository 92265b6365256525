use std::net::{Ipv4Addr, TcpStream};

use rustix::buffer::spare_capacity;

use super::*;

const NUMBER: u64 = 7;
const PAUSE: Duration = Duration::from_millis(30);
const PATIENCE: Duration = Duration::from_secs(20);

struct Scene {
    epoll: OwnedFd,
    acceptor: Acceptor,
}

impl Scene {
    fn new() -> Scene {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).unwrap();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let acceptor = Acceptor::register(&epoll, listener, NUMBER).unwrap();
        Scene { epoll, acceptor }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.acceptor.local_addr().unwrap()).unwrap()
    }

    /// How many events the loop would get within this time.
    fn events_within(&self, time: Duration) -> usize {
        let timeout = Timespec { tv_sec: time.as_secs() as i64, tv_nsec: i64::from(time.subsec_nanos()) };
        let mut events: Vec<epoll::Event> = Vec::with_capacity(8);
        epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&timeout)).unwrap();
        events.len()
    }
}

/// A connection that waits while none can be accepted does not wake the loop, and is accepted after the pause.
#[test]
fn a_loop_rests_while_no_connection_can_be_accepted() {
    let mut scene = Scene::new();
    let _client = scene.connect();
    assert_eq!(scene.events_within(PATIENCE), 1);
    let until = Instant::now() + PAUSE;
    scene.acceptor.pause(&scene.epoll, PAUSE);
    assert!(scene.acceptor.accept(&scene.epoll).unwrap().is_none());
    while Instant::now() < until {
        let wait = scene.acceptor.wait_at_most(PATIENCE);
        assert!(wait.tv_sec == 0 && wait.tv_nsec <= PAUSE.as_nanos() as i64);
        assert_eq!(scene.events_within(until.saturating_duration_since(Instant::now())), 0);
    }
    scene.acceptor.resume(&scene.epoll);
    assert_eq!(scene.events_within(PATIENCE), 1);
    assert!(scene.acceptor.accept(&scene.epoll).unwrap().is_some());
    assert_eq!(scene.acceptor.wait_at_most(PATIENCE).tv_sec, PATIENCE.as_secs() as i64);
}

/// Closed in the middle of a pause it stays closed, and shortens no wait.
#[test]
fn a_pause_does_not_open_what_is_closed() {
    let mut scene = Scene::new();
    let _client = scene.connect();
    scene.acceptor.pause(&scene.epoll, Duration::ZERO);
    assert!(scene.acceptor.close(&scene.epoll));
    scene.acceptor.resume(&scene.epoll);
    assert!(!scene.acceptor.is_open());
    assert_eq!(scene.events_within(Duration::ZERO), 0);
    assert_eq!(scene.acceptor.wait_at_most(PATIENCE).tv_sec, PATIENCE.as_secs() as i64);
}
