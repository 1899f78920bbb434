//! A change of the catalogue on its way to every entry host.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::fault::Fault;
use crate::row::Row;
use crate::system;
use crate::system::PROBES;
use crate::system::SERVICES;
use crate::system::System;
use crate::usage;

/// Entry hosts, each with a directory and a gateway.
const HOSTS: [usize; 3] = [5, 15, 30];
/// Changes, one after another.
const CHANGES: u64 = 15;
/// How long the hosts are watched without a change.
const REST: Duration = Duration::from_secs(2);

/// Measures changes with some entry hosts.
pub async fn run() -> Result<Vec<Row>, Fault> {
    let mut rows = Vec::new();
    for hosts in HOSTS {
        rows.push(measure(hosts).await?);
    }
    Ok(rows)
}

/// Bytes and processor time of the directories at a moment.
struct Point {
    at: Instant,
    bytes: u64,
    cpu: Duration,
}

async fn point(system: &mut System) -> Result<Point, Fault> {
    Ok(Point {
        at: Instant::now(),
        bytes: system.peers.bytes() * 2 + system.follow.bytes(),
        cpu: system.directories.stat().await?.cpu,
    })
}

/// Processor time between two points.
fn seconds(from: &Point, to: &Point) -> f64 {
    to.cpu.saturating_sub(from.cpu).as_secs_f64()
}

async fn measure(hosts: usize) -> Result<Row, Fault> {
    let mut system = System::start(hosts, PROBES).await?;
    let (mut gateways, _) = system.gateways(hosts).await?;
    let before = point(&mut system).await?;
    sleep(REST).await;
    let rested = point(&mut system).await?;
    let mut middles = Vec::new();
    let mut lasts = Vec::new();
    for number in 0..CHANGES {
        let index = usize::try_from(number).unwrap_or_default() % SERVICES;
        system.apply(vec![system::put(index, 1)]).await?;
        let wait = format!("version count={}", system.version);
        let said = gateways.ask(&wait).await?;
        middles.push(said.number("middle_us")?);
        lasts.push(said.number("last_us")?);
    }
    let after = point(&mut system).await?;
    // What the hosts say to each other without a change isn't a change's.
    let share = (after.at - rested.at).as_secs_f64() / (rested.at - before.at).as_secs_f64();
    let bytes = usage::float(after.bytes - rested.bytes)
        - share * usage::float(rested.bytes - before.bytes);
    let busy = seconds(&rested, &after) - share * seconds(&before, &rested);
    let each = usage::float(CHANGES * hosts as u64);
    let ms = |micros: &[u64], at: usize| usage::ratio(micros[at], 1_000);
    middles.sort_unstable();
    lasts.sort_unstable();
    let (half, end) = (lasts.len() / 2, lasts.len() - 1);
    Ok(Row::new("directory", "change")
        .at("hosts", usage::float(hosts as u64))
        .with("host_p50_ms", ms(&middles, half))
        .with("all_p50_ms", ms(&lasts, half))
        .with("all_max_ms", ms(&lasts, end))
        .with("bytes_each_host", bytes / each)
        .with("cpu_us_each_host", busy * 1e6 / each))
}
