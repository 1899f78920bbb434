//! Group configuration, which is replicated as log entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::entry::ReplicaId;

/// One replica of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Generated when its data folder is created.
    pub id: ReplicaId,
    /// The address at which other replicas reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}

/// Which voters must have synced an entry before it is committed.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Acceptance {
    /// A majority of all voters.
    #[default]
    Majority,
    /// A majority of all voters, and a majority within every region that has voters and is not evicted.
    EveryRegion,
}

/// A group configuration: voters, learners and the acceptance rule.
///
/// A replica uses the last configuration in its log, committed or not. Consecutive
/// configurations differ by at most one voter, so their majorities intersect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Replicas that vote and count towards quorums.
    pub voters: BTreeMap<ReplicaId, Member>,
    /// Replicas that receive the log without voting.
    pub learners: BTreeMap<ReplicaId, Member>,
    /// The acceptance rule.
    pub acceptance: Acceptance,
    /// Regions whose own majority is not required; their voters still count in the overall majority.
    pub evicted: BTreeSet<RegionName>,
}

/// A configuration change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a replica as a learner, which is promoted to voter once it has caught up.
    Add(Member),
    /// Removes a voter or learner.
    Remove(ReplicaId),
    /// Stops requiring a region's majority.
    Evict(RegionName),
    /// Requires an evicted region's majority again.
    Readmit(RegionName),
}

impl Config {
    /// Creates a configuration of voters without learners.
    #[must_use]
    pub fn of_voters(voters: impl IntoIterator<Item = Member>, acceptance: Acceptance) -> Self {
        Self {
            voters: voters.into_iter().map(|m| (m.id, m)).collect(),
            acceptance,
            ..Self::default()
        }
    }

    /// Iterates over voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters.values().chain(self.learners.values())
    }

    /// Returns the voter or learner with this id.
    #[must_use]
    pub fn member(&self, id: ReplicaId) -> Option<&Member> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Returns whether the replica is a voter.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains_key(&id)
    }
}
