//! Generates Rust types from `crates/wire/proto` into `crates/wire/src/generated`.
//!
//! The output is committed, so that builds do not depend on this crate. A test checks
//! that the committed files are up to date.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use quick_error::quick_error;

/// Protocol files, each after its imports.
const PROTOS: [&str; 10] = [
    "catalogue.proto",
    "ledger.proto",
    "control.proto",
    "hub.proto",
    "directory.proto",
    "gateway.proto",
    "place.proto",
    "quota.proto",
    "store.proto",
    "replica.proto",
];

quick_error! {
    /// Reason why generation failed.
    #[derive(Debug)]
    pub enum GenError {
        /// A protocol file could not be compiled.
        Proto(err: protox::Error) {
            from()
            source(err)
            display("failed to compile protocol file: {err}")
        }
        /// A file could not be read or written.
        Io(err: io::Error) {
            from()
            source(err)
            display("failed to access file: {err}")
        }
    }
}

/// Returns the directory of the `wire` crate.
#[must_use]
pub fn wire_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

/// Writes one Rust file per protocol package into the directory `out`.
///
/// # Errors
///
/// Fails if a protocol file can't be compiled or `out` can't be written.
pub fn generate(out: &Path) -> Result<(), GenError> {
    let files = protox::compile(PROTOS, [wire_dir().join("proto")])?;
    prost_build::Config::new()
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .bytes(["."])
        .btree_map(["."])
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
