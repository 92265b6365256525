//! Probes cache nodes of other sites with the line that probes a silent connection. One answer of any cache node shows
//! that the site is not silent. Each of a few threads probes one cache node of a site after the other, so a site costs
//! a bounded number of lines per second, however many cache nodes it has.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use elmtide_sites::health_monitor::Timeliness;
use elmtide_sites::SiteId;

use crate::process::spawn;
use crate::wire::lines;

/// Maximum number of threads, whatever the number of sites.
const MAX_THREADS: usize = 8;
/// Maximum number of cache nodes of one site that are probed in one round while none of them answers.
const MAX_ATTEMPTS: usize = 3;

/// A cache node has answered a probe.
#[derive(Clone, Copy, Debug)]
pub struct CacheAnswer {
    /// The site of the cache node.
    pub site: SiteId,
    /// Late if the answer took more than half of the probe's timeout.
    pub timeliness: Timeliness,
}

/// Starts the threads that probe, and sends each answer to `answers`. A site that has not answered for
/// `silence_timeout` counts as silent.
pub fn start(
    sites: Vec<(SiteId, Vec<SocketAddr>)>,
    silence_timeout: Duration,
    answers: &Sender<CacheAnswer>,
) -> std::io::Result<()> {
    let mut groups: Vec<Vec<ProbedSite>> = (0..MAX_THREADS.min(sites.len())).map(|_| Vec::new()).collect();
    let count = groups.len().max(1);
    for (index, (site, caches)) in sites.into_iter().filter(|(_, caches)| !caches.is_empty()).enumerate() {
        groups[index % count].push(ProbedSite { site, caches, next: 0, stream: None });
    }
    for mut group in groups.into_iter().filter(|g| !g.is_empty()) {
        let answers = answers.clone();
        let interval = silence_timeout / 4;
        // A round of a group ends within one silence timeout, however many sites the group has.
        let timeout =
            (silence_timeout / (2 * MAX_ATTEMPTS * group.len()) as u32).max(Duration::from_millis(20));
        spawn("site-probe", move || loop {
            let started_at = Instant::now();
            for probed in &mut group {
                if let Some(timeliness) = probed.probe(timeout) {
                    let _ = answers.try_send(CacheAnswer { site: probed.site, timeliness });
                }
            }
            std::thread::sleep(interval.saturating_sub(started_at.elapsed()));
        })?;
    }
    Ok(())
}

/// A site with its cache nodes.
struct ProbedSite {
    site: SiteId,
    caches: Vec<SocketAddr>,
    /// Index of the cache node that is probed next.
    next: usize,
    /// The open connection to that cache node, if there is one.
    stream: Option<TcpStream>,
}

impl ProbedSite {
    /// Probes cache nodes until one answers, and returns whether it was late; `None` if none answers.
    fn probe(&mut self, timeout: Duration) -> Option<Timeliness> {
        for _ in 0..MAX_ATTEMPTS.min(self.caches.len()) {
            let started_at = Instant::now();
            if self.probe_one(timeout).is_some() {
                let is_late = started_at.elapsed() > timeout / 2;
                return Some(if is_late { Timeliness::Late } else { Timeliness::InTime });
            }
            self.stream = None;
            self.next = (self.next + 1) % self.caches.len();
        }
        None
    }

    /// Probes the next cache node.
    fn probe_one(&mut self, timeout: Duration) -> Option<()> {
        let deadline = Instant::now() + timeout;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.caches[self.next], timeout).ok()?,
        };
        stream.set_write_timeout(Some(timeout)).ok()?;
        stream.write_all(&lines::encode_there("site")).ok()?;
        let mut bytes = [0; 256];
        let mut received = 0;
        // The answer is one line that repeats the probe's tag; no more than the buffer is read of a longer answer.
        while received < bytes.len() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            stream.set_read_timeout(Some(remaining)).ok()?;
            match stream.read(&mut bytes[received..]).ok()? {
                0 => return None,
                count_read => received += count_read,
            }
            if bytes[..received].ends_with(b"\r\n\r\n") {
                self.stream = bytes.starts_with(b"site ").then_some(stream);
                return self.stream.as_ref().map(drop);
            }
        }
        None
    }
}
