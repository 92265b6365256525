//! Case 1: a signup that is open in the old process while that is replaced runs a second time in the new one.

use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standins::*;

/// The site's deadlines, but for `video-parts`, which has a shorter one: signups are given up last.
const DEADLINES: [u64; 3] = [2800, 2500, SIGNUP_MS];
const SIGNUP_MS: u64 = 3000;
/// When the signup is sent after SIGTERM: requests keep coming on open connections for up to 0.6 s.
const SENT_AFTER: Duration = Duration::from_millis(550);
/// How long the client waits for its first try: 90% of the class's give-up time (50% to 100% are allowed).
const TRY: Duration = Duration::from_millis(2700);
/// The wait before the client's second try (50 to 400 ms).
const BACKOFF: Duration = Duration::from_millis(100);

fn ms(d: Duration) -> u64 {
    d.as_millis() as u64
}

fn main() {
    run_case("case1", |record, root, repository, trouble| {
        let bus = Bus::start(record)?;
        let nodes = [Node::start("s-1", record)?, Node::start("s-2", record)?];
        let origin = "127.0.0.1:9".parse().map_err(text("address"))?;
        let mut servers: Vec<String> =
            nodes.iter().map(|n| listed(&n.name, n.at, "edge-1", "small", "active")).collect();
        servers.push(listed("o-1", origin, "east", "origin", "active"));
        bus.list(true, &servers);

        let [dns, http] = free_ports()?;
        let place = Place::new(root, "n1", repository)?;
        place.write(
            "deploy/edge.toml",
            &format!(
                "zone = \"edge.example.\"\n[[front]]\nname = \"n1\"\ndns = [\"127.0.0.1:{dns}\"]\n\
                 http = [\"127.0.0.1:{http}\"]\n[[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\"]\n"
            ),
        )?;
        place.configure(&bus, &settings(DEADLINES))?;
        let at = format!("127.0.0.1:{http}").parse().map_err(text("address"))?;

        let mut old = place.start(true, record)?;
        old.wait("ledger: open", Duration::from_secs(20))?;
        let mut first = Http::connect(at)?;
        first.send(&signup("before", SIGNUP_MS, false))?;
        let reply = first.reply(Duration::from_secs(3))?;
        record.say(format!("client   'before' was answered {}", reply.status));
        if reply.status != 200 {
            return Err(format!("a signup before the trouble got {}", reply.status));
        }
        drop(first);

        // The process is replaced: the new one starts beside the old one and says that it is ready; then SIGTERM.
        let new = if trouble { Some(place.start(true, record)?) } else { None };
        let mut client = Http::connect(at)?;
        sleep(Duration::from_millis(100));
        nodes.iter().for_each(|n| n.loses_answer_to("plan-77"));
        let term = Instant::now();
        if trouble {
            old.signal("TERM")?;
        }
        sleep(SENT_AFTER.saturating_sub(term.elapsed()));
        client.send(&signup("plan-77", SIGNUP_MS, false))?;
        let sent = Instant::now();
        record.say("client   sent the signup 'plan-77' on the connection that it had");
        // Whether it ends by an answer or by the client's patience decides what the client does next.
        let first = client.reply(TRY);
        drop(client);
        record.say(format!("client   first try: {:?}", first.as_ref().map(|r| r.status)));
        // One answer is lost in all: that of the node that the first try went to.
        nodes.iter().for_each(Node::loses_no_answer);
        if let Ok(reply) = &first {
            if reply.status != 503 {
                return Err(format!("the first try got {} though its answer is lost", reply.status));
            }
        }
        sleep((TRY + BACKOFF).saturating_sub(sent.elapsed()));
        let left = SIGNUP_MS.saturating_sub(ms(sent.elapsed()));
        let mut again = Http::connect(at)?;
        again.send(&signup("plan-77", left, true))?;
        record.say(format!("client   asks again with the same key, {left} ms before it gives up"));
        let second = again.reply(Duration::from_millis(left));
        record.say(format!("client   second try: {:?}", second.as_ref().map(|r| r.status)));

        sleep(Duration::from_millis(5200).saturating_sub(term.elapsed()));
        if trouble && !old.has_ended() {
            return Err("the old process has not ended after SIGTERM".into());
        }
        drop(new);
        let runs: usize = nodes.iter().map(|n| n.runs("plan-77")).sum();
        record.say(format!("runs of 'plan-77' at cache nodes: {runs}"));
        match runs {
            0 => Err("the signup never came to a cache node".into()),
            1 => Ok(Verdict::Held),
            _ => Ok(Verdict::Broken(format!("the signup 'plan-77' ran {runs} times"))),
        }
    })
}
