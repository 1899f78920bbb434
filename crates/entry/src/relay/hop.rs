//! The headers between the process that relays a request and the one that makes its attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use reach::search::MAX_HINTS;
use table::KeyDigest;

use crate::body::ForwardedBody;
use crate::headers;
use crate::refusal::Reason;

/// In a request that only asks whether the process reaches the instances of a service: its name.
const QUESTION: HeaderName = HeaderName::from_static("rwr-hop-question");
const CALLER: HeaderName = HeaderName::from_static("rwr-hop-caller");
const SERVICE: HeaderName = HeaderName::from_static("rwr-hop-service");
const WORKSPACE: HeaderName = HeaderName::from_static("rwr-hop-workspace");
const KEY: HeaderName = HeaderName::from_static("rwr-hop-key");
const TABLE: HeaderName = HeaderName::from_static("rwr-hop-table");
const REMAINING: HeaderName = HeaderName::from_static("rwr-hop-left-ms");
const AIM: HeaderName = HeaderName::from_static("rwr-hop-aim-ms");
const ATTEMPTS: HeaderName = HeaderName::from_static("rwr-hop-attempts");
const COUNTED: HeaderName = HeaderName::from_static("rwr-hop-counted");
const CHARGED: HeaderName = HeaderName::from_static("rwr-hop-charged");
/// In a response: how the request ended.
pub const OUTCOME: HeaderName = HeaderName::from_static("rwr-hop-outcome");
/// In a response: the instance that responded, and its incarnation.
const INSTANCE: HeaderName = HeaderName::from_static("rwr-hop-instance");
const INCARNATION: HeaderName = HeaderName::from_static("rwr-hop-incarnation");
/// In a response: number of requests that the process relays for others.
const LOAD: HeaderName = HeaderName::from_static("rwr-hop-load");
/// In a response of a process that is cut off: addresses of processes that reach the instances.
const HINTS: HeaderName = HeaderName::from_static("rwr-hop-peers");
/// Value of [`OUTCOME`] for a response of an instance.
const ANSWERED: &str = "answered";

/// What the process that makes the attempts has to know of a relayed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The caller's name or address.
    pub caller: Arc<str>,
    /// The service that the request goes to.
    pub service: ServiceName,
    /// The caller's workspace, if the route needs a key.
    pub workspace: Option<WorkspaceName>,
    /// The digest of the key that the caller presented.
    pub key: Option<KeyDigest>,
    /// The version of the route table that led there.
    pub table: u64,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Time until the request is late.
    pub aim: Duration,
    /// Number of instances to which the request may still be sent.
    pub attempts: u32,
    /// Whether the request has earned its fraction of a retry already.
    pub counted: bool,
    /// Whether the request has a permit of its workspace's quota already.
    pub charged: bool,
}

fn remove_all(headers: &mut HeaderMap) {
    let names = [
        CALLER, SERVICE, WORKSPACE, KEY, TABLE, REMAINING, AIM, ATTEMPTS, COUNTED, CHARGED,
    ];
    for name in names {
        headers.remove(name);
    }
}

impl Hop {
    /// Sets the headers of a request. Those that its caller sent are removed.
    pub fn write(&self, headers: &mut HeaderMap) {
        remove_all(headers);
        let key = self.key.map(|key| key.to_string());
        let workspace = self.workspace.as_ref().map(WorkspaceName::as_str);
        let optional = [(WORKSPACE, workspace), (KEY, key.as_deref())];
        let optional = optional
            .into_iter()
            .filter_map(|(name, text)| Some((name, text?)));
        let texts = [(CALLER, &*self.caller), (SERVICE, self.service.as_str())];
        for (name, text) in texts.into_iter().chain(optional) {
            if let Ok(value) = HeaderValue::from_str(text) {
                headers.insert(name, value);
            }
        }
        let numbers = [
            (TABLE, self.table),
            (REMAINING, millis(self.remaining)),
            (AIM, millis(self.aim)),
            (ATTEMPTS, self.attempts.into()),
            (COUNTED, self.counted.into()),
            (CHARGED, self.charged.into()),
        ];
        for (name, number) in numbers {
            headers.insert(name, HeaderValue::from(number));
        }
    }

