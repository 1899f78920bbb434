//! Conversions between wire messages and the types of the membership.

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

/// Wire value of an unknown age.
const UNKNOWN_AGE: u32 = u32::MAX;

/// Milliseconds, rounded up so that an age never decreases.
#[must_use]
pub fn millis(duration: Duration) -> u32 {
    let millis = duration.as_nanos().div_ceil(1_000_000);
    u32::try_from(millis).unwrap_or(u32::MAX)
}

/// The duration of `millis` milliseconds.
#[must_use]
pub fn duration(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

/// Converts an instance to its message.
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

/// Parses an instance; `None` when a field is invalid.
#[must_use]
pub fn parse_instance(i: &w::Instance) -> Option<Instance> {
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

/// Converts a host, last seen alive `age` ago, to its message.
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
        cut_off: h.cut_off.iter().map(ToString::to_string).collect(),
    }
}

/// Parses a host; `None` when a field is invalid.
#[must_use]
pub fn parse_host(h: &w::Host) -> Option<Host> {
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
        cut_off: h
            .cut_off
            .iter()
            .map(|service| ServiceName::new(service).ok())
            .collect::<Option<_>>()?,
    })
}

/// The change message that adds or updates an instance; `None` for a host.
#[must_use]
pub fn to_instance_change(record: &Record) -> Option<w::InstanceChange> {
    match record {
        Record::Instance(i) => Some(w::InstanceChange {
            instance: Some(to_instance(i)),
            gone: false,
        }),
        Record::Host(_) => None,
    }
}

/// The change message that removes an instance; `None` for a host.
#[must_use]
pub fn to_instance_removal(key: &Key) -> Option<w::InstanceChange> {
    let Key::Instance(service, id) = key else {
        return None;
    };
    let instance = w::Instance {
        service: service.to_string(),
        id: id.to_string(),
        // A valid address, because receivers parse all fields.
        address: UNSPECIFIED_ADDRESS.to_string(),
        domain: PLACEHOLDER_DOMAIN.into(),
        ..w::Instance::default()
    };
    Some(w::InstanceChange {
        instance: Some(instance),
        gone: true,
    })
}

const UNSPECIFIED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);
const PLACEHOLDER_DOMAIN: &str = "none";

/// Converts a home's delta to its message.
#[must_use]
pub fn to_delta(home: &HostName, location: &Location, delta: &Delta) -> w::Delta {
    let changes = delta.records.iter().filter_map(to_instance_change);
    let removals = delta.removed.iter().filter_map(to_instance_removal);
    let host_changes = delta.records.iter().filter_map(to_host_change);
    let host_removals = delta.removed.iter().filter_map(to_host_removal);
    w::Delta {
        home: home.to_string(),
        domain: location.domain.to_string(),
        address: location.address.to_string(),
        epoch: delta.epoch,
        from: delta.from,
        cursor: delta.cursor,
        instances: changes.chain(removals).collect(),
        hosts: host_changes.chain(host_removals).collect(),
    }
}

fn to_host_change(record: &Record) -> Option<w::HostChange> {
    let Record::Host(host) = record else {
        return None;
    };
    Some(w::HostChange {
        host: Some(to_host(host, Duration::ZERO)),
        gone: false,
    })
}

fn to_host_removal(key: &Key) -> Option<w::HostChange> {
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

/// A delta together with its home.
#[derive(Debug)]
pub struct HomeDelta {
    /// Name of the home.
    pub home: HostName,
    /// Where it takes announcements.
    pub location: Location,
    /// The delta.
    pub delta: Delta,
}

/// Parses a home's delta; `None` when any field is invalid, because a delta must be applied
/// completely for its cursor to hold.
#[must_use]
pub fn parse_delta(d: &w::Delta) -> Option<HomeDelta> {
    let mut records = Vec::new();
    let mut removed = Vec::new();
    for change in &d.instances {
        let instance = change.instance.as_ref()?;
        if change.gone {
            removed.push(instance_key(instance)?);
        } else {
            records.push(Record::Instance(parse_instance(instance)?));
        }
    }
    for change in &d.hosts {
        let host = change.host.as_ref()?;
        if change.gone {
            removed.push(Key::Host(HostName::new(&host.host).ok()?));
        } else {
            records.push(Record::Host(parse_host(host)?));
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

/// Converts the status of a home to its message.
#[must_use]
pub fn to_status(status: &HomeStatus) -> w::Vouch {
    w::Vouch {
        home: status.home.to_string(),
        domain: status.location.domain.to_string(),
        address: status.location.address.to_string(),
        epoch: status.epoch,
        cursor: status.cursor,
        age_ms: status.age.map_or(UNKNOWN_AGE, millis),
    }
}

/// Parses the status of a home; `None` when a field is invalid.
#[must_use]
pub fn parse_status(status: &w::Vouch) -> Option<HomeStatus> {
    Some(HomeStatus {
        home: HostName::new(&status.home).ok()?,
        location: location(&status.domain, &status.address)?,
        epoch: status.epoch,
        cursor: status.cursor,
        age: (status.age_ms != UNKNOWN_AGE).then(|| duration(status.age_ms)),
    })
}
