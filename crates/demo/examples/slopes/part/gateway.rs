//! Measures the processor time of calls through one gateway, and of their claims.

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

use crate::fault::MeasureError;
use crate::process::Process;
use crate::process::ResourceUsage;
use crate::row::Row;
use crate::system::PROBES;
use crate::system::System;
use crate::system::service_name;
use crate::usage;

/// Rates of calls without a claim, per second.
const RATES: [u32; 3] = [250, 1_000, 2_500];
/// Rates of calls with an idempotency key and so a claim, per second.
const KEYED_RATES: [u32; 3] = [100, 300, 900];
/// Rates of calls on a new connection each, per second.
const NEW_CONNECTION_RATES: [u32; 3] = [200, 400, 800];
/// Number of tasks that make calls on new connections.
const NEW_CONNECTION_TASKS: u32 = 20;
/// How long each rate is kept up.
const MEASURED_TIME: Duration = Duration::from_secs(2);
/// Instances of each of the two services that are called.
const INSTANCES: usize = 10;
/// Mean service time of an instance.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Pause between attempts to call a service.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Measures calls of a service of class `Urgent` and keyed calls of one of class `Once`.
pub async fn run() -> Result<Vec<Row>, MeasureError> {
    let system = System::start(1, PROBES).await?;
    let upstreams = [upstreams(&system, 0).await?, upstreams(&system, 1).await?];
    let (gateway, addresses) = system.gateways(1).await?;
    let mut bench = Bench {
        system,
        gateway,
        address: addresses[0],
        direct: upstreams[0][0].address(),
    };
    bench.wait_until_serving().await?;
    let mut rows = Vec::new();
    for rate in RATES {
        rows.push(bench.measure_calls(rate).await?);
    }
    for rate in NEW_CONNECTION_RATES {
        rows.push(bench.measure_new_connections(rate).await?);
    }
    for rate in KEYED_RATES {
        rows.push(bench.keyed(rate).await?);
    }
    Ok(rows)
}

/// Starts the instances of service `service`.
pub async fn upstreams(system: &System, service: usize) -> Result<Vec<StandIn>, MeasureError> {
    let mut upstreams = Vec::new();
    for number in 0..INSTANCES {
        let name = service_name(service);
        let mut settings = standin::Settings::new(
            ServiceName::new(&name)?,
            InstanceId::new(&format!("{name}-{number}"))?,
            DomainName::new("milano")?,
        );
        settings.directories.clone_from(&system.directory_addresses);
        settings.time = SERVICE_TIME;
        upstreams.push(standin::start(settings, telemetry::log::silent()).await?);
    }
    Ok(upstreams)
}

struct Bench {
    system: System,
    gateway: Process,
    address: SocketAddr,
    direct: SocketAddr,
}

impl Bench {
    /// Waits until all calls of each service succeed for a second.
    async fn wait_until_serving(&self) -> Result<(), MeasureError> {
        for service in [0, 1] {
            loop {
                let mut options = self.options(service, 10)?;
                options.duration = Duration::from_secs(1);
                let reports = load::run(options).await?;
                if reports[0].count(CallOutcome::Ok) == reports[0].sent() {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn options(&self, service: usize, rate: u32) -> Result<Options, MeasureError> {
        let mut options = Options::new(ServiceName::new(&service_name(service))?);
        options.address = Some(self.address);
        options.rate = rate;
        options.duration = MEASURED_TIME;
        if service == 1 {
            options.keyed = true;
            options.caller = CallerName::new("supervisor").ok();
            options.body = "a grant".into();
            options.seed = rate.into();
        }
        Ok(options)
    }

    async fn measure_calls(&mut self, rate: u32) -> Result<Row, MeasureError> {
        let mut options = self.options(0, rate * 2)?;
        // Every other call goes directly to an instance, for comparison.
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

    /// Measures calls on a new connection each.
    async fn measure_new_connections(&mut self, rate: u32) -> Result<Row, MeasureError> {
        let before = self.gateway.stat().await?;
        let mut tasks = JoinSet::new();
        for _ in 0..NEW_CONNECTION_TASKS {
            let url = format!("http://{}/", self.address);
            let pause = Duration::from_secs(1) * NEW_CONNECTION_TASKS / rate;
            tasks.spawn(call_on_new_connections(url, pause));
        }
        let answered: u64 = tasks.join_all().await.iter().sum();
        let after = self.gateway.stat().await?;
        Ok(Row::new("gateway", "fresh-call")
            .at("calls_s", f64::from(rate))
            .with("cpu_us", usage::micros(after.cpu_since(&before), answered))
            .with(
                "answered_s",
                usage::float(answered) / MEASURED_TIME.as_secs_f64(),
            ))
    }

    async fn keyed(&mut self, rate: u32) -> Result<Row, MeasureError> {
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

    /// Resource use of the gateway, followed by that of each replica.
    async fn stats(&mut self) -> Result<Vec<ResourceUsage>, MeasureError> {
        let mut stats = vec![self.gateway.stat().await?];
        for replica in &mut self.system.control.processes {
            stats.push(replica.stat().await?);
        }
        Ok(stats)
    }
}

/// Calls the first service on new connections for [`MEASURED_TIME`], and returns the
/// number of successful calls.
async fn call_on_new_connections(url: String, pause: Duration) -> u64 {
    let builder = Client::builder().pool_max_idle_per_host(0);
    let Ok(client) = builder.build() else {
        return 0;
    };
    let end = Instant::now() + MEASURED_TIME;
    let mut ticks = interval(pause);
    let mut answered = 0;
    while Instant::now() < end {
        ticks.tick().await;
        let call = client.get(&url).header(header::SERVICE, service_name(0));
        answered += u64::from(call.send().await.is_ok_and(|a| a.status().is_success()));
    }
    answered
}

fn per_call(row: Row, before: ResourceUsage, after: ResourceUsage, report: &load::Report) -> Row {
    let calls = report.sent();
    row.with("cpu_us", usage::micros(after.cpu_since(&before), calls))
        .with("log_lines", usage::ratio(after.lines - before.lines, calls))
        .with("log_bytes", usage::ratio(after.bytes - before.bytes, calls))
        .with(
            "not_ok",
            usage::float(calls - report.count(CallOutcome::Ok)),
        )
}
