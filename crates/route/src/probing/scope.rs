//! Choices among a part of the service's instances.

use std::time::Duration;

use base::prelude::*;

use crate::cost::Need;
use crate::instance::Pick;

use super::ProbingChooser;
use super::entry::Entry;
use super::entry::MAX_FRESH_AGE;

/// Age below which a report counts as fresh for a choice within a part while few probes are left.
/// The dispatcher of a part knows the requests in flight exactly, so that a report tells it only
/// the pace, which holds for some 300 ms. The age bounds the probes of one instance to 25 a second.
const MAX_FRESH_AGE_IN_PART: Duration = Duration::from_millis(40);
/// Cost of a new connection, as a fraction of the request's worth. It exceeds the random part of
/// the cost, and decides only between instances that are equally good otherwise.
const CONNECT_COST: f64 = 0.02;
/// Added to the probe rank of an instance without an idle connection.
const CONNECT_RANK_PENALTY: f64 = 0.15;

/// The instances that a choice is restricted to, and those that it prefers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scope {
    /// The part, as numbered by [`ProbingChooser::set_parts`]; `None` for all instances.
    pub part: Option<usize>,
    /// The share of the probes that can be saved which is saved now.
    pub saved_probes: f64,
    /// Instances to which the process that sends the request has idle connections. If there are
    /// none, connections don't count.
    pub connected: Vec<Pick>,
}

impl ProbingChooser {
    /// Sets the part of each instance.
    pub fn set_parts(&mut self, part_of: impl Fn(&InstanceId) -> Option<usize>) {
        for entry in &mut self.entries {
            entry.part = part_of(&entry.instance.id);
        }
    }

    /// Sets the scope of the following choices and plans.
    pub fn set_scope(&mut self, scope: Scope) {
        self.scope = scope;
    }

    /// The part of an instance.
    #[must_use]
    pub fn part(&self, pick: Pick) -> Option<usize> {
        let entry = self.entries.get(pick.index as usize)?;
        entry.part.filter(|_| entry.generation == pick.generation)
    }

    /// Slots of the instances of a part that take requests, and the requests there, as far as this
    /// process knows.
    #[must_use]
    pub fn part_load(&self, now: Moment, part: usize) -> (u32, u32) {
        let entries = self.entries.iter();
        let usable = entries.filter(|entry| entry.part == Some(part) && self.takes(now, entry));
        let (mut slots, mut busy) = (0, 0.0);
        for entry in usable {
            let state = entry.state(now, self.averages);
            slots += entry.instance.slots;
            busy += state.busy;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive number"
        )]
        let busy = busy.round() as u32;
        (slots, busy)
    }

    pub(super) fn is_in_scope(&self, entry: &Entry) -> bool {
        self.scope.part.is_none_or(|part| entry.part == Some(part))
    }

    /// Whether a report of the entry is fresh for the current scope.
    pub(super) fn is_fresh(&self, now: Moment, entry: &Entry) -> bool {
        entry.age(now).is_some_and(|age| age < self.fresh_age())
    }

    /// Whether the dispatcher of a part needs no report to know that the instance has no room: its
    /// own grants use the slots that the request may use. Otherwise, requests that wait under
    /// overload would spend the probes that find the instances with a free slot.
    pub(super) fn is_known_full(&self, entry: &Entry, need: &Need) -> bool {
        let slots = f64::from(entry.instance.slots.max(1));
        let own = f64::from(u32::try_from(entry.starts.len()).unwrap_or(u32::MAX));
        self.scope.part.is_some() && own + 1.0 > (slots * need.max_occupancy).max(1.0)
    }

    /// Age below which a report counts as fresh. Within a part it rises as probes run out: without
    /// a probe, an instance whose report is old counts as full.
    pub(super) fn fresh_age(&self) -> Duration {
        match self.scope.part {
            Some(_) => {
                let saved = self.scope.saved_probes.clamp(0.0, 1.0);
                MAX_FRESH_AGE.mul_f64(saved) + MAX_FRESH_AGE_IN_PART.mul_f64(1.0 - saved)
            }
            None => MAX_FRESH_AGE,
        }
    }

    /// Number of equal shares of the slots, of which this process may use one without reports. The
    /// dispatcher of a part leaves half of them to the processes that choose by themselves.
    pub(super) fn sharers(&self) -> u32 {
        match self.scope.part {
            Some(_) => 2,
            None => self.processes,
        }
    }

    /// Cost of the connection that a request to this instance needs.
    pub(super) fn connect_cost(&self, index: usize) -> f64 {
        if self.needs_connection(index) {
            CONNECT_COST
        } else {
            0.0
        }
    }

    /// What the probe rank of this instance rises by for the connection that a request needs.
    pub(super) fn connect_rank(&self, index: usize) -> f64 {
        if self.needs_connection(index) {
            CONNECT_RANK_PENALTY
        } else {
            0.0
        }
    }

    fn needs_connection(&self, index: usize) -> bool {
        let connected = &self.scope.connected;
        !connected.is_empty() && !connected.contains(&self.pick(index))
    }
}
