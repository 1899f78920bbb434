//! An instance with a fault loses traffic, and gets it back when it is well.

mod common;

use std::time::Duration;

use common::Act;
use common::Drive;
use common::WORK;
use route::Outcome;
use route::OutcomeKind;
use route::Phase;
use route::Pick;
use route::Policy;
use route::view::Health;
use strum::IntoEnumIterator;

/// The policy under test; each case is red with the baselines.
const POLICY: Policy = Policy::LeastWait;
/// Instances of each case; the even share is a sixth.
const COUNT: usize = 6;

struct Case {
    name: &'static str,
    act: Act,
    most: f64,
}

const CASES: [Case; 7] = [
    Case {
        name: "slow 10 times",
        act: Act::Work(10 * WORK),
        most: 0.02,
    },
    Case {
        name: "fails fast",
        act: Act::Fail,
        most: 0.005,
    },
    Case {
        name: "takes no connection",
        act: Act::Refuse,
        most: 0.005,
    },
    Case {
        name: "stalls",
        act: Act::Stall,
        most: 0.005,
    },
    Case {
        name: "sheds",
        act: Act::Shed,
        most: 0.01,
    },
    Case {
        name: "flaps",
        act: Act::Flap(300),
        most: 0.04,
    },
    Case {
        name: "is busy with others' requests",
        act: Act::Busy(12),
        most: 0.05,
    },
];

#[test]
fn test_faults_lose_traffic() {
    let mut red = Vec::new();
    for case in &CASES {
        let mut drive = Drive::new(POLICY, COUNT);
        drive.run(1000);
        drive.acts[0] = case.act;
        drive.run(2000);
        let share = drive.run(4000)[0];
        if share > case.most {
            red.push(format!("{}: {share:.4} over {}", case.name, case.most));
        }
    }
    assert!(red.is_empty(), "{red:#?}");
}

#[test]
fn test_faults_recover() {
    let mut red = Vec::new();
    for case in &CASES {
        let mut drive = Drive::new(POLICY, COUNT);
        drive.run(1000);
        drive.acts[0] = case.act;
        drive.run(3000);
        drive.acts[0] = Act::Work(WORK);
        drive.run(20_000);
        let share = drive.run(5000)[0];
        if share < 0.1 {
            red.push(format!("{}: {share:.4}", case.name));
        }
    }
    assert!(red.is_empty(), "{red:#?}");
}

#[test]
fn test_faults_bounded_ejection() {
    for act in [Act::Fail, Act::Stall, Act::Refuse] {
        let mut drive = Drive::new(POLICY, COUNT);
        drive.run(1000);
        drive.acts.fill(act);
        drive.run(3000);
        let views = drive.chooser.views(drive.now());
        let well = views.iter().filter(|v| v.health == Health::Well).count();
        assert!(well >= COUNT / 2, "{act:?}: only {well} are left");
        assert!(drive.chooser.choose(drive.now(), &[]).is_some());
    }
}

#[test]
fn test_faults_silent_gets_nothing() {
    let mut drive = Drive::new(POLICY, COUNT);
    drive.run(1000);
    drive.acts[0] = Act::Stall;
    drive.run(2000);
    drive.run(30_000);
    assert_eq!(
        drive.counts[0], 0,
        "new work for a silent instance after 2 s"
    );
}

#[test]
fn test_faults_trial_waits_for_probe() {
    let mut drive = Drive::new(POLICY, COUNT);
    drive.run(1000);
    drive.acts[0] = Act::Stall;
    drive.run(2000);
    drive.acts[0] = Act::Work(WORK);
    drive.probes = false;
    drive.run(5000);
    assert_eq!(drive.counts[0], 0, "a trial without an answered probe");
    drive.probes = true;
    drive.run(5000);
    assert!(drive.counts[0] > 0, "no trial after an answered probe");
}

