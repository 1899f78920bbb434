//! First replies to changes, stored for resends and evicted beyond limits.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use prost::Message;
use wire::catalogue::Accepted;
use wire::catalogue::Change;
use wire::catalogue::ChangeReply;
use wire::catalogue::Edit;
use wire::catalogue::History;
use wire::catalogue::HistoryItem;
use wire::catalogue::Kept;
use wire::catalogue::Reused;
use wire::catalogue::change_reply::Kind;

use crate::change;

/// Limits on the stored changes; all replicas must use the same, because they affect replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Maximum number of accepted changes.
    pub max_accepted: usize,
    /// Maximum number of refused changes.
    pub max_refused: usize,
    /// Maximum total size of the edits of accepted changes, in bytes; the oldest are dropped first.
    pub max_edit_bytes: usize,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        Self {
            max_accepted: 8_192,
            max_refused: 1_024,
            max_edit_bytes: 4 * 1024 * 1024,
        }
    }
}

/// Maximum number of items of one reply.
pub const MAX_ITEMS: usize = 256;
/// Maximum total size of the items of one reply in bytes, so that it fits into a frame.
pub const MAX_ITEM_BYTES: usize = 1024 * 1024;

/// Accepted and refused changes with their first replies.
///
/// Invariant: `accepted` has no gap in versions, and `replies` has exactly
/// the ids of `accepted` and `refused`.
#[derive(Clone, Debug)]
pub(crate) struct ReplyCache {
    limits: RetentionLimits,
    pub(crate) accepted: VecDeque<Kept>,
    pub(crate) refused: VecDeque<Kept>,
    replies: BTreeMap<String, CachedReply>,
    edit_bytes: usize,
    /// Number of items at the front of `accepted` whose edits were dropped.
    trimmed_items: usize,
}

/// The first reply to a change.
#[derive(Clone, Debug)]
struct CachedReply {
    digest: u64,
    version: u64,
    reply: ChangeReply,
}

impl ReplyCache {
    pub(crate) fn new(limits: RetentionLimits) -> Self {
        Self {
            limits,
            accepted: VecDeque::new(),
            refused: VecDeque::new(),
            replies: BTreeMap::new(),
            edit_bytes: 0,
            trimmed_items: 0,
        }
    }

    /// Returns the reply to a change whose id is stored: the first reply, or `Reused` if the
    /// stored change had other content.
    pub(crate) fn get(&self, change: &Change) -> Option<ChangeReply> {
        let cached = self.replies.get(&change.id)?;
        if cached.digest == change::digest(change) {
            return Some(cached.reply.clone());
        }
        let version = cached.version;
        Some(change_reply(Kind::Reused(Reused { version })))
    }

    /// Returns the accepted change that produced `version`.
    pub(crate) fn accepted_at(&self, version: u64) -> Option<&Kept> {
        let oldest = self.accepted.front()?.version;
        let index = version.checked_sub(oldest)?;
        self.accepted.get(usize::try_from(index).ok()?)
    }

    pub(crate) fn accept(&mut self, record: Kept) -> ChangeReply {
        let version = record.version;
        let reply = change_reply(Kind::Accepted(Accepted { version }));
        self.insert_reply(&record, &reply);
        self.edit_bytes += edit_bytes(&record.edits);
        self.accepted.push_back(record);
        if self.accepted.len() > self.limits.max_accepted {
            self.evict_oldest();
        }
        self.trim_edits();
        reply
    }

    pub(crate) fn refuse(&mut self, record: Kept) -> ChangeReply {
        let reply = record.reply.clone().unwrap_or_default();
        self.insert_reply(&record, &reply);
        self.refused.push_back(record);
        if self.refused.len() > self.limits.max_refused
            && let Some(oldest) = self.refused.pop_front()
        {
            self.replies.remove(&oldest.id);
        }
        reply
    }

    pub(crate) fn page(&self, from: u64, max_items: usize) -> History {
        let mut history = History::default();
        let mut bytes = 0;
        for record in self.accepted.iter().filter(|record| record.version >= from) {
            let item = item(record);
            bytes += item.encoded_len();
            let full = history.items.len() >= max_items.min(MAX_ITEMS) || bytes > MAX_ITEM_BYTES;
            if full && !history.items.is_empty() {
                break;
            }
            history.items.push(item);
        }
        history
    }

    fn insert_reply(&mut self, record: &Kept, reply: &ChangeReply) {
        let cached = CachedReply {
            digest: record.digest,
            version: record.version,
            reply: reply.clone(),
        };
        self.replies.insert(record.id.clone(), cached);
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.accepted.pop_front() else {
            return;
        };
        self.replies.remove(&oldest.id);
        self.edit_bytes -= edit_bytes(&oldest.edits);
        self.trimmed_items = self.trimmed_items.saturating_sub(1);
    }

    fn trim_edits(&mut self) {
        while self.edit_bytes > self.limits.max_edit_bytes {
            let Some(record) = self.accepted.get_mut(self.trimmed_items) else {
                return;
            };
            self.edit_bytes -= edit_bytes(&record.edits);
            record.edits = Vec::new();
            self.trimmed_items += 1;
        }
    }
}

pub(crate) fn change_reply(kind: Kind) -> ChangeReply {
    ChangeReply { kind: Some(kind) }
}

fn item(record: &Kept) -> HistoryItem {
    HistoryItem {
        version: record.version,
        id: record.id.clone(),
        author: record.author.clone(),
        edits: record.edits.clone(),
    }
}

fn edit_bytes(edits: &[Edit]) -> usize {
    edits.iter().map(Message::encoded_len).sum()
}
