//! Control replicas: at rest, changes, claims, followers, restarts.

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
use crate::fault::Fault;
use crate::process::Stat;
use crate::row::Row;
use crate::system;
use crate::system::Replicas;
use crate::usage;

/// Followers of the catalogue, over all replicas.
const FOLLOWERS: [usize; 4] = [0, 15, 60, 240];
/// How long a replica may hold a follower's request.
const HOLD_MS: u32 = 500;
/// Claims that wait at once.
const CLAIMANTS: [u64; 3] = [1, 16, 256];
/// How long claims and followers are watched.
const SPAN: Duration = Duration::from_secs(2);
/// Changes behind a restart.
const CHANGES: [u64; 3] = [50, 500, 2_000];
/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// Significant digits of a latency.
const DIGITS: u8 = 3;
/// Between two looks at a restarted replica.
const LOOK: Duration = Duration::from_millis(5);

/// Measures three replicas.
pub async fn run() -> Result<Vec<Row>, Fault> {
    let mut replicas = Replicas::start(3).await?;
    let mut rows = Vec::new();
    for count in FOLLOWERS {
        rows.push(followers(&mut replicas, count).await?);
    }
    let mut first = 0;
    for count in CLAIMANTS {
        rows.push(claims(&mut replicas, count, &mut first).await?);
    }
    drop(replicas);
    rows.extend(changes().await?);
    Ok(rows)
}

/// What replicas have used, and the bytes between them.
struct Point {
    at: Instant,
    stats: Vec<Stat>,
    bytes: u64,
}

async fn point(replicas: &mut Replicas) -> Result<Point, Fault> {
    let mut stats = Vec::new();
    for process in &mut replicas.processes {
        stats.push(process.stat().await?);
    }
    Ok(Point {
        at: Instant::now(),
        stats,
        bytes: replicas.bytes.bytes(),
    })
}

impl Point {
    /// Processor time of the replica at `index` since `before`.
    fn cpu(&self, before: &Self, index: usize) -> Duration {
        self.stats[index].cpu_since(&before.stats[index])
    }
}

async fn client(address: SocketAddr) -> Result<ControlApiClient, Fault> {
    Ok(peer::control(address).client().await?)
}

async fn followers(replicas: &mut Replicas, count: usize) -> Result<Row, Fault> {
    let leader = replicas.leader().await;
    let mut tasks = JoinSet::new();
    for number in 0..count {
        let api = client(replicas.rpc[number % replicas.rpc.len()]).await?;
        tasks.spawn(follow(api));
    }
    sleep(SPAN / 4).await;
    let before = point(replicas).await?;
    sleep(SPAN).await;
    let after = point(replicas).await?;
    drop(tasks);
    let span = after.at - before.at;
    let busy = |index| usage::percent(after.cpu(&before, index), span);
    Ok(Row::new("control", "follow")
        .at("hosts", usage::float(count as u64))
        .with("leader_cpu_percent", busy(leader))
        .with("follower_cpu_percent", busy((leader + 1) % 3))
        .with(
            "replica_bytes_s",
            usage::ratio((after.bytes - before.bytes) * 2, 3) / span.as_secs_f64(),
        )
        .with("leader_rss_kib", usage::float(after.stats[leader].rss)))
}

async fn follow(api: ControlApiClient) {
    let ask = Follow {
        have: 0,
        wait_ms: HOLD_MS,
    };
    while api.follow(within(PATIENCE), ask).await.is_ok() {}
}

async fn claims(replicas: &mut Replicas, count: u64, first: &mut u64) -> Result<Row, Fault> {
    let leader = replicas.leader().await;
    let api = client(replicas.rpc[leader]).await?;
    let before = point(replicas).await?;
    let mut tasks = JoinSet::new();
    for number in 0..count {
        tasks.spawn(claim(api.clone(), *first + number, count));
    }
    let mut spans = histogram();
    while let Some(found) = tasks.join_next().await {
        spans.add(found??).expect("equal bounds");
    }
    let after = point(replicas).await?;
    *first += spans.len() * 2 + count;
    let span = after.at - before.at;
    let each = |index| usage::micros(after.cpu(&before, index), spans.len());
    Ok(Row::new("control", "claim")
        .at("waiting", usage::float(count))
        .with("claims_s", usage::float(spans.len()) / span.as_secs_f64())
        .with("p50_ms", usage::ratio(spans.value_at_quantile(0.5), 1_000))
        .with("p99_ms", usage::ratio(spans.value_at_quantile(0.99), 1_000))
        .with("leader_cpu_us", each(leader))
        .with("follower_cpu_us", each((leader + 1) % 3))
        .with(
            "replica_bytes",
            usage::ratio(after.bytes - before.bytes, spans.len()),
        ))
}

/// Latencies in microseconds, up to the longest wait.
fn histogram() -> Histogram<u64> {
    let most = u64::try_from(PATIENCE.as_micros()).unwrap_or(u64::MAX);
    Histogram::new_with_bounds(1, most, DIGITS).expect("constant bounds that are valid")
}

/// Claims one after another for [`SPAN`].
async fn claim(api: ControlApiClient, first: u64, step: u64) -> Result<Histogram<u64>, Fault> {
    let mut spans = histogram();
    let end = Instant::now() + SPAN;
    let mut number = first;
    while Instant::now() < end {
        let begin = Instant::now();
        let reply = api.claim(within(PATIENCE), claim::claim_of(number)).await;
        let reply = reply.map_err(|err| Fault::Role(err.to_string()))?;
        if !matches!(reply.kind, Some(claim_reply::Kind::Granted(_))) {
            return Err(Fault::Claim(Box::new(reply)));
        }
        let micros = u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
        spans.saturating_record(micros);
        number += step;
    }
    Ok(spans)
}

/// Changes one after another, and restarts of all replicas behind them.
async fn changes() -> Result<Vec<Row>, Fault> {
    let mut replicas = Replicas::start(3).await?;
    let mut rows = Vec::new();
    let mut version = 0;
    for count in CHANGES {
        let leader = replicas.leader().await;
        let before = point(&mut replicas).await?;
        let made = count - version;
        while version < count {
            let index = usize::try_from(version).unwrap_or_default();
            let edit = system::put(index, 1 + u32::try_from(version).unwrap_or_default() % 9);
            version = replicas.operator.apply(version, vec![edit]).await?;
        }
        let after = point(&mut replicas).await?;
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
        let begin = Instant::now();
        replicas.restart().await?;
        until_ready(&replicas, version).await?;
        let ready = begin.elapsed();
        let rss = replicas.processes[leader].stat().await?.rss;
        rows.push(
            row.with("restart_ms", ready.as_secs_f64() * 1e3)
                .with("restarted_rss_kib", usage::float(rss)),
        );
    }
    Ok(rows)
}

/// Waits until every replica confirms `version`.
async fn until_ready(replicas: &Replicas, version: u64) -> Result<(), Fault> {
    let ask = Follow {
        have: version,
        wait_ms: 0,
    };
    for address in &replicas.rpc {
        let api = client(*address).await?;
        loop {
            let reply = api.follow(within(PATIENCE), ask).await;
            if reply.is_ok_and(|r| r.confirmed && r.version == version) {
                break;
            }
            sleep(LOOK).await;
        }
    }
    Ok(())
}
