//! Measures the distribution of catalogue changes to every entry host.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::fault::MeasureError;
use crate::row::Row;
use crate::system;
use crate::system::PROBES;
use crate::system::SERVICES;
use crate::system::System;
use crate::usage;

/// Numbers of entry hosts, each with a directory and a gateway.
const HOSTS: [usize; 3] = [5, 15, 30];
/// Number of changes, made in sequence.
const CHANGES: u64 = 15;
/// How long the hosts are measured without a change.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// Measures changes with each number of entry hosts.
pub async fn run() -> Result<Vec<Row>, MeasureError> {
    let mut rows = Vec::new();
    for hosts in HOSTS {
        rows.push(measure(hosts).await?);
    }
    Ok(rows)
}

/// Bytes and processor time of the directories at one time.
struct Sample {
    at: Instant,
    bytes: u64,
    cpu: Duration,
}

async fn sample(system: &mut System) -> Result<Sample, MeasureError> {
    Ok(Sample {
        at: Instant::now(),
        bytes: system.peer_bytes.bytes() * 2 + system.control_bytes.bytes(),
        cpu: system.directories.stat().await?.cpu,
    })
}

/// Processor time between two samples, in seconds.
fn cpu_seconds(from: &Sample, to: &Sample) -> f64 {
    to.cpu.saturating_sub(from.cpu).as_secs_f64()
}

async fn measure(hosts: usize) -> Result<Row, MeasureError> {
    let mut system = System::start(hosts, PROBES).await?;
    let (mut gateways, _) = system.gateways(hosts).await?;
    let before = sample(&mut system).await?;
    sleep(IDLE_TIME).await;
    let after_idle = sample(&mut system).await?;
    let mut medians = Vec::new();
    let mut lasts = Vec::new();
    for number in 0..CHANGES {
        let index = usize::try_from(number).unwrap_or_default() % SERVICES;
        system.apply(vec![system::put_edit(index, 1)]).await?;
        let wait = format!("version count={}", system.version);
        let reply = gateways.request(&wait).await?;
        medians.push(reply.number("middle_us")?);
        lasts.push(reply.number("last_us")?);
    }
    let after = sample(&mut system).await?;
    // Subtracts the idle traffic and load, scaled to the time that the changes took.
    let share =
        (after.at - after_idle.at).as_secs_f64() / (after_idle.at - before.at).as_secs_f64();
    let bytes = usage::float(after.bytes - after_idle.bytes)
        - share * usage::float(after_idle.bytes - before.bytes);
    let busy = cpu_seconds(&after_idle, &after) - share * cpu_seconds(&before, &after_idle);
    let each = usage::float(CHANGES * hosts as u64);
    let ms = |micros: &[u64], at: usize| usage::ratio(micros[at], 1_000);
    medians.sort_unstable();
    lasts.sort_unstable();
    let (median, end) = (lasts.len() / 2, lasts.len() - 1);
    Ok(Row::new("directory", "change")
        .at("hosts", usage::float(hosts as u64))
        .with("host_p50_ms", ms(&medians, median))
        .with("all_p50_ms", ms(&lasts, median))
        .with("all_max_ms", ms(&lasts, end))
        .with("bytes_each_host", bytes / each)
        .with("cpu_us_each_host", busy * 1e6 / each))
}
