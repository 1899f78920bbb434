//! Limits that instances in need name for the requests that they receive.
//!
//! An instance names its limit in its responses: the requests per second that it takes from all
//! processes together. [`Limits`] stores what was heard of each instance.

pub mod limits;
pub mod rate;

pub use limits::Change;
pub use limits::Limits;
pub use limits::Report;
pub use limits::Source;
pub use rate::RequestRate;
