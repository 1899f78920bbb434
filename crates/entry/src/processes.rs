//! The entry processes that send to the same instances.

/// All of them, by where each answers questions for instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Processes {
    /// This one; empty where it answers none.
    pub own: String,
    /// Every one that callers may be sent to.
    pub all: Vec<String>,
    /// Rises with each change.
    pub revision: u64,
}
