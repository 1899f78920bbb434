//! Time slots that spread the probes of one instance over the gateways.
//!
//! In each period of `gateways / budget`, each gateway has one slot of wall-clock time at the
//! position given by its rank. Only the first half of a slot is used; the rest absorbs clock
//! offsets. The bound on the sum of all probes doesn't depend on slots, so wrong clocks only make
//! probes less even.

use std::time::Duration;

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::bucket::PROBE_COST;
use crate::registry::Share;

/// The slots of one gateway for one instance.
#[derive(Clone, Copy, Debug)]
pub struct Slots {
    // All in nanoseconds.
    period: u64,
    width: u64,
    offset: u64,
}

impl Slots {
    /// The slots of the gateway with `share` for `instance`. The offset is derived from the
    /// instance id, so that the slots of different instances differ.
    #[must_use]
    pub fn new(share: Share, instance: &InstanceId) -> Self {
        let length = PROBE_COST / u64::from(share.budget.max(1));
        let period = length.saturating_mul(share.gateways);
        let spread = xxh3_64(instance.as_str().as_bytes()) % period.max(1);
        let offset = length.saturating_mul(share.rank).saturating_add(spread);
        Self {
            period,
            width: length / 2,
            offset: offset % period.max(1),
        }
    }

    /// Time from `now` until the next slot; zero within a slot. `anchor` is the wall-clock time of
    /// [`Moment::ZERO`].
    #[must_use]
    pub fn wait(&self, anchor: Duration, now: Moment) -> Duration {
        let period = u128::from(self.period.max(1));
        let wall = anchor.as_nanos() + u128::from(now.nanos());
        let position = (wall + period - u128::from(self.offset)) % period;
        if position < u128::from(self.width) {
            return Duration::ZERO;
        }
        Duration::from_nanos(u64::try_from(period - position).unwrap_or(u64::MAX))
    }
}
