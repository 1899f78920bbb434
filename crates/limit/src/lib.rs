//! Limits that instances in need name for the requests that they receive.
//!
//! An instance names its limit in its responses: the requests per second that it takes from all
//! processes together. [`Limits`] stores what was heard of each instance, [`share()`] divides a
//! limit among processes, and a [`Pacer`] spaces the requests of one process. Entry processes
//! report the limits that they hear of to all hubs, and hubs tell all entry processes.
//!
//! All types are state machines without I/O; the time is an argument.

pub mod convert;
pub mod limits;
pub mod pacer;
pub mod rate;
pub mod share;

pub use limits::Change;
pub use limits::Limits;
pub use limits::NamedLimit;
pub use limits::Source;
pub use pacer::Pacer;
pub use rate::RequestRate;
pub use share::share;
