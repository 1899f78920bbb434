//! Attempts of a call at upstreams: retries, hedges and the retry budget of a service.
//!
//! A [`Call`] is a state machine without I/O: it takes [`Event`]s and the current time, and
//! returns [`Action`]s such as to start or cancel an attempt, to relay a response, or to fail. The
//! calls of a service share its [`Service`]: the retry [`Budget`] and the observed [`Latency`].
//!
//! Invariants, for any order of events:
//!
//! - the outcome `not-run` is given only if no attempt of the call may have run;
//! - a call of class once has at most one attempt that may have run;
//! - attempts beyond the first of each call stay within the service's budget.

pub mod action;
pub mod budget;
pub mod call;
pub mod distribution;
pub mod event;
pub mod hedge;
pub mod latency;
pub mod service;
pub mod silence;
pub mod stop;
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
pub use distribution::Distribution;
pub use event::AttemptError;
pub use event::Event;
pub use event::Head;
pub use latency::Latency;
pub use service::Service;
