//! The headers between the process that relays a request and the one that makes its attempts.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::headers;
use crate::refusal::Reason;

const CALLER: HeaderName = HeaderName::from_static("rwr-hop-caller");
const SERVICE: HeaderName = HeaderName::from_static("rwr-hop-service");
const TABLE: HeaderName = HeaderName::from_static("rwr-hop-table");
const REMAINING: HeaderName = HeaderName::from_static("rwr-hop-left-ms");
const AIM: HeaderName = HeaderName::from_static("rwr-hop-aim-ms");
const ATTEMPTS: HeaderName = HeaderName::from_static("rwr-hop-attempts");
const COUNTED: HeaderName = HeaderName::from_static("rwr-hop-counted");
/// In a response: how the request ended.
pub const OUTCOME: HeaderName = HeaderName::from_static("rwr-hop-outcome");
/// In a response: the instance that responded, and its incarnation.
const INSTANCE: HeaderName = HeaderName::from_static("rwr-hop-instance");
const INCARNATION: HeaderName = HeaderName::from_static("rwr-hop-incarnation");
/// Value of [`OUTCOME`] for a response of an instance.
const ANSWERED: &str = "answered";

/// What the process that makes the attempts has to know of a relayed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The caller's name or address.
    pub caller: Arc<str>,
    /// The service that the request goes to.
    pub service: ServiceName,
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
}

impl Hop {
    /// Adds the headers to a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        let texts = [(CALLER, &*self.caller), (SERVICE, self.service.as_str())];
        for (name, text) in texts {
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
        ];
        for (name, number) in numbers {
            headers.insert(name, HeaderValue::from(number));
        }
    }

    /// Takes the headers out of a request; `None` if one is missing or invalid.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let hop = Self::read(headers);
        for name in [CALLER, SERVICE, TABLE, REMAINING, AIM, ATTEMPTS, COUNTED] {
            headers.remove(name);
        }
        hop
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &HeaderName| headers.get(name)?.to_str().ok();
        let number = |name: &HeaderName| headers::parse_number(headers, name);
        Some(Self {
            caller: text(&CALLER)?.into(),
            service: ServiceName::new(text(&SERVICE)?).ok()?,
            table: number(&TABLE)?,
            remaining: Duration::from_millis(number(&REMAINING)?),
            aim: Duration::from_millis(number(&AIM)?),
            attempts: u32::try_from(number(&ATTEMPTS)?).ok()?,
            counted: number(&COUNTED)? > 0,
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
