//! What is announced: instances and hosts, and the order of their announcements.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Takes no work yet.
    Starting,
    /// Takes work.
    Ready,
    /// Finishes its work and takes none that is new.
    Draining,
    /// Has left; final for its incarnation.
    Gone,
}

/// What a gateway says of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum HostPhase {
    /// Takes callers.
    Serving,
    /// Finishes its calls and takes no new callers.
    Stopping,
    /// Can't confirm its catalogue and refuses new work.
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
    /// Requests it works on at once.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
    /// What it says of itself.
    pub phase: Phase,
    /// Grows with each start of the instance.
    pub incarnation: u64,
    /// Grows with each announcement of an incarnation.
    pub sequence: u64,
}

/// One entry host, as its gateway described it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// The host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub gateway: SocketAddr,
    /// What it says of itself.
    pub phase: HostPhase,
    /// Grows with each start of the gateway.
    pub incarnation: u64,
    /// Grows with each poll of an incarnation.
    pub sequence: u64,
    /// Catalogue version in force there.
    pub version: u64,
}

/// Names a record.
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

/// The order of announcements of one key; a lower rank never overrides a higher.
///
/// Within an incarnation `gone` goes before the sequence: leaving is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rank {
    /// Start of the announcer.
    pub incarnation: u64,
    /// It has left.
    pub gone: bool,
    /// Announcement within the incarnation.
    pub sequence: u64,
}

/// What a partition holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// An instance.
    Instance(Instance),
    /// An entry host.
    Host(Host),
}

impl Record {
    /// The record's key.
    #[must_use]
    pub fn key(&self) -> Key {
        match self {
            Self::Instance(i) => Key::Instance(i.service.clone(), i.id.clone()),
            Self::Host(h) => Key::Host(h.host.clone()),
        }
    }

    /// The record's place in the order of announcements.
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

    /// Whether it says that its subject has left.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        matches!(self, Self::Instance(i) if i.phase == Phase::Gone)
    }

    /// Whether both say the same, whatever their sequences.
    #[must_use]
    pub fn same(&self, other: &Self) -> bool {
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
