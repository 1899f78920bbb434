//! The initial replicas, which found the group together.

use tokio::sync::watch;

/// Sorted addresses of the initial replicas, as this replica and others know them.
#[derive(Debug, Default)]
pub struct InitialReplicas {
    /// Empty for a replica that joins a group.
    known: watch::Sender<Vec<String>>,
    /// Those that the last replica to ask has named.
    named: watch::Sender<Vec<String>>,
}

impl InitialReplicas {
    /// Creates it for a replica that knows these, or none.
    #[must_use]
    pub fn new(known: Vec<String>) -> Self {
        Self {
            known: watch::Sender::new(known),
            named: watch::Sender::default(),
        }
    }

    /// The initial replicas that this replica founds a group with; empty if it joins one.
    #[must_use]
    pub fn known(&self) -> Vec<String> {
        self.known.borrow().clone()
    }

    /// Replaces them.
    pub fn set_known(&self, initial: Vec<String>) {
        self.known.send_replace(initial);
    }

    /// Records those that another replica has named in its question.
    pub fn record_named(&self, initial: Vec<String>) {
        if !initial.is_empty() {
            self.named.send_replace(initial);
        }
    }

    /// Those that other replicas name from now on.
    #[must_use]
    pub fn watch_named(&self) -> watch::Receiver<Vec<String>> {
        self.named.subscribe()
    }
}
