//! Follows upstream names: one thread repeatedly resolves the cache nodes of all names and updates the engine.
//! `elmtide_dns::stub` decides what to query, which answers to believe and what to do; this module runs its sockets.
//!
//! An address that a believed answer no longer contains starts draining at once; no failure, silence or false answer
//! of a resolver brings it back.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream, UdpSocket};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{unbounded, Receiver, Sender};
use elmtide_dns::stub::{AskId, Follow, Limits, News, Output, Resolver};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::client::bus::NameTable;
use crate::edge::config::Upstream;
use crate::edge::in_force::{InForce, State};
use crate::exchange::{Input, ListSource};
use crate::memory::resolved::Resolved;
use crate::process::{clock, spawn};

/// Longest wait before the configuration in force and results of TCP queries are checked again; shorter while TCP
/// queries are in flight.
const MAX_WAIT: Duration = Duration::from_millis(100);
const MAX_WAIT_WITH_TCP: Duration = Duration::from_millis(5);
/// Maximum number of TCP queries in flight.
const MAX_TCP_QUERIES: usize = 16;

/// The response to a TCP query, or `None` if it failed.
type TcpResult = (AskId, Option<Vec<u8>>);

/// A name being followed.
struct FollowedName {
    upstream: Upstream,
    follow: Follow,
    invalid_reported: bool,
}

/// Resolves the upstream names of the configuration and reports their members to the engine.
pub struct NameFollower {
    names: NameTable,
    inputs: Sender<Input>,
    in_force: Arc<InForce>,
    resolved: Resolved,
    followed: Vec<FollowedName>,
    resolver: Resolver,
    servers: Vec<SocketAddr>,
    sockets: BTreeMap<AskId, UdpSocket>,
    /// Results of TCP queries.
    tcp_results: (Sender<TcpResult>, Receiver<TcpResult>),
    tcp_in_flight: usize,
    seed: u64,
}

impl NameFollower {
    /// Creates the follower; it reads the names and resolvers from `in_force`.
    pub fn new(names: NameTable, inputs: Sender<Input>, in_force: Arc<InForce>, seed: u64) -> NameFollower {
        NameFollower {
            names,
            inputs,
            in_force,
            resolved: Resolved::default(),
            followed: Vec::new(),
            resolver: Resolver::new(&[], Limits::default(), seed),
            servers: Vec::new(),
            sockets: BTreeMap::new(),
            tcp_results: unbounded(),
            tcp_in_flight: 0,
            seed,
        }
    }

    /// Starts the thread, which runs as long as the process.
    pub fn start(mut self) -> std::io::Result<()> {
        let run = move || loop {
            // A panic must not permanently stop the detection of drains.
            if catch_unwind(AssertUnwindSafe(|| self.step())).is_err() {
                eprintln!("resolver: recovered from a panic; all names are resolved again");
                self.sockets.clear();
                self.servers.clear();
                std::thread::sleep(MAX_WAIT);
            }
        };
        spawn("resolver", run).map(drop)
    }

    /// One round: applies the configuration, sends due queries and processes responses.
    fn step(&mut self) {
        let state = self.in_force.now();
        self.apply_config(&state);
        let now = clock::steady_ms();
        self.resolver.tick(now);
        for name in &mut self.followed {
            name.follow.tick(&mut self.resolver, now);
        }
        self.process_outputs(now);
        let follow = self.followed.iter().filter_map(|n| n.follow.due());
        let due = follow.chain(self.resolver.due()).fold(f64::INFINITY, f64::min);
        let max_wait = if self.tcp_in_flight > 0 { MAX_WAIT_WITH_TCP } else { MAX_WAIT };
        let wait = Duration::from_secs_f64(((due - now) / 1000.0).clamp(0.0, max_wait.as_secs_f64()));
        self.receive(wait);
    }

    /// Applies the names and resolvers of the configuration in force.
    fn apply_config(&mut self, state: &State) {
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
        let (kept, removed): (Vec<FollowedName>, Vec<FollowedName>) =
            std::mem::take(&mut self.followed).into_iter().partition(|n| upstreams.contains(&n.upstream));
        for name in removed {
            let _ = self.update_members(&name.upstream, &[]);
        }
        let mut kept: Vec<Option<FollowedName>> = kept.into_iter().map(Some).collect();
        for upstream in upstreams {
            let existing = kept.iter_mut().find(|n| n.as_ref().is_some_and(|n| n.upstream == *upstream));
            let name = existing.and_then(Option::take).or_else(|| {
                // The configuration has been validated: a name that can't be followed never comes into force.
                let follow = Follow::new(upstream.source().ok()?);
                Some(FollowedName { upstream: upstream.clone(), follow, invalid_reported: false })
            });
            self.followed.extend(name);
        }
    }

