//! Ends leases and homes whose time is over, and tells the gauges.

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

/// Time between two looks for leases that ran out.
pub const PERIOD: Duration = Duration::from_millis(100);
/// Looks between two times that the gauges are told.
const GAUGES: u32 = 10;

/// Sweeps until the directory stops.
pub async fn sweep(shared: Arc<Shared>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut turn = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = shared.stop.cancelled() => return,
        }
        sweep_once(&shared);
        turn = (turn + 1) % GAUGES;
        if turn == 0 {
            tell(&shared);
        }
    }
}

fn sweep_once(shared: &Shared) {
    let swept = shared.step(|inner, now| inner.members.sweep(now));
    for key in &swept.leases {
        info!(shared.log, "lease ran out"; "key" => %key);
    }
    for home in &swept.homes {
        info!(shared.log, "directory silent"; "name" => %home);
    }
    let ended = i64::try_from(swept.leases.len()).unwrap_or(i64::MAX);
    if ended > 0 {
        shared
            .metrics
            .count_with_tags(metrics::EXPIRED, ended)
            .send();
    }
}

fn tell(shared: &Shared) {
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
