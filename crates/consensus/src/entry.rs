//! Log entries and their identifiers.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// Identifies a replica. Generated when its data folder is created, so a replica that
    /// lost its disk returns under a new id.
    ReplicaId,
    /// A leader's term; each term has at most one leader.
    Term,
    /// A position in the log, starting at 1; 0 stands for the position before the first entry.
    Index,
}

impl Term {
    /// Returns the next term.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Index {
    /// Returns the next index.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the previous index, at least 0.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Returns the number of entries after `earlier` up to this index; 0 if `earlier` is larger.
    #[must_use]
    pub fn distance_from(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// An entry's term and index, which identify its content and all preceding entries.
///
/// Ordered by term, then by index, as elections compare how up to date logs are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the entry was first appended.
    pub term: Term,
    /// The entry's index.
    pub index: Index,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; appended by a new leader.
    Noop,
    /// Application data.
    Data(Bytes),
    /// The configuration in use from this entry on.
    Config(Config),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which the entry was first appended.
    pub term: Term,
    /// The entry's index.
    pub index: Index,
    /// The entry's content.
    pub payload: Payload,
}

impl Entry {
    /// Estimated memory of an entry beyond its data, in bytes.
    const OVERHEAD: usize = 64;

    /// Returns the entry's term and index.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// Returns the entry's approximate size in memory, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Noop => Self::OVERHEAD,
            Payload::Data(data) => Self::OVERHEAD + data.len(),
            Payload::Config(config) => Self::OVERHEAD * (1 + config.members().count()),
        }
    }
}
