//! Test utilities: starts whole systems on loopback from the built binaries, and
//! an HTTP client that follows the callers' contract.
//!
//! Each process is signalled by its own id and killed when its handle is dropped.

pub mod caller;
pub mod crowd;
pub mod fleet;
pub mod folder;
pub mod host;
pub mod kept_caller;
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
pub use crowd::CallingCrowd;
pub use crowd::Crowd;
pub use crowd::Message;
pub use crowd::Reading;
pub use fleet::Fleet;
pub use fleet::Layout;
pub use folder::Folder;
pub use host::Host;
pub use kept_caller::IdentifiedRequest;
pub use kept_caller::KeptCaller;
pub use kept_caller::Received;
pub use operator::Operator;
pub use plan::Plan;
pub use process::Binary;
pub use process::Process;
pub use process::ProcessError;
pub use system::System;
pub use upstream::Upstream;
