//! Logging and metrics for the daemons.
//!
//! Logs are logfmt lines; lines beyond a rate or a full queue are dropped and counted, so logging
//! never blocks a request. Metrics are recorded in the process, and sent over UDP in the statsd
//! format if a sink is configured.

pub mod limit;
pub mod log;
pub mod logfmt;
pub mod metrics;
pub mod registry;
pub mod settings;

pub use registry::MetricsRegistry;
pub use settings::Settings;
