//! The task that owns the replicated log and the applied state.
//!
//! Each iteration drains the input queue, steps the log with every input, and then
//! performs the resulting actions. All inputs that arrive while a write is being synced
//! are therefore batched into the next write.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use cadence::StatsdClient;
use consensus::Action;
use consensus::Config;
use consensus::Entry;
use consensus::Event;
use consensus::Index;
use consensus::Node;
use consensus::Payload;
use consensus::Position;
use consensus::ReplicaId;
use consensus::Role;
use consensus::Stored;
use consensus::Term;
use consensus::WriteNumber;
use quick_error::quick_error;
use slog::Logger;
use slog::error;
use store::StoreError;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinError;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::control::MembershipPending;
use wire::control::Role as WireRole;
use wire::control::Status;
use wire::control::membership_reply;
use wire::replica::Ask;
use wire::replica::AskReply;
use wire::replica::Group;

use crate::convert;
use crate::input::Input;
use crate::input::LogState;
use crate::input::View;
use crate::peers::Peers;
use crate::state_machine::StateMachine;
use crate::state_machine::StateMachineError;
use crate::tickets::OpenRequest;
use crate::tickets::Tickets;
use crate::tickets::membership;
use crate::writer::Reports;
use crate::writer::Writer;
use crate::writer::Written;

mod actions;
mod members;
mod propose;

/// Maximum number of inputs handled per iteration.
const MAX_BATCH: usize = 4096;
/// Number of the write that stores the initial replicas or the founding group; writes of the log
/// start at 1.
const FOUNDING_WRITE: WriteNumber = WriteNumber(0);
/// Interval between checks for expired ledger records and surplus voters.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a request to add a replica is answered as pending.
const PENDING_AFTER: Duration = Duration::from_secs(2);

quick_error! {
    /// Why the driver stopped on its own.
    #[derive(Debug)]
    pub enum DriverError {
        /// A write to the data folder failed.
        Store(err: StoreError) {
            from()
            source(err)
            display("{err}")
        }
        /// A committed entry or a snapshot could not be applied.
        StateMachine(err: StateMachineError) {
            from()
            source(err)
            display("{err}")
        }
        /// The replicated log stopped.
        Log(fault: consensus::Fault) {
            display("replicated log: {fault}")
        }
    }
}

/// Configuration and dependencies of the driver.
pub struct Parts {
    /// Timeouts and limits of the replicated log.
    pub settings: consensus::Settings,
    /// Persistent state recovered from disk.
    pub stored: Stored,
    /// State restored from the recovered snapshot.
    pub state_machine: StateMachine,
    /// Writes to the data folder.
    pub writer: Writer,
    /// Results of writes.
    pub reports: Reports,
    /// Connections to the other replicas.
    pub peers: Peers,
    /// Publishes the applied state.
    pub views: watch::Sender<View>,
    /// Log size in bytes above which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Maximum number of commands per write.
    pub max_write_commands: usize,
    /// The replica has no log and waits for its founding group.
    pub awaits_founding: bool,
    /// Surplus silent voters are removed without an operator.
    pub automatic: bool,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Logger.
    pub log: Logger,
    /// Metrics client.
    pub metrics: Arc<StatsdClient>,
}

/// A write before the replica has a group, and where its end is reported.
enum FoundingWrite {
    /// The initial replicas.
    Initial(oneshot::Sender<bool>),
    /// The founding group.
    Group(Config, oneshot::Sender<bool>),
}

