//! Types shared by all crates: names, service classes, outcomes, time and headers.
//!
//! This crate performs no I/O. Each kind of name has its own type, so that, for
//! example, a host name cannot be passed as a service name.

pub mod build;
pub mod class;
pub mod header;
pub mod instance;
pub mod name;
pub mod outcome;
pub mod prelude;
pub mod time;
