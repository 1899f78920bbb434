//! Recovery of a data folder after losses of power at any operation, which keep or lose each
//! unsynced name and each unsynced write by itself.

mod samples;

use store::Disk;
use store::MemoryDisk;
use store::Options;
use store::StoreError;
use store::error::Damage;

use crate::samples::batch;
use crate::samples::entry;
use crate::samples::indices;
use crate::samples::open;
use crate::samples::snapshot;

/// Segments of a few entries, so that most snapshots cover some of them.
const SMALL: Options = Options { segment_bytes: 200 };
/// A folder with `count` entries and a snapshot up to `covered`, and the log segments that the
/// snapshot removed with their contents.
fn compacted(count: u64, covered: u64) -> (MemoryDisk, Vec<(String, Vec<u8>)>) {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk, SMALL).expect("opens");
    for index in 1..=count {
        store.append(&batch(1, [index])).expect("appends");
    }
    let before = segments(&disk);
    store.save(&snapshot(covered, 1)).expect("saves");
    let names: Vec<String> = segments(&disk).into_iter().map(|(name, _)| name).collect();
    let removed = before.into_iter().filter(|(name, _)| !names.contains(name));
    (disk, removed.collect())
}

fn segments(disk: &MemoryDisk) -> Vec<(String, Vec<u8>)> {
    let mut names = disk.list().expect("lists");
    names.retain(|n| n.starts_with("log-"));
    let read = |name: String| (name.clone(), disk.read(&name).expect("reads"));
    names.into_iter().map(read).collect()
}

fn put(disk: &mut MemoryDisk, name: &str, bytes: &[u8]) {
    disk.create(name).expect("creates");
    disk.append(name, bytes).expect("appends");
    disk.sync(name).expect("syncs");
    disk.sync_dir().expect("syncs the folder");
}

/// Guards against folders that stay refused: a loss of power brought back any of the segments
/// that a snapshot had covered.
#[test]
fn test_power_loss_that_brings_any_covered_segments_back_is_recovered() {
    let (_, removed) = compacted(30, 24);
    assert!(removed.len() >= 4, "{}", removed.len());
    for chosen in 0_u32..1 << removed.len() {
        let (mut disk, removed) = compacted(30, 24);
        for (position, (name, bytes)) in removed.iter().enumerate() {
            if chosen & 1 << position != 0 {
                put(&mut disk, name, bytes);
            }
        }
        let (mut store, found) = open(&disk, SMALL).unwrap_or_else(|e| panic!("{chosen:b}: {e}"));
        assert_eq!(indices(&found), [25, 26, 27, 28, 29, 30], "{chosen:b}");
        store.append(&batch(2, [31])).expect("appends");
        drop(store);
        disk.crash();
        let (_, found) = open(&disk, SMALL).unwrap_or_else(|e| panic!("{chosen:b}: {e}"));
        assert_eq!(indices(&found), [25, 26, 27, 28, 29, 30, 31], "{chosen:b}");
    }
}

/// Guards against lost entries: a covered segment came back whose entry at the snapshot's index
/// was replaced by one in a segment that didn't come back.
#[test]
fn test_power_loss_that_brings_replaced_entries_back_loses_no_entry() {
    let whole = Options { segment_bytes: 1 };
    let mut disk = MemoryDisk::default();
    let (mut store, _) = open(&disk, whole).expect("opens");
    store.append(&batch(1, [1, 2, 3])).expect("appends");
    store.append(&batch(2, [2, 3])).expect("appends");
    store.append(&batch(2, [4])).expect("appends");
    store.append(&batch(2, [5])).expect("appends");
    let before = segments(&disk);
    store.save(&snapshot(3, 2)).expect("saves");
    drop(store);
    put(&mut disk, &before[0].0, &before[0].1);
    let (_, found) = open(&disk, whole).expect("opens");
    assert_eq!(indices(&found), [4, 5]);
}

/// Guards against taking damage for a loss of power: the segment that is missing, or one before
/// it, has entries that no snapshot covers.
#[test]
fn test_power_loss_doesnt_explain_missing_entries_after_the_snapshot() {
    let (disk, removed) = compacted(60, 24);
    let live = segments(&disk);
    assert!(live.len() >= 4, "{}", live.len());
    for (missing, (name, _)) in live.iter().enumerate().take(live.len() - 1) {
        for brought_back in [false, true] {
            let (mut disk, _) = compacted(60, 24);
            disk.remove(name).expect("removes");
            if brought_back {
                put(&mut disk, &removed[0].0, &removed[0].1);
            }
            let damage = match open(&disk, SMALL) {
                Err(StoreError::Damaged(_, _, damage)) => damage,
                Err(err) => panic!("{missing}: {err}"),
                Ok(_) => panic!("{missing}: opened without {name}"),
            };
            assert!(matches!(damage, Damage::Gap | Damage::Segment), "{missing}");
        }
    }
}

/// Guards against lost entries: the process ended between the write of a leader's snapshot and
/// the removal of the entries that it superseded.
#[test]
fn test_power_loss_after_leader_snapshot_keeps_entries_appended_later() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk, Options::default()).expect("opens");
    for index in 1..=5 {
        store.append(&batch(1, [index])).expect("appends");
    }
    store.save(&snapshot(4, 3)).expect("saves");
    drop(store);
    disk.crash();
    let (mut store, found) = open(&disk, Options::default()).expect("opens");
    assert_eq!(found.entries, []);
    store.append(&batch(3, [5])).expect("appends");
    drop(store);
    disk.crash();
    let (_, found) = open(&disk, Options::default()).expect("opens");
    assert_eq!(found.entries, [entry(5, 3)]);
}

/// Guards against a leader that waits for a slow disk: a snapshot needs as many syncs as before,
/// however many segments it covers.
#[test]
fn test_power_loss_needs_no_sync_for_each_covered_segment() {
    let syncs_of_save = |count| {
        let disk = MemoryDisk::default();
        let (mut store, _) = open(&disk, SMALL).expect("opens");
        for index in 1..=count {
            store.append(&batch(1, [index])).expect("appends");
        }
        let before = disk.syncs();
        store.save(&snapshot(count - 1, 1)).expect("saves");
        disk.syncs() - before
    };
    assert_eq!(syncs_of_save(10), syncs_of_save(100));
}
