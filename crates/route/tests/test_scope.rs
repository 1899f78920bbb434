//! Choices among a part of the instances, and the preference for idle connections.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
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
use route::Scope;

const NEED: Need = Need {
    work: Duration::from_millis(160),
    aim: Duration::from_millis(400),
    crossing: 0.0,
    max_occupancy: 1.0,
    domain_index: DomainIndex::OWN,
    evidence: Evidence::Any,
};
const SLOTS: u32 = 3;
const INSTANCES: usize = 12;
/// Instances with an even number are in part 0, the others in part 1.
const PARTS: usize = 2;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn report(running: u32, pace: u32) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: SLOTS,
        pace,
    }
}

fn number(id: &InstanceId) -> usize {
    id.as_str().parse().expect("a number")
}

fn chooser() -> ProbingChooser {
    let domain = DomainName::new("a").expect("a name");
    let mut chooser = ProbingChooser::new(domain.clone(), 7);
    let instance = |number: usize| ReportedInstance {
        instance: Instance {
            id: InstanceId::new(&number.to_string()).expect("a name"),
            incarnation: 0,
            domain: domain.clone(),
            slots: SLOTS,
            phase: Phase::Ready,
        },
        cold: Duration::ZERO,
        silent: false,
    };
    let table: Vec<ReportedInstance> = (0..INSTANCES).map(instance).collect();
    chooser.update(at(0), &table);
    chooser.set_parts(|id| Some(number(id) % PARTS));
    chooser
}

fn scope(part: usize) -> Scope {
    Scope {
        part: Some(part),
        saved_probes: 1.0,
        ..Scope::default()
    }
}

fn pick(chooser: &ProbingChooser, number: usize) -> Pick {
    chooser.find(&number.to_string(), 0).expect("known")
}

fn probe_all(chooser: &mut ProbingChooser, now: Moment, report: LoadReport) {
    for number in 0..INSTANCES {
        let pick = pick(chooser, number);
        chooser.probed(now, pick, Some(report));
    }
}

/// The instance that a request is sent to.
fn sent(chooser: &mut ProbingChooser, now: Moment) -> Option<Pick> {
    match chooser.choose(now, &NEED, &[]) {
        Decision::Send(choice) => Some(choice.pick),
        _ => None,
    }
}

/// Guards against a dispatcher that probes or grants instances of another part, also when its own
/// are full, failing or unknown.
#[test]
fn test_scope_other_parts_get_no_probe_and_no_request() {
    for state in ["unknown", "idle", "full", "failing"] {
        let mut chooser = chooser();
        chooser.set_scope(scope(1));
        for number in (0..INSTANCES).filter(|number| number % PARTS == 1) {
            let pick = pick(&chooser, number);
            match state {
                "idle" => chooser.probed(at(0), pick, Some(report(0, 100))),
                "full" => chooser.probed(at(0), pick, Some(report(SLOTS, 100))),
                "failing" => {
                    for attempt in 0..20 {
                        let ticket = chooser.started(at(attempt), pick);
                        chooser.finished(at(attempt), ticket, OutcomeKind::Error, None);
                    }
                }
                _ => {}
            }
        }
        for now in 30..60 {
            let planned = chooser.plan(at(now), &NEED, &[], 0, |count| count);
            let chosen = sent(&mut chooser, at(now));
            for pick in planned.into_iter().chain(chosen) {
                assert_eq!(chooser.part(pick), Some(1), "{state}");
            }
        }
    }
}

/// Guards against new connections while an equally good instance has an idle one, and against
/// sending to a slow or nearly full instance for the sake of a connection.
#[test]
fn test_scope_connections_decide_between_equals_only() {
    let mut chooser = chooser();
    let connected = vec![pick(&chooser, 1), pick(&chooser, 3)];
    let preferring = Scope {
        connected: connected.clone(),
        ..scope(1)
    };
    probe_all(&mut chooser, at(0), report(0, 100));
    chooser.set_scope(preferring.clone());
    for _ in 0..20 {
        let chosen = sent(&mut chooser, at(5)).expect("they are idle");
        assert!(connected.contains(&chosen));
    }
    for (busy, pace) in [(2, 100), (0, 400)] {
        for connected in &connected {
            chooser.probed(at(6), *connected, Some(report(busy, pace)));
        }
        for _ in 0..20 {
            let chosen = sent(&mut chooser, at(7)).expect("others are idle");
            assert!(!connected.contains(&chosen), "busy {busy}, pace {pace}");
        }
    }
}

/// Guards against spending probes on instances that the dispatcher's own grants fill: under
/// overload no probe is left for those that get a free slot.
#[test]
fn test_scope_full_instances_are_not_probed() {
    let mut chooser = chooser();
    chooser.set_scope(scope(0));
    let mut tickets = BTreeMap::new();
    for number in (0..INSTANCES).filter(|number| number % PARTS == 0) {
        let pick = pick(&chooser, number);
        let taken: Vec<_> = (0..SLOTS).map(|_| chooser.started(at(0), pick)).collect();
        tickets.insert(number, taken);
    }
    assert!(
        chooser
            .plan(at(500), &NEED, &[], 0, |count| count)
            .is_empty()
    );
    assert_eq!(chooser.part_load(at(500), 0), (18, 18));
    let ended = tickets.get_mut(&4).and_then(Vec::pop).expect("an attempt");
    chooser.finished(at(600), ended, OutcomeKind::Ok, None);
    let planned = chooser.plan(at(601), &NEED, &[], 0, |count| count);
    assert_eq!(planned, [pick(&chooser, 4)]);
}

/// Guards against probing at each choice while the probes run out.
#[test]
fn test_scope_reports_count_as_fresh_for_longer_without_probes() {
    for (saved_probes, age, count) in [(1.0, 11, 0), (1.0, 13, 3), (0.0, 39, 0), (0.0, 41, 3)] {
        let mut chooser = chooser();
        probe_all(&mut chooser, at(0), report(0, 100));
        chooser.set_scope(Scope {
            saved_probes,
            ..scope(0)
        });
        let planned = chooser.plan(at(age), &NEED, &[], 0, |count| count);
        assert_eq!(planned.len(), count, "{saved_probes} {age}");
    }
}
