//! What a name server answers a second against a bare UDP echo loop, both in turns in one run, and how long an answer
//! takes under a steady rate. Latencies count from when a query was to be sent, not from when it was: a sender that is
//! late must not hide the wait.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide_dns::answer::{Client, Reaction, Transport};
use elmtide_dns_suite::direct::{no_limits, Direct};
use elmtide_standins::front::Front;
use hdrhistogram::Histogram;
use stats_alloc::Region;

use crate::conformance::suite_front;

pub struct Load {
    pub rate: u32,
    pub length: Duration,
    pub turns: u32,
    pub clients: u32,
}

const ZONE: &[u8] = b"\x04edge\x04test\x00";
/// Queries that are out at once on a socket, in the part without a rate.
const WINDOW: usize = 16;

fn query(id: u16, name: &[u8], kind: u8) -> Vec<u8> {
    [&id.to_be_bytes()[..], &[0, 0, 0, 1, 0, 0, 0, 0, 0, 0], name, ZONE, &[0, kind, 0, 1]].concat()
}

/// The kinds of answers that are measured.
fn kinds() -> [(&'static str, Vec<u8>); 4] {
    [
        ("positive", query(1, b"\x06branch", 1)),
        ("NODATA", query(1, b"\x06static", 28)),
        ("NXDOMAIN", query(1, b"\x02no", 1)),
        ("referral", query(1, b"\x01x\x03sub", 1)),
    ]
}

/// Sends what comes back to whoever sent it.
fn echo() -> std::io::Result<(SocketAddr, Arc<AtomicBool>)> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let at = socket.local_addr()?;
    socket.set_read_timeout(Some(Duration::from_millis(200)))?;
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    std::thread::spawn(move || {
        let mut bytes = [0; 4096];
        while !stopped.load(Relaxed) {
            if let Ok((got, from)) = socket.recv_from(&mut bytes) {
                let _ = socket.send_to(&bytes[..got], from);
            }
        }
    });
    Ok((at, stop))
}

/// Answers a second with a window of queries out on each of some sockets.
fn most(at: SocketAddr, asked: &[u8], load: &Load) -> Result<f64, String> {
    let answered = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..load.clients)
        .map(|n| {
            let (answered, stop, asked) = (answered.clone(), stop.clone(), asked.to_vec());
            std::thread::spawn(move || -> std::io::Result<()> {
                let socket = UdpSocket::bind((Ipv4Addr::new(127, 0, 10, n as u8 + 1), 0))?;
                socket.connect(at)?;
                socket.set_read_timeout(Some(Duration::from_millis(20)))?;
                let mut bytes = [0; 4096];
                let mut out = 0usize;
                while !stop.load(Relaxed) {
                    while out < WINDOW {
                        socket.send(&asked)?;
                        out += 1;
                    }
                    match socket.recv(&mut bytes) {
                        Ok(_) => {
                            out -= 1;
                            answered.fetch_add(1, Relaxed);
                        }
                        // What is lost is sent anew.
                        Err(_) => out = 0,
                    }
                }
                Ok(())
            })
        })
        .collect();
    std::thread::sleep(load.length / 10);
    let (from, since) = (answered.load(Relaxed), Instant::now());
    std::thread::sleep(load.length);
    let rate = (answered.load(Relaxed) - from) as f64 / since.elapsed().as_secs_f64();
    stop.store(true, Relaxed);
    for thread in threads {
        thread.join().map_err(|_| "a sender panicked")?.map_err(|e| e.to_string())?;
    }
    Ok(rate)
}

