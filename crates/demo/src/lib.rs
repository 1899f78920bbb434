//! Trials of the whole system in one process, for people who look at it first.
//!
//! The roles are the same library crates as under the binaries, on free
//! loopback addresses. [`roles`] starts them, [`routes`] those of route tables, [`traffic`] calls them as the two
//! users do, [`promise`] judges what was kept.

pub mod events;
pub mod promise;
pub mod roles;
pub mod routes;
pub mod summary;
pub mod traffic;
pub mod watch;
