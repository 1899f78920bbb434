//! Generates the Rust types of `crates/wire/proto` into `crates/wire/src/generated`.
//!
//! The output is committed, so that no build needs this crate. A test compares
//! the committed files with a fresh run.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use quick_error::quick_error;

/// The protocol files, in order of dependency.
const PROTOS: [&str; 9] = [
    "catalogue.proto",
    "ledger.proto",
    "control.proto",
    "hub.proto",
    "directory.proto",
    "gateway.proto",
    "place.proto",
    "store.proto",
    "replica.proto",
];

quick_error! {
    /// Why generation failed.
    #[derive(Debug)]
    pub enum GenError {
        /// A protocol file did not compile.
        Proto(err: protox::Error) {
            from()
            source(err)
            display("protocol file: {err}")
        }
        /// A file could not be read or written.
        Io(err: io::Error) {
            from()
            source(err)
            display("file: {err}")
        }
    }
}

/// The folder of the wire crate.
#[must_use]
pub fn wire_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

/// Writes one Rust file for each protocol package into `out`.
///
/// # Errors
///
/// Fails when a protocol file doesn't compile or `out` can't be written.
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
