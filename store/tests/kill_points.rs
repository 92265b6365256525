//! Kills a process at any call that the store makes to its disk, on simulated storage. Afterwards, data that was
//! reported as written must be present, a write in progress must be present completely or not at all, and the store
//! must never be rejected.
//!
//! Writes since the last sync may have reached the disk or not, page by page and in any order, and one of them may be
//! torn at any byte. `ELMTIDE_KILL_POINTS` sets the number of kill points, `ELMTIDE_KILL_SEED` selects a single one.

use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};

use elmtide_budgets::{BudgetKind, Epoch, GuaranteedMinimums};
use elmtide_consensus::records::{Compaction, HardState, LogEntry, Snapshot, StorageUpdate, StoredLog};
use elmtide_consensus::VoterId;
use elmtide_fleet::RecoveredState;
use elmtide_store::{Store, StoreError};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use redb::StorageBackend;

const INSTALLATION: &str = "duna";
const VOTER: VoterId = VoterId(77);
const PAGE_BYTES: usize = 4096;
/// Default number of kill points.
const DEFAULT_KILL_POINTS: u64 = 400;
/// Maximum number of store writes in one run.
const MAX_UPDATES: usize = 6;
/// Maximum number of calls before the process is killed.
const MAX_CALLS: u64 = 120;

/// The part of an unsynced write that lies within one page.
#[derive(Clone, Debug)]
struct PageWrite {
    offset: usize,
    bytes: Vec<u8>,
}

/// The content that the process reads, the content that is durable, and the writes that may still reach the disk.
#[derive(Debug, Default)]
struct Disk {
    visible: Vec<u8>,
    durable: Vec<u8>,
    unsynced: Vec<PageWrite>,
    /// Remaining calls that change the disk before the process is killed.
    calls_left: u64,
    /// Whether a sync really makes data durable.
    sync_is_effective: bool,
}

#[derive(Clone, Debug)]
struct SimulatedStorage(Arc<Mutex<Disk>>);

impl SimulatedStorage {
    fn new(image: Vec<u8>, calls_left: u64, sync_is_effective: bool) -> SimulatedStorage {
        let disk = Disk {
            visible: image.clone(),
            durable: image,
            unsynced: Vec::new(),
            calls_left,
            sync_is_effective,
        };
        SimulatedStorage(Arc::new(Mutex::new(disk)))
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks the disk for a call that changes it; fails if the process has been killed.
    fn change(&self) -> Result<MutexGuard<'_, Disk>, io::Error> {
        let mut disk = self.disk();
        disk.calls_left = disk.calls_left.checked_sub(1).ok_or_else(killed)?;
        Ok(disk)
    }

    /// The content of the disk after the kill.
    fn image_after_kill(&self, random: &mut StdRng) -> Vec<u8> {
        let disk = self.disk();
        let mut image = disk.durable.clone();
        let chance = [0.0, 0.5, 1.0][random.random_range(0..3)];
        let mut reached: Vec<PageWrite> =
            disk.unsynced.iter().filter(|_| random.random_bool(chance)).cloned().collect();
        if !reached.is_empty() {
            let torn = random.random_range(0..reached.len());
            let length = random.random_range(0..=reached[torn].bytes.len());
            reached[torn].bytes.truncate(length);
        }
        for page_write in reached {
            let end = page_write.offset + page_write.bytes.len();
            if image.len() < end {
                image.resize(end, 0);
            }
            image[page_write.offset..end].copy_from_slice(&page_write.bytes);
        }
        image
    }
}

fn killed() -> io::Error {
    io::Error::other("the process was killed")
}

fn range(offset: u64, length: usize) -> Range<usize> {
    offset as usize..offset as usize + length
}

