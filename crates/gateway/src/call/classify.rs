//! Maps errors and responses to the types of the crates `attempt` and `route`.

use attempt::Ending;
use http::HeaderMap;
use http::header::CONTENT_RANGE;
use route::Kind;

use crate::instance_clients::SendError;
use crate::refusal::Reason;
use crate::relay::UpstreamResponse;

pub(super) fn kind_of(err: &SendError) -> Kind {
    match err {
        SendError::Connect(_) => Kind::ConnectFailed,
        SendError::NoAnswer(_) => Kind::Error,
        SendError::Busy | SendError::Target => Kind::Cancelled,
    }
}

pub(super) fn ending_of(err: &SendError) -> Ending {
    match err {
        SendError::Connect(_) => Ending::ConnectFailed,
        SendError::NoAnswer(_) => Ending::NoAnswer,
        SendError::Busy | SendError::Target => Ending::NotSent,
    }
}

pub(super) fn kind_of_response(response: &UpstreamResponse) -> Kind {
    if response.is_shed() {
        Kind::Shed
    } else if response.status.is_server_error() {
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

/// Position `A` of `Content-Range: bytes A-B/C`.
pub(super) fn range_start(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(CONTENT_RANGE)?.to_str().ok()?;
    let (start, _) = text.strip_prefix("bytes ")?.split_once('-')?;
    start.parse().ok()
}
