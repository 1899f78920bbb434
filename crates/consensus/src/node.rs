//! The state machine of one replica.

mod campaign;
mod change;
mod election;
mod follow;
mod lead;
mod read;
mod replicate;
mod transfer;

use std::collections::BTreeSet;
use std::mem;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;

use crate::action::Action;
use crate::action::Fault;
use crate::action::Rejection;
use crate::action::StepDown;
use crate::action::WriteNumber;
use crate::config::Config;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::ReplicaId;
use crate::entry::Term;
use crate::event::Event;
use crate::event::Ticket;
use crate::leader::Leader;
use crate::log::Log;
use crate::message::Body;
use crate::message::Message;
use crate::persistence::Persistence;
use crate::settings::Settings;
use crate::stored::HardState;
use crate::stored::Stored;

use self::campaign::Deferral;
use self::follow::IncomingSnapshot;
use self::read::LocalReads;

/// Minimum delay before a replica without a leader retries a pre-vote, as a fraction of
/// the election timeout; the maximum is three times this.
const MIN_RETRY_FACTOR: f64 = 0.25;

/// Minimum delay before a restarted replica starts a pre-vote, as a fraction of the
/// election timeout; the maximum is twice this, so that replicas restarted together
/// rarely collide.
const MIN_RESTART_FACTOR: f64 = 0.02;

/// Minimum duration of a campaign beyond the voters' syncs, as a fraction of the election
/// timeout; the maximum is twice this.
const MIN_CAMPAIGN_FACTOR: f64 = 0.5;

/// Syncs of the voters that a campaign waits for: the write in flight, and the one of the vote.
const VOTER_SYNCS: u32 = 2;

/// How often the duration of a campaign doubles at most. From 0.2 s in a hub it then lasts longer than
/// two writes of the longest write timeout.
const MAX_DOUBLINGS: u32 = 7;

/// The role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Replicates the log from a leader.
    Follower,
    /// Runs a pre-vote.
    PreCandidate,
    /// Campaigns for votes.
    Candidate,
    /// Appends entries and replicates them.
    Leader,
}

/// A replica's view of itself and its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The replica's id.
    pub id: ReplicaId,
    /// The current role.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The known leader, if any.
    pub leader: Option<ReplicaId>,
    /// The index of the last entry known to be committed.
    pub commit: Index,
    /// The index of the last entry passed to the adapter.
    pub applied: Index,
    /// The index of the first entry in memory.
    pub first: Index,
    /// The index of the last entry, synced or not.
    pub last: Index,
    /// Approximate memory used by the entries, in bytes.
    pub log_bytes: usize,
    /// The index of the last snapshot.
    pub snapshot: Index,
    /// The current configuration: the last one in the log, committed or not.
    pub config: Config,
    /// Whether the node has stopped permanently.
    pub stopped: bool,
}

#[derive(Debug)]
enum State {
    Follower {
        leader: Option<ReplicaId>,
    },
    PreCandidate {
        votes: BTreeSet<ReplicaId>,
    },
    Candidate {
        votes: BTreeSet<ReplicaId>,
        /// Whether a voter has refused its vote, so that the campaign may be in vain.
        is_refused: bool,
    },
    Leader(Box<Leader>),
}

/// Attempts to lead that have failed since a leader was known.
#[derive(Debug, Default)]
struct FailedElections {
    pre_votes: u32,
    campaigns: u32,
}

/// One replica, which turns events into actions.
#[derive(Debug)]
pub struct Node {
    id: ReplicaId,
    settings: Settings,
    rng: StdRng,
    hard_state: HardState,
    state: State,
    log: Log,
    persistence: Persistence,
    commit: Index,
    applied: Index,
    /// When a replica that is not the leader starts its next pre-vote.
    election_deadline: Moment,
    /// When the last message from a leader arrived.
    last_leader_contact: Option<Moment>,
    failed_elections: FailedElections,
    /// The candidate that this replica defers to.
    deferral: Option<Deferral>,
    /// When this replica, as a candidate, reminds the voters that it campaigns.
    next_notice: Moment,
    /// The term and leader last reported to the adapter.
    reported_leader: (Term, Option<ReplicaId>),
    /// Whether the commit index must be recomputed.
    commit_outdated: bool,
    local_reads: LocalReads,
    incoming_snapshot: Option<IncomingSnapshot>,
    stopped: bool,
    now: Moment,
    actions: Vec<Action>,
}

