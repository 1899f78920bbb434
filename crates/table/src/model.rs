//! A route table as plain values.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// What may be done with a request more than once.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// It may run any number of times.
    Idempotent,
    /// It runs once at most for each attempt of its caller.
    Once,
}

/// One service of a split, with its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share in proportion to the sum of all.
    pub weight: u32,
}

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// To one service.
    Service(ServiceName),
    /// To several by weight.
    Split(Vec<WeightedService>),
}

impl Target {
    /// All services that requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, parts) = match self {
            Self::Service(name) => (Some(name), &[][..]),
            Self::Split(parts) => (None, parts.as_slice()),
        };
        one.into_iter().chain(parts.iter().map(|p| &p.service))
    }
}

/// How the requests below one path prefix are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for it.
    pub name: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer is worth its full value.
    pub aim: Option<Duration>,
    /// Rank, 0 the most urgent.
    pub priority: u32,
    /// Instances that one request may be sent to.
    pub attempts: u32,
    /// Where its requests go.
    pub target: Target,
}

/// The routes of one host name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// As callers send it.
    pub name: Arc<str>,
    /// Its routes.
    pub routes: Vec<Route>,
}

/// What an instance takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    /// How long it is cold after its start.
    #[serde(rename = "span")]
    pub duration: Duration,
    /// Requests that it takes then, in a thousand seconds.
    pub rate: u32,
}

/// A service that routes may name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Path of its health page.
    pub health: Arc<str>,
    /// Connections that one instance takes from everyone together.
    pub connections: u32,
    /// What its instances take while they are cold; none where nothing bounds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Cold>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Only rises.
    pub version: u64,
    /// The services that routes may name.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// The routes by host name.
    pub hosts: Vec<Host>,
}
