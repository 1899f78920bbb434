//! Measures the cost of a commit in the state machine alone, without disk and network.
//!
//! Prints one line of `key=value` pairs for each group size and batch size:
//!
//! - `leader_ns`, `follower_ns`: processor time per entry at the leader and at one
//!   follower, in nanoseconds;
//! - `messages`, `writes`: messages of the whole group and writes of one replica
//!   per batch;
//! - `read_messages`: messages of the whole group per heartbeat round for reads.
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

/// Entries measured per line of output.
const ENTRIES: u64 = 100_000;
/// Size of one entry in bytes, close to that of a ledger record.
const PAYLOAD_BYTES: usize = 256;
/// Entries between two snapshots.
const COMPACT_INTERVAL: u64 = 4096;
/// Reads measured per line of output.
const READS: u64 = 1000;

#[derive(Default)]
struct Count {
    leader: Duration,
    follower: Duration,
    messages: u64,
    writes: u64,
    committed: u64,
    reads: u64,
}

/// A group in one thread: messages are delivered in order, and writes complete on [`Group::sync`].
struct Group {
    nodes: Vec<Node>,
    in_transit: VecDeque<Message>,
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
            in_transit: VecDeque::new(),
            writes: vec![None; usize::try_from(voters).expect("few voters")],
            now,
            count: Count::default(),
            actions: Vec::new(),
            ticket: 0,
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let is_leader = self.nodes[at].role() == Role::Leader;
        let begin = Instant::now();
        self.nodes[at].step(self.now, event, &mut self.actions);
        let elapsed = begin.elapsed();
        if is_leader {
            self.count.leader += elapsed;
        } else {
            self.count.follower += elapsed;
        }
        for action in std::mem::take(&mut self.actions) {
            self.execute(at, is_leader, action);
        }
    }

    fn execute(&mut self, at: usize, is_leader: bool, action: Action) {
        match action {
            Action::Persist(write) => {
                self.count.writes += u64::from(is_leader);
                self.writes[at] = Some(write.number);
            }
            Action::Send(message) => {
                self.count.messages += 1;
                self.in_transit.push_back(message);
            }
            Action::Committed { .. } => self.count.committed += 1,
            Action::ReadReady { .. } => self.count.reads += 1,
            _ => {}
        }
    }

    /// Completes the replica's write in flight.
    fn sync(&mut self, at: usize) {
        if let Some(number) = self.writes[at].take() {
            self.step(at, Event::Persisted { number });
        }
    }

    /// Delivers all messages; followers sync immediately, the leader doesn't.
    fn deliver_all(&mut self, leader: usize) {
        loop {
            for at in (0..self.nodes.len()).filter(|at| *at != leader) {
                self.sync(at);
            }
            let Some(message) = self.in_transit.pop_front() else {
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
                self.deliver_all(self.nodes.len());
            }
            let leads = |n: &Node| n.role() == Role::Leader && n.status().commit > Index(0);
            if let Some(at) = self.nodes.iter().position(leads) {
                return at;
            }
        }
    }

    /// Proposes a batch while the previous one is being synced, as under steady load.
    fn commit(&mut self, leader: usize, batch: u64, data: &Bytes) {
        for _ in 0..batch {
            self.ticket += 1;
            let (ticket, data) = (Ticket(self.ticket), data.clone());
            self.step(leader, Event::Propose { ticket, data });
        }
        self.sync(leader);
        self.deliver_all(leader);
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
        self.deliver_all(leader);
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
    let data = Bytes::from(vec![7; PAYLOAD_BYTES]);
    group.commit(leader, batch, &data);
    group.count = Count::default();
    let batches = ENTRIES / batch;
    let mut since = 0;
    for _ in 0..batches {
        group.commit(leader, batch, &data);
        since += batch;
        if since >= COMPACT_INTERVAL {
            since = 0;
            group.compact();
        }
    }
    let count = std::mem::take(&mut group.count);
    group.sync(leader);
    group.deliver_all(leader);
    group.count = Count::default();
    for _ in 0..READS {
        group.read(leader);
    }
    let entries = batches * batch;
    let each = |elapsed: Duration, by: u64| elapsed.as_nanos() / u128::from(by);
    println!(
        "voters={voters} batch={batch} payload={PAYLOAD_BYTES} entries={entries} committed={} \
         leader_ns={} follower_ns={} messages={} writes={} reads={} read_messages={}",
        count.committed,
        each(count.leader, entries),
        each(count.follower, entries * (voters - 1).max(1)),
        count.messages / batches,
        count.writes / batches,
        group.count.reads,
        group.count.messages / READS,
    );
}

fn main() {
    for voters in [3, 5, 7] {
        for batch in [1, 16, 256] {
            measure(voters, batch);
        }
    }
}
