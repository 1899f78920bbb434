//! Requests that crash the instances that run them.
//!
//! Such a request is told again by its [`Fingerprint`], whichever process it comes to and
//! whatever name it has. A [`Tracker`] counts crashes and says which requests are refused; each
//! process that sends requests has one in its [`Quarantine`], beside what it has to tell the
//! hubs, and each hub has one for the crashes of all.

pub mod convert;
pub mod fingerprint;
pub mod quarantine;
pub mod recent_answers;
pub mod tracker;

pub use convert::ConvertError;
pub use fingerprint::Fingerprint;
pub use fingerprint::Head;
pub use quarantine::Event;
pub use quarantine::Quarantine;
pub use tracker::Crash;
pub use tracker::InstanceRun;
pub use tracker::Outcome;
pub use tracker::Revision;
pub use tracker::Suspect;
pub use tracker::Tracker;
