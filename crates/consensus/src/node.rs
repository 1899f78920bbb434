//! One replica of the log.

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
use crate::action::WriteNumber;
use crate::config::Config;
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

use self::follow::Incoming;
use self::read::Asks;

/// Least part of an election timeout after which a replica without a leader asks
/// again for pre-votes; three times that at most.
const RETRY_FACTOR: f64 = 0.25;

/// Least part of an election timeout after which a replica that has restarted asks for
/// pre-votes; twice that at most, so that two that start together rarely ask together.
const FIRST_FACTOR: f64 = 0.02;

/// Least part of an election timeout that a campaign has; twice that at most.
const CAMPAIGN_FACTOR: f64 = 0.5;

/// What a replica does in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Takes the log from a leader.
    Follower,
    /// Asks whether it would be voted for.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
}

/// A replica's view of itself and its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The replica.
    pub id: ReplicaId,
    /// What it does.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader that it knows of.
    pub leader: Option<ReplicaId>,
    /// The last entry known to be committed.
    pub commit: Index,
    /// The last entry handed to the adapter.
    pub applied: Index,
    /// The first entry in memory.
    pub first: Index,
    /// The last entry, synced or not.
    pub last: Index,
    /// Memory that the entries take, in bytes.
    pub log_bytes: usize,
    /// The last snapshot's index.
    pub snapshot: Index,
    /// The group in force: the last one in the log, committed or not.
    pub config: Config,
    /// Whether the node has stopped for good.
    pub stopped: bool,
}

#[derive(Debug)]
enum State {
    Follower { leader: Option<ReplicaId> },
    PreCandidate { votes: BTreeSet<ReplicaId> },
    Candidate { votes: BTreeSet<ReplicaId> },
    Leader(Box<Leader>),
}

/// One replica: events and the time go in, actions come out.
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
    /// When a replica that doesn't lead campaigns.
    timeout: Moment,
    /// When a leader's message last came.
    heard: Option<Moment>,
    /// The leader as last told to the adapter.
    announced: (Term, Option<ReplicaId>),
    /// Something that counts towards the commit index has changed since it was counted.
    recount: bool,
    asks: Asks,
    incoming: Option<Incoming>,
    stopped: bool,
    now: Moment,
    out: Vec<Action>,
}

