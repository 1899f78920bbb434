//! The internal protocol: typed messages, `tarpc` services, and TCP clients and
//! listeners with limits on frames, connections and time.
//!
//! The messages are generated from `proto/` by the crate `gen`.

pub mod accept;
pub mod api;
pub mod link;
pub mod peer;

/// Messages of the service catalogue.
#[allow(missing_docs, clippy::pedantic)]
pub mod catalogue {
    include!("generated/rwr.catalogue.rs");
}

/// Messages of the at-most-once ledger.
#[allow(missing_docs, clippy::pedantic)]
pub mod ledger {
    include!("generated/rwr.ledger.rs");
}

/// Messages of the control replicas to other processes.
#[allow(missing_docs, clippy::pedantic)]
pub mod control {
    include!("generated/rwr.control.rs");
}

/// Messages of directories.
#[allow(missing_docs, clippy::pedantic)]
pub mod directory {
    include!("generated/rwr.directory.rs");
}

/// Messages of gateways.
#[allow(missing_docs, clippy::pedantic)]
pub mod gateway {
    include!("generated/rwr.gateway.rs");
}

/// Messages of hubs.
#[allow(missing_docs, clippy::pedantic)]
pub mod hub {
    include!("generated/rwr.hub.rs");
}

/// Messages between entry processes.
#[allow(missing_docs, clippy::pedantic)]
pub mod place {
    include!("generated/rwr.place.rs");
}

/// Messages between entry processes about the quotas of workspaces.
#[allow(missing_docs, clippy::pedantic)]
pub mod quota {
    include!("generated/rwr.quota.rs");
}

/// Records in a replica's data folder.
#[allow(missing_docs, clippy::pedantic)]
pub mod store {
    include!("generated/rwr.store.rs");
}

/// Messages between control replicas.
#[allow(missing_docs, clippy::pedantic)]
pub mod replica {
    include!("generated/rwr.replica.rs");
}
