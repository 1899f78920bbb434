//! The entry processes that send requests to the same instances.

use base::prelude::*;

/// An entry process that serves callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Process {
    /// The address at which callers connect to it.
    pub address: String,
    /// The address at which it answers placement requests; empty if it doesn't.
    pub place: String,
    /// Its failure domain.
    pub domain: String,
}

/// The current entry processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Processes {
    /// This process.
    pub own: Process,
    /// All processes that serve callers.
    pub all: Vec<Process>,
    /// Increases with each change.
    pub revision: u64,
}

impl Processes {
    /// The addresses of all processes that answer placement requests.
    #[must_use]
    pub fn places(&self) -> Vec<&str> {
        let places = self.all.iter().map(|process| process.place.as_str());
        places.filter(|place| !place.is_empty()).collect()
    }

    /// The addresses of the processes in a failure domain, or of all if it has none. Those in an
    /// instance's own domain have the most requests for it, and agree with each other while
    /// domains are partitioned.
    #[must_use]
    pub fn near(&self, domain: &DomainName) -> Vec<&str> {
        let is_near = |process: &&Process| process.domain == domain.as_str();
        let mut processes: Vec<&Process> = self.all.iter().filter(is_near).collect();
        if processes.is_empty() {
            processes.extend(&self.all);
        }
        let addresses = processes
            .into_iter()
            .map(|process| process.address.as_str());
        addresses.collect()
    }
}
