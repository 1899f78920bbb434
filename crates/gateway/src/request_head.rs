//! Reads a request's head into typed values, or says what is wrong with it.

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

/// Deepest nesting of calls that is served.
pub const MAX_DEPTH: u8 = 32;
/// Deadline where neither the request nor the entry names one.
pub const DEADLINE: Duration = Duration::from_secs(10);

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Names the request end to end.
    pub id: Arc<str>,
    /// The service and its limits.
    pub service: Arc<Service>,
    /// When the answer is of no use any more.
    pub deadline: Moment,
    /// Who calls.
    pub caller: Option<CallerName>,
    /// The key of a non-idempotent request.
    pub key: Option<RequestKey>,
    /// Nesting of the call, from 0.
    pub depth: u8,
    /// Bytes of the body, where the caller says so.
    pub length: Option<u64>,
}

impl Ask {
    /// Reads the head of the request `id`, which came at `now`.
    ///
    /// # Errors
    ///
    /// Fails with the refusal that the caller gets.
    pub fn read(
        id: Arc<str>,
        now: Moment,
        view: &View,
        longest: Duration,
        method: &Method,
        headers: &HeaderMap,
    ) -> Result<Self, Refusal> {
        if matches!(*method, Method::CONNECT | Method::TRACE) {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(Refusal::not_run(status, Reason::BadMethod));
        }
        let service = service(view, headers)?;
        let deadline = deadline(&service, longest, headers)?;
        let caller = name(headers, header::CALLER, CallerName::new, Reason::BadCaller)?;
        let key = key(headers)?;
        let depth = depth(headers)?;
        let length = length(&service, headers)?;
        if key.is_some() && service.class == Class::Once && caller.is_none() {
            return Err(Refusal::bad(Reason::NoCaller));
        }
        Ok(Self {
            id,
            service,
            deadline: now + deadline,
            caller,
            key,
            depth,
            length,
        })
    }

    /// Largest body of the service, in bytes.
    #[must_use]
    pub fn body_bound(&self) -> u64 {
        self.service.limits.body_bytes
    }
}

/// The service that a request names.
///
/// # Errors
///
/// Refuses a request that names none, several, or what is no name.
pub fn service_name(headers: &HeaderMap) -> Result<ServiceName, Refusal> {
    let text = single(headers, header::SERVICE, Reason::BadService)?
        .ok_or(Refusal::bad(Reason::NoService))?;
    ServiceName::new(text).map_err(|_| Refusal::bad(Reason::BadService))
}

fn service(view: &View, headers: &HeaderMap) -> Result<Arc<Service>, Refusal> {
    let name = service_name(headers)?;
    view.service(name.as_str()).cloned().ok_or(Refusal::not_run(
        StatusCode::NOT_FOUND,
        Reason::UnknownService,
    ))
}

fn deadline(
    service: &Service,
    longest: Duration,
    headers: &HeaderMap,
) -> Result<Duration, Refusal> {
    let preset = match service.limits.deadline_ms {
        0 => DEADLINE,
        millis => Duration::from_millis(millis.into()),
    };
    let asked: Option<u64> = number(headers, header::DEADLINE, Reason::BadDeadline)?;
    let span = asked.map_or(preset, Duration::from_millis);
    if span.is_zero() || span > longest {
        return Err(Refusal::bad(Reason::BadDeadline));
    }
    Ok(span)
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
        return Err(Refusal::bad(Reason::BadDepth));
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
        .map(|text| new(text).map_err(|_| Refusal::bad(reason)))
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
    // `parse` would take a sign.
    if !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Refusal::bad(reason));
    }
    text.parse().map(Some).map_err(|_| Refusal::bad(reason))
}

/// The one value of `header`; two are refused, as no choice between them is safe.
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
        return Err(Refusal::bad(reason));
    }
    value.to_str().map(Some).map_err(|_| Refusal::bad(reason))
}