impl Node {
    /// Creates a replica from its stored state, with entries applied up to the snapshot.
    ///
    /// The seed must differ at each start, also between starts of the same replica.
    #[must_use]
    pub fn new(settings: Settings, stored: Stored, seed: u64, now: Moment) -> Self {
        let (log, superseded_from) = Log::open(stored.snapshot, stored.entries);
        let mut persistence = Persistence::new(log.last().index, settings.first_write);
        if let Some(index) = superseded_from {
            persistence.truncate_stored(index);
        }
        let base = log.snapshot().position.index;
        // Committed entries can be applied before there is a leader.
        let commit = stored.commit.min(log.last().index).max(base);
        let mut node = Self {
            id: stored.id,
            settings,
            rng: StdRng::seed_from_u64(seed),
            hard_state: stored.hard_state,
            state: State::Follower { leader: None },
            log,
            persistence,
            commit,
            applied: base,
            election_deadline: now,
            last_leader_contact: None,
            failed_elections: FailedElections::default(),
            deferral: None,
            next_notice: now,
            reported_leader: (Term::default(), None),
            commit_outdated: false,
            local_reads: LocalReads::default(),
            incoming_snapshot: None,
            stopped: false,
            now,
            actions: Vec::new(),
        };
        node.adopt_log_term();
        if node.hard_state.term == Term::default() {
            node.reset_election_deadline();
        } else {
            node.reset_restart_deadline();
        }
        node
    }

