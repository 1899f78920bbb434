//! A simulated group: messages in transit, disks that lose unsynced writes, and a shared clock.

pub mod disk;
mod drive;
pub mod oracle;

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use consensus::Acceptance;
use consensus::Action;
use consensus::Change;
use consensus::Config;
use consensus::Event;
use consensus::Index;
use consensus::Member;
use consensus::Message;
use consensus::Node;
use consensus::Rejection;
use consensus::ReplicaId;
use consensus::Role;
use consensus::Settings;
use consensus::Stored;
use consensus::Term;
use consensus::Ticket;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::disk::Disk;
use self::oracle::Oracle;

/// The state of a replica's network link; faults cause no errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Open,
    /// Messages from and to the replica are lost.
    Cut,
    /// Messages from the replica are lost, and messages to it arrive.
    Mute,
}

/// One replica with its disk.
pub struct Host {
    pub node: Option<Node>,
    pub disk: Disk,
    /// Frozen: processes neither events nor ticks.
    pub paused: bool,
    pub link: Link,
    /// The disk is stalled: writes neither complete nor fail.
    pub stalled: bool,
    /// How long the disk takes for each write.
    pub write_time: Duration,
    pub write_started_at: Moment,
    pub applied: Index,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done(Index),
    Rejected(Rejection),
}

pub struct Cluster {
    pub hosts: BTreeMap<ReplicaId, Host>,
    pub in_transit: Vec<Message>,
    pub oracle: Oracle,
    pub outcomes: BTreeMap<Ticket, Outcome>,
    /// Reports of failed elections and of leaders that stepped down.
    pub reports: Vec<Action>,
    pub rng: SmallRng,
    pub now: Moment,
    pub sent: usize,
    settings: Settings,
    tickets: u64,
}

pub fn settings() -> Settings {
    Settings {
        max_chunk_bytes: 40,
        max_retained_bytes: 500,
        max_batch_bytes: 400,
        max_in_flight_appends: 3,
        ..Settings::default()
    }
}

/// The timing of a hub.
pub fn hub_settings() -> Settings {
    Settings {
        heartbeat_interval: Duration::from_millis(100),
        election_timeout: Duration::from_millis(400),
        ..settings()
    }
}

/// A member in region "east" if its id is even, else in "west".
pub fn member(id: u64) -> Member {
    let region = if id.is_multiple_of(2) { "east" } else { "west" };
    Member {
        id: ReplicaId(id),
        address: ([127, 0, 0, 1], u16::try_from(id).expect("small")).into(),
        domain: DomainName::new(&format!("d{}", id % 4)).expect("a name"),
        region: RegionName::new(region).expect("a name"),
    }
}

impl Cluster {
    pub fn new(voters: u64, acceptance: Acceptance, seed: u64) -> Self {
        Self::with_settings(voters, acceptance, seed, settings())
    }

    pub fn with_settings(
        voters: u64,
        acceptance: Acceptance,
        seed: u64,
        settings: Settings,
    ) -> Self {
        let config = Config::of_voters((1..=voters).map(member), acceptance);
        let mut cluster = Self {
            hosts: BTreeMap::new(),
            in_transit: Vec::new(),
            oracle: Oracle::default(),
            outcomes: BTreeMap::new(),
            reports: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: Moment::from_millis(1),
            sent: 0,
            settings,
            tickets: 0,
        };
        for id in config.voters.keys() {
            cluster.add_host(Stored::founding(*id, config.clone()));
        }
        cluster
    }

    /// Adds a replica with an empty disk.
    pub fn add_empty(&mut self, id: u64) {
        self.add_host(Stored::empty(ReplicaId(id)));
    }

    fn add_host(&mut self, stored: Stored) {
        let id = stored.id;
        let host = Host {
            node: None,
            disk: Disk::new(stored),
            paused: false,
            link: Link::Open,
            stalled: false,
            write_time: Duration::ZERO,
            write_started_at: self.now,
            applied: Index::default(),
        };
        self.hosts.insert(id, host);
        self.start(id);
    }

    pub fn host(&mut self, id: ReplicaId) -> &mut Host {
        self.hosts.get_mut(&id).expect("a host")
    }

    pub fn node(&self, id: u64) -> &Node {
        let host = &self.hosts[&ReplicaId(id)];
        host.node.as_ref().expect("a running node")
    }

    pub fn start(&mut self, id: ReplicaId) {
        let seed = self.rng.random();
        let now = self.now;
        let mut settings = self.settings.clone();
        let host = self.host(id);
        if host.node.is_none() {
            settings.first_write = host.write_time;
            let stored = host.disk.stored.clone();
            host.applied = stored.snapshot.position.index;
            host.node = Some(Node::new(settings, stored, seed, now));
        }
    }

