//! Framing of HTTP messages: where the body of a message ends, and whether its connection lasts.
//!
//! Nothing about framing is copied from a received head. Received responses are checked
//! ([`check_response`]), forwarded heads are stripped of it ([`strip`]), and the framing of a sent
//! message is written from its body ([`write_request`], [`stated_length`]).

// Rebuilt whenever the digest of the sources changes, which `base` holds.
use base as _;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::GetAll;
use http::header::PROXY_AUTHENTICATE;
use http::header::PROXY_AUTHORIZATION;
use http::header::TE;
use http::header::TRAILER;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;
use quick_error::quick_error;

/// Headers that apply to a single connection or describe the framing of a message.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// The first number that is no status. The HTTP library takes any of three digits from 100 on.
const STATUS_END: u16 = 600;
/// The only transfer coding that is decoded.
const CHUNKED: &str = "chunked";

quick_error! {
    /// What is wrong with the head of a response.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum FramingError {
        /// The status is of no class (RFC 9110, section 15).
        InvalidStatus {
            display("status is not from 100 to 599")
        }
        /// A length isn't a decimal number.
        InvalidLength {
            display("content-length is not a number")
        }
        /// Two lengths differ.
        DifferentLengths {
            display("two values of content-length differ")
        }
        /// A length stands beside a transfer coding.
        LengthAndCoding {
            display("content-length beside transfer-encoding")
        }
        /// The body has a transfer coding that isn't decoded.
        UnknownCoding {
            display("transfer-encoding is not just \"chunked\"")
        }
        /// A response whose status allows no body has one.
        UnexpectedBody {
            display("body in a response whose status allows none")
        }
        /// The response changes the connection's protocol, which no request asks for.
        SwitchedProtocol {
            display("unrequested switch of protocol")
        }
    }
}

/// How a response says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has this length in bytes.
    Length(u64),
    /// It is sent in chunks.
    Chunks,
    /// It says nothing.
    Unstated,
}

/// Checks the status and the framing of a response (RFC 9112, section 6).
///
/// # Errors
///
/// Fails if the head can be read in two ways, or in none. What follows it on the connection may
/// not be the body of this response.
pub fn check_response(status: StatusCode, headers: &HeaderMap) -> Result<Framing, FramingError> {
    if status.as_u16() >= STATUS_END {
        return Err(FramingError::InvalidStatus);
    }
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(FramingError::SwitchedProtocol);
    }
    let length = length(headers)?;
    let framing = match (length, is_chunked(headers)?) {
        (Some(_), true) => return Err(FramingError::LengthAndCoding),
        (Some(length), false) => Framing::Length(length),
        (None, true) => Framing::Chunks,
        (None, false) => Framing::Unstated,
    };
    let is_empty = matches!(framing, Framing::Length(0) | Framing::Unstated);
    if status == StatusCode::NO_CONTENT && !is_empty {
        return Err(FramingError::UnexpectedBody);
    }
    Ok(framing)
}

/// Removes what concerns the connection on which a head was received, including the headers that
/// are named in `Connection`, and the framing.
pub fn strip(headers: &mut HeaderMap) {
    let connection = headers.get_all(CONNECTION);
    let named: Vec<HeaderName> = options(&connection)
        .filter_map(|name| name.parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// The length that a response states of a body that isn't sent: in response to HEAD, and with
/// status 304. Call it before [`strip`].
#[must_use]
pub fn stated_length(method: &Method, status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let is_head = *method == Method::HEAD && status != StatusCode::NO_CONTENT;
    let has_no_body = is_head || status == StatusCode::NOT_MODIFIED;
    match check_response(status, headers) {
        Ok(Framing::Length(length)) if has_no_body => Some(length),
        _ => None,
    }
}

/// Writes the framing of a request with a body of `length` bytes, or of a length that isn't known
/// yet.
pub fn write_request(method: &Method, headers: &mut HeaderMap, length: Option<u64>) {
    let expects_body = [Method::POST, Method::PUT, Method::PATCH].contains(method);
    match length {
        Some(0) if !expects_body => {}
        Some(length) => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        // The HTTP client leaves the body out of a GET request that has neither.
        None => {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static(CHUNKED));
        }
    }
}

/// The stated length. A repeated value counts once.
fn length(headers: &HeaderMap) -> Result<Option<u64>, FramingError> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| FramingError::InvalidLength)?;
        for text in text.split(',') {
            let parsed = parse_length(text.trim()).ok_or(FramingError::InvalidLength)?;
            if *length.get_or_insert(parsed) != parsed {
                return Err(FramingError::DifferentLengths);
            }
        }
    }
    Ok(length)
}

/// Parses digits only: a number may have a sign, a length may not.
fn parse_length(text: &str) -> Option<u64> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    is_digits.then(|| text.parse().ok()).flatten()
}

/// Whether the body is sent in chunks, without another coding.
fn is_chunked(headers: &HeaderMap) -> Result<bool, FramingError> {
    if !headers.contains_key(TRANSFER_ENCODING) {
        return Ok(false);
    }
    let codings = headers.get_all(TRANSFER_ENCODING);
    let is_text = codings.iter().all(|value| value.to_str().is_ok());
    let mut codings = options(&codings);
    let is_first = codings
        .next()
        .is_some_and(|coding| coding.eq_ignore_ascii_case(CHUNKED));
    if is_text && is_first && codings.next().is_none() {
        Ok(true)
    } else {
        Err(FramingError::UnknownCoding)
    }
}

/// The elements of a header that is a list.
fn options<'a>(values: &GetAll<'a, HeaderValue>) -> impl Iterator<Item = &'a str> + use<'a> {
    let texts = values.iter().filter_map(|value| value.to_str().ok());
    let texts: Vec<&str> = texts.collect();
    let options = texts.into_iter().flat_map(|text| text.split(','));
    options.map(str::trim).filter(|option| !option.is_empty())
}
