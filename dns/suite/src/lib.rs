//! Conformance cases for a name server, as text in `dns/conformance`, a folder an RFC.
//!
//! A line is a case: `SECTION | what it shows | ask ... | want ... [| ask ... | want ...]`.
//!
//! `ask NAME TYPE` with any of: `id=HEX`, `rd`, `cd`, `ad`, `z`, `class=N`, `opcode=N`, `tail=HEX` (bytes behind the
//! message), `edns[=SIZE]`, `do`, `version=N`, `cookie=HEX`, `cookie=last` (as the last answer gave it), `cookie=broken`,
//! `ecs=ADDRESS/LENGTH`, `nsid`, `pad`, `keepalive`, `opt=CODE:HEX`, `twice` (a second EDNS record), `serial=N` (an SOA
//! in the authority section; `now`, `now-1`), `tsig=KEY` (`good`, `unknown`, `forged`, `late`, `stranger`), `udp` or
//! `tcp` (only that way), `mixed` (letters of the name in mixed case). `ask raw HEX` sends just that.
//!
//! `want` with: `silence`, a response code, `+FLAG` and `-FLAG` (qr aa tc rd ra ad cd z), `id=HEX`, `question`
//! (it comes back to the letter), `noquestion`, `an{RECORD}`, `au{..}`, `ar{..}` (exactly these, in any order),
//! `an=N`, `an>N`, `edns`, `noedns`, `do`, `-do`, `size=N` (what the EDNS record says), `max=N` (bytes of the message),
//! `cookie`, `nocookie`, `nsid`, `nonsid`, `scope=N`, `noecs`, `ede=N`, `pad=BLOCK`, `nopad`, `keepalive`,
//! `nokeepalive`, `signed`, `tsigerror=N`, `messages=N`, `messages>N`, `first=TYPE`, `last=TYPE`, `records=N`.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]
#![expect(unreachable_pub, reason = "not all items have their narrowest visibility yet: see docs/ROADMAP.md")]

pub mod direct;
mod message;
pub mod sockets;
pub mod zone;

use std::fmt;
use std::path::Path;

pub use message::{Asked, Read};

/// How a query goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Udp,
    Tcp,
}

/// A name server under test. An answer is one message or, over TCP, several; none is silence.
pub trait Target {
    fn ask(&mut self, way: Way, message: &[u8], many: bool) -> Vec<Vec<u8>>;
    /// The serial that its zone has now.
    fn serial(&mut self) -> u32;
}

#[derive(Clone, Debug)]
pub struct Step {
    pub ask: Vec<String>,
    pub want: Vec<String>,
}

#[derive(Clone, Debug)]
pub struct Case {
    /// The folder: `rfc1035`.
    pub rfc: String,
    pub section: String,
    pub shows: String,
    pub steps: Vec<Step>,
    /// File and line.
    pub at: String,
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} section {}: {}", self.at, self.rfc.to_uppercase(), self.section, self.shows)
    }
}

/// What kept a case from holding.
#[derive(Clone, Debug)]
pub struct Broken {
    pub case: Case,
    pub way: Way,
    pub why: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?}): {}", self.case, self.way, self.why)
    }
}

/// Words, where braces hold words together.
fn words(text: &str) -> Vec<String> {
    let (mut out, mut word, mut depth) = (Vec::new(), String::new(), 0);
    for c in text.chars() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if c == ' ' && depth == 0 {
            if !word.is_empty() {
                out.push(std::mem::take(&mut word));
            }
        } else {
            word.push(c);
        }
    }
    out.extend((!word.is_empty()).then_some(word));
    out
}

/// All cases below a folder, in order.
pub fn load(folder: &Path) -> Result<Vec<Case>, String> {
    let mut cases = Vec::new();
    let list = |path: &Path| -> Result<Vec<std::path::PathBuf>, String> {
        let entries = std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut paths: Vec<_> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
        paths.sort();
        Ok(paths)
    };
    for rfc in list(folder)?.into_iter().filter(|p| p.is_dir()) {
        for file in list(&rfc)? {
            let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let name = |p: &Path| p.file_name().unwrap_or_default().to_string_lossy().into_owned();
            for (place, line) in text.lines().enumerate() {
                if line.is_empty() || line.starts_with('#') {
                    continue;
                }
                let at = format!("{}/{}:{}", name(&rfc), name(&file), place + 1);
                cases.push(parse(line, &name(&rfc), at)?);
            }
        }
    }
    Ok(cases)
}

fn parse(line: &str, rfc: &str, at: String) -> Result<Case, String> {
    let parts: Vec<&str> = line.split('|').map(str::trim).collect();
    let [section, shows, steps @ ..] = &parts[..] else { return Err(format!("{at}: not a case")) };
    let mut case =
        Case { rfc: rfc.into(), section: (*section).into(), shows: (*shows).into(), steps: Vec::new(), at };
    for pair in steps.chunks(2) {
        let [ask, want] = pair else { return Err(format!("{}: a want is missing", case.at)) };
        let (ask, want) = (ask.strip_prefix("ask "), want.strip_prefix("want "));
        let (Some(ask), Some(want)) = (ask, want) else { return Err(format!("{}: ask, want", case.at)) };
        case.steps.push(Step { ask: words(ask), want: words(want) });
    }
    match case.steps.is_empty() {
        true => Err(format!("{}: nothing is asked", case.at)),
        false => Ok(case),
    }
}

/// Runs a case each way that it goes; the ways it went.
pub fn run(case: &Case, target: &mut impl Target) -> Result<Vec<Way>, Box<Broken>> {
    let only = |way: &str| case.steps.iter().any(|s| s.ask.iter().any(|w| w == way));
    let mut ways = Vec::new();
    for (way, other) in [(Way::Udp, "tcp"), (Way::Tcp, "udp")] {
        if only(other) {
            continue;
        }
        let broken = |why| Box::new(Broken { case: case.clone(), way, why });
        let mut last_cookie = None;
        for step in &case.steps {
            let serial = target.serial();
            let mut asked = message::build(&step.ask, last_cookie.as_deref(), serial).map_err(broken)?;
            let many = step.want.iter().any(|w| w.starts_with("messages") || w.starts_with("records"));
            let answers = target.ask(way, &asked.bytes, many);
            let read = message::judge(&step.want, &mut asked, &answers).map_err(|why| {
                let shown = answers.first().map(|a| data_encoding::HEXLOWER.encode(a)).unwrap_or_default();
                broken(format!("{why}; asked {}, came {shown}", data_encoding::HEXLOWER.encode(&asked.bytes)))
            })?;
            last_cookie = read.and_then(|r| r.option(10)).or(last_cookie);
        }
        ways.push(way);
    }
    Ok(ways)
}

/// Every query that the cases send, for those who want to spoil them.
pub fn queries(cases: &[Case]) -> Vec<Vec<u8>> {
    let steps = cases.iter().flat_map(|c| &c.steps);
    steps.filter_map(|s| Some(message::build(&s.ask, None, 1).ok()?.bytes)).collect()
}
