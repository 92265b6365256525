//! Follows names: one thread asks resolvers where the cache nodes of all names are, again and again, and tells the
//! engine. What is asked, believed and done is decided in `elmtide_dns::stub`; here are its sockets.
//!
//! An address that a believed answer no longer holds is draining from that moment; no failure, silence or lie of a
//! resolver brings it back.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream, UdpSocket};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{unbounded, Receiver, Sender};
use elmtide_dns::stub::{AskId, Follow, Limits, News, Output, Resolver};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::client::bus::Names;
use crate::edge::config::Upstream;
use crate::edge::in_force::{InForce, State};
use crate::exchange::{Input, ListSource};
use crate::memory::resolved::Resolved;
use crate::process::{clock, spawn};

/// A change of what is in force is seen so soon, and the end of a question over TCP.
const LOOK: Duration = Duration::from_millis(100);
const LOOK_TCP: Duration = Duration::from_millis(5);
/// A question over TCP takes so long at most, connecting and each read of it.
const TCP: Duration = Duration::from_millis(300);
/// Questions over TCP under way.
const TCP_ASKS: usize = 16;

/// What has become of a question over TCP.
type StreamEnd = (AskId, Option<Vec<u8>>);

struct Name {
    upstream: Upstream,
    follow: Follow,
    told_bad: bool,
}

pub struct Client {
    names: Names,
    inputs: Sender<Input>,
    in_force: Arc<InForce>,
    resolved: Resolved,
    followed: Vec<Name>,
    resolver: Resolver,
    servers: Vec<SocketAddr>,
    sockets: BTreeMap<AskId, UdpSocket>,
    /// Ends of questions over TCP.
    streams: (Sender<StreamEnd>, Receiver<StreamEnd>),
    streams_out: usize,
    seed: u64,
}

impl Client {
    pub fn new(names: Names, inputs: Sender<Input>, in_force: Arc<InForce>, seed: u64) -> Client {
        Client {
            names,
            inputs,
            in_force,
            resolved: Resolved::default(),
            followed: Vec::new(),
            resolver: Resolver::new(&[], Limits::default(), seed),
            servers: Vec::new(),
            sockets: BTreeMap::new(),
            streams: unbounded(),
            streams_out: 0,
            seed,
        }
    }

    /// Follows for as long as the program runs.
    pub fn start(mut self) -> std::io::Result<()> {
        let run = move || loop {
            // A panic must not end the hearing of drains for good.
            if catch_unwind(AssertUnwindSafe(|| self.turn())).is_err() {
                eprintln!("resolver: a panic; all names are asked for anew");
                self.sockets.clear();
                self.servers.clear();
                std::thread::sleep(LOOK);
            }
        };
        spawn("resolver", run).map(drop)
    }

    fn turn(&mut self) {
        let state = self.in_force.now();
        self.take_over(&state);
        let now = clock::steady_ms();
        self.resolver.tick(now);
        for name in &mut self.followed {
            name.follow.tick(&mut self.resolver, now);
        }
        self.carry_out(now);
        let follow = self.followed.iter().filter_map(|n| n.follow.due());
        let due = follow.chain(self.resolver.due()).fold(f64::INFINITY, f64::min);
        let most = if self.streams_out > 0 { LOOK_TCP } else { LOOK };
        let wait = Duration::from_secs_f64(((due - now) / 1000.0).clamp(0.0, most.as_secs_f64()));
        self.receive(wait);
    }

    /// Names and servers as they are in force now.
    fn take_over(&mut self, state: &State) {
        let servers = state.config.resolvers();
        if servers != self.servers {
            self.resolver =
                Resolver::new(&servers, Limits::default(), self.seed ^ clock::steady_ms().to_bits());
            self.servers = servers;
            self.sockets.clear();
            self.followed.iter_mut().for_each(|n| n.follow.servers_changed());
        }
        let upstreams = &state.config.upstream;
        if upstreams.iter().eq(self.followed.iter().map(|n| &n.upstream)) {
            return;
        }
        let (keep, gone): (Vec<Name>, Vec<Name>) =
            std::mem::take(&mut self.followed).into_iter().partition(|n| upstreams.contains(&n.upstream));
        for name in gone {
            let _ = self.tell(&name.upstream, &[]);
        }
        let mut keep: Vec<Option<Name>> = keep.into_iter().map(Some).collect();
        for upstream in upstreams {
            let old = keep.iter_mut().find(|n| n.as_ref().is_some_and(|n| n.upstream == *upstream));
            let name = old.and_then(Option::take).or_else(|| {
                // The file has been checked: what can't be followed does not come into force.
                let follow = Follow::new(upstream.source().ok()?);
                Some(Name { upstream: upstream.clone(), follow, told_bad: false })
            });
            self.followed.extend(name);
        }
    }

