//! Between the messages on the wire and the types that decisions use.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use members::Delta;
use members::Host;
use members::HostPhase;
use members::Instance;
use members::Key;
use members::Phase;
use members::Record;
use members::homes::HomeStatus;
use members::homes::Location;
use wire::directory as w;

/// On the wire: no age is known.
const UNKNOWN_AGE: u32 = u32::MAX;

/// Milliseconds, rounded up, so that an age is never made younger.
#[must_use]
pub fn millis(span: Duration) -> u32 {
    let millis = span.as_nanos().div_ceil(1_000_000);
    u32::try_from(millis).unwrap_or(u32::MAX)
}

/// The span of so many milliseconds.
#[must_use]
pub fn span(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

/// An instance for the wire.
#[must_use]
pub fn to_instance(i: &Instance) -> w::Instance {
    let phase = match i.phase {
        Phase::Starting => w::Phase::Starting,
        Phase::Ready => w::Phase::Ready,
        Phase::Draining => w::Phase::Draining,
        Phase::Gone => w::Phase::Gone,
    };
    w::Instance {
        service: i.service.to_string(),
        id: i.id.to_string(),
        address: i.address.to_string(),
        domain: i.domain.to_string(),
        slots: i.slots,
        connections: i.connections,
        phase: phase.into(),
        incarnation: i.incarnation,
        sequence: i.sequence,
    }
}

/// An instance from the wire; `None` when a field has no meaning.
#[must_use]
pub fn of_instance(i: &w::Instance) -> Option<Instance> {
    let phase = match w::Phase::try_from(i.phase).ok()? {
        w::Phase::Unspecified => return None,
        w::Phase::Starting => Phase::Starting,
        w::Phase::Ready => Phase::Ready,
        w::Phase::Draining => Phase::Draining,
        w::Phase::Gone => Phase::Gone,
    };
    Some(Instance {
        service: ServiceName::new(&i.service).ok()?,
        id: InstanceId::new(&i.id).ok()?,
        address: i.address.parse().ok()?,
        domain: DomainName::new(&i.domain).ok()?,
        slots: i.slots,
        connections: i.connections,
        phase,
        incarnation: i.incarnation,
        sequence: i.sequence,
    })
}

/// A host for the wire, last heard `age` ago.
#[must_use]
pub fn to_host(h: &Host, age: Duration) -> w::Host {
    let phase = match h.phase {
        HostPhase::Serving => w::HostPhase::Serving,
        HostPhase::Stopping => w::HostPhase::Stopping,
        HostPhase::Fenced => w::HostPhase::Fenced,
    };
    w::Host {
        host: h.host.to_string(),
        domain: h.domain.to_string(),
        gateway: h.gateway.to_string(),
        phase: phase.into(),
        incarnation: h.incarnation,
        sequence: h.sequence,
        version: h.version,
        age_ms: millis(age),
    }
}

/// A host from the wire; `None` when a field has no meaning.
#[must_use]
pub fn of_host(h: &w::Host) -> Option<Host> {
    let phase = match w::HostPhase::try_from(h.phase).ok()? {
        w::HostPhase::Unspecified => return None,
        w::HostPhase::Serving => HostPhase::Serving,
        w::HostPhase::Stopping => HostPhase::Stopping,
        w::HostPhase::Fenced => HostPhase::Fenced,
    };
    Some(Host {
        host: HostName::new(&h.host).ok()?,
        domain: DomainName::new(&h.domain).ok()?,
        gateway: h.gateway.parse().ok()?,
        phase,
        incarnation: h.incarnation,
        sequence: h.sequence,
        version: h.version,
    })
}

/// The change that tells a gateway of `record`; `None` for a host.
#[must_use]
pub fn to_change(record: &Record) -> Option<w::InstanceChange> {
    match record {
        Record::Instance(i) => Some(w::InstanceChange {
            instance: Some(to_instance(i)),
            gone: false,
        }),
        Record::Host(_) => None,
    }
}

/// The change that tells of an instance's end; `None` for a host.
#[must_use]
pub fn to_removal(key: &Key) -> Option<w::InstanceChange> {
    let Key::Instance(service, id) = key else {
        return None;
    };
    let instance = w::Instance {
        service: service.to_string(),
        id: id.to_string(),
        // An address that parses, for a receiver that reads all fields.
        address: NOWHERE.to_string(),
        domain: NO_DOMAIN.into(),
        ..w::Instance::default()
    };
    Some(w::InstanceChange {
        instance: Some(instance),
        gone: true,
    })
}

const NOWHERE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);
const NO_DOMAIN: &str = "none";

