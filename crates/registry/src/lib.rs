//! The announced upstreams: which announcement counts, and what has changed.

pub mod registry;

pub use registry::Registry;
pub use registry::Taken;
