//! A pure state machine.
//!
//! Announcements come late, twice, and by way of several hubs. [`merge`] orders those
//! of one id. Every change gets a number, so that a watcher asks for what is newer
//! than the last number that it saw.

use std::collections::BTreeMap;
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

/// How long the id of an instance that has left is kept, so that a late
/// announcement doesn't bring it back: well over the time for which a cut link delays one.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_mins(10);

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Watchers are to learn of it.
    Changed,
    /// It said what was known.
    Known,
    /// It is older than what is known.
    Stale,
    /// It names no instance to use; nothing is kept of it.
    Unusable,
}

/// What a watcher lacks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Instances that are new or have changed.
    pub instances: Vec<Instance>,
    /// Of all others, those that are heard now and weren't, or the other way round.
    pub liveness: Vec<Hearing>,
}

#[derive(Clone, Debug)]
struct Row {
    instance: Instance,
    /// The number of the last change of what watchers see of it.
    changed: u64,
    /// The number of the last change of whether it is heard.
    noticed: u64,
    /// When it was last told of, by itself or by way of the log.
    told: Moment,
    /// When it last announced itself here, as long as that counts.
    heard: Option<Moment>,
}

impl Row {
    /// As watchers are told of it.
    fn with_liveness(&self) -> Instance {
        Instance {
            heard: self.heard.is_some(),
            ..self.instance.clone()
        }
    }

    fn hearing(&self) -> Hearing {
        Hearing {
            id: self.instance.id.clone(),
            incarnation: self.instance.incarnation,
            heard: self.heard.is_some(),
        }
    }

    fn moved(&self) -> u64 {
        self.changed.max(self.noticed)
    }
}

/// All announced instances.
///
/// Rows are shared between copies: a replica that replays its log copies the registry
/// with each announcement, as its readers hold the last one.
///
/// Invariants: `cursor` is the highest number of a change of all rows there ever were,
/// and `digest` is that of all rows.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    cursor: u64,
    rows: BTreeMap<Arc<str>, Arc<Row>>,
    digest: Digest,
}

impl Registry {
    /// Takes an announcement, heard by this hub or by another one.
    pub fn apply(&mut self, now: Moment, instance: Instance) -> ApplyOutcome {
        if check(&instance).is_err() {
            return ApplyOutcome::Unusable;
        }
        let Some(row) = self.rows.get_mut(&*instance.id) else {
            self.insert(now, instance);
            return ApplyOutcome::Changed;
        };
        let (next, taken) = match merge(&row.instance, instance) {
            Merged::Stale => return ApplyOutcome::Stale,
            Merged::Known(next) => (next, ApplyOutcome::Known),
            Merged::Changed(next) => (next, ApplyOutcome::Changed),
        };
        let row = Arc::make_mut(row);
        row.told = now;
        if next.incarnation != row.instance.incarnation {
            row.heard = None;
        }
        if taken == ApplyOutcome::Changed {
            self.digest.remove(&row.instance);
            self.digest.add(&next);
            self.cursor += 1;
            row.changed = self.cursor;
        }
        row.instance = next;
        taken
    }

    fn insert(&mut self, now: Moment, instance: Instance) {
        self.cursor += 1;
        self.digest.add(&instance);
        let row = Row {
            changed: self.cursor,
            noticed: 0,
            told: now,
            heard: None,
            instance,
        };
        self.rows
            .insert(row.instance.id.as_str().into(), row.into());
    }

    /// What the registry holds, for a copy to be compared with.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The number of the last change.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// What has changed after `cursor`, in whole rows.
    #[must_use]
    pub fn changed_since(&self, cursor: u64) -> Vec<Instance> {
        let newer = self.rows.values().filter(|row| row.moved() > cursor);
        newer.map(|row| row.with_liveness()).collect()
    }

    /// The same in few bytes: rows only of what has changed but for being heard.
    #[must_use]
    pub fn delta_since(&self, cursor: u64) -> Delta {
        let newer = self.rows.values().filter(|row| row.changed > cursor);
        let same = self.rows.values().filter(|row| row.changed <= cursor);
        let noticed = same.filter(|row| row.noticed > cursor);
        Delta {
            instances: newer.map(|row| row.with_liveness()).collect(),
            liveness: noticed.map(|row| row.hearing()).collect(),
        }
    }

    /// Which instances are heard now and weren't at `cursor`, or the other way round.
    #[must_use]
    pub fn liveness_changed_since(&self, cursor: u64) -> Vec<Hearing> {
        let noticed = self.rows.values().filter(|row| row.noticed > cursor);
        noticed.map(|row| row.hearing()).collect()
    }

    /// The rows that may differ from those of a copy whose digest has `buckets`.
    #[must_use]
    pub fn differing(&self, buckets: &[u64]) -> Vec<Instance> {
        let rows = self.rows.values();
        let differ = rows.filter(|row| self.digest.may_differ(&row.instance.id, buckets));
        differ.map(|row| row.with_liveness()).collect()
    }

    /// All instances as watchers are told of them.
    #[must_use]
    pub fn all_with_liveness(&self) -> Vec<Instance> {
        self.rows.values().map(|row| row.with_liveness()).collect()
    }

    /// Notes that the instance has announced itself here, in the incarnation that is held.
    pub fn renew_lease(&mut self, now: Moment, instance: &Instance) {
        let Some(row) = self.rows.get_mut(&*instance.id) else {
            return;
        };
        if row.instance.incarnation != instance.incarnation {
            return;
        }
        let row = Arc::make_mut(row);
        if row.heard.replace(now).is_none() {
            self.cursor += 1;
            row.noticed = self.cursor;
        }
    }

    /// Notes which instances haven't announced themselves here for `lease`.
    pub fn expire_leases(&mut self, now: Moment, lease: Duration) {
        for row in self.rows.values_mut() {
            if row.heard.is_some_and(|at| now.since(at) >= lease) {
                let row = Arc::make_mut(row);
                row.heard = None;
                self.cursor += 1;
                row.noticed = self.cursor;
            }
        }
    }

    /// One instance.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.rows.get(id).map(|row| &row.instance)
    }

    /// All instances, those that left included, in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.rows.values().map(|row| &row.instance)
    }

    /// Whether this is known of the instance already.
    #[must_use]
    pub fn is_known(&self, instance: &Instance) -> bool {
        self.get(&instance.id)
            .is_some_and(|held| !matches!(merge(held, instance.clone()), Merged::Changed(_)))
    }

    /// Forgets ids that left long ago.
    pub fn remove_expired(&mut self, now: Moment) {
        let digest = &mut self.digest;
        self.rows.retain(|_, row| {
            let kept =
                row.instance.phase() != Phase::Gone || now.since(row.told) < TOMBSTONE_RETENTION;
            if !kept {
                digest.remove(&row.instance);
            }
            kept
        });
    }
}