/// Latencies in microseconds at a steady rate, and how many queries had no answer.
fn steady(at: SocketAddr, asked: &[u8], load: &Load) -> Result<(Histogram<u64>, u64), String> {
    let failed = |e: std::io::Error| e.to_string();
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(failed)?;
    socket.connect(at).map_err(failed)?;
    socket.set_read_timeout(Some(Duration::from_millis(200))).map_err(failed)?;
    let reader = socket.try_clone().map_err(failed)?;
    let every = Duration::from_secs_f64(1.0 / f64::from(load.rate.max(1)));
    let start = Instant::now() + Duration::from_millis(20);
    let count = (load.length.as_secs_f64() * f64::from(load.rate)) as u32;
    let receive = std::thread::spawn(move || {
        let mut latencies = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
        let (mut bytes, mut seen) = ([0; 4096], 0u32);
        // Ids go round; an answer is of the last round that had begun when it came.
        while seen < count {
            let Ok(got) = reader.recv(&mut bytes) else { break };
            let now = Instant::now();
            if got < 2 {
                continue;
            }
            let id = u32::from(u16::from_be_bytes([bytes[0], bytes[1]]));
            let at_most = (now.saturating_duration_since(start).as_secs_f64() / every.as_secs_f64()) as u32;
            let place = (at_most / 65_536) * 65_536 + id;
            let place = if place > at_most { place.saturating_sub(65_536) } else { place };
            let due = start + every * place;
            seen += 1;
            let micros = now.saturating_duration_since(due).as_micros() as u64;
            latencies.record(micros.max(1)).map_err(|e| e.to_string())?;
        }
        Ok::<_, String>((latencies, u64::from(count - seen)))
    });
    let mut bytes = asked.to_vec();
    for place in 0..count {
        let due = start + every * place;
        while Instant::now() < due {
            std::hint::spin_loop();
        }
        bytes[..2].copy_from_slice(&(place as u16).to_be_bytes());
        socket.send(&bytes).map_err(failed)?;
    }
    receive.join().map_err(|_| "the reader panicked")?
}

/// Time and allocations of an answer, without sockets.
fn direct() -> Result<(), String> {
    const TIMES: u32 = 200_000;
    println!("\nThe answer path alone, {TIMES} answers of each kind:\n");
    println!("| answer | ns each | allocations each |\n| --- | --- | --- |");
    let mut direct = Direct::new(no_limits())?;
    let client = Client { address: Ipv4Addr::LOCALHOST.into(), transport: Transport::Udp };
    let mut out = Vec::with_capacity(4096);
    for (name, asked) in kinds() {
        for _ in 0..1000 {
            direct.server.answer(&direct.served, client, 1.8e12, &asked, &mut out);
        }
        let region = Region::new(crate::COUNTED);
        let since = Instant::now();
        for _ in 0..TIMES {
            let reaction = direct.server.answer(&direct.served, client, 1.8e12, &asked, &mut out);
            if !matches!(reaction, Reaction::Reply) {
                return Err(format!("{name}: no answer"));
            }
        }
        let (took, allocated) = (since.elapsed(), region.change().allocations);
        let each = f64::from(allocated as u32) / f64::from(TIMES);
        println!("| {name} | {:.0} | {each} |", took.as_secs_f64() * 1e9 / f64::from(TIMES));
        if allocated > 0 {
            return Err(format!("{name}: {allocated} allocations in {TIMES} answers"));
        }
    }
    Ok(())
}

pub fn run(
    at: Option<SocketAddr>,
    program: impl FnOnce() -> Result<PathBuf, String>,
    load: &Load,
) -> Result<(), String> {
    let (front, at) = match at {
        Some(at) if !at.ip().is_loopback() => return Err(format!("{at} is no loopback address")),
        Some(at) => (None, at),
        None => suite_front(program()?).map(|(front, at)| (Some(front), at))?,
    };
    let (echo, stop) = echo().map_err(|e| e.to_string())?;
    println!(
        "{} sockets, {WINDOW} queries out on each, {} turns of {:?}:\n",
        load.clients, load.turns, load.length
    );
    println!("| answer | a second | echo loop a second | ratio, median of turns | lowest | highest |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (name, asked) in kinds() {
        let mut pairs = Vec::new();
        for _ in 0..load.turns {
            pairs.push((most(at, &asked, load)?, most(echo, &asked, load)?));
        }
        pairs.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let ratio = |p: &(f64, f64)| p.0 / p.1;
        let median = pairs[pairs.len() / 2];
        println!(
            "| {name} | {:.0} | {:.0} | {:.2} | {:.2} | {:.2} |",
            median.0,
            median.1,
            ratio(&median),
            ratio(&pairs[0]),
            ratio(&pairs[pairs.len() - 1])
        );
    }
    println!("\n{} queries a second, open loop, from when each was due, in microseconds:\n", load.rate);
    println!("| who | p50 | p99 | p99.9 | most | without an answer |\n| --- | --- | --- | --- | --- | --- |");
    for (name, to) in [("name server", at), ("echo loop", echo)] {
        let (latencies, lost) = steady(to, &kinds()[0].1, load)?;
        let at = |q| latencies.value_at_quantile(q);
        println!("| {name} | {} | {} | {} | {} | {lost} |", at(0.5), at(0.99), at(0.999), latencies.max());
    }
    if let Some(kb) = front.as_ref().and_then(Front::resident_kb) {
        println!("\nThe front holds {:.1} MB.", kb as f64 / 1024.0);
    }
    stop.store(true, Relaxed);
    direct()
}
