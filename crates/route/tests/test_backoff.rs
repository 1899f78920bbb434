//! Choices among instances of which some asked for a backoff.

use std::time::Duration;

use base::prelude::*;
use quickcheck::quickcheck;
use route::Decision;
use route::DomainIndex;
use route::Evidence;
use route::Instance;
use route::LoadReport;
use route::Need;
use route::OutcomeKind;
use route::Phase;
use route::Pick;
use route::ProbingChooser;
use route::ReportedInstance;

const NEED: Need = Need {
    work: Duration::from_millis(120),
    aim: Duration::from_millis(300),
    crossing: 0.05,
    max_occupancy: 1.0,
    domain_index: DomainIndex::OWN,
    evidence: Evidence::Any,
};
/// An instance that refuses everything looks like this to a probe.
const IDLE: LoadReport = LoadReport {
    running: 0,
    waiting: 0,
    slots: 6,
    pace: 100,
};
const INSTANCES: usize = 3;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn chooser() -> (ProbingChooser, Vec<Pick>) {
    let domain = DomainName::new("a").expect("a name");
    let mut chooser = ProbingChooser::new(domain.clone(), 7);
    let ids: Vec<String> = (1..=INSTANCES)
        .map(|number| format!("i-{number}"))
        .collect();
    let rows = ids.iter().map(|id| ReportedInstance {
        instance: Instance {
            id: InstanceId::new(id).expect("a name"),
            incarnation: 0,
            domain: domain.clone(),
            slots: 6,
            phase: Phase::Ready,
        },
        cold: Duration::ZERO,
        silent: false,
    });
    chooser.update(at(0), &rows.collect::<Vec<_>>());
    let picks = chooser.picks(&ids);
    (chooser, picks)
}

/// Probes what the chooser plans, and returns these instances and the decision.
fn decide(chooser: &mut ProbingChooser, now: Moment) -> (Vec<Pick>, Decision) {
    let mut probed = Vec::new();
    for round in 0.. {
        let picks = chooser.plan(now, &NEED, &[], round, |count| count);
        if picks.is_empty() {
            break;
        }
        for pick in picks {
            chooser.probed(now, pick, Some(IDLE));
            probed.push(pick);
        }
    }
    (probed, chooser.choose(now, &NEED, &[]))
}

quickcheck! {
    /// Guards against a request or a probe to an instance that is backed off, whatever failed there before, and
    /// against requests that are turned away although another instance takes them.
    fn test_backoff_is_kept_by_every_choice(steps: Vec<(u8, u8, u16)>) -> bool {
        let (mut chooser, picks) = chooser();
        let mut ends = [0; INSTANCES];
        for (step, (instance, kind, length)) in (0..).zip(steps) {
            let now = step * 40;
            let index = usize::from(instance) % INSTANCES;
            let kinds = [OutcomeKind::Ok, OutcomeKind::Error, OutcomeKind::Timeout, OutcomeKind::Shed];
            let kind = kinds[usize::from(kind) % kinds.len()];
            let ticket = chooser.started(at(now), picks[index]);
            chooser.finished(at(now), ticket, kind, None);
            if kind == OutcomeKind::Shed {
                let end = now + u64::from(length) % 2_000;
                ends[index] = end.max(ends[index]);
                chooser.set_backoff(picks[index], at(end));
            }
            let rests = |pick: &Pick| {
                let index = picks.iter().position(|known| known == pick).expect("known");
                now < ends[index]
            };
            let (probed, decision) = decide(&mut chooser, at(now));
            let ejected = chooser.plan_ejected(at(now), |count| count);
            if probed.iter().chain(&ejected).any(rests) {
                return false;
            }
            for pick in ejected {
                chooser.probed(at(now), pick, Some(IDLE));
            }
            let kept = match decision {
                Decision::Send(choice) | Decision::Slow(choice) => !rests(&choice.pick),
                Decision::Wait | Decision::Full => picks.iter().any(rests),
                Decision::None => false,
            };
            if !kept || picks.iter().any(|pick| rests(pick) && chooser.has_room(at(now), *pick)) {
                return false;
            }
        }
        true
    }
}

/// Guards against requests that wait for the end of a rest beyond the time that they have.
#[test]
fn test_backoff_of_all_instances_refuses_or_waits_by_its_end() {
    let (mut chooser, picks) = chooser();
    for (pick, end) in picks.iter().zip([900, 600, 700]) {
        chooser.set_backoff(*pick, at(end));
    }
    assert_eq!(chooser.first_backoff_end(at(0)), Some(at(600)));
    assert_eq!(decide(&mut chooser, at(0)), (Vec::new(), Decision::Full));
    assert_eq!(decide(&mut chooser, at(500)), (Vec::new(), Decision::Wait));
    assert_eq!(chooser.first_backoff_end(at(600)), None);
    let (_, decision) = decide(&mut chooser, at(600));
    assert!(matches!(decision, Decision::Send(choice) if choice.pick == picks[1]));
}

/// Guards against all waiting requests going to an instance whose rest has just ended.
#[test]
fn test_backoff_is_followed_by_one_request_at_a_time_until_one_is_taken() {
    let (mut chooser, picks) = chooser();
    for pick in &picks {
        chooser.set_backoff(*pick, at(100));
    }
    let mut tickets = Vec::new();
    while let Decision::Send(choice) = decide(&mut chooser, at(100)).1 {
        tickets.push(chooser.started(at(100), choice.pick));
    }
    assert_eq!(tickets.len(), INSTANCES);
    for ticket in tickets {
        chooser.finished(at(200), ticket, OutcomeKind::Ok, Some(IDLE));
    }
    for _ in 0..2 * INSTANCES {
        let Decision::Send(choice) = decide(&mut chooser, at(200)).1 else {
            panic!("there is room");
        };
        let _ = chooser.started(at(200), choice.pick);
    }
}
