//! The hub: a control replica together with what callers, upstreams and entry
//! processes ask it for.
//!
//! The route table lives in the replicated log of [`control`]. Announced
//! upstreams live in the memory of every hub ([`registry`]): hubs watch each
//! other ([`peers`]), entry processes watch all hubs ([`server`]), and a hub
//! acknowledges that an instance leaves only after a majority of the hubs knows
//! it ([`desk`]). Which entry hosts callers may use follows from who watches
//! ([`entries`]).

pub mod desk;
pub mod entries;
pub mod hub;
pub mod peers;
pub mod registry;
pub mod server;
pub mod settings;
pub mod state;

pub use desk::Desk;
pub use desk::DeskError;
pub use desk::Put;
pub use hub::Hub;
pub use hub::HubError;
pub use registry::Registry;
pub use settings::Settings;
