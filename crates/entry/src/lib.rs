//! The entry process: takes callers' requests and passes them to upstreams by
//! the route table.
//!
//! A request goes through [`serve`], [`flow`] and, for each attempt,
//! [`exchange`] over a connection of [`pool`]. Which instance it goes to is
//! decided in [`desk`], by the crate `route`. What is known of table and
//! instances comes from the hubs through [`sync`] into one [`view`].
//!
//! It speaks plain HTTP/1.1 on the library that `salvo` and `reqwest` are built
//! on: it has to see when a caller leaves, which bytes of a request have left,
//! and whether an answer was whole.

pub mod body;
pub mod core;
pub mod counters;
pub mod crash;
pub mod desk;
pub mod dialect;
pub mod entry;
pub mod exchange;
pub mod flow;
pub mod habit;
pub mod headers;
pub mod placing;
pub mod pool;
pub mod probe;
pub mod processes;
pub mod refusal;
pub mod remaining;
pub mod search;
pub mod serve;
pub mod settings;
pub mod sync;
pub mod tail;
pub mod view;

pub use dialect::Dialect;
pub use entry::Entry;
pub use entry::EntryError;
pub use settings::Settings;