impl StorageBackend for SimulatedStorage {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.disk().visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let disk = self.disk();
        let bytes = disk.visible.get(range(offset, out.len()));
        out.copy_from_slice(bytes.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), io::Error> {
        // The length is metadata, which file systems keep consistent with their journal.
        let mut disk = self.change()?;
        disk.visible.resize(length as usize, 0);
        disk.durable.resize(length as usize, 0);
        disk.unsynced.retain(|page_write| page_write.offset + page_write.bytes.len() <= length as usize);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut disk = self.change()?;
        if disk.sync_is_effective {
            disk.durable = disk.visible.clone();
            disk.unsynced.clear();
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut disk = self.change()?;
        disk.visible[range(offset, data.len())].copy_from_slice(data);
        let mut start = 0;
        while start < data.len() {
            let at = offset as usize + start;
            let end = data.len().min(start + PAGE_BYTES - at % PAGE_BYTES);
            disk.unsynced.push(PageWrite { offset: at, bytes: data[start..end].to_vec() });
            start = end;
        }
        Ok(())
    }
}

/// The part of a store's content that a voter's safety depends on.
#[derive(Clone, Debug, Default, PartialEq)]
struct Content {
    voter: Option<VoterId>,
    minimums: GuaranteedMinimums,
    log: StoredLog,
}

impl From<RecoveredState> for Content {
    fn from(state: RecoveredState) -> Content {
        let mut log = state.log;
        // A change of only the commit index is not written. Entries covered by a snapshot are committed, and a voter
        // continues from there.
        log.hard_state.commit = log.hard_state.commit.max(log.snapshot.index);
        Content { voter: state.voter, minimums: state.minimums, log }
    }
}

/// A call that writes to the store.
type Write = Box<dyn FnOnce(&Store) -> Result<(), StoreError>>;

/// Draws a write and returns it with the content that it results in.
fn next_write(content: &Content, random: &mut StdRng) -> (Content, Write) {
    let mut after = content.clone();
    if content.voter.is_none() {
        after.voter = Some(VOTER);
        return (after, Box::new(|store| store.write_voter_id(VOTER)));
    }
    if random.random_bool(0.2) {
        let minimums =
            GuaranteedMinimums { epoch: Epoch(random.random()), minimums: vec![(BudgetKind::Retries, 7)] };
        after.minimums = minimums.clone();
        return (after, Box::new(move |store| store.write_minimums(&minimums)));
    }
    let update = next_log_update(&content.log, random);
    after.log.apply(&update);
    let log = &mut after.log;
    log.hard_state.commit = log.hard_state.commit.max(log.snapshot.index);
    (after, Box::new(move |store| store.write_log(&update)))
}

/// Draws a log update: entries that are appended or replace others with a new hard state, or a compaction.
fn next_log_update(log: &StoredLog, random: &mut StdRng) -> StorageUpdate {
    let last = log.entries.last().map_or(log.snapshot.index, |entry| entry.index);
    let term = log.hard_state.term + random.random_range(0..2);
    if let Some(middle) = log.entries.get(log.entries.len() / 2).filter(|_| random.random_bool(0.2)) {
        let snapshot = Snapshot { index: middle.index, term: middle.term, ..Snapshot::default() };
        let compaction = Some(Compaction { snapshot, first_index: middle.index + 1 });
        return StorageUpdate { compaction, ..StorageUpdate::default() };
    }
    let from = random.random_range(log.snapshot.index.max(last.saturating_sub(2))..=last) + 1;
    let count = random.random_range(0..4);
    let entry = |index| LogEntry {
        term,
        index,
        data: vec![random.random(); random.random_range(0..6000)],
        voter_change: None,
    };
    let entries = (from..from + count).map(entry).collect();
    let hard_state = Some(HardState { term, vote: VOTER.0, commit: log.snapshot.index });
    StorageUpdate { entries, hard_state, ..StorageUpdate::default() }
}

/// Opens the store and writes until the process is killed. Returns the content that was reported as written, and the
/// one that the interrupted write would have resulted in; `None` if the process was killed before the store was open.
fn write_until_killed(storage: &SimulatedStorage, random: &mut StdRng) -> Option<(Content, Option<Content>)> {
    let (store, recovered) = Store::open_on(storage.clone(), INSTALLATION).ok()?;
    let mut content = Content::from(recovered);
    for _ in 0..MAX_UPDATES {
        let (after, write) = next_write(&content, random);
        if write(&store).is_err() {
            return Some((content, Some(after)));
        }
        content = after;
    }
    Some((content, None))
}

/// Runs two processes, one after the other, each killed at a random call.
fn check_kill_point(seed: u64, sync_is_effective: bool) -> Result<(), String> {
    let mut random = StdRng::seed_from_u64(seed);
    let first = SimulatedStorage::new(Vec::new(), random.random_range(0..MAX_CALLS), sync_is_effective);
    // A process killed while it creates the store leaves no file: a new store only appears at its path when complete.
    let Some((reported, interrupted)) = write_until_killed(&first, &mut random) else { return Ok(()) };
    let image = first.image_after_kill(&mut random);
    let found = check_reopened(&image, &[Some(reported), interrupted], &format!("seed {seed}, first kill"))?;
    // The next process, which opens this image, is killed too, possibly while it opens the store.
    let second = SimulatedStorage::new(image, random.random_range(0..MAX_CALLS), sync_is_effective);
    let (reported, interrupted) = write_until_killed(&second, &mut random).unwrap_or((found, None));
    let image = second.image_after_kill(&mut random);
    check_reopened(&image, &[Some(reported), interrupted], &format!("seed {seed}, second kill")).map(drop)
}

/// Opens the image as the next process would. The content found must be one of the allowed ones.
fn check_reopened(image: &[u8], allowed: &[Option<Content>], step: &str) -> Result<Content, String> {
    let storage = SimulatedStorage::new(image.to_vec(), u64::MAX, true);
    let opened = Store::open_on(storage, INSTALLATION);
    let found = opened.map(|(_, recovered)| Content::from(recovered));
    let found = found.map_err(|error| format!("{step}: rejected: {error}"))?;
    match allowed.iter().flatten().any(|content| *content == found) {
        true => Ok(found),
        false => Err(format!("{step}: {found:?} is none of {allowed:?}")),
    }
}

#[test]
fn writes_reported_as_done_survive_a_kill_at_any_call() {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = env_number("ELMTIDE_KILL_SEED") {
        assert_eq!(check_kill_point(seed, true), Ok(()));
        return;
    }
    let points = env_number("ELMTIDE_KILL_POINTS").unwrap_or(DEFAULT_KILL_POINTS);
    println!("seeds 0 to {}", points.saturating_sub(1));
    let failures: Vec<String> = (0..points).filter_map(|seed| check_kill_point(seed, true).err()).collect();
    assert!(failures.is_empty(), "{} of {points} kill points failed: {}", failures.len(), failures[0]);
}

/// The check itself detects the data loss of a disk that reports syncs which it has not performed.
#[test]
fn data_loss_of_a_disk_that_ignores_syncs_is_detected() {
    const POINTS: u64 = 40;
    // The database panics in debug builds on some corrupt pages, which counts as detected.
    let is_detected = |seed| {
        let checked = std::panic::catch_unwind(|| check_kill_point(seed, false));
        !matches!(checked, Ok(Ok(())))
    };
    let detected = (0..POINTS).filter(|seed| is_detected(*seed)).count();
    assert!(detected > 5, "only {detected} of {POINTS} kill points detected the loss");
}
