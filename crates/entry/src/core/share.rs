//! Which process decides for a service, and who sends to instances that are cold.

use base::prelude::*;
use dispatch::DispatcherLocation;
use dispatch::Warmup;

use super::Core;
use super::Known;
use crate::processes::Processes;
use crate::settings::Settings;

impl Core {
    /// Hands each service's desk what its cold instances bear, and who shares that.
    pub(super) fn set_warmups(&self, known: &mut Known) {
        let routes = self.routes();
        let bound = self.settings().cold;
        for (service, desk) in &mut known.desks {
            let services = &routes.table.services;
            let cold = services.iter().find(|s| s.name == *service);
            let warmup = cold.and_then(|s| s.cold).map(|cold| Warmup {
                rate: cold.rate,
                overshoot: bound.overshoot,
                slack: bound.slack,
            });
            desk.set_warmup(warmup, &known.processes);
        }
    }

    /// The processes among the entry hosts that are known now.
    pub(super) fn processes(&self, known: &Known) -> Processes {
        let own = self.settings().place;
        let places = known.hosts.iter().map(|host| host.place.clone());
        Processes {
            own: own.map_or_else(String::new, |own| own.to_string()),
            all: places.filter(|place| !place.is_empty()).collect(),
            mark: known.processes.mark + 1,
        }
    }
}

/// Takes over who decides for each service, after a change of entry hosts or instances.
pub(super) fn name_dispatchers(settings: &Settings, known: &mut Known, now: Moment) {
    let places: Vec<&str> = known.hosts.iter().map(|host| &*host.place).collect();
    let own = settings.place.map(|own| own.to_string());
    known.dispatchers.clear();
    for (service, desk) in &mut known.desks {
        let few = desk.len() <= settings.dispatched;
        let named = places.iter().copied().filter(|place| !place.is_empty());
        let named = dispatch::dispatcher(service, named).filter(|_| few && own.is_some());
        let here = named.is_some() && named == own.as_deref();
        let elsewhere = named.filter(|_| !here).and_then(|named| named.parse().ok());
        desk.set_dispatched(
            now,
            match (here, elsewhere) {
                (true, _) => DispatcherLocation::Local,
                (false, Some(_)) => DispatcherLocation::Remote,
                (false, None) => DispatcherLocation::Unassigned,
            },
        );
        known
            .dispatchers
            .extend(elsewhere.map(|address| (service.clone(), address)));
    }
}
