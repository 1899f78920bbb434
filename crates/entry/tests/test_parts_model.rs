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

/// A service of 158 instances that 92 processes send to.
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
    probes: 42,
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

/// Simulates a service at a multiple of its usual load, without and with parts.
fn compare(name: &str, case: Case, factor: f64) -> [SimulationResult; 2] {
    let case = Case {
        calls: case.calls * factor,
        ..case
    };
    [Way::Alone, Way::Parts].map(|way| {
        let got = simulate(case, way, 1);
        println!(
            "{name} {factor} {way:?}: in time {:.3}, late {:.3}, refused {:.3}, probes {:.1}, \
             opened {:.2}, asked {:.2}, crossed {:.3}",
            got.in_time, got.late, got.refused, got.probes, got.opened, got.asked, got.crossed
        );
        got
    })
}

/// Guards against parts that serve fewer in time, cross failure domains, or cost more probes and
/// connections than choices of each process at the usual load.
#[test]
fn test_parts_serve_the_usual_load_with_fewer_probes_and_connections() {
    for (name, case) in [("balance", BALANCE), ("lookup", LOOKUP)] {
        let [alone, parts] = compare(name, case, 1.0);
        assert!(parts.in_time > alone.in_time - 0.01, "{name}");
        assert!(parts.probes < alone.probes, "{name}");
        assert!(parts.opened < alone.opened, "{name}");
        assert!(parts.crossed < 0.005, "{name}");
        assert!(parts.asked < 1.0, "{name}: one message a request");
    }
}

/// Guards against a dispatcher that spends its probes on full instances and then grants by old
/// reports, and against requests that are refused while other parts have capacity.
#[test]
fn test_parts_serve_more_of_a_burst() {
    for (name, case) in [("balance", BALANCE), ("lookup", LOOKUP)] {
        let [alone, parts] = compare(name, case, 2.2);
        assert!(parts.in_time > alone.in_time + 0.03, "{name}");
        assert!(parts.refused <= alone.refused, "{name}");
        assert!(parts.probes < alone.probes, "{name}");
    }
}
