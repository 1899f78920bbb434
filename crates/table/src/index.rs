//! Selection of the route for a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::Route;
use crate::model::Table;

/// An index of the routes by host and path.
///
/// Invariant: the routes of a host are sorted by the length of the prefix, longest first.
#[derive(Clone, Debug, Default)]
pub struct Index {
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Index {
    /// Builds the index of `table`.
    #[must_use]
    pub fn new(table: &Table) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for host in &table.hosts {
            let routes = hosts.entry(Arc::clone(&host.name)).or_default();
            routes.extend(host.routes.iter().cloned().map(Arc::new));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { hosts }
    }

    /// The route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn select(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// The names of all hosts that have routes.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        self.hosts.keys()
    }
}
