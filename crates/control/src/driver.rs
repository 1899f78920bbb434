//! The task that owns the replicated log and the applied state.
//!
//! It takes what waits in its queue, steps the log with all of it, and then
//! carries out the actions. So everything that came while a write was being
//! synced shares the next write.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use bytes::Bytes;
use cadence::StatsdClient;
use consensus::Action;
use consensus::Config;
use consensus::Event;
use consensus::Index;
use consensus::Node;
use consensus::ReplicaId;
use consensus::Role;
use consensus::Stored;
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

use crate::convert;
use crate::input::Input;
use crate::input::View;
use crate::peers::Peers;
use crate::state_machine::StateMachine;
use crate::state_machine::StateMachineError;
use crate::tickets::Open;
use crate::tickets::Tickets;
use crate::tickets::membership;
use crate::writer::Reports;
use crate::writer::Writer;
use crate::writer::Written;

mod actions;
mod members;
mod propose;

/// Inputs taken in one go.
const MAX_TAKEN: usize = 4096;
/// Number of the write that founds a group; the log's own start at 1.
const FOUNDING: WriteNumber = WriteNumber(0);
/// Between two checks of the ledger's due records.
const EXPIRY: Duration = Duration::from_millis(250);
/// After this long an addition is answered as pending.
const PENDING_AFTER: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a replica stops by itself.
    #[derive(Debug)]
    pub enum DriverError {
        /// The data folder.
        Store(err: StoreError) {
            from()
            source(err)
            display("{err}")
        }
        /// The applied state.
        StateMachine(err: StateMachineError) {
            from()
            source(err)
            display("{err}")
        }
        /// The replicated log.
        Log(fault: consensus::Fault) {
            display("replicated log: {fault}")
        }
    }
}

/// What the task is made of.
pub struct Parts {
    /// The log's times and bounds.
    pub settings: consensus::Settings,
    /// What the disk held.
    pub stored: Stored,
    /// The state that the snapshot led to.
    pub state_machine: StateMachine,
    /// The data folder.
    pub writer: Writer,
    /// What became of writes.
    pub reports: Reports,
    /// The other replicas.
    pub peers: Peers,
    /// Where the catalogue is published.
    pub views: watch::Sender<View>,
    /// Bytes of entries after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Most commands that share one sync.
    pub group: usize,
    /// The replica is one of a founding group that it wasn't handed yet.
    pub unfounded: bool,
    /// Replicas are taken in and let go without an operator.
    pub automatic: bool,
    /// For election timeouts.
    pub seed: u64,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Arc<StatsdClient>,
}

/// The task's state.
pub struct Task {
    clock: Clock,
    parts: Parts,
    node: Node,
    actions: Vec<Action>,
    tickets: Tickets,
    waiting: VecDeque<(Ask, oneshot::Sender<AskReply>)>,
    /// Commands stepped since the last write began.
    admitted: usize,
    founding: Option<(Config, oneshot::Sender<bool>)>,
    /// The replica may yet be handed a founding group, and takes no message before.
    unfounded: bool,
    /// A snapshot that is being encoded, and its last entry.
    encoding: Option<(Index, JoinHandle<Bytes>)>,
    applied: Index,
    group: Config,
    next_expiry: Moment,
    /// Snapshots of others that were installed.
    snapshots: u64,
    /// Bytes of the last snapshot, so that large states are written less often.
    snapshot_size: usize,
    failure: Option<DriverError>,
}

