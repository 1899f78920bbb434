//! The life of one call's attempts at upstreams, and the retry budget of a service.
//!
//! A [`Call`](call::Call) takes [`Event`](event::Event)s and the time, and gives
//! [`Action`](action::Action)s: start an attempt, cancel one, relay an answer,
//! finish with a failure. It shares a [`Service`](service::Service) with the other
//! calls of its service: the retry [`Budget`](budget::Budget) and the observed
//! [`Latency`](latency::Latency). Nothing here does input or output.
//!
//! Three rules hold whatever the schedule of results:
//!
//! - `not-run` is said only if no attempt of the call may have run;
//! - a call of class once has at most one attempt that may have run;
//! - attempts beyond the first of each call stay within the service's budget.

pub mod action;
pub mod budget;
pub mod call;
pub mod event;
pub mod latency;
pub mod service;
pub mod timing;

pub use action::Action;
pub use action::Actions;
pub use action::Failure;
pub use action::Reason;
pub use action::Start;
pub use budget::Budget;
pub use budget::BudgetSettings;
pub use call::Call;
pub use call::CallContext;
pub use event::AttemptError;
pub use event::Event;
pub use event::Head;
pub use latency::Latency;
pub use service::Service;
