//! A control replica: the catalogue and the at-most-once ledger, replicated.
//!
//! One task owns the replicated log and the applied state ([`driver`]), one
//! thread the data folder ([`writer`]). Other replicas are reached through
//! bounded queues ([`peers`]); directories, gateways and operators through
//! [`control`]. How a group comes to be on its very first start stands in
//! [`founding`].

pub mod control;
pub mod convert;
pub mod driver;
pub mod error;
pub mod founding;
pub mod group;
pub mod handle;
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
pub mod tickets;
pub mod writer;

pub use error::ControlError;
pub use handle::Control;
pub use local_client::LocalClient;
pub use server::Bound;
pub use server::bind;
pub use server::start;
pub use settings::Settings;
