//! Follows names: asks a resolver where the cache nodes of a name are, again and again, and tells the engine.
//! An address that an answer no longer holds is draining from that moment; it takes a fresh answer that holds it
//! to bring it back, and no failure or silence of the resolver does.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use elmtide::{Availability, CellId, Event, ListNews, Listing, MemberId};
use hickory_proto::rr::Name;

use crate::client::bus::Names;
use crate::exchange::{Input, ListSource, MemberNews, MembersNews};
use crate::lifecycle::edge::{InForce, Upstream};
use crate::memory::members::member_id;
use crate::wire::dns::{self, Said};

/// Asked at least so often, whatever an answer's TTL says: a drained node may get work for 2 s at most.
const ASK: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1000));
/// A resolver that says nothing for so long is asked once more, then given up until the next turn.
const SILENCE: Duration = Duration::from_millis(250);
const TRIES: u32 = 2;
const LONGEST: usize = 65_535;
/// Members remembered, and addresses taken from one answer; those that drain are forgotten first.
const MOST: usize = 256;

/// The members that names have led to. All names share it, and the engine is told of all at once.
pub struct Resolved {
    pub names: Names,
    pub inputs: Sender<Input>,
    members: Mutex<BTreeMap<MemberId, (Listing, MemberNews)>>,
}

impl Resolved {
    pub fn new(names: Names, inputs: Sender<Input>) -> Resolved {
        Resolved { names, inputs, members: Mutex::default() }
    }

    /// Takes in what an answer says of a name.
    fn tell(&self, upstream: &Upstream, addresses: &BTreeSet<Ipv4Addr>) -> Result<(), String> {
        let zone = self.names.zone(&upstream.zone).ok_or_else(|| format!("zone {:?}", upstream.zone))?;
        let kind = self.names.kind(&upstream.kind).ok_or_else(|| format!("kind {:?}", upstream.kind))?;
        let mut members = self.members.lock().unwrap_or_else(|p| p.into_inner());
        let before: Vec<(MemberId, Availability)> =
            members.iter().map(|(id, (listing, _))| (*id, listing.availability)).collect();
        let prefix = format!("{}/", upstream.name);
        for (listing, news) in members.values_mut() {
            let gone = news.name.starts_with(&prefix)
                && !news.addr.is_some_and(|a| matches!(a.ip(), IpAddr::V4(v4) if addresses.contains(&v4)));
            if gone && listing.availability == Availability::Ready {
                eprintln!("resolver: {} is draining: no answer for its name holds it", news.name);
                listing.availability = Availability::Draining;
            }
        }
        if members.len() >= MOST {
            members.retain(|_, (listing, _)| listing.availability == Availability::Ready);
        }
        for address in addresses.iter().take(MOST) {
            let addr = SocketAddr::from((*address, upstream.port));
            let name = format!("{prefix}{addr}");
            let member = member_id(&name);
            let (weight, cell, born) = (upstream.weight, CellId(0), None);
            let availability = Availability::Ready;
            let listing = Listing { member, weight, zone, kind, cell, born, availability };
            let news = MemberNews { member, name: name.into(), addr: Some(addr), born, gone: false };
            members.insert(member, (listing, news));
        }
        let after: Vec<(MemberId, Availability)> =
            members.iter().map(|(id, (listing, _))| (*id, listing.availability)).collect();
        if before != after {
            let (entries, members) = members.values().cloned().unzip();
            let event = Event::List { news: ListNews::Delta, entries };
            let news = MembersNews { full: false, members };
            let _ = self.inputs.send(Input::Listed { from: ListSource::Resolver, news, event });
        }
        Ok(())
    }

