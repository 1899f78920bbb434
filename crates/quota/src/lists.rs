//! The recent lists of a failure domain's processes.
//!
//! From them a process knows since when it has been the holder of a workspace, also of one that
//! it was never asked for, and how many of the processes have vanished.

use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

/// How long a vanished process counts. It may be partitioned and continue to serve.
const MEMORY: Duration = Duration::from_secs(10);
/// The same while hubs of the group are silent: vanished processes may then be on their side of a
/// partition, where they accrue by a list of their own.
const MEMORY_WITHOUT_HUB: Duration = Duration::from_mins(1);
/// Maximum number of lists kept; a rolling restart changes the list several times a second.
const MAX_LISTS: usize = 256;

#[derive(Clone, Debug)]
struct List {
    number: u64,
    since: Moment,
    members: Vec<String>,
}

/// The recent lists of the processes of one failure domain.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    lists: VecDeque<List>,
    is_hub_missing: bool,
}

impl Lists {
    /// Puts a list into effect.
    pub fn set(&mut self, now: Moment, mut members: Vec<String>) {
        members.sort();
        let newest = self.lists.back();
        if newest.is_some_and(|list| list.members == members) {
            return;
        }
        let number = newest.map_or(1, |list| list.number + 1);
        self.lists.push_back(List {
            number,
            since: now,
            members,
        });
        self.trim(now);
    }

    fn trim(&mut self, now: Moment) {
        let is_old = |list: &List| now.since(list.since) >= MEMORY_WITHOUT_HUB;
        while self.lists.len() > MAX_LISTS || self.lists.get(1).is_some_and(is_old) {
            self.lists.pop_front();
        }
    }

    /// Records whether hubs of the group are silent.
    pub fn set_hub_missing(&mut self, is_missing: bool) {
        self.is_hub_missing = is_missing;
    }

    /// The number of the newest list; 0 if there is none.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.lists.back().map_or(0, |list| list.number)
    }

    /// The number of listed processes.
    #[must_use]
    pub fn present(&self) -> u64 {
        self.lists.back().map_or(0, |list| count(&list.members))
    }

    /// The most processes listed lately.
    #[must_use]
    pub fn most(&self, now: Moment) -> u64 {
        let memory = if self.is_hub_missing {
            MEMORY_WITHOUT_HUB
        } else {
            MEMORY
        };
        let recent = self.lists.iter().enumerate().filter(|(index, _)| {
            let next = self.lists.get(index + 1);
            next.is_none_or(|next| now.since(next.since) < memory)
        });
        let most = recent.map(|(_, list)| count(&list.members)).max();
        most.unwrap_or(0)
    }

    /// Since when `own` has been the holder of `workspace` without interruption; `None` if it
    /// isn't.
    #[must_use]
    pub fn held_since(&self, workspace: &WorkspaceName, own: &str) -> Option<Moment> {
        let lists = self.lists.iter().rev();
        let held = lists.take_while(|list| list.is_holder(workspace, own));
        held.last().map(|list| list.since)
    }

    /// Whether `own` is the holder by all lists newer than the list `number`.
    #[must_use]
    pub fn is_held_after(&self, number: u64, workspace: &WorkspaceName, own: &str) -> bool {
        let oldest = self.lists.front().map_or(0, |list| list.number);
        let newer = self.lists.iter().filter(|list| list.number > number);
        number + 1 >= oldest && newer.into_iter().all(|list| list.is_holder(workspace, own))
    }
}

impl List {
    fn is_holder(&self, workspace: &WorkspaceName, own: &str) -> bool {
        place::rank(workspace.as_str(), own, &self.members) == Some(0)
    }
}

fn count(members: &[String]) -> u64 {
    u64::try_from(members.len()).unwrap_or(u64::MAX)
}
