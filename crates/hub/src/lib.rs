//! The hub: a control replica together with what callers, upstreams and entry
//! processes ask it for.
//!
//! The route table lives in the replicated log of [`control`], and so do the
//! announced upstreams: a hub acknowledges that an instance leaves only when the
//! log has it. Besides, each hub tells at once what it has just heard ([`desk`],
//! [`state`]). Entry processes watch all hubs ([`server`]), upstreams and callers ask over HTTP ([`http`]); which entry hosts
//! callers may use follows from who watches ([`entries`], [`list`]). After a restart it makes
//! itself known to those that watched before ([`beacon`]).

pub mod beacon;
pub mod commands;
pub mod entries;
pub mod http;
pub mod hub;
pub mod list;
pub mod peers;
pub mod server;
pub mod settings;
pub mod state;
pub mod suspects;

pub use commands::CommandError;
pub use commands::CommandHandler;
pub use commands::TableUpdate;
pub use hub::Hub;
pub use hub::HubError;
pub use settings::Settings;
