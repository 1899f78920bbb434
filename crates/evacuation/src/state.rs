//! Which failure domains are evacuated, and what an order changes.
//!
//! An order carries no id of its own, and a hub that gave up on one may still have it in
//! the log's queue. So an order names the revision of its domain that was in force when it
//! arrived: one that a later order has overtaken changes nothing.

use std::collections::BTreeMap;

use base::name::NameError;
use base::prelude::*;
use quick_error::quick_error;
use wire::hub::Evacuation;
use wire::hub::EvacuationOutcome;
use wire::hub::EvacuationRow;
use wire::hub::Evacuations;

/// What became of an order.
pub type Outcome = EvacuationOutcome;

/// Most failure domains that orders may ever have named. A sum of all orders to names that
/// don't exist must not fill the log's snapshots.
pub const MAX_DOMAINS: usize = 256;

quick_error! {
    /// Why a message is no state of evacuations.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StateError {
        /// A name isn't one.
        Name(err: NameError) {
            from()
            source(err)
            display("evacuated domain: {err}")
        }
    }
}

/// One failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Row {
    evacuated: bool,
    /// Of the order that it was last changed by.
    revision: u64,
}

/// The state that orders lead to.
///
/// Invariant: `revision` is the highest of all rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationState {
    rows: BTreeMap<DomainName, Row>,
    revision: u64,
}

impl EvacuationState {
    /// Reads what [`Domains::to_wire`] gave.
    ///
    /// # Errors
    ///
    /// Fails on a name that isn't one.
    pub fn from_wire(state: &Evacuations) -> Result<Self, StateError> {
        let mut rows = BTreeMap::new();
        for row in &state.rows {
            let held = Row {
                evacuated: row.evacuated,
                revision: row.revision,
            };
            rows.insert(DomainName::new(&row.domain)?, held);
        }
        let revision = rows.values().map(|row| row.revision).max();
        Ok(Self {
            rows,
            revision: revision.unwrap_or_default(),
        })
    }

    /// The state as it is told and stored; equal states give equal messages.
    #[must_use]
    pub fn to_wire(&self) -> Evacuations {
        let rows = self.rows.iter().map(|(domain, row)| EvacuationRow {
            domain: domain.to_string(),
            evacuated: row.evacuated,
            revision: row.revision,
        });
        Evacuations {
            revision: self.revision,
            rows: rows.collect(),
        }
    }

    /// Rises with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// An order as it goes to the log, made from what is in force now.
    #[must_use]
    pub fn order(&self, domain: &DomainName, evacuated: bool) -> Evacuation {
        let row = self.rows.get(domain).copied().unwrap_or_default();
        Evacuation {
            domain: domain.to_string(),
            evacuated,
            base: row.revision,
        }
    }

    /// Applies an order of the log.
    pub fn apply(&mut self, order: &Evacuation) -> Outcome {
        let Ok(domain) = DomainName::new(&order.domain) else {
            return Outcome::Refused;
        };
        let held = self.rows.get(&domain).copied().unwrap_or_default();
        if held.evacuated == order.evacuated {
            return Outcome::Held;
        }
        if held.revision != order.base {
            return Outcome::Overtaken;
        }
        if self.rows.len() >= MAX_DOMAINS && !self.rows.contains_key(&domain) {
            return Outcome::Refused;
        }
        self.revision += 1;
        let row = Row {
            evacuated: order.evacuated,
            revision: self.revision,
        };
        self.rows.insert(domain, row);
        Outcome::Taken
    }

    /// Whether nothing is to be sent to the upstreams of `domain`.
    #[must_use]
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.rows.get(domain).is_some_and(|row| row.evacuated)
    }

    /// The evacuated domains, sorted.
    pub fn evacuated(&self) -> impl Iterator<Item = &DomainName> {
        let rows = self.rows.iter().filter(|(_, row)| row.evacuated);
        rows.map(|(domain, _)| domain)
    }
}
