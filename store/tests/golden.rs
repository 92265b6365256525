//! A store that an earlier version wrote is read, and what is read is written back record for record.

use std::fs;
use std::path::PathBuf;

use elmtide_budgets::GuaranteedMinimums;
use elmtide_budgets::{BudgetKind, Epoch};
use elmtide_consensus::records::{HardState, LogEntry, Snapshot as State, StorageUpdate, VoterSet};
use elmtide_consensus::VoterId;
use elmtide_golden::GoldenFile;
use elmtide_store::Store;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const INSTALLATION: &str = "duna";
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

/// A file of the test's own, removed at its end.
struct ScratchFile(PathBuf);

impl ScratchFile {
    fn new(name: &str) -> ScratchFile {
        ScratchFile(std::env::temp_dir().join(format!("elmtide-store-golden-{}-{name}", std::process::id())))
    }
}

impl Drop for ScratchFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn snapshot() -> State {
    let voters =
        VoterSet { incoming: vec![VoterId(77), VoterId(78)], outgoing: Vec::new(), auto_leave: false };
    State { index: 4, term: 2, voters, data: vec![5; 30] }
}

fn entries() -> Vec<LogEntry> {
    let entry = |index| LogEntry { term: 3, index, data: vec![index as u8; 10], voter_change: None };
    let change = LogEntry { term: 3, index: 8, data: Vec::new(), voter_change: Some(vec![1, 2]) };
    (5..8).map(entry).chain([change]).collect()
}

fn vote() -> HardState {
    HardState { term: 3, vote: 77, commit: 6 }
}

fn floors() -> GuaranteedMinimums {
    GuaranteedMinimums {
        epoch: Epoch(9),
        minimums: vec![(BudgetKind::Retries, 1000), (BudgetKind::ShopConcurrency, 20)],
    }
}

fn write_all(store: &Store) {
    store.write_voter_id(VoterId(77)).unwrap();
    let persist = StorageUpdate {
        snapshot: Some(snapshot()),
        entries: entries(),
        hard_state: Some(vote()),
        compaction: None,
    };
    store.write_log(&persist).unwrap();
    store.write_minimums(&floors()).unwrap();
}

/// All records of a store's file, as they lie there.
fn records(file: &std::path::Path) -> Vec<(String, Vec<u8>)> {
    let database = Database::create(file).unwrap();
    let read = database.begin_read().unwrap();
    let meta = read.open_table(META).unwrap();
    let log = read.open_table(LOG).unwrap();
    let meta = meta.iter().unwrap().map(|row| row.unwrap());
    let meta: Vec<_> = meta.map(|(key, value)| (key.value().to_owned(), value.value().to_vec())).collect();
    let log = log.iter().unwrap().map(|row| row.unwrap());
    let log = log.map(|(index, value)| (format!("log_{:03}", index.value()), value.value().to_vec()));
    meta.into_iter().chain(log).collect()
}

#[test]
fn a_new_store_has_the_records_that_it_always_had() {
    let file = ScratchFile::new("new");
    let (store, _) = Store::open(&file.0, INSTALLATION).unwrap();
    write_all(&store);
    drop(store);
    let mut expected = GoldenFile::new(golden("records.txt"));
    for (name, bytes) in records(&file.0) {
        expected.bytes(&name, &bytes);
    }
    expected.check();
    if GoldenFile::is_recording() {
        fs::copy(&file.0, golden("store.redb")).unwrap();
    }
}

#[test]
fn a_store_of_an_earlier_version_is_read_and_written_back_record_for_record() {
    let old = ScratchFile::new("old");
    fs::copy(golden("store.redb"), &old.0).unwrap();
    let before = records(&old.0);
    let (store, kept) = Store::open(&old.0, INSTALLATION).unwrap();
    assert_eq!((kept.incarnation, kept.voter, kept.durable), (2, Some(VoterId(77)), true));
    assert_eq!(kept.minimums, floors());
    assert_eq!((kept.log.hard_state, &kept.log.snapshot), (vote(), &snapshot()));
    assert_eq!(kept.log.entries, entries());
    drop(store);

    let copy = ScratchFile::new("copy");
    let (store, _) = Store::open(&copy.0, INSTALLATION).unwrap();
    store.write_voter_id(kept.voter.unwrap()).unwrap();
    let stored = kept.log;
    let persist = StorageUpdate {
        snapshot: Some(stored.snapshot),
        entries: stored.entries,
        hard_state: Some(stored.hard_state),
        compaction: None,
    };
    store.write_log(&persist).unwrap();
    store.write_minimums(&kept.minimums).unwrap();
    drop(store);
    assert_eq!(records(&copy.0), before);
}
