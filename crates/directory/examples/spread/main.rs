//! Measures how changes and membership spread over the directories.
//!
//! Prints key=value lines: the time until a change is accepted and until it is in force on
//! every host, and the traffic of a directory by the number of instances and hosts. All
//! processes run in this one process. The argument `force`, `phase` or `bytes` selects a
//! part; `bytes HOSTS INSTANCES [RESTARTS]` prints one line of that part.

mod fleet;
mod relay;

use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::Fleet;
use fleet::Plan;
use relay::Traffic;

const CHANGES: u64 = 20;
const MEASURE_DURATION: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() {
    let mut args = std::env::args().skip(1);
    let part = args.next().unwrap_or_else(|| "all".into());
    let mut number = || args.next().and_then(|text| text.parse::<usize>().ok());
    if let (Some(hosts), Some(instances)) = (number(), number()) {
        let restarts = number().map_or(Duration::ZERO, |n| {
            Duration::from_millis(1000 / n.max(1) as u64)
        });
        print_bytes(hosts, instances, restarts).await;
        return;
    }
    if part == "phase" || part == "all" {
        print_phase(15).await;
    }
    if part == "force" || part == "all" {
        for (hosts, cut) in [(5, 0), (15, 0), (15, 5), (15, 14), (30, 0)] {
            print_force(hosts, cut).await;
        }
    }
    if part == "bytes" || part == "all" {
        for instances in [0, 100, 400, 1600] {
            print_bytes(15, instances, Duration::ZERO).await;
        }
        for hosts in [5, 30] {
            print_bytes(hosts, 400, Duration::ZERO).await;
        }
        print_bytes(15, 1600, Duration::from_millis(500)).await;
    }
}

async fn print_force(hosts: usize, cut: usize) {
    let plan = Plan {
        hosts,
        cut,
        gateways: true,
        counted: false,
    };
    let fleet = Fleet::start(plan).await;
    let mut times = Vec::new();
    let mut slowest = Vec::new();
    let mut replies = Vec::new();
    for version in 2..2 + CHANGES {
        let sent = fleet.change(version).await;
        let accepted = sent.elapsed();
        let found = fleet.until_version(version, sent).await;
        replies.push(accepted);
        slowest.extend(found.iter().max().copied());
        times.extend(found);
    }
    times.sort();
    slowest.sort();
    replies.sort();
    let ms = |duration: Duration| duration.as_secs_f64() * 1e3;
    println!(
        "kind=force hosts={hosts} without_control={cut} changes={CHANGES} accepted_p50_ms={:.1} host_p50_ms={:.1} host_p99_ms={:.1} all_hosts_p50_ms={:.1} all_hosts_max_ms={:.1}",
        ms(replies[replies.len() / 2]),
        ms(times[times.len() / 2]),
        ms(times[times.len() * 99 / 100]),
        ms(slowest[slowest.len() / 2]),
        ms(slowest[slowest.len() - 1]),
    );
    fleet.stop().await;
}

/// Prints how long a drain and the expiry of an instance take to reach every gateway.
async fn print_phase(hosts: usize) {
    let plan = Plan {
        hosts,
        cut: 0,
        gateways: true,
        counted: false,
    };
    let fleet = Fleet::start(plan).await;
    let (mut drains, mut expiries) = (Vec::new(), Vec::new());
    for i in 0..usize::try_from(CHANGES).unwrap_or_default() {
        fleet.announce_once(i, members::Phase::Ready, 1);
        fleet.until_phase(i, Some(members::Phase::Ready)).await;
        let drained = fleet.announce_once(i, members::Phase::Draining, 2);
        fleet.until_phase(i, Some(members::Phase::Draining)).await;
        drains.push(drained.elapsed());
        // The instance sends no further heartbeats.
        fleet.until_phase(i, None).await;
        expiries.push(drained.elapsed());
    }
    drains.sort();
    expiries.sort();
    let ms = |duration: Duration| duration.as_secs_f64() * 1e3;
    println!(
        "kind=phase hosts={hosts} tries={CHANGES} drain_p50_ms={:.1} drain_max_ms={:.1} silent_p50_ms={:.1} silent_max_ms={:.1}",
        ms(drains[drains.len() / 2]),
        ms(drains[drains.len() - 1]),
        ms(expiries[expiries.len() / 2]),
        ms(expiries[expiries.len() - 1]),
    );
    fleet.stop().await;
}

async fn print_bytes(hosts: usize, instances: usize, restarts: Duration) {
    let plan = Plan {
        hosts,
        cut: 0,
        gateways: false,
        counted: true,
    };
    let fleet = Fleet::start(plan).await;
    let announcing = fleet.announce(instances, restarts);
    fleet.until_instances(instances).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = (read(&fleet.peers), read(&fleet.follow), cpu());
    tokio::time::sleep(MEASURE_DURATION).await;
    let after = (read(&fleet.peers), read(&fleet.follow), cpu());
    announcing.abort();
    // Bytes between directories count at both ends; those to control at one.
    let rate = |after: u64, before: u64, endpoints: f64| {
        let count = f64::from(u32::try_from(after - before).unwrap_or(u32::MAX));
        let hosts = f64::from(u32::try_from(hosts).unwrap_or(u32::MAX));
        count * endpoints / MEASURE_DURATION.as_secs_f64() / hosts
    };
    println!(
        "kind=bytes hosts={hosts} instances={instances} restarts_per_s={:.1} peers_bytes_per_s={:.0} peers_segments_per_s={:.1} follow_bytes_per_s={:.0} follow_segments_per_s={:.1} cpu_percent={:.2} rss_kib={}",
        if restarts.is_zero() {
            0.0
        } else {
            1.0 / restarts.as_secs_f64()
        },
        rate(after.0.0, before.0.0, 2.0),
        rate(after.0.1, before.0.1, 2.0),
        rate(after.1.0, before.1.0, 1.0),
        rate(after.1.1, before.1.1, 1.0),
        rate(after.2, before.2, 1.0),
        rss(),
    );
    fleet.stop().await;
}

fn read(traffic: &Traffic) -> (u64, u64) {
    (
        traffic.bytes.load(Ordering::Relaxed),
        traffic.reads.load(Ordering::Relaxed),
    )
}

/// CPU time of this process in ticks of 10 ms, so that one tick per second is one percent.
fn cpu() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    fields
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse::<u64>().ok())
        .sum()
}

/// Resident memory of this process in KiB, all roles included.
fn rss() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    digits
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}
