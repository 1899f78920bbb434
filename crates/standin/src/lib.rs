//! An emulated upstream for tests and for trying the system out.
//!
//! The stand-in follows the contract of a real upstream: it announces itself to
//! the directories, serves requests from a few slots and a queue, reports its load
//! with each response, sheds, drains, and honours cancellation and deadlines.
//! Faults are set at run time. Each run is recorded with its idempotency key, so
//! that a test can count which requests were run.

pub mod announce;
pub mod archive;
pub mod fault;
pub mod faulty;
pub mod flooding;
pub mod message;
pub mod runs;
pub mod server;
pub mod service_time;
pub mod settings;
pub mod slots;

mod accept;
mod announced;
mod handler;
mod request;
mod response;

pub use fault::Fault;
pub use fault::FaultKind;
pub use faulty::FaultShares;
pub use faulty::FaultyInstance;
pub use faulty::response::Refusal;
pub use faulty::response::ResponseFault;
pub use flooding::Flood;
pub use flooding::FloodingInstance;
pub use runs::Run;
pub use runs::RunState;
pub use server::StandIn;
pub use server::StartError;
pub use server::start;
pub use settings::Settings;
