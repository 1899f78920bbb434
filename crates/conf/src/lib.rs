//! Settings in INI, read into typed values with every fault reported at once.
//!
//! A [`Reader`] is asked for each key by type. It notes what is missing or has
//! the wrong form, and at the end also what nobody asked for. A daemon so
//! learns all faults of a file in one run.

pub mod fault;
pub mod reader;
pub mod value;

pub use fault::ConfError;
pub use fault::Fault;
pub use fault::Problem;
pub use reader::Reader;
pub use value::Value;
