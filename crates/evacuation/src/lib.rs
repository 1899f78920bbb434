//! Failure domains whose upstreams receive nothing, by an operator's order.
//!
//! The replicated log applies orders, so that all hubs agree on their effect;
//! entry processes use the latest state that any hub sent.

pub mod state;

pub use state::EvacuationState;
pub use state::Outcome;
pub use state::StateError;
