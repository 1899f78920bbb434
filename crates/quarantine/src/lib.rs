//! Quarantine of requests that crash the instances that run them.
//!
//! A request is recognised by its [`Fingerprint`], whichever process it arrives at and whatever
//! its request id is. A [`Tracker`] counts crashes and decides which requests are refused. Each
//! process that sends requests has a tracker in its [`Quarantine`], which also keeps the events
//! to report. Each hub and each directory has a tracker for the crashes that all processes report.

pub mod convert;
pub mod event_log;
pub mod fingerprint;
pub mod quarantine;
pub mod recent_answers;
pub mod tracker;

pub use convert::ConvertError;
pub use event_log::Event;
pub use event_log::EventLog;
pub use fingerprint::Fingerprint;
pub use fingerprint::Head;
pub use quarantine::Quarantine;
pub use tracker::Crash;
pub use tracker::Outcome;
pub use tracker::Revision;
pub use tracker::Suspect;
pub use tracker::Tracker;
