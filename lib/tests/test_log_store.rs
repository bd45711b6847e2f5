//! The keeper's log and snapshot files after crashes and damage.

use std::fs;
use std::path::{Path, PathBuf};

use wingshed_lib::state::ids::{Incarnation, KeeperId};
use wingshed_lib::state::log_store::{
    EntryPayload, HardState, LogBatch, LogEntry, LogSnapshot, LogStore, StoredState,
};

fn entry(index: u64) -> LogEntry {
    LogEntry { index, term: 1, payload: EntryPayload::Command(vec![index as u8; 40]) }
}

fn batch(indexes: std::ops::RangeInclusive<u64>) -> LogBatch {
    let hard_state = Some(HardState { term: 1, voted_for: Some(KeeperId(1)) });
    LogBatch { hard_state, truncate_from: None, entries: indexes.map(entry).collect() }
}

fn open(folder: &Path) -> Result<(LogStore, StoredState), String> {
    LogStore::open(folder, KeeperId(1), Incarnation(5)).map_err(|error| error.to_string())
}

fn folder_with(batches: &[LogBatch]) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = open(folder.path()).unwrap();
    batches.iter().for_each(|batch| store.append(batch).unwrap());
    folder
}

fn log_file(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder).unwrap().flatten().map(|entry| entry.path());
    let mut logs: Vec<PathBuf> = files
        .filter(|path| path.file_name().unwrap().to_string_lossy().starts_with("log-"))
        .collect();
    logs.sort();
    logs.pop().unwrap()
}

fn indexes(state: &StoredState) -> Vec<u64> {
    state.entries.iter().map(|entry| entry.index).collect()
}

#[test]
fn a_torn_tail_is_cut_wherever_it_tears() {
    let whole = fs::read(log_file(folder_with(&[batch(1..=2)]).path())).unwrap().len();
    let full = folder_with(&[batch(1..=2), batch(3..=5)]);
    let length = fs::read(log_file(full.path())).unwrap().len();

    for cut in whole..length {
        let folder = folder_with(&[batch(1..=2), batch(3..=5)]);
        let path = log_file(folder.path());
        let bytes = fs::read(&path).unwrap();
        fs::write(&path, &bytes[..cut]).unwrap();

        let (mut store, state) = open(folder.path()).unwrap();
        store.append(&batch(3..=3)).unwrap();
        drop(store);
        let (_, again) = open(folder.path()).unwrap();

        assert_eq!(indexes(&state), [1, 2], "cut at {cut}");
        assert_eq!(state.torn_bytes as usize, cut - whole);
        assert_eq!(indexes(&again), [1, 2, 3], "entries appended after the cut are kept");
    }
}

#[test]
fn damage_before_the_last_record_is_refused_with_its_place() {
    let first = fs::read(log_file(folder_with(&[batch(1..=2)]).path())).unwrap().len();

    for offset in 0..first {
        let folder = folder_with(&[batch(1..=2), batch(3..=5)]);
        let path = log_file(folder.path());
        let mut bytes = fs::read(&path).unwrap();
        bytes[offset] ^= 0x40;
        fs::write(&path, &bytes).unwrap();

        let error = open(folder.path()).err().unwrap();

        assert!(error.contains("is damaged at byte 0"), "byte {offset}: {error}");
        assert_eq!(fs::read(&path).unwrap(), bytes, "a damaged log is left unchanged");
    }
}

#[test]
fn a_snapshot_swap_that_breaks_off_leaves_the_old_or_the_new() {
    let snapshot = LogSnapshot { index: 4, term: 1, image: vec![9; 100], ..LogSnapshot::default() };
    let hard_state = HardState { term: 2, voted_for: None };
    let leftovers: [(&str, &[u8]); 2] =
        [("snapshot.tmp", b"half a snapsh"), ("log-000000000001", b"a log without its snapshot")];

    for (name, bytes) in leftovers {
        let folder = folder_with(&[batch(1..=5)]);
        fs::write(folder.path().join(name), bytes).unwrap();

        let (mut store, state) = open(folder.path()).unwrap();
        assert_eq!(indexes(&state), [1, 2, 3, 4, 5], "{name}");
        store.install(&snapshot, hard_state, &[entry(5)]).unwrap();
        store.append(&batch(6..=6)).unwrap();
        drop(store);
        let (_, after) = open(folder.path()).unwrap();

        assert_eq!(after.snapshot, snapshot, "{name}");
        assert_eq!(indexes(&after), [5, 6], "{name}");
    }
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let folder = folder_with(&[batch(1..=5)]);
    let (mut store, _) = open(folder.path()).unwrap();
    let snapshot = LogSnapshot { index: 4, term: 1, image: vec![9; 100], ..LogSnapshot::default() };
    store.install(&snapshot, HardState::default(), &[entry(5)]).unwrap();
    drop(store);
    let path = folder.path().join("snapshot-000000000001");
    let mut bytes = fs::read(&path).unwrap();
    bytes[40] ^= 1;
    fs::write(&path, bytes).unwrap();

    let error = open(folder.path()).err().unwrap();

    assert!(error.contains("snapshot-000000000001 is damaged"), "{error}");
}

#[test]
fn entries_replaced_by_a_new_leader_stay_replaced() {
    let replaced =
        LogBatch { truncate_from: Some(3), entries: vec![entry(3)], ..LogBatch::default() };
    let folder = folder_with(&[batch(1..=5), replaced]);

    let (_, state) = open(folder.path()).unwrap();

    assert_eq!(indexes(&state), [1, 2, 3]);
}

#[test]
fn the_life_of_a_disk_is_kept_and_a_lost_one_is_new() {
    let folder = folder_with(&[batch(1..=1)]);
    let (store, _) = LogStore::open(folder.path(), KeeperId(1), Incarnation(6)).unwrap();
    let kept = store.incarnation;
    drop(store);
    fs::remove_file(folder.path().join("identity.json")).unwrap();

    let error = open(folder.path()).err().unwrap();
    fs::remove_dir_all(folder.path()).unwrap();
    let (store, state) = LogStore::open(folder.path(), KeeperId(1), Incarnation(7)).unwrap();

    assert_eq!(kept, Incarnation(5));
    assert!(error.contains("no identity"), "{error}");
    assert_eq!((store.incarnation, state.blank), (Incarnation(7), true));
}
