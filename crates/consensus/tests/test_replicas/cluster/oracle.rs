//! Safety invariants that are checked after every step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use consensus::Body;
use consensus::Entry;
use consensus::Index;
use consensus::Message;
use consensus::Node;
use consensus::Payload;
use consensus::Position;
use consensus::ReplicaId;
use consensus::Term;
use consensus::Ticket;
use consensus::Write;

use super::disk::Disk;

/// Size of a snapshot in bytes; several chunks.
const SNAPSHOT: usize = 100;

/// The history of the group so far.
#[derive(Default)]
pub struct Oracle {
    /// The leader of each term.
    leaders: BTreeMap<Term, ReplicaId>,
    /// The committed entries, from index 1.
    pub committed: Vec<Entry>,
    /// The term in which each committed entry was first applied.
    terms: Vec<Term>,
    /// The digest of the state at each index, from 0.
    digests: Vec<u64>,
    /// Every entry ever written, with the term of its predecessor.
    written: BTreeMap<Position, (Term, Entry)>,
    votes: BTreeMap<(ReplicaId, Term), ReplicaId>,
    data: BTreeMap<Ticket, Bytes>,
    min_read_indexes: BTreeMap<Ticket, Index>,
    answered: BTreeSet<Ticket>,
}

impl Oracle {
    /// Checks that a term has at most one leader, and that the leader has all entries
    /// committed before its term and has synced its own vote.
    ///
    /// A candidate may win an older term late, when a later term has already committed
    /// entries; it need not have those.
    pub fn check_elected(&mut self, node: &Node, disk: &Disk) {
        let status = node.status();
        let hard_state = disk.stored.hard_state;
        assert_eq!(
            (hard_state.term, hard_state.vote),
            (status.term, Some(status.id))
        );
        let first = *self.leaders.entry(status.term).or_insert(status.id);
        assert_eq!(first, status.id, "two leaders in term {}", status.term);
        for (entry, term) in self.committed.iter().zip(&self.terms) {
            let known = entry.index < status.first
                || *term > status.term
                || node.term_at(entry.index) == Some(entry.term);
            assert!(
                known,
                "leader {} lacks committed {}",
                status.id, entry.index
            );
        }
    }

    /// Checks that entries with equal positions have equal contents and predecessors.
    pub fn check_write(&mut self, write: &Write, before: impl Fn(Index) -> Option<Term>) {
        let base = write.snapshot.as_ref().map(|s| s.position);
        let mut previous = None;
        for entry in &write.entries {
            let index = entry.index.previous();
            let term = previous
                .or_else(|| base.filter(|p| p.index == index).map(|p| p.term))
                .or_else(|| before(index))
                .unwrap_or_default();
            let seen = (term, entry.clone());
            let first = self.written.entry(entry.position()).or_insert(seen.clone());
            assert_eq!(*first, seen, "logs differ at one position");
            previous = Some(entry.term);
        }
    }

    /// Checks that a replica votes once per term, also across restarts, and that votes and
    /// acknowledgements are synced before they are sent.
    pub fn check_sent(&mut self, message: &Message, disk: &Disk) {
        match message.body {
            Body::Vote { .. } => self.check_vote(message.from, message, disk),
            Body::VoteReply { granted: true } => self.check_vote(message.to, message, disk),
            Body::Accepted { matched } => {
                assert!(
                    disk.has_synced(matched),
                    "acknowledged {matched} before sync"
                );
            }
            _ => {}
        }
    }

    fn check_vote(&mut self, candidate: ReplicaId, message: &Message, disk: &Disk) {
        let vote = (message.from, message.term);
        let first = *self.votes.entry(vote).or_insert(candidate);
        assert_eq!(first, candidate, "voted twice: {vote:?}");
        let hard_state = disk.stored.hard_state;
        assert!(
            (hard_state.term, hard_state.vote) == (message.term, Some(candidate))
                || hard_state.term > message.term,
            "voted before sync: {message:?}"
        );
    }

    /// Checks that all replicas apply the same entries; `term` is that of the applying replica.
    pub fn check_applied(&mut self, entry: &Entry, term: Term) {
        let at = usize::try_from(entry.index.0 - 1).expect("small");
        if at == self.committed.len() {
            self.committed.push(entry.clone());
            self.terms.push(term);
        }
        let first = self.committed.get(at).expect("no gap in what is committed");
        assert_eq!(first, entry, "two entries committed at one index");
    }

    /// The state at `index` as a snapshot.
    pub fn snapshot(&mut self, index: Index) -> Bytes {
        let mut data = vec![0; SNAPSHOT];
        data[..8].copy_from_slice(&self.digest(index).to_le_bytes());
        data.into()
    }

    /// The digest of the committed entries up to `index`.
    fn digest(&mut self, index: Index) -> u64 {
        if self.digests.is_empty() {
            self.digests.push(0);
        }
        while self.digests.len() as u64 <= index.0 {
            let entry = &self.committed[self.digests.len() - 1];
            let last = self.digests[self.digests.len() - 1];
            self.digests.push(fold(last, entry));
        }
        self.digests[usize::try_from(index.0).expect("small")]
    }

    /// Records a proposal.
    pub fn record_proposal(&mut self, ticket: Ticket, data: Bytes) {
        self.data.insert(ticket, data);
    }

    /// Records the start of a read, which must see at least the entries committed now.
    pub fn record_read(&mut self, ticket: Ticket) {
        self.min_read_indexes
            .insert(ticket, Index(self.committed.len() as u64));
    }

    /// Checks a completed read of the state applied up to `applied`.
    pub fn check_read(&mut self, ticket: Ticket, index: Index, applied: Index) {
        let min_index = self.min_read_indexes[&ticket];
        assert!(index >= min_index, "stale read: {index} before {min_index}");
        assert!(applied >= index, "read before {index} is applied");
        self.check_answered_once(ticket);
    }

    /// Checks that a proposal reported as committed is committed.
    pub fn check_committed(&mut self, ticket: Ticket, index: Index) {
        self.check_answered_once(ticket);
        assert!(
            index.0 <= self.committed.len() as u64,
            "answered before commit"
        );
        if let Some(data) = self.data.get(&ticket) {
            let entry = &self.committed[usize::try_from(index.0 - 1).expect("small")];
            assert_eq!(entry.payload, Payload::Data(data.clone()));
        }
    }

    /// Checks that a ticket is answered only once.
    pub fn check_answered_once(&mut self, ticket: Ticket) {
        assert!(self.answered.insert(ticket), "{ticket:?} answered twice");
    }
}

fn fold(digest: u64, entry: &Entry) -> u64 {
    let byte = match &entry.payload {
        Payload::Noop => 1,
        Payload::Data(data) => data.iter().map(|b| u64::from(*b)).sum(),
        Payload::Config(config) => config.members().map(|m| m.id.0).sum(),
    };
    (digest ^ entry.index.0 ^ (byte << 20)).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
