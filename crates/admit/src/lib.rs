//! Admission control of one gateway: which calls start, which are queued and which are
//! refused.
//!
//! [`Admission`] is a state machine without I/O: it takes arrivals, completions and the
//! current time, and returns [`Action`]s. Each service has a
//! [`ServiceQueue`](service_queue::ServiceQueue): its running calls, bounded by an adaptive
//! [`ConcurrencyLimit`](limit::ConcurrencyLimit), and its queued calls, ordered by deadline.
//! A [`ClassScheduler`](class_scheduler::ClassScheduler) divides the gateway's own
//! concurrency among the classes.
//!
//! Invariants, for any order of events:
//!
//! - a call is refused as soon as it is certain that it can't be served, and the refusal
//!   says when to retry where a retry can help;
//! - a refused call was never started, so its outcome is `not-run`;
//! - running calls stay within the limits of the catalogue entry and of the gateway;
//! - a class with queued calls gets at least its share of the starts.

pub mod admission;
pub mod capacity_queue;
pub mod class_scheduler;
pub mod fair_queue;
pub mod limit;
pub mod refusal;
pub mod return_schedule;
pub mod service_queue;
pub mod slot_rate;
pub mod wait_estimator;
pub mod wait_queue;

pub use admission::Action;
pub use admission::Admission;
pub use admission::Arrival;
pub use admission::Request;
pub use admission::Settings;
pub use admission::Ticket;
pub use capacity_queue::CapacityQueue;
pub use capacity_queue::QueueState;
pub use fair_queue::FairQueue;
pub use fair_queue::Waiting;
pub use limit::Mode;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use service_queue::Finish;
pub use service_queue::ServiceConfig;
pub use wait_queue::WaitQueue;
