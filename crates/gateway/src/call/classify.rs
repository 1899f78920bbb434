//! What failures and answers mean to the machines.

use attempt::Ending;
use http::HeaderMap;
use http::header::CONTENT_RANGE;
use route::Kind;

use crate::instance_clients::LaneError;
use crate::refusal::Reason;
use crate::relay::Answer;

pub(super) fn kind_of(err: &LaneError) -> Kind {
    match err {
        LaneError::Connect(_) => Kind::ConnectFailed,
        LaneError::NoAnswer(_) => Kind::Error,
        LaneError::Busy | LaneError::Target => Kind::Cancelled,
    }
}

pub(super) fn ending_of(err: &LaneError) -> Ending {
    match err {
        LaneError::Connect(_) => Ending::ConnectFailed,
        LaneError::NoAnswer(_) => Ending::NoAnswer,
        LaneError::Busy | LaneError::Target => Ending::NotSent,
    }
}

pub(super) fn kind_of_answer(answer: &Answer) -> Kind {
    if answer.is_shed() {
        Kind::Shed
    } else if answer.status.is_server_error() {
        Kind::Error
    } else {
        Kind::Ok
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
