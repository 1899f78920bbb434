//! Logs as logfmt lines and metrics over UDP, for the daemons.
//!
//! Both are bounded and never hold a request up: a full log queue drops lines
//! and reports how many, and metrics without a sink cost nothing.

pub mod lines;
pub mod log;
pub mod metrics;
pub mod settings;

pub use settings::Settings;
