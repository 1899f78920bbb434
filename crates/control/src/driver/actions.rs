//! Carries out what the log decides.

use std::mem;
use std::time::Duration;

use bytes::Bytes;
use cadence::Counted;
use cadence::Gauged;
use cadence::Timed;
use consensus::Action;
use consensus::Config;
use consensus::Entry;
use consensus::Event;
use consensus::Index;
use consensus::Payload;
use consensus::Rejection;
use consensus::Snapshot;
use consensus::Status;
use consensus::Ticket;
use slog::info;
use slog::warn;
use tokio::task::JoinError;
use wire::catalogue::ChangeReply;
use wire::catalogue::change_reply;
use wire::hub::TableReply;
use wire::ledger::claim_reply;
use wire::replica::AskReply;
use wire::replica::ask_reply;

use crate::driver::DriverError;
use crate::driver::Task;
use crate::driver::propose::refused;
use crate::input::View;
use crate::state_machine::Output;
use crate::state_machine::StateMachine;
use crate::state_machine::StateMachineError;
use crate::tickets;
use crate::tickets::Open;

/// A snapshot is taken after entries of so many times its own size, too.
const SNAPSHOT_RATIO: usize = 2;

impl Task {
    pub(super) fn act(&mut self) {
        // A write that begins makes room for commands, which may begin the next one.
        while !self.actions.is_empty() {
            for action in mem::take(&mut self.actions) {
                self.carry_out(action);
            }
            self.admit_waiting();
        }
        let status = self.node.status();
        self.follow_group(&status.config);
        self.compact(&status);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Persist(write) => {
                self.admitted = 0;
                self.parts.writer.write(write);
            }
            Action::Send(message) => self.parts.peers.send(message),
            Action::Install(snapshot) => self.install(&snapshot),
            Action::Commit(entries) => {
                if let Err(err) = self.commit(&entries) {
                    self.failure = Some(err.into());
                }
            }
            Action::Committed { ticket, index } | Action::ReadReady { ticket, index } => {
                self.tickets.committed(ticket, index);
            }
            Action::Rejected { ticket, reason } => self.reject(ticket, &reason),
            Action::LeaderChanged { term, leader } => {
                if leader.is_some() {
                    let led = |view: &mut View| !mem::replace(&mut view.led, true);
                    self.parts.views.send_if_modified(led);
                }
                let leader = leader.map_or(0, |id| id.0);
                info!(self.parts.log, "leadership";
                    "term" => term.0, "leader" => leader, "leads" => leader == self.id().0);
                let _ = self.parts.metrics.count("control.leader.changes", 1);
            }
            Action::Stop(fault) => {
                self.failure.get_or_insert(DriverError::Log(fault));
            }
        }
    }

    fn install(&mut self, snapshot: &Snapshot) {
        match StateMachine::restore(&snapshot.data) {
            Ok(state_machine) => {
                self.parts.state_machine = state_machine;
                self.applied = snapshot.position.index;
                self.snapshots += 1;
                self.snapshot_size = snapshot.data.len();
                info!(self.parts.log, "snapshot"; "event" => "installed",
                    "index" => self.applied.0, "bytes" => snapshot.data.len());
                self.publish();
            }
            Err(err) => self.failure = Some(err.into()),
        }
    }

    fn commit(&mut self, entries: &[Entry]) -> Result<(), StateMachineError> {
        for entry in entries {
            self.applied = entry.index;
            if let Payload::Data(data) = &entry.payload {
                let output = self.parts.state_machine.apply(data)?;
                self.note(entry.index, &output);
                self.tickets.keep(entry.index, output);
            }
        }
        self.publish();
        let _ = self.parts.metrics.gauge("control.applied", self.applied.0);
        Ok(())
    }

    fn reject(&mut self, ticket: Ticket, reason: &Rejection) {
        match self.tickets.take(ticket) {
            Some(Open::Command(reply)) => {
                let _ = reply.send(self.declined(reason));
            }
            Some(Open::Group(reply, added, _)) => {
                let answer = match (reason, added) {
                    (Rejection::ChangeOpen, Some(id)) if self.group.learners.contains_key(&id) => {
                        self.pending(id)
                    }
                    (Rejection::NotLeader(_) | Rejection::Uncertain | Rejection::Stopped, _) => {
                        self.declined(reason)
                    }
                    _ => refused(reason.into()),
                };
                let _ = reply.send(answer);
            }
            Some(Open::Read(reply)) => {
                let _ = reply.send(false);
            }
            Some(Open::Own) | None => {}
        }
    }

    /// Begins a snapshot of what is applied when the log has grown.
    ///
    /// A large state takes longer to encode than a heartbeat may wait, so this
    /// is done on a copy by another thread.
    fn compact(&mut self, status: &Status) {
        let enough = self
            .parts
            .snapshot_bytes
            .max(self.snapshot_size * SNAPSHOT_RATIO);
        let fresh = status.snapshot < self.applied;
        if status.log_bytes < enough || !fresh || self.encoding.is_some() {
            return;
        }
        let state_machine = self.parts.state_machine.clone();
        let data = tokio::task::spawn_blocking(move || state_machine.snapshot());
        self.encoding = Some((self.applied, data));
    }

    /// Takes the encoded snapshot in the log's place.
    pub(super) fn encoded(&mut self, data: Result<Bytes, JoinError>) {
        let Some((index, _)) = self.encoding.take() else {
            return;
        };
        // A failed encoding is tried again, as the log is as long as before.
        let Ok(data) = data else { return };
        self.snapshot_size = data.len();
        info!(self.parts.log, "snapshot"; "event" => "taken",
            "index" => index.0, "bytes" => data.len());
        self.step(Event::Compact { index, data });
    }

    pub(super) fn time_write(&self, span: Duration) {
        let _ = self.parts.metrics.time("control.write", span);
    }

    pub(super) fn log_group(&self, config: &Config) {
        let list = |ids: Vec<String>| ids.join(",");
        let voters = list(config.voters.keys().map(ToString::to_string).collect());
        let learners = list(config.learners.keys().map(ToString::to_string).collect());
        info!(self.parts.log, "membership"; "voters" => voters, "learners" => learners);
    }

    /// One line for each change; claims are counted, as they are many.
    fn note(&self, index: Index, output: &Output) {
        match output {
            Output::Change { id, reply } => self.note_change(index, id, reply),
            Output::Claim(reply) => {
                let word = reply.kind.as_ref().map_or("empty", claim_word);
                let _ = self
                    .parts
                    .metrics
                    .count_with_tags("control.claims", 1)
                    .with_tag("reply", word)
                    .try_send();
            }
            Output::Settle(reply) => {
                let _ = self
                    .parts
                    .metrics
                    .count_with_tags("control.settlements", 1)
                    .with_tag("recorded", if reply.recorded { "yes" } else { "no" })
                    .try_send();
            }
            Output::Expire | Output::Instance => {}
            Output::Table(reply) => self.note_table(index, reply),
            Output::Evacuation {
                domain,
                evacuated,
                reply,
            } => {
                let _ = self.parts.metrics.count("control.evacuations", 1);
                info!(self.parts.log, "evacuation"; "domain" => domain,
                    "evacuated" => evacuated, "outcome" => reply.outcome().as_str_name(),
                    "revision" => self.parts.state_machine.evacuations().revision(),
                    "index" => index.0);
            }
        }
    }

    fn note_table(&self, index: Index, reply: &TableReply) {
        let _ = self.parts.metrics.count("control.tables", 1);
        info!(self.parts.log, "route table"; "outcome" => reply.outcome().as_str_name(),
            "version" => reply.version, "index" => index.0);
    }

    fn note_change(&self, index: Index, id: &str, reply: &ChangeReply) {
        let _ = self.parts.metrics.count("control.changes", 1);
        let log = &self.parts.log;
        let index = index.0;
        match &reply.kind {
            Some(change_reply::Kind::Accepted(accepted)) => {
                info!(log, "change"; "id" => id, "outcome" => "accepted",
                    "version" => accepted.version, "index" => index);
            }
            Some(change_reply::Kind::Conflict(conflict)) => {
                info!(log, "change"; "id" => id, "outcome" => "conflict", "base" => conflict.base,
                    "current" => conflict.current, "winner" => &conflict.winner, "index" => index);
            }
            Some(change_reply::Kind::Invalid(invalid)) => {
                info!(log, "change"; "id" => id, "outcome" => "invalid",
                    "faults" => invalid.faults.len(), "index" => index);
            }
            Some(change_reply::Kind::Reused(_)) => {
                info!(log, "change"; "id" => id, "outcome" => "reused", "index" => index);
            }
            Some(change_reply::Kind::Expired(_)) => {
                info!(log, "change"; "id" => id, "outcome" => "expired", "index" => index);
            }
            Some(change_reply::Kind::Uncertain(_)) | None => {
                warn!(log, "change"; "id" => id, "outcome" => "none", "index" => index);
            }
        }
    }

    pub(super) fn declined(&self, reason: &Rejection) -> AskReply {
        let mut kind = tickets::rejected(reason);
        if let ask_reply::Kind::Declined(declined) = &mut kind
            && let Rejection::NotLeader(Some(leader)) = reason
        {
            let address = self.parts.peers.address(*leader);
            declined.address = address.map_or_else(String::new, |a| a.to_string());
        }
        AskReply { kind: Some(kind) }
    }
}

fn claim_word(kind: &claim_reply::Kind) -> &'static str {
    match kind {
        claim_reply::Kind::Granted(_) => "granted",
        claim_reply::Kind::InFlight(_) => "in-flight",
        claim_reply::Kind::Done(_) => "done",
        claim_reply::Kind::Unknown(_) => "unknown",
        claim_reply::Kind::Mismatch(_) => "mismatch",
        claim_reply::Kind::Full(_) => "full",
        claim_reply::Kind::Unreachable(_) => "unreachable",
        claim_reply::Kind::Refused(_) => "refused",
    }
}
