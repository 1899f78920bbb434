//! The simulation's clock: the paused runtime clock, scaled so that the runtime's
//! millisecond ticks are microseconds.

use std::time::Duration;

use base::prelude::Clock;
use base::prelude::Moment;

/// Runtime time per unit of simulated time.
pub const TIME_SCALE: u32 = 1000;

/// Clock of the simulation.
#[derive(Clone, Copy)]
pub struct SimulatedClock(pub Clock);

impl SimulatedClock {
    /// Current simulated time.
    pub fn now(self) -> Moment {
        Moment::from_nanos(self.0.now().nanos() / u64::from(TIME_SCALE))
    }

    /// Waits for `duration` of simulated time.
    pub async fn sleep(self, duration: Duration) {
        tokio::time::sleep(duration * TIME_SCALE).await;
    }
}
