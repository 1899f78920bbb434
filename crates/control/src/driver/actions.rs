//! Performs the actions that the replicated log returns.

use std::mem;
use std::time::Duration;

use bytes::Bytes;
use cadence::Counted;
use cadence::Gauged;
use cadence::Timed;
use consensus::Action;
use consensus::Config;
use consensus::ElectionStage;
use consensus::Entry;
use consensus::Event;
use consensus::Index;
use consensus::Payload;
use consensus::Rejection;
use consensus::Snapshot;
use consensus::Status;
use consensus::Term;
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

use crate::driver::Driver;
use crate::driver::DriverError;
use crate::driver::propose::refused;
use crate::state_machine::Output;
use crate::state_machine::StateMachine;
use crate::state_machine::StateMachineError;
use crate::tickets;
use crate::tickets::OpenRequest;

/// Minimum ratio between the log size and the size of the last snapshot before a new
/// snapshot is taken.
const SNAPSHOT_RATIO: usize = 2;

impl Driver {
    pub(super) fn perform_actions(&mut self) {
        // Starting a write frees room for queued commands, which may cause further actions.
        while !self.actions.is_empty() {
            for action in mem::take(&mut self.actions) {
                self.perform(action);
            }
            self.admit_queued();
        }
        let status = self.node.status();
        self.update_group(&status.config);
        self.compact(&status);
    }

