//! Measures control replicas: followers, claims, changes and restarts.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::api::ControlApiClient;
use wire::control::Follow;
use wire::ledger::claim_reply;
use wire::link::within;
use wire::peer;

use crate::claim;
use crate::fault::MeasureError;
use crate::process::ResourceUsage;
use crate::row::Row;
use crate::system;
use crate::system::Replicas;
use crate::usage;

/// Numbers of catalogue followers over all replicas.
const FOLLOWERS: [usize; 4] = [0, 15, 60, 240];
/// How long a replica may delay the reply to a follower.
const HOLD_MS: u32 = 500;
/// Numbers of concurrent claims.
const CLAIMANTS: [u64; 3] = [1, 16, 256];
/// How long claims and followers are measured.
const MEASURED_TIME: Duration = Duration::from_secs(2);
/// Total numbers of changes after which the replicas are restarted.
const CHANGES: [u64; 3] = [50, 500, 2_000];
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Significant digits of a latency.
const DIGITS: u8 = 3;
/// Interval between checks of a restarted replica.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Measures a group of three replicas.
pub async fn run() -> Result<Vec<Row>, MeasureError> {
    let mut replicas = Replicas::start(3).await?;
    let mut rows = Vec::new();
    for count in FOLLOWERS {
        rows.push(measure_followers(&mut replicas, count).await?);
    }
    let mut first = 0;
    for count in CLAIMANTS {
        rows.push(measure_claims(&mut replicas, count, &mut first).await?);
    }
    drop(replicas);
    rows.extend(measure_changes().await?);
    Ok(rows)
}

/// Resource use of the replicas, and bytes exchanged between them, at one time.
struct Sample {
    at: Instant,
    stats: Vec<ResourceUsage>,
    bytes: u64,
}

async fn sample(replicas: &mut Replicas) -> Result<Sample, MeasureError> {
    let mut stats = Vec::new();
    for process in &mut replicas.processes {
        stats.push(process.stat().await?);
    }
    Ok(Sample {
        at: Instant::now(),
        stats,
        bytes: replicas.bytes.bytes(),
    })
}

impl Sample {
    /// Processor time of the replica at `index` since `before`.
    fn cpu(&self, before: &Self, index: usize) -> Duration {
        self.stats[index].cpu_since(&before.stats[index])
    }
}

async fn client(address: SocketAddr) -> Result<ControlApiClient, MeasureError> {
    Ok(peer::control(address).client().await?)
}

async fn measure_followers(replicas: &mut Replicas, count: usize) -> Result<Row, MeasureError> {
    let leader = replicas.leader().await;
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let api = client(replicas.rpc[number % replicas.rpc.len()]).await?;
        tasks.spawn(follow(api));
    }
    sleep(MEASURED_TIME / 4).await;
    let before = sample(replicas).await?;
    sleep(MEASURED_TIME).await;
    let after = sample(replicas).await?;
    drop(tasks);
    let elapsed = after.at - before.at;
    let busy = |index| usage::percent(after.cpu(&before, index), elapsed);
    Ok(Row::new("control", "follow")
        .at("hosts", usage::float(count as u64))
        .with("leader_cpu_percent", busy(leader))
        .with("follower_cpu_percent", busy((leader + 1) % 3))
        .with(
            "replica_bytes_s",
            usage::ratio((after.bytes - before.bytes) * 2, 3) / elapsed.as_secs_f64(),
        )
        .with("leader_rss_kib", usage::float(after.stats[leader].rss)))
}

async fn follow(api: ControlApiClient) {
    let ask = Follow {
        have: 0,
        wait_ms: HOLD_MS,
    };
    while api.follow(within(CALL_TIMEOUT), ask).await.is_ok() {}
}