/// A home's delta for the wire.
#[must_use]
pub fn to_delta(home: &HostName, location: &Location, delta: &Delta) -> w::Delta {
    let puts = delta.records.iter().filter_map(to_change);
    let ends = delta.removed.iter().filter_map(to_removal);
    let hosts = delta.records.iter().filter_map(host_change);
    let host_ends = delta.removed.iter().filter_map(host_removal);
    w::Delta {
        home: home.to_string(),
        domain: location.domain.to_string(),
        address: location.address.to_string(),
        epoch: delta.epoch,
        from: delta.from,
        cursor: delta.cursor,
        instances: puts.chain(ends).collect(),
        hosts: hosts.chain(host_ends).collect(),
    }
}

fn host_change(record: &Record) -> Option<w::HostChange> {
    let Record::Host(host) = record else {
        return None;
    };
    Some(w::HostChange {
        host: Some(to_host(host, Duration::ZERO)),
        gone: false,
    })
}

fn host_removal(key: &Key) -> Option<w::HostChange> {
    let Key::Host(host) = key else {
        return None;
    };
    let host = w::Host {
        host: host.to_string(),
        ..w::Host::default()
    };
    Some(w::HostChange {
        host: Some(host),
        gone: true,
    })
}

/// A home with its place and delta, from the wire.
#[derive(Debug)]
pub struct HomeDelta {
    /// The home.
    pub home: HostName,
    /// Where it takes announcements.
    pub location: Location,
    /// The delta.
    pub delta: Delta,
}

/// A home's delta from the wire; `None` when any field has no meaning, for a
/// delta that is taken in part would break its cursor's promise.
#[must_use]
pub fn of_delta(d: &w::Delta) -> Option<HomeDelta> {
    let mut records = Vec::new();
    let mut removed = Vec::new();
    for change in &d.instances {
        let instance = change.instance.as_ref()?;
        if change.gone {
            removed.push(instance_key(instance)?);
        } else {
            records.push(Record::Instance(of_instance(instance)?));
        }
    }
    for change in &d.hosts {
        let host = change.host.as_ref()?;
        if change.gone {
            removed.push(Key::Host(HostName::new(&host.host).ok()?));
        } else {
            records.push(Record::Host(of_host(host)?));
        }
    }
    let delta = Delta {
        epoch: d.epoch,
        from: d.from,
        cursor: d.cursor,
        records,
        removed,
    };
    Some(HomeDelta {
        home: HostName::new(&d.home).ok()?,
        location: location(&d.domain, &d.address)?,
        delta,
    })
}

fn instance_key(i: &w::Instance) -> Option<Key> {
    let service = ServiceName::new(&i.service).ok()?;
    Some(Key::Instance(service, InstanceId::new(&i.id).ok()?))
}

fn location(domain: &str, address: &str) -> Option<Location> {
    Some(Location {
        domain: DomainName::new(domain).ok()?,
        address: address.parse().ok()?,
    })
}

/// A statement about a home for the wire.
#[must_use]
pub fn to_status(v: &HomeStatus) -> w::Vouch {
    w::Vouch {
        home: v.home.to_string(),
        domain: v.location.domain.to_string(),
        address: v.location.address.to_string(),
        epoch: v.epoch,
        cursor: v.cursor,
        age_ms: v.age.map_or(UNKNOWN_AGE, millis),
    }
}

/// A statement about a home from the wire; `None` when a field has no meaning.
#[must_use]
pub fn of_status(v: &w::Vouch) -> Option<HomeStatus> {
    Some(HomeStatus {
        home: HostName::new(&v.home).ok()?,
        location: location(&v.domain, &v.address)?,
        epoch: v.epoch,
        cursor: v.cursor,
        age: (v.age_ms != UNKNOWN_AGE).then(|| span(v.age_ms)),
    })
}
