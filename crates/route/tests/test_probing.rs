//! Choices of the probing chooser.

use std::time::Duration;

use base::prelude::*;
use quickcheck::TestResult;
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
use route::cost;
use route::cost::InstanceState;
use route::cost::PaceStats;

const NEED: Need = Need {
    work: Duration::from_millis(120),
    aim: Duration::from_millis(300),
    crossing: 0.05,
    max_occupancy: 1.0,
    domain_index: DomainIndex::OWN,
    evidence: Evidence::Any,
};

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a name")
}

fn instance(id: &str, domain_name: &str) -> ReportedInstance {
    let instance = Instance {
        id: InstanceId::new(id).expect("a name"),
        incarnation: 0,
        domain: domain(domain_name),
        slots: 6,
        phase: Phase::Ready,
    };
    ReportedInstance {
        instance,
        cold: Duration::ZERO,
        silent: false,
    }
}

fn chooser(instances: &[ReportedInstance]) -> ProbingChooser {
    let mut chooser = ProbingChooser::new(domain("a"), 7);
    chooser.update(at(0), instances);
    chooser
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn report(running: u32, waiting: u32, pace: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 6,
        pace,
    }
}

/// Guards against a new instance taking the entry of a listed one.
#[test]
fn test_probing_new_instance_reuses_only_removed_entries() {
    let (one, two) = (instance("i-1", "a"), instance("i-2", "a"));
    let mut chooser = chooser(std::slice::from_ref(&one));
    chooser.update(at(1), &[two.clone(), one.clone()]);
    assert!(chooser.find("i-1", 0).is_some() && chooser.find("i-2", 0).is_some());
    chooser.update(at(2), &[instance("i-3", "a"), two]);
    assert!(chooser.find("i-1", 0).is_none());
    assert!(chooser.find("i-2", 0).is_some() && chooser.find("i-3", 0).is_some());
}

/// Probes what the chooser plans; `reported` gives each instance's report. Returns the number
/// of probes.
fn probe_until_decided(
    chooser: &mut ProbingChooser,
    now: Moment,
    reported: impl Fn(&str) -> Option<LoadReport>,
) -> usize {
    let mut asked = 0;
    for round in 0.. {
        let picks = chooser.plan(now, &NEED, &[], round, |count| count);
        if picks.is_empty() {
            return asked;
        }
        asked += picks.len();
        for pick in picks {
            let id = chooser.id(pick).expect("known").as_str().to_owned();
            chooser.probed(now, pick, reported(&id));
        }
    }
    asked
}

fn sent(chooser: &mut ProbingChooser, now: Moment) -> Option<(String, Pick)> {
    match chooser.choose(now, &NEED, &[]) {
        Decision::Send(choice) => {
            let id = chooser.id(choice.pick).expect("known").as_str().to_owned();
            Some((id, choice.pick))
        }
        _ => None,
    }
}

#[test]
fn test_probing_prefers_faster_instance() {
    let mut chooser = chooser(&["i-1", "i-2", "i-3"].map(|id| instance(id, "a")));
    let reported = |id: &str| {
        let pace = if id == "i-2" { 100 } else { 400 };
        Some(report(2, 0, pace))
    };
    probe_until_decided(&mut chooser, at(0), reported);
    assert_eq!(
        sent(&mut chooser, at(0)).map(|s| s.0).as_deref(),
        Some("i-2")
    );
}

#[test]
fn test_probing_prefers_own_domain_unless_slow() {
    let instances = [instance("near", "a"), instance("far", "b")];
    let mut here = chooser(&instances);
    probe_until_decided(&mut here, at(0), |_| Some(report(1, 0, 100)));
    assert_eq!(sent(&mut here, at(0)).map(|s| s.0).as_deref(), Some("near"));
    let mut there = chooser(&instances);
    probe_until_decided(&mut there, at(0), |id| {
        Some(report(1, 0, if id == "near" { 400 } else { 100 }))
    });
    assert_eq!(sent(&mut there, at(0)).map(|s| s.0).as_deref(), Some("far"));
}

