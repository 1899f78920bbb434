//! Requests answered in time, probes and connections of a service that is too large for one
//! dispatcher, with and without parts.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures of a model"
)]

mod simulation;

use simulation::Case;
use simulation::SimulationResult;
use simulation::Way;
use simulation::simulate;

/// Balance checks of the gateway deployment.
const BALANCE: Case = Case {
    instances: 158,
    slots: 3,
    work: 160_000,
    aim: 400_000,
    pace_interval: 300_000,
    slow_share: 0.3,
    slowdown: 4.0,
    processes: 92,
    calls: 560.0,
    seconds: 8,
    domains: 3,
};

/// Crew lookups of the time sheet deployment.
const LOOKUP: Case = Case {
    instances: 162,
    slots: 2,
    work: 140_000,
    processes: 36,
    calls: 436.0,
    ..BALANCE
};

fn show(name: &str, case: Case, way: Way) -> SimulationResult {
    let got = simulate(case, way, 1);
    println!(
        "{name} {way:?}: in time {:.3}, late {:.3}, refused {:.3}, probes {:.1}, opened {:.2}, \
         asked {:.2}, crossed {:.3}",
        got.in_time, got.late, got.refused, got.probes, got.opened, got.asked, got.crossed
    );
    got
}

#[test]
fn test_model_parts() {
    for (name, case, factors) in [
        ("balance", BALANCE, [1.0, 1.6, 2.2]),
        ("lookup", LOOKUP, [1.0, 1.6, 2.2]),
    ] {
        for factor in factors {
            let case = Case {
                calls: case.calls * factor,
                ..case
            };
            let name = format!("{name} {factor}");
            show(&name, case, Way::Alone);
            show(&name, case, Way::Parts);
        }
    }
}
