//! Measures a gateway's memory with calls in flight, and its idle load with instances.

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
use crate::fault::MeasureError;
use crate::process::Process;
use crate::row::Row;
use crate::system::MANY_PROBES;
use crate::system::PROBES;
use crate::system::SERVICES;
use crate::system::System;
use crate::system::service_name;
use crate::usage;

/// Numbers of calls in flight, each on its own connection.
const IN_FLIGHT: [usize; 3] = [100, 400, 1_600];
/// Time until all calls are in flight, or a change has reached the gateway.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Service time of a call, long enough to measure while all are in flight.
const SERVICE_TIME: Duration = Duration::from_millis(2_500);
/// Slots of an instance, enough for all calls.
const SLOTS: u32 = 4_000;
/// Number of instances of the service that is called.
const UPSTREAMS: usize = 20;
/// Numbers of instances that the gateway knows.
const KNOWN: [usize; 3] = [100, 400, 1_600];
/// How long an idle gateway is measured.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Index of the service that is called.
const CALLED: usize = 0;

/// Measures memory by calls in flight, then idle load by known instances.
pub async fn run() -> Result<Vec<Row>, MeasureError> {
    let mut rows = measure_in_flight().await?;
    rows.extend(measure_known_instances("instances", PROBES).await?);
    rows.extend(measure_known_instances("probes", MANY_PROBES).await?);
    Ok(rows)
}

async fn measure_in_flight() -> Result<Vec<Row>, MeasureError> {
    let system = System::start(1, PROBES).await?;
    let name = service_name(CALLED);
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let mut settings = standin::Settings::new(
            ServiceName::new(&name)?,
            InstanceId::new(&format!("slow-{number}"))?,
            DomainName::new("milano")?,
        );
        settings.directories.clone_from(&system.directory_addresses);
        settings.time = SERVICE_TIME;
        settings.slots = SLOTS;
        settings.connections = SLOTS;
        upstreams.push(standin::start(settings, telemetry::log::silent()).await?);
    }
    let (mut gateway, addresses) = system.gateways(1).await?;
    sleep(SETTLE_TIME).await;
    let idle_rss = gateway.stat().await?.rss;
    let mut rows = Vec::new();
    for calls in IN_FLIGHT {
        let (in_flight_rss, ok) = burst(&mut gateway, addresses[0], &name, calls).await?;
        let growth = in_flight_rss.saturating_sub(idle_rss);
        rows.push(
            Row::new("gateway", "in-flight")
                .at("calls", usage::float(calls as u64))
                .with("rest_kib", usage::float(idle_rss))
                .with("kib_each", usage::ratio(growth, calls as u64))
                .with("not_ok", usage::float(calls as u64 - ok)),
        );
    }
    Ok(rows)
}

/// Sends `calls` concurrent calls; returns the gateway's resident memory in KiB while they
/// are in flight, and the number of successful calls.
async fn burst(
    gateway: &mut Process,
    address: SocketAddr,
    service: &str,
    calls: usize,
) -> Result<(u64, u64), MeasureError> {
    let client = Client::new();
    let mut tasks = JoinSet::new();
    for number in 0..calls {
        let call = client
            .get(format!("http://{address}/blocks/{number}"))
            .header(header::SERVICE, service);
        tasks.spawn(async move { call.send().await.is_ok_and(|a| a.status().is_success()) });
    }
    sleep(SETTLE_TIME).await;
    let in_flight_rss = gateway.stat().await?.rss;
    let answered = tasks.join_all().await;
    Ok((
        in_flight_rss,
        answered.iter().filter(|ok| **ok).count() as u64,
    ))
}

/// Measures an idle gateway with growing numbers of instances, probed within `budget`.
async fn measure_known_instances(
    slope: &'static str,
    budget: u32,
) -> Result<Vec<Row>, MeasureError> {
    let mut system = System::start(1, budget).await?;
    let (mut gateway, _) = system.gateways(1).await?;
    let upstreams = [probe_target("first").await?, probe_target("second").await?];
    let addresses = upstreams.each_ref().map(StandIn::address);
    sleep(SETTLE_TIME).await;
    let baseline = gateway.stat().await?;
    let mut announcers = Vec::new();
    let mut rows = Vec::new();
    let mut announced = 0;
    for count in KNOWN {
        announcers.push(announce::start(
            &system.directory_addresses,
            &addresses,
            announced..count,
        ));
        announced = count;
        let wait = format!("instances count={count}");
        system.directories.request(&wait).await?;
        // The gateway polls the directory at least every half second.
        sleep(SETTLE_TIME).await;
        let probes = || upstreams.iter().map(StandIn::probes).sum::<u64>();
        let (before, probes_before, started_at) = (gateway.stat().await?, probes(), Instant::now());
        sleep(IDLE_TIME).await;
        let after = gateway.stat().await?;
        let elapsed = started_at.elapsed();
        let growth = after.rss.saturating_sub(baseline.rss);
        let row = Row::new("gateway", slope)
            .at("instances", usage::float(count as u64))
            .at("services", usage::float(count.min(SERVICES) as u64))
            .with("rss_kib", usage::float(after.rss))
            .with("kib_each", usage::ratio(growth, count as u64))
            .with(
                "cpu_percent",
                usage::percent(after.cpu_since(&before), elapsed),
            )
            .with(
                "probes_s",
                usage::float(probes() - probes_before) / elapsed.as_secs_f64(),
            );
        rows.push(row);
    }
    Ok(rows)
}

/// Starts a stand-in that answers the probes of many announced instances.
async fn probe_target(name: &str) -> Result<StandIn, MeasureError> {
    let settings = standin::Settings::new(
        ServiceName::new("unnamed")?,
        InstanceId::new(name)?,
        DomainName::new("milano")?,
    );
    Ok(standin::start(settings, telemetry::log::silent()).await?)
}
