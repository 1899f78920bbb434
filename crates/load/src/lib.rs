//! An open-loop load tool, for loopback only.
//!
//! Calls are sent at precomputed times, independent of the responses, and each
//! latency is measured from the intended time. A stall therefore counts in the
//! latency of every call that it delays (no coordinated omission).

pub mod arrival;
pub mod call;
pub mod options;
pub mod report;
pub mod run;
pub mod target;

pub use options::Options;
pub use options::OptionsError;
pub use report::CallOutcome;
pub use report::Report;
pub use run::LoadError;
pub use run::run;
pub use target::Target;
