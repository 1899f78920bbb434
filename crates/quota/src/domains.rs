//! The processes of each failure domain, and the holder of a workspace among them.

use std::collections::BTreeMap;

use base::prelude::*;

/// An entry process that may be a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The address at which other processes ask it.
    pub address: String,
    /// Its failure domain.
    pub domain: String,
}

/// The processes of each failure domain with a share of the quotas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Domains {
    /// The configured failure domains; if there are none, all processes are one group.
    configured: Vec<String>,
    members: BTreeMap<String, Vec<String>>,
}

impl Domains {
    /// Divides the processes among the `configured` failure domains.
    #[must_use]
    pub fn new(configured: &[DomainName], processes: impl IntoIterator<Item = Member>) -> Self {
        let mut domains = Self {
            configured: configured.iter().map(ToString::to_string).collect(),
            members: BTreeMap::new(),
        };
        for process in processes {
            if let Some(group) = domains.group(&process.domain).map(ToOwned::to_owned)
                && !process.address.is_empty()
            {
                domains
                    .members
                    .entry(group)
                    .or_default()
                    .push(process.address);
            }
        }
        domains
    }

    /// The number of shares into which rate and burst are divided.
    #[must_use]
    pub fn count(&self) -> u64 {
        u64::try_from(self.configured.len())
            .unwrap_or(u64::MAX)
            .max(1)
    }

    /// The group to which a failure domain belongs; `None` if it has no share.
    fn group(&self, domain: &str) -> Option<&str> {
        if self.configured.is_empty() {
            return Some("");
        }
        let mut configured = self.configured.iter();
        configured.find(|name| *name == domain).map(String::as_str)
    }

    /// The processes of the group of `domain`.
    #[must_use]
    pub fn members(&self, domain: &str) -> &[String] {
        let group = self.group(domain);
        group
            .and_then(|group| self.members.get(group))
            .map_or(&[], Vec::as_slice)
    }

    /// The holders of a workspace: that of the group of `domain` first, if there is one.
    #[must_use]
    pub fn holders(&self, workspace: &WorkspaceName, domain: &str) -> Vec<&str> {
        let own = self.group(domain);
        let (near, far): (Vec<_>, Vec<_>) = self
            .members
            .iter()
            .partition(|(group, _)| Some(group.as_str()) == own);
        let groups = near.into_iter().chain(far);
        groups
            .filter_map(|(_, members)| first(workspace, members))
            .collect()
    }
}

/// The first of `members` by rendezvous hashing, as by [`place::rank`].
fn first<'a>(workspace: &WorkspaceName, members: &'a [String]) -> Option<&'a str> {
    let members = members.iter().map(String::as_str);
    members.max_by_key(|member| (place::score(workspace.as_str(), member), *member))
}
