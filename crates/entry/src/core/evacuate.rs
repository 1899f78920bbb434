//! Failure domains to which nothing is sent.

use std::net::SocketAddr;

use base::prelude::*;
use evacuation::EvacuationState;
use slog::info;
use slog::warn;
use wire::hub::Evacuations;
use wire::hub::Phase;

use super::Core;
use crate::view::Listed;

impl Core {
    /// Takes the evacuations that the hub at `hub` told, unless newer ones are held.
    pub fn take_evacuations(&self, hub: SocketAddr, told: &Evacuations) {
        let mut known = self.known();
        if told.revision <= known.evacuations.revision() {
            return;
        }
        let next = match EvacuationState::from_wire(told) {
            Ok(next) => next,
            Err(err) => {
                warn!(self.log, "bad evacuations"; "hub" => %hub, "revision" => told.revision,
                    "error" => %err);
                return;
            }
        };
        let evacuated: Vec<&str> = next.evacuated().map(DomainName::as_str).collect();
        info!(self.log, "evacuations"; "domains" => evacuated.join(","),
            "revision" => told.revision, "hub" => %hub);
        self.counters.evacuated(evacuated.len());
        known.evacuations = next;
        let services = known.desks.keys().cloned().collect();
        self.update_desks(&mut known, services);
    }

    /// The revision of the evacuations that are held.
    #[must_use]
    pub fn evacuations(&self) -> u64 {
        self.known().evacuations.revision()
    }
}

/// The instance as this process may use it: one in an evacuated failure domain gets no
/// more than one that leaves.
pub(super) fn shun<'a>(evacuations: &EvacuationState, listed: Listed<'a>) -> Listed<'a> {
    let phase = match listed.phase {
        Phase::Ready if evacuations.is_evacuated(&listed.upstream.domain) => Phase::Draining,
        phase => phase,
    };
    Listed { phase, ..listed }
}
