//! A process killed at any call that the store makes to its disk, in simulated storage: what was reported as written is there
//! afterwards, what was being written is there whole or not at all, and the store is never refused.
//!
//! Writes since the last sync may have reached the disk or not, page by page and in any order, and one of them may be torn at any
//! byte. `ELMTIDE_KILL_POINTS` sets how many points are tried, `ELMTIDE_KILL_SEED` a single one.

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
/// Kill points of an ordinary run of the tests.
const USUAL_POINTS: u64 = 400;
/// Writes of the store in one run.
const MAX_UPDATES: usize = 6;
/// Calls after which the process is killed at the latest.
const MAX_CALLS: u64 = 120;

/// A piece of a write that has not been synced, within one page.
#[derive(Clone, Debug)]
struct Piece {
    offset: usize,
    bytes: Vec<u8>,
}

/// What the process sees, what is on the disk, and what may get there.
#[derive(Debug, Default)]
struct Disk {
    seen: Vec<u8>,
    durable: Vec<u8>,
    unsynced: Vec<Piece>,
    /// Calls that change the disk until the process is killed.
    calls_left: u64,
    /// Whether a sync does what it says.
    is_honest: bool,
}

#[derive(Clone, Debug)]
struct SimulatedStorage(Arc<Mutex<Disk>>);

impl SimulatedStorage {
    fn new(image: Vec<u8>, calls_left: u64, is_honest: bool) -> SimulatedStorage {
        let disk = Disk { seen: image.clone(), durable: image, unsynced: Vec::new(), calls_left, is_honest };
        SimulatedStorage(Arc::new(Mutex::new(disk)))
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The disk for a call that changes it, unless the process has been killed.
    fn change(&self) -> Result<MutexGuard<'_, Disk>, io::Error> {
        let mut disk = self.disk();
        disk.calls_left = disk.calls_left.checked_sub(1).ok_or_else(killed)?;
        Ok(disk)
    }

    /// What is on the disk after the kill.
    fn image_after_kill(&self, random: &mut StdRng) -> Vec<u8> {
        let disk = self.disk();
        let mut image = disk.durable.clone();
        let chance = [0.0, 0.5, 1.0][random.random_range(0..3)];
        let mut reached: Vec<Piece> =
            disk.unsynced.iter().filter(|_| random.random_bool(chance)).cloned().collect();
        if !reached.is_empty() {
            let torn = random.random_range(0..reached.len());
            let length = random.random_range(0..=reached[torn].bytes.len());
            reached[torn].bytes.truncate(length);
        }
        for piece in reached {
            let end = piece.offset + piece.bytes.len();
            if image.len() < end {
                image.resize(end, 0);
            }
            image[piece.offset..end].copy_from_slice(&piece.bytes);
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
        Ok(self.disk().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let disk = self.disk();
        let bytes = disk.seen.get(range(offset, out.len()));
        out.copy_from_slice(bytes.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), io::Error> {
        // The length is metadata, which file systems keep in order with their journal.
        let mut disk = self.change()?;
        disk.seen.resize(length as usize, 0);
        disk.durable.resize(length as usize, 0);
        disk.unsynced.retain(|piece| piece.offset + piece.bytes.len() <= length as usize);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut disk = self.change()?;
        if disk.is_honest {
            disk.durable = disk.seen.clone();
            disk.unsynced.clear();
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut disk = self.change()?;
        disk.seen[range(offset, data.len())].copy_from_slice(data);
        let mut start = 0;
        while start < data.len() {
            let at = offset as usize + start;
            let end = data.len().min(start + PAGE_BYTES - at % PAGE_BYTES);
            disk.unsynced.push(Piece { offset: at, bytes: data[start..end].to_vec() });
            start = end;
        }
        Ok(())
    }
}

/// What a store has, as far as a voter's safety rests on it.
#[derive(Clone, Debug, Default, PartialEq)]
struct Content {
    voter: Option<VoterId>,
    minimums: GuaranteedMinimums,
    log: StoredLog,
}

impl From<RecoveredState> for Content {
    fn from(state: RecoveredState) -> Content {
        let mut log = state.log;
        // A commit index alone is not written: what a snapshot was made of was committed, and a voter goes on from that.
        log.hard_state.commit = log.hard_state.commit.max(log.snapshot.index);
        Content { voter: state.voter, minimums: state.minimums, log }
    }
}

/// A write of the store.
type Write = Box<dyn FnOnce(&Store) -> Result<(), StoreError>>;

/// One write, and what it makes of the content.
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

/// Entries that are appended or replace others, a vote, or a part of the log that is cut.
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

/// Opens the store and writes until the process is killed: what was reported as written, and what was being written then. `None`
/// if it was killed before it had opened the store.
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

/// Two processes, one after the other, each killed at some call.
fn check_kill_point(seed: u64, is_honest: bool) -> Result<(), String> {
    let mut random = StdRng::seed_from_u64(seed);
    let first = SimulatedStorage::new(Vec::new(), random.random_range(0..MAX_CALLS), is_honest);
    // Killed before that it has left no file: a new store is put in its place once it is whole.
    let Some((reported, begun)) = write_until_killed(&first, &mut random) else { return Ok(()) };
    let image = first.image_after_kill(&mut random);
    let found = check_reopened(&image, &[Some(reported), begun], &format!("seed {seed}, first kill"))?;
    // A process that finds this on its disk is killed too, which may happen while it opens the store.
    let second = SimulatedStorage::new(image, random.random_range(0..MAX_CALLS), is_honest);
    let (reported, begun) = write_until_killed(&second, &mut random).unwrap_or((found, None));
    let image = second.image_after_kill(&mut random);
    check_reopened(&image, &[Some(reported), begun], &format!("seed {seed}, second kill")).map(drop)
}

/// What the next process finds, which has to be one of these.
fn check_reopened(image: &[u8], allowed: &[Option<Content>], what: &str) -> Result<Content, String> {
    let storage = SimulatedStorage::new(image.to_vec(), u64::MAX, true);
    let opened = Store::open_on(storage, INSTALLATION);
    let found = opened.map(|(_, recovered)| Content::from(recovered));
    let found = found.map_err(|error| format!("{what}: refused: {error}"))?;
    match allowed.iter().flatten().any(|content| *content == found) {
        true => Ok(found),
        false => Err(format!("{what}: {found:?} is none of {allowed:?}")),
    }
}

#[test]
fn what_was_reported_as_written_is_there_after_a_kill_at_any_call() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("ELMTIDE_KILL_SEED") {
        assert_eq!(check_kill_point(seed, true), Ok(()));
        return;
    }
    let points = number("ELMTIDE_KILL_POINTS").unwrap_or(USUAL_POINTS);
    println!("seeds 0 to {}", points.saturating_sub(1));
    let broken: Vec<String> = (0..points).filter_map(|seed| check_kill_point(seed, true).err()).collect();
    assert!(broken.is_empty(), "{} of {points} points: {}", broken.len(), broken[0]);
}

/// The check finds what a disk loses that says it has synced and has not.
#[test]
fn a_disk_that_lies_about_its_syncs_is_found() {
    const POINTS: u64 = 40;
    // The database panics in debug builds on some broken pages.
    let is_found = |seed| {
        let checked = std::panic::catch_unwind(|| check_kill_point(seed, false));
        !matches!(checked, Ok(Ok(())))
    };
    let found = (0..POINTS).filter(|seed| is_found(*seed)).count();
    assert!(found > 5, "{found} of {POINTS}");
}
