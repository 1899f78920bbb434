//! Assigns dispatchers to services, and shares the capacity of cold instances.

use base::prelude::*;
use dispatch::DispatcherLocation;
use dispatch::Warmup;

use super::Core;
use super::State;
use crate::processes::Process;
use crate::processes::Processes;
use crate::settings::Settings;

impl Core {
    /// Passes the capacity of cold instances to each service's balancer, with the processes that
    /// share it.
    pub(super) fn set_warmups(&self, state: &mut State) {
        let routes = self.routes();
        let limit = self.settings().cold;
        for (service, balancer) in &mut state.balancers {
            let services = &routes.table.services;
            let service = services.iter().find(|s| s.name == *service);
            let warmup = service.and_then(|s| s.cold).map(|cold| Warmup {
                rate: cold.rate,
                overshoot: limit.overshoot,
                slack: limit.slack,
            });
            balancer.set_warmup(warmup, &state.processes);
        }
    }

    /// The entry processes on the current entry hosts.
    pub(super) fn processes(&self, state: &State) -> Processes {
        let settings = self.settings();
        let own = Process {
            address: settings.front.to_string(),
            place: settings
                .place
                .map_or_else(String::new, |place| place.to_string()),
            domain: settings.domain.to_string(),
        };
        let all = state.hosts.iter().map(|host| Process {
            address: host.address.clone(),
            place: host.place.clone(),
            domain: host.domain.clone(),
        });
        Processes {
            own,
            all: all.collect(),
            revision: state.processes.revision + 1,
        }
    }
}

/// Assigns a dispatcher to each service after a change of entry hosts or instances.
pub(super) fn assign_dispatchers(settings: &Settings, state: &mut State, now: Moment) {
    let places: Vec<&str> = state.hosts.iter().map(|host| &*host.place).collect();
    let own = settings.place.map(|own| own.to_string());
    state.dispatcher_addresses.clear();
    for (service, balancer) in &mut state.balancers {
        let is_small = balancer.len() <= settings.max_dispatched;
        let names = places.iter().copied().filter(|place| !place.is_empty());
        let dispatcher = dispatch::dispatcher(service, names).filter(|_| is_small && own.is_some());
        let here = dispatcher.is_some() && dispatcher == own.as_deref();
        let elsewhere = dispatcher
            .filter(|_| !here)
            .and_then(|place| place.parse().ok());
        balancer.set_dispatcher_location(
            now,
            match (here, elsewhere) {
                (true, _) => DispatcherLocation::Local,
                (false, Some(_)) => DispatcherLocation::Remote,
                (false, None) => DispatcherLocation::Unassigned,
            },
        );
        state
            .dispatcher_addresses
            .extend(elsewhere.map(|address| (service.clone(), address)));
    }
}
