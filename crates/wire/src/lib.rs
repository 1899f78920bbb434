//! What the system's own processes say to each other: typed messages,
//! `tarpc` services, and TCP links and ports with bounds and deadlines.
//!
//! The messages are generated from `proto/` by the crate `gen`.

pub mod accept;
pub mod api;
pub mod link;
pub mod peer;

/// Catalogue messages.
#[allow(missing_docs, clippy::pedantic)]
pub mod catalogue {
    include!("generated/rwr.catalogue.rs");
}

/// Ledger messages.
#[allow(missing_docs, clippy::pedantic)]
pub mod ledger {
    include!("generated/rwr.ledger.rs");
}

/// Control messages.
#[allow(missing_docs, clippy::pedantic)]
pub mod control {
    include!("generated/rwr.control.rs");
}

/// Directory messages.
#[allow(missing_docs, clippy::pedantic)]
pub mod directory {
    include!("generated/rwr.directory.rs");
}

/// Gateway messages.
#[allow(missing_docs, clippy::pedantic)]
pub mod gateway {
    include!("generated/rwr.gateway.rs");
}

/// Hub messages.
#[allow(missing_docs, clippy::pedantic)]
pub mod hub {
    include!("generated/rwr.hub.rs");
}

/// Messages between entry processes.
#[allow(missing_docs, clippy::pedantic)]
pub mod place {
    include!("generated/rwr.place.rs");
}

/// Records of a replica's data folder.
#[allow(missing_docs, clippy::pedantic)]
pub mod store {
    include!("generated/rwr.store.rs");
}

/// Messages between control replicas.
#[allow(missing_docs, clippy::pedantic)]
pub mod replica {
    include!("generated/rwr.replica.rs");
}
