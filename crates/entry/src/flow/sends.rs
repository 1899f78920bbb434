//! The sends of a request, and whether one of them may have run.

use correlate::NotRun;

/// Counts the sends that may have run.
#[derive(Debug, Default)]
pub(super) struct Sends {
    unproven: u32,
}

impl Sends {
    /// Records a send before its first byte is written. From then on it may have run.
    pub(super) fn begin(&mut self) {
        self.unproven += 1;
    }

    /// Records that the latest send has not run.
    pub(super) fn record_not_run(&mut self, _proof: &NotRun) {
        self.unproven = self.unproven.saturating_sub(1);
    }

    /// Whether a send may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.unproven > 0
    }
}
