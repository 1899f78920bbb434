//! Measures control replicas on loopback with real syncs, as key=value lines.
//!
//! `cargo run --release -p control --example capacity -- [FOLDER]`; the folder
//! should be on the disk to measure. The run takes less than a minute.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use control::Control;
use control::Settings;
use control::group;
use control::state_machine::StateMachine;
use hdrhistogram::Histogram;
use prost::Message;
use wire::api::ControlApiClient;
use wire::catalogue::Change;
use wire::catalogue::Class;
use wire::catalogue::Edit;
use wire::catalogue::Entry;
use wire::catalogue::Limits;
use wire::catalogue::change_reply;
use wire::catalogue::edit;
use wire::control::Follow;
use wire::control::Role;
use wire::ledger::Claim;
use wire::ledger::claim_reply;
use wire::ledger::command;
use wire::link::within;
use wire::peer;
use wire::replica::Command;

type Failure = Box<dyn Error + Send + Sync>;

const TIMEOUT: Duration = Duration::from_secs(10);
const RUN_TIME: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(2);
const HOLD_MS: u32 = 600_000;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(|| PathBuf::from("target/capacity"), PathBuf::from);
    let _ = fs::remove_dir_all(&folder);
    // Runs first, as reuse of freed memory would distort the figures.
    for count in [10_000, 50_000, 200_000] {
        memory(count)?;
    }
    for (workers, group) in [(256, 4096), (256, 1), (1, 4096)] {
        claims(&folder, workers, group).await?;
    }
    for count in [3, 5, 7] {
        idle(&folder, count).await?;
    }
    for count in [3, 5] {
        changes(&folder, count).await?;
    }
    for count in [50, 500, 5_000] {
        restart(&folder, count).await?;
    }
    fs::remove_dir_all(&folder)?;
    Ok(())
}

struct Group {
    settings: Vec<Settings>,
    replicas: Vec<Control>,
}

impl Group {
    async fn start(data: &Path, count: usize, commands: u32) -> Result<Self, Failure> {
        let _ = fs::remove_dir_all(data);
        let mut settings = group::local(data, count)?;
        for one in &mut settings {
            one.sizes.group = commands;
        }
        let replicas = group::start(&mut settings, &telemetry::log::silent()).await?;
        Ok(Self { settings, replicas })
    }

    async fn client(&self, index: usize) -> Result<ControlApiClient, Failure> {
        client(self.replicas[index].rpc()).await
    }

