//! An open-loop load tool, for loopback only.
//!
//! Calls leave at times that are fixed beforehand, whatever the answers do,
//! and each latency is measured from the intended time. So a stall shows in
//! every call that it held up, and not just in the one that met it.

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
