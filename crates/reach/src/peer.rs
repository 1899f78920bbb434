//! Selects the process that relays a request, among those that reach the instances.

use rand::Rng;
use rand::seq::IndexedRandom;

/// Number of processes of the own failure domain, and of all others, that are compared.
const COMPARED: usize = 2;
/// Number of requests by which a process in another failure domain must have fewer in flight.
const DOMAIN_PREFERENCE: usize = 3;

/// A process that may relay a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Whether it is in the own failure domain.
    pub near: bool,
    /// Number of requests that it relays, as far as is known.
    pub in_flight: usize,
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
