//! What a gateway holds: calls in flight, and instances that it knows.

use std::net::SocketAddr;
use std::time::Duration;

use base::header;
use base::prelude::*;
use reqwest::Client;
use standin::StandIn;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::announce;
use crate::fault::Fault;
use crate::process::Process;
use crate::row::Row;
use crate::system::MANY_PROBES;
use crate::system::PROBES;
use crate::system::SERVICES;
use crate::system::System;
use crate::system::service_name;
use crate::usage;

/// Calls in flight, each on a connection of its own.
const FLIGHT: [usize; 3] = [100, 400, 1_600];
/// Time in which the calls come to be in flight.
const RISE: Duration = Duration::from_secs(1);
/// How long an upstream takes for one of them.
const SLOW: Duration = Duration::from_millis(2_500);
/// Slots of an instance that takes all of them.
const SLOTS: u32 = 4_000;
/// Instances of the service that is called.
const UPSTREAMS: usize = 20;
/// Instances known.
const KNOWN: [usize; 3] = [100, 400, 1_600];
/// How long a gateway is watched at rest.
const REST: Duration = Duration::from_secs(2);
/// The service that is called.
const CALLED: usize = 0;

/// Measures memory against calls in flight, then rest against instances.
pub async fn run() -> Result<Vec<Row>, Fault> {
    let mut rows = flight().await?;
    rows.extend(known("instances", PROBES).await?);
    rows.extend(known("probes", MANY_PROBES).await?);
    Ok(rows)
}

async fn flight() -> Result<Vec<Row>, Fault> {
    let system = System::start(1, PROBES).await?;
    let name = service_name(CALLED);
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let mut settings = standin::Settings::new(
            ServiceName::new(&name)?,
            InstanceId::new(&format!("slow-{number}"))?,
            DomainName::new("milano")?,
        );
        settings.directories.clone_from(&system.asks);
        settings.time = SLOW;
        settings.slots = SLOTS;
        settings.connections = SLOTS;
        upstreams.push(standin::start(settings, telemetry::log::silent()).await?);
    }
    let (mut gateway, addresses) = system.gateways(1).await?;
    sleep(RISE).await;
    let rest = gateway.stat().await?.rss;
    let mut rows = Vec::new();
    for calls in FLIGHT {
        let (held, ok) = burst(&mut gateway, addresses[0], &name, calls).await?;
        let grown = held.saturating_sub(rest);
        rows.push(
            Row::new("gateway", "in-flight")
                .at("calls", usage::float(calls as u64))
                .with("rest_kib", usage::float(rest))
                .with("kib_each", usage::ratio(grown, calls as u64))
                .with("not_ok", usage::float(calls as u64 - ok)),
        );
    }
    Ok(rows)
}

/// Sends `calls` at once; memory while they are in flight, and how many succeeded.
async fn burst(
    gateway: &mut Process,
    address: SocketAddr,
    service: &str,
    calls: usize,
) -> Result<(u64, u64), Fault> {
    let client = Client::new();
    let mut tasks = JoinSet::new();
    for number in 0..calls {
        let call = client
            .get(format!("http://{address}/blocks/{number}"))
            .header(header::SERVICE, service);
        tasks.spawn(async move { call.send().await.is_ok_and(|a| a.status().is_success()) });
    }
    sleep(RISE).await;
    let held = gateway.stat().await?.rss;
    let answered = tasks.join_all().await;
    Ok((held, answered.iter().filter(|ok| **ok).count() as u64))
}

/// A gateway at rest that knows more and more instances, and probes them within `budget`.
async fn known(slope: &'static str, budget: u32) -> Result<Vec<Row>, Fault> {
    let mut system = System::start(1, budget).await?;
    let (mut gateway, _) = system.gateways(1).await?;
    let upstreams = [probed("first").await?, probed("second").await?];
    let addresses = upstreams.each_ref().map(StandIn::address);
    sleep(RISE).await;
    let bare = gateway.stat().await?;
    let mut announcing = Vec::new();
    let mut rows = Vec::new();
    let mut have = 0;
    for count in KNOWN {
        announcing.push(announce::start(&system.asks, &addresses, have..count));
        have = count;
        let wait = format!("instances count={count}");
        system.directories.ask(&wait).await?;
        // The gateway's poll takes them over within half a second.
        sleep(RISE).await;
        let probes = || upstreams.iter().map(StandIn::probes).sum::<u64>();
        let (before, earlier, begin) = (gateway.stat().await?, probes(), Instant::now());
        sleep(REST).await;
        let after = gateway.stat().await?;
        let span = begin.elapsed();
        let grown = after.rss.saturating_sub(bare.rss);
        let row = Row::new("gateway", slope)
            .at("instances", usage::float(count as u64))
            .at("services", usage::float(count.min(SERVICES) as u64))
            .with("rss_kib", usage::float(after.rss))
            .with("kib_each", usage::ratio(grown, count as u64))
            .with(
                "cpu_percent",
                usage::percent(after.cpu_since(&before), span),
            )
            .with(
                "probes_s",
                usage::float(probes() - earlier) / span.as_secs_f64(),
            );
        rows.push(row);
    }
    Ok(rows)
}

/// An instance that answers the probes of many.
async fn probed(name: &str) -> Result<StandIn, Fault> {
    let settings = standin::Settings::new(
        ServiceName::new("unnamed")?,
        InstanceId::new(name)?,
        DomainName::new("milano")?,
    );
    Ok(standin::start(settings, telemetry::log::silent()).await?)
}
