//! A table as bytes, for the replicated log and between processes.

use quick_error::quick_error;

use crate::model::Table;

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
    }
}

/// The table as bytes; equal tables give equal bytes.
///
/// # Errors
///
/// Fails when a value can't be written.
pub fn encode(table: &Table) -> Result<Vec<u8>, CodecError> {
    Ok(serde_json::to_vec(table)?)
}

/// The table that [`encode`] wrote.
///
/// # Errors
///
/// Fails on other bytes.
pub fn decode(bytes: &[u8]) -> Result<Table, CodecError> {
    Ok(serde_json::from_slice(bytes)?)
}
