//! Checksummed frames: magic, length, checksum, payload.
//!
//! The checksum covers the file's number and the frame's offset, so that neither stale
//! bytes nor a payload that looks like a frame are read as a frame.

/// The first bytes of every frame.
pub const MAGIC: [u8; 4] = *b"rwrf";
/// The size of the frame header before the payload, in bytes.
pub const HEADER_BYTES: usize = 12;
/// The maximum payload size in bytes.
pub const MAX_PAYLOAD: usize = 256 * 1024 * 1024;

/// The result of reading a frame at an offset of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult<'a> {
    /// The payload of a valid frame and the offset of the next frame.
    Frame(&'a [u8], usize),
    /// The end of the file.
    End,
    /// No valid frame.
    Invalid,
}

/// Appends a frame for `offset` of file `file_number` to `out`.
pub fn write(out: &mut Vec<u8>, file_number: u64, offset: u64, payload: &[u8]) {
    let length = u32::try_from(payload.len())
        .unwrap_or(u32::MAX)
        .to_le_bytes();
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum(file_number, offset, length, payload).to_le_bytes());
    out.extend_from_slice(payload);
}

/// Reads the frame at `offset` of file `file_number`.
#[must_use]
pub fn read(bytes: &[u8], file_number: u64, offset: usize) -> ReadResult<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return ReadResult::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return ReadResult::Invalid;
    };
    let length = [header[4], header[5], header[6], header[7]];
    let sum = u32::from_le_bytes([header[8], header[9], header[10], header[11]]);
    let count = u32::from_le_bytes(length) as usize;
    let Some(payload) = body.get(..count) else {
        return ReadResult::Invalid;
    };
    let is_valid =
        header[..4] == MAGIC && sum == checksum(file_number, offset as u64, length, payload);
    if is_valid {
        ReadResult::Frame(payload, offset + HEADER_BYTES + count)
    } else {
        ReadResult::Invalid
    }
}

/// Returns whether a valid frame starts anywhere after `offset`.
#[must_use]
pub fn has_frame_after(bytes: &[u8], file_number: u64, offset: usize) -> bool {
    (offset + 1..bytes.len())
        .filter(|at| bytes[*at..].starts_with(&MAGIC))
        .any(|at| matches!(read(bytes, file_number, at), ReadResult::Frame(..)))
}

/// Returns whether only the sync marker at `offset` was lost: exactly one valid frame follows.
///
/// A marker is synced together with the frame after it. A power loss before that
/// sync may keep the frame and lose the marker. Keeping the frame is correct whether
/// or not it was synced.
#[must_use]
pub fn is_marker_lost(bytes: &[u8], file_number: u64, offset: usize) -> bool {
    match read(bytes, file_number, offset + HEADER_BYTES) {
        ReadResult::Frame(_, end) => !has_frame_after(bytes, file_number, end - 1),
        ReadResult::End | ReadResult::Invalid => false,
    }
}

fn checksum(file_number: u64, offset: u64, length: [u8; 4], payload: &[u8]) -> u32 {
    let sum = crc32c::crc32c(&file_number.to_le_bytes());
    let sum = crc32c::crc32c_append(sum, &offset.to_le_bytes());
    let sum = crc32c::crc32c_append(sum, &length);
    crc32c::crc32c_append(sum, payload)
}
