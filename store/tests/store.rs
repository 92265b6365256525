//! The store against what a disk does: what was said to be kept is there, and what can't be trusted is refused.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use elmtide_budgets::GuaranteedMinimums;
use elmtide_budgets::{BudgetKind, Epoch};
use elmtide_consensus::records::{Compaction, HardState, LogEntry, Snapshot as State, StorageUpdate};
use elmtide_consensus::VoterId;
use elmtide_store::{Store, StoreError};

struct File(PathBuf);

impl File {
    fn new() -> File {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("elmtide-store-{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed));
        File(std::env::temp_dir().join(name))
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn entries(from: u64, to: u64, term: u64) -> Vec<LogEntry> {
    (from..=to)
        .map(|index| LogEntry { term, index, data: vec![index as u8; 20], voter_change: None })
        .collect()
}

fn begun(file: &File) -> Store {
    let (store, _) = Store::open(&file.0, "duna").unwrap();
    store.write_voter_id(VoterId(77)).unwrap();
    let state = State { index: 1, term: 1, ..State::default() };
    let vote = Some(HardState { term: 3, vote: 77, commit: 1 });
    store
        .write_log(&StorageUpdate {
            snapshot: Some(state),
            entries: entries(2, 9, 3),
            hard_state: vote,
            compaction: None,
        })
        .unwrap();
    store
}

#[test]
fn what_was_kept_is_there_and_each_opening_is_a_later_run() {
    let file = File::new();
    drop(begun(&file));
    let (store, kept) = Store::open(&file.0, "duna").unwrap();
    assert_eq!((kept.incarnation, kept.voter), (2, Some(VoterId(77))));
    assert_eq!(kept.log.hard_state, HardState { term: 3, vote: 77, commit: 1 });
    assert_eq!(kept.log.entries.len(), 8);
    // A later leader's entries take the place of those from an index on.
    store.write_log(&StorageUpdate { entries: entries(5, 6, 4), ..StorageUpdate::default() }).unwrap();
    let floors = GuaranteedMinimums { epoch: Epoch(9), minimums: vec![(BudgetKind::Retries, 1000)] };
    store.write_minimums(&floors).unwrap();
    drop(store);
    let (store, kept) = Store::open(&file.0, "duna").unwrap();
    let terms: Vec<(u64, u64)> = kept.log.entries.iter().map(|e| (e.index, e.term)).collect();
    assert_eq!(terms, [(2, 3), (3, 3), (4, 3), (5, 4), (6, 4)]);
    assert_eq!(kept.minimums, floors);
    let state = State { index: 5, term: 4, ..State::default() };
    store
        .write_log(&StorageUpdate {
            compaction: Some(Compaction { snapshot: state, first_index: 4 }),
            ..StorageUpdate::default()
        })
        .unwrap();
    drop(store);
    let (store, kept) = Store::open(&file.0, "duna").unwrap();
    assert_eq!(kept.log.entries.iter().map(|e| e.index).collect::<Vec<_>>(), [4, 5, 6]);
    assert_eq!(kept.incarnation, 4);
    // After others have seen more, it begins anew above that.
    assert_eq!(store.reset(40).unwrap().incarnation, 41);
    drop(store);
    let (_, kept) = Store::open(&file.0, "duna").unwrap();
    assert_eq!((kept.incarnation, kept.voter, kept.log.entries.len()), (42, None, 0));
}

#[test]
fn two_processes_do_not_have_one_store_and_another_installation_has_none() {
    let file = File::new();
    let store = begun(&file);
    assert!(matches!(Store::open(&file.0, "duna"), Err(StoreError::InUse)));
    drop(store);
    assert!(
        matches!(Store::open(&file.0, "tisza"), Err(StoreError::OtherInstallation { found }) if found == "duna")
    );
    assert_eq!(Store::open(&file.0, "duna").unwrap().1.incarnation, 2, "a refusal changes nothing");
}

/// A file cut at any place, or with a byte changed, is what it was before or refused; it is never something else.
#[test]
fn a_torn_file_is_refused_or_whole() {
    let file = File::new();
    drop(begun(&file));
    let whole = fs::read(&file.0).unwrap();
    let (mut refused, mut same) = (0, 0);
    let places = (0..whole.len()).step_by(whole.len() / 400 + 1);
    for place in places {
        for cut in [false, true] {
            let mut bytes = whole.clone();
            if cut {
                bytes.truncate(place);
            } else {
                bytes[place] ^= 0x41;
            }
            // An empty file is a new one.
            if bytes.is_empty() {
                continue;
            }
            let torn = File::new();
            fs::write(&torn.0, &bytes).unwrap();
            let opened = std::panic::catch_unwind(|| Store::open(&torn.0, "duna").map(|(_, kept)| kept));
            match opened {
                Ok(Ok(kept)) => {
                    assert_eq!((kept.voter, kept.log.entries.len()), (Some(VoterId(77)), 8), "at {place}");
                    assert_eq!(kept.log.hard_state.term, 3, "at {place}");
                    same += 1;
                }
                Ok(Err(_)) => refused += 1,
                // The database panics in debug builds on some torn pages: that ends the front's vote as well.
                Err(_) => refused += 1,
            }
        }
    }
    assert!(refused > 100, "{refused} refused, {same} whole");
}

/// What a killed process of an earlier day has left beside a store.
fn left_behind(file: &File) -> File {
    let name = format!("{}.new-1-0", file.0.file_name().unwrap().to_string_lossy());
    File(file.0.with_file_name(name))
}

/// A store that is written anew has all that was kept, under a later incarnation, whatever an earlier try left behind.
#[test]
fn a_store_written_anew_has_what_was_kept() {
    let file = File::new();
    let store = begun(&file);
    let floors = GuaranteedMinimums { epoch: Epoch(9), minimums: vec![(BudgetKind::Retries, 1000)] };
    store.write_minimums(&floors).unwrap();
    assert!(matches!(Store::rewrite(&file.0, "duna"), Err(StoreError::InUse)), "by its own process too");
    drop(store);
    let left_behind = left_behind(&file);
    fs::write(&left_behind.0, b"half a store").unwrap();
    let (store, kept) = Store::rewrite(&file.0, "duna").unwrap();
    assert!(!left_behind.0.exists());
    assert_eq!((kept.incarnation, kept.voter), (2, Some(VoterId(77))));
    assert_eq!(kept.minimums, floors);
    assert!(matches!(Store::open(&file.0, "duna"), Err(StoreError::InUse)), "the file is this opening's");
    store.write_log(&StorageUpdate { entries: entries(10, 10, 3), ..StorageUpdate::default() }).unwrap();
    drop(store);
    let (_store, kept) = Store::open(&file.0, "duna").unwrap();
    assert_eq!((kept.incarnation, kept.voter, kept.minimums), (3, Some(VoterId(77)), floors));
    assert_eq!(kept.log.hard_state, HardState { term: 3, vote: 77, commit: 1 });
    assert_eq!(kept.log.snapshot.index, 1);
    assert_eq!(kept.log.entries.iter().map(|e| e.index).collect::<Vec<_>>(), (2..=10).collect::<Vec<_>>());
}

/// A process killed while it creates a store leaves nothing that the next one stumbles over.
#[test]
fn what_a_creation_left_behind_is_no_store() {
    let file = File::new();
    let left_behind = left_behind(&file);
    fs::write(&left_behind.0, b"half a store").unwrap();
    let (_store, kept) = Store::open(&file.0, "duna").unwrap();
    assert_eq!(kept.incarnation, 1);
    assert!(!left_behind.0.exists());
}

/// Of several processes that create one store at once, one has it.
#[test]
fn a_store_is_created_once() {
    for _ in 0..20 {
        let file = File::new();
        let open = || Store::open(&file.0, "duna");
        let opened: Vec<_> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..4).map(|_| scope.spawn(open)).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        assert_eq!(opened.iter().filter(|result| result.is_ok()).count(), 1);
    }
}

/// What can't be trusted, belongs to others or is not there is not written anew.
#[test]
fn only_a_store_is_written_anew() {
    let file = File::new();
    assert!(Store::rewrite(&file.0, "duna").is_err());
    assert!(!file.0.exists(), "no new store takes the place of one that is gone");
    drop(begun(&file));
    assert!(matches!(Store::rewrite(&file.0, "other"), Err(StoreError::OtherInstallation { .. })));
    fs::write(&file.0, b"no store").unwrap();
    assert!(Store::rewrite(&file.0, "duna").is_err());
    assert_eq!(fs::read(&file.0).unwrap(), b"no store");
}

#[test]
fn what_is_no_store_is_refused() {
    let file = File::new();
    fs::write(&file.0, b"plans and prices\n".repeat(500)).unwrap();
    assert!(Store::open(&file.0, "duna").is_err());
    assert_eq!(fs::read(&file.0).unwrap().len(), 17 * 500, "it is left as it is");
    let folder = File::new();
    assert!(matches!(Store::open(&folder.0.join("none/there"), "duna"), Err(StoreError::Database(_))));
}
