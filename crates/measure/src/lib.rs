//! Probe budgets: limits on the probes that an upstream instance receives from all gateways.
//!
//! The catalogue sets the budget of each service and registers the gateways. Each gateway's
//! [`ProbeLimiter`] spends only its share of the budget, from token buckets that start empty and
//! hold one probe, so gateways don't need to coordinate. This crate does no I/O.
//!
//! At any time, the rates of all gateways sum to at most the budget of one catalogue version
//! that was current within the last lease. In any window of `T` seconds, an instance therefore
//! receives at most `budget * T + G` probes, where `G` is the number of gateways registered at
//! some time in the window. This holds if gateways restart, run twice on a host or are
//! partitioned, and for any clock offsets. If clocks agree within a quarter of `1 / budget`, time
//! slots lower the bound to `budget * T + 2`.

pub mod allowance;
pub mod bucket;
pub mod probe_limiter;
pub mod registry;
pub mod slot;

pub use allowance::Allowance;
pub use probe_limiter::Denied;
pub use probe_limiter::ProbeLimiter;
pub use registry::Registry;
