//! The directory process, which runs on each entry host.
//!
//! Upstreams announce themselves and callers ask for entry hosts over HTTP ([`http`]).
//! Gateways poll for the catalogue and the instances ([`sync`]). The directory follows the
//! control replicas ([`follow`]), exchanges state with other directories ([`peers`]) and counts
//! the requests that crash instances ([`suspects`]). The
//! decisions are in the crates `members` and `place`; this crate adds sockets, tasks and the
//! clock.

pub mod convert;
pub mod follow;
pub mod http;
pub mod lease;
pub mod metrics;
pub mod peers;
pub mod placement_cache;
pub mod route;
pub mod rpc;
pub mod server;
pub mod settings;
pub mod shared;
pub mod suspects;
pub mod sweep;
pub mod sync;

pub use server::Bound;
pub use server::Directory;
pub use server::StartError;
pub use server::bind;
pub use server::start;
pub use settings::Settings;
