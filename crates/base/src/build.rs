//! What the running program was built from.
//!
//! Cargo compares the times of files and would leave programs in place that are newer than sources
//! unpacked over them. The build command therefore passes a digest of the sources. A change of it
//! rebuilds this crate, and with it each crate that depends on it.

/// Digest of the sources as computed by the build command; `None` in builds by cargo alone.
pub const SOURCES: Option<&str> = option_env!("RWR_SOURCES");

/// The digest of the sources, or that none was recorded.
#[must_use]
pub fn sources() -> &'static str {
    SOURCES.unwrap_or("unrecorded")
}

/// The line that a program prints for `--version`.
#[must_use]
pub fn version_line(program: &str, version: &str) -> String {
    format!("{program} {version} sources={}", sources())
}
