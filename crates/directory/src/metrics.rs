//! Names of the metrics.

/// Announcements taken, tag `result`.
pub const ANNOUNCE: &str = "directory.announce";
/// Questions of callers, tag `result`.
pub const ROUTE: &str = "directory.route";
/// Polls of gateways answered.
pub const SYNC: &str = "directory.sync";
/// Exchanges with other directories, tags `kind` and `result`.
pub const EXCHANGE: &str = "directory.exchange";
/// Answers of control replicas, tag `result`.
pub const FOLLOW: &str = "directory.follow";
/// Leases that ran out.
pub const EXPIRED: &str = "directory.expired";
/// Living instances.
pub const INSTANCES: &str = "directory.instances";
/// Living entry hosts.
pub const HOSTS: &str = "directory.hosts";
/// Catalogue version held.
pub const VERSION: &str = "directory.version";
/// Age of the confirmation in milliseconds.
pub const AGE: &str = "directory.confirmed_age";