impl Node {
    /// A replica that starts from what its disk holds, its state applied up to the snapshot.
    ///
    /// The seed must differ at each start, also of the same replica.
    #[must_use]
    pub fn new(settings: Settings, stored: Stored, seed: u64, now: Moment) -> Self {
        let (log, overruled) = Log::open(stored.snapshot, stored.entries);
        let mut persistence = Persistence::new(log.last().index);
        if let Some(index) = overruled {
            persistence.drop_from(index);
        }
        let base = log.snapshot().position.index;
        // What is committed can be applied at once, before a leader tells of more.
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
            timeout: now,
            heard: None,
            announced: (Term::default(), None),
            recount: false,
            asks: Asks::default(),
            incoming: None,
            stopped: false,
            now,
            out: Vec::new(),
        };
        node.adopt_log_term();
        if node.hard_state.term == Term::default() {
            node.draw_timeout();
        } else {
            node.draw_first();
        }
        node
    }

    /// Entries may be on disk whose term came in a write that a crash cut short.
    fn adopt_log_term(&mut self) {
        let term = self.log.last().term;
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.persistence.mark_hard();
        }
    }

    /// Takes one event and pushes what is to be done onto `actions`, in order.
    ///
    /// A moment before the last one counts as the last one.
    pub fn step(&mut self, now: Moment, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        mem::swap(&mut self.out, actions);
        if self.stopped {
            self.refuse_stopped(&event);
        } else {
            self.run(event);
        }
        mem::swap(&mut self.out, actions);
    }

    /// A leader's time is looked at first, so that one that slept steps down before it acts.
    fn run(&mut self, event: Event) {
        self.tick_leader();
        self.handle(event);
        self.tick_follower();
        self.advance();
        self.maintain();
        self.flush();
        self.replicate();
        self.pump_reads();
        self.announce();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Message(message) => self.receive(message),
            Event::Propose { ticket, data } => self.propose(ticket, data),
            Event::Read { ticket } => self.read(ticket),
            Event::Change { ticket, change } => self.change(ticket, change),
            Event::Transfer => self.start_transfer(),
            Event::Persisted { number } => self.persisted(number),
            Event::PersistFailed => self.stop(Fault::PersistFailed),
            Event::Compact { index, data } => self.compact(index, data),
        }
    }

    /// When the node wants the next [`Event::Tick`].
    #[must_use]
    pub fn deadline(&self) -> Moment {
        let timer = match &self.state {
            State::Leader(leader) => leader.beat,
            _ => self.timeout,
        };
        self.asks
            .deadline(&self.settings)
            .map_or(timer, |ask| ask.min(timer))
    }

    /// The replica's view of itself and its group.
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

    /// How many entries a follower lacks, as the leader knows; none elsewhere.
    #[must_use]
    pub fn replication_lag(&self, id: ReplicaId) -> Option<u64> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let peer = leader.peers.get(&id)?;
        Some(self.log.last().index.after(peer.matched))
    }

    /// The replica's term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The term of an entry in memory, synced or not.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// What the replica does.
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

    fn draw_timeout(&mut self) {
        let factor = 1.0 + self.rng.random::<f64>();
        self.timeout = self.now + self.settings.election_timeout.mul_f64(factor);
    }

    /// The time to the first campaign after a restart: where all have restarted there is
    /// no leader, and if there is one, the others refuse. The last one to make a majority
    /// asks at once in this way.
    fn draw_first(&mut self) {
        let factor = FIRST_FACTOR * (1.0 + self.rng.random::<f64>());
        self.timeout = self.now + self.settings.election_timeout.mul_f64(factor);
    }

    /// The time to the next campaign while no leader is known: all replicas may have
    /// just started, and asking costs little.
    fn draw_retry(&mut self) {
        let factor = RETRY_FACTOR * (1.0 + 2.0 * self.rng.random::<f64>());
        self.timeout = self.now + self.settings.election_timeout.mul_f64(factor);
    }

    /// The time that a campaign has: the votes are synced first, so it is longer than
    /// that between two asks.
    fn draw_campaign(&mut self) {
        let factor = CAMPAIGN_FACTOR * (1.0 + self.rng.random::<f64>());
        self.timeout = self.now + self.settings.election_timeout.mul_f64(factor);
    }

    fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        }
    }

    /// Sends what claims nothing about the disk.
    fn send(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.out.push(Action::Send(message));
    }

    /// Sends once the term, the vote, and the entries up to `index` are synced.
    fn send_synced(&mut self, to: ReplicaId, body: Body, index: Index) {
        let message = self.message(to, body);
        if let Some(message) = self.persistence.hold(message, index) {
            self.out.push(Action::Send(message));
        }
    }

    fn reject(&mut self, ticket: Ticket, reason: Rejection) {
        self.out.push(Action::Rejected { ticket, reason });
    }

    fn persisted(&mut self, number: WriteNumber) {
        let synced = self.persistence.synced(number);
        self.recount = true;
        if let Some(snapshot) = synced.install {
            self.applied = snapshot.position.index;
            self.persistence.raise(self.applied);
            self.out.push(Action::Install(snapshot));
        }
        let sends = synced.messages.into_iter().map(Action::Send);
        self.out.extend(sends);
        self.count_own_vote();
    }

    /// Hands committed and synced entries to the adapter, then answers what waited for them.
    fn apply(&mut self) {
        let to = self.commit.min(self.persistence.durable());
        if to <= self.applied {
            return;
        }
        let entries = self.log.slice(self.applied.next(), to, usize::MAX);
        self.applied = to;
        self.out.push(Action::Commit(entries));
        self.finish_tickets();
    }

    fn flush(&mut self) {
        if self.stopped {
            return;
        }
        if let Some(write) =
            self.persistence
                .flush(&self.log, self.hard_state, self.commit, self.now)
        {
            self.out.push(Action::Persist(write));
        }
    }

    fn announce(&mut self) {
        let (term, leader) = self.announced;
        let current = (self.hard_state.term, self.leader_id());
        let same_term = term == current.0 || current.1.is_none();
        if leader == current.1 && same_term {
            return;
        }
        self.announced = current;
        let (term, leader) = current;
        self.out.push(Action::LeaderChanged { term, leader });
    }

    fn stop(&mut self, fault: Fault) {
        self.become_follower(self.hard_state.term, None);
        self.persistence.forget();
        self.asks.reject_all(&Rejection::Stopped, &mut self.out);
        self.stopped = true;
        self.out.push(Action::Stop(fault));
    }

    fn refuse_stopped(&mut self, event: &Event) {
        if let Event::Propose { ticket, .. }
        | Event::Read { ticket }
        | Event::Change { ticket, .. } = event
        {
            self.reject(*ticket, Rejection::Stopped);
        }
    }
}
