//! What a process believes of its path to the instances of one service.

use std::collections::BTreeSet;

use base::prelude::*;
use strum::EnumString;
use strum::IntoStaticStr;

/// Number of instances that have to fail in a row before the path is checked, if the service has
/// as many.
const MIN_FAILURES: usize = 2;

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

    /// Records that an instance accepted a connection. Returns whether the path was cut before.
    pub fn record_connected(&mut self) -> bool {
        self.failed.clear();
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
    pub fn record_unreached(&mut self, tried: usize) -> bool {
        if self.belief != Belief::Checking {
            return false;
        }
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
