//! Measures the CPU time of a gateway with many services and no calls.
//!
//! `idle SERVICES INSTANCES PROBE_MILLIS GATEWAYS SECONDS` prints the CPU time of the
//! gateway's threads and the number of probes received.

#[path = "../tests/fakes/mod.rs"]
mod fakes;

use std::env;
use std::fs;
use std::time::Duration;

use tokio::runtime::Builder;
use wire::directory::Phase;

use crate::fakes::directory::FakeDirectory;
use crate::fakes::directory::State;
use crate::fakes::upstream::FakeUpstream;

/// Name of the gateway's threads.
const THREADS: &str = "idle-gateway";

fn main() {
    let arguments: Vec<u64> = env::args()
        .skip(1)
        .map(|a| a.parse().expect("a number"))
        .collect();
    let [services, instances, millis, gateways, seconds] = arguments[..] else {
        panic!("idle SERVICES INSTANCES PROBE_MILLIS GATEWAYS SECONDS");
    };
    let fakes_runtime = Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("threads");
    let (directory, upstream) = fakes_runtime.block_on(async {
        let upstream = FakeUpstream::start().await;
        let state = state(services, instances, millis, gateways, &upstream);
        (FakeDirectory::serve(state).await, upstream)
    });
    let gateway_runtime = Builder::new_multi_thread()
        .thread_name(THREADS)
        .enable_all()
        .build()
        .expect("threads");
    let mut settings = fakes::settings(&[directory.address], &[]);
    settings.lease.poll = Duration::from_millis(500);
    let gateway = gateway_runtime
        .block_on(gateway_runtime.spawn(fakes::ready(settings)))
        .expect("a gateway");
    std::thread::sleep(Duration::from_secs(8));
    let (cpu_time, probes) = (cpu_time(), upstream.probes().len());
    std::thread::sleep(Duration::from_secs(seconds));
    let spent = self::cpu_time() - cpu_time;
    let received = upstream.probes().len() - probes;
    println!(
        "services={services} instances={instances} probe_millis={millis} gateways={gateways} \
         cpu_us_s={} probes={received} seconds={seconds}",
        spent / 1_000 / seconds,
    );
    drop(gateway);
}

fn state(
    services: u64,
    instances: u64,
    millis: u64,
    gateways: u64,
    upstream: &FakeUpstream,
) -> State {
    let mut catalogue = fakes::directory::catalogue(1);
    let template = catalogue.entries[0].clone();
    let name = |number: u64| format!("service-{}", number % services);
    catalogue.entries = (0..services)
        .map(|number| {
            let mut entry = template.clone();
            entry.service = name(number);
            let limits = entry.limits.as_mut().expect("limits");
            limits.probe_millis = u32::try_from(millis).expect("few");
            entry
        })
        .collect();
    catalogue.gateways = (1..=gateways).map(|g| format!("host-{g}")).collect();
    let instance_of = |number: u64| {
        let id = format!("i-{number}");
        fakes::directory::instance(&name(number), &id, upstream.address, Phase::Ready)
    };
    State {
        catalogue,
        confirmed: true,
        instances: (0..instances).map(instance_of).collect(),
        cursor: 1,
        received: Vec::new(),
        hosts: Vec::new(),
        ignores_reports: false,
    }
}

/// CPU time of the gateway's threads in nanoseconds.
fn cpu_time() -> u64 {
    let tasks = fs::read_dir("/proc/self/task").expect("a task list");
    let times = tasks.filter_map(|task| {
        let path = task.ok()?.path();
        let name = fs::read_to_string(path.join("comm")).ok()?;
        let times = fs::read_to_string(path.join("schedstat")).ok()?;
        let time: u64 = times.split(' ').next()?.parse().ok()?;
        (name.trim() == THREADS).then_some(time)
    });
    times.sum::<u64>()
}
