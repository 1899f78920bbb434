//! Reads INI settings files into typed values and reports all faults at once.
//!
//! A caller requests each key from a [`Reader`] by type. The reader collects missing and
//! malformed values, and finally the sections and keys that were never requested, so that
//! one run of a daemon reports all faults of its settings file.

pub mod fault;
pub mod reader;
pub mod value;

pub use fault::ConfError;
pub use fault::Fault;
pub use fault::Problem;
pub use reader::Reader;
pub use value::Value;
