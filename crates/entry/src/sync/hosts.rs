//! The list of entry hosts, which hubs send as a full list first and then as changes.

use registry::PackError;
use wire::hub::EntryHost;
use wire::hub::WatchReply;

/// The current list of entry hosts.
#[derive(Debug, Default)]
pub struct HostList {
    list_id: u64,
    hosts: Vec<EntryHost>,
}

impl HostList {
    /// The id that hubs gave to the current list; 0 before the first list.
    #[must_use]
    pub fn list_id(&self) -> u64 {
        self.list_id
    }

    /// Applies the reply to a watch that named the list `base`. Returns all entry hosts if they
    /// changed. Changes to a list that is no longer the current one are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be unpacked.
    pub fn apply(
        &mut self,
        base: u64,
        reply: &WatchReply,
    ) -> Result<Option<Vec<EntryHost>>, PackError> {
        if reply.list == self.list_id || base != self.list_id {
            return Ok(None);
        }
        if reply.packed.is_empty() {
            self.hosts.retain(|host| !is_replaced(reply, host));
            self.hosts.extend(reply.hosts.iter().cloned());
        } else {
            self.hosts = registry::unpack_hosts(&reply.packed)?;
        }
        self.hosts.sort_by(|a, b| a.address.cmp(&b.address));
        self.list_id = reply.list;
        Ok(Some(self.hosts.clone()))
    }
}

/// Whether the reply removes the host or replaces its entry.
fn is_replaced(reply: &WatchReply, host: &EntryHost) -> bool {
    reply.lost.contains(&host.address) || reply.hosts.iter().any(|new| new.address == host.address)
}
