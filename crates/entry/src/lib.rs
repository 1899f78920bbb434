//! The entry process, which forwards callers' requests to upstreams according to the route
//! table.
//!
//! A request passes through [`serve`], [`flow`] and, for each attempt, [`exchange`] over a
//! connection from [`pool`]. The service's balancer selects the instance, by means of the crate
//! `route`. Hubs provide the route table and the instances through [`sync`] and [`view`].
//!
//! The process speaks plain HTTP/1.1 and uses hyper directly: it must notice when a caller
//! disconnects, know which bytes of a request have been sent, and know whether a response was
//! complete.

pub mod balancer;
pub mod body;
pub mod core;
pub mod correlation;
pub mod counters;
pub mod crash;
pub mod dialect;
pub mod entry;
pub mod exchange;
pub mod flow;
pub mod headers;
pub mod path;
pub mod place_client;
pub mod placement;
pub mod pool;
pub mod probe;
pub mod processes;
pub mod quota;
pub mod refusal;
pub mod relay;
pub mod remaining;
pub mod route_stats;
pub mod search;
pub mod send;
pub mod serve;
pub mod settings;
pub mod stream_tracker;
pub mod sync;
pub mod view;

pub use dialect::Dialect;
pub use entry::Entry;
pub use entry::EntryError;
pub use settings::Settings;
