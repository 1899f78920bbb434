//! Expires leases and homes periodically, and updates the gauges.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use cadence::Counted;
use cadence::Gauged;
use slog::info;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::convert;
use crate::metrics;
use crate::shared::Inner;
use crate::shared::Shared;

/// Interval between two sweeps.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of sweeps per update of the gauges.
const SWEEPS_PER_GAUGE_UPDATE: u32 = 10;

/// Sweeps until the directory stops.
pub async fn sweep(shared: Arc<Shared>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sweeps = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = shared.stop.cancelled() => return,
        }
        sweep_once(&shared);
        sweeps = (sweeps + 1) % SWEEPS_PER_GAUGE_UPDATE;
        if sweeps == 0 {
            update_gauges(&shared);
        }
    }
}

fn sweep_once(shared: &Shared) {
    let result = shared.step(|inner, now| inner.members.sweep(now));
    for key in &result.leases {
        info!(shared.log, "lease ran out"; "key" => %key);
    }
    for home in &result.homes {
        info!(shared.log, "directory silent"; "name" => %home);
    }
    let expired = i64::try_from(result.leases.len()).unwrap_or(i64::MAX);
    if expired > 0 {
        shared
            .metrics
            .count_with_tags(metrics::EXPIRED, expired)
            .send();
    }
}

fn update_gauges(shared: &Shared) {
    for (name, value) in shared.step(|inner, now| gauges(inner, now)) {
        shared.metrics.gauge_with_tags(name, value).send();
    }
}

fn gauges(inner: &Inner, now: Moment) -> [(&'static str, u64); 4] {
    let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
    let age = inner.freshness.age(now).map_or(u32::MAX, convert::millis);
    [
        (metrics::INSTANCES, count(inner.members.instances().len())),
        (metrics::HOSTS, count(inner.members.hosts().len())),
        (metrics::VERSION, inner.version()),
        (metrics::AGE, age.into()),
    ]
}
