//! What failures and answers mean to the machines.

use attempt::AttemptError;
use http::HeaderMap;
use http::header::CONTENT_RANGE;
use route::OutcomeKind;

use crate::lanes::LaneError;
use crate::refusal::Reason;
use crate::relay::Answer;

pub(super) fn kind_of(err: &LaneError) -> OutcomeKind {
    match err {
        LaneError::Connect(_) => OutcomeKind::ConnectFailed,
        LaneError::NoAnswer(_) => OutcomeKind::Error,
        LaneError::Busy | LaneError::Target => OutcomeKind::Cancelled,
    }
}

pub(super) fn ending_of(err: &LaneError) -> AttemptError {
    match err {
        LaneError::Connect(_) => AttemptError::ConnectFailed,
        LaneError::NoAnswer(_) => AttemptError::NoAnswer,
        LaneError::Busy | LaneError::Target => AttemptError::NotSent,
    }
}

pub(super) fn kind_of_answer(answer: &Answer) -> OutcomeKind {
    if answer.is_shed() {
        OutcomeKind::Shed
    } else if answer.status.is_server_error() {
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
        attempt::Reason::Mismatch => Reason::Mismatch,
        attempt::Reason::Deadline => Reason::Deadline,
        attempt::Reason::ShortBody => Reason::ShortBody,
    }
}

/// First byte of `Content-Range: bytes A-B/C`.
pub(super) fn range_begin(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(CONTENT_RANGE)?.to_str().ok()?;
    let (begin, _) = text.strip_prefix("bytes ")?.split_once('-')?;
    begin.parse().ok()
}
