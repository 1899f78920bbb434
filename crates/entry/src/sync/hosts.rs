//! The entry hosts as hubs tell them: whole once, then what changes.

use registry::PackError;
use wire::hub::EntryHost;
use wire::hub::WatchReply;

/// The list that is held, and its mark at the hubs.
#[derive(Debug, Default)]
pub struct HostList {
    mark: u64,
    hosts: Vec<EntryHost>,
}

impl HostList {
    /// The mark of the list that is held; 0 before the first.
    #[must_use]
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Takes the answer to a watch that named the list `held`; gives all entry hosts if
    /// they changed. Changes of another list than the one that is held by now are left out.
    ///
    /// # Errors
    ///
    /// Fails on a list that can't be unpacked.
    pub fn take(
        &mut self,
        held: u64,
        reply: &WatchReply,
    ) -> Result<Option<Vec<EntryHost>>, PackError> {
        if reply.list == self.mark || held != self.mark {
            return Ok(None);
        }
        if reply.packed.is_empty() {
            self.hosts.retain(|host| !is_replaced(reply, host));
            self.hosts.extend(reply.hosts.iter().cloned());
        } else {
            self.hosts = registry::unpack_hosts(&reply.packed)?;
        }
        self.hosts.sort_by(|a, b| a.address.cmp(&b.address));
        self.mark = reply.list;
        Ok(Some(self.hosts.clone()))
    }
}

/// Whether the answer takes the host off, or names it anew.
fn is_replaced(reply: &WatchReply, host: &EntryHost) -> bool {
    reply.lost.contains(&host.address) || reply.hosts.iter().any(|new| new.address == host.address)
}
