//! One process chooses instances for all requests of a service.
//!
//! Where load shifts within milliseconds, a process that receives a fifteenth of a
//! service's requests knows little of its instances: it neither sees what other
//! processes have just sent, nor that a slot of theirs became free. The service's
//! dispatcher therefore grants slots to all processes. [`dispatcher()`] selects it
//! without communication, [`CircuitBreaker`] tracks whether it answers, [`Grants`]
//! stores its outstanding grants, and [`DispatcherRole`] decides when it may spend
//! the shared budget. A grant only names an instance: the process that receives it
//! still applies its own limits, and chooses by itself while the dispatcher
//! doesn't answer. [`Warmup`] selects the few processes that send to a cold instance.
//! The instances of a service that is too large for one dispatcher are divided into
//! [`parts`].
//!
//! All types are state machines without I/O; the time is an argument.

pub mod breaker;
pub mod dispatcher;
pub mod grants;
pub mod parts;
pub mod role;
pub mod warmup;

pub use breaker::CircuitBreaker;
pub use dispatcher::dispatcher;
pub use grants::Grants;
pub use role::DispatcherLocation;
pub use role::DispatcherRole;
pub use warmup::Warmup;
