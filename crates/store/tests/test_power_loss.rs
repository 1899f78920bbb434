//! Recovery of a data folder after losses of power at any operation, which keep or lose each
//! unsynced name and each unsynced write by itself.

mod samples;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use store::Disk;
use store::MemoryDisk;
use store::Options;
use store::Recovered;
use store::Store;
use store::StoreError;
use store::error::Damage;
use store::memory::Fault;
use wire::store::Batch;
use wire::store::Entry;
use wire::store::HardState;
use wire::store::Snapshot;

use crate::samples::batch;
use crate::samples::entry;
use crate::samples::identity;
use crate::samples::indices;
use crate::samples::open;
use crate::samples::snapshot;

/// Segments of a few entries, so that most snapshots cover some of them.
const SMALL: Options = Options { segment_bytes: 200 };
/// Seeds of the random schedules.
const SEEDS: std::ops::Range<u64> = 0..1_000;
/// Crashes of one schedule.
const CRASHES: usize = 50;

/// What a replica has stored.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    id: u64,
    initial: Vec<String>,
    state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Model {
    fn of(found: &Recovered) -> Self {
        Self {
            id: found.identity.id,
            initial: found.identity.initial.clone(),
            state: found.state,
            snapshot: found.snapshot.clone(),
            entries: found.entries.clone(),
        }
    }

    fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    fn last_index(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot_index(), |e| e.index)
    }

    fn append(&mut self, batch: &Batch) {
        self.state = batch.state.unwrap_or(self.state);
        let first = batch.entries.first().map_or(u64::MAX, |e| e.index);
        let truncate = if batch.truncate > 0 {
            batch.truncate
        } else {
            u64::MAX
        };
        let kept_until = first.min(truncate);
        self.entries.retain(|e| e.index < kept_until);
        self.entries.extend(batch.entries.iter().cloned());
    }

    /// Stores a snapshot, after which stored entries of another history are void.
    fn save(&mut self, snapshot: Snapshot) {
        let differs = |e: &Entry| e.index == snapshot.index && e.term != snapshot.term;
        if self.entries.iter().any(differs) {
            self.entries.clear();
        }
        self.entries.retain(|e| e.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = Some(snapshot);
    }
}

/// A call of the store.
#[derive(Clone, Debug)]
enum Call {
    Append(Batch),
    Save(Snapshot),
    Install(Snapshot),
    SaveInitial(Vec<String>),
}

impl Call {
    fn run(&self, store: &mut Store) -> Result<(), StoreError> {
        match self {
            Self::Append(batch) => store.append(batch),
            Self::Save(snapshot) => store.save(snapshot),
            Self::Install(snapshot) => store.install(snapshot),
            Self::SaveInitial(initial) => store.save_initial(initial.clone()),
        }
    }

    fn apply(&self, model: &mut Model) {
        match self {
            Self::Append(batch) => model.append(batch),
            Self::Save(snapshot) => model.save(snapshot.clone()),
            Self::Install(snapshot) => model.install(snapshot.clone()),
            Self::SaveInitial(initial) => model.initial.clone_from(initial),
        }
    }

    /// What is stored if the power is lost halfway, where that is neither the old nor the new.
    fn apply_half(&self, model: &mut Model) {
        if let Self::Install(snapshot) = self {
            model.save(snapshot.clone());
        }
    }
}

/// The next calls of a replica, in `term`.
fn draw_calls(model: &Model, term: u64, random: &mut SmallRng) -> Vec<Call> {
    let last = model.last_index();
    match random.random_range(0..10) {
        0..=4 => {
            let overwritten = random.random_range(0..=model.entries.len().min(3)) as u64;
            let first = last + 1 - overwritten;
            let count = random.random_range(1..=4);
            vec![Call::Append(batch(term, first..first + count))]
        }
        5 => vec![Call::Append(batch(term, []))],
        6 if !model.entries.is_empty() => {
            let kept = random.random_range(0..model.entries.len());
            let truncate = model.entries[kept].index;
            vec![Call::Append(Batch {
                truncate,
                ..batch(term, [])
            })]
        }
        7 | 8 if !model.entries.is_empty() => {
            let end = &model.entries[random.random_range(0..model.entries.len())];
            vec![Call::Save(snapshot(end.index, end.term))]
        }
        // A leader's snapshot, whose last entry may be older than entries that it supersedes.
        9 => {
            let index = (model.snapshot_index() + 1).max(last.saturating_sub(3));
            let index = index + random.random_range(0..6);
            let oldest_term = model.snapshot.as_ref().map_or(1, |s| s.term);
            let snapshot_term = random.random_range(oldest_term..=term);
            let later = index + 1..index + 1 + random.random_range(0..3);
            vec![
                Call::Append(batch(term, [])),
                Call::Install(snapshot(index, snapshot_term)),
                Call::Append(batch(term, later)),
            ]
        }
        _ => vec![Call::SaveInitial(vec![format!("replica of {term}")])],
    }
}

