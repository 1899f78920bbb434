//! One replica of the log.

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;

use crate::action::Action;
use crate::config::Config;
use crate::entry::Index;
use crate::entry::ReplicaId;
use crate::entry::Term;
use crate::event::Event;
use crate::settings::Settings;
use crate::stored::Stored;

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
    /// The group.
    pub config: Config,
    /// Whether the node has stopped for good.
    pub stopped: bool,
}

/// One replica: events and the time go in, actions come out.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    stored: Stored,
    rng: StdRng,
    deadline: Moment,
}

impl Node {
    /// A replica that starts from what its disk holds.
    #[must_use]
    pub fn new(settings: Settings, stored: Stored, seed: u64, now: Moment) -> Self {
        let mut node = Self {
            settings,
            stored,
            rng: StdRng::seed_from_u64(seed),
            deadline: now,
        };
        node.draw_deadline(now);
        node
    }

    /// Takes one event and pushes what is to be done onto `actions`, in order.
    pub fn step(&mut self, now: Moment, event: Event, actions: &mut Vec<Action>) {
        let _ = (event, actions);
        self.draw_deadline(now);
    }

    fn draw_deadline(&mut self, now: Moment) {
        let factor = 1.0 + self.rng.random::<f64>();
        self.deadline = now + self.settings.election.mul_f64(factor);
    }

    /// When the node wants the next [`Event::Tick`].
    #[must_use]
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// The replica's view of itself and its group.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            id: self.stored.id,
            role: Role::Follower,
            term: self.stored.hard.term,
            leader: None,
            commit: Index::default(),
            applied: Index::default(),
            first: Index(1),
            last: Index::default(),
            log_bytes: 0,
            snapshot: Index::default(),
            config: self.stored.snapshot.config.clone(),
            stopped: false,
        }
    }

    /// How many entries a follower lacks, as the leader knows; none elsewhere.
    #[must_use]
    pub fn behind(&self, id: ReplicaId) -> Option<u64> {
        let _ = id;
        None
    }
}
