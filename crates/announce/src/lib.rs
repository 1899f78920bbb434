//! Announcements of upstream instances over HTTP, as taken by directories and hubs.
//!
//! [`body`] parses an announcement, [`refusal`] renders error responses, and [`endpoint`] has
//! the request handling that both kinds of process share.

pub mod body;
pub mod endpoint;
pub mod refusal;

pub use refusal::Reason;
pub use refusal::Refusal;
