//! The cases of the second independent review: `review-2 CASE RECORD`, started from the root of the repository.
//! Ends with 1 where the rule was broken, 0 where it held, 2 where the case could not run.

mod cold;
mod forgotten;
mod kit;
mod leaving;
mod permit;
mod purge;
mod stale;
mod unscrewed;

use std::path::Path;
use std::process::exit;

/// What a run has found.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("review-2 CASE RECORD");
        exit(2)
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = kit::Record::new();
    // A case may take 120 s.
    let (late, late_path) = (record.clone(), path.clone());
    std::thread::spawn(move || {
        kit::sleep_ms(110_000);
        kit::end_all();
        late.line("not run: it took too long");
        late.save(Path::new(&late_path));
        exit(2);
    });
    // A panic unwinds, so that the processes that were started end.
    let run = || match case.as_str() {
        "cold" => cold::run(&record, trouble),
        "forgotten" => forgotten::run(&record, trouble),
        // By hand only, as `stale`: the report has them.
        "leaving" => leaving::run(&record, trouble),
        "permit" => permit::run(&record, trouble),
        "unscrewed" => unscrewed::run(&record, trouble),
        "stale" => stale::run(&record, trouble),
        "purge" => purge::run(&record, trouble),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    let run = std::panic::AssertUnwindSafe(run);
    let verdict = std::panic::catch_unwind(run).unwrap_or_else(|_| Verdict::NotRun("a panic".into()));
    let (code, text) = match verdict {
        Verdict::Broken(why) => (1, format!("BROKEN: {why}")),
        Verdict::Held(why) => (0, format!("held: {why}")),
        Verdict::NotRun(why) => (2, format!("not run: {why}")),
    };
    record.line(&text);
    record.save(Path::new(path));
    println!("{text}");
    exit(code);
}
