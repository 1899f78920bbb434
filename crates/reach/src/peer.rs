//! Selects the process that relays a request.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use rand::Rng;
use rand::seq::IndexedRandom;

/// Time after a failure for which a process isn't selected.
const AVOID_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Number of processes of the own failure domain, and of all others, that are compared.
const COMPARED: usize = 2;
/// Number of requests in flight that a process in another failure domain must have less.
const DOMAIN_PREFERENCE: usize = 3;

/// A process that may relay a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Whether it is in the own failure domain.
    pub near: bool,
    /// Number of requests that it relays for this process.
    pub in_flight: usize,
}

/// What is known of another process.
#[derive(Clone, Debug, Default)]
pub struct PeerHealth {
    /// When it last took no request.
    failed_at: Option<Moment>,
    /// When it last said that it can't serve requests of a service either.
    unable_at: BTreeMap<ServiceName, Moment>,
}

impl PeerHealth {
    /// Records that the process took no request.
    pub fn record_failure(&mut self, now: Moment) {
        self.failed_at = Some(now);
    }

    /// Records that the process can't serve requests of the service.
    pub fn record_unable(&mut self, service: &ServiceName, now: Moment) {
        self.failed_at = None;
        self.unable_at.insert(service.clone(), now);
    }

    /// Records that the process has served a request of the service.
    pub fn record_success(&mut self, service: &ServiceName) {
        self.failed_at = None;
        self.unable_at.remove(service);
    }

    /// Whether the process may be selected for a request of the service.
    #[must_use]
    pub fn is_usable(&self, service: &ServiceName, now: Moment) -> bool {
        let failures = [self.failed_at, self.unable_at.get(service).copied()];
        let mut failures = failures.into_iter().flatten();
        failures.all(|failed_at| now.since(failed_at) >= AVOID_AFTER_FAILURE)
    }
}

/// Selects one of the candidates: of a few random ones, the one with the fewest requests in
/// flight, preferably in the own failure domain. Returns its index.
pub fn select_peer(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let mut compared = Vec::new();
    for near in [true, false] {
        let indices: Vec<usize> = (0..candidates.len())
            .filter(|index| candidates[*index].near == near)
            .collect();
        compared.extend(indices.sample(rng, COMPARED).copied());
    }
    compared.into_iter().min_by_key(|index| {
        let candidate = candidates[*index];
        let penalty = if candidate.near { 0 } else { DOMAIN_PREFERENCE };
        candidate.in_flight + penalty
    })
}
