//! What an instance asks for in the head of a response.

use quick_error::quick_error;

use crate::backoffs::Notice;
use crate::retry_after::RetryAfter;

/// Statuses of responses that refuse a request unrun, with which an instance may ask for a pause.
const REFUSALS: [u16; 2] = [SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS];
const SERVICE_UNAVAILABLE: u16 = 503;
const TOO_MANY_REQUESTS: u16 = 429;
/// Status of a response of another instance, which has the address now.
const MISDIRECTED_REQUEST: u16 = 421;
/// Value of the header of an instance that isn't shutting down.
const NOT_LEAVING: &[u8] = b"0";

quick_error! {
    /// A response asks to back off without naming a time.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum HeadError {
        /// No value of the header is a number of seconds.
        InvalidRetryAfter {
            display("the time of the requested backoff is not a number of seconds")
        }
    }
}

/// Reads what an instance asks for: `leaving` is the value of the header that says whether it is
/// shutting down, `delays` are those of the header that names a time without requests.
///
/// # Errors
///
/// Fails if the response asks to back off without a valid time.
pub fn read_head<'a>(
    status: u16,
    leaving: Option<&[u8]>,
    delays: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Option<Notice>, HeadError> {
    if status == MISDIRECTED_REQUEST {
        return Ok(None);
    }
    if leaving.is_some_and(|value| value != NOT_LEAVING) {
        return Ok(Some(Notice::Leaving));
    }
    if !REFUSALS.contains(&status) {
        return Ok(None);
    }
    match RetryAfter::parse(delays) {
        RetryAfter::Delay(delay) => Ok(Some(Notice::Backoff(delay))),
        RetryAfter::Absent => Ok(None),
        RetryAfter::Invalid => Err(HeadError::InvalidRetryAfter),
    }
}
