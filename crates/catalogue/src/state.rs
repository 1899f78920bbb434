//! The state machine of the catalogue, driven by the replicated log.

use std::sync::Arc;

use quick_error::quick_error;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::catalogue::Conflict;
use wire::catalogue::Expired;
use wire::catalogue::History;
use wire::catalogue::Kept;
use wire::catalogue::Snapshot;
use wire::catalogue::change_reply::Kind;

use crate::catalogue::Catalogue;
use crate::change;
use crate::fault;
use crate::fault::Fault;
use crate::fault::Field;
use crate::fault::Problem;
use crate::history::ReplyCache;
use crate::history::RetentionLimits;
use crate::history::change_reply;

quick_error! {
    /// Reason that a snapshot can't be restored.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// The catalogue is invalid.
        Catalogue(faults: Vec<Fault>) {
            display("the snapshot's catalogue has {} faults", faults.len())
        }
        /// The versions of the accepted changes are not consecutive up to the catalogue's version.
        Versions(found: u64, expected: u64) {
            display("the snapshot has version {found} where {expected} was expected")
        }
    }
}

/// The catalogue with the first replies to its changes.
///
/// Invariant: each accepted change increments the version, and a change is accepted only if
/// its base is the current version. So no change is accepted twice, even after its reply was
/// evicted.
#[derive(Clone, Debug)]
pub struct State {
    catalogue: Arc<Catalogue>,
    replies: ReplyCache,
}

impl Default for State {
    fn default() -> Self {
        Self::new(RetentionLimits::default())
    }
}

impl State {
    /// Creates an empty catalogue at version zero.
    #[must_use]
    pub fn new(limits: RetentionLimits) -> Self {
        Self {
            catalogue: Arc::default(),
            replies: ReplyCache::new(limits),
        }
    }

    /// Returns the current catalogue.
    #[must_use]
    pub fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue)
    }

    /// Returns the reply if no log entry is needed for it: a stored reply, or a refusal that
    /// depends only on the content of the change.
    #[must_use]
    pub fn immediate_reply(&self, change: &Change) -> Option<ChangeReply> {
        let faults = change::check(change);
        if !faults.is_empty() {
            return Some(invalid(&faults));
        }
        self.replies.get(change)
    }

    /// Returns the catalogue that would result from `change`, without applying it.
    ///
    /// # Errors
    ///
    /// Fails with all faults.
    pub fn validate(&self, change: &Change) -> Result<Catalogue, Vec<Fault>> {
        let faults = change::check(change);
        if !faults.is_empty() {
            return Err(faults);
        }
        change::apply(&self.catalogue, change)
    }

    /// Applies a change of the log, accepting or refusing it atomically.
    pub fn apply(&mut self, change: &Change) -> ChangeReply {
        if let Some(reply) = self.immediate_reply(change) {
            return reply;
        }
        let current = self.catalogue.version;
        if change.base < current {
            return self.refuse_stale(change);
        }
        if change.base > current {
            let fault = Fault::new("", Field::Base, Problem::BaseAhead(current));
            return self.refuse(change, invalid(&[fault]));
        }
        match change::apply(&self.catalogue, change) {
            Ok(next) => self.accept(change, next),
            Err(faults) => self.refuse(change, invalid(&faults)),
        }
    }

    /// Returns up to `max_items` accepted changes from version `from` on, oldest first.
    ///
    /// Items without edits exceeded [`RetentionLimits::max_edit_bytes`].
    #[must_use]
    pub fn history(&self, from: u64, max_items: u32) -> History {
        let max_items = usize::try_from(max_items).unwrap_or(usize::MAX);
        self.replies.page(from, max_items)
    }

    /// Returns the complete state; equal states encode to equal bytes.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            catalogue: Some(self.catalogue.to_wire()),
            accepted: self.replies.accepted.iter().cloned().collect(),
            refused: self.replies.refused.iter().cloned().collect(),
        }
    }

    /// Restores the state from which `snapshot` was taken.
    ///
    /// # Errors
    ///
    /// Fails on an invalid catalogue or on versions that are not consecutive.
    pub fn restore(limits: RetentionLimits, snapshot: &Snapshot) -> Result<Self, RestoreError> {
        let catalogue = snapshot.catalogue.clone().unwrap_or_default();
        let catalogue = Catalogue::from_wire(&catalogue).map_err(RestoreError::Catalogue)?;
        check_versions(&snapshot.accepted, catalogue.version)?;
        let mut replies = ReplyCache::new(limits);
        for record in &snapshot.accepted {
            replies.accept(record.clone());
        }
        for record in &snapshot.refused {
            replies.refuse(record.clone());
        }
        Ok(Self {
            catalogue: Arc::new(catalogue),
            replies,
        })
    }

    fn accept(&mut self, change: &Change, next: Catalogue) -> ChangeReply {
        let record = Kept {
            version: next.version,
            edits: change.edits.clone(),
            ..stored_change(change)
        };
        self.catalogue = Arc::new(next);
        self.replies.accept(record)
    }

    fn refuse(&mut self, change: &Change, reply: ChangeReply) -> ChangeReply {
        self.replies.refuse(Kept {
            reply: Some(reply),
            ..stored_change(change)
        })
    }

    /// Refuses a change whose base is older than the current version.
    ///
    /// If this change had been accepted earlier, it would have produced the version after its
    /// base. As long as that version's change is stored and has another id, this one was not
    /// accepted; afterwards this is unknown, and the reply is `Expired`.
    fn refuse_stale(&mut self, change: &Change) -> ChangeReply {
        let Some(winner) = self.replies.accepted_at(change.base + 1) else {
            return change_reply(Kind::Expired(Expired {}));
        };
        let conflict = Conflict {
            base: change.base,
            current: self.catalogue.version,
            winner: winner.id.clone(),
            author: winner.author.clone(),
        };
        self.refuse(change, change_reply(Kind::Conflict(conflict)))
    }
}

fn stored_change(change: &Change) -> Kept {
    Kept {
        id: change.id.clone(),
        author: change.author.clone(),
        digest: change::digest(change),
        ..Kept::default()
    }
}

fn invalid(faults: &[Fault]) -> ChangeReply {
    change_reply(Kind::Invalid(fault::to_wire(faults)))
}

fn check_versions(accepted: &[Kept], version: u64) -> Result<(), RestoreError> {
    let count = u64::try_from(accepted.len()).unwrap_or(u64::MAX);
    let first = (version + 1).saturating_sub(count);
    for (expected, record) in (first..).zip(accepted) {
        if record.version != expected {
            return Err(RestoreError::Versions(record.version, expected));
        }
    }
    Ok(())
}
