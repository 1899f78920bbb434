//! Route tables for stand-in services.

use base::prelude::*;
use table::Host;
use table::Kind;
use table::Route;
use table::Service;
use table::Table;
use table::Target;
use table::WeightedService;

/// The host name of all routes.
pub const HOST: &str = "example.org";
/// Path prefix of idempotent requests.
pub const READ: &str = "/read/";
/// Path prefix of requests that must run at most once.
pub const ONCE: &str = "/once/";
/// The service of requests below [`READ`].
pub const STATUS: &str = "status";
/// The service of requests below [`ONCE`].
pub const GRANTS: &str = "grants";
/// Path prefix of idempotent requests to a service that [`CRASH`] crashes.
pub const FRAGILE: &str = "/fragile/";
/// Path of a request that crashes the instance that runs it.
pub const CRASH: &str = "/fragile/crash";
/// The service of requests below [`FRAGILE`].
pub const LOOKUPS: &str = "lookups";
/// Path of the stand-ins' health page.
const HEALTH: &str = "/rwr/load";
/// Connections that one stand-in accepts in total.
const CONNECTIONS: u32 = 240;

fn name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a valid name")
}

fn route(prefix: &str, kind: Kind, target: Target) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        kind,
        timeout: None,
        aim: None,
        priority: 0,
        attempts: 2,
        target,
        public: false,
    }
}

fn service(service: &str) -> Service {
    Service {
        name: name(service),
        health: HEALTH.into(),
        connections: CONNECTIONS,
        cold: None,
    }
}

/// A table that routes reads to [`STATUS`] and requests below [`ONCE`] to [`GRANTS`].
#[must_use]
pub fn plain(version: u64) -> Table {
    let reads = Target::Service(name(STATUS));
    let grants = Target::Service(name(GRANTS));
    Table {
        version,
        services: vec![service(STATUS), service(GRANTS)],
        hosts: vec![Host {
            name: HOST.into(),
            routes: vec![
                route(READ, Kind::Idempotent, reads),
                route(ONCE, Kind::Once, grants),
            ],
        }],
        ..Table::default()
    }
}

/// The [`plain`] table with a third service, for requests below [`FRAGILE`].
#[must_use]
pub fn with_fragile(version: u64) -> Table {
    let mut table = plain(version);
    table.services.push(service(LOOKUPS));
    let lookups = Target::Service(name(LOOKUPS));
    let routes = &mut table.hosts[0].routes;
    routes.push(route(FRAGILE, Kind::Idempotent, lookups));
    table
}

/// The [`plain`] table with reads split between both services by `weights`.
#[must_use]
pub fn split(version: u64, weights: [u32; 2]) -> Table {
    let mut table = plain(version);
    let parts = [STATUS, GRANTS].into_iter().zip(weights);
    let parts = parts.map(|(service, weight)| WeightedService {
        service: name(service),
        weight,
    });
    table.hosts[0].routes[0].target = Target::Split(parts.collect());
    table
}

/// The [`plain`] table without the route of reads.
#[must_use]
pub fn without_reads(version: u64) -> Table {
    let mut table = plain(version);
    table.hosts[0].routes.retain(|route| &*route.prefix != READ);
    table
}
