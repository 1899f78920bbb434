//! What a commit costs in the state machine alone, without disk and network.
//!
//! One line for each size of group and batch, as `key=value`:
//!
//! - `leader_ns`, `follower_ns`: processor time an entry takes at the leader and
//!   at one follower, in nanoseconds;
//! - `messages`, `writes`: messages of the whole group and writes of one replica
//!   for one batch;
//! - `read_messages`: messages of the whole group for one round of reads.
//!
//! Run with `cargo run --release -p consensus --example cost`.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use base::prelude::*;
use bytes::Bytes;
use consensus::Acceptance;
use consensus::Action;
use consensus::Config;
use consensus::Event;
use consensus::Index;
use consensus::Member;
use consensus::Message;
use consensus::Node;
use consensus::ReplicaId;
use consensus::Role;
use consensus::Settings;
use consensus::Stored;
use consensus::Ticket;
use consensus::WriteNumber;

/// Entries measured on each line.
const ENTRIES: u64 = 100_000;
/// Bytes of one entry, about one ledger record.
const PAYLOAD: usize = 256;
/// Entries between two snapshots.
const COMPACT: u64 = 4096;
/// Rounds of reads measured on each line.
const ROUNDS: u64 = 1000;

#[derive(Default)]
struct Count {
    leader: Duration,
    follower: Duration,
    messages: u64,
    writes: u64,
    committed: u64,
    reads: u64,
}

/// A group in one thread: messages arrive in order, and a write is synced when the driver says so.
struct Group {
    nodes: Vec<Node>,
    mail: VecDeque<Message>,
    writes: Vec<Option<WriteNumber>>,
    now: Moment,
    count: Count,
    actions: Vec<Action>,
    ticket: u64,
}

impl Group {
    fn new(voters: u64) -> Self {
        let config = Config::of_voters((1..=voters).map(member), Acceptance::Majority);
        let now = Moment::from_millis(1);
        let start = |id| {
            let stored = Stored::founding(ReplicaId(id), config.clone());
            Node::new(Settings::default(), stored, id, now)
        };
        Self {
            nodes: (1..=voters).map(start).collect(),
            mail: VecDeque::new(),
            writes: vec![None; usize::try_from(voters).expect("few voters")],
            now,
            count: Count::default(),
            actions: Vec::new(),
            ticket: 0,
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let leads = self.nodes[at].role() == Role::Leader;
        let begin = Instant::now();
        self.nodes[at].step(self.now, event, &mut self.actions);
        let spent = begin.elapsed();
        if leads {
            self.count.leader += spent;
        } else {
            self.count.follower += spent;
        }
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(at, leads, action);
        }
    }

    fn carry_out(&mut self, at: usize, leads: bool, action: Action) {
        match action {
            Action::Persist(write) => {
                self.count.writes += u64::from(leads);
                self.writes[at] = Some(write.number);
            }
            Action::Send(message) => {
                self.count.messages += 1;
                self.mail.push_back(message);
            }
            Action::Committed { .. } => self.count.committed += 1,
            Action::ReadReady { .. } => self.count.reads += 1,
            _ => {}
        }
    }

    /// Syncs what is being written, at the leader first.
    fn sync(&mut self, at: usize) {
        if let Some(number) = self.writes[at].take() {
            self.step(at, Event::Persisted { number });
        }
    }

    /// Delivers everything; followers sync at once, the leader only when told to.
    fn settle(&mut self, leader: usize) {
        loop {
            for at in (0..self.nodes.len()).filter(|at| *at != leader) {
                self.sync(at);
            }
            let Some(message) = self.mail.pop_front() else {
                break;
            };
            let to = usize::try_from(message.to.0 - 1).expect("few voters");
            self.step(to, Event::Message(message));
        }
    }

    fn elect(&mut self) -> usize {
        loop {
            self.now = self.now + Duration::from_millis(10);
            for at in 0..self.nodes.len() {
                self.step(at, Event::Tick);
                self.sync(at);
                self.settle(self.nodes.len());
            }
            let leads = |n: &Node| n.role() == Role::Leader && n.status().commit > Index(0);
            if let Some(at) = self.nodes.iter().position(leads) {
                return at;
            }
        }
    }

    /// Proposes a batch while the last one is being synced, as under steady load.
    fn commit(&mut self, leader: usize, batch: u64, data: &Bytes) {
        for _ in 0..batch {
            self.ticket += 1;
            let (ticket, data) = (Ticket(self.ticket), data.clone());
            self.step(leader, Event::Propose { ticket, data });
        }
        self.sync(leader);
        self.settle(leader);
    }

    fn compact(&mut self) {
        for at in 0..self.nodes.len() {
            let index = self.nodes[at].status().applied;
            let data = Bytes::new();
            self.step(at, Event::Compact { index, data });
        }
    }

    fn read(&mut self, leader: usize) {
        self.ticket += 1;
        let ticket = Ticket(self.ticket);
        self.step(leader, Event::Read { ticket });
        self.settle(leader);
    }
}

fn member(id: u64) -> Member {
    Member {
        id: ReplicaId(id),
        address: ([127, 0, 0, 1], 1).into(),
        domain: DomainName::new("domain").expect("a name"),
        region: RegionName::new("region").expect("a name"),
    }
}

fn measure(voters: u64, batch: u64) {
    let mut group = Group::new(voters);
    let leader = group.elect();
    let data = Bytes::from(vec![7; PAYLOAD]);
    group.commit(leader, batch, &data);
    group.count = Count::default();
    let batches = ENTRIES / batch;
    let mut since = 0;
    for _ in 0..batches {
        group.commit(leader, batch, &data);
        since += batch;
        if since >= COMPACT {
            since = 0;
            group.compact();
        }
    }
    let count = std::mem::take(&mut group.count);
    group.sync(leader);
    group.settle(leader);
    group.count = Count::default();
    for _ in 0..ROUNDS {
        group.read(leader);
    }
    let entries = batches * batch;
    let each = |spent: Duration, by: u64| spent.as_nanos() / u128::from(by);
    println!(
        "voters={voters} batch={batch} payload={PAYLOAD} entries={entries} committed={} \
         leader_ns={} follower_ns={} messages={} writes={} reads={} read_messages={}",
        count.committed,
        each(count.leader, entries),
        each(count.follower, entries * (voters - 1).max(1)),
        count.messages / batches,
        count.writes / batches,
        group.count.reads,
        group.count.messages / ROUNDS,
    );
}

fn main() {
    for voters in [3, 5, 7] {
        for batch in [1, 16, 256] {
            measure(voters, batch);
        }
    }
}
