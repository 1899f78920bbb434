//! What a process believes of its path to the instances of one service.

use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;
use strum::EnumString;
use strum::IntoStaticStr;

/// Number of instances that have to fail in a row before the path is checked, if the service has
/// as many.
const MIN_FAILURES: usize = 2;
/// Time for which a connection that an instance accepted proves the path.
const PROOF_TIME: Duration = Duration::from_secs(1);

/// State of the path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Belief {
    /// Instances accept connections, as far as is known.
    #[default]
    Reached,
    /// Several instances in a row have failed; others are being checked.
    Checking,
    /// No instance accepts connections, though they send heartbeats.
    CutOff,
}

/// Whether a process reaches the instances of a service.
#[derive(Clone, Debug, Default)]
pub struct Path {
    belief: Belief,
    /// Instances that have failed since one last accepted a connection.
    failed: BTreeSet<InstanceId>,
    /// When an instance last accepted a connection.
    connected_at: Option<Moment>,
    /// When the path was found to be cut.
    cut_at: Option<Moment>,
}

impl Path {
    /// The current belief.
    #[must_use]
    pub fn belief(&self) -> Belief {
        self.belief
    }

    /// Number of instances that have failed since one last accepted a connection.
    #[must_use]
    pub fn failures(&self) -> usize {
        self.failed.len()
    }

    /// Whether an instance has accepted a connection lately.
    #[must_use]
    pub fn is_proven(&self, now: Moment) -> bool {
        let is_recent = |at| now.since(at) < PROOF_TIME;
        self.belief != Belief::CutOff && self.connected_at.is_some_and(is_recent)
    }

    /// Whether the path counts as good though no instance has accepted a connection lately.
    #[must_use]
    pub fn is_unproven(&self, now: Moment) -> bool {
        self.belief == Belief::Reached && !self.is_proven(now)
    }

    /// When the path was found to be cut, while it is.
    #[must_use]
    pub fn cut_at(&self) -> Option<Moment> {
        self.cut_at.filter(|_| self.belief == Belief::CutOff)
    }

    /// Records that an instance accepted a connection. Returns whether the path was cut before.
    pub fn record_connected(&mut self, now: Moment) -> bool {
        self.failed.clear();
        self.connected_at = Some(now);
        std::mem::take(&mut self.belief) == Belief::CutOff
    }

    /// Records that `instance`, one of `announced`, accepted no connection or didn't answer.
    /// Returns whether the path has to be checked.
    pub fn record_failed(&mut self, instance: &InstanceId, announced: usize) -> bool {
        if self.belief != Belief::Reached {
            return false;
        }
        self.failed.insert(instance.clone());
        if self.failed.len() < MIN_FAILURES.min(announced) {
            return false;
        }
        self.begin_check()
    }

    /// Starts a check for another reason. Returns false if one is in progress or the path is cut.
    pub fn begin_check(&mut self) -> bool {
        let starts = self.belief == Belief::Reached;
        if starts {
            self.belief = Belief::Checking;
        }
        starts
    }

    /// Records that a check of `tried` instances found none that accepts a connection. Returns
    /// whether the path is cut.
    pub fn record_unreached(&mut self, tried: usize, now: Moment) -> bool {
        if self.belief != Belief::Checking {
            return false;
        }
        self.cut_at = Some(now);
        // Without an instance that sends heartbeats, nothing speaks for a fault of the path.
        self.belief = if tried == 0 {
            Belief::Reached
        } else {
            Belief::CutOff
        };
        self.failed.clear();
        self.belief == Belief::CutOff
    }
}
