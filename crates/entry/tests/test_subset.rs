//! Requests answered in time, and connections opened, where many processes with few requests
//! each share many instances.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures of a model"
)]

mod simulation;

use simulation::Case;
use simulation::Way;
use simulation::simulate;

/// One failure domain of a service: about two requests per second and process at normal load.
const CALM: Case = Case {
    instances: 60,
    slots: 6,
    work: 460_000,
    aim: 1_200_000,
    pace_interval: 300_000,
    slow_share: 0.25,
    slowdown: 4.0,
    processes: 90,
    calls: 175.0,
    seconds: 16,
    domains: 1,
    probes: 60,
};

/// Guards against opening a connection for most requests, and against a subset that is too small
/// for a burst of 1.7 times the normal load.
#[test]
fn test_subset_serves_as_many_in_time_with_few_connections() {
    for (calls, in_time, opened) in [(175.0, 0.98, 0.5), (300.0, 0.98, 0.5)] {
        let got = simulate(Case { calls, ..CALM }, Way::Alone, 1);
        println!(
            "{calls} a second: in time {:.3}, late {:.3}, refused {:.3}, probes {:.1}, opened {:.2}",
            got.in_time, got.late, got.refused, got.probes, got.opened
        );
        assert!(got.in_time >= in_time, "{calls} a second");
        assert!(got.opened <= opened, "{calls} a second");
    }
}

/// Guards against subsets so small that a few processes don't use all instances.
#[test]
fn test_subset_of_few_processes_reaches_every_instance() {
    let case = Case {
        processes: 6,
        calls: 300.0,
        ..CALM
    };
    let got = simulate(case, Way::Alone, 1);
    assert!(got.in_time >= 0.98, "in time {:.3}", got.in_time);
}
