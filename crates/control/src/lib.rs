//! A control replica, which replicates the catalogue and the at-most-once ledger.
//!
//! The [`driver`] task owns the replicated log and the [`state_machine`]; the [`writer`]
//! thread owns the data folder. Messages to other replicas go through bounded queues
//! ([`peers`]). [`control`] serves directories, gateways and operators. [`founding`]
//! bootstraps a new group of the [`initial`] replicas, [`distributing`] sends it to all of them,
//! and [`joining`] adds replicas to an existing one. While there is no leader, [`survey`] finds out
//! whether the applied state is the newest that was acknowledged.

pub mod control;
pub mod convert;
pub mod currency;
pub mod distributing;
pub mod driver;
pub mod error;
pub mod founding;
pub mod group;
pub mod handle;
pub mod initial;
pub mod input;
pub mod joining;
pub mod leader_client;
pub mod link;
pub mod local_client;
pub mod partition;
pub mod peers;
pub mod replica;
pub mod server;
pub mod settings;
pub mod state_machine;
pub mod survey;
pub mod tickets;
pub mod writer;

pub use currency::Currency;
pub use error::ControlError;
pub use handle::Control;
pub use local_client::LocalClient;
pub use local_client::ReadError;
pub use server::Bound;
pub use server::bind;
pub use server::start;
pub use settings::Settings;
