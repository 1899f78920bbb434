//! Limits that instances name, which the processes share.

use base::prelude::*;
use limit::Pacer;
use limit::RequestRate;

use crate::instance::Pick;

use super::ProbingChooser;
use super::entry::Entry;

/// The limit of one instance, and this process's share of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    rate: RequestRate,
    /// Revision of the process list by which the share was computed; `None` before that.
    list_revision: Option<u64>,
    pacer: Pacer,
}

impl Limit {
    /// When this process may send the next request; `None` if never.
    pub(super) fn next_start(&self) -> Option<Moment> {
        self.list_revision?;
        self.pacer.next_start()
    }
}

impl Entry {
    /// Whether this process may send a request now, as far as the instance's limit is concerned.
    pub(super) fn is_within_limit(&self, now: Moment) -> bool {
        let Some(limit) = &self.limit else {
            return true;
        };
        limit.next_start().is_some_and(|at| at <= now)
    }

    /// Counts a request to the instance against this process's share of its limit.
    pub(super) fn pace_start(&mut self, now: Moment) {
        if let Some(limit) = &mut self.limit {
            limit.pacer.record_start(now);
        }
    }
}

impl ProbingChooser {
    /// Sets the instance's limit, or removes it. This process sends nothing to the instance until
    /// its share of a new limit is set.
    pub fn set_limit(&mut self, now: Moment, pick: Pick, rate: Option<RequestRate>) {
        let Some(entry) = self.entry(pick) else {
            return;
        };
        entry.limit = match (entry.limit, rate) {
            (Some(limit), Some(rate)) if limit.rate == rate => Some(limit),
            (Some(limit), Some(rate)) => Some(Limit {
                rate,
                list_revision: None,
                ..limit
            }),
            (None, Some(rate)) => Some(Limit {
                rate,
                list_revision: None,
                pacer: Pacer::new(now, RequestRate::ZERO),
            }),
            (_, None) => None,
        };
    }

    /// The limited instances for which this process's share by the given process list isn't set,
    /// with their limits.
    #[must_use]
    pub fn limits_without_share(&self, list_revision: u64) -> Vec<(Pick, RequestRate)> {
        let entries = self.entries.iter().enumerate();
        let lacking = entries.filter_map(|(index, entry)| {
            let limit = entry.limit.as_ref()?;
            let lacks = entry.is_ready() && limit.list_revision != Some(list_revision);
            lacks.then(|| (self.pick(index), limit.rate))
        });
        lacking.collect()
    }

    /// Sets the rate at which this process may send to a limited instance.
    pub fn set_limit_share(
        &mut self,
        now: Moment,
        pick: Pick,
        list_revision: u64,
        share: RequestRate,
    ) {
        let entry = self.entry(pick);
        if let Some(limit) = entry.and_then(|entry| entry.limit.as_mut()) {
            limit.list_revision = Some(list_revision);
            limit.pacer.set_rate(now, share);
        }
    }
}
