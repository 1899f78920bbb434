//! Time slots that keep the gateways' probes of one instance apart.
//!
//! Each gateway has one slot in a period of `gateways / budget`, at a place set by
//! its rank, in wall-clock time. The first half of a slot may be used; the rest
//! takes up differences between clocks. The hard bound on the sum doesn't rest on
//! slots, so a wrong clock costs evenness and nothing else.

use std::time::Duration;

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::bucket::PROBE;
use crate::registry::Share;

/// The slots of one gateway for one instance.
#[derive(Clone, Copy, Debug)]
pub struct Slots {
    // Nanoseconds.
    period: u64,
    width: u64,
    offset: u64,
}

impl Slots {
    /// The slots of `share` for `instance`, whose name spreads instances over the period.
    #[must_use]
    pub fn new(share: Share, instance: &InstanceId) -> Self {
        let length = PROBE / u64::from(share.millis.max(1));
        let period = length.saturating_mul(share.gateways);
        let spread = xxh3_64(instance.as_str().as_bytes()) % period.max(1);
        let offset = length.saturating_mul(share.rank).saturating_add(spread);
        Self {
            period,
            width: length / 2,
            offset: offset % period.max(1),
        }
    }

    /// Time from `now` until a slot; zero inside one. `anchor` is the wall-clock time of [`Moment::ZERO`].
    #[must_use]
    pub fn wait(&self, anchor: Duration, now: Moment) -> Duration {
        let period = u128::from(self.period.max(1));
        let wall = anchor.as_nanos() + u128::from(now.nanos());
        let into = (wall + period - u128::from(self.offset)) % period;
        if into < u128::from(self.width) {
            return Duration::ZERO;
        }
        Duration::from_nanos(u64::try_from(period - into).unwrap_or(u64::MAX))
    }
}
