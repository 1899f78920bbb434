//! Admission of calls at one gateway: who starts now, who waits, who is refused.
//!
//! [`Admission`] takes arrivals, ends and the time, and gives [`Action`]s. Each
//! service has a [`Lane`](lane::Lane): its running calls under an adaptive
//! [`Limit`](limit::Limit), and its queue, ordered by deadline. Lanes of all classes
//! share the gateway's own concurrency by [`Shares`](class_scheduler::Shares). Nothing here
//! does input or output.
//!
//! Rules that hold whatever the schedule of events:
//!
//! - a refusal comes at the moment it is certain, with a time to come back;
//! - a refused call was never started, so its outcome is `not-run`;
//! - running calls stay within the limits of the entry and of the gateway;
//! - a class that waits gets at least its share of the starts.

pub mod admission;
pub mod class_scheduler;
pub mod limit;
pub mod refusal;
pub mod service_queue;
pub mod wait_estimator;
pub mod wait_queue;

pub use admission::Action;
pub use admission::Admission;
pub use admission::Arrival;
pub use admission::Request;
pub use admission::Settings;
pub use admission::Ticket;
pub use limit::Mode;
pub use refusal::Refusal;
pub use refusal::Refused;
pub use service_queue::Finish;
pub use service_queue::ServiceConfig;
pub use wait_queue::WaitQueue;
