//! Checksummed frames: magic, length, checksum, payload.
//!
//! The checksum covers the file's number and the frame's place, so that old
//! bytes or a payload that looks like a frame are never taken for one.

/// First bytes of every frame.
pub const MAGIC: [u8; 4] = *b"rwrf";
/// Bytes before the payload.
pub const HEAD: usize = 12;
/// Largest payload in bytes.
pub const MAX_PAYLOAD: usize = 256 * 1024 * 1024;

/// What stands at one place of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found<'a> {
    /// A good frame and where the next one starts.
    Frame(&'a [u8], usize),
    /// The file ends here.
    End,
    /// No good frame.
    Bad,
}

/// Appends one frame that will stand at `offset` of file `number`.
pub fn write(out: &mut Vec<u8>, number: u64, offset: u64, payload: &[u8]) {
    let length = u32::try_from(payload.len())
        .unwrap_or(u32::MAX)
        .to_le_bytes();
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum(number, offset, length, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// Reads what stands at `offset` of file `number`.
#[must_use]
pub fn read(bytes: &[u8], number: u64, offset: usize) -> Found<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return Found::End;
    }
    let Some((head, body)) = rest.split_at_checked(HEAD) else {
        return Found::Bad;
    };
    let length = [head[4], head[5], head[6], head[7]];
    let sum = u32::from_le_bytes([head[8], head[9], head[10], head[11]]);
    let count = u32::from_le_bytes(length) as usize;
    let Some(payload) = body.get(..count) else {
        return Found::Bad;
    };
    let good = head[..4] == MAGIC && sum == checksum(number, offset as u64, length, payload);
    if good {
        Found::Frame(payload, offset + HEAD + count)
    } else {
        Found::Bad
    }
}

/// Whether a good frame starts anywhere after `offset`.
#[must_use]
pub fn any_after(bytes: &[u8], number: u64, offset: usize) -> bool {
    (offset + 1..bytes.len())
        .filter(|at| bytes[*at..].starts_with(&MAGIC))
        .any(|at| matches!(read(bytes, number, at), Found::Frame(..)))
}

/// Whether only the mark at `offset` was lost: one good frame stands behind it,
/// and nothing after that.
///
/// A mark is synced together with the frame behind it. A power loss before that
/// sync may keep the frame and lose the mark. Were the frame synced, a mark of
/// its own would stand behind it or be written soon; keeping the frame is right
/// either way.
#[must_use]
pub fn lost_mark(bytes: &[u8], number: u64, offset: usize) -> bool {
    match read(bytes, number, offset + HEAD) {
        Found::Frame(_, end) => !any_after(bytes, number, end - 1),
        Found::End | Found::Bad => false,
    }
}

fn checksum(number: u64, offset: u64, length: [u8; 4], payload: &[u8]) -> u32 {
    let sum = crc32c::crc32c(&number.to_le_bytes());
    let sum = crc32c::crc32c_append(sum, &offset.to_le_bytes());
    let sum = crc32c::crc32c_append(sum, &length);
    crc32c::crc32c_append(sum, payload)
}
