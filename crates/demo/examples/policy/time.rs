//! The paused runtime clock, stretched so that its millisecond ticks are microseconds.

use std::time::Duration;

use base::prelude::Clock;
use base::prelude::Moment;

/// Ticks of the runtime's clock for one of the rig's.
pub const STRETCH: u32 = 1000;

/// The rig's clock.
#[derive(Clone, Copy)]
pub struct Time(pub Clock);

impl Time {
    /// The rig's present moment.
    pub fn now(self) -> Moment {
        Moment::from_nanos(self.0.now().nanos() / u64::from(STRETCH))
    }

    /// Waits for `span` of the rig's time.
    pub async fn sleep(self, span: Duration) {
        tokio::time::sleep(span * STRETCH).await;
    }
}
