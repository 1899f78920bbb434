//! The announced upstreams: which announcement counts, and what has changed.

pub mod check;
pub mod merge;
pub mod registry;

pub use check::Unusable;
pub use check::check;
pub use merge::Merged;
pub use merge::merge;
pub use registry::Registry;
pub use registry::Taken;
