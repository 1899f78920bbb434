//! What a hub has reported about instances, and what to request from it next.
//!
//! The primary hub sends every change. The others send a log index and a digest, which show when
//! one of them has announcements that the primary doesn't deliver, because it is behind or cut
//! off. Only then are the instances that may differ requested. A hub acknowledges that an
//! instance is leaving once the log has it, so the process learns of it whichever hub
//! acknowledged it.
//!
//! A hub whose log index has already been applied needs no comparison, whatever its digest:
//! instances only move forward, so the local state is at least as new as the log up to that
//! index. Comparing digests alone would make hubs that receive many announcements at once differ
//! all the time, and overload them with comparisons.

use registry::Digest;
use wire::hub::News;
use wire::hub::WatchReply;

/// The role of a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Sends every change.
    Primary,
    /// Sends a digest.
    Secondary,
    /// Sends all instances to a process that knows none.
    FullList,
    /// Sends nothing while another hub sends all instances.
    Idle,
}

/// The part of a watch request that concerns instances.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchQuery {
    /// What the hub should send.
    pub news: News,
    /// The epoch of the hub's last reply.
    pub epoch: u64,
    /// The number of the last change that the hub sent.
    pub cursor: u64,
    /// The digest of the local instances, if the hub should send all that differ.
    pub buckets: Vec<u64>,
}

/// How far a hub's changes have been applied.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    epoch: u64,
    cursor: u64,
    /// Whether every change up to the cursor was received, rather than only digests.
    complete: bool,
    /// The hub's last digest.
    digest: Option<u64>,
    /// The log index up to which the hub has applied announcements.
    announced: u64,
}

impl Progress {
    /// The next query; `local` is the digest of the local instances, which include all
    /// announcements up to log index `applied_index`.
    #[must_use]
    pub fn next_query(&self, role: Role, local: &Digest, applied_index: u64) -> WatchQuery {
        let (news, include_buckets) = match role {
            Role::Idle => (News::None, false),
            Role::FullList => (News::Changes, false),
            Role::Primary => (News::Changes, !self.complete),
            Role::Secondary => (News::Digest, self.is_ahead(local, applied_index)),
        };
        // A process without instances requests all of them.
        let cursor = if role == Role::FullList && !self.complete {
            0
        } else {
            self.cursor
        };
        WatchQuery {
            news,
            epoch: self.epoch,
            cursor,
            buckets: if include_buckets {
                local.buckets().to_vec()
            } else {
                Vec::new()
            },
        }
    }

    /// Whether the hub may have announcements from the log that the process lacks.
    fn is_ahead(&self, local: &Digest, applied_index: u64) -> bool {
        self.announced > applied_index && self.digest.is_some_and(|digest| digest != local.total())
    }

    /// Applies a reply to a query for `news`. Returns the log index up to which all
    /// announcements are included in the replies so far, or 0 if that isn't known.
    pub fn apply(&mut self, news: News, reply: &WatchReply) -> u64 {
        let same = reply.epoch == self.epoch;
        let complete = match news {
            News::Changes | News::Unspecified => !reply.whole.is_empty() || (same && self.complete),
            News::Digest => false,
            // The reply contains no changes, so the cursor must not advance.
            News::None => return 0,
        };
        self.complete = complete;
        self.epoch = reply.epoch;
        self.cursor = reply.cursor;
        self.digest = Some(reply.digest);
        self.announced = reply.announced;
        if complete || !reply.whole.is_empty() {
            reply.announced
        } else {
            0
        }
    }
}
