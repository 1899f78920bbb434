//! The registry of announced instances: ordering of announcements and tracking of changes.

pub mod check;
pub mod digest;
pub mod merge;
pub mod pack;
pub mod registry;

pub use check::AnnouncementError;
pub use check::check;
pub use digest::Digest;
pub use merge::Merged;
pub use merge::merge;
pub use pack::PackError;
pub use pack::pack;
pub use pack::pack_hosts;
pub use pack::unpack;
pub use pack::unpack_hosts;
pub use registry::ApplyOutcome;
pub use registry::Delta;
pub use registry::Registry;
pub use registry::TOMBSTONE_RETENTION;
