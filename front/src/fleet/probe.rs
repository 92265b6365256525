//! Asks boxes of other sites whether they are there, by the line that asks a silent connection: one answer of any box is enough to know that
//! a site is not silent. A few threads; each asks one box of a site after the other, so a site costs a bounded number of lines a second,
//! however many boxes it has.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use elmtide_sites::health_monitor::Timeliness;
use elmtide_sites::SiteId;

use crate::process::spawn;
use crate::wire::lines;

/// Threads at most, whatever the number of sites.
const THREADS: usize = 8;
/// Boxes of one site that are asked in one round where the first ones are silent.
const TRIES: usize = 3;

/// A cache node of this site has answered; late if it took more than half of the timeout.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    pub site: SiteId,
    pub timeliness: Timeliness,
}

/// Starts asking; `silence` is the time after which a site that was not heard counts as silent.
pub fn start(
    sites: Vec<(SiteId, Vec<SocketAddr>)>,
    silence: Duration,
    heard: &Sender<Heard>,
) -> std::io::Result<()> {
    let mut groups: Vec<Vec<Probed>> = (0..THREADS.min(sites.len())).map(|_| Vec::new()).collect();
    let count = groups.len().max(1);
    for (place, (site, boxes)) in sites.into_iter().filter(|(_, b)| !b.is_empty()).enumerate() {
        groups[place % count].push(Probed { site, boxes, next: 0, stream: None });
    }
    for mut group in groups.into_iter().filter(|g| !g.is_empty()) {
        let heard = heard.clone();
        let every = silence / 4;
        // A round of a group is over within one span, however many sites it has.
        let patience = (silence / (2 * TRIES * group.len()) as u32).max(Duration::from_millis(20));
        spawn("site-probe", move || loop {
            let began = Instant::now();
            for probed in &mut group {
                if let Some(timeliness) = probed.ask(patience) {
                    let _ = heard.try_send(Heard { site: probed.site, timeliness });
                }
            }
            std::thread::sleep(every.saturating_sub(began.elapsed()));
        })?;
    }
    Ok(())
}

struct Probed {
    site: SiteId,
    boxes: Vec<SocketAddr>,
    next: usize,
    stream: Option<TcpStream>,
}

impl Probed {
    /// Whether a box has answered, and late; the next boxes are tried where one has not.
    fn ask(&mut self, patience: Duration) -> Option<Timeliness> {
        for _ in 0..TRIES.min(self.boxes.len()) {
            let began = Instant::now();
            if self.ask_one(patience).is_some() {
                let is_late = began.elapsed() > patience / 2;
                return Some(if is_late { Timeliness::Late } else { Timeliness::InTime });
            }
            self.stream = None;
            self.next = (self.next + 1) % self.boxes.len();
        }
        None
    }

    fn ask_one(&mut self, patience: Duration) -> Option<()> {
        let until = Instant::now() + patience;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.boxes[self.next], patience).ok()?,
        };
        stream.set_write_timeout(Some(patience)).ok()?;
        stream.write_all(&lines::encode_there("site")).ok()?;
        let mut bytes = [0; 256];
        let mut got = 0;
        // A line that names what was asked; of a box that says more than that no more is read.
        while got < bytes.len() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            stream.set_read_timeout(Some(left)).ok()?;
            match stream.read(&mut bytes[got..]).ok()? {
                0 => return None,
                more => got += more,
            }
            if bytes[..got].ends_with(b"\r\n\r\n") {
                self.stream = bytes.starts_with(b"site ").then_some(stream);
                return self.stream.as_ref().map(drop);
            }
        }
        None
    }
}
