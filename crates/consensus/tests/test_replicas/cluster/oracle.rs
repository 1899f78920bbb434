//! What must hold after every step, whatever the schedule.

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

/// Length of a snapshot, so that it takes several parts.
const SNAPSHOT: usize = 100;

/// All that was seen so far.
#[derive(Default)]
pub struct Oracle {
    /// The leader of each term.
    leaders: BTreeMap<Term, ReplicaId>,
    /// The committed entries, from index 1.
    pub chosen: Vec<Entry>,
    /// The term in which each of them was first applied.
    terms: Vec<Term>,
    /// The digest of the state at each index, from 0.
    digests: Vec<u64>,
    /// Every entry that was ever written, with the term before it.
    written: BTreeMap<Position, (Term, Entry)>,
    votes: BTreeMap<(ReplicaId, Term), ReplicaId>,
    data: BTreeMap<Ticket, Bytes>,
    floors: BTreeMap<Ticket, Index>,
    answered: BTreeSet<Ticket>,
}

impl Oracle {
    /// At most one leader a term; it has all that was committed before, and its own vote is synced.
    ///
    /// The leader of a past term may learn of its election late, and lacks then
    /// what a later term has committed.
    pub fn leads(&mut self, node: &Node, disk: &Disk) {
        let status = node.status();
        let hard_state = disk.stored.hard_state;
        assert_eq!(
            (hard_state.term, hard_state.vote),
            (status.term, Some(status.id))
        );
        let first = *self.leaders.entry(status.term).or_insert(status.id);
        assert_eq!(first, status.id, "two leaders in term {}", status.term);
        for (entry, term) in self.chosen.iter().zip(&self.terms) {
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

    /// Equal position, equal content and equal entry before.
    pub fn writes(&mut self, write: &Write, before: impl Fn(Index) -> Option<Term>) {
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

    /// One vote a term over restarts; votes and acknowledgements are synced before they are sent.
    pub fn sends(&mut self, message: &Message, disk: &Disk) {
        match message.body {
            Body::Vote { .. } => self.votes_for(message.from, message, disk),
            Body::VoteReply { granted: true } => self.votes_for(message.to, message, disk),
            Body::Accepted { matched } => {
                assert!(disk.holds(matched), "acknowledged {matched} before sync");
            }
            _ => {}
        }
    }

    fn votes_for(&mut self, candidate: ReplicaId, message: &Message, disk: &Disk) {
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

    /// Applied entries are the same everywhere; `term` is that of the replica that applies.
    pub fn applies(&mut self, entry: &Entry, term: Term) {
        let at = usize::try_from(entry.index.0 - 1).expect("small");
        if at == self.chosen.len() {
            self.chosen.push(entry.clone());
            self.terms.push(term);
        }
        let first = self.chosen.get(at).expect("no gap in what is committed");
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
            let entry = &self.chosen[self.digests.len() - 1];
            let last = self.digests[self.digests.len() - 1];
            self.digests.push(fold(last, entry));
        }
        self.digests[usize::try_from(index.0).expect("small")]
    }

    /// A proposal was made.
    pub fn proposes(&mut self, ticket: Ticket, data: Bytes) {
        self.data.insert(ticket, data);
    }

    /// A read began: it may return nothing older than what is committed now.
    pub fn reads(&mut self, ticket: Ticket) {
        self.floors.insert(ticket, Index(self.chosen.len() as u64));
    }

    /// A read is answered by a state that has `applied`.
    pub fn reads_at(&mut self, ticket: Ticket, index: Index, applied: Index) {
        let floor = self.floors[&ticket];
        assert!(index >= floor, "stale read: {index} before {floor}");
        assert!(applied >= index, "read before {index} is applied");
        self.answers(ticket);
    }

    /// A proposal is answered as committed, so it is.
    pub fn commits(&mut self, ticket: Ticket, index: Index) {
        self.answers(ticket);
        assert!(
            index.0 <= self.chosen.len() as u64,
            "answered before commit"
        );
        if let Some(data) = self.data.get(&ticket) {
            let entry = &self.chosen[usize::try_from(index.0 - 1).expect("small")];
            assert_eq!(entry.payload, Payload::Data(data.clone()));
        }
    }

    /// A ticket is answered once.
    pub fn answers(&mut self, ticket: Ticket) {
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
