//! Evacuated failure domains.

use std::net::SocketAddr;

use base::prelude::*;
use evacuation::EvacuationState;
use slog::info;
use slog::warn;
use wire::hub::Evacuations;
use wire::hub::Phase;

use super::Core;
use crate::view::InstanceStatus;

impl Core {
    /// Applies the evacuations reported by the hub at `hub`, unless the current ones are as new
    /// or newer.
    pub fn apply_evacuations(&self, hub: SocketAddr, received: &Evacuations) {
        let mut state = self.state();
        if received.revision <= state.evacuations.revision() {
            return;
        }
        let next = match EvacuationState::from_wire(received) {
            Ok(next) => next,
            Err(err) => {
                warn!(self.log, "invalid evacuations"; "hub" => %hub, "revision" => received.revision,
                    "error" => %err);
                return;
            }
        };
        let evacuated: Vec<&str> = next.evacuated().map(DomainName::as_str).collect();
        info!(self.log, "evacuations"; "domains" => evacuated.join(","),
            "revision" => received.revision, "hub" => %hub);
        self.counters.evacuated(evacuated.len());
        state.evacuations = next;
        let services = state.balancers.keys().cloned().collect();
        self.update_balancers(&mut state, &services);
    }

    /// The revision of the current evacuations.
    #[must_use]
    pub fn evacuations(&self) -> u64 {
        self.state().evacuations.revision()
    }
}

/// Treats a ready instance in an evacuated failure domain as draining.
pub(super) fn apply_evacuation<'a>(
    evacuations: &EvacuationState,
    status: InstanceStatus<'a>,
) -> InstanceStatus<'a> {
    let phase = match status.phase {
        Phase::Ready if evacuations.is_evacuated(&status.upstream.domain) => Phase::Draining,
        phase => phase,
    };
    InstanceStatus { phase, ..status }
}
