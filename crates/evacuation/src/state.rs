//! The evacuated failure domains, and the effect of orders on them.
//!
//! An order has no id, and may still be in the log's queue after the hub that sent
//! it gave up. It therefore carries the revision of its domain at the time that
//! the hub received it, and has no effect if a later order was applied first.

use std::collections::BTreeMap;

use base::name::NameError;
use base::prelude::*;
use quick_error::quick_error;
use wire::hub::Evacuation;
use wire::hub::EvacuationOutcome;
use wire::hub::EvacuationRow;
use wire::hub::Evacuations;

/// Effect of an order.
pub type Outcome = EvacuationOutcome;

/// Maximum number of failure domains that orders may have named over time, so that orders
/// with wrong names can't fill the log's snapshots.
pub const MAX_DOMAINS: usize = 256;

quick_error! {
    /// Why a message isn't a valid state.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StateError {
        /// The name of a failure domain is invalid.
        Name(err: NameError) {
            from()
            source(err)
            display("invalid name of an evacuated domain: {err}")
        }
    }
}

/// State of one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DomainState {
    evacuated: bool,
    /// Revision of the latest change.
    revision: u64,
}

/// The state that results from all orders.
///
/// Invariant: `revision` is the highest revision of all domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationState {
    domains: BTreeMap<DomainName, DomainState>,
    revision: u64,
}

impl EvacuationState {
    /// Decodes the result of [`EvacuationState::to_wire`].
    ///
    /// # Errors
    ///
    /// Fails on an invalid name.
    pub fn from_wire(state: &Evacuations) -> Result<Self, StateError> {
        let mut domains = BTreeMap::new();
        for row in &state.rows {
            let domain_state = DomainState {
                evacuated: row.evacuated,
                revision: row.revision,
            };
            domains.insert(DomainName::new(&row.domain)?, domain_state);
        }
        let revision = domains.values().map(|state| state.revision).max();
        Ok(Self {
            domains,
            revision: revision.unwrap_or_default(),
        })
    }

    /// The state as a message; equal states give equal messages.
    #[must_use]
    pub fn to_wire(&self) -> Evacuations {
        let rows = self.domains.iter().map(|(domain, state)| EvacuationRow {
            domain: domain.to_string(),
            evacuated: state.evacuated,
            revision: state.revision,
        });
        Evacuations {
            revision: self.revision,
            rows: rows.collect(),
        }
    }

    /// Revision of the state; rises with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Creates an order for the log, based on the domain's current revision.
    #[must_use]
    pub fn order(&self, domain: &DomainName, evacuated: bool) -> Evacuation {
        let state = self.domains.get(domain).copied().unwrap_or_default();
        Evacuation {
            domain: domain.to_string(),
            evacuated,
            base: state.revision,
        }
    }

    /// Applies an order from the log.
    pub fn apply(&mut self, order: &Evacuation) -> Outcome {
        let Ok(domain) = DomainName::new(&order.domain) else {
            return Outcome::Refused;
        };
        let current = self.domains.get(&domain).copied().unwrap_or_default();
        if current.evacuated == order.evacuated {
            return Outcome::Held;
        }
        if current.revision != order.base {
            return Outcome::Overtaken;
        }
        if self.domains.len() >= MAX_DOMAINS && !self.domains.contains_key(&domain) {
            return Outcome::Refused;
        }
        self.revision += 1;
        let state = DomainState {
            evacuated: order.evacuated,
            revision: self.revision,
        };
        self.domains.insert(domain, state);
        Outcome::Taken
    }

    /// Whether upstreams in `domain` must receive nothing.
    #[must_use]
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|state| state.evacuated)
    }

    /// The evacuated domains, sorted.
    pub fn evacuated(&self) -> impl Iterator<Item = &DomainName> {
        let evacuated = self.domains.iter().filter(|(_, state)| state.evacuated);
        evacuated.map(|(domain, _)| domain)
    }
}
