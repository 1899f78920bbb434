//! A hub of the simulated system: a replica with its disk, its applied table and its survey. Its table
//! is what the newest applied entry with data names.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use consensus::Action;
use consensus::Config;
use consensus::Entry;
use consensus::Event;
use consensus::Member;
use consensus::Message;
use consensus::Node;
use consensus::Payload;
use consensus::ReplicaId;
use consensus::Role;
use consensus::Settings;
use consensus::Stored;
use consensus::Ticket;
use consensus::Write;
use control::currency::LogReport;
use control::currency::Survey;
use wire::hub::Currency;

/// The timing of a hub.
pub fn settings(first_write: Duration) -> Settings {
    Settings {
        heartbeat_interval: Duration::from_millis(100),
        election_timeout: Duration::from_millis(400),
        first_write,
        ..Settings::default()
    }
}

pub struct Hub {
    pub address: SocketAddr,
    pub id: ReplicaId,
    pub node: Option<Node>,
    pub disk: Stored,
    pending: Option<Write>,
    write_ends: Moment,
    /// How long the disk takes for each write.
    pub write_time: Duration,
    pub paused_until: Moment,
    /// The version of the newest applied table.
    pub table: Option<u64>,
    survey: Option<Survey>,
    pub next_ask: Moment,
    /// The proposals and reads that wait, with the version or the time of the request.
    proposals: BTreeMap<Ticket, u64>,
    reads: BTreeMap<Ticket, Moment>,
    /// When the last read was sent that a majority has confirmed.
    confirmed: Option<Moment>,
    tickets: u64,
}

impl Hub {
    pub fn new(address: SocketAddr, id: ReplicaId, write_time: Duration) -> Self {
        Self {
            address,
            id,
            node: None,
            disk: Stored::empty(id),
            pending: None,
            write_ends: Moment::ZERO,
            write_time,
            paused_until: Moment::ZERO,
            table: None,
            survey: None,
            next_ask: Moment::ZERO,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: None,
            tickets: 0,
        }
    }

    pub fn member(&self) -> Member {
        Member {
            id: self.id,
            address: self.address,
            domain: DomainName::new("a").expect("a name"),
            region: RegionName::new("r").expect("a name"),
        }
    }

    pub fn start(&mut self, seed: u64, now: Moment) {
        let node = Node::new(settings(self.write_time), self.disk.clone(), seed, now);
        self.table = decode(&self.disk.snapshot.data);
        self.node = Some(node);
    }

    /// Ends the process; a prefix of the write in flight is stored.
    pub fn crash(&mut self, parts: usize) {
        self.node = None;
        (self.table, self.survey, self.confirmed) = (None, None, None);
        self.proposals.clear();
        self.reads.clear();
        if let Some(write) = self.pending.take() {
            store(&mut self.disk, &write, parts);
        }
    }

    pub fn is_running(&self, now: Moment) -> bool {
        self.node.is_some() && now >= self.paused_until
    }

    pub fn config(&self) -> Config {
        let node = self.node.as_ref();
        node.map_or_else(Config::default, |node| node.status().config)
    }

    pub fn is_leader(&self) -> bool {
        let node = self.node.as_ref();
        node.is_some_and(|node| node.role() == Role::Leader)
    }

    fn has_leader(&self) -> bool {
        let node = self.node.as_ref();
        node.is_some_and(|node| node.status().leader.is_some())
    }

    pub fn report(&self) -> LogReport {
        let Some(node) = &self.node else {
            return LogReport::default();
        };
        let is_table = |entry: &Entry| matches!(entry.payload, Payload::Data(_));
        LogReport {
            id: self.id,
            config: node.status().config,
            binding: node.newest_match(is_table),
        }
    }

    pub fn record(&mut self, asked_at: Moment, from: SocketAddr, report: LogReport) {
        if let Some(survey) = &mut self.survey {
            survey.record(asked_at, from, report);
        }
    }

    /// What the hub says of its table.
    pub fn currency(&mut self, now: Moment) -> Currency {
        if self.has_leader() {
            self.survey = None;
            let is_recent = |at: Moment| now.since(at) <= Duration::from_millis(60);
            return if self.confirmed.is_some_and(is_recent) {
                Currency::Confirmed
            } else {
                Currency::Undecided
            };
        }
        self.confirmed = None;
        let own = self.report();
        let applied = self.node.as_ref().map(|node| node.status().applied);
        let survey = self.survey.get_or_insert_with(Survey::default);
        match survey.currency(now, &own, applied.unwrap_or_default()) {
            control::Currency::Unknown => Currency::Unspecified,
            control::Currency::Confirmed => Currency::Confirmed,
            control::Currency::Undecided => Currency::Undecided,
            control::Currency::NoMajority => Currency::NoMajority,
        }
    }

