//! Instances that a process sends nothing to, because they asked for it.
//!
//! An instance that refuses a request may name a time during which it takes nothing from the
//! process that sent the request, and one that shuts down says so in its responses. [`Backoffs`]
//! stores what each run of an instance asked of this process. Every path to an instance looks
//! there right before it sends something: first attempts, retries, granted and relayed requests,
//! trials of ejected instances, and probes.
//!
//! A backoff concerns one process and one run of an instance: other processes aren't concerned, and a
//! new run starts without one. All types are state machines without I/O; the time is an argument.

pub mod backoffs;
pub mod head;
pub mod retry_after;

pub use backoffs::Backoff;
pub use backoffs::Backoffs;
pub use backoffs::Notice;
pub use head::HeadError;
pub use head::read_head;
pub use retry_after::RetryAfter;