    /// Carries out the outputs of the resolver's state machine.
    fn process_outputs(&mut self, now: f64) {
        while let Some(output) = self.resolver.poll() {
            match output {
                Output::Udp { ask, to, bytes } => match send_udp(to, &bytes) {
                    Ok(socket) => drop(self.sockets.insert(ask, socket)),
                    Err(_) => self.resolver.unreachable(ask, now),
                },
                Output::Tcp { ask, to, bytes, within } => {
                    let timeout = Duration::from_secs_f64(within.max(1.0) / 1000.0);
                    self.send_tcp(ask, to, bytes, timeout, now);
                }
                Output::Forget(ask) => drop(self.sockets.remove(&ask)),
                Output::Done { lookup, result } => {
                    for index in 0..self.followed.len() {
                        let follow = &mut self.followed[index].follow;
                        if let Some(news) = follow.done(&mut self.resolver, lookup, &result, now) {
                            self.report_news(index, news);
                            break;
                        }
                    }
                }
            }
        }
    }

    /// Logs what has changed for a name, and updates its members.
    fn report_news(&mut self, index: usize, news: News) {
        let shown = self.followed[index].follow.shown();
        if let Some(reason) = news.failing {
            eprintln!("resolver: {shown}: {reason}; known addresses are kept, draining ones keep draining");
        }
        if news.recovered {
            eprintln!("resolver: {shown} resolves again");
        }
        if let Some(server) = news.strange.and_then(|s| self.resolver.server(s)) {
            eprintln!(
                "resolver: {shown}: {server} gives an answer that no other server gave; ignored for 30 s"
            );
        }
        if news.changed {
            let endpoints = self.followed[index].follow.endpoints();
            let upstream = self.followed[index].upstream.clone();
            if let Err(reason) = self.update_members(&upstream, &endpoints) {
                if !std::mem::replace(&mut self.followed[index].invalid_reported, true) {
                    eprintln!("resolver: {shown} can't be used: {reason} is not in the settings");
                }
            }
        }
    }

    /// Sends the members of a name to the engine. Fails if its zone or kind is not in the settings.
    fn update_members(
        &mut self,
        upstream: &Upstream,
        endpoints: &[elmtide_dns::stub::Endpoint],
    ) -> Result<(), String> {
        let zone = self.names.zone(&upstream.zone).ok_or_else(|| format!("zone {:?}", upstream.zone))?;
        let kind = self.names.kind(&upstream.kind).ok_or_else(|| format!("kind {:?}", upstream.kind))?;
        if let Some(removed) = self.resolved.update(upstream, zone, kind, endpoints) {
            for at in removed {
                eprintln!("resolver: {}/{at} is draining: no answer for its name contains it", upstream.name);
            }
            let (members_update, event) = self.resolved.told();
            let _ =
                self.inputs.send(Input::MembersListed { from: ListSource::Resolver, members_update, event });
        }
        Ok(())
    }

    /// Waits for responses and processes those that have arrived.
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
            // A few at a time: a flood on one socket must not starve the others.
            for _ in 0..8 {
                let Some(socket) = self.sockets.get(&ask) else { break };
                match socket.recv(&mut bytes) {
                    Ok(got) => self.resolver.datagram(ask, &bytes[..got], now),
                    Err(reason) if reason.kind() == std::io::ErrorKind::WouldBlock => break,
                    Err(_) => {
                        self.resolver.unreachable(ask, now);
                        break;
                    }
                }
                self.process_outputs(now);
            }
        }
        while let Ok((ask, message)) = self.tcp_results.1.try_recv() {
            self.tcp_in_flight -= 1;
            self.resolver.stream(ask, message.as_deref(), now);
        }
        self.process_outputs(now);
    }

    fn send_tcp(&mut self, ask: AskId, to: SocketAddr, bytes: Vec<u8>, timeout: Duration, now: f64) {
        if self.tcp_in_flight >= MAX_TCP_QUERIES {
            return self.resolver.stream(ask, None, now);
        }
        let results = self.tcp_results.0.clone();
        let run = move || {
            let message = catch_unwind(|| query_tcp(to, &bytes, timeout)).ok().and_then(Result::ok);
            let _ = results.send((ask, message));
        };
        match spawn("resolver-tcp", run) {
            Ok(_) => self.tcp_in_flight += 1,
            Err(_) => self.resolver.stream(ask, None, now),
        }
    }
}

/// A separate socket for each query: its port is new, and responses to earlier queries do not reach it.
fn send_udp(to: SocketAddr, bytes: &[u8]) -> std::io::Result<UdpSocket> {
    let local_address: IpAddr =
        if to.is_ipv4() { [127, 0, 0, 1].into() } else { std::net::Ipv6Addr::LOCALHOST.into() };
    let socket = UdpSocket::bind((local_address, 0))?;
    socket.connect(to)?;
    socket.set_nonblocking(true)?;
    socket.send(bytes)?;
    Ok(socket)
}

/// `timeout` limits connecting and each read or write.
fn query_tcp(to: SocketAddr, bytes: &[u8], timeout: Duration) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut framed = (bytes.len() as u16).to_be_bytes().to_vec();
    framed.extend_from_slice(bytes);
    stream.write_all(&framed)?;
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let mut message = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut message)?;
    Ok(message)
}