/// The driver task.
pub struct Driver {
    clock: Clock,
    parts: Parts,
    node: Node,
    actions: Vec<Action>,
    tickets: Tickets,
    queued: VecDeque<(Ask, oneshot::Sender<AskReply>)>,
    /// Commands proposed since the last write began.
    admitted: usize,
    founding: Option<FoundingWrite>,
    /// The replica has no log and waits for its founding group; messages are dropped.
    awaits_founding: bool,
    /// Snapshot being encoded, with the index of its last entry.
    encoding: Option<(Index, JoinHandle<Bytes>)>,
    applied: Index,
    /// The result of [`Self::binding_index`], and the end of the log that it was found for.
    binding: Option<(Position, Index)>,
    group: Config,
    next_expiry_check: Moment,
    /// Number of snapshots installed from other replicas.
    snapshots: u64,
    /// Size of the last snapshot in bytes; large states are written less often.
    snapshot_size: usize,
    failure: Option<DriverError>,
}

impl Driver {
    /// Creates the driver without running it.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let clock = Clock::start();
        let node = Node::new(
            parts.settings.clone(),
            parts.stored.clone(),
            parts.seed,
            clock.now(),
        );
        let driver = Self {
            clock,
            node,
            actions: Vec::new(),
            tickets: Tickets::default(),
            queued: VecDeque::new(),
            admitted: 0,
            founding: None,
            awaits_founding: parts.awaits_founding,
            encoding: None,
            applied: parts.stored.snapshot.position.index,
            binding: None,
            group: Config::default(),
            next_expiry_check: clock.now(),
            snapshots: 0,
            snapshot_size: parts.stored.snapshot.data.len(),
            failure: None,
            parts,
        };
        driver.publish();
        driver
    }

    /// Runs until `stop` is cancelled or a failure occurs, then releases the data folder.
    ///
    /// # Errors
    ///
    /// Fails when a write, the log or the state machine fails; nothing is acknowledged afterwards.
    pub async fn run(
        mut self,
        inbox: mpsc::Receiver<Input>,
        stop: CancellationToken,
    ) -> Result<(), DriverError> {
        stop.run_until_cancelled(self.serve(inbox)).await;
        let log = self.parts.log;
        drop(self.parts.writer);
        let mut reports = self.parts.reports;
        // The channel closes once the writer thread has released the data folder.
        while reports.recv().await.is_some() {}
        self.failure.map_or(Ok(()), |err| {
            error!(log, "stopped"; "error" => %err);
            Err(err)
        })
    }

    async fn serve(&mut self, mut inbox: mpsc::Receiver<Input>) {
        // Applies entries that are known to be committed without waiting for a leader.
        self.step(Event::Tick);
        self.perform_actions();
        self.log_unapplied_tables();
        while self.failure.is_none() {
            let wake = self
                .clock
                .instant(self.node.deadline().min(self.next_expiry_check));
            tokio::select! {
                biased;
                report = self.parts.reports.recv() => self.on_write_report(report),
                input = inbox.recv() => {
                    let Some(input) = input else { return };
                    self.handle_input(input);
                    self.drain_inputs(&mut inbox);
                }
                data = encoded(&mut self.encoding) => self.on_snapshot_encoded(data),
                () = tokio::time::sleep_until(wake) => {}
            }
            self.run_timers();
            self.perform_actions();
        }
    }

    fn drain_inputs(&mut self, inbox: &mut mpsc::Receiver<Input>) {
        for _ in 1..MAX_BATCH {
            let Ok(input) = inbox.try_recv() else { return };
            self.handle_input(input);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Messages(..) if self.awaits_founding => {}
            Input::Messages(from, address, messages) => {
                self.parts.peers.learn_address(from, address);
                for message in messages {
                    self.step(Event::Message(message));
                }
            }
            Input::Ask(request, reply) => self.ask(request, reply),
            Input::Read(reply) => {
                let ticket = self.tickets.open(OpenRequest::Read(reply));
                self.step(Event::Read { ticket });
            }
            Input::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Input::LogReport(reply) => {
                let _ = reply.send(self.log_state());
            }
            Input::History(query, reply) => {
                let catalogue_state = self.parts.state_machine.catalogue_state();
                let _ = reply.send(catalogue_state.history(query.from, query.most));
            }
            Input::AwaitFounding(initial, reply) => self.await_founding(initial, reply),
            Input::Found(config, reply) => self.start_founding(config, reply),
            Input::FoundingGroup(reply) => {
                let _ = reply.send(self.founding_group());
            }
            Input::Join => self.awaits_founding = false,
            Input::Transfer => {
                if self.is_leader() {
                    self.step(Event::Transfer);
                }
            }
        }
    }

    fn step(&mut self, event: Event) {
        self.node.step(self.clock.now(), event, &mut self.actions);
    }

    fn run_timers(&mut self) {
        let now = self.clock.now();
        if now >= self.node.deadline() {
            self.step(Event::Tick);
        }
        if now >= self.next_expiry_check {
            self.propose_expiry();
            self.remove_surplus_voter();
        }
        for (reply, id) in self.tickets.take_overdue_additions(now) {
            let _ = reply.send(self.pending_reply(id));
        }
    }

    fn on_write_report(&mut self, report: Option<Result<Written, StoreError>>) {
        // The channel closes without a failure report only when the thread has panicked.
        match report.unwrap_or(Err(StoreError::Stopped)) {
            Ok(written) if written.number == FOUNDING_WRITE => self.finish_founding_write(),
            Ok(written) => {
                self.record_write_time(written.elapsed);
                self.step(Event::Persisted {
                    number: written.number,
                });
            }
            Err(err) => {
                self.failure = Some(err.into());
                self.step(Event::PersistFailed);
            }
        }
    }

    /// Stores the initial replicas and waits for the founding group, unless this replica has a log,
    /// a group or a term, or already waits.
    fn await_founding(&mut self, initial: Vec<String>, reply: oneshot::Sender<bool>) {
        let status = self.node.status();
        let is_blank = status.term == Term::default() && status.config == Config::default();
        if !is_blank || self.awaits_founding || self.founding.is_some() {
            let _ = reply.send(false);
            return;
        }
        self.awaits_founding = true;
        self.parts.writer.write_initial(FOUNDING_WRITE, initial);
        self.founding = Some(FoundingWrite::Initial(reply));
    }

    /// The founding group, unless this replica has none or only a later snapshot.
    fn founding_group(&self) -> Option<Group> {
        let snapshot = &self.parts.stored.snapshot;
        let is_founding = snapshot.position.index.0 == 0 && snapshot.config != Config::default();
        is_founding.then(|| convert::group_to_wire(&snapshot.config))
    }

    /// Accepts the founding group unless this replica already has a log or a group.
    fn start_founding(&mut self, config: Config, reply: oneshot::Sender<bool>) {
        let is_voter = config.is_voter(self.id());
        if !is_voter || !self.awaits_founding || self.founding.is_some() {
            let _ = reply.send(false);
            return;
        }
        let stored = Stored::founding(self.id(), config.clone());
        self.parts.writer.write(consensus::Write {
            number: FOUNDING_WRITE,
            snapshot: Some(stored.snapshot),
            ..consensus::Write::default()
        });
        self.founding = Some(FoundingWrite::Group(config, reply));
    }

    fn finish_founding_write(&mut self) {
        match self.founding.take() {
            Some(FoundingWrite::Initial(reply)) => {
                let _ = reply.send(true);
            }
            Some(FoundingWrite::Group(config, reply)) => self.finish_founding(config, reply),
            None => {}
        }
    }

    /// Restarts the log as a member of the founding group once that group is synced.
    fn finish_founding(&mut self, config: Config, reply: oneshot::Sender<bool>) {
        self.parts.stored = Stored::founding(self.id(), config);
        self.node = Node::new(
            self.parts.settings.clone(),
            self.parts.stored.clone(),
            self.parts.seed,
            self.clock.now(),
        );
        self.actions.clear();
        self.awaits_founding = false;
        let _ = reply.send(true);
    }

    fn id(&self) -> ReplicaId {
        self.parts.stored.id
    }

    fn is_leader(&self) -> bool {
        self.node.role() == Role::Leader
    }

    fn pending_reply(&self, id: ReplicaId) -> AskReply {
        let behind = self.node.replication_lag(id).unwrap_or_default();
        membership(membership_reply::Kind::Pending(MembershipPending {
            behind,
        }))
    }

    fn status(&self) -> Status {
        let status = self.node.status();
        let is_voter = status.config.is_voter(status.id);
        let role = match status.role {
            Role::Leader => WireRole::Leader,
            Role::PreCandidate | Role::Candidate => WireRole::Candidate,
            Role::Follower if is_voter => WireRole::Follower,
            Role::Follower => WireRole::Learner,
        };
        Status {
            id: status.id.0,
            role: role.into(),
            term: status.term.0,
            leader: status.leader.map_or(0, |id| id.0),
            commit: status.commit.0,
            applied: self.applied.0,
            version: self
                .parts
                .state_machine
                .catalogue_state()
                .catalogue()
                .version,
            first_index: status.first.0,
            replicas: convert::replicas(&status.config),
            ledger_keys: self.parts.state_machine.ledger().counts().records as u64,
        }
    }

    fn log_state(&mut self) -> LogState {
        let status = self.node.status();
        LogState {
            binding: self.binding_index(&status),
            applied: self.applied,
            has_leader: status.leader.is_some(),
            config: status.config,
        }
    }

    /// The index of the newest entry that changes what is in force, or a later one. Found again only
    /// when the log has changed, as entries are decoded for it.
    fn binding_index(&mut self, status: &consensus::Status) -> Index {
        let last = Position {
            term: self.node.term_at(status.last).unwrap_or_default(),
            index: status.last,
        };
        match self.binding {
            Some((at, index)) if at == last => index,
            _ => {
                let is_binding = |entry: &Entry| match &entry.payload {
                    Payload::Data(data) => StateMachine::is_binding(data),
                    Payload::Noop | Payload::Config(_) => false,
                };
                let index = self.node.newest_match(is_binding);
                self.binding = Some((last, index));
                index
            }
        }
    }

    fn publish(&self) {
        let catalogue = self.parts.state_machine.catalogue_state().catalogue();
        self.parts.views.send_if_modified(|view| {
            let new_catalogue = catalogue.version > view.catalogue.version;
            if new_catalogue {
                view.catalogue = Arc::new(catalogue.to_wire());
            }
            let table = self.parts.state_machine.table();
            let version = |table: Option<&Arc<wire::hub::Table>>| table.map(|table| table.version);
            let new_table = version(table) > version(view.table.as_ref());
            if new_table {
                view.table = table.cloned();
            }
            let registry = self.parts.state_machine.registry();
            let new_numbering = self.snapshots != view.snapshots;
            let new_registry = new_numbering || registry.cursor() != view.registry.cursor();
            if new_registry {
                view.registry = Arc::clone(registry);
                view.announced = self.applied.0;
                view.snapshots = self.snapshots;
            }
            let evacuations = self.parts.state_machine.evacuations();
            let new_evacuations = evacuations.revision() > view.evacuations.revision();
            if new_evacuations {
                view.evacuations = Arc::clone(evacuations);
            }
            new_catalogue || new_table || new_registry || new_evacuations
        });
    }

    /// Connects to the members of `config` when it differs from the current group.
    fn update_group(&mut self, config: &Config) {
        if *config != self.group {
            self.parts.peers.set_group(config);
            self.log_membership(config);
            self.group = config.clone();
        }
    }
}

/// Waits for the snapshot that is being encoded; never returns when there is none.
async fn encoded(encoding: &mut Option<(Index, JoinHandle<Bytes>)>) -> Result<Bytes, JoinError> {
    match encoding {
        Some((_, data)) => data.await,
        None => std::future::pending().await,
    }
}
