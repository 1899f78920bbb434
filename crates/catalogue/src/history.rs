//! First answers to changes, kept for resends, within bounds.

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

/// What is kept at most; equal on all replicas, as it decides replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Accepted changes, nearly six days of them at 1,400 a day.
    pub accepted: usize,
    /// Refused changes.
    pub refused: usize,
    /// Bytes of the edits of accepted changes; the oldest lose theirs first.
    pub edits: usize,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        Self {
            accepted: 8_192,
            refused: 1_024,
            edits: 4 * 1024 * 1024,
        }
    }
}

/// Most items of one answer.
pub const MAX_ITEMS: usize = 256;
/// Most bytes of the items of one answer, so that it fits a frame.
pub const MAX_ITEM_BYTES: usize = 1024 * 1024;

/// Accepted and refused changes by id.
///
/// Invariant: `accepted` has no gap in versions, and `ids` names exactly the
/// items of `accepted` and `refused`.
#[derive(Clone, Debug)]
pub(crate) struct Answers {
    window: RetentionLimits,
    pub(crate) accepted: VecDeque<Kept>,
    pub(crate) refused: VecDeque<Kept>,
    ids: BTreeMap<String, First>,
    edit_bytes: usize,
    /// Items at the front of `accepted` that lost their edits.
    trimmed: usize,
}

/// The first answer to an id.
#[derive(Clone, Debug)]
struct First {
    digest: u64,
    version: u64,
    reply: ChangeReply,
}

impl Answers {
    pub(crate) fn new(window: RetentionLimits) -> Self {
        Self {
            window,
            accepted: VecDeque::new(),
            refused: VecDeque::new(),
            ids: BTreeMap::new(),
            edit_bytes: 0,
            trimmed: 0,
        }
    }

    /// The answer to a change whose id is kept.
    pub(crate) fn first(&self, change: &Change) -> Option<ChangeReply> {
        let first = self.ids.get(&change.id)?;
        if first.digest == change::digest(change) {
            return Some(first.reply.clone());
        }
        let version = first.version;
        Some(reply(Kind::Reused(Reused { version })))
    }

    /// The accepted change that made `version`.
    pub(crate) fn at(&self, version: u64) -> Option<&Kept> {
        let oldest = self.accepted.front()?.version;
        let index = version.checked_sub(oldest)?;
        self.accepted.get(usize::try_from(index).ok()?)
    }

    pub(crate) fn accept(&mut self, kept: Kept) -> ChangeReply {
        let version = kept.version;
        let answer = reply(Kind::Accepted(Accepted { version }));
        self.index(&kept, &answer);
        self.edit_bytes += edit_bytes(&kept.edits);
        self.accepted.push_back(kept);
        if self.accepted.len() > self.window.accepted {
            self.forget_oldest();
        }
        self.trim();
        answer
    }

    pub(crate) fn refuse(&mut self, kept: Kept) -> ChangeReply {
        let answer = kept.reply.clone().unwrap_or_default();
        self.index(&kept, &answer);
        self.refused.push_back(kept);
        if self.refused.len() > self.window.refused
            && let Some(oldest) = self.refused.pop_front()
        {
            self.ids.remove(&oldest.id);
        }
        answer
    }

    pub(crate) fn page(&self, from: u64, most: usize) -> History {
        let mut history = History::default();
        let mut bytes = 0;
        for kept in self.accepted.iter().filter(|kept| kept.version >= from) {
            let item = item(kept);
            bytes += item.encoded_len();
            let full = history.items.len() >= most.min(MAX_ITEMS) || bytes > MAX_ITEM_BYTES;
            if full && !history.items.is_empty() {
                break;
            }
            history.items.push(item);
        }
        history
    }

    fn index(&mut self, kept: &Kept, reply: &ChangeReply) {
        let first = First {
            digest: kept.digest,
            version: kept.version,
            reply: reply.clone(),
        };
        self.ids.insert(kept.id.clone(), first);
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.accepted.pop_front() else {
            return;
        };
        self.ids.remove(&oldest.id);
        self.edit_bytes -= edit_bytes(&oldest.edits);
        self.trimmed = self.trimmed.saturating_sub(1);
    }

    fn trim(&mut self) {
        while self.edit_bytes > self.window.edits {
            let Some(kept) = self.accepted.get_mut(self.trimmed) else {
                return;
            };
            self.edit_bytes -= edit_bytes(&kept.edits);
            kept.edits = Vec::new();
            self.trimmed += 1;
        }
    }
}

/// The reply of one kind.
pub(crate) fn reply(kind: Kind) -> ChangeReply {
    ChangeReply { kind: Some(kind) }
}

fn item(kept: &Kept) -> HistoryItem {
    HistoryItem {
        version: kept.version,
        id: kept.id.clone(),
        author: kept.author.clone(),
        edits: kept.edits.clone(),
    }
}

fn edit_bytes(edits: &[Edit]) -> usize {
    edits.iter().map(Message::encoded_len).sum()
}
