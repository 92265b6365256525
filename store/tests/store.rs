//! Checks that written data is found when a store is reopened, and that files that cannot be trusted are rejected.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use elmtide_budgets::GuaranteedMinimums;
use elmtide_budgets::{BudgetKind, Epoch};
use elmtide_consensus::records::{Compaction, HardState, LogEntry, Snapshot as LogSnapshot, StorageUpdate};
use elmtide_consensus::VoterId;
use elmtide_store::{Store, StoreError};

struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new() -> TemporaryFile {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("elmtide-store-{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed));
        TemporaryFile(std::env::temp_dir().join(name))
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn entries(from: u64, to: u64, term: u64) -> Vec<LogEntry> {
    (from..=to)
        .map(|index| LogEntry { term, index, data: vec![index as u8; 20], voter_change: None })
        .collect()
}

fn store_with_log(file: &TemporaryFile) -> Store {
    let (store, _) = Store::open(&file.0, "duna").unwrap();
    store.write_voter_id(VoterId(77)).unwrap();
    let log_snapshot = LogSnapshot { index: 1, term: 1, ..LogSnapshot::default() };
    let vote = Some(HardState { term: 3, vote: 77, commit: 1 });
    store
        .write_log(&StorageUpdate {
            snapshot: Some(log_snapshot),
            entries: entries(2, 9, 3),
            hard_state: vote,
            compaction: None,
        })
        .unwrap();
    store
}

#[test]
fn written_data_is_recovered_and_each_opening_raises_the_incarnation() {
    let file = TemporaryFile::new();
    drop(store_with_log(&file));
    let (store, recovered) = Store::open(&file.0, "duna").unwrap();
    assert_eq!((recovered.incarnation, recovered.voter), (2, Some(VoterId(77))));
    assert_eq!(recovered.log.hard_state, HardState { term: 3, vote: 77, commit: 1 });
    assert_eq!(recovered.log.entries.len(), 8);
    // A later leader's entries replace the existing ones from their first index on.
    store.write_log(&StorageUpdate { entries: entries(5, 6, 4), ..StorageUpdate::default() }).unwrap();
    let guaranteed_minimums =
        GuaranteedMinimums { epoch: Epoch(9), minimums: vec![(BudgetKind::Retries, 1000)] };
    store.write_minimums(&guaranteed_minimums).unwrap();
    drop(store);
    let (store, recovered) = Store::open(&file.0, "duna").unwrap();
    let terms: Vec<(u64, u64)> = recovered.log.entries.iter().map(|e| (e.index, e.term)).collect();
    assert_eq!(terms, [(2, 3), (3, 3), (4, 3), (5, 4), (6, 4)]);
    assert_eq!(recovered.minimums, guaranteed_minimums);
    let log_snapshot = LogSnapshot { index: 5, term: 4, ..LogSnapshot::default() };
    store
        .write_log(&StorageUpdate {
            compaction: Some(Compaction { snapshot: log_snapshot, first_index: 4 }),
            ..StorageUpdate::default()
        })
        .unwrap();
    drop(store);
    let (store, recovered) = Store::open(&file.0, "duna").unwrap();
    assert_eq!(recovered.log.entries.iter().map(|e| e.index).collect::<Vec<_>>(), [4, 5, 6]);
    assert_eq!(recovered.incarnation, 4);
    // A reset continues above the incarnation that other fronts have seen.
    assert_eq!(store.reset(40).unwrap().incarnation, 41);
    drop(store);
    let (_, recovered) = Store::open(&file.0, "duna").unwrap();
    assert_eq!((recovered.incarnation, recovered.voter, recovered.log.entries.len()), (42, None, 0));
}

#[test]
fn a_store_in_use_or_of_another_installation_is_rejected() {
    let file = TemporaryFile::new();
    let store = store_with_log(&file);
    assert!(matches!(Store::open(&file.0, "duna"), Err(StoreError::InUse)));
    drop(store);
    assert!(
        matches!(Store::open(&file.0, "tisza"), Err(StoreError::OtherInstallation { found }) if found == "duna")
    );
    assert_eq!(Store::open(&file.0, "duna").unwrap().1.incarnation, 2, "a rejected opening changes nothing");
}

/// A file that is truncated at any offset or has one changed byte opens with its original content or is rejected.
#[test]
fn a_damaged_file_is_rejected_or_opens_intact() {
    let file = TemporaryFile::new();
    drop(store_with_log(&file));
    let whole = fs::read(&file.0).unwrap();
    let (mut rejected, mut intact) = (0, 0);
    let offsets = (0..whole.len()).step_by(whole.len() / 400 + 1);
    for offset in offsets {
        for truncated in [false, true] {
            let mut bytes = whole.clone();
            if truncated {
                bytes.truncate(offset);
            } else {
                bytes[offset] ^= 0x41;
            }
            // An empty file is a new one.
            if bytes.is_empty() {
                continue;
            }
            let torn = TemporaryFile::new();
            fs::write(&torn.0, &bytes).unwrap();
            let opened =
                std::panic::catch_unwind(|| Store::open(&torn.0, "duna").map(|(_, recovered)| recovered));
            match opened {
                Ok(Ok(recovered)) => {
                    assert_eq!(
                        (recovered.voter, recovered.log.entries.len()),
                        (Some(VoterId(77)), 8),
                        "at {offset}"
                    );
                    assert_eq!(recovered.log.hard_state.term, 3, "at {offset}");
                    intact += 1;
                }
                Ok(Err(_)) => rejected += 1,
                // The database panics in debug builds on some torn pages, which also keeps the front from voting.
                Err(_) => rejected += 1,
            }
        }
    }
    assert!(rejected > 100, "{rejected} rejected, {intact} intact");
}

/// The path of a temporary file that an earlier, killed process could have left beside a store.
fn leftover(file: &TemporaryFile) -> TemporaryFile {
    let name = format!("{}.new-1-0", file.0.file_name().unwrap().to_string_lossy());
    TemporaryFile(file.0.with_file_name(name))
}

/// A rewritten store has the whole content under a later incarnation, even if an earlier attempt left a temporary file.
#[test]
fn a_rewritten_store_has_the_recovered_content() {
    let file = TemporaryFile::new();
    let store = store_with_log(&file);
    let guaranteed_minimums =
        GuaranteedMinimums { epoch: Epoch(9), minimums: vec![(BudgetKind::Retries, 1000)] };
    store.write_minimums(&guaranteed_minimums).unwrap();
    assert!(matches!(Store::rewrite(&file.0, "duna"), Err(StoreError::InUse)), "open in this process");
    drop(store);
    let leftover = leftover(&file);
    fs::write(&leftover.0, b"half a store").unwrap();
    let (store, recovered) = Store::rewrite(&file.0, "duna").unwrap();
    assert!(!leftover.0.exists());
    assert_eq!((recovered.incarnation, recovered.voter), (2, Some(VoterId(77))));
    assert_eq!(recovered.minimums, guaranteed_minimums);
    assert!(
        matches!(Store::open(&file.0, "duna"), Err(StoreError::InUse)),
        "the new file is locked by the rewritten store"
    );
    store.write_log(&StorageUpdate { entries: entries(10, 10, 3), ..StorageUpdate::default() }).unwrap();
    drop(store);
    let (_store, recovered) = Store::open(&file.0, "duna").unwrap();
    assert_eq!(
        (recovered.incarnation, recovered.voter, recovered.minimums),
        (3, Some(VoterId(77)), guaranteed_minimums)
    );
    assert_eq!(recovered.log.hard_state, HardState { term: 3, vote: 77, commit: 1 });
    assert_eq!(recovered.log.snapshot.index, 1);
    assert_eq!(
        recovered.log.entries.iter().map(|e| e.index).collect::<Vec<_>>(),
        (2..=10).collect::<Vec<_>>()
    );
}

/// A temporary file of a process that was killed while it created a store does not hinder the next process.
#[test]
fn leftovers_of_an_interrupted_creation_are_removed() {
    let file = TemporaryFile::new();
    let leftover = leftover(&file);
    fs::write(&leftover.0, b"half a store").unwrap();
    let (_store, recovered) = Store::open(&file.0, "duna").unwrap();
    assert_eq!(recovered.incarnation, 1);
    assert!(!leftover.0.exists());
}

/// Of several concurrent attempts to create the same store, exactly one succeeds.
#[test]
fn concurrent_creation_succeeds_once() {
    for _ in 0..20 {
        let file = TemporaryFile::new();
        let open = || Store::open(&file.0, "duna");
        let opened: Vec<_> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..4).map(|_| scope.spawn(open)).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        assert_eq!(opened.iter().filter(|result| result.is_ok()).count(), 1);
    }
}

/// A file that is corrupt, missing or belongs to another installation is not rewritten.
#[test]
fn only_a_valid_store_is_rewritten() {
    let file = TemporaryFile::new();
    assert!(Store::rewrite(&file.0, "duna").is_err());
    assert!(!file.0.exists(), "a missing store is not replaced by a new one");
    drop(store_with_log(&file));
    assert!(matches!(Store::rewrite(&file.0, "other"), Err(StoreError::OtherInstallation { .. })));
    fs::write(&file.0, b"no store").unwrap();
    assert!(Store::rewrite(&file.0, "duna").is_err());
    assert_eq!(fs::read(&file.0).unwrap(), b"no store");
}

#[test]
fn a_file_that_is_not_a_store_is_rejected() {
    let file = TemporaryFile::new();
    fs::write(&file.0, b"plans and prices\n".repeat(500)).unwrap();
    assert!(Store::open(&file.0, "duna").is_err());
    assert_eq!(fs::read(&file.0).unwrap().len(), 17 * 500, "the file is left unchanged");
    let folder = TemporaryFile::new();
    assert!(matches!(Store::open(&folder.0.join("none/there"), "duna"), Err(StoreError::Database(_))));
}
