//! Processor time of calls through one gateway, and of claims behind them.

use std::net::SocketAddr;
use std::time::Duration;

use base::header;
use base::prelude::*;
use load::CallOutcome;
use load::Options;
use reqwest::Client;
use standin::StandIn;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::interval;

use crate::fault::Fault;
use crate::process::Process;
use crate::process::Stat;
use crate::row::Row;
use crate::system::PROBES;
use crate::system::System;
use crate::system::service_name;
use crate::usage;

/// Calls a second that change nothing.
const RATES: [u32; 3] = [250, 1_000, 2_500];
/// Calls a second that are claimed.
const KEYED: [u32; 3] = [100, 300, 900];
/// Calls a second that each come on a connection of their own.
const FRESH: [u32; 3] = [200, 400, 800];
/// Tasks that make them.
const FRESH_TASKS: u32 = 20;
/// How long each rate is held.
const SPAN: Duration = Duration::from_secs(2);
/// Instances of each of the two services that are called.
const INSTANCES: usize = 10;
/// Mean time of one request at an instance.
const TIME: Duration = Duration::from_millis(2);
/// Between two looks at a service's instances.
const LOOK: Duration = Duration::from_millis(50);

/// Measures calls of an urgent service and keyed calls of a class-once one.
pub async fn run() -> Result<Vec<Row>, Fault> {
    let system = System::start(1, PROBES).await?;
    let upstreams = [upstreams(&system, 0).await?, upstreams(&system, 1).await?];
    let (gateway, addresses) = system.gateways(1).await?;
    let mut bench = Bench {
        system,
        gateway,
        address: addresses[0],
        direct: upstreams[0][0].address(),
    };
    bench.settle().await?;
    let mut rows = Vec::new();
    for rate in RATES {
        rows.push(bench.calls(rate).await?);
    }
    for rate in FRESH {
        rows.push(bench.fresh(rate).await?);
    }
    for rate in KEYED {
        rows.push(bench.keyed(rate).await?);
    }
    Ok(rows)
}

/// Starts the instances of the service number `service`.
pub async fn upstreams(system: &System, service: usize) -> Result<Vec<StandIn>, Fault> {
    let mut found = Vec::new();
    for number in 0..INSTANCES {
        let name = service_name(service);
        let mut settings = standin::Settings::new(
            ServiceName::new(&name)?,
            InstanceId::new(&format!("{name}-{number}"))?,
            DomainName::new("milano")?,
        );
        settings.directories.clone_from(&system.asks);
        settings.time = TIME;
        found.push(standin::start(settings, telemetry::log::silent()).await?);
    }
    Ok(found)
}

struct Bench {
    system: System,
    gateway: Process,
    address: SocketAddr,
    direct: SocketAddr,
}

impl Bench {
    /// Waits until a call of each service succeeds.
    async fn settle(&self) -> Result<(), Fault> {
        for service in [0, 1] {
            loop {
                let mut options = self.options(service, 10)?;
                options.duration = Duration::from_secs(1);
                let reports = load::run(options).await?;
                if reports[0].count(CallOutcome::Ok) == reports[0].sent() {
                    break;
                }
                tokio::time::sleep(LOOK).await;
            }
        }
        Ok(())
    }

    fn options(&self, service: usize, rate: u32) -> Result<Options, Fault> {
        let mut options = Options::new(ServiceName::new(&service_name(service))?);
        options.address = Some(self.address);
        options.rate = rate;
        options.duration = SPAN;
        if service == 1 {
            options.keyed = true;
            options.caller = CallerName::new("supervisor").ok();
            options.body = "a grant".into();
            options.seed = rate.into();
        }
        Ok(options)
    }

    async fn calls(&mut self, rate: u32) -> Result<Row, Fault> {
        let mut options = self.options(0, rate * 2)?;
        // Every second call goes straight to an instance.
        options.compare = Some(self.direct);
        let before = self.gateway.stat().await?;
        let reports = load::run(options).await?;
        let after = self.gateway.stat().await?;
        let row = Row::new("gateway", "call").at("calls_s", f64::from(rate));
        Ok(per_call(row, before, after, &reports[0])
            .with("p50_ms", reports[0].latency(0.5).as_secs_f64() * 1e3)
            .with("direct_p50_ms", reports[1].latency(0.5).as_secs_f64() * 1e3)
            .with("tool_lag_p99_ms", reports[0].lag().as_secs_f64() * 1e3))
    }

    /// Calls on connections that are closed after each.
    async fn fresh(&mut self, rate: u32) -> Result<Row, Fault> {
        let before = self.gateway.stat().await?;
        let mut tasks = JoinSet::new();
        for _ in 0..FRESH_TASKS {
            let url = format!("http://{}/", self.address);
            let pause = Duration::from_secs(1) * FRESH_TASKS / rate;
            tasks.spawn(call_afresh(url, pause));
        }
        let answered: u64 = tasks.join_all().await.iter().sum();
        let after = self.gateway.stat().await?;
        Ok(Row::new("gateway", "fresh-call")
            .at("calls_s", f64::from(rate))
            .with("cpu_us", usage::micros(after.cpu_since(&before), answered))
            .with("answered_s", usage::float(answered) / SPAN.as_secs_f64()))
    }

    async fn keyed(&mut self, rate: u32) -> Result<Row, Fault> {
        let leader = self.system.control.leader().await;
        let options = self.options(1, rate)?;
        let before = self.stats().await?;
        let sent = self.system.control.bytes.bytes();
        let reports = load::run(options).await?;
        let after = self.stats().await?;
        let calls = reports[0].sent();
        let micros = |i: usize| usage::micros(after[i].cpu_since(&before[i]), calls);
        let row = Row::new("gateway", "keyed-call").at("calls_s", f64::from(rate));
        Ok(per_call(row, before[0], after[0], &reports[0])
            .with("leader_cpu_us", micros(1 + leader))
            .with("follower_cpu_us", micros(1 + (leader + 1) % 3))
            .with(
                "replica_bytes",
                usage::ratio(self.system.control.bytes.bytes() - sent, calls),
            )
            .with("p50_ms", reports[0].latency(0.5).as_secs_f64() * 1e3)
            .with("p99_ms", reports[0].latency(0.99).as_secs_f64() * 1e3))
    }

    /// The gateway's use, then each replica's.
    async fn stats(&mut self) -> Result<Vec<Stat>, Fault> {
        let mut stats = vec![self.gateway.stat().await?];
        for replica in &mut self.system.control.processes {
            stats.push(replica.stat().await?);
        }
        Ok(stats)
    }
}

/// Calls the first service for [`SPAN`], each time on a new connection; counts the answers.
async fn call_afresh(url: String, pause: Duration) -> u64 {
    let builder = Client::builder().pool_max_idle_per_host(0);
    let Ok(client) = builder.build() else {
        return 0;
    };
    let end = Instant::now() + SPAN;
    let mut ticks = interval(pause);
    let mut answered = 0;
    while Instant::now() < end {
        ticks.tick().await;
        let call = client.get(&url).header(header::SERVICE, service_name(0));
        answered += u64::from(call.send().await.is_ok_and(|a| a.status().is_success()));
    }
    answered
}

fn per_call(row: Row, before: Stat, after: Stat, report: &load::Report) -> Row {
    let calls = report.sent();
    row.with("cpu_us", usage::micros(after.cpu_since(&before), calls))
        .with("log_lines", usage::ratio(after.lines - before.lines, calls))
        .with("log_bytes", usage::ratio(after.bytes - before.bytes, calls))
        .with(
            "not_ok",
            usage::float(calls - report.count(CallOutcome::Ok)),
        )
}
