//! Measures the effect of sending a service's callers to a few gateways: tail latency, probes,
//! connections, and the evenness and stability of the gateways' load.
//!
//! Prints key=value lines: all, or only those of the part `tail` or `share`. The gateways use
//! the production chooser on fake upstreams with a few slots and the paused runtime clock.

mod fake;
mod share;
mod simulation;

use simulation::Workload;

/// Numbers of gateways per service, out of three failure domains of five hosts.
const WIDTHS: [usize; 5] = [1, 3, 6, 9, 15];
const SEEDS: u64 = 3;

fn main() {
    let part = std::env::args().nth(1).unwrap_or_else(|| "all".into());
    if part != "share" {
        print_tails();
    }
    if part != "tail" {
        print_shares();
    }
}

fn print_tails() {
    for workload in [Workload::FERROVIE, Workload::TRUST, Workload::LARGE] {
        for load in [0.3, 0.7, 0.9] {
            for gateways in WIDTHS {
                print_tail(&workload, load, gateways);
            }
        }
    }
}

fn print_shares() {
    for (hosts, domains, services) in [(15, 3, 4), (15, 3, 8), (16, 4, 130), (64, 4, 130)] {
        for min_gateways in [1, 2, 3] {
            share::print(hosts, domains, services, min_gateways);
        }
    }
}

/// Prints one line: the median over the seeds, with the range of the p99.
fn print_tail(workload: &Workload, load: f64, gateways: usize) {
    let mut runs: Vec<simulation::RunStats> = (1..=SEEDS)
        .map(|seed| simulation::run(workload, load, gateways, seed))
        .collect();
    runs.sort_by_key(|run| run.p99);
    let ms = |duration: std::time::Duration| duration.as_secs_f64() * 1e3;
    let (low, high) = (&runs[0], &runs[runs.len() - 1]);
    let median = &runs[runs.len() / 2];
    println!(
        "kind=tail shape={} load={load} gateways={gateways} calls={} p50_ms={:.2} p99_ms={:.2} p99_low_ms={:.2} p99_high_ms={:.2} p999_ms={:.2} probes_wanted_per_s_instance={:.2} connections_per_instance={:.1}",
        workload.name,
        median.calls,
        ms(median.p50),
        ms(median.p99),
        ms(low.p99),
        ms(high.p99),
        ms(median.p999),
        median.probes,
        median.connections,
    );
}
