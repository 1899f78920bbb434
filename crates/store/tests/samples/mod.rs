//! Batches, snapshots and identities of a replica for tests of the store.

use store::MemoryDisk;
use store::Options;
use store::Recovered;
use store::Store;
use store::StoreError;
use wire::store::Batch;
use wire::store::Entry;
use wire::store::HardState;
use wire::store::Identity;
use wire::store::Snapshot;

pub fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        kind: 1,
        data: format!("entry {index} of term {term}").into(),
    }
}

pub fn batch(term: u64, entries: impl IntoIterator<Item = u64>) -> Batch {
    Batch {
        state: Some(HardState { term, vote: 7 }),
        truncate: 0,
        commit: 0,
        entries: entries.into_iter().map(|i| entry(i, term)).collect(),
    }
}

pub fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        config: "group".into(),
        data: format!("state at {index}").into(),
    }
}

pub fn identity(id: u64) -> Identity {
    Identity {
        id,
        initial: Vec::new(),
    }
}

pub fn open(disk: &MemoryDisk, options: Options) -> Result<(Store, Recovered), StoreError> {
    Store::open(Box::new(disk.clone()), options, identity(42))
}

pub fn indices(found: &Recovered) -> Vec<u64> {
    found.entries.iter().map(|e| e.index).collect()
}
