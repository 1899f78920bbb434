//! What a chooser keeps of one instance.

use std::time::Duration;

use base::prelude::Moment;

use crate::instance::Instance;
use crate::instance::Phase;
use crate::instance::Pick;
use crate::outcome::Outcome;
use crate::view::Health;
use crate::view::View;

/// One instance with the chooser's own attempts there.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) instance: Instance,
    pub(crate) epoch: u32,
    starts: Vec<Moment>,
}

impl Entry {
    pub(crate) fn new(instance: Instance, epoch: u32) -> Self {
        Self {
            instance,
            epoch,
            starts: Vec::new(),
        }
    }

    /// Takes a new row of the table; one that was gone begins anew.
    pub(crate) fn take(&mut self, _now: Moment, row: &Instance) {
        if self.is_gone() && row.phase != Phase::Gone {
            *self = Self::new(row.clone(), self.epoch + 1);
            return;
        }
        self.instance = row.clone();
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.instance.phase == Phase::Ready
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.instance.phase == Phase::Gone
    }

    pub(crate) fn pick(&self, index: usize) -> Pick {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        Pick {
            index,
            epoch: self.epoch,
        }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.starts.len()).unwrap_or(u32::MAX)
    }

    #[expect(clippy::unused_self, reason = "reports come with the next change")]
    pub(crate) fn age(&self, _now: Moment) -> Option<Duration> {
        None
    }

    pub(crate) fn start(&mut self, now: Moment) {
        self.starts.push(now);
    }

    pub(crate) fn finish(&mut self, _now: Moment, began: Moment, _outcome: Outcome) {
        if let Some(index) = self.starts.iter().position(|start| *start == began) {
            self.starts.remove(index);
        }
    }

    pub(crate) fn view(&self, now: Moment) -> View {
        View {
            id: self.instance.id.clone(),
            phase: self.instance.phase,
            health: Health::Well,
            in_flight: self.in_flight(),
            latency: Duration::ZERO,
            age: self.age(now),
            chosen: 0,
            reason: None,
        }
    }
}