#[test]
fn test_probing_sends_above_knee_if_in_time() {
    let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
    probe_until_decided(&mut chooser, at(0), |_| Some(report(5, 0, 100)));
    let sent = chooser.choose(at(0), &NEED, &[]);
    assert!(matches!(sent, Decision::Send(_)), "{sent:?}");
    let aim = Duration::from_millis(180);
    let late = chooser.choose(at(0), &Need { aim, ..NEED }, &[]);
    assert!(matches!(late, Decision::Slow(_)), "{late:?}");
}

#[test]
fn test_probing_prefers_instance_below_knee() {
    let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
    probe_until_decided(&mut chooser, at(0), |id| {
        Some(report(if id == "i-1" { 4 } else { 3 }, 0, 100))
    });
    assert_eq!(
        sent(&mut chooser, at(0)).map(|s| s.0).as_deref(),
        Some("i-2")
    );
}

#[test]
fn test_probing_waits_while_all_slots_are_taken() {
    let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
    probe_until_decided(&mut chooser, at(0), |_| Some(report(6, 0, 100)));
    assert_eq!(chooser.choose(at(0), &NEED, &[]), Decision::Wait);
}

#[test]
fn test_probing_reports_slow_best() {
    let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
    probe_until_decided(&mut chooser, at(0), |_| Some(report(0, 0, 400)));
    assert!(matches!(
        chooser.choose(at(0), &NEED, &[]),
        Decision::Slow(_)
    ));
}

#[test]
fn test_probing_unknown_instance_gets_nothing_while_others_are_full() {
    let mut chooser = chooser(&["i-1", "i-2", "i-3"].map(|id| instance(id, "a")));
    // Instance i-3 never answers; the others are full.
    for step in 0..60 {
        let full = |id: &str| (id != "i-3").then(|| report(6, 6, 100));
        probe_until_decided(&mut chooser, at(step * 20), full);
    }
    assert_eq!(chooser.choose(at(1_200), &NEED, &[]), Decision::Wait);
}

#[test]
fn test_probing_late_requests_leave_room() {
    let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
    let late = Need {
        max_occupancy: 0.5,
        ..NEED
    };
    probe_until_decided(&mut chooser, at(0), |_| Some(report(3, 0, 100)));
    assert_eq!(chooser.choose(at(0), &late, &[]), Decision::Wait);
    assert!(sent(&mut chooser, at(0)).is_some());
    probe_until_decided(&mut chooser, at(100), |_| Some(report(2, 0, 100)));
    let sent = chooser.choose(at(100), &late, &[]);
    assert!(matches!(sent, Decision::Send(_)), "{sent:?}");
}

#[test]
fn test_probing_late_request_gets_single_slot() {
    let mut single = instance("i-1", "a");
    single.instance.slots = 1;
    let mut chooser = chooser(&[single]);
    let idle = LoadReport {
        slots: 1,
        ..report(0, 0, 100)
    };
    probe_until_decided(&mut chooser, at(0), |_| Some(idle));
    let late = Need {
        max_occupancy: 0.5,
        ..NEED
    };
    let sent = chooser.choose(at(0), &late, &[]);
    assert!(matches!(sent, Decision::Send(_)), "{sent:?}");
}

