//! The replicated log as a pure deterministic state machine.
//!
//! [`Node`] is one replica. An adapter feeds it [`Event`]s with the time and
//! carries out the [`Action`]s that come back, in their order. The node does no
//! input or output, starts no task and reads no clock; its randomness comes
//! from a seed.
//!
//! What an adapter has to do:
//!
//! - call [`Node::step`] with [`Event::Tick`] at [`Node::deadline`];
//! - carry out [`Action::Persist`], sync, and answer [`Event::Persisted`], or
//!   [`Event::PersistFailed`] when the write or the sync failed. At most one
//!   write is in flight. Whatever depends on a write stays inside the node until
//!   then, so an adapter may send every [`Action::Send`] at once;
//! - apply [`Action::Commit`] in order and answer each ticket when its action
//!   comes. A ticket ends in exactly one [`Action::Committed`],
//!   [`Action::ReadReady`] or [`Action::Rejected`];
//! - hand over a snapshot of the applied state by [`Event::Compact`] when
//!   [`Status::log_bytes`] has grown.

pub mod action;
pub mod config;
pub mod entry;
pub mod event;
mod leader;
mod log;
pub mod message;
pub mod node;
mod persistence;
mod progress;
pub mod quorum;
pub mod settings;
pub mod stored;

pub use action::Action;
pub use action::Fault;
pub use action::Rejection;
pub use action::Write;
pub use action::WriteNumber;
pub use config::Acceptance;
pub use config::Change;
pub use config::Config;
pub use config::Member;
pub use entry::Entry;
pub use entry::Index;
pub use entry::Payload;
pub use entry::Position;
pub use entry::ReplicaId;
pub use entry::Term;
pub use event::Event;
pub use event::Ticket;
pub use message::Body;
pub use message::Message;
pub use node::Node;
pub use node::Role;
pub use node::Status;
pub use settings::Settings;
pub use stored::HardState;
pub use stored::Snapshot;
pub use stored::Stored;
