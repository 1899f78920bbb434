//! The gateway's own answers: why it refused a request, or gave it up.

use std::time::Duration;

use base::header;
use base::prelude::*;
use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use salvo::http::ResBody;
use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoStaticStr;

/// Why a request got no answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No service named.
    NoService,
    /// A service that is no name, or named twice.
    BadService,
    /// Not in the catalogue.
    UnknownService,
    /// A deadline that is no number of milliseconds within the bounds, or named twice.
    BadDeadline,
    /// A caller that is no name, or named twice.
    BadCaller,
    /// An idempotency key that is no name, or named twice.
    BadKey,
    /// A key without a caller, to whom it belongs.
    NoCaller,
    /// A depth that is no small number, or named twice.
    BadDepth,
    /// A method that is not relayed.
    BadMethod,
    /// A head that can't be relayed.
    BadHead,
    /// The body is over the entry's bound.
    BodyTooLarge,
    /// The body broke off or came too slowly.
    BadBody,
    /// No confirmation that the catalogue is current.
    Fenced,
    /// The host is about to stop.
    Stopping,
    /// No memory for another body.
    Memory,
    /// No instance that can take it.
    NoUpstream,
    /// Every connection of the gateway's share is in use.
    Connections,
    /// The queue of the service or of the gateway is full.
    QueueFull,
    /// The predicted wait doesn't fit the deadline.
    Overloaded,
    /// It waited until its deadline couldn't be met.
    Expired,
    /// It made room for a call of a higher class.
    Yielded,
    /// The service left the catalogue.
    Removed,
    /// No instance took the connection.
    Connect,
    /// Every instance tried refused before any work.
    Shed,
    /// The request may have been sent, and no answer came.
    NoAnswer,
    /// The answer was another request's.
    Mismatch,
    /// The answer broke off.
    ShortBody,
    /// The deadline passed.
    Deadline,
    /// The ledger can't be reached.
    Ledger,
    /// The ledger takes no more keys of this service now.
    LedgerFull,
    /// The same key is running.
    InFlight,
    /// The ledger can't tell whether the key's request ran.
    Forgotten,
    /// The same key came with another request.
    KeyReused,
    /// The key is from before the ledger's window.
    KeyExpired,
    /// The key was minted ahead of the ledger's time.
    KeyEarly,
    /// The ledger takes only keys that tell when they were minted.
    KeyUntimed,
    /// The answer is done but too large to be kept.
    NotKept,
    /// The claim's hold ran out before the request could leave.
    Hold,
}

/// One answer that is not an upstream's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// When to come back, where that helps.
    pub retry: Option<Duration>,
    /// No level above is to retry it.
    pub marked: bool,
}

impl Refusal {
    /// A refusal of a request that was not run.
    #[must_use]
    pub const fn not_run(status: StatusCode, reason: Reason) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason,
            retry: None,
            marked: false,
        }
    }

    /// The end of a request that may have run.
    #[must_use]
    pub const fn unknown(status: StatusCode, reason: Reason) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            reason,
            retry: None,
            marked: false,
        }
    }

    /// The caller's own mistake.
    #[must_use]
    pub const fn bad(reason: Reason) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, reason)
    }

    /// A refusal for now, with the time to come back.
    #[must_use]
    pub const fn busy(reason: Reason, retry: Duration) -> Self {
        let mut refusal = Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        refusal.retry = Some(retry);
        refusal
    }

    /// The same with a time to come back.
    #[must_use]
    pub const fn retry_in(mut self, span: Duration) -> Self {
        self.retry = Some(span);
        self
    }

    /// The same with the mark that no level above retries it.
    #[must_use]
    pub const fn marked(mut self) -> Self {
        self.marked = true;
        self
    }

    /// Writes the answer.
    pub fn write(&self, response: &mut salvo::Response) {
        response.status_code(self.status);
        let headers = response.headers_mut();
        headers.insert(header::OUTCOME, fixed(self.outcome.into()));
        headers.insert(header::REASON, fixed(self.reason.into()));
        headers.insert(CONTENT_TYPE, fixed("application/json"));
        if let Some(span) = self.retry {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(span)));
        }
        if self.marked {
            headers.insert(header::RETRIED, fixed("1"));
        }
        response.replace_body(ResBody::Once(self.body()));
    }

    fn body(&self) -> Bytes {
        let text = format!(
            "{{\"error\":\"{}\",\"outcome\":\"{}\"}}\n",
            self.reason, self.outcome
        );
        Bytes::from(text)
    }
}

/// Seconds of `span`, rounded up, at least 1: the header has no smaller unit.
fn whole_seconds(span: Duration) -> u64 {
    let part = u64::from(span.subsec_nanos() > 0);
    (span.as_secs() + part).max(1)
}

fn fixed(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}
