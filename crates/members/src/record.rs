//! Announced records: instances and hosts, and the order of their announcements.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// Phase of an instance, as announced by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Does not take requests yet.
    Starting,
    /// Takes requests.
    Ready,
    /// Finishes requests in flight and takes no new ones.
    Draining,
    /// Shut down; final for its incarnation.
    Gone,
}

/// Phase of a host, as reported by its gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum HostPhase {
    /// Takes callers.
    Serving,
    /// Finishes calls in flight and takes no new callers.
    Stopping,
    /// Cannot confirm its catalogue and refuses new calls.
    Fenced,
}

/// One instance of an upstream service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// The service.
    pub service: ServiceName,
    /// Unique within the service.
    pub id: InstanceId,
    /// Where gateways connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that the instance serves concurrently.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Current phase.
    pub phase: Phase,
    /// Grows with each start of the instance.
    pub incarnation: u64,
    /// Grows with each announcement of an incarnation.
    pub sequence: u64,
}

/// One entry host, as described by its gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// The host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub gateway: SocketAddr,
    /// Current phase.
    pub phase: HostPhase,
    /// Grows with each start of the gateway.
    pub incarnation: u64,
    /// Grows with each poll of an incarnation.
    pub sequence: u64,
    /// Catalogue version in force there.
    pub version: u64,
    /// The services whose instances it doesn't reach.
    pub cut_off: BTreeSet<ServiceName>,
}

/// Identifies a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// An instance.
    Instance(ServiceName, InstanceId),
    /// An entry host.
    Host(HostName),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Instance(service, id) => write!(f, "{service}/{id}"),
            Self::Host(host) => write!(f, "{host}"),
        }
    }
}

/// The order of announcements of one key; a lower rank never overrides a higher one.
///
/// Within an incarnation, `gone` takes precedence over the sequence, because it is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rank {
    /// Incarnation of the announcer.
    pub incarnation: u64,
    /// Whether the incarnation is gone.
    pub gone: bool,
    /// Announcement within the incarnation.
    pub sequence: u64,
}

/// A record of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// An instance.
    Instance(Instance),
    /// An entry host.
    Host(Host),
}

impl Record {
    /// Key of the record.
    #[must_use]
    pub fn key(&self) -> Key {
        match self {
            Self::Instance(i) => Key::Instance(i.service.clone(), i.id.clone()),
            Self::Host(h) => Key::Host(h.host.clone()),
        }
    }

    /// Rank of the announcement.
    #[must_use]
    pub fn rank(&self) -> Rank {
        let (incarnation, sequence) = match self {
            Self::Instance(i) => (i.incarnation, i.sequence),
            Self::Host(h) => (h.incarnation, h.sequence),
        };
        Rank {
            incarnation,
            gone: self.is_gone(),
            sequence,
        }
    }

    /// Whether the record says that its subject is gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        matches!(self, Self::Instance(i) if i.phase == Phase::Gone)
    }

    /// Whether both are equal apart from their sequences.
    #[must_use]
    pub fn eq_ignoring_sequence(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Instance(a), Self::Instance(b)) => {
                let a = Instance {
                    sequence: b.sequence,
                    ..a.clone()
                };
                a == *b
            }
            (Self::Host(a), Self::Host(b)) => {
                let a = Host {
                    sequence: b.sequence,
                    ..a.clone()
                };
                a == *b
            }
            _ => false,
        }
    }
}
