//! The measuring budget: what one upstream instance receives in probes from all
//! gateways together.
//!
//! The catalogue sets the budget of a service and registers the gateways. Each
//! gateway's [`Meter`](probe_limiter::Meter) spends only its share, from buckets that start
//! empty and hold one probe, so no gateway needs to hear of another's probes.
//! Nothing here does input or output.
//!
//! What is proved: at each moment the rates of all gateways sum to at most the
//! budget under one catalogue version that was current within the last lease. So
//! in any window of `T` seconds one instance receives at most `budget * T + G`
//! probes, `G` the gateways registered at some time in it, whichever of them
//! restart, run twice on a host, or are cut off, and whatever their clocks show.
//! Where clocks agree to a quarter of `1 / budget`, slots tighten this to
//! `budget * T + 2`.

pub mod allowance;
pub mod bucket;
pub mod probe_limiter;
pub mod registry;
pub mod slot;

pub use allowance::Allowance;
pub use probe_limiter::Denied;
pub use probe_limiter::ProbeLimiter;
pub use registry::Registry;
