//! Names of the metrics.

/// Announcements received, tag `result`.
pub const ANNOUNCE: &str = "directory.announce";
/// Route requests of callers, tag `result`.
pub const ROUTE: &str = "directory.route";
/// Polls of gateways.
pub const SYNC: &str = "directory.sync";
/// Exchanges with other directories, tags `kind` and `result`.
pub const EXCHANGE: &str = "directory.exchange";
/// Polls of control replicas, tag `result`.
pub const FOLLOW: &str = "directory.follow";
/// Leases that expired.
pub const EXPIRED: &str = "directory.expired";
/// Live instances.
pub const INSTANCES: &str = "directory.instances";
/// Live entry hosts.
pub const HOSTS: &str = "directory.hosts";
/// Current catalogue version.
pub const VERSION: &str = "directory.version";
/// Age of the latest confirmation in milliseconds.
pub const AGE: &str = "directory.confirmed_age";
