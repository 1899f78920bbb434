//! A table as bytes, for the replicated log and between processes.
//!
//! Compressed JSON. Tables go to every entry host, whose links are narrow: 1,440
//! routes take 400 KB without compression, which is over a second of 2.3 Mbit/s.

use std::io;
use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use quick_error::quick_error;

use crate::model::Table;

/// Longest JSON of a table in bytes: some hundred thousand routes. Bytes that
/// unpack to more are no table.
const MOST: u64 = 32 * 1024 * 1024;

quick_error! {
    /// Why bytes are no table.
    #[derive(Debug)]
    pub enum CodecError {
        /// They have another form.
        Form(err: serde_json::Error) {
            from()
            source(err)
            display("route table: {err}")
        }
        /// They can't be packed or unpacked.
        Pack(err: io::Error) {
            from()
            source(err)
            display("packed route table: {err}")
        }
    }
}

/// The table as bytes; equal tables give equal bytes.
///
/// # Errors
///
/// Fails when a value can't be written.
pub fn encode(table: &Table) -> Result<Vec<u8>, CodecError> {
    let json = serde_json::to_vec(table)?;
    let mut packed = ZlibEncoder::new(Vec::new(), Compression::default());
    packed.write_all(&json)?;
    Ok(packed.finish()?)
}

/// The table that [`encode`] wrote.
///
/// # Errors
///
/// Fails on other bytes.
pub fn decode(bytes: &[u8]) -> Result<Table, CodecError> {
    let mut json = Vec::new();
    ZlibDecoder::new(bytes).take(MOST).read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}
