//! Entries of the log and the numbers that name them.

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
    /// A replica, minted with its data folder: an emptied disk is another replica.
    ReplicaId,
    /// A leader's period of office; at most one leader a term.
    Term,
    /// A place in the log, from 1; 0 is the place before the first entry.
    Index,
}

impl Term {
    /// The term after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Index {
    /// The place after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The place before this one, at least 0.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// How many places lie after `earlier` up to this one.
    #[must_use]
    pub fn after(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// An entry's term and index, which name its content and all before it.
///
/// The order is that of how recent a log is: by term, then by index.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the entry was first appended.
    pub term: Term,
    /// Its place.
    pub index: Index,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Noop,
    /// The caller's bytes.
    Data(Bytes),
    /// The group from this entry on.
    Config(Config),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which it was first appended.
    pub term: Term,
    /// Its place.
    pub index: Index,
    /// Its content.
    pub payload: Payload,
}

impl Entry {
    /// Charged for an entry beyond its data, in bytes.
    const OVERHEAD: usize = 64;

    /// Its term and index.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// Roughly the memory that it takes, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Noop => Self::OVERHEAD,
            Payload::Data(data) => Self::OVERHEAD + data.len(),
            Payload::Config(config) => Self::OVERHEAD * (1 + config.members().count()),
        }
    }
}
