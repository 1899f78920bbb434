//! Gateways and probe budgets of a catalogue version.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;

/// The gateways and probe budgets of one catalogue version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registry {
    /// The catalogue version. Each change increments it by one.
    pub version: u64,
    /// The registered gateways, sorted and without duplicates.
    pub gateways: Arc<[HostName]>,
    /// Maximum rate of probes per instance of a service, in thousandths of a probe per second.
    pub budgets: BTreeMap<ServiceName, u32>,
}

/// One gateway's share of the budget of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The budget of all gateways, in thousandths of a probe per second.
    pub budget: u32,
    /// Number of gateways that share the budget, at least 1.
    pub gateways: u64,
    /// Index of this gateway among them.
    pub rank: u64,
}

impl Share {
    /// Whether this share is smaller than `other`.
    #[must_use]
    pub fn is_below(&self, other: &Self) -> bool {
        u64::from(self.budget) * other.gateways < u64::from(other.budget) * self.gateways
    }
}

impl Registry {
    /// The share of the gateway at `host`; none if it isn't registered or the service has no
    /// budget.
    #[must_use]
    pub fn share(&self, host: &HostName, service: &ServiceName) -> Option<Share> {
        let budget = *self.budgets.get(service).filter(|budget| **budget > 0)?;
        let rank = self.gateways.binary_search(host).ok()?;
        Some(Share {
            budget,
            gateways: u64::try_from(self.gateways.len()).ok()?,
            rank: u64::try_from(rank).ok()?,
        })
    }
}
