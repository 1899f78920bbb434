//! Requests that crash the instances that run them.
//!
//! A request is told again by its fingerprint, whichever process it comes to and whatever
//! name it has.

pub mod fingerprint;

pub use fingerprint::Fingerprint;
pub use fingerprint::Head;
