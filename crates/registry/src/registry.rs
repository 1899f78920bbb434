//! The registry of announced instances: a pure state machine.
//!
//! Announcements may be delayed, duplicated and received from several hubs; [`merge`] orders
//! those of one id. Changes are numbered, so that a watcher can ask for those after the last
//! one that it has seen, its cursor.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use wire::hub::Hearing;
use wire::hub::Instance;
use wire::hub::Phase;

use crate::check::check;
use crate::digest::Digest;
use crate::merge::Merged;
use crate::merge::merge;

/// How long a removed instance is retained, so that a delayed announcement doesn't bring it back.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_mins(10);

/// The outcome of applying an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The instance is new or has changed for watchers.
    Changed,
    /// Nothing has changed for watchers.
    Known,
    /// The announcement is outdated and was ignored.
    Stale,
    /// The announcement is invalid and was ignored.
    Unusable,
}

/// The changes since a cursor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Instances that are new or have changed.
    pub instances: Vec<Instance>,
    /// Liveness of the other instances for which only that has changed.
    pub liveness: Vec<Hearing>,
}

#[derive(Clone, Debug)]
struct Record {
    instance: Instance,
    /// The number of the last change other than of liveness.
    changed: u64,
    /// The number of the last change of liveness.
    liveness_changed: u64,
    /// When the last announcement was applied, received directly or from the log.
    updated_at: Moment,
    /// When the instance last announced itself to this hub; none if its lease has expired.
    lease_renewed_at: Option<Moment>,
}

impl Record {
    fn with_liveness(&self) -> Instance {
        Instance {
            heard: self.lease_renewed_at.is_some(),
            ..self.instance.clone()
        }
    }

    fn liveness(&self) -> Hearing {
        Hearing {
            id: self.instance.id.clone(),
            incarnation: self.instance.incarnation,
            heard: self.lease_renewed_at.is_some(),
        }
    }
}

/// All announced instances.
///
/// Copies share their records, as a replica copies the registry for each announcement in its
/// log while readers use the previous copy.
///
/// Invariants: `cursor` is the number of the last change, including those of records deleted
/// since, `digest` covers exactly the records, and `changes` and `liveness_changes` have exactly the
/// numbers that the records name.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    cursor: u64,
    records: BTreeMap<Arc<str>, Arc<Record>>,
    /// The ids of the records by the number of their last change other than of liveness. A hub
    /// answers hundreds of watchers a second, each with the changes since its cursor, so these are
    /// found without a look at all records.
    changes: BTreeMap<u64, Arc<str>>,
    /// The same by the number of the last change of liveness.
    liveness_changes: BTreeMap<u64, Arc<str>>,
    digest: Digest,
}

impl Registry {
    /// Applies an announcement, received directly or through the log.
    pub fn apply(&mut self, now: Moment, instance: Instance) -> ApplyOutcome {
        if check(&instance).is_err() {
            return ApplyOutcome::Unusable;
        }
        let Some((id, record)) = entry_mut(&mut self.records, &instance.id) else {
            self.insert(now, instance);
            return ApplyOutcome::Changed;
        };
        let (next, outcome) = match merge(&record.instance, instance) {
            Merged::Stale => return ApplyOutcome::Stale,
            Merged::Known(next) => (next, ApplyOutcome::Known),
            Merged::Changed(next) => (next, ApplyOutcome::Changed),
        };
        let record = Arc::make_mut(record);
        record.updated_at = now;
        if next.incarnation != record.instance.incarnation {
            record.lease_renewed_at = None;
        }
        if outcome == ApplyOutcome::Changed {
            self.digest.remove(&record.instance);
            self.digest.add(&next);
            self.cursor += 1;
            self.changes.remove(&record.changed);
            self.changes.insert(self.cursor, id);
            record.changed = self.cursor;
        }
        record.instance = next;
        outcome
    }

    fn insert(&mut self, now: Moment, instance: Instance) {
        self.cursor += 1;
        self.digest.add(&instance);
        let record = Record {
            changed: self.cursor,
            liveness_changed: 0,
            updated_at: now,
            lease_renewed_at: None,
            instance,
        };
        let id: Arc<str> = record.instance.id.as_str().into();
        self.changes.insert(self.cursor, Arc::clone(&id));
        self.records.insert(id, record.into());
    }

    /// Digest of all instances, to compare copies of the registry.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The number of the last change.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// The instances that have changed since `cursor`, in their data or liveness.
    #[must_use]
    pub fn changed_since(&self, cursor: u64) -> Vec<Instance> {
        let changed = self.changed_records(&self.changes, cursor);
        let liveness_changed = self.changed_records(&self.liveness_changes, cursor);
        let others = liveness_changed.filter(|r| r.changed <= cursor);
        changed.chain(others).map(Record::with_liveness).collect()
    }