    fn perform(&mut self, action: Action) {
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
                self.tickets.complete(ticket, index);
            }
            Action::Rejected { ticket, reason } => self.reject(ticket, &reason),
            Action::LeaderChanged { term, leader } => {
                self.parts.views.send_if_modified(|view| {
                    let before = mem::replace(&mut view.leader, leader.map(|id| id.0));
                    before.is_none() && leader.is_some()
                });
                let leader = leader.map_or(0, |id| id.0);
                info!(self.parts.log, "leadership";
                    "term" => term.0, "leader" => leader, "leads" => leader == self.id().0);
                let _ = self.parts.metrics.count("control.leader.changes", 1);
            }
            Action::Voted { term, candidate } => {
                let last = self.node.status().last;
                info!(self.parts.log, "vote"; "term" => term.0, "candidate" => candidate.0, "last" => last.0);
            }
            Action::ElectionFailed {
                stage,
                term,
                votes,
                attempts,
            } => self.log_failed_election(stage, term, votes, attempts),
            Action::SteppedDown { term, reason } => {
                let reason: &str = reason.into();
                warn!(self.parts.log, "leadership given up"; "term" => term.0, "reason" => reason);
                let _ = self
                    .parts
                    .metrics
                    .count_with_tags("control.leader.given-up", 1)
                    .with_tag("reason", reason)
                    .try_send();
            }
            Action::Stop(fault) => {
                self.failure.get_or_insert(DriverError::Log(fault));
            }
        }
    }

    /// Logs each failed campaign. Pre-votes fail several times a second while no majority can be
    /// reached, so that only the first, second, fourth and so on is logged.
    fn log_failed_election(&self, stage: ElectionStage, term: Term, votes: usize, attempts: u32) {
        let stage_text: &str = stage.into();
        let _ = self
            .parts
            .metrics
            .count_with_tags("control.elections.failed", 1)
            .with_tag("stage", stage_text)
            .try_send();
        if stage == ElectionStage::Campaign || attempts.is_power_of_two() {
            warn!(self.parts.log, "no leader"; "failed" => stage_text, "term" => term.0,
                "votes" => votes, "voters" => self.group.voters.len(), "attempts" => attempts);
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
                self.record_output(entry.index, &output);
                self.tickets.store_output(entry.index, output);
            }
        }
        self.publish();
        let _ = self.parts.metrics.gauge("control.applied", self.applied.0);
        Ok(())
    }

    fn reject(&mut self, ticket: Ticket, reason: &Rejection) {
        match self.tickets.take(ticket) {
            Some(OpenRequest::Command(reply)) => {
                let _ = reply.send(self.declined(reason));
            }
            Some(OpenRequest::Membership(reply, added, _)) => {
                let answer = match (reason, added) {
                    (Rejection::ChangeOpen, Some(id)) if self.group.learners.contains_key(&id) => {
                        self.pending_reply(id)
                    }
                    (Rejection::NotLeader(_) | Rejection::Uncertain | Rejection::Stopped, _) => {
                        self.declined(reason)
                    }
                    _ => refused(reason.into()),
                };
                let _ = reply.send(answer);
            }
            Some(OpenRequest::Read(reply)) => {
                let _ = reply.send(false);
            }
            Some(OpenRequest::Internal) | None => {}
        }
    }

    /// Starts a snapshot of the applied state when the log has grown past the threshold.
    ///
    /// Encoding a large state takes longer than a heartbeat interval, so a copy is
    /// encoded on a blocking thread.
    fn compact(&mut self, status: &Status) {
        let threshold = self
            .parts
            .snapshot_bytes
            .max(self.snapshot_size * SNAPSHOT_RATIO);
        let has_new_entries = status.snapshot < self.applied;
        if status.log_bytes < threshold || !has_new_entries || self.encoding.is_some() {
            return;
        }
        let state_machine = self.parts.state_machine.clone();
        let data = tokio::task::spawn_blocking(move || state_machine.snapshot());
        self.encoding = Some((self.applied, data));
    }

    /// Replaces the compacted part of the log with the encoded snapshot.
    pub(super) fn on_snapshot_encoded(&mut self, data: Result<Bytes, JoinError>) {
        let Some((index, _)) = self.encoding.take() else {
            return;
        };
        // The log is still over the threshold, so a failed encoding is retried.
        let Ok(data) = data else { return };
        self.snapshot_size = data.len();
        info!(self.parts.log, "snapshot"; "event" => "taken",
            "index" => index.0, "bytes" => data.len());
        self.step(Event::Compact { index, data });
    }

    pub(super) fn record_write_time(&self, elapsed: Duration) {
        let _ = self.parts.metrics.time("control.write", elapsed);
    }

    pub(super) fn log_membership(&self, config: &Config) {
        let join_ids = |ids: Vec<String>| ids.join(",");
        let voters = join_ids(config.voters.keys().map(ToString::to_string).collect());
        let learners = join_ids(config.learners.keys().map(ToString::to_string).collect());
        info!(self.parts.log, "membership"; "voters" => voters, "learners" => learners);
    }

    /// Counts outputs, and logs all but the frequent claims and settlements.
    fn record_output(&self, index: Index, output: &Output) {
        match output {
            Output::Change { id, reply } => self.log_change(index, id, reply),
            Output::Claim(reply) => {
                let label = reply.kind.as_ref().map_or("empty", claim_label);
                let _ = self
                    .parts
                    .metrics
                    .count_with_tags("control.claims", 1)
                    .with_tag("reply", label)
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
            Output::Table(reply) => self.log_table(index, reply),
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

    fn log_table(&self, index: Index, reply: &TableReply) {
        let _ = self.parts.metrics.count("control.tables", 1);
        info!(self.parts.log, "route table"; "outcome" => reply.outcome().as_str_name(),
            "version" => reply.version, "index" => index.0);
    }

    /// Logs the route tables in the log that aren't applied yet. Whether they are committed is unknown
    /// until there is a leader.
    pub(super) fn log_unapplied_tables(&self) {
        for entry in self.node.unapplied() {
            let Payload::Data(data) = &entry.payload else {
                continue;
            };
            if let Ok(Some(version)) = StateMachine::proposed_table(data) {
                info!(self.parts.log, "route table"; "outcome" => "logged",
                    "version" => version, "index" => entry.index.0, "term" => entry.term.0);
            }
        }
    }

    fn log_change(&self, index: Index, id: &str, reply: &ChangeReply) {
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

fn claim_label(kind: &claim_reply::Kind) -> &'static str {
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