    pub fn propose(&mut self, version: u64, now: Moment, sent: &mut Vec<Message>) {
        let ticket = self.ticket();
        self.proposals.insert(ticket, version);
        let data = Bytes::copy_from_slice(&version.to_le_bytes());
        self.step(now, Event::Propose { ticket, data }, sent);
    }

    pub fn read(&mut self, now: Moment, sent: &mut Vec<Message>) {
        let ticket = self.ticket();
        self.reads.insert(ticket, now);
        self.step(now, Event::Read { ticket }, sent);
    }

    pub fn change(&mut self, change: consensus::Change, now: Moment, sent: &mut Vec<Message>) {
        let ticket = self.ticket();
        self.step(now, Event::Change { ticket, change }, sent);
    }

    pub fn compact(&mut self, now: Moment, sent: &mut Vec<Message>) {
        let Some(index) = self.node.as_ref().map(|node| node.status().applied) else {
            return;
        };
        let data = self.table.map_or_else(Bytes::new, |version| {
            Bytes::copy_from_slice(&version.to_le_bytes())
        });
        self.step(now, Event::Compact { index, data }, sent);
    }

    fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    /// Ends a write that is due, and runs expired timers; returns the accepted versions, as each step
    /// does.
    pub fn advance(&mut self, now: Moment, sent: &mut Vec<Message>) -> Vec<u64> {
        let mut accepted = Vec::new();
        if self.pending.is_some() && now >= self.write_ends {
            let write = self.pending.take().expect("a write");
            store(&mut self.disk, &write, usize::MAX);
            let number = write.number;
            accepted.extend(self.step(now, Event::Persisted { number }, sent));
        }
        if self
            .node
            .as_ref()
            .is_some_and(|node| node.deadline() <= now)
        {
            accepted.extend(self.step(now, Event::Tick, sent));
        }
        accepted
    }

    pub fn step(&mut self, now: Moment, event: Event, sent: &mut Vec<Message>) -> Vec<u64> {
        let mut actions = Vec::new();
        let Some(node) = &mut self.node else {
            return Vec::new();
        };
        node.step(now, event, &mut actions);
        let accepted = actions
            .into_iter()
            .filter_map(|action| self.perform(now, action, sent));
        accepted.collect()
    }

    fn perform(&mut self, now: Moment, action: Action, sent: &mut Vec<Message>) -> Option<u64> {
        match action {
            Action::Persist(write) => {
                self.pending = Some(write);
                self.write_ends = now + self.write_time;
            }
            Action::Send(message) => sent.push(message),
            Action::Install(snapshot) => self.table = decode(&snapshot.data),
            Action::Commit(entries) => {
                for entry in entries {
                    if let Payload::Data(data) = &entry.payload {
                        self.table = self.table.max(decode(data));
                    }
                }
            }
            Action::Committed { ticket, .. } => {
                return self.proposals.remove(&ticket);
            }
            Action::ReadReady { ticket, .. } => {
                self.confirmed = self.confirmed.max(self.reads.remove(&ticket));
            }
            Action::Rejected { ticket, .. } => {
                self.proposals.remove(&ticket);
                self.reads.remove(&ticket);
            }
            Action::Stop(fault) => panic!("replica {} stopped: {fault}", self.id),
            _ => {}
        }
        None
    }
}

fn decode(data: &Bytes) -> Option<u64> {
    let bytes = data.as_ref().try_into().ok()?;
    Some(u64::from_le_bytes(bytes))
}

/// Stores the first `parts` of a write.
fn store(disk: &mut Stored, write: &Write, parts: usize) {
    if parts > 0 {
        disk.hard_state = write.hard_state.unwrap_or(disk.hard_state);
    }
    if parts > 1
        && let Some(snapshot) = &write.snapshot
    {
        disk.snapshot = snapshot.clone();
        let covered = snapshot.position.index;
        if write.truncate.is_none() {
            disk.entries.retain(|entry| entry.index > covered);
        }
    }
    if parts > 2
        && let Some(index) = write.truncate
    {
        disk.entries.retain(|entry| entry.index < index);
    }
    let entries = write.entries.iter().take(parts.saturating_sub(3));
    disk.entries.extend(entries.cloned());
    if parts > 3 + write.entries.len() {
        disk.commit = disk.commit.max(write.commit);
    }
}
