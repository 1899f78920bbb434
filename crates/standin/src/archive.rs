//! Archive answers: long, the same on each instance, served by range.

use std::ops::Range;

use bytes::Bytes;

/// Bytes of one piece of a streamed answer.
pub const PIECE: u64 = 16 * 1024;

/// What a request asks of an archive answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// All of it.
    Whole,
    /// One range.
    Range(Range<u64>),
    /// A range that lies outside.
    Outside,
}

/// Reads the `range` header against a body of `size` bytes.
///
/// A form other than one `bytes=FROM-` or `bytes=FROM-TO` asks for the whole.
#[must_use]
pub fn part(range: Option<&str>, size: u64) -> Part {
    let Some((from, to)) = range.and_then(bounds) else {
        return Part::Whole;
    };
    let end = to.map_or(size, |to| to.saturating_add(1).min(size));
    if from >= end {
        return Part::Outside;
    }
    Part::Range(from..end)
}

fn bounds(range: &str) -> Option<(u64, Option<u64>)> {
    let (from, to) = range.strip_prefix("bytes=")?.split_once('-')?;
    let from = from.parse().ok()?;
    if to.is_empty() {
        return Some((from, None));
    }
    Some((from, Some(to.parse().ok()?)))
}

/// The bytes of the answer to `path` that lie in `range`.
#[must_use]
pub fn bytes(path: &str, range: Range<u64>) -> Bytes {
    let salt = path
        .bytes()
        .fold(17_u64, |sum, b| sum.wrapping_mul(31).wrapping_add(b.into()));
    range.map(|i| byte(salt, i)).collect()
}

fn byte(salt: u64, i: u64) -> u8 {
    // Printable, without a short period, so that a shifted range is seen.
    let mixed = salt
        .wrapping_add(i)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(23);
    b'a' + u8::try_from(mixed % 26).unwrap_or(0)
}

/// The ranges of at most [`PIECE`] bytes that make up `range`.
pub fn pieces(range: Range<u64>) -> impl Iterator<Item = Range<u64>> {
    let end = range.end;
    (range.start..end)
        .step_by(usize::try_from(PIECE).unwrap_or(usize::MAX))
        .map(move |from| from..(from + PIECE).min(end))
}
