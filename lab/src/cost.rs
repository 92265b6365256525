//! What an ordinary request costs one build of the program against another: CPU time of each process for the same
//! requests, in turns in one run.

use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::front::{Folder, Front, Setup};
use elmtide_standins::node::{Node, Origin};
use elmtide_standins::shopper::{get, Http};

/// Requests of a burst, on one connection of each front.
const BURST: u64 = 4000;

struct Side {
    front: Front,
    http: Http,
    item: u64,
}

/// Shared budgets of one front that votes alone.
fn fleet_files(folder: &Folder) -> std::io::Result<()> {
    use std::os::unix::fs::PermissionsExt;
    let key = folder.0.join("fleet.key");
    std::fs::write(&key, "00112233445566778899aabbccddeeff\n")?;
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
    let text = "installation = \"lab\"\nkey_file = \"fleet.key\"\nversion = 1\nstore = \"fleet.redb\"\nlook = \"look.sock\"\n\
                [[front]]\nname = \"lab\"\naddress = \"127.0.0.1:0\"\nvotes = true\n\
                [[budget]]\nkind = \"retries\"\nrate = 100.0\nburst = 100.0\nfloor = 0.2\n\
                [[budget]]\nkind = \"origin\"\nrate = 100000.0\nburst = 100000.0\nfloor = 0.2\n";
    std::fs::write(folder.0.join("fleet.toml"), text)
}

fn start(program: &Path, cells: &str, fleet: bool) -> Result<Side, String> {
    let failed = |e: std::io::Error| e.to_string();
    let (bus, origin) = (Bus::start().map_err(failed)?, Arc::new(Origin::default()));
    let mut servers = vec![listed("origin-1", ([127, 0, 0, 1], 9).into(), "east", "origin", "active")];
    for n in 0..4u64 {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let node = Node::start(&format!("box-{n}"), listener, &origin, n).map_err(failed)?;
        servers.push(listed(&node.name, node.at, "edge-1", "small", "active"));
    }
    bus.list(true, &servers);
    let edge = "zone = \"edge.example.\"\n[[front]]\nname = \"lab\"\nhttp = [\"127.0.0.1:0\"]\n";
    let known = bus.known();
    let setup = Setup { binary: program, name: "lab", bus: bus.at, known, edge, cells, sockets: 256 };
    let folder = Folder::new().map_err(failed)?;
    if fleet {
        fleet_files(&folder).map_err(failed)?;
    }
    let front = Front::start_in(folder, &setup, None)?;
    let http = Http::connect(front.edge("http", 0)?, Duration::from_secs(5)).map_err(failed)?;
    Ok(Side { front, http, item: 0 })
}

impl Side {
    /// CPU time of a burst, microseconds a request.
    fn burst(&mut self) -> Result<f64, String> {
        let before = self.front.cpu_s().ok_or("the front's CPU time can't be read")?;
        for _ in 0..BURST {
            self.item += 1;
            let replied = self.http.send(&get(self.item % 500)).and_then(|()| self.http.reply());
            let status = replied.map_err(|e| e.to_string())?.status;
            if status != 200 {
                return Err(format!("a request was answered {status}"));
            }
        }
        let after = self.front.cpu_s().ok_or("the front's CPU time can't be read")?;
        Ok((after - before) * 1e6 / BURST as f64)
    }
}

pub fn run(program: &Path, against: &Path, one_cell: bool, fleet: bool, turns: u32) -> Result<(), String> {
    let cells = if one_cell { "[[cell]]\nname = \"all\"\nboxes = [\"*\"]\n" } else { "" };
    let (mut one, mut other) = (start(program, cells, fleet)?, start(against, "", false)?);
    // What is done once is not counted.
    one.burst()?;
    other.burst()?;
    let mut ratios = Vec::new();
    let mut sums = (0.0, 0.0);
    for turn in 0..turns {
        // Who goes first changes, so that what drifts hits both.
        let (a, b) = match turn % 2 {
            0 => {
                let a = one.burst()?;
                (a, other.burst()?)
            }
            _ => {
                let b = other.burst()?;
                (one.burst()?, b)
            }
        };
        sums = (sums.0 + a, sums.1 + b);
        ratios.push(a / b);
    }
    ratios.sort_by(f64::total_cmp);
    let turns = f64::from(turns);
    println!("| CPU of a request, us | against | ratio of the sums | median of turns | lowest | highest |");
    println!("| --- | --- | --- | --- | --- | --- |");
    println!(
        "| {:.1} | {:.1} | {:.3} | {:.3} | {:.3} | {:.3} |",
        sums.0 / turns,
        sums.1 / turns,
        sums.0 / sums.1,
        ratios[ratios.len() / 2],
        ratios[0],
        ratios[ratios.len() - 1]
    );
    Ok(())
}