    /// Adopts the term of the last entry, which may be newer than the stored hard state
    /// after a crash during a write.
    fn adopt_log_term(&mut self) {
        let term = self.log.last().term;
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.persistence.mark_hard_state_changed();
        }
    }

    /// Processes one event and appends the resulting actions to `actions`, in order.
    ///
    /// If `now` precedes the time of the last step, the latter is used.
    pub fn step(&mut self, now: Moment, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        mem::swap(&mut self.actions, actions);
        if self.stopped {
            self.reject_stopped(&event);
        } else {
            self.process(event);
        }
        mem::swap(&mut self.actions, actions);
    }

    /// Processes a leader's timers first, so that a leader resumed after a pause steps down
    /// before it handles the event.
    fn process(&mut self, event: Event) {
        self.tick_leader();
        self.handle(event);
        self.tick_election();
        self.tick_candidate();
        self.advance_commit();
        self.maintain();
        self.flush_writes();
        self.replicate();
        self.advance_reads();
        self.report_leader();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Message(message) => self.receive(message),
            Event::Propose { ticket, data } => self.propose(ticket, data),
            Event::Read { ticket } => self.read(ticket),
            Event::Change { ticket, change } => self.change(ticket, change),
            Event::Transfer => self.start_transfer(),
            Event::Persisted { number } => self.handle_persisted(number),
            Event::PersistFailed => self.stop(Fault::PersistFailed),
            Event::Compact { index, data } => self.compact(index, data),
        }
    }

    /// Returns when the adapter must send the next [`Event::Tick`].
    #[must_use]
    pub fn deadline(&self) -> Moment {
        let timer = match &self.state {
            State::Leader(leader) => leader.next_heartbeat,
            State::Candidate { .. } => self.election_deadline.min(self.next_notice),
            _ => self.election_deadline,
        };
        self.local_reads
            .deadline(&self.settings)
            .map_or(timer, |read| read.min(timer))
    }

    /// Returns the replica's view of itself and its group.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            id: self.id,
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader_id(),
            commit: self.commit,
            applied: self.applied,
            first: self.log.first(),
            last: self.log.last().index,
            log_bytes: self.log.bytes(),
            snapshot: self.log.snapshot().position.index,
            config: self.log.config().clone(),
            stopped: self.stopped,
        }
    }

    /// Returns how many entries a follower lacks, or `None` if this replica is not the leader
    /// or the follower is unknown.
    #[must_use]
    pub fn replication_lag(&self, id: ReplicaId) -> Option<u64> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let peer = leader.peers.get(&id)?;
        Some(self.log.last().index.distance_from(peer.matched))
    }

    /// Returns the entries that are in the log and not applied yet.
    #[must_use]
    pub fn unapplied(&self) -> Vec<Entry> {
        let last = self.log.last().index;
        self.log.slice(self.applied.next(), last, usize::MAX)
    }

    /// Returns the index of the newest entry for which `is_match` holds, synced or not, or at least
    /// the index before the first entry in memory, as earlier ones may match.
    #[must_use]
    pub fn newest_match(&self, is_match: impl Fn(&Entry) -> bool) -> Index {
        let mut index = self.log.last().index;
        while index >= self.log.first()
            && let Some(entry) = self.log.get(index)
        {
            if is_match(entry) {
                return index;
            }
            index = index.previous();
        }
        index
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the term of an entry in memory, synced or not.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// Returns the current role.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower { .. } => Role::Follower,
            State::PreCandidate { .. } => Role::PreCandidate,
            State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    fn leader_id(&self) -> Option<ReplicaId> {
        match self.state {
            State::Follower { leader } => leader,
            State::Leader(_) => Some(self.id),
            State::PreCandidate { .. } | State::Candidate { .. } => None,
        }
    }

    fn reset_election_deadline(&mut self) {
        let factor = 1.0 + self.rng.random::<f64>();
        self.election_deadline = self.now + self.settings.election_timeout.mul_f64(factor);
    }

    /// Sets a short delay before the first pre-vote after a restart, so that a group whose
    /// replicas have all restarted elects a leader quickly. If there is a leader, the other
    /// replicas refuse the pre-vote.
    fn reset_restart_deadline(&mut self) {
        let factor = MIN_RESTART_FACTOR * (1.0 + self.rng.random::<f64>());
        self.election_deadline = self.now + self.settings.election_timeout.mul_f64(factor);
    }

    /// Sets the delay before the next pre-vote while no leader is known.
    fn reset_pre_vote_deadline(&mut self) {
        let factor = MIN_RETRY_FACTOR * (1.0 + 2.0 * self.rng.random::<f64>());
        self.election_deadline = self.now + self.settings.election_timeout.mul_f64(factor);
    }

    /// Sets the end of a campaign. It is longer than a pre-vote, because votes are synced before they
    /// are sent. The voters' disks are taken for as slow as the own one, and each campaign
    /// that fails makes the next one last twice as long, as they may be slower.
    fn reset_campaign_deadline(&mut self) {
        let factor = MIN_CAMPAIGN_FACTOR * (1.0 + self.rng.random::<f64>());
        let beyond_syncs = self.settings.election_timeout.mul_f64(factor);
        let duration = beyond_syncs + self.persistence.last_duration() * VOTER_SYNCS;
        let doublings = self.failed_elections.campaigns.min(MAX_DOUBLINGS);
        self.election_deadline = self.now + duration * (1 << doublings);
    }

    fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        }
    }

    /// Sends a message that doesn't depend on stored state.
    fn send(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.actions.push(Action::Send(message));
    }

    /// Sends a message once the term, the vote and the entries up to `index` are synced.
    fn send_synced(&mut self, to: ReplicaId, body: Body, index: Index) {
        let message = self.message(to, body);
        if let Some(message) = self.persistence.hold_until_synced(message, index) {
            self.actions.push(Action::Send(message));
        }
    }

    fn reject(&mut self, ticket: Ticket, reason: Rejection) {
        self.actions.push(Action::Rejected { ticket, reason });
    }

    fn handle_persisted(&mut self, number: WriteNumber) {
        let was_synced = self.persistence.is_hard_state_synced();
        let completed = self.persistence.complete_write(number, self.now);
        if !was_synced && self.persistence.is_hard_state_synced() {
            self.restart_election_timer();
        }
        self.commit_outdated = true;
        if let Some(snapshot) = completed.received_snapshot {
            self.applied = snapshot.position.index;
            self.persistence.raise_durable(self.applied);
            self.actions.push(Action::Install(snapshot));
        }
        let sends = completed.messages.into_iter().map(Action::Send);
        self.actions.extend(sends);
        self.count_own_vote();
    }

    /// Passes committed and synced entries to the adapter, then completes the requests that
    /// waited for them.
    fn apply(&mut self) {
        let to = self.commit.min(self.persistence.durable());
        if to <= self.applied {
            return;
        }
        let entries = self.log.slice(self.applied.next(), to, usize::MAX);
        self.applied = to;
        self.actions.push(Action::Commit(entries));
        self.complete_tickets();
    }

    fn flush_writes(&mut self) {
        if self.stopped {
            return;
        }
        if let Some(write) =
            self.persistence
                .begin_write(&self.log, self.hard_state, self.commit, self.now)
        {
            self.actions.push(Action::Persist(write));
        }
    }

    fn report_leader(&mut self) {
        let (term, leader) = self.reported_leader;
        let current = (self.hard_state.term, self.leader_id());
        let same_term = term == current.0 || current.1.is_none();
        if leader == current.1 && same_term {
            return;
        }
        self.reported_leader = current;
        let (term, leader) = current;
        self.actions.push(Action::LeaderChanged { term, leader });
    }

    fn stop(&mut self, fault: Fault) {
        self.step_down(StepDown::Stopped);
        self.persistence.discard_pending();
        self.local_reads
            .reject_all(&Rejection::Stopped, &mut self.actions);
        self.stopped = true;
        self.actions.push(Action::Stop(fault));
    }

    fn reject_stopped(&mut self, event: &Event) {
        if let Event::Propose { ticket, .. }
        | Event::Read { ticket }
        | Event::Change { ticket, .. } = event
        {
            self.reject(*ticket, Rejection::Stopped);
        }
    }
}
