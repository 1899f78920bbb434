//! Whether the applied state of a replica is the newest that was acknowledged, as the logs of the
//! members tell it without a leader: a pure state machine.
//!
//! What was acknowledged is in the logs of a majority, so the logs of any other majority hold it,
//! too. If these hold nothing that changes what is in force after the last entry that this replica
//! has applied, nothing newer was acknowledged. If one of them holds more, only a leader decides
//! whether that is accepted: to obey it may have to be undone, and to obey the applied state may
//! show callers an older one than was acknowledged.
//!
//! Silence says nothing: a member may be slow to start. Only if so many disks were lost that no majority
//! of the voters is left, which their hosts say themselves, nobody will ever decide.

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

/// What a replica knows of the state that it has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Currency {
    /// Nothing: it belongs to no group, or it knows a leader, who can confirm the state.
    #[default]
    Unknown,
    /// Nothing newer was acknowledged until the answers were given, within the last second.
    Confirmed,
    /// Something newer may have been acknowledged; a leader will decide.
    Undecided,
    /// Something newer may have been acknowledged, and no leader can be elected any more: the disks of
    /// so many voters are lost that no majority of them is left.
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

/// What the answers of the voters add up to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// The number of voters.
    pub voters: usize,
    /// Voters that have answered, with this replica.
    pub answered: usize,
    /// Voters at whose address a replica without a group answers, as their disk was lost.
    pub lost: usize,
    /// The newest index after which no answering voter's log changes what is in force.
    pub binding: Index,
}

/// The answers of the members since no leader has been known.
#[derive(Clone, Debug, Default)]
pub struct Survey {
    answers: BTreeMap<SocketAddr, Answer>,
}

impl Survey {
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
        self.answers
            .retain(|_, answer| now.since(answer.at) < ANSWER_LIFETIME);
        if own.config.voters.is_empty() {
            return Currency::Unknown;
        }
        let counts = self.counts(own);
        let left = counts.voters - counts.lost;
        if self.has_majority_in_each_config(own) && counts.binding <= applied {
            Currency::Confirmed
        } else if left < quorum::majority(counts.voters) {
            Currency::NoMajority
        } else {
            Currency::Undecided
        }
    }

    /// What the answers of the group of `own` add up to.
    #[must_use]
    pub fn counts(&self, own: &LogReport) -> Counts {
        let mut counts = Counts {
            voters: own.config.voters.len(),
            binding: own.binding,
            ..Counts::default()
        };
        for member in own.config.voters.values() {
            let answer = self.answers.get(&member.address);
            let is_blank = |answer: &Answer| answer.report.config.voters.is_empty();
            counts.lost += usize::from(answer.is_some_and(is_blank));
        }
        for report in self.reports(own) {
            counts.answered += 1;
            counts.binding = counts.binding.max(report.binding);
        }
        counts
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
