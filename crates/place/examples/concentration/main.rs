//! What sending a service's callers to a few gateways does: tail, probes,
//! connections, and evenness and stability of the gateways' load.
//!
//! Prints key=value lines: all, or those of the part that is named, `tail` or
//! `share`. The gateways choose with the product's own chooser
//! at fakes of a few slots on the paused runtime clock.

mod fake;
mod rig;
mod share;

use rig::Shape;

/// Gateways that a service's callers are sent to, over three failure domains of five.
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
    for shape in [Shape::FERROVIE, Shape::TRUST, Shape::LARGE] {
        for load in [0.3, 0.7, 0.9] {
            for gateways in WIDTHS {
                print_tail(&shape, load, gateways);
            }
        }
    }
}

fn print_shares() {
    for (hosts, domains, services) in [(15, 3, 4), (15, 3, 8), (16, 4, 130), (64, 4, 130)] {
        for least in [1, 2, 3] {
            share::print(hosts, domains, services, least);
        }
    }
}

/// One line: the middle of the seeds with the spread of the tail.
fn print_tail(shape: &Shape, load: f64, gateways: usize) {
    let mut runs: Vec<rig::Figures> = (1..=SEEDS)
        .map(|seed| rig::run(shape, load, gateways, seed))
        .collect();
    runs.sort_by_key(|run| run.p99);
    let ms = |span: std::time::Duration| span.as_secs_f64() * 1e3;
    let (low, high) = (&runs[0], &runs[runs.len() - 1]);
    let middle = &runs[runs.len() / 2];
    println!(
        "kind=tail shape={} load={load} gateways={gateways} calls={} p50_ms={:.2} p99_ms={:.2} p99_low_ms={:.2} p99_high_ms={:.2} p999_ms={:.2} probes_wanted_per_s_instance={:.2} connections_per_instance={:.1}",
        shape.name,
        middle.calls,
        ms(middle.p50),
        ms(middle.p99),
        ms(low.p99),
        ms(high.p99),
        ms(middle.p999),
        middle.probes,
        middle.connections,
    );
}