/// Ends the process, at most times by a loss of power.
fn end(disk: &MemoryDisk, random: &mut SmallRng) {
    match random.random_range(0..6) {
        0 => disk.disarm(),
        1 => disk.crash(),
        _ => {
            disk.arm(Fault::Random(random.random()));
            disk.crash();
        }
    }
}

/// Opens the folder, which some times is cut short before.
fn reopen(disk: &MemoryDisk, random: &mut SmallRng) -> Result<(Store, Recovered), StoreError> {
    for _ in 0..random.random_range(0..3) {
        disk.arm(Fault::Power(random.random_range(0..16)));
        // Fails where the power is lost before the folder is open.
        drop(open(disk, SMALL));
        end(disk, random);
    }
    open(disk, SMALL)
}

/// Plays a random schedule; the error says how it broke.
fn play(seed: u64) -> Result<(), String> {
    let random = &mut SmallRng::seed_from_u64(seed);
    let disk = MemoryDisk::default();
    let (mut store, found) = reopen(&disk, random).map_err(|err| format!("first start: {err}"))?;
    let mut model = Model::of(&found);
    let mut term = 0;
    let mut crashes = 0;
    disk.arm(Fault::Power(random.random_range(0..60)));
    while crashes < CRASHES {
        term += 1;
        for call in draw_calls(&model, term, random) {
            let (mut halfway, mut after) = (model.clone(), model.clone());
            call.apply_half(&mut halfway);
            call.apply(&mut after);
            if call.run(&mut store).is_ok() {
                model = after;
                continue;
            }
            crashes += 1;
            end(&disk, random);
            let (opened, found) = reopen(&disk, random)
                .map_err(|err| format!("crash {crashes} in {call:?}: {err}"))?;
            store = opened;
            let found = Model::of(&found);
            if ![&model, &halfway, &after].contains(&&found) {
                return Err(format!(
                    "crash {crashes} in {call:?}: {found:?}, neither {model:?} nor {after:?}"
                ));
            }
            model = found;
            disk.arm(Fault::Power(random.random_range(0..60)));
            break;
        }
    }
    Ok(())
}

/// Guards against a replica that refuses its folder, or has lost what it acknowledged, after a
/// loss of power in a write, in a snapshot, or in the recovery from an earlier one.
#[test]
fn test_power_loss_at_any_operation_keeps_what_was_acknowledged() {
    let failures: Vec<String> = SEEDS
        .filter_map(|seed| Some(format!("seed {seed}: {}", play(seed).err()?)))
        .collect();
    let first = failures.iter().take(3).cloned().collect::<Vec<_>>();
    assert!(
        failures.is_empty(),
        "{} of {} seeds: {}",
        failures.len(),
        SEEDS.end,
        first.join("\n")
    );
}

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

/// Guards against a replica that never starts: the power was lost in its first start, with files
/// of others in its folder.
#[test]
fn test_power_loss_in_the_first_start_is_recovered() {
    let counted = MemoryDisk::default();
    open(&counted, SMALL).expect("opens");
    for operations in 0..counted.operations() {
        for seed in 0..20 {
            let mut disk = MemoryDisk::default();
            put(&mut disk, "entry-hosts", b"another part's");
            disk.arm(Fault::Power(operations));
            drop(open(&disk, SMALL));
            disk.arm(Fault::Random(seed));
            disk.crash();
            let (store, found) = Store::open(Box::new(disk.clone()), SMALL, identity(43))
                .unwrap_or_else(|err| panic!("{operations}, seed {seed}: {err}"));
            drop(store);
            disk.crash();
            let (_, later) = open(&disk, SMALL).expect("opens again");
            assert_eq!(found.identity, later.identity);
        }
    }
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
