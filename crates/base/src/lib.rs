//! Types that every crate shares: names, classes, outcomes, time and headers.
//!
//! Nothing here does input or output. Each name is an immutable shared string
//! behind a type of its own, so that a host can't be passed for a service.

pub mod class;
pub mod header;
pub mod name;
pub mod outcome;
pub mod prelude;
pub mod time;