    /// Clients of the leader and of a follower.
    async fn leader_first(&self) -> Result<[ControlApiClient; 2], Failure> {
        loop {
            for index in 0..self.replicas.len() {
                let api = self.client(index).await?;
                if api.status(within(TIMEOUT)).await?.role() == Role::Leader {
                    let other = self.client((index + 1) % self.replicas.len()).await?;
                    return Ok([api, other]);
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn kill(&mut self) {
        for replica in &mut self.replicas {
            replica.kill().await;
        }
    }
}

async fn client(address: SocketAddr) -> Result<ControlApiClient, Failure> {
    Ok(peer::control(address).client().await?)
}

fn claim(number: u64) -> Claim {
    Claim {
        service: "grants".into(),
        caller: "site-supervisor-7".into(),
        key: format!("0190f5fe-7c00-4a00-8000-{number:012}"),
        digest: number,
        claim_id: number.to_be_bytes().repeat(2).into(),
        hold_ms: HOLD_MS,
    }
}

/// Claims in a closed loop by `workers`, at the leader and at a follower.
async fn claims(folder: &Path, workers: u64, commands: u32) -> Result<(), Failure> {
    let data = folder.join("claims");
    let mut group = Group::start(&data, 3, commands).await?;
    let apis = group.leader_first().await?;
    let mut first = 0;
    for (place, api) in ["leader", "follower"].into_iter().zip(apis) {
        let bytes = log_bytes(&data)?;
        let start = Instant::now();
        let tasks: Vec<_> = (0..workers)
            .map(|w| tokio::spawn(worker(api.clone(), first + w, workers, start + RUN_TIME)))
            .collect();
        let mut all = Histogram::<u64>::new(3)?;
        for task in tasks {
            all.add(task.await??)?;
        }
        first += 100_000_000;
        let millis = u64::try_from(start.elapsed().as_millis())?.max(1);
        // Meaningless if a snapshot truncates the log during the measurement.
        let grown = log_bytes(&data)?.saturating_sub(bytes) / 3 / all.len().max(1);
        let rate = all.len() * 1_000 / millis;
        println!(
            "measure=claims replicas=3 at={place} workers={workers} group={commands} \
             claims={} claims_per_s={rate} p50_us={} p99_us={} log_bytes_per_claim={grown}",
            all.len(),
            all.value_at_quantile(0.5),
            all.value_at_quantile(0.99),
        );
    }
    group.kill().await;
    Ok(())
}

async fn worker(
    api: ControlApiClient,
    first: u64,
    step: u64,
    deadline: Instant,
) -> Result<Histogram<u64>, Failure> {
    let mut latencies = Histogram::new(3)?;
    let mut number = first;
    while Instant::now() < deadline {
        let start = Instant::now();
        let reply = api.claim(within(TIMEOUT), claim(number)).await?;
        if !matches!(reply.kind, Some(claim_reply::Kind::Granted(_))) {
            return Err(format!("claim {number}: {reply:?}").into());
        }
        latencies.record(elapsed_micros(start))?;
        number += step;
    }
    Ok(latencies)
}

fn log_bytes(data: &Path) -> Result<u64, Failure> {
    let mut sum = 0;
    for folder in fs::read_dir(data)? {
        for file in fs::read_dir(folder?.path())? {
            let file = file?;
            if file.file_name().to_string_lossy().starts_with("log-") {
                sum += file.metadata()?.len();
            }
        }
    }
    Ok(sum)
}

fn change(base: u64) -> Change {
    Change {
        id: format!("change-{base}"),
        base,
        author: "operator".into(),
        edits: vec![Edit {
            kind: Some(edit::Kind::Put(Entry {
                service: format!("service-{}", base % 130),
                owner: "planning".into(),
                class: Class::Urgent.into(),
                limits: Some(Limits {
                    concurrency: 60,
                    queue: 60,
                    deadline_ms: 2_000,
                    body_bytes: 65_536,
                    retry_percent: 10,
                    probe_millis: 1_000,
                }),
            })),
        }],
    }
}

/// Proposes changes one after another with the base versions `from..to`.
async fn fill(api: &ControlApiClient, from: u64, to: u64) -> Result<Histogram<u64>, Failure> {
    let mut latencies = Histogram::new(3)?;
    for base in from..to {
        let start = Instant::now();
        let reply = api.propose(within(TIMEOUT), change(base)).await?;
        if !matches!(reply.kind, Some(change_reply::Kind::Accepted(_))) {
            return Err(format!("change {base}: {reply:?}").into());
        }
        latencies.record(elapsed_micros(start))?;
    }
    Ok(latencies)
}

/// Latency of accepting a change, and of a follow on another replica returning it.
async fn changes(folder: &Path, count: usize) -> Result<(), Failure> {
    let mut group = Group::start(&folder.join("changes"), count, 4096).await?;
    let [leader, follower] = group.leader_first().await?;
    let at_leader = fill(&leader, 0, 300).await?;
    let at_follower = fill(&follower, 300, 600).await?;
    for (place, latencies) in [("leader", at_leader), ("follower", at_follower)] {
        println!(
            "measure=change replicas={count} at={place} changes={} p50_us={} p99_us={}",
            latencies.len(),
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
        );
    }
    let mut seen = Histogram::<u64>::new(3)?;
    for base in 600..640 {
        let ask = Follow {
            have: base,
            wait_ms: 5_000,
        };
        let waiting = tokio::spawn({
            let api = follower.clone();
            async move { api.follow(within(TIMEOUT), ask).await }
        });
        let start = Instant::now();
        fill(&leader, base, base + 1).await?;
        waiting.await??;
        seen.record(elapsed_micros(start))?;
    }
    println!(
        "measure=follow replicas={count} changes={} p50_us={} p99_us={}",
        seen.len(),
        seen.value_at_quantile(0.5),
        seen.value_at_quantile(0.99),
    );
    group.kill().await;
    Ok(())
}

/// Processor time of an idle replica.
async fn idle(folder: &Path, count: usize) -> Result<(), Failure> {
    let mut group = Group::start(&folder.join("idle"), count, 4096).await?;
    group.leader_first().await?;
    let before = processor_ms()?;
    tokio::time::sleep(RUN_TIME).await;
    let spent = processor_ms()? - before;
    let share = spent * 1_000_000 / u64::try_from(RUN_TIME.as_millis())? / count as u64;
    println!("measure=idle replicas={count} core_ppm_per_replica={share}");
    group.kill().await;
    Ok(())
}

/// Processor time of this process in milliseconds.
fn processor_ms() -> Result<u64, Failure> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let rest = text.rsplit(')').next().ok_or("stat has no name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok());
    let sum = ticks(11).zip(ticks(12)).ok_or("stat has no times")?;
    // The kernel reports ticks of 10 ms.
    Ok((sum.0 + sum.1) * 10)
}

/// Time until every replica confirms the last version after a restart of all.
async fn restart(folder: &Path, count: u64) -> Result<(), Failure> {
    let mut group = Group::start(&folder.join("restart"), 3, 4096).await?;
    let [api, _] = group.leader_first().await?;
    fill(&api, 0, count).await?;
    group.kill().await;
    let start = Instant::now();
    let mut replicas = Vec::new();
    for settings in &group.settings {
        let one = control::start(settings.clone(), telemetry::log::silent());
        replicas.push(one.await?);
    }
    let opened = start.elapsed();
    for replica in &replicas {
        let api = client(replica.rpc()).await?;
        loop {
            let ask = Follow {
                have: 0,
                wait_ms: 0,
            };
            let reply = api.follow(within(TIMEOUT), ask).await?;
            if reply.confirmed && reply.version == count {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    println!(
        "measure=restart replicas=3 changes={count} opened_ms={} ready_ms={} log_bytes={}",
        opened.as_millis(),
        start.elapsed().as_millis(),
        log_bytes(&folder.join("restart"))? / 3,
    );
    for replica in &mut replicas {
        replica.kill().await;
    }
    Ok(())
}

/// Memory and snapshot bytes of ledger records that are in flight.
fn memory(count: u64) -> Result<(), Failure> {
    let before = resident_bytes()?;
    let mut state_machine = StateMachine::default();
    let start = Instant::now();
    for number in 0..count {
        let mut one = claim(number);
        one.service = format!("grants-{}", number % 8);
        let inner = wire::ledger::Command {
            kind: Some(command::Kind::Claim(one)),
        };
        let command = Command {
            now_ms: 1_800_000_000_000,
            kind: Some(wire::replica::command::Kind::Ledger(inner)),
        };
        state_machine.apply(&command.encode_to_vec().into())?;
    }
    let applied = start.elapsed();
    let grown = resident_bytes()?.saturating_sub(before);
    let start = Instant::now();
    let snapshot = state_machine.snapshot();
    println!(
        "measure=ledger records={} resident_bytes_per_record={} snapshot_bytes_per_record={} \
         apply_ns={} snapshot_ms={}",
        state_machine.ledger().counts().records,
        grown / count,
        snapshot.len() as u64 / count,
        applied.as_nanos() / u128::from(count),
        start.elapsed().as_millis(),
    );
    // Keeps the memory allocated, as the next measurement must not reuse it.
    let kept = Arc::new(state_machine);
    std::mem::forget(Arc::clone(&kept));
    Ok(())
}

fn resident_bytes() -> Result<u64, Failure> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).ok_or("statm has no second field")?;
    Ok(pages.parse::<u64>()? * 4096)
}

fn elapsed_micros(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
