//! The conformance cases against a running name server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

use elmtide_dns_suite::sockets::Sockets;
use elmtide_dns_suite::{load, run as run_case, zone};
use elmtide_standins::bus::Bus;
use elmtide_standins::front::{Front, Setup};

const ZONE: &[u8] = b"\x04edge\x04test\x00";

pub fn run(
    at: Option<SocketAddr>,
    program: impl FnOnce() -> Result<PathBuf, String>,
    table: bool,
) -> Result<(), String> {
    let (_front, at) = match at {
        Some(at) if !at.ip().is_loopback() => return Err(format!("{at} is no loopback address")),
        Some(at) => (None, at),
        None => suite_front(program()?).map(|(front, at)| (Some(front), at))?,
    };
    let cases = load(&zone::folder())?;
    let mut target = Sockets::new(at, ZONE).map_err(|e| format!("{at}: {e}"))?;
    let mut clauses: BTreeMap<(String, String), (u32, u32)> = BTreeMap::new();
    let mut broken = 0;
    for case in &cases {
        let held = match run_case(case, &mut target) {
            Ok(_) => true,
            Err(why) => {
                eprintln!("{why}");
                broken += 1;
                false
            }
        };
        let tally = clauses.entry((case.rfc.to_uppercase(), case.section.clone())).or_default();
        tally.0 += u32::from(held);
        tally.1 += 1;
    }
    if table {
        println!("| document | section | cases held | of |\n| --- | --- | --- | --- |");
        for ((rfc, section), (held, all)) in &clauses {
            println!("| {rfc} | {section} | {held} | {all} |");
        }
    }
    println!("{} of {} cases hold, of {} clauses", cases.len() as u32 - broken, cases.len(), clauses.len());
    match broken {
        0 => Ok(()),
        _ => Err(format!("{broken} cases do not hold")),
    }
}

/// A front with the suite's zone, its keys, and the version before, on this machine.
pub fn suite_front(program: PathBuf) -> Result<(Front, SocketAddr), String> {
    let bus = Bus::start().map_err(|e| e.to_string())?;
    let setup = Setup {
        binary: &program,
        name: "lab",
        bus: bus.at,
        known: bus.known(),
        edge: "",
        cells: "",
        sockets: 256,
    };
    let front = Front::start(&setup)?;
    let keys = front.folder.0.join("keys");
    std::fs::write(&keys, zone::key_text(false)).map_err(|e| e.to_string())?;
    let private = std::fs::Permissions::from_mode(0o600);
    std::fs::set_permissions(&keys, private).map_err(|e| e.to_string())?;
    let text = zone::text()?;
    let edge = |serial: u32, text: &str| {
        format!(
            "key_file = \"keys\"\nserial = {serial}\n{text}\n[transfer]\nkeys = [\"{}\"]\n[rate_limit]\non = false\n\
             [[front]]\nname = \"lab\"\ndns = [\"127.0.0.1:0\"]\n\
             http = [\"127.0.0.1:0\", \"127.0.0.2:0\", \"[::1]:0\"]\n",
            zone::KEY
        )
    };
    front.apply(&edge(100, &text.replace("name = \"last\"", "name = \"before\"")))?;
    front.apply(&edge(101, &text))?;
    let at = front.edge("dns", 0)?;
    Ok((front, at))
}
