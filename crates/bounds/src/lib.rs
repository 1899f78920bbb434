//! Bounds on what clients occupy of a process: one account of the memory that is kept for them and
//! for the responses to them, and the number of their connections.
//!
//! What a client sends is charged before it is kept. Where there is no room, connections are closed
//! whose clients have stopped in the middle of a head, a body or a response, then idle ones; those
//! that wait for a response are left alone. If that makes no room either, the newcomer is refused.

pub mod acceptor;
pub mod body;
mod buffer;
mod charge;
mod clients;
mod connection;
mod instance_stream;
mod report;
mod response;
mod settings;
mod stream;

pub use acceptor::BoundedAcceptor;
pub use buffer::Buffer;
pub use charge::Charge;
pub use charge::OverMemory;
pub use clients::Clients;
pub use connection::Client;
pub use connection::Receiving;
pub use connection::RequestGuard;
pub use instance_stream::InstanceStream;
pub use response::READ_BUFFER_BYTES;
pub use response::ResponseCharge;
pub use settings::Limits;
pub use settings::Requirements;
pub use settings::Settings;
pub use stream::ClientStream;
