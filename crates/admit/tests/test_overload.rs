//! Goodput and deadlines at twice the capacity, in the simulation of the example.

#[path = "../examples/overload/report.rs"]
mod report;
#[path = "../examples/overload/simulation.rs"]
mod simulation;

use admit::Mode;

use crate::report::Report;
use crate::report::Setup;
use crate::simulation::Simulation;

fn overload(mode: Mode, backlog: usize) -> Report {
    let setup = Setup {
        seed: 11,
        mode,
        concurrency: 32,
        backlog,
        load: 2.0,
    };
    Simulation::new(setup).run()
}

#[test]
fn test_overload_goodput_and_deadlines() {
    for backlog in [6, 64] {
        let report = overload(Mode::Adaptive, backlog);
        assert!(report.goodput() >= 0.95, "{backlog}: {report}");
        assert!(report.in_deadline() >= 0.99, "{backlog}: {report}");
        assert!(report.attempts() <= 1.1, "{backlog}: {report}");
    }
}

#[test]
fn test_overload_baseline_misses_deadlines() {
    for backlog in [6, 64] {
        let report = overload(Mode::Fixed, backlog);
        assert!(report.in_deadline() < 0.9, "{backlog}: {report}");
    }
}
