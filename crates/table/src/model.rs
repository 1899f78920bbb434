//! The data types of a route table.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::workspace::Workspace;

/// Whether a request may be executed more than once.
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
    /// The request may be executed any number of times.
    Idempotent,
    /// Like [`Kind::Idempotent`], with a large response.
    Download,
    /// The request is executed at most once per attempt of its caller.
    Once,
}

impl Kind {
    /// Whether a request may be executed again although it may have been executed before.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::Once => false,
        }
    }
}

/// A service with its share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The share of the service, relative to the sum of all weights.
    pub weight: u32,
}

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A single service.
    Service(ServiceName),
    /// Several services, in proportion to their weights.
    Split(Vec<WeightedService>),
}

impl Target {
    /// All services of the target.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, parts) = match self {
            Self::Service(name) => (Some(name), &[][..]),
            Self::Split(parts) => (None, parts.as_slice()),
        };
        one.into_iter().chain(parts.iter().map(|p| &p.service))
    }
}

/// How the requests with one path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for the route.
    pub name: Arc<str>,
    /// The path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be executed more than once.
    pub kind: Kind,
    /// The maximum time that a caller waits for an answer.
    pub timeout: Option<Duration>,
    /// The target latency: an answer within this time has its full value.
    pub aim: Option<Duration>,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The maximum number of instances that a request is sent to.
    pub attempts: u32,
    /// Where requests are sent.
    pub target: Target,
    /// Whether requests need no API key, although the table has workspaces.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// The routes of one host name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host name as sent by callers.
    pub name: Arc<str>,
    /// The routes of the host.
    pub routes: Vec<Route>,
}

/// The request rate limit of a cold instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    /// How long an instance is cold after its start.
    #[serde(rename = "span")]
    pub duration: Duration,
    /// Requests per 1000 seconds that a cold instance may receive.
    pub rate: u32,
}

/// A service that routes may target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceName,
    /// The path of the health check.
    pub health: Arc<str>,
    /// The maximum number of connections to an instance, from all clients together.
    pub connections: u32,
    /// The rate limit of cold instances; none if they are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Cold>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's header section in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request's header section.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A route table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The version; only increases.
    pub version: u64,
    /// The services that routes may target.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// The hosts with their routes.
    pub hosts: Vec<Host>,
    /// The workspaces; if there are any, requests need an API key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Workspace>,
}
