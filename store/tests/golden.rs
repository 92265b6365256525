//! Checks that a store written by an earlier version can be read, and that writing its content back gives identical
//! records.

use std::fs;
use std::path::PathBuf;

use elmtide_budgets::GuaranteedMinimums;
use elmtide_budgets::{BudgetKind, Epoch};
use elmtide_consensus::records::{HardState, LogEntry, Snapshot as LogSnapshot, StorageUpdate, VoterSet};
use elmtide_consensus::VoterId;
use elmtide_golden::GoldenFile;
use elmtide_store::Store;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const INSTALLATION: &str = "duna";
const META_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

/// A temporary file for one test, removed when dropped.
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

fn snapshot() -> LogSnapshot {
    let voters =
        VoterSet { incoming: vec![VoterId(77), VoterId(78)], outgoing: Vec::new(), auto_leave: false };
    LogSnapshot { index: 4, term: 2, voters, data: vec![5; 30] }
}

fn entries() -> Vec<LogEntry> {
    let entry = |index| LogEntry { term: 3, index, data: vec![index as u8; 10], voter_change: None };
    let change = LogEntry { term: 3, index: 8, data: Vec::new(), voter_change: Some(vec![1, 2]) };
    (5..8).map(entry).chain([change]).collect()
}

fn hard_state_record() -> HardState {
    HardState { term: 3, vote: 77, commit: 6 }
}

fn guaranteed_minimums() -> GuaranteedMinimums {
    GuaranteedMinimums {
        epoch: Epoch(9),
        minimums: vec![(BudgetKind::Retries, 1000), (BudgetKind::ShopConcurrency, 20)],
    }
}

fn write_all(store: &Store) {
    store.write_voter_id(VoterId(77)).unwrap();
    let update = StorageUpdate {
        snapshot: Some(snapshot()),
        entries: entries(),
        hard_state: Some(hard_state_record()),
        compaction: None,
    };
    store.write_log(&update).unwrap();
    store.write_minimums(&guaranteed_minimums()).unwrap();
}

/// Reads all raw records of a store's file.
fn records(file: &std::path::Path) -> Vec<(String, Vec<u8>)> {
    let database = Database::create(file).unwrap();
    let read = database.begin_read().unwrap();
    let meta = read.open_table(META_TABLE).unwrap();
    let log = read.open_table(LOG_TABLE).unwrap();
    let meta = meta.iter().unwrap().map(|row| row.unwrap());
    let meta: Vec<_> = meta.map(|(key, value)| (key.value().to_owned(), value.value().to_vec())).collect();
    let log = log.iter().unwrap().map(|row| row.unwrap());
    let log = log.map(|(index, value)| (format!("log_{:03}", index.value()), value.value().to_vec()));
    meta.into_iter().chain(log).collect()
}

#[test]
fn a_new_store_has_the_same_records_as_in_earlier_versions() {
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
fn a_store_of_an_earlier_version_is_read_and_written_back_with_identical_records() {
    let old = ScratchFile::new("old");
    fs::copy(golden("store.redb"), &old.0).unwrap();
    let before = records(&old.0);
    let (store, recovered) = Store::open(&old.0, INSTALLATION).unwrap();
    assert_eq!((recovered.incarnation, recovered.voter, recovered.durable), (2, Some(VoterId(77)), true));
    assert_eq!(recovered.minimums, guaranteed_minimums());
    assert_eq!((recovered.log.hard_state, &recovered.log.snapshot), (hard_state_record(), &snapshot()));
    assert_eq!(recovered.log.entries, entries());
    drop(store);

    let copy = ScratchFile::new("copy");
    let (store, _) = Store::open(&copy.0, INSTALLATION).unwrap();
    store.write_voter_id(recovered.voter.unwrap()).unwrap();
    let stored = recovered.log;
    let update = StorageUpdate {
        snapshot: Some(stored.snapshot),
        entries: stored.entries,
        hard_state: Some(stored.hard_state),
        compaction: None,
    };
    store.write_log(&update).unwrap();
    store.write_minimums(&recovered.minimums).unwrap();
    drop(store);
    assert_eq!(records(&copy.0), before);
}