    /// Crashes the process; a random prefix of the pending write is stored.
    pub fn crash(&mut self, id: ReplicaId) {
        let parts = self.rng.random_range(0..8);
        let host = self.host(id);
        host.disk.crash(parts);
        host.node = None;
        host.paused = false;
    }

    pub fn step(&mut self, id: ReplicaId, event: Event) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        let Some(node) = host.node.as_mut().filter(|_| !host.paused) else {
            return;
        };
        let mut actions = Vec::new();
        let led = node.role() == Role::Leader;
        node.step(now, event, &mut actions);
        if !led && node.role() == Role::Leader {
            self.oracle.check_elected(node, &host.disk);
        }
        let term = node.term();
        for action in actions {
            self.execute(id, term, action);
        }
    }

    fn execute(&mut self, id: ReplicaId, term: Term, action: Action) {
        let host = self.hosts.get_mut(&id).expect("a host");
        match action {
            Action::Persist(write) => {
                self.oracle
                    .check_write(&write, |index| host.disk.term(index));
                assert!(host.disk.pending.replace(write).is_none());
                host.write_started_at = self.now;
            }
            Action::Send(message) => {
                self.oracle.check_sent(&message, &host.disk);
                self.sent += 1;
                if host.link == Link::Open {
                    self.in_transit.push(message);
                }
            }
            Action::Install(snapshot) => {
                let index = snapshot.position.index;
                assert!(index > host.applied);
                host.applied = index;
                assert_eq!(snapshot.data, self.oracle.snapshot(index));
            }
            Action::Commit(entries) => {
                for entry in entries {
                    assert_eq!(entry.index, host.applied.next());
                    assert!(host.disk.has_synced(entry.index), "applied before sync");
                    host.applied = entry.index;
                    self.oracle.check_applied(&entry, term);
                }
            }
            Action::Committed { ticket, index } => {
                self.oracle.check_committed(ticket, index);
                self.outcomes.insert(ticket, Outcome::Done(index));
            }
            Action::ReadReady { ticket, index } => {
                self.oracle.check_read(ticket, index, host.applied);
                self.outcomes.insert(ticket, Outcome::Done(index));
            }
            Action::Rejected { ticket, reason } => {
                self.oracle.check_answered_once(ticket);
                self.outcomes.insert(ticket, Outcome::Rejected(reason));
            }
            Action::ElectionFailed { .. } | Action::SteppedDown { .. } => {
                self.reports.push(action);
            }
            Action::LeaderChanged { .. } | Action::Voted { .. } => {}
            Action::Stop(fault) => panic!("replica {id} stopped: {fault}"),
        }
    }

    fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    pub fn propose(&mut self, id: ReplicaId) -> Ticket {
        let ticket = self.ticket();
        let data = Bytes::from(format!("proposal {}", ticket.0));
        self.oracle.record_proposal(ticket, data.clone());
        self.step(id, Event::Propose { ticket, data });
        ticket
    }

    pub fn read(&mut self, id: ReplicaId) -> Ticket {
        let ticket = self.ticket();
        self.oracle.record_read(ticket);
        self.step(id, Event::Read { ticket });
        ticket
    }

    pub fn change(&mut self, id: ReplicaId, change: Change) -> Ticket {
        let ticket = self.ticket();
        self.step(id, Event::Change { ticket, change });
        ticket
    }

    pub fn compact(&mut self, id: ReplicaId) {
        let index = self.host(id).applied;
        let data = self.oracle.snapshot(index);
        self.step(id, Event::Compact { index, data });
    }

    pub fn sync(&mut self, id: ReplicaId) {
        let now = self.now;
        let host = self.host(id);
        let is_written = now.since(host.write_started_at) >= host.write_time;
        if host.paused || host.stalled || !is_written {
            return;
        }
        if let Some(write) = host.disk.sync() {
            let number = write.number;
            self.step(id, Event::Persisted { number });
        }
    }

    /// Delivers the message at `at`, unless its receiver is frozen.
    pub fn deliver(&mut self, at: usize) {
        let waits = |id| self.hosts.get(&id).is_some_and(|h: &Host| h.paused);
        if waits(self.in_transit[at].to) {
            return;
        }
        let message = self.in_transit.swap_remove(at);
        let to = message.to;
        let open = |id| {
            self.hosts
                .get(&id)
                .is_some_and(|h: &Host| h.link != Link::Cut)
        };
        if open(message.from) && open(to) {
            self.step(to, Event::Message(message));
        }
    }

    pub fn ids(&self) -> Vec<ReplicaId> {
        self.hosts.keys().copied().collect()
    }

    /// Advances the clock and runs expired timers.
    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
        for id in self.ids() {
            let node = self.hosts[&id].node.as_ref();
            if node.is_some_and(|n| n.deadline() <= self.now) {
                self.step(id, Event::Tick);
            }
        }
    }
}
