//! What upstreams tell of themselves over HTTP, as directories and hubs take it.
//!
//! [`body`] reads an announcement, [`refusal`] says no in one form, and [`page`]
//! is what both kinds of process do around them.

pub mod body;
pub mod endpoint;
pub mod refusal;

pub use refusal::Reason;
pub use refusal::Refusal;
