//! Demonstrations of the whole system in one process.
//!
//! The roles are the library crates that the binaries use, on free loopback addresses.
//! [`roles`] starts a system with gateways and [`routes`] one with route tables;
//! [`traffic`] calls the gateways as the two users do, and [`promise`] checks the
//! system's promises against the results.

pub mod events;
pub mod promise;
pub mod roles;
pub mod routes;
pub mod summary;
pub mod traffic;
pub mod watch;
