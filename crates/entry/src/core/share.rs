//! Assigns dispatchers to services, and shares the capacity of cold instances.

use std::collections::BTreeSet;

use base::prelude::*;
use dispatch::DispatcherLocation;
use dispatch::Warmup;
use dispatch::parts;
use dispatch::parts::Division;
use slog::info;

use super::Core;
use super::State;
use crate::balancer::Balancer;
use crate::balancer::PartPlan;
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
            let mut services = routes.table.iter().flat_map(|table| &table.services);
            let service = services.find(|s| s.name == *service);
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

impl Core {
    /// Assigns a dispatcher to each service in `changed`, or to each of its parts, after a change of
    /// its instances; to all services after a change of entry hosts or settings, if `changed` is
    /// `None`.
    pub(super) fn assign_dispatchers(
        &self,
        state: &mut State,
        changed: Option<&BTreeSet<ServiceName>>,
    ) {
        let now = self.clock.now();
        let settings = self.settings();
        let places: Vec<&str> = state.hosts.iter().map(|host| &*host.place).collect();
        let own = settings.place.map(|own| own.to_string());
        for (service, balancer) in &mut state.balancers {
            if changed.is_some_and(|changed| !changed.contains(service)) {
                continue;
            }
            state.dispatcher_addresses.remove(service);
            let is_small = balancer.len() <= settings.max_dispatched;
            let names = places.iter().copied().filter(|place| !place.is_empty());
            let dispatcher =
                dispatch::dispatcher(service, names).filter(|_| is_small && own.is_some());
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
            let plan = own
                .as_deref()
                .filter(|_| settings.parts && !is_small)
                .and_then(|own| part_plan(&settings, service, balancer, &state.processes, own));
            if balancer.set_parts(now, plan) {
                self.log_parts(service, balancer);
            }
        }
    }

    /// Logs the parts of a service after a change.
    fn log_parts(&self, service: &ServiceName, balancer: &Balancer) {
        let parts = balancer.division().map_or(&[][..], Division::parts);
        let shown = parts.iter().map(|part| {
            let dispatcher = part.dispatcher.as_deref().unwrap_or("-");
            format!("{}:{}@{dispatcher}", part.id, part.instances)
        });
        let shown: Vec<String> = shown.collect();
        let home = balancer.home().map(ToString::to_string);
        info!(self.log, "parts"; "service" => %service, "count" => parts.len(),
            "home" => home.as_deref().unwrap_or("-"), "parts" => shown.join(","));
    }
}

/// Divides the service into parts; `None` while no process is known that dispatches.
fn part_plan(
    settings: &Settings,
    service: &ServiceName,
    balancer: &Balancer,
    processes: &Processes,
    own: &str,
) -> Option<PartPlan> {
    let all = processes.all.iter().filter(|p| !p.place.is_empty());
    let all: Vec<parts::Process<'_>> = all
        .map(|process| parts::Process {
            place: &process.place,
            domain: &process.domain,
        })
        .collect();
    if all.is_empty() || settings.max_dispatched == 0 {
        return None;
    }
    let members: Vec<parts::Member<'_>> = balancer.members().collect();
    let division = Division::new(service, &members, &all, settings.max_dispatched);
    let own_process = parts::Process {
        place: own,
        domain: settings.domain.as_str(),
    };
    Some(PartPlan {
        home: parts::home(service, own_process, &all, &division),
        division,
        own: own.to_owned(),
        domain: settings.domain.clone(),
    })
}
