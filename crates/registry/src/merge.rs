//! Merging an announcement into the known state of an instance.
//!
//! An instance may restart under its id: the later incarnation replaces the earlier one, and
//! late announcements of the earlier one are ignored. Within an incarnation, announcements
//! with a lower sequence are ignored, the phase never goes back, and `Gone` is final. Hubs,
//! the replicated log and entry processes all merge by these rules, so that they converge
//! whatever the order in which they receive announcements.

use std::cmp::Ordering;

use wire::hub::Instance;
use wire::hub::Phase;

/// The result of merging an announcement.
#[derive(Clone, Debug, PartialEq)]
pub enum Merged {
    /// The announcement is ignored: it is older than the current state.
    Stale,
    /// Only fields have changed that watchers don't see, such as the sequence.
    Known(Instance),
    /// The state has changed.
    Changed(Instance),
}

/// Merges an announcement into the current state of the instance with the same id.
#[must_use]
pub fn merge(current: &Instance, next: Instance) -> Merged {
    let is_gone = next.phase() == Phase::Gone;
    match compare_incarnations(current, &next) {
        Ordering::Less => return Merged::Stale,
        Ordering::Greater => return Merged::Changed(next_incarnation(current, next)),
        Ordering::Equal => {}
    }
    if current.phase() == Phase::Gone && !is_gone {
        return Merged::Stale;
    }
    // An instance can't move to another service: it must not run requests of the first one.
    if next.service != current.service && !is_gone {
        return Merged::Stale;
    }
    // An announcement with phase `Gone` has no sequence.
    if next.sequence < current.sequence && !is_gone {
        return Merged::Stale;
    }
    let merged = if is_gone {
        Instance {
            phase: Phase::Gone.into(),
            ..current.clone()
        }
    } else {
        Instance {
            phase: next.phase.max(current.phase),
            ..next
        }
    };
    if is_same(current, &merged) {
        Merged::Known(merged)
    } else {
        Merged::Changed(merged)
    }
}

/// Compares the incarnation of the announcement with the current one. An announcement with
/// phase `Gone` and no incarnation refers to the current one.
fn compare_incarnations(current: &Instance, next: &Instance) -> Ordering {
    if next.phase() == Phase::Gone && next.incarnation == 0 {
        return Ordering::Equal;
    }
    next.incarnation.cmp(&current.incarnation)
}

/// The state after the first announcement of a later incarnation. If its phase is `Gone`, it
/// has no other fields, and those of the earlier incarnation are kept.
fn next_incarnation(current: &Instance, next: Instance) -> Instance {
    if next.phase() == Phase::Gone {
        return Instance {
            phase: next.phase,
            sequence: next.sequence,
            incarnation: next.incarnation,
            ..current.clone()
        };
    }
    next
}

fn is_same(current: &Instance, next: &Instance) -> bool {
    normalized(current) == normalized(next)
}

/// The instance without the fields that don't count as a change for watchers: the sequence
/// rises with every announcement, and liveness is tracked separately.
pub(crate) fn normalized(instance: &Instance) -> Instance {
    Instance {
        sequence: 0,
        warmup_ms: 0,
        heard: false,
        ..instance.clone()
    }
}