#[test]
fn test_probing_blind_sends_are_limited_to_share() {
    let mut chooser = chooser(&["i-1", "i-2", "i-3", "i-4"].map(|id| instance(id, "a")));
    // 24 slots for 8 processes.
    chooser.set_processes(8);
    let mut tickets = Vec::new();
    while let Some((_, pick)) = sent(&mut chooser, at(0)) {
        tickets.push(chooser.started(at(0), pick));
        assert!(tickets.len() <= 24, "requests are sent without limit");
    }
    assert_eq!(tickets.len(), 3);
    assert_eq!(chooser.choose(at(0), &NEED, &[]), Decision::Wait);
    // An attempt ends without a load report, which allows one more.
    let ticket = tickets.pop().expect("three");
    chooser.finished(at(100), ticket, OutcomeKind::Ok, None);
    assert!(sent(&mut chooser, at(100)).is_some());
    // Known room is used beyond the share.
    probe_until_decided(&mut chooser, at(200), |_| Some(report(2, 0, 100)));
    for _ in 0..4 {
        let (_, pick) = sent(&mut chooser, at(200)).expect("room is known");
        tickets.push(chooser.started(at(200), pick));
    }
    // So are instances that reported earlier, as callers may concentrate on few processes.
    let (_, pick) = sent(&mut chooser, at(700)).expect("room is likely");
    tickets.push(chooser.started(at(700), pick));
    for ticket in tickets {
        chooser.finished(at(800), ticket, OutcomeKind::Ok, None);
    }
}

#[test]
fn test_probing_draining_and_displaced_instances_get_nothing() {
    let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
    let mut leaving = instance("i-1", "a");
    leaving.instance.phase = Phase::Draining;
    chooser.update(at(0), &[leaving, instance("i-2", "a")]);
    for step in 0..20 {
        let (id, _) = sent(&mut chooser, at(step)).expect("one is left");
        assert_eq!(id, "i-2");
    }
    let (_, pick) = sent(&mut chooser, at(20)).expect("one is left");
    chooser.displaced(pick);
    assert_eq!(chooser.choose(at(20), &NEED, &[]), Decision::None);
    assert!(chooser.plan_ejected(at(60_000), |count| count).is_empty());
}

#[test]
fn test_probing_failing_instance_is_ejected_and_returns() {
    let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
    let mut failed = 0;
    for step in 0..200 {
        let now = at(step * 20);
        // The other instance is slow, so that the failing one is preferred until its ejection.
        let reported = |id: &str| Some(report(0, 0, if id == "i-1" { 100 } else { 400 }));
        probe_until_decided(&mut chooser, now, reported);
        let Some((id, pick)) = sent(&mut chooser, now) else {
            continue;
        };
        let ticket = chooser.started(now, pick);
        let kind = if id == "i-1" {
            OutcomeKind::Error
        } else {
            OutcomeKind::Ok
        };
        chooser.finished(now, ticket, kind, Some(report(0, 0, 100)));
        failed += u32::from(id == "i-1");
    }
    // Three failures eject it; later requests are trials.
    assert!((3..=8).contains(&failed), "{failed} requests went there");
    let later = at(60_000);
    let due = chooser.plan_ejected(later, |count| count);
    assert_eq!(due.len(), 1);
    chooser.probed(later, due[0], Some(report(0, 0, 100)));
    assert_eq!(
        sent(&mut chooser, later).map(|s| s.0).as_deref(),
        Some("i-1")
    );
}

#[test]
fn test_probing_plan_respects_allowance() {
    let mut chooser = chooser(&["i-1", "i-2", "i-3", "i-4"].map(|id| instance(id, "a")));
    assert!(chooser.plan(at(0), &NEED, &[], 0, |_| 0).is_empty());
    assert_eq!(
        chooser
            .plan(at(0), &NEED, &[], 0, |count| count.min(2))
            .len(),
        2
    );
}

#[test]
fn test_probing_plans_nothing_while_report_is_fresh() {
    let mut chooser = chooser(&["i-1", "i-2", "i-3", "i-4"].map(|id| instance(id, "a")));
    assert_eq!(
        probe_until_decided(&mut chooser, at(0), |_| Some(report(0, 0, 100))),
        3
    );
    assert_eq!(
        probe_until_decided(&mut chooser, at(5), |_| Some(report(0, 0, 100))),
        0
    );
    assert!(probe_until_decided(&mut chooser, at(100), |_| Some(report(0, 0, 100))) > 0);
}

