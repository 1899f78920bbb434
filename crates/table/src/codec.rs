//! The encoding of tables in the replicated log and between processes: compressed JSON.
//!
//! Every entry host fetches the full table over a slow link. Uncompressed, 1,440 routes are
//! 400 KB, over a second at 2.3 Mbit/s.

use std::io;
use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use quick_error::quick_error;

use crate::model::Table;

/// Maximum size of the JSON of a table in bytes. Longer JSON is cut off and fails to parse.
const MAX_JSON_BYTES: u64 = 32 * 1024 * 1024;

quick_error! {
    /// Errors of encoding or decoding a table.
    #[derive(Debug)]
    pub enum CodecError {
        /// The JSON is no valid table.
        Json(err: serde_json::Error) {
            from()
            source(err)
            display("invalid route table: {err}")
        }
        /// The bytes can't be compressed or decompressed.
        Compression(err: io::Error) {
            from()
            source(err)
            display("could not compress or decompress route table: {err}")
        }
    }
}

/// Encodes a table. Equal tables have equal encodings.
///
/// # Errors
///
/// Fails if the table can't be serialized or compressed.
pub fn encode(table: &Table) -> Result<Vec<u8>, CodecError> {
    let json = serde_json::to_vec(table)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&json)?;
    Ok(encoder.finish()?)
}

/// Decodes a table encoded by [`encode`].
///
/// # Errors
///
/// Fails if `bytes` is no encoded table.
pub fn decode(bytes: &[u8]) -> Result<Table, CodecError> {
    let mut json = Vec::new();
    ZlibDecoder::new(bytes)
        .take(MAX_JSON_BYTES)
        .read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}
