//! Failure domains to whose upstreams an operator wants nothing sent.
//!
//! The replicated log applies orders, so that all hubs agree on their effect; entry
//! processes hold the newest state that any hub told.

pub mod state;

pub use state::EvacuationState;
pub use state::Outcome;
pub use state::StateError;