fn state(busy: f64, pace: Option<(f64, f64)>) -> InstanceState {
    InstanceState {
        busy,
        slots: 6.0,
        pace,
        pace_stats: PaceStats::default(),
        cold: false,
        failure_share: 0.0,
    }
}

/// Guards against an expectation in which the pace changes during a request.
#[test]
fn test_cost_pace_applies_to_all_work() {
    for work in [120, 160, 480] {
        let need = Need {
            work: Duration::from_millis(work),
            ..NEED
        };
        let usual = cost::expected(&state(2.0, Some((100.0, 0.0))), &need);
        let slow = cost::expected(&state(2.0, Some((400.0, 0.0))), &need);
        assert!((slow / usual - 4.0).abs() < 0.01, "{work}");
    }
}

quickcheck! {
    /// More requests, a slower pace or more failures never lower the cost.
    fn prop_cost_is_monotonic(busy: u8, pace: u16, age: u16) -> TestResult {
        let (busy, age) = (f64::from(busy % 24), f64::from(age) / 1000.0);
        let pace = f64::from(pace.max(50));
        let here = state(busy, Some((pace, age)));
        let of = |state: &InstanceState| cost::cost(state, &NEED, false);
        let more = InstanceState { busy: busy + 1.0, ..here };
        let slower = state(busy, Some((pace * 2.0, age)));
        let failure_share = InstanceState { failure_share: 0.2, ..here };
        let worse = [more, slower, failure_share];
        TestResult::from_bool(worse.iter().all(|w| of(w) >= of(&here) - 1e-9))
    }
}

/// Guards against health and reports of an earlier incarnation applying to a later one.
#[test]
fn test_probing_new_incarnation_has_no_history() {
    let incarnation_of = |incarnation| {
        let mut reported = instance("i-1", "a");
        reported.instance.incarnation = incarnation;
        reported
    };
    let mut chooser = chooser(&[incarnation_of(1), instance("i-2", "a")]);
    let first = chooser.plan(at(0), &NEED, &[], 0, |count| count);
    let old = *first
        .iter()
        .find(|p| chooser.id(**p).is_some_and(|id| id.as_str() == "i-1"))
        .expect("asked");
    for _ in 0..4 {
        let ticket = chooser.started(at(1), old);
        chooser.finished(at(1), ticket, OutcomeKind::Error, None);
    }
    chooser.probed(at(2), first[1 - usize::from(first[0] != old)], None);
    chooser.update(at(3), &[incarnation_of(2), instance("i-2", "a")]);
    // A late result for the earlier incarnation is ignored.
    chooser.probed(at(3), old, None);
    assert_eq!(chooser.choose_instance(at(3), &NEED, old), Decision::Wait);
    let asked = chooser.plan(at(4), &NEED, &[], 0, |count| count);
    let names: Vec<&str> = asked
        .iter()
        .filter_map(|p| chooser.id(*p))
        .map(InstanceId::as_str)
        .collect();
    assert!(names.contains(&"i-1"), "{names:?}");
}

/// Guards against probes and requests to crashed instances after a restart of all processes,
/// when there are no reports.
#[test]
fn test_probing_prefers_announced_instances() {
    let silent_instance = |id: &str, domain_name: &str| ReportedInstance {
        silent: true,
        ..instance(id, domain_name)
    };
    let mut chooser = chooser(&[
        silent_instance("gone-1", "a"),
        silent_instance("gone-2", "a"),
        instance("i-1", "b"),
        instance("i-2", "b"),
        instance("i-3", "b"),
    ]);
    // No probe is allowed, so the first request is sent without a report.
    assert!(chooser.plan(at(0), &NEED, &[], 0, |_| 0).is_empty());
    let (id, _) = sent(&mut chooser, at(0)).expect("sent");
    assert!(id.starts_with("i-"), "{id}");
    let planned = chooser.plan(at(0), &NEED, &[], 0, |count| count);
    let asked = planned.iter().filter_map(|p| chooser.id(*p));
    let asked: Vec<&str> = asked.map(InstanceId::as_str).collect();
    assert!(asked.iter().all(|id| id.starts_with("i-")), "{asked:?}");
    // An instance that answers is used even if it hasn't announced itself.
    for pick in chooser.plan(at(1), &NEED, &planned, 0, |count| count) {
        chooser.probed(at(1), pick, Some(report(0, 0, 100)));
    }
    let (id, _) = sent(&mut chooser, at(1)).expect("sent");
    assert!(
        id.starts_with("gone-"),
        "expected the near instance, got {id}"
    );
}

