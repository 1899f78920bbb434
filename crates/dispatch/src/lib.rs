//! One process among many that decides for a service.
//!
//! Where load shifts in milliseconds, a process that sees a fifteenth of a service's
//! requests knows little of its instances: it can't tell what the others have just sent,
//! and a slot that frees up for another's request is seen by nobody. So one process, the
//! service's dispatcher, grants slots to all. [`dispatcher`] names it without talk,
//! [`Trust`] tells whether it still answers, [`Grants`] keeps what it gave away, and
//! [`Tenure`] when it may spend what all share. A grant is placement only: whoever got it
//! checks itself what may be sent where, and decides alone while the dispatcher is silent.
//! [`Warmup`] names the few processes that send to an instance which is cold.
//!
//! All of it is plain state: the time and what happened go in, decisions come out.

pub mod breaker;
pub mod dispatcher;
pub mod grants;
pub mod role;
pub mod warmup;

pub use breaker::CircuitBreaker;
pub use dispatcher::dispatcher;
pub use grants::Grants;
pub use role::DispatcherLocation;
pub use role::DispatcherRole;
pub use warmup::Warmup;