async fn measure_claims(
    replicas: &mut Replicas,
    count: u64,
    first: &mut u64,
) -> Result<Row, MeasureError> {
    let leader = replicas.leader().await;
    let api = client(replicas.rpc[leader]).await?;
    let before = sample(replicas).await?;
    let mut tasks = JoinSet::new();
    for number in 0..count {
        tasks.spawn(claim_repeatedly(api.clone(), *first + number, count));
    }
    let mut latencies = histogram();
    while let Some(result) = tasks.join_next().await {
        latencies.add(result??).expect("equal bounds");
    }
    let after = sample(replicas).await?;
    *first += latencies.len() * 2 + count;
    let elapsed = after.at - before.at;
    let each = |index| usage::micros(after.cpu(&before, index), latencies.len());
    Ok(Row::new("control", "claim")
        .at("waiting", usage::float(count))
        .with(
            "claims_s",
            usage::float(latencies.len()) / elapsed.as_secs_f64(),
        )
        .with(
            "p50_ms",
            usage::ratio(latencies.value_at_quantile(0.5), 1_000),
        )
        .with(
            "p99_ms",
            usage::ratio(latencies.value_at_quantile(0.99), 1_000),
        )
        .with("leader_cpu_us", each(leader))
        .with("follower_cpu_us", each((leader + 1) % 3))
        .with(
            "replica_bytes",
            usage::ratio(after.bytes - before.bytes, latencies.len()),
        ))
}

/// Histogram of latencies in microseconds, up to [`CALL_TIMEOUT`].
fn histogram() -> Histogram<u64> {
    let max = u64::try_from(CALL_TIMEOUT.as_micros()).unwrap_or(u64::MAX);
    Histogram::new_with_bounds(1, max, DIGITS).expect("constant bounds that are valid")
}

/// Makes claims in sequence for [`MEASURED_TIME`].
async fn claim_repeatedly(
    api: ControlApiClient,
    first: u64,
    step: u64,
) -> Result<Histogram<u64>, MeasureError> {
    let mut latencies = histogram();
    let end = Instant::now() + MEASURED_TIME;
    let mut number = first;
    while Instant::now() < end {
        let started_at = Instant::now();
        let reply = api
            .claim(within(CALL_TIMEOUT), claim::claim_of(number))
            .await;
        let reply = reply.map_err(|err| MeasureError::Role(err.to_string()))?;
        if !matches!(reply.kind, Some(claim_reply::Kind::Granted(_))) {
            return Err(MeasureError::Claim(Box::new(reply)));
        }
        let micros = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        latencies.saturating_record(micros);
        number += step;
    }
    Ok(latencies)
}

/// Measures changes in sequence, and a restart of all replicas after each group.
async fn measure_changes() -> Result<Vec<Row>, MeasureError> {
    let mut replicas = Replicas::start(3).await?;
    let mut rows = Vec::new();
    let mut version = 0;
    for count in CHANGES {
        let leader = replicas.leader().await;
        let before = sample(&mut replicas).await?;
        let made = count - version;
        while version < count {
            let index = usize::try_from(version).unwrap_or_default();
            let edit = system::put_edit(index, 1 + u32::try_from(version).unwrap_or_default() % 9);
            version = replicas.operator.apply(version, vec![edit]).await?;
        }
        let after = sample(&mut replicas).await?;
        let spent = |index| usage::micros(after.cpu(&before, index), made);
        let row = Row::new("control", "change")
            .at("changes", usage::float(count))
            .with(
                "ms_each",
                (after.at - before.at).as_secs_f64() * 1e3 / usage::float(made),
            )
            .with("leader_cpu_us", spent(leader))
            .with("follower_cpu_us", spent((leader + 1) % 3))
            .with(
                "replica_bytes",
                usage::ratio(after.bytes - before.bytes, made),
            );
        let started_at = Instant::now();
        replicas.restart().await?;
        wait_until_ready(&replicas, version).await?;
        let ready = started_at.elapsed();
        let rss = replicas.processes[leader].stat().await?.rss;
        rows.push(
            row.with("restart_ms", ready.as_secs_f64() * 1e3)
                .with("restarted_rss_kib", usage::float(rss)),
        );
    }
    Ok(rows)
}

/// Waits until every replica confirms `version`.
async fn wait_until_ready(replicas: &Replicas, version: u64) -> Result<(), MeasureError> {
    let ask = Follow {
        have: version,
        wait_ms: 0,
    };
    for address in &replicas.rpc {
        let api = client(*address).await?;
        loop {
            let reply = api.follow(within(CALL_TIMEOUT), ask).await;
            if reply.is_ok_and(|r| r.confirmed && r.version == version) {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}