    /// Follows one name for as long as the configuration in force has it.
    pub fn follow(&self, upstream: &Upstream, in_force: &InForce) {
        let mut failing = false;
        while let Some(resolver) = in_force.resolver_for(upstream) {
            let asked = Instant::now();
            let mut next = ASK.1;
            match resolve(resolver, &upstream.name) {
                Ok((addresses, ttl)) => {
                    next = Duration::from_secs(u64::from(ttl)).clamp(ASK.0, ASK.1);
                    failing = false;
                    if let Err(why) = self.tell(upstream, &addresses) {
                        eprintln!("resolver: {} can't be used: {why} is not in the settings", upstream.name);
                    }
                }
                Err(why) if !failing => {
                    failing = true;
                    eprintln!(
                        "resolver: {}: {why}; what is known stays, what drains goes on draining",
                        upstream.name
                    );
                }
                Err(_) => {}
            }
            std::thread::sleep(next.saturating_sub(asked.elapsed()));
        }
        let _ = self.tell(upstream, &BTreeSet::new());
    }
}

/// Starts a thread for each name that is not followed yet.
pub fn follow_all(resolved: &Arc<Resolved>, in_force: &Arc<InForce>, fresh: Vec<Upstream>) {
    for upstream in fresh {
        let (resolved, in_force) = (resolved.clone(), in_force.clone());
        let started = crate::lifecycle::spawn("resolver", move || resolved.follow(&upstream, &in_force));
        if let Err(why) = started {
            eprintln!("resolver: no thread: {why}");
        }
    }
}

/// The addresses of a name, and for how many seconds they hold.
pub fn resolve(resolver: SocketAddr, name: &str) -> Result<(BTreeSet<Ipv4Addr>, u32), String> {
    let mut name = Name::from_ascii(name).map_err(|e| e.to_string())?;
    name.set_fqdn(true);
    let mut life = u32::MAX;
    for _ in 0..dns::CHAIN {
        match ask(resolver, &name)? {
            Said::Addresses(addresses, ttl) => return Ok((addresses, ttl.min(life))),
            Said::Alias(target, ttl) => (name, life) = (target, life.min(ttl)),
            Said::Failed(code) => return Err(format!("the resolver says {code}")),
            Said::Truncated | Said::NotOurs => return Err("no usable answer".into()),
        }
    }
    Err(format!("more than {} aliases", dns::CHAIN))
}

/// Asks by UDP, by TCP where the answer does not fit.
fn ask(resolver: SocketAddr, name: &Name) -> Result<Said, String> {
    let mut silent = String::from("the resolver is silent");
    for _ in 0..TRIES {
        // A new socket and a new id for each question: what answers an old one is not taken for this one's.
        let (id, bytes) = dns::query(name).ok_or("the name can't be asked for")?;
        match ask_udp(resolver, id, &bytes, name) {
            Ok(Said::Truncated) => {
                return ask_tcp(resolver, id, &bytes, name).map_err(|e| format!("tcp: {e}"))
            }
            Ok(said) => return Ok(said),
            Err(why) => silent = format!("udp: {why}"),
        }
    }
    Err(silent)
}

fn ask_udp(resolver: SocketAddr, id: u16, query: &[u8], name: &Name) -> std::io::Result<Said> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    socket.connect(resolver)?;
    socket.send(query)?;
    let (until, mut bytes) = (Instant::now() + SILENCE, vec![0; 4096]);
    loop {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        socket.set_read_timeout(Some(left))?;
        let got = socket.recv(&mut bytes)?;
        match dns::read_answer(&bytes[..got], id, name) {
            Said::NotOurs if Instant::now() < until => {}
            said => return Ok(said),
        }
    }
}

fn ask_tcp(resolver: SocketAddr, id: u16, query: &[u8], name: &Name) -> std::io::Result<Said> {
    let mut stream = TcpStream::connect_timeout(&resolver, SILENCE)?;
    stream.set_read_timeout(Some(SILENCE))?;
    stream.set_write_timeout(Some(SILENCE))?;
    let mut framed = (query.len().min(LONGEST) as u16).to_be_bytes().to_vec();
    framed.extend_from_slice(query);
    stream.write_all(&framed)?;
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut bytes)?;
    Ok(dns::read_answer(&bytes, id, name))
}
