//! A Raft-like replicated log, implemented as a deterministic state machine.
//!
//! [`Node`] is one replica. An adapter passes it [`Event`]s with the current time
//! and executes the returned [`Action`]s in order. The node performs no I/O, spawns
//! no tasks and reads no clock; its randomness comes from a seed.
//!
//! An adapter must:
//!
//! - call [`Node::step`] with [`Event::Tick`] at [`Node::deadline`];
//! - execute [`Action::Persist`], sync, and report [`Event::Persisted`], or
//!   [`Event::PersistFailed`] if the write or the sync failed. At most one write
//!   is in flight. The node holds back messages that depend on a write until the
//!   write is synced, so an adapter may send every [`Action::Send`] immediately;
//! - apply [`Action::Commit`] in order and complete each ticket when its action
//!   arrives. A ticket ends in exactly one [`Action::Committed`],
//!   [`Action::ReadReady`] or [`Action::Rejected`];
//! - provide a snapshot of the applied state with [`Event::Compact`] when
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
pub use action::ElectionStage;
pub use action::Fault;
pub use action::Rejection;
pub use action::StepDown;
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