impl Task {
    /// The task before its first step.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let clock = Clock::start();
        let node = Node::new(
            parts.settings.clone(),
            parts.stored.clone(),
            parts.seed,
            clock.now(),
        );
        let task = Self {
            clock,
            node,
            actions: Vec::new(),
            tickets: Tickets::default(),
            waiting: VecDeque::new(),
            admitted: 0,
            founding: None,
            unfounded: parts.unfounded,
            encoding: None,
            applied: parts.stored.snapshot.position.index,
            group: Config::default(),
            next_expiry: clock.now(),
            snapshots: 0,
            snapshot_size: parts.stored.snapshot.data.len(),
            failure: None,
            parts,
        };
        task.publish();
        task
    }

    /// Runs until told to stop or a failure stops it; the data folder is free then.
    ///
    /// # Errors
    ///
    /// Fails when the disk or the log does; nothing is acknowledged after that.
    pub async fn run(
        mut self,
        inbox: mpsc::Receiver<Input>,
        end: CancellationToken,
    ) -> Result<(), DriverError> {
        end.run_until_cancelled(self.serve(inbox)).await;
        let log = self.parts.log;
        drop(self.parts.writer);
        let mut reports = self.parts.reports;
        // The thread's end of the queue closes after its folder was released.
        while reports.recv().await.is_some() {}
        self.failure.map_or(Ok(()), |err| {
            error!(log, "stopped"; "error" => %err);
            Err(err)
        })
    }

    async fn serve(&mut self, mut inbox: mpsc::Receiver<Input>) {
        // What the disk says is committed is applied before a leader is there.
        self.step(Event::Tick);
        self.act();
        while self.failure.is_none() {
            let wake = self
                .clock
                .instant(self.node.deadline().min(self.next_expiry));
            tokio::select! {
                biased;
                report = self.parts.reports.recv() => self.written(report),
                input = inbox.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                    self.take_more(&mut inbox);
                }
                data = encoded(&mut self.encoding) => self.encoded(data),
                () = tokio::time::sleep_until(wake) => {}
            }
            self.pass_time();
            self.act();
        }
    }

    fn take_more(&mut self, inbox: &mut mpsc::Receiver<Input>) {
        for _ in 1..MAX_TAKEN {
            let Ok(input) = inbox.try_recv() else { return };
            self.take(input);
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Messages(..) if self.unfounded => {}
            Input::Messages(from, address, messages) => {
                self.parts.peers.note(from, address);
                for message in messages {
                    self.step(Event::Message(message));
                }
            }
            Input::Ask(ask, reply) => self.ask(ask, reply),
            Input::Read(reply) => {
                let ticket = self.tickets.open(Open::Read(reply));
                self.step(Event::Read { ticket });
            }
            Input::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Input::History(query, reply) => {
                let book = self.parts.state_machine.book();
                let _ = reply.send(book.history(query.from, query.most));
            }
            Input::Found(config, reply) => self.found(config, reply),
            Input::Join => self.unfounded = false,
            Input::Transfer => {
                if self.leads() {
                    self.step(Event::Transfer);
                }
            }
        }
    }

    fn step(&mut self, event: Event) {
        self.node.step(self.clock.now(), event, &mut self.actions);
    }

    fn pass_time(&mut self) {
        let now = self.clock.now();
        if now >= self.node.deadline() {
            self.step(Event::Tick);
        }
        if now >= self.next_expiry {
            self.expire();
            self.trim();
        }
        for (reply, id) in self.tickets.pending(now) {
            let _ = reply.send(self.pending(id));
        }
    }

    fn written(&mut self, report: Option<Result<Written, StoreError>>) {
        // A thread that ended without a report has panicked.
        match report.unwrap_or(Err(StoreError::Stopped)) {
            Ok(written) if written.number == FOUNDING => self.founded(),
            Ok(written) => {
                self.time_write(written.span);
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

    /// Takes the founding group, unless there is a log or another group.
    fn found(&mut self, config: Config, reply: oneshot::Sender<bool>) {
        let own = config.is_voter(self.id());
        if !own || !self.unfounded || self.founding.is_some() {
            let _ = reply.send(false);
            return;
        }
        let stored = Stored::founding(self.id(), config.clone());
        self.parts.writer.write(consensus::Write {
            number: FOUNDING,
            snapshot: Some(stored.snapshot),
            ..consensus::Write::default()
        });
        self.founding = Some((config, reply));
    }

    /// The founding group is synced: the replica starts as its member.
    fn founded(&mut self) {
        let Some((config, reply)) = self.founding.take() else {
            return;
        };
        self.parts.stored = Stored::founding(self.id(), config);
        self.node = Node::new(
            self.parts.settings.clone(),
            self.parts.stored.clone(),
            self.parts.seed,
            self.clock.now(),
        );
        self.actions.clear();
        self.unfounded = false;
        let _ = reply.send(true);
    }

    fn id(&self) -> ReplicaId {
        self.parts.stored.id
    }

    fn leads(&self) -> bool {
        self.node.role() == Role::Leader
    }

    fn pending(&self, id: ReplicaId) -> AskReply {
        let behind = self.node.behind(id).unwrap_or_default();
        membership(membership_reply::Kind::Pending(MembershipPending {
            behind,
        }))
    }

    fn status(&self) -> Status {
        let status = self.node.status();
        let own = status.config.is_voter(status.id);
        let role = match status.role {
            Role::Leader => WireRole::Leader,
            Role::PreCandidate | Role::Candidate => WireRole::Candidate,
            Role::Follower if own => WireRole::Follower,
            Role::Follower => WireRole::Learner,
        };
        Status {
            id: status.id.0,
            role: role.into(),
            term: status.term.0,
            leader: status.leader.map_or(0, |id| id.0),
            commit: status.commit.0,
            applied: self.applied.0,
            version: self.parts.state_machine.book().catalogue().version,
            first_index: status.first.0,
            replicas: convert::replicas(&status.config),
            ledger_keys: self.parts.state_machine.ledger().counts().records as u64,
        }
    }

    fn publish(&self) {
        let catalogue = self.parts.state_machine.book().catalogue();
        self.parts.views.send_if_modified(|view| {
            let newer = catalogue.version > view.catalogue.version;
            if newer {
                view.catalogue = Arc::new(catalogue.to_wire());
            }
            let table = self.parts.state_machine.table();
            let routed = table.version > view.table.version;
            if routed {
                view.table = Arc::clone(table);
            }
            let registry = self.parts.state_machine.registry();
            let renumbered = self.snapshots != view.snapshots;
            let announced = renumbered || registry.cursor() != view.registry.cursor();
            if announced {
                view.registry = Arc::clone(registry);
                view.announced = self.applied.0;
                view.snapshots = self.snapshots;
            }
            let evacuations = self.parts.state_machine.evacuations();
            let ordered = evacuations.revision() > view.evacuations.revision();
            if ordered {
                view.evacuations = Arc::clone(evacuations);
            }
            newer || routed || announced || ordered
        });
    }

    /// Connects to the members of the group in force.
    fn follow_group(&mut self, config: &Config) {
        if *config != self.group {
            self.parts.peers.set_group(config);
            self.log_group(config);
            self.group = config.clone();
        }
    }
}

/// The encoded snapshot, once there is one.
async fn encoded(encoding: &mut Option<(Index, JoinHandle<Bytes>)>) -> Result<Bytes, JoinError> {
    match encoding {
        Some((_, data)) => data.await,
        None => std::future::pending().await,
    }
}
