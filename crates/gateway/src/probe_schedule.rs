//! When each service is looked at for a probe.
//!
//! The meter says from when an instance's next probe may be sent. Until then a
//! look at it can bring nothing, so a service is due when the first of its
//! instances is: a gateway without calls wakes when a probe can be spent.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;

use crate::view::Rows;
use crate::view::View;

/// Pause between two looks at an instance that may be probed and need not be.
pub const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for which the meter's word is kept: a share may be raised.
pub const WORD_TIME: Duration = Duration::from_secs(1);

/// The looks at one service.
#[derive(Debug, Default)]
pub struct Round {
    rows: Rows,
    due: Moment,
    // From when on each instance may be probed, where the meter has said it.
    words: HashMap<InstanceId, Moment>,
}

impl Round {
    /// Whether an instance isn't known to be denied at `now`.
    #[must_use]
    pub fn may_ask(&self, id: &InstanceId, now: Moment) -> bool {
        self.words.get(id).is_none_or(|at| *at <= now)
    }

    /// Keeps the meter's word that a probe of the instance is early before `at`.
    pub fn deny(&mut self, id: &InstanceId, at: Moment, now: Moment) {
        self.words.insert(id.clone(), at.min(now + WORD_TIME));
    }

    /// Ends a look: the next is due when the first instance may be probed.
    pub fn end(&mut self, now: Moment) {
        self.words.retain(|_, at| *at > now);
        let due = |id: &InstanceId| self.words.get(id).copied();
        let dues = self.rows.iter().map(|row| due(&row.id));
        let first = dues.map(|due| due.unwrap_or(now + LOOK_PAUSE)).min();
        self.due = first.unwrap_or(now + WORD_TIME);
    }

    /// When the next look is due.
    #[must_use]
    pub fn due(&self) -> Moment {
        self.due
    }

    /// Takes the instances over; new ones are looked at as soon as can be.
    fn update(&mut self, rows: Rows) {
        if Arc::ptr_eq(&self.rows, &rows) {
            return;
        }
        self.rows = rows;
        self.due = Moment::ZERO;
        let rows = &self.rows;
        self.words
            .retain(|id, _| rows.iter().any(|row| row.id == *id));
    }
}

/// The looks at all services.
#[derive(Debug, Default)]
pub struct Rounds {
    view: Arc<View>,
    rounds: HashMap<ServiceName, Round>,
}

impl Rounds {
    /// Takes over the services and instances of `view`.
    pub fn update(&mut self, view: &Arc<View>) {
        if Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.rounds
            .retain(|name, _| view.service(name.as_str()).is_some());
        for service in view.services() {
            let round = self.rounds.entry(service.name.clone()).or_default();
            round.update(view.rows(&service.name));
        }
        self.view = view.clone();
    }

    /// The services that are due at `now`.
    pub fn due(&mut self, now: Moment) -> impl Iterator<Item = (&ServiceName, &mut Round)> {
        self.rounds.iter_mut().filter(move |(_, r)| r.due <= now)
    }

    /// When the next service is due, at the latest after [`LOOK_PAUSE`], as the
    /// view may have changed by then.
    #[must_use]
    pub fn next(&self, now: Moment) -> Moment {
        let first = self.rounds.values().map(Round::due).min();
        first.map_or(now + LOOK_PAUSE, |due| due.min(now + LOOK_PAUSE))
    }
}