    /// The changes since `cursor`, with the full instance only if more than liveness has changed.
    #[must_use]
    pub fn delta_since(&self, cursor: u64) -> Delta {
        let changed = self.changed_records(&self.changes, cursor);
        let liveness_changed = self.changed_records(&self.liveness_changes, cursor);
        let others = liveness_changed.filter(|r| r.changed <= cursor);
        Delta {
            instances: changed.map(Record::with_liveness).collect(),
            liveness: others.map(Record::liveness).collect(),
        }
    }

    /// The records that one of the indexes names after `cursor`.
    fn changed_records(
        &self,
        index: &BTreeMap<u64, Arc<str>>,
        cursor: u64,
    ) -> impl Iterator<Item = &Record> {
        let changes = index.range(cursor.saturating_add(1)..);
        changes.filter_map(|(_, id)| self.records.get(id).map(Arc::as_ref))
    }

    /// The liveness of the instances for which it has changed since `cursor`.
    #[must_use]
    pub fn liveness_changed_since(&self, cursor: u64) -> Vec<Hearing> {
        let changed = self.changed_records(&self.liveness_changes, cursor);
        changed.map(Record::liveness).collect()
    }

    /// The instances that may differ from those of a copy whose digest has `buckets`.
    #[must_use]
    pub fn differing(&self, buckets: &[u64]) -> Vec<Instance> {
        let records = self.records.values();
        let differing = records.filter(|r| self.digest.may_differ(&r.instance.id, buckets));
        differing.map(|r| r.with_liveness()).collect()
    }

    /// All instances with their `heard` field set.
    #[must_use]
    pub fn all_with_liveness(&self) -> Vec<Instance> {
        self.records.values().map(|r| r.with_liveness()).collect()
    }

    /// Records that the instance has announced itself to this hub. An announcement of another
    /// incarnation than the current one is ignored.
    pub fn renew_lease(&mut self, now: Moment, instance: &Instance) {
        let Some((id, record)) = entry_mut(&mut self.records, &instance.id) else {
            return;
        };
        if record.instance.incarnation != instance.incarnation {
            return;
        }
        let record = Arc::make_mut(record);
        if record.lease_renewed_at.replace(now).is_none() {
            self.cursor += 1;
            self.liveness_changes.remove(&record.liveness_changed);
            self.liveness_changes.insert(self.cursor, id);
            record.liveness_changed = self.cursor;
        }
    }

    /// Expires the leases of instances that haven't announced themselves to this hub for `lease`.
    pub fn expire_leases(&mut self, now: Moment, lease: Duration) {
        for (id, record) in &mut self.records {
            if record
                .lease_renewed_at
                .is_some_and(|at| now.since(at) >= lease)
            {
                let record = Arc::make_mut(record);
                record.lease_renewed_at = None;
                self.cursor += 1;
                self.liveness_changes.remove(&record.liveness_changed);
                self.liveness_changes.insert(self.cursor, Arc::clone(id));
                record.liveness_changed = self.cursor;
            }
        }
    }

    /// The instance with this id, if there is one.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.records.get(id).map(|r| &r.instance)
    }

    /// All instances in the order of their ids, including removed ones that are still retained.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.records.values().map(|r| &r.instance)
    }

    /// Whether applying the announcement would change nothing for watchers.
    #[must_use]
    pub fn is_known(&self, instance: &Instance) -> bool {
        self.get(&instance.id)
            .is_some_and(|current| !matches!(merge(current, instance.clone()), Merged::Changed(_)))
    }

    /// Deletes instances that were removed [`TOMBSTONE_RETENTION`] ago.
    pub fn remove_expired(&mut self, now: Moment) {
        let digest = &mut self.digest;
        let (changes, liveness_changes) = (&mut self.changes, &mut self.liveness_changes);
        self.records.retain(|_, r| {
            let retained =
                r.instance.phase() != Phase::Gone || now.since(r.updated_at) < TOMBSTONE_RETENTION;
            if !retained {
                digest.remove(&r.instance);
                changes.remove(&r.changed);
                liveness_changes.remove(&r.liveness_changed);
            }
            retained
        });
    }
}

/// The key and the record of an instance.
fn entry_mut<'a>(
    records: &'a mut BTreeMap<Arc<str>, Arc<Record>>,
    id: &str,
) -> Option<(Arc<str>, &'a mut Arc<Record>)> {
    let (key, record) = records
        .range_mut::<str, _>((Bound::Included(id), Bound::Unbounded))
        .next()?;
    (**key == *id).then(|| (Arc::clone(key), record))
}