    /// Takes the headers out of a request; `None` if one is missing or invalid.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let hop = Self::read(headers);
        remove_all(headers);
        hop
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &HeaderName| headers.get(name)?.to_str().ok();
        let number = |name: &HeaderName| headers::parse_number(headers, name);
        Some(Self {
            caller: text(&CALLER)?.into(),
            service: ServiceName::new(text(&SERVICE)?).ok()?,
            workspace: text(&WORKSPACE).and_then(|name| WorkspaceName::new(name).ok()),
            key: text(&KEY).and_then(|digest| digest.parse().ok()),
            table: number(&TABLE)?,
            remaining: Duration::from_millis(number(&REMAINING)?),
            aim: Duration::from_millis(number(&AIM)?),
            attempts: u32::try_from(number(&ATTEMPTS)?).ok()?,
            counted: number(&COUNTED)? > 0,
            charged: number(&CHARGED).is_some_and(|charged| charged > 0),
        })
    }
}

/// How a relayed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopOutcome {
    /// An instance responded.
    Answered,
    /// The other process refused it.
    Refused(Reason),
}

impl HopOutcome {
    /// Adds the header to a response.
    pub fn write(self, headers: &mut HeaderMap) {
        let text = match self {
            Self::Answered => ANSWERED,
            // Processes of earlier versions don't know the reason.
            Self::Refused(Reason::Stopping) => Reason::Unreachable.into(),
            Self::Refused(reason) => reason.into(),
        };
        headers.insert(OUTCOME, HeaderValue::from_static(text));
    }

    /// Takes the header out of a response; `None` if it is missing or invalid.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(OUTCOME)?;
        match value.to_str().ok()? {
            ANSWERED => Some(Self::Answered),
            label => label.parse().ok().map(Self::Refused),
        }
    }
}

/// What the process that responds tells of its load and its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerReport {
    /// Number of requests that it relays for others.
    pub load: usize,
    /// Processes that it knows to reach the instances, if it is cut off itself.
    pub hints: Vec<SocketAddr>,
}

impl PeerReport {
    /// Adds the headers to a response.
    pub fn write(&self, headers: &mut HeaderMap) {
        headers.insert(LOAD, HeaderValue::from(self.load));
        let hints: Vec<String> = self.hints.iter().map(ToString::to_string).collect();
        let hints = HeaderValue::from_str(&hints.join(","));
        if let Some(hints) = hints.ok().filter(|hints| !hints.is_empty()) {
            headers.insert(HINTS, hints);
        }
    }

    /// Takes the headers out of a response. What is missing or invalid is left out.
    pub fn take(headers: &mut HeaderMap) -> Self {
        let load = headers::parse_number(headers, &LOAD);
        headers.remove(LOAD);
        let hints = headers.remove(HINTS);
        let hints = hints.as_ref().and_then(|value| value.to_str().ok());
        let hints = hints.into_iter().flat_map(|text| text.split(','));
        Self {
            load: load.and_then(|load| load.try_into().ok()).unwrap_or(0),
            hints: hints
                .filter_map(|hint| hint.parse().ok())
                .take(MAX_HINTS)
                .collect(),
        }
    }
}

/// The question whether a process reaches the instances of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The service.
    pub service: ServiceName,
    /// The version of the route table that the process must have at least; `None` if the one that
    /// asks has no table.
    pub table: Option<u64>,
}

impl Question {
    /// A request that asks it.
    pub fn to_request(&self) -> Request<ForwardedBody> {
        let mut request = Request::new(ForwardedBody::Whole(None));
        let headers = request.headers_mut();
        if let Ok(service) = HeaderValue::from_str(self.service.as_str()) {
            headers.insert(QUESTION, service);
        }
        if let Some(table) = self.table {
            headers.insert(TABLE, HeaderValue::from(table));
        }
        request
    }

    /// The question that a request asks, if it does.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let service = headers.get(QUESTION)?.to_str().ok()?;
        let table = if headers.contains_key(TABLE) {
            Some(headers::parse_number(headers, &TABLE)?)
        } else {
            None
        };
        Some(Self {
            service: ServiceName::new(service).ok()?,
            table,
        })
    }
}

/// Names the instance that responded.
pub fn write_instance(run: &InstanceRun, headers: &mut HeaderMap) {
    if let Ok(id) = HeaderValue::from_str(run.instance.as_str()) {
        headers.insert(INSTANCE, id);
        headers.insert(INCARNATION, HeaderValue::from(run.incarnation));
    }
}

/// Takes the name of the instance that responded out of a response; `None` if it is missing or
/// invalid.
pub fn take_instance(headers: &mut HeaderMap) -> Option<InstanceRun> {
    let id = headers.remove(INSTANCE)?;
    let incarnation = headers::parse_number(headers, &INCARNATION);
    headers.remove(INCARNATION);
    Some(InstanceRun {
        instance: InstanceId::new(id.to_str().ok()?).ok()?,
        incarnation: incarnation?,
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
