//! Measures directories: idle traffic, heartbeats and callers' queries.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;

use crate::announce;
use crate::fault::MeasureError;
use crate::relay::ByteCounter;
use crate::row::Row;
use crate::system;
use crate::system::PROBES;
use crate::system::System;
use crate::system::service_name;
use crate::usage;

/// Numbers of hosts, each with growing numbers of instances.
const POINTS: [(usize, &[usize]); 4] = [
    (1, &[1_600]),
    (5, &[400]),
    (15, &[0, 100, 400, 1_600]),
    (30, &[400]),
];
/// Time for the instance tables to converge.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Duration of one measurement.
const MEASURED_TIME: Duration = Duration::from_secs(2);
/// Queries per second to one directory.
const QUERY_RATES: [u64; 3] = [200, 600, 1_800];
/// How long each rate of queries is kept up.
const QUERY_TIME: Duration = Duration::from_secs(2);
/// Number of querying tasks.
const QUERY_TASKS: u64 = 20;

/// Measures idle directories with instances, then one directory with callers.
pub async fn run() -> Result<Vec<Row>, MeasureError> {
    let mut rows = Vec::new();
    for (hosts, instances) in POINTS {
        rows.extend(measure_at_rest(hosts, instances).await?);
    }
    let mut system = System::start(1, PROBES).await?;
    let (_gateway, _) = system.gateways(1).await?;
    sleep(SETTLE_TIME).await;
    for rate in QUERY_RATES {
        rows.push(measure_queries(&mut system, rate).await?);
    }
    Ok(rows)
}

/// Measures directories while growing numbers of instances announce themselves, each to
/// one directory.
async fn measure_at_rest(hosts: usize, sizes: &[usize]) -> Result<Vec<Row>, MeasureError> {
    let mut system = System::start(hosts, PROBES).await?;
    let baseline = system.directories.stat().await?.rss;
    let nowhere: SocketAddr = ([127, 0, 0, 1], 9).into();
    let mut sources = AnnounceRelays {
        bytes: ByteCounter::default(),
        addresses: vec![],
    };
    sources.addresses = system::relays(&system.directory_addresses, &sources.bytes).await?;
    let mut announcers = Vec::new();
    let mut rows = Vec::new();
    let mut announced = 0;
    for count in sizes {
        announcers.push(announce::start(
            &sources.addresses,
            &[nowhere],
            announced..*count,
        ));
        announced = *count;
        let wait = format!("instances count={count}");
        system.directories.request(&wait).await?;
        sleep(SETTLE_TIME).await;
        rows.push(measure_interval(&mut system, &sources, *count as u64, baseline).await?);
    }
    Ok(rows)
}

/// Relays through which instances announce themselves, and the bytes that they forward.
struct AnnounceRelays {
    bytes: ByteCounter,
    addresses: Vec<SocketAddr>,
}

async fn measure_interval(
    system: &mut System,
    sources: &AnnounceRelays,
    instances: u64,
    baseline: u64,
) -> Result<Row, MeasureError> {
    let hosts = sources.addresses.len() as u64;
    let before = system.directories.stat().await?;
    let (peer_bytes, control_bytes) = (system.peer_bytes.bytes(), system.control_bytes.bytes());
    let source_bytes = sources.bytes.bytes();
    let started_at = Instant::now();
    sleep(MEASURED_TIME).await;
    let after = system.directories.stat().await?;
    let elapsed = started_at.elapsed();
    let rate = |bytes: u64| usage::ratio(bytes, hosts) / elapsed.as_secs_f64();
    // Each byte between directories is sent by one and received by another.
    let peer_bytes = rate(system.peer_bytes.bytes() - peer_bytes) * 2.0;
    let heartbeats = usage::ratio(instances, hosts) / announce::REFRESH.as_secs_f64();
    let busy = usage::percent(after.cpu_since(&before), elapsed) / usage::float(hosts);
    let growth = usage::ratio(after.rss.saturating_sub(baseline), hosts);
    Ok(Row::new("directory", "rest")
        .at("hosts", usage::float(hosts))
        .at("instances", usage::float(instances))
        .with("peer_bytes_s", peer_bytes)
        .with(
            "follow_bytes_s",
            rate(system.control_bytes.bytes() - control_bytes),
        )
        .with("heartbeats_s", heartbeats)
        .with(
            "heartbeat_bytes_s",
            rate(sources.bytes.bytes() - source_bytes),
        )
        .with("cpu_percent", busy)
        .with("grown_kib", growth)
        .with("rss_kib", usage::ratio(after.rss, hosts)))
}

/// Measures one directory with `rate` queries per second.
async fn measure_queries(system: &mut System, rate: u64) -> Result<Row, MeasureError> {
    let before = system.directories.stat().await?;
    let started_at = Instant::now();
    let client = Client::new();
    let mut tasks = JoinSet::new();
    for task in 0..QUERY_TASKS {
        let pause = Duration::from_micros(1_000_000 * QUERY_TASKS / rate);
        let url = format!(
            "http://{}/v1/route?service={}",
            system.directory_addresses[0],
            service_name(usize::try_from(task).unwrap_or_default())
        );
        tasks.spawn(query_periodically(client.clone(), url, pause));
    }
    let answered: u64 = tasks.join_all().await.iter().sum();
    let after = system.directories.stat().await?;
    let spent = usage::micros(after.cpu_since(&before), answered);
    Ok(Row::new("directory", "question")
        .at("asks_s", usage::float(rate))
        .with(
            "answered_s",
            usage::float(answered) / started_at.elapsed().as_secs_f64(),
        )
        .with("cpu_us", spent)
        .with(
            "log_bytes",
            usage::ratio(after.bytes - before.bytes, answered),
        ))
}

/// Sends queries for [`QUERY_TIME`] and returns the number of successful responses.
async fn query_periodically(client: Client, url: String, pause: Duration) -> u64 {
    let end = Instant::now() + QUERY_TIME;
    let mut ticks = interval(pause);
    let mut answered = 0;
    while Instant::now() < end {
        ticks.tick().await;
        let answer = client.get(&url).send().await;
        answered += u64::from(answer.is_ok_and(|a| a.status().is_success()));
    }
    answered
}
