//! The group of replicas, which is itself an entry of the log.

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
    /// Minted with its data folder.
    pub id: ReplicaId,
    /// Where other replicas reach it.
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
    /// A majority of all voters, and one within every region that holds voters and is not evicted.
    EveryRegion,
}

/// The group: who votes, who only learns, and what counts as accepted.
///
/// A replica uses the last one in its log, committed or not. Two that follow
/// each other differ by one voter at most, so their majorities intersect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Replicas that vote and count.
    pub voters: BTreeMap<ReplicaId, Member>,
    /// Replicas that only receive the log.
    pub learners: BTreeMap<ReplicaId, Member>,
    /// The rule of acceptance.
    pub acceptance: Acceptance,
    /// Regions whose majority is not asked for; their voters still count among all.
    pub evicted: BTreeSet<RegionName>,
}

/// One change of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a replica: learner first, voter once it has caught up.
    Add(Member),
    /// Removes a voter or learner.
    Remove(ReplicaId),
    /// Stops asking for a region's majority.
    Evict(RegionName),
    /// Asks for it again.
    Readmit(RegionName),
}

impl Config {
    /// A group of voters alone.
    #[must_use]
    pub fn of_voters(voters: impl IntoIterator<Item = Member>, acceptance: Acceptance) -> Self {
        Self {
            voters: voters.into_iter().map(|m| (m.id, m)).collect(),
            acceptance,
            ..Self::default()
        }
    }

    /// Voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters.values().chain(self.learners.values())
    }

    /// The member of that id.
    #[must_use]
    pub fn member(&self, id: ReplicaId) -> Option<&Member> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Whether the replica votes.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains_key(&id)
    }
}
