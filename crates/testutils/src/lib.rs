//! Starts whole systems on loopback for tests: real processes of the built
//! binaries, and a caller that keeps the callers' contract.
//!
//! Only tests start processes; the system's own never do. A process is ended
//! by its own id, and at the latest when its handle is dropped.

pub mod caller;
pub mod fleet;
pub mod folder;
pub mod host;
pub mod operator;
pub mod plan;
pub mod process;
pub mod services;
pub mod system;
pub mod tables;
pub mod upstream;

pub use caller::Caller;
pub use caller::Reply;
pub use caller::Request;
pub use caller::new_key;
pub use fleet::Fleet;
pub use fleet::Layout;
pub use folder::Folder;
pub use host::Host;
pub use operator::Operator;
pub use plan::Plan;
pub use process::Binary;
pub use process::Process;
pub use process::ProcessError;
pub use system::System;
pub use upstream::Upstream;
