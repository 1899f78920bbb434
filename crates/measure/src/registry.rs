//! What a catalogue version says of measuring.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;

/// Gateways and budgets of one catalogue version; replaced whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registry {
    /// The catalogue version; consecutive changes have consecutive versions.
    pub version: u64,
    /// The registered gateways, sorted, each once.
    pub gateways: Arc<[HostName]>,
    /// Probes that one instance of a service may receive, in thousandths a second.
    pub budgets: BTreeMap<ServiceName, u32>,
}

/// One gateway's part of a service's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The whole budget, in thousandths a second.
    pub millis: u32,
    /// Gateways that share it, at least 1.
    pub gateways: u64,
    /// This gateway's place among them, from 0.
    pub rank: u64,
}

impl Share {
    /// Whether this share is smaller than `other`.
    #[must_use]
    pub fn is_below(&self, other: &Self) -> bool {
        u64::from(self.millis) * other.gateways < u64::from(other.millis) * self.gateways
    }
}

impl Registry {
    /// The share of `host`; none when it isn't registered or there is no budget.
    #[must_use]
    pub fn share(&self, host: &HostName, service: &ServiceName) -> Option<Share> {
        let millis = *self.budgets.get(service).filter(|millis| **millis > 0)?;
        let rank = self.gateways.binary_search(host).ok()?;
        Some(Share {
            millis,
            gateways: u64::try_from(self.gateways.len()).ok()?,
            rank: u64::try_from(rank).ok()?,
        })
    }
}
