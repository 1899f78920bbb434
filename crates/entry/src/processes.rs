//! The entry processes that send requests to the same instances.

/// The current entry processes, by the addresses at which they answer placement requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Processes {
    /// The address of this process; empty if it doesn't answer placement requests.
    pub own: String,
    /// The addresses of all processes that serve callers.
    pub all: Vec<String>,
    /// Increases with each change.
    pub revision: u64,
}
