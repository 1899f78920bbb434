//! The hub: a control replica with the interfaces for callers, upstreams and entry processes.
//!
//! The route table and the announced instances are stored in the replicated log of
//! [`control`]; a hub acknowledges that an instance drains or is gone only once the log has
//! it. All announcements reach the watchers of the hub at once ([`commands`], [`state`]).
//!
//! Entry processes watch all hubs ([`server`]); upstreams and callers use HTTP ([`http`]).
//! Callers are sent to the entry hosts that watch ([`entries`], [`list`]). After a restart, a
//! hub sends beacons to the entry hosts that watched before ([`beacon`]).

pub mod beacon;
pub mod commands;
pub mod confirm;
pub mod entries;
pub mod http;
pub mod hub;
pub mod limits;
pub mod list;
mod registrar;
pub mod server;
pub mod settings;
pub mod state;
pub mod suspects;
pub mod tasks;

pub use commands::CommandError;
pub use commands::CommandHandler;
pub use commands::TableUpdate;
pub use hub::Hub;
pub use hub::HubError;
pub use settings::Settings;