    /// Does what the machine has decided.
    fn carry_out(&mut self, now: f64) {
        while let Some(output) = self.resolver.poll() {
            match output {
                Output::Udp { ask, to, bytes } => match send_udp(to, &bytes) {
                    Ok(socket) => drop(self.sockets.insert(ask, socket)),
                    Err(_) => self.resolver.unreachable(ask, now),
                },
                Output::Tcp { ask, to, bytes } => self.send_tcp(ask, to, bytes, now),
                Output::Forget(ask) => drop(self.sockets.remove(&ask)),
                Output::Done { lookup, result } => {
                    for place in 0..self.followed.len() {
                        let follow = &mut self.followed[place].follow;
                        if let Some(news) = follow.done(&mut self.resolver, lookup, &result, now) {
                            self.news(place, news);
                            break;
                        }
                    }
                }
            }
        }
    }

    fn news(&mut self, place: usize, news: News) {
        let shown = self.followed[place].follow.shown();
        if let Some(why) = news.failing {
            eprintln!("resolver: {shown}: {why}; what is known stays, what drains goes on draining");
        }
        if news.recovered {
            eprintln!("resolver: {shown} is answered again");
        }
        if let Some(server) = news.strange.and_then(|s| self.resolver.server(s)) {
            eprintln!("resolver: {shown}: {server} tells what nobody else has told; not believed for 30 s");
        }
        if news.changed {
            let endpoints = self.followed[place].follow.endpoints();
            let upstream = self.followed[place].upstream.clone();
            if let Err(why) = self.tell(&upstream, &endpoints) {
                if !std::mem::replace(&mut self.followed[place].told_bad, true) {
                    eprintln!("resolver: {shown} can't be used: {why} is not in the settings");
                }
            }
        }
    }

    fn tell(&mut self, upstream: &Upstream, endpoints: &[elmtide_dns::stub::Endpoint]) -> Result<(), String> {
        let zone = self.names.zone(&upstream.zone).ok_or_else(|| format!("zone {:?}", upstream.zone))?;
        let kind = self.names.kind(&upstream.kind).ok_or_else(|| format!("kind {:?}", upstream.kind))?;
        if let Some(gone) = self.resolved.update(upstream, zone, kind, endpoints) {
            for at in gone {
                eprintln!("resolver: {}/{at} is draining: no answer for its name holds it", upstream.name);
            }
            let (members_update, event) = self.resolved.told();
            let _ =
                self.inputs.send(Input::MembersListed { from: ListSource::Resolver, members_update, event });
        }
        Ok(())
    }

    /// Waits for answers, and takes in those that are there.
    fn receive(&mut self, wait: Duration) {
        let timeout = Timespec { tv_sec: 0, tv_nsec: i64::from(wait.subsec_nanos()) };
        let asks: Vec<AskId> = self.sockets.keys().copied().collect();
        let mut fds: Vec<PollFd<'_>> = self.sockets.values().map(|s| PollFd::new(s, PollFlags::IN)).collect();
        let _ = poll(&mut fds, Some(&timeout));
        let ready: Vec<bool> = fds.iter().map(|fd| !fd.revents().is_empty()).collect();
        drop(fds);
        let now = clock::steady_ms();
        let mut bytes = vec![0; 4096];
        for ask in asks.into_iter().zip(ready).filter(|(_, ready)| *ready).map(|(ask, _)| ask) {
            // A few at a time: who floods one socket must not keep the others waiting.
            for _ in 0..8 {
                let Some(socket) = self.sockets.get(&ask) else { break };
                match socket.recv(&mut bytes) {
                    Ok(got) => self.resolver.datagram(ask, &bytes[..got], now),
                    Err(why) if why.kind() == std::io::ErrorKind::WouldBlock => break,
                    Err(_) => {
                        self.resolver.unreachable(ask, now);
                        break;
                    }
                }
                self.carry_out(now);
            }
        }
        while let Ok((ask, message)) = self.streams.1.try_recv() {
            self.streams_out -= 1;
            self.resolver.stream(ask, message.as_deref(), now);
        }
        self.carry_out(now);
    }

    fn send_tcp(&mut self, ask: AskId, to: SocketAddr, bytes: Vec<u8>, now: f64) {
        if self.streams_out >= TCP_ASKS {
            return self.resolver.stream(ask, None, now);
        }
        let ends = self.streams.0.clone();
        let run = move || {
            let message = catch_unwind(|| ask_tcp(to, &bytes)).ok().and_then(Result::ok);
            let _ = ends.send((ask, message));
        };
        match spawn("resolver-tcp", run) {
            Ok(_) => self.streams_out += 1,
            Err(_) => self.resolver.stream(ask, None, now),
        }
    }
}

/// A socket of its own for each question: its port is new, and what answers an old one does not come here.
fn send_udp(to: SocketAddr, bytes: &[u8]) -> std::io::Result<UdpSocket> {
    let from: IpAddr =
        if to.is_ipv4() { [127, 0, 0, 1].into() } else { std::net::Ipv6Addr::LOCALHOST.into() };
    let socket = UdpSocket::bind((from, 0))?;
    socket.connect(to)?;
    socket.set_nonblocking(true)?;
    socket.send(bytes)?;
    Ok(socket)
}

fn ask_tcp(to: SocketAddr, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&to, TCP)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TCP))?;
    stream.set_write_timeout(Some(TCP))?;
    let mut framed = (bytes.len() as u16).to_be_bytes().to_vec();
    framed.extend_from_slice(bytes);
    stream.write_all(&framed)?;
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let mut message = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut message)?;
    Ok(message)
}
