//! Archive responses: long bodies, equal on all instances, that support range requests.

use std::ops::Range;

use bytes::Bytes;

/// Size of one chunk of a streamed body, in bytes.
pub const CHUNK_SIZE: u64 = 16 * 1024;

/// The part of a body that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedRange {
    /// The full body.
    Full,
    /// One range of bytes.
    Partial(Range<u64>),
    /// A range that has no byte of the body.
    Unsatisfiable,
}

/// Parses the `range` header of a request for a body of `size` bytes.
///
/// Anything but a single `bytes=FROM-` or `bytes=FROM-TO` asks for the full body.
#[must_use]
pub fn parse_range(range: Option<&str>, size: u64) -> RequestedRange {
    let Some((from, to)) = range.and_then(parse_bounds) else {
        return RequestedRange::Full;
    };
    let end = to.map_or(size, |to| to.saturating_add(1).min(size));
    if from >= end {
        return RequestedRange::Unsatisfiable;
    }
    RequestedRange::Partial(from..end)
}

fn parse_bounds(range: &str) -> Option<(u64, Option<u64>)> {
    let (from, to) = range.strip_prefix("bytes=")?.split_once('-')?;
    let from = from.parse().ok()?;
    if to.is_empty() {
        return Some((from, None));
    }
    Some((from, Some(to.parse().ok()?)))
}

/// The bytes in `range` of the body served at `path`.
#[must_use]
pub fn bytes(path: &str, range: Range<u64>) -> Bytes {
    let path_hash = path
        .bytes()
        .fold(17_u64, |sum, b| sum.wrapping_mul(31).wrapping_add(b.into()));
    range.map(|i| byte_at(path_hash, i)).collect()
}

fn byte_at(path_hash: u64, i: u64) -> u8 {
    // Printable, and without a short period, so that a test notices a shifted range.
    let mixed = path_hash
        .wrapping_add(i)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(23);
    b'a' + u8::try_from(mixed % 26).unwrap_or(0)
}

/// Splits `range` into ranges of at most [`CHUNK_SIZE`] bytes.
pub fn chunks(range: Range<u64>) -> impl Iterator<Item = Range<u64>> {
    let end = range.end;
    (range.start..end)
        .step_by(usize::try_from(CHUNK_SIZE).unwrap_or(usize::MAX))
        .map(move |from| from..(from + CHUNK_SIZE).min(end))
}
