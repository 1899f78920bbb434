//! The state machine that the replicated log drives.

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
use crate::history::Answers;
use crate::history::RetentionLimits;
use crate::history::reply;

quick_error! {
    /// Why a snapshot can't be restored.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RestoreError {
        /// Its catalogue is missing or wrong.
        Catalogue(faults: Vec<Fault>) {
            display("the snapshot's catalogue has {} faults", faults.len())
        }
        /// Its accepted changes don't lead up to its catalogue.
        Versions(found: u64, expected: u64) {
            display("the snapshot has version {found} where {expected} must stand")
        }
    }
}

/// The catalogue with the first answers to its changes.
///
/// Invariant: the version grows by one with each accepted change, and a change
/// is accepted only on the version it is based on. So no change is ever
/// accepted twice, even after its answer was forgotten.
#[derive(Clone, Debug)]
pub struct State {
    catalogue: Arc<Catalogue>,
    answers: Answers,
}

impl Default for State {
    fn default() -> Self {
        Self::new(RetentionLimits::default())
    }
}

impl State {
    /// An empty catalogue at version zero.
    #[must_use]
    pub fn new(window: RetentionLimits) -> Self {
        Self {
            catalogue: Arc::default(),
            answers: Answers::new(window),
        }
    }

    /// The catalogue in force.
    #[must_use]
    pub fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue)
    }

    /// The answer that needs no log entry: a kept one, or a refusal of the
    /// change's own content, which is the same whenever it is asked.
    #[must_use]
    pub fn known(&self, change: &Change) -> Option<ChangeReply> {
        let faults = change::check(change);
        if !faults.is_empty() {
            return Some(invalid(&faults));
        }
        self.answers.first(change)
    }

    /// The catalogue that `change` would make, without making it.
    ///
    /// # Errors
    ///
    /// Fails with every fault.
    pub fn validate(&self, change: &Change) -> Result<Catalogue, Vec<Fault>> {
        let faults = change::check(change);
        if !faults.is_empty() {
            return Err(faults);
        }
        change::effect(&self.catalogue, change)
    }

    /// Applies a change of the log: accepted or refused as a whole.
    pub fn apply(&mut self, change: &Change) -> ChangeReply {
        if let Some(reply) = self.known(change) {
            return reply;
        }
        let current = self.catalogue.version;
        if change.base < current {
            return self.stale(change);
        }
        if change.base > current {
            let fault = Fault::new("", Field::Base, Problem::Ahead(current));
            return self.refuse(change, invalid(&[fault]));
        }
        match change::effect(&self.catalogue, change) {
            Ok(next) => self.accept(change, next),
            Err(faults) => self.refuse(change, invalid(&faults)),
        }
    }

    /// Accepted changes from version `from` on, oldest first, `most` at most.
    ///
    /// An item without edits lost them to the bound of the window.
    #[must_use]
    pub fn history(&self, from: u64, most: u32) -> History {
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        self.answers.page(from, most)
    }

    /// The whole state; equal states give equal bytes.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            catalogue: Some(self.catalogue.to_wire()),
            accepted: self.answers.accepted.iter().cloned().collect(),
            refused: self.answers.refused.iter().cloned().collect(),
        }
    }

    /// The state that `snapshot` was taken of.
    ///
    /// # Errors
    ///
    /// Fails on a snapshot that no state writes.
    pub fn restore(window: RetentionLimits, snapshot: &Snapshot) -> Result<Self, RestoreError> {
        let catalogue = snapshot.catalogue.clone().unwrap_or_default();
        let catalogue = Catalogue::from_wire(&catalogue).map_err(RestoreError::Catalogue)?;
        check_versions(&snapshot.accepted, catalogue.version)?;
        let mut answers = Answers::new(window);
        for kept in &snapshot.accepted {
            answers.accept(kept.clone());
        }
        for kept in &snapshot.refused {
            answers.refuse(kept.clone());
        }
        Ok(Self {
            catalogue: Arc::new(catalogue),
            answers,
        })
    }

    fn accept(&mut self, change: &Change, next: Catalogue) -> ChangeReply {
        let kept = Kept {
            version: next.version,
            edits: change.edits.clone(),
            ..kept(change)
        };
        self.catalogue = Arc::new(next);
        self.answers.accept(kept)
    }

    fn refuse(&mut self, change: &Change, reply: ChangeReply) -> ChangeReply {
        self.answers.refuse(Kept {
            reply: Some(reply),
            ..kept(change)
        })
    }

    /// Answers a change whose base was overtaken.
    ///
    /// Had this change been accepted, it would have made the version after its
    /// base. So while that version's change is kept, and has another id, this
    /// one was certainly not accepted; after that nobody can tell.
    fn stale(&mut self, change: &Change) -> ChangeReply {
        let Some(winner) = self.answers.at(change.base + 1) else {
            return reply(Kind::Expired(Expired {}));
        };
        let conflict = Conflict {
            base: change.base,
            current: self.catalogue.version,
            winner: winner.id.clone(),
            author: winner.author.clone(),
        };
        self.refuse(change, reply(Kind::Conflict(conflict)))
    }
}

fn kept(change: &Change) -> Kept {
    Kept {
        id: change.id.clone(),
        author: change.author.clone(),
        digest: change::digest(change),
        ..Kept::default()
    }
}

fn invalid(faults: &[Fault]) -> ChangeReply {
    reply(Kind::Invalid(fault::to_wire(faults)))
}

fn check_versions(accepted: &[Kept], version: u64) -> Result<(), RestoreError> {
    let count = u64::try_from(accepted.len()).unwrap_or(u64::MAX);
    let first = (version + 1).saturating_sub(count);
    for (expected, kept) in (first..).zip(accepted) {
        if kept.version != expected {
            return Err(RestoreError::Versions(kept.version, expected));
        }
    }
    Ok(())
}
