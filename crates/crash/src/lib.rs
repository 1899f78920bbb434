//! How processes find out that a request crashes instances, and share that knowledge.
//!
//! A process that sends requests checks an instance after an attempt that broke off
//! ([`check`], [`fate`]) and keeps its observations in a [`Guard`]. [`report`] sends them to each process
//! that collects the observations of many ([`collector`]), and brings back its suspects. The
//! decisions are in the crate `quarantine`.

pub mod check;
pub mod collector;
pub mod fate;
pub mod guard;
pub mod report;

pub use check::BrokenAttempt;
pub use check::CrashCheck;
pub use collector::Reporter;
pub use fate::Fate;
pub use fate::Instance;
pub use guard::Guard;
