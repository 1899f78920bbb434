//! Maps errors and responses to the types of the crates `attempt` and `route`.

use attempt::AttemptError;
use correlate::Verdict;
use http::HeaderMap;
use http::header::CONTENT_RANGE;
use route::OutcomeKind;

use crate::instance_clients::SendError;
use crate::refusal::Reason;
use crate::relay::UpstreamResponse;

pub(super) fn kind_of(err: &SendError) -> OutcomeKind {
    match err {
        SendError::Connect(_) => OutcomeKind::ConnectFailed,
        SendError::NoAnswer(_) | SendError::EndlessInterim => OutcomeKind::Error,
        SendError::Busy | SendError::Withheld | SendError::Target => OutcomeKind::Cancelled,
    }
}

pub(super) fn attempt_error_of(err: &SendError) -> AttemptError {
    match err {
        SendError::Connect(_) => AttemptError::ConnectFailed,
        SendError::NoAnswer(_) | SendError::EndlessInterim => AttemptError::NoAnswer,
        SendError::Busy | SendError::Withheld | SendError::Target => AttemptError::NotSent,
    }
}

pub(super) fn kind_of_response(response: &UpstreamResponse, verdict: &Verdict) -> OutcomeKind {
    if matches!(verdict, Verdict::NotRun(_)) {
        OutcomeKind::Shed
    } else if response.status.is_server_error() {
        OutcomeKind::Error
    } else {
        OutcomeKind::Ok
    }
}

pub(super) fn reason_of(reason: attempt::Reason) -> Reason {
    match reason {
        attempt::Reason::NoUpstream => Reason::NoUpstream,
        attempt::Reason::Connect => Reason::Connect,
        attempt::Reason::Shed => Reason::Shed,
        attempt::Reason::NoAnswer => Reason::NoAnswer,
        attempt::Reason::Quarantined => Reason::Quarantined,
        attempt::Reason::Mismatch => Reason::Mismatch,
        attempt::Reason::Unproven => Reason::Unproven,
        attempt::Reason::Deadline => Reason::Deadline,
        attempt::Reason::ShortBody => Reason::ShortBody,
    }
}

/// Position `A` of `Content-Range: bytes A-B/C`.
pub(super) fn range_start(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(CONTENT_RANGE)?.to_str().ok()?;
    let (start, _) = text.strip_prefix("bytes ")?.split_once('-')?;
    start.parse().ok()
}
