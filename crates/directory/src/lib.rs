//! The directory, one on each entry host.
//!
//! Upstreams announce themselves here and callers ask which entry hosts to use
//! ([`http`]). Gateways poll for the catalogue and the instances ([`sync`]).
//! The directory follows the control replicas ([`follow`]) and exchanges with
//! other directories ([`peers`]). What it decides is in the crates `members`
//! and `place`; here are the sockets, the tasks and the clock around them.

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
pub mod sweep;
pub mod sync;

pub use server::Bound;
pub use server::Directory;
pub use server::StartError;
pub use server::bind;
pub use server::start;
pub use settings::Settings;
