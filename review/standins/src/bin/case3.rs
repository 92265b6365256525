//! Case 3: the new owner of a key is replaced while the key changes hands; it forgets that and runs the signup again.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standins::*;

const SIGNUP_MS: u64 = 3000;
/// How long the client waits for its first try: half of the class's give-up time (50% to 100% are allowed).
const TRY: Duration = Duration::from_millis(1500);
const BACKOFF: Duration = Duration::from_millis(400);

fn edge(ports: &[u16; 4], leaving: &str) -> String {
    let [dns1, http1, dns2, http2] = ports;
    let state = |name| if name == leaving { "state = \"draining\"\n" } else { "" };
    format!(
        "zone = \"edge.example.\"\n\
         [[front]]\nname = \"n1\"\ndns = [\"127.0.0.1:{dns1}\"]\nhttp = [\"127.0.0.1:{http1}\"]\n{}\
         [[front]]\nname = \"n2\"\ndns = [\"127.0.0.2:{dns2}\"]\nhttp = [\"127.0.0.2:{http2}\"]\n{}\
         [[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\", \"127.0.0.2\"]\n",
        state("n1"),
        state("n2")
    )
}

/// One try of a signup: the status, or why there is none.
fn ask(record: &Record, at: SocketAddr, key: &str, left: u64, patience: Duration, again: bool) -> Res<u16> {
    record.say(format!("client   asks {at} for {key:?}, gives up in {left} ms"));
    let asked = Http::connect(at).and_then(|mut http| {
        http.send(&signup(key, left, again))?;
        http.reply(patience)
    });
    let told = |r: &Reply| {
        let header = |n: &str| r.header(n).map(|v| format!(" {n}: {v}")).unwrap_or_default();
        format!("{}{}{}", r.status, header("X-Wait-Ms"), header("X-Use-Address"))
    };
    record.say(format!("client   {at} on {key:?}: {:?}", asked.as_ref().map(told)));
    asked.map(|r| r.status)
}

fn main() {
    run_case("case3", |record, root, repository, trouble| {
        let bus = Bus::start(record)?;
        let nodes = [Node::start("s-1", record)?, Node::start("s-2", record)?];
        let origin = "127.0.0.1:9".parse().map_err(text("address"))?;
        let mut servers: Vec<String> =
            nodes.iter().map(|n| listed(&n.name, n.at, "edge-1", "small", "active")).collect();
        servers.push(listed("o-1", origin, "east", "origin", "active"));
        bus.list(true, &servers);

        let ports: [u16; 4] = free_ports()?;
        let places = [Place::new(root, "n1", repository)?, Place::new(root, "n2", repository)?];
        for place in &places {
            place.write("deploy/edge.toml", &edge(&ports, ""))?;
            place.configure(&bus, &settings(SITE_DEADLINES))?;
        }
        let at = |n: usize| SocketAddr::from(([127, 0, 0, n as u8 + 1], ports[2 * n + 1]));
        let one = places[0].start(true, record)?;
        let mut two = places[1].start(true, record)?;
        for front in [&one, &two] {
            front.wait("ledger: open", Duration::from_secs(20))?;
        }
        // A key whose owner is n1 at first: n2 sends the client to n1, and n1 takes it.
        let owned = |key: &str| -> Res<bool> {
            Ok(ask(record, at(1), key, SIGNUP_MS, Duration::from_secs(3), false)? == 421)
        };
        let mut key = String::new();
        for n in 0..64 {
            key = format!("plan-{n}");
            if owned(&key)? {
                break;
            }
        }
        // n2's process is to be replaced: the new one starts beside it and says that it is ready.
        let next = if trouble { Some(places[1].start(true, record)?) } else { None };

        nodes.iter().for_each(|n| n.loses_answer_to(&key));
        let sent = Instant::now();
        let client = {
            let (record, key, at) = (record.clone(), key.clone(), at(0));
            std::thread::spawn(move || ask(&record, at, &key, SIGNUP_MS, TRY, false))
        };
        while nodes.iter().all(|n| n.runs(&key) == 0) && sent.elapsed() < Duration::from_secs(1) {
            sleep(Duration::from_millis(5));
        }
        nodes.iter().for_each(Node::loses_no_answer);
        // The operator takes n1 out: the plan is applied to that front first, then to the other.
        for place in &places {
            place.write("deploy/edge.toml", &edge(&ports, "n1"))?;
            place.plan(record)?;
            place.apply(record)?;
        }
        if trouble {
            two.signal("TERM")?;
        }
        let first = client.join().map_err(|_| "the client panicked")?;
        if let Ok(status) = first {
            return Err(format!("the first try got {status} though its answer is lost"));
        }
        sleep((TRY + BACKOFF).saturating_sub(sent.elapsed()));
        // The client asks the second address of the name.
        let mut tries = 0;
        while tries < 3 && sent.elapsed() < Duration::from_millis(SIGNUP_MS - 50) {
            tries += 1;
            let left = SIGNUP_MS - sent.elapsed().as_millis() as u64;
            match ask(record, at(1), &key, left, Duration::from_millis(left), true) {
                Ok(200 | 502) => break,
                _ => sleep(Duration::from_millis(400)),
            }
        }
        sleep(Duration::from_millis(4500).saturating_sub(sent.elapsed()));
        if trouble && !two.has_ended() {
            return Err("the old process of n2 has not ended after SIGTERM".into());
        }
        drop((one, two, next));
        let runs: usize = nodes.iter().map(|n| n.runs(&key)).sum();
        record.say(format!("runs of {key:?} at cache nodes: {runs}"));
        match runs {
            0 => Err("the signup never came to a cache node".into()),
            1 => Ok(Verdict::Held),
            _ => Ok(Verdict::Broken(format!("the signup {key:?} ran {runs} times"))),
        }
    })
}
