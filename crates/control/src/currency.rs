//! Whether the applied state of a replica is the newest that was acknowledged, as the logs of the
//! members tell it without a leader: a pure state machine.
//!
//! What was acknowledged is in the logs of a majority, so the logs of any other majority hold it,
//! too. If these hold nothing that changes what is in force after the last entry that this replica
//! has applied, nothing newer was acknowledged. If one of them holds more, only a leader decides
//! whether that is accepted: to obey it may have to be undone, and to obey the applied state may
//! show callers an older one than was acknowledged.
//!
//! While no majority can be reached, nothing can be decided, and nothing is acknowledged.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use consensus::Config;
use consensus::Index;
use consensus::ReplicaId;
use consensus::quorum;
use strum::IntoStaticStr;

/// Time for which an answer counts. A member is asked again every 50 ms, and a slow one answers
/// within 500 ms.
const ANSWER_LIFETIME: Duration = Duration::from_secs(1);
/// Time without answers from a majority of the hosts after which these count as lost. Members that
/// start together are listening by then.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a replica knows of the state that it has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Currency {
    /// Nothing: it belongs to no group, or it knows a leader, who can confirm the state.
    #[default]
    Unknown,
    /// Nothing newer was acknowledged.
    Newest,
    /// Something newer may have been acknowledged; a leader is about to decide.
    Undecided,
    /// Something newer may have been acknowledged, and no leader can be elected: most hosts are
    /// silent, or the disks of so many are lost that no majority of the voters is left.
    NoMajority,
}

/// What a member's log holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogReport {
    /// The id of the replica that answers at the member's address.
    pub id: ReplicaId,
    /// The newest configuration in its log.
    pub config: Config,
    /// No entry of its log after this index changes what is in force.
    pub binding: Index,
}

#[derive(Clone, Debug)]
struct Answer {
    at: Moment,
    report: LogReport,
}

/// Which part of the group has answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attendance {
    /// The number of voters.
    pub voters: usize,
    /// Hosts that answer, with the replica's own.
    pub hosts: usize,
    /// Hosts of voters at which a replica of another id answers, as their disk was lost.
    pub lost: usize,
    /// The newest index after which no answering voter's log changes what is in force.
    pub binding: Index,
}

/// The answers of the members since no leader has been known.
#[derive(Clone, Debug)]
pub struct Survey {
    answers: BTreeMap<SocketAddr, Answer>,
    /// The hosts that are or were members of the group. A host whose disk was lost may have been
    /// removed to be taken in anew, and runs all the same.
    known_hosts: BTreeSet<SocketAddr>,
    /// When a majority could last be reached, or the survey began.
    majority_at: Moment,
}

impl Survey {
    /// Begins at `now`, without any answer.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            answers: BTreeMap::new(),
            known_hosts: BTreeSet::new(),
            majority_at: now,
        }
    }

    /// Adds hosts that are or were members of the group.
    pub fn add_hosts(&mut self, hosts: impl IntoIterator<Item = SocketAddr>) {
        self.known_hosts.extend(hosts);
    }

    /// The hosts that are or were members of the group.
    #[must_use]
    pub fn known_hosts(&self) -> &BTreeSet<SocketAddr> {
        &self.known_hosts
    }

    /// Records the answer of the replica at `address` to a question asked at `asked_at`.
    pub fn record(&mut self, asked_at: Moment, address: SocketAddr, report: LogReport) {
        let answer = Answer {
            at: asked_at,
            report,
        };
        self.answers.insert(address, answer);
    }

    /// What the answers say of the state that this replica has applied up to `applied`; `own` is its
    /// own log.
    pub fn currency(&mut self, now: Moment, own: &LogReport, applied: Index) -> Currency {
        self.add_hosts(own.config.members().map(|member| member.address));
        self.answers
            .retain(|_, answer| now.since(answer.at) < ANSWER_LIFETIME);
        if own.config.voters.is_empty() {
            return Currency::Unknown;
        }
        let attendance = self.attendance(own);
        let majority = quorum::majority(attendance.voters);
        let is_electable = attendance.hosts >= quorum::majority(self.known_hosts.len())
            && attendance.voters - attendance.lost >= majority;
        if is_electable {
            self.majority_at = now;
        }
        if self.has_majority_in_each_config(own) {
            if attendance.binding <= applied {
                return Currency::Newest;
            }
            return Currency::Undecided;
        }
        if now.since(self.majority_at) >= ABSENCE_TIMEOUT {
            Currency::NoMajority
        } else {
            Currency::Undecided
        }
    }

    /// Which part of the group of `own` has answered.
    #[must_use]
    pub fn attendance(&self, own: &LogReport) -> Attendance {
        let mut attendance = Attendance {
            voters: own.config.voters.len(),
            binding: own.binding,
            ..Attendance::default()
        };
        // The own host doesn't ask itself.
        attendance.hosts = self.answers.len() + 1;
        for member in own.config.voters.values() {
            let answer = self.answers.get(&member.address);
            let is_other = answer.is_some_and(|answer| answer.report.id != member.id);
            attendance.lost += usize::from(is_other);
        }
        for report in self.reports(own) {
            attendance.binding = attendance.binding.max(report.binding);
        }
        attendance
    }

    /// Whether a majority of the voters has answered, in each configuration that one of them has.
    ///
    /// A configuration follows from the one before by one change, and their majorities intersect. So
    /// if the group has a newer configuration, one of those who answer has the next one.
    fn has_majority_in_each_config(&self, own: &LogReport) -> bool {
        let ids: BTreeSet<ReplicaId> = self.reports(own).map(|report| report.id).collect();
        let configs = self.reports(own).map(|report| &report.config);
        configs
            .chain([&own.config])
            .all(|config| quorum::has_election_quorum(config, |id| ids.contains(&id)))
    }

    /// The reports of the voters that have answered, and `own` if this replica votes.
    fn reports<'a>(&'a self, own: &'a LogReport) -> impl Iterator<Item = &'a LogReport> {
        let answers = self.answers.values().map(|answer| &answer.report);
        answers
            .filter(|report| report.id != own.id)
            .chain([own])
            .filter(|report| report.config.is_voter(report.id))
    }
}
