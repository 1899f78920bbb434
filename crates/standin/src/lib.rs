//! A small stand-in for an upstream, for tests and for trying the system out.
//!
//! It speaks the same contract as a real upstream: it announces itself to the
//! directories, serves requests from a few slots and a queue, reports its load
//! on each answer, sheds, drains, accepts cancellation and deadlines. Faults
//! are switched on at run time, and each run is recorded by request key, so
//! that a test can count what truly ran.

pub mod announce;
pub mod archive;
pub mod fault;
pub mod runs;
pub mod server;
pub mod service_time;
pub mod settings;
pub mod slots;

mod handler;
mod request;
mod response;

pub use fault::Fault;
pub use fault::FaultKind;
pub use runs::Run;
pub use runs::RunState;
pub use server::StandIn;
pub use server::StartError;
pub use server::start;
pub use settings::Settings;