/// Guards against all probes going to the first few instances that announce themselves after
/// a restart.
#[test]
fn test_probing_few_announced_instances_do_not_get_all_probes() {
    let silent_instance = |id: &str| ReportedInstance {
        silent: true,
        ..instance(id, "a")
    };
    let mut instances: Vec<ReportedInstance> =
        (0..9).map(|n| silent_instance(&format!("s-{n}"))).collect();
    instances.push(instance("i-1", "a"));
    let mut chooser = chooser(&instances);
    let mut names = std::collections::BTreeSet::new();
    for _ in 0..20 {
        let asked = chooser.plan(at(0), &NEED, &[], 0, |count| count);
        names.extend(asked.iter().filter_map(|p| chooser.id(*p)).cloned());
    }
    assert!(names.len() >= 8, "{names:?}");
}

/// Guards against requests that may run only once and are sent to instances that may be full.
#[test]
fn test_probing_sends_once_only_by_a_young_report() {
    let once = Need {
        evidence: Evidence::Report,
        ..NEED
    };
    let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
    probe_until_decided(&mut chooser, at(0), |_| Some(report(1, 0, 100)));
    assert!(matches!(
        chooser.choose(at(100), &once, &[]),
        Decision::Send(_)
    ));
    assert_eq!(chooser.choose(at(300), &once, &[]), Decision::Wait);
    assert!(matches!(
        chooser.choose(at(300), &NEED, &[]),
        Decision::Send(_)
    ));
}

/// Guards against all processes together sending more than the slots after a restart.
#[test]
fn test_probing_sends_once_blindly_within_its_share() {
    for evidence in [Evidence::Report, Evidence::Share] {
        let once = Need { evidence, ..NEED };
        let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
        chooser.set_processes(4);
        for _ in 0..3 {
            let Decision::Send(choice) = chooser.choose(at(0), &once, &[]) else {
                panic!("within its share");
            };
            let _ = chooser.started(at(0), choice.pick);
        }
        assert_eq!(chooser.choose(at(0), &once, &[]), Decision::Wait);
    }
}

/// Guards against further requests to an instance that has just lost one, and against its
/// ejection.
#[test]
fn test_probing_counts_an_instance_as_full_after_a_loss() {
    let mut chooser = chooser(&["i-1", "i-2"].map(|id| instance(id, "a")));
    let load = |id: &str| Some(report(if id == "i-1" { 0 } else { 4 }, 0, 100));
    probe_until_decided(&mut chooser, at(0), load);
    let (id, pick) = sent(&mut chooser, at(0)).expect("has room");
    assert_eq!(id, "i-1");
    for _ in 0..3 {
        let ticket = chooser.started(at(0), pick);
        chooser.finished(at(0), ticket, OutcomeKind::Abandoned, None);
    }
    chooser.probed(at(1), pick, load("i-1"));
    assert_eq!(
        sent(&mut chooser, at(1)).map(|s| s.0).as_deref(),
        Some("i-2")
    );
    chooser.probed(at(2_000), pick, load("i-1"));
    assert_eq!(
        sent(&mut chooser, at(2_000)).map(|s| s.0).as_deref(),
        Some("i-1")
    );
}
