//! Parses and validates the head of a request.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use base::header;
use base::prelude::*;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_LENGTH;

use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::view::Service;
use crate::view::View;

/// Maximum nesting depth of calls.
pub const MAX_DEPTH: u8 = 32;
/// Default deadline, used if neither the request nor the service sets one.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Validated head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request id, the same for all attempts.
    pub id: Arc<str>,
    /// Service with its limits.
    pub service: Arc<Service>,
    /// Time by which the response must be complete.
    pub deadline: Moment,
    /// Name of the caller.
    pub caller: Option<CallerName>,
    /// Idempotency key.
    pub key: Option<RequestKey>,
    /// Nesting depth of the call, from 0.
    pub depth: u8,
    /// Length of the body in bytes, if the caller declares it.
    pub length: Option<u64>,
}

impl RequestHead {
    /// Parses the head of the request `id`, which was received at `now`.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller.
    pub fn parse(
        id: Arc<str>,
        now: Moment,
        view: &View,
        max_deadline: Duration,
        method: &Method,
        headers: &HeaderMap,
    ) -> Result<Self, Refusal> {
        if matches!(*method, Method::CONNECT | Method::TRACE) {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(Refusal::not_run(status, Reason::BadMethod));
        }
        let service = service(view, headers)?;
        let timeout = timeout(&service, max_deadline, headers)?;
        let caller = name(headers, header::CALLER, CallerName::new, Reason::BadCaller)?;
        let key = key(headers)?;
        let depth = depth(headers)?;
        let length = length(&service, headers)?;
        if key.is_some() && service.class == Class::Once && caller.is_none() {
            return Err(Refusal::bad_request(Reason::NoCaller));
        }
        Ok(Self {
            id,
            service,
            deadline: now + timeout,
            caller,
            key,
            depth,
            length,
        })
    }

    /// Maximum body size of the service in bytes.
    #[must_use]
    pub fn max_body_bytes(&self) -> u64 {
        self.service.limits.body_bytes
    }
}

/// Parses the name of the requested service.
///
/// # Errors
///
/// Returns a refusal if the name is missing, malformed or given more than once.
pub fn service_name(headers: &HeaderMap) -> Result<ServiceName, Refusal> {
    let text = single(headers, header::SERVICE, Reason::BadService)?
        .ok_or(Refusal::bad_request(Reason::NoService))?;
    ServiceName::new(text).map_err(|_| Refusal::bad_request(Reason::BadService))
}

fn service(view: &View, headers: &HeaderMap) -> Result<Arc<Service>, Refusal> {
    let name = service_name(headers)?;
    view.service(name.as_str()).cloned().ok_or(Refusal::not_run(
        StatusCode::NOT_FOUND,
        Reason::UnknownService,
    ))
}

fn timeout(
    service: &Service,
    max_deadline: Duration,
    headers: &HeaderMap,
) -> Result<Duration, Refusal> {
    let default = match service.limits.deadline_ms {
        0 => DEFAULT_DEADLINE,
        millis => Duration::from_millis(millis.into()),
    };
    let requested: Option<u64> = number(headers, header::DEADLINE, Reason::BadDeadline)?;
    let timeout = requested.map_or(default, Duration::from_millis);
    if timeout.is_zero() || timeout > max_deadline {
        return Err(Refusal::bad_request(Reason::BadDeadline));
    }
    Ok(timeout)
}

fn key(headers: &HeaderMap) -> Result<Option<RequestKey>, Refusal> {
    name(
        headers,
        header::IDEMPOTENCY_KEY,
        RequestKey::new,
        Reason::BadKey,
    )
}

fn depth(headers: &HeaderMap) -> Result<u8, Refusal> {
    let depth = number(headers, header::DEPTH, Reason::BadDepth)?.unwrap_or(0);
    if depth > MAX_DEPTH {
        return Err(Refusal::bad_request(Reason::BadDepth));
    }
    Ok(depth)
}

fn length(service: &Service, headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let length: Option<u64> = number(headers, CONTENT_LENGTH.as_str(), Reason::BadHead)?;
    if length.is_some_and(|bytes| bytes > service.limits.body_bytes) {
        return Err(Refusal::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyTooLarge,
        ));
    }
    Ok(length)
}

fn name<T, E>(
    headers: &HeaderMap,
    header: &str,
    new: fn(&str) -> Result<T, E>,
    reason: Reason,
) -> Result<Option<T>, Refusal> {
    single(headers, header, reason)?
        .map(|text| new(text).map_err(|_| Refusal::bad_request(reason)))
        .transpose()
}

fn number<T: FromStr>(
    headers: &HeaderMap,
    header: &str,
    reason: Reason,
) -> Result<Option<T>, Refusal> {
    let Some(text) = single(headers, header, reason)? else {
        return Ok(None);
    };
    // `parse` would accept a leading sign.
    if !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Refusal::bad_request(reason));
    }
    text.parse()
        .map(Some)
        .map_err(|_| Refusal::bad_request(reason))
}

/// The value of `header`. Repeated headers are refused, as they are ambiguous.
fn single<'a>(
    headers: &'a HeaderMap,
    header: &str,
    reason: Reason,
) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Refusal::bad_request(reason));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| Refusal::bad_request(reason))
}
