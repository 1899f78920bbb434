//! Workspaces, and the lookup of the workspace that holds a key.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::key::KeyDigest;
use crate::model::Table;

/// How many requests a workspace may send, over all entry processes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per 1000 seconds.
    pub rate: u64,
    /// Requests beyond the rate that may come at once after a pause.
    pub burst: u64,
}

/// A group of callers that share API keys, a priority and a quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name, which instances are told.
    pub name: WorkspaceName,
    /// Digests of the API keys.
    pub keys: Vec<KeyDigest>,
    /// The priority, which goes before that of the route; 0 is the highest.
    pub priority: u32,
    /// The quota; `None` if unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

/// The workspaces of a table by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    workspaces: HashMap<KeyDigest, Arc<Workspace>>,
    names: HashMap<WorkspaceName, Arc<Workspace>>,
}

impl KeyIndex {
    /// Builds the index of `table`.
    #[must_use]
    pub fn new(table: &Table) -> Self {
        let mut index = Self::default();
        for workspace in &table.workspaces {
            let workspace = Arc::new(workspace.clone());
            let keys = workspace.keys.iter();
            index
                .workspaces
                .extend(keys.map(|key| (*key, Arc::clone(&workspace))));
            index.names.insert(workspace.name.clone(), workspace);
        }
        index
    }

    /// Whether the table has no workspaces, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The workspace that holds `key`.
    #[must_use]
    pub fn select(&self, key: impl AsRef<[u8]>) -> Option<&Arc<Workspace>> {
        self.holder(&KeyDigest::of(key))
    }

    /// The workspace that holds the key with this digest.
    #[must_use]
    pub fn holder(&self, presented: &KeyDigest) -> Option<&Arc<Workspace>> {
        let (held, workspace) = self.workspaces.get_key_value(presented)?;
        held.matches(presented).then_some(workspace)
    }

    /// The workspace with this name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.names.get(name)
    }
}
