//! Directories: their messages at rest, heartbeats, and callers' questions.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;

use crate::announce;
use crate::fault::Fault;
use crate::relay::Count;
use crate::row::Row;
use crate::system;
use crate::system::PROBES;
use crate::system::System;
use crate::system::service_name;
use crate::usage;

/// Hosts, and the instances that they come to know.
const POINTS: [(usize, &[usize]); 4] = [
    (1, &[1_600]),
    (5, &[400]),
    (15, &[0, 100, 400, 1_600]),
    (30, &[400]),
];
/// Time for the tables to settle.
const SETTLE: Duration = Duration::from_secs(1);
/// How long a point is watched.
const SPAN: Duration = Duration::from_secs(2);
/// Questions a second to one directory.
const ASKS: [u64; 3] = [200, 600, 1_800];
/// How long each rate of questions is held.
const ASKED: Duration = Duration::from_secs(2);
/// Tasks that ask.
const ASKERS: u64 = 20;

/// Measures directories at rest with some instances, then with callers.
pub async fn run() -> Result<Vec<Row>, Fault> {
    let mut rows = Vec::new();
    for (hosts, instances) in POINTS {
        rows.extend(rest(hosts, instances).await?);
    }
    let mut system = System::start(1, PROBES).await?;
    let (_gateway, _) = system.gateways(1).await?;
    sleep(SETTLE).await;
    for rate in ASKS {
        rows.push(asked(&mut system, rate).await?);
    }
    Ok(rows)
}

/// Directories that exchange while more and more instances announce themselves
/// at one of them each.
async fn rest(hosts: usize, sizes: &[usize]) -> Result<Vec<Row>, Fault> {
    let mut system = System::start(hosts, PROBES).await?;
    let bare = system.directories.stat().await?.rss;
    let nowhere: SocketAddr = ([127, 0, 0, 1], 9).into();
    let mut homes = Homes {
        heard: Count::default(),
        addresses: vec![],
    };
    homes.addresses = system::relays(&system.asks, &homes.heard).await?;
    let mut announcing = Vec::new();
    let mut rows = Vec::new();
    let mut have = 0;
    for count in sizes {
        announcing.push(announce::start(&homes.addresses, &[nowhere], have..*count));
        have = *count;
        let wait = format!("instances count={count}");
        system.directories.ask(&wait).await?;
        sleep(SETTLE).await;
        rows.push(watch(&mut system, &homes, *count as u64, bare).await?);
    }
    Ok(rows)
}

/// Where instances announce themselves, through relays.
struct Homes {
    heard: Count,
    addresses: Vec<SocketAddr>,
}

async fn watch(
    system: &mut System,
    homes: &Homes,
    instances: u64,
    bare: u64,
) -> Result<Row, Fault> {
    let hosts = homes.addresses.len() as u64;
    let before = system.directories.stat().await?;
    let (peers, follow) = (system.peers.bytes(), system.follow.bytes());
    let heard = homes.heard.bytes();
    let begin = Instant::now();
    sleep(SPAN).await;
    let after = system.directories.stat().await?;
    let span = begin.elapsed();
    let rate = |bytes: u64| usage::ratio(bytes, hosts) / span.as_secs_f64();
    // Each byte between directories leaves one and comes to another.
    let peers = rate(system.peers.bytes() - peers) * 2.0;
    let heartbeats = usage::ratio(instances, hosts) / announce::REFRESH.as_secs_f64();
    let busy = usage::percent(after.cpu_since(&before), span) / usage::float(hosts);
    let grown = usage::ratio(after.rss.saturating_sub(bare), hosts);
    Ok(Row::new("directory", "rest")
        .at("hosts", usage::float(hosts))
        .at("instances", usage::float(instances))
        .with("peer_bytes_s", peers)
        .with("follow_bytes_s", rate(system.follow.bytes() - follow))
        .with("heartbeats_s", heartbeats)
        .with("heartbeat_bytes_s", rate(homes.heard.bytes() - heard))
        .with("cpu_percent", busy)
        .with("grown_kib", grown)
        .with("rss_kib", usage::ratio(after.rss, hosts)))
}

/// One directory that callers ask `rate` times a second.
async fn asked(system: &mut System, rate: u64) -> Result<Row, Fault> {
    let before = system.directories.stat().await?;
    let begin = Instant::now();
    let client = Client::new();
    let mut tasks = JoinSet::new();
    for asker in 0..ASKERS {
        let pause = Duration::from_micros(1_000_000 * ASKERS / rate);
        let url = format!(
            "http://{}/v1/route?service={}",
            system.asks[0],
            service_name(usize::try_from(asker).unwrap_or_default())
        );
        tasks.spawn(ask(client.clone(), url, pause));
    }
    let answered: u64 = tasks.join_all().await.iter().sum();
    let after = system.directories.stat().await?;
    let spent = usage::micros(after.cpu_since(&before), answered);
    Ok(Row::new("directory", "question")
        .at("asks_s", usage::float(rate))
        .with(
            "answered_s",
            usage::float(answered) / begin.elapsed().as_secs_f64(),
        )
        .with("cpu_us", spent)
        .with(
            "log_bytes",
            usage::ratio(after.bytes - before.bytes, answered),
        ))
}

/// Asks again and again for [`ASKED`]; counts the good answers.
async fn ask(client: Client, url: String, pause: Duration) -> u64 {
    let end = Instant::now() + ASKED;
    let mut ticks = interval(pause);
    let mut answered = 0;
    while Instant::now() < end {
        ticks.tick().await;
        let answer = client.get(&url).send().await;
        answered += u64::from(answer.is_ok_and(|a| a.status().is_success()));
    }
    answered
}