#[test]
fn test_faults_cold_ramps() {
    let mut drive = Drive::new(POLICY, COUNT);
    drive.phases[0] = Phase::Starting;
    drive.announce();
    drive.run(1000);
    drive.phases[0] = Phase::Ready;
    drive.acts[0] = Act::Work(4 * WORK);
    drive.announce();
    let cold = drive.run(500)[0];
    drive.acts[0] = Act::Work(WORK);
    drive.run(5000);
    let warm = drive.run(5000)[0];
    assert!(cold < 0.05, "{cold:.3} of the choices while cold");
    assert!(warm > 0.1, "{warm:.3} of the choices once warm");
}

#[test]
fn test_faults_leaving_gets_nothing() {
    for phase in [Phase::Starting, Phase::Draining, Phase::Gone] {
        let mut drive = Drive::new(POLICY, COUNT);
        drive.run(500);
        drive.phases[0] = phase;
        drive.announce();
        drive.run(2000);
        assert_eq!(drive.counts[0], 0, "new work while {phase}");
    }
}

#[test]
fn test_faults_lie_attracts_nothing() {
    let mut drive = Drive::new(POLICY, COUNT);
    drive.acts.fill(Act::Busy(SHARED));
    drive.run(1000);
    drive.acts[0] = Act::Lie;
    drive.run(2000);
    let share = drive.run(4000)[0];
    assert!(share < 0.25, "{share:.3} for the one that says it is idle");
}

/// Requests of other gateways at each instance.
const SHARED: u32 = 4;

#[test]
fn test_faults_late_end_is_ignored() {
    let mut drive = Drive::new(POLICY, 2);
    let now = drive.now();
    let choice = drive.chooser.choose(now, &[]).expect("two are ready");
    let tickets = [(); 4].map(|()| drive.chooser.started(now, choice.pick));
    drive.phases.fill(Phase::Gone);
    drive.announce();
    drive.phases.fill(Phase::Ready);
    drive.announce();
    for ticket in tickets {
        let outcome = Outcome {
            kind: OutcomeKind::Error,
            latency: Duration::ZERO,
            report: None,
        };
        drive.chooser.finished(now, ticket, outcome);
    }
    assert!(drive.chooser.id(choice.pick).is_none());
    let views = drive.chooser.views(now);
    assert!(views.iter().all(|view| view.health == Health::Ramping));
}

/// Instances where every policy is tried.
const FEW: usize = 4;

fn picks(drive: &mut Drive) -> Vec<Pick> {
    let mut picks: Vec<Pick> = Vec::new();
    while picks.len() < FEW {
        let choice = drive.chooser.choose(drive.now(), &picks);
        picks.push(choice.expect("all are ready").pick);
    }
    picks
}

#[test]
fn test_choice_excludes() {
    for policy in Policy::iter() {
        let mut drive = Drive::new(policy, FEW);
        let mut picks = picks(&mut drive);
        let choice = drive.chooser.choose(drive.now(), &picks);
        assert!(choice.is_some(), "{policy}: none when all are excluded");
        picks.sort_by_key(|pick| drive.chooser.id(*pick).cloned());
        picks.dedup();
        assert_eq!(picks.len(), FEW, "{policy}: an excluded one was chosen");
    }
}

#[test]
fn test_choice_needs_ready() {
    for policy in Policy::iter() {
        for phase in [Phase::Starting, Phase::Draining, Phase::Gone] {
            let mut drive = Drive::new(policy, FEW);
            drive.phases.fill(phase);
            drive.announce();
            let choice = drive.chooser.choose(drive.now(), &[]);
            assert!(choice.is_none(), "{policy}: a choice while all are {phase}");
        }
    }
}

#[test]
fn test_choice_spreads() {
    for policy in Policy::iter() {
        let mut drive = Drive::new(policy, FEW);
        let shares = drive.run(4000);
        let even = 1.0 / 4.0;
        for share in shares {
            assert!(
                (share - even).abs() < 0.03,
                "{policy}: {share:.3} of the choices"
            );
        }
    }
}
