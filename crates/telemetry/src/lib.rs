//! Logs as logfmt lines and metrics over UDP, for the daemons.
//!
//! Both are bounded and never hold a request up: lines beyond a rate or a full
//! queue are left out and counted. Metrics are kept in the process, for whoever
//! asks, and sent where a sink is set.

pub mod limit;
pub mod log;
pub mod logfmt;
pub mod metrics;
pub mod registry;
pub mod settings;

pub use registry::MetricsRegistry;
pub use settings::Settings;
