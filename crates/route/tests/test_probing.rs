//! Choices by what instances say at the moment of the choice.

use std::time::Duration;

use base::prelude::*;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use route::Decision;
use route::DomainIndex;
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
    room: 1.0,
    domain_index: DomainIndex::OWN,
};

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a name")
}

fn instance(id: &str, place: &str) -> ReportedInstance {
    let instance = Instance {
        id: InstanceId::new(id).expect("a name"),
        incarnation: 0,
        domain: domain(place),
        slots: 6,
        phase: Phase::Ready,
    };
    ReportedInstance {
        instance,
        cold: Duration::ZERO,
        silent: false,
    }
}

fn fresh(rows: &[ReportedInstance]) -> ProbingChooser {
    let mut fresh = ProbingChooser::new(domain("a"), 7);
    fresh.update(at(0), rows);
    fresh
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

/// One that is told of before those that are known takes no place of theirs.
#[test]
fn test_fresh_new_instance_takes_the_place_of_one_that_has_gone_only() {
    let (one, two) = (instance("i-1", "a"), instance("i-2", "a"));
    let mut fresh = fresh(std::slice::from_ref(&one));
    fresh.update(at(1), &[two.clone(), one.clone()]);
    assert!(fresh.find("i-1", 0).is_some() && fresh.find("i-2", 0).is_some());
    fresh.update(at(2), &[instance("i-3", "a"), two]);
    assert!(fresh.find("i-1", 0).is_none());
    assert!(fresh.find("i-2", 0).is_some() && fresh.find("i-3", 0).is_some());
}

/// Asks whom the chooser wants to ask; each answers as `told` says by its id.
fn ask(
    fresh: &mut ProbingChooser,
    now: Moment,
    told: impl Fn(&str) -> Option<LoadReport>,
) -> usize {
    let mut asked = 0;
    for round in 0.. {
        let picks = fresh.plan(now, &NEED, &[], round, |count| count);
        if picks.is_empty() {
            return asked;
        }
        asked += picks.len();
        for pick in picks {
            let id = fresh.id(pick).expect("known").as_str().to_owned();
            fresh.probed(now, pick, told(&id));
        }
    }
    asked
}

fn sent(fresh: &mut ProbingChooser, now: Moment) -> Option<(String, Pick)> {
    match fresh.choose(now, &NEED, &[]) {
        Decision::Send(choice) => {
            let id = fresh.id(choice.pick).expect("known").as_str().to_owned();
            Some((id, choice.pick))
        }
        _ => None,
    }
}

#[test]
fn test_fresh_takes_the_one_that_is_not_slow_now() {
    let mut fresh = fresh(&["i-1", "i-2", "i-3"].map(|id| instance(id, "a")));
    let told = |id: &str| {
        let pace = if id == "i-2" { 100 } else { 400 };
        Some(report(2, 0, pace))
    };
    ask(&mut fresh, at(0), told);
    assert_eq!(sent(&mut fresh, at(0)).map(|s| s.0).as_deref(), Some("i-2"));
}

#[test]
fn test_fresh_stays_in_the_failure_domain_unless_it_is_slow_there() {
    let rows = [instance("near", "a"), instance("far", "b")];
    let mut here = fresh(&rows);
    ask(&mut here, at(0), |_| Some(report(1, 0, 100)));
    assert_eq!(sent(&mut here, at(0)).map(|s| s.0).as_deref(), Some("near"));
    let mut there = fresh(&rows);
    ask(&mut there, at(0), |id| {
        Some(report(1, 0, if id == "near" { 400 } else { 100 }))
    });
    assert_eq!(sent(&mut there, at(0)).map(|s| s.0).as_deref(), Some("far"));
}

#[test]
fn test_fresh_sends_above_the_knee_while_the_slower_answer_comes_in_time() {
    let mut fresh = fresh(&["i-1", "i-2"].map(|id| instance(id, "a")));
    ask(&mut fresh, at(0), |_| Some(report(5, 0, 100)));
    let sent = fresh.choose(at(0), &NEED, &[]);
    assert!(matches!(sent, Decision::Send(_)), "{sent:?}");
    let aim = Duration::from_millis(180);
    let late = fresh.choose(at(0), &Need { aim, ..NEED }, &[]);
    assert!(matches!(late, Decision::Slow(_)), "{late:?}");
}

#[test]
fn test_fresh_takes_one_below_the_knee_first() {
    let mut fresh = fresh(&["i-1", "i-2"].map(|id| instance(id, "a")));
    ask(&mut fresh, at(0), |id| {
        Some(report(if id == "i-1" { 4 } else { 3 }, 0, 100))
    });
    assert_eq!(sent(&mut fresh, at(0)).map(|s| s.0).as_deref(), Some("i-2"));
}

#[test]
fn test_fresh_waits_while_every_slot_is_taken() {
    let mut fresh = fresh(&["i-1", "i-2"].map(|id| instance(id, "a")));
    ask(&mut fresh, at(0), |_| Some(report(6, 0, 100)));
    assert_eq!(fresh.choose(at(0), &NEED, &[]), Decision::Wait);
}

#[test]
fn test_fresh_says_that_the_best_is_slow() {
    let mut fresh = fresh(&["i-1", "i-2"].map(|id| instance(id, "a")));
    ask(&mut fresh, at(0), |_| Some(report(0, 0, 400)));
    assert!(matches!(fresh.choose(at(0), &NEED, &[]), Decision::Slow(_)));
}

#[test]
fn test_fresh_unknown_instance_draws_nobody_while_all_others_are_full() {
    let mut fresh = fresh(&["i-1", "i-2", "i-3"].map(|id| instance(id, "a")));
    // Many reports of full instances; the mute one never answers.
    for step in 0..60 {
        let full = |id: &str| (id != "i-3").then(|| report(6, 6, 100));
        ask(&mut fresh, at(step * 20), full);
    }
    assert_eq!(fresh.choose(at(1_200), &NEED, &[]), Decision::Wait);
}

#[test]
fn test_fresh_late_requests_leave_room_for_others() {
    let mut fresh = fresh(&["i-1", "i-2"].map(|id| instance(id, "a")));
    let late = Need { room: 0.5, ..NEED };
    ask(&mut fresh, at(0), |_| Some(report(3, 0, 100)));
    assert_eq!(fresh.choose(at(0), &late, &[]), Decision::Wait);
    assert!(sent(&mut fresh, at(0)).is_some());
    ask(&mut fresh, at(100), |_| Some(report(2, 0, 100)));
    let sent = fresh.choose(at(100), &late, &[]);
    assert!(matches!(sent, Decision::Send(_)), "{sent:?}");
}

#[test]
fn test_fresh_late_request_gets_the_only_slot_of_an_idle_instance() {
    let mut single = instance("i-1", "a");
    single.instance.slots = 1;
    let mut fresh = fresh(&[single]);
    let idle = LoadReport {
        slots: 1,
        ..report(0, 0, 100)
    };
    ask(&mut fresh, at(0), |_| Some(idle));
    let late = Need { room: 0.5, ..NEED };
    let sent = fresh.choose(at(0), &late, &[]);
    assert!(matches!(sent, Decision::Send(_)), "{sent:?}");
}

#[test]
fn test_fresh_sends_its_share_of_the_slots_while_nothing_is_known() {
    let mut fresh = fresh(&["i-1", "i-2", "i-3", "i-4"].map(|id| instance(id, "a")));
    // 24 slots for 8 processes.
    fresh.set_processes(8);
    let mut tickets = Vec::new();
    while let Some((_, pick)) = sent(&mut fresh, at(0)) {
        tickets.push(fresh.started(at(0), pick));
        assert!(tickets.len() <= 24, "no end");
    }
    assert_eq!(tickets.len(), 3);
    assert_eq!(fresh.choose(at(0), &NEED, &[]), Decision::Wait);
    // One ends, without a word of its load: one more goes.
    let ticket = tickets.pop().expect("three");
    fresh.finished(at(100), ticket, OutcomeKind::Ok, None);
    assert!(sent(&mut fresh, at(100)).is_some());
    // What is known to have room is used beyond the share.
    ask(&mut fresh, at(200), |_| Some(report(2, 0, 100)));
    for _ in 0..4 {
        let (_, pick) = sent(&mut fresh, at(200)).expect("room is known");
        tickets.push(fresh.started(at(200), pick));
    }
    // So is what was heard of once, as callers may gather at few processes.
    let (_, pick) = sent(&mut fresh, at(700)).expect("room is likely");
    tickets.push(fresh.started(at(700), pick));
    for ticket in tickets {
        fresh.finished(at(800), ticket, OutcomeKind::Ok, None);
    }
}

#[test]
fn test_fresh_leaving_and_displaced_instances_get_nothing() {
    let mut fresh = fresh(&["i-1", "i-2"].map(|id| instance(id, "a")));
    let mut leaving = instance("i-1", "a");
    leaving.instance.phase = Phase::Draining;
    fresh.update(at(0), &[leaving, instance("i-2", "a")]);
    for step in 0..20 {
        let (id, _) = sent(&mut fresh, at(step)).expect("one is left");
        assert_eq!(id, "i-2");
    }
    let (_, pick) = sent(&mut fresh, at(20)).expect("one is left");
    fresh.displaced(pick);
    assert_eq!(fresh.choose(at(20), &NEED, &[]), Decision::None);
    assert!(fresh.plan_ejected(at(60_000), |count| count).is_empty());
}

#[test]
fn test_fresh_failing_instance_is_ejected_and_comes_back() {
    let mut fresh = fresh(&["i-1", "i-2"].map(|id| instance(id, "a")));
    let mut failed = 0;
    for step in 0..200 {
        let now = at(step * 20);
        // The other one is slow, so that this one is worth another try until it is out.
        let told = |id: &str| Some(report(0, 0, if id == "i-1" { 100 } else { 400 }));
        ask(&mut fresh, now, told);
        let Some((id, pick)) = sent(&mut fresh, now) else {
            continue;
        };
        let ticket = fresh.started(now, pick);
        let kind = if id == "i-1" {
            OutcomeKind::Error
        } else {
            OutcomeKind::Ok
        };
        fresh.finished(now, ticket, kind, Some(report(0, 0, 100)));
        failed += u32::from(id == "i-1");
    }
    // Three failures eject it; from then on it gets a trial now and then.
    assert!((3..=8).contains(&failed), "{failed} requests went there");
    let later = at(60_000);
    let due = fresh.plan_ejected(later, |count| count);
    assert_eq!(due.len(), 1);
    fresh.probed(later, due[0], Some(report(0, 0, 100)));
    assert_eq!(sent(&mut fresh, later).map(|s| s.0).as_deref(), Some("i-1"));
}

#[test]
fn test_fresh_asks_no_more_than_it_may() {
    let mut fresh = fresh(&["i-1", "i-2", "i-3", "i-4"].map(|id| instance(id, "a")));
    assert!(fresh.plan(at(0), &NEED, &[], 0, |_| 0).is_empty());
    assert_eq!(
        fresh.plan(at(0), &NEED, &[], 0, |count| count.min(2)).len(),
        2
    );
}

#[test]
fn test_fresh_asks_nobody_while_a_good_report_is_young() {
    let mut fresh = fresh(&["i-1", "i-2", "i-3", "i-4"].map(|id| instance(id, "a")));
    assert_eq!(ask(&mut fresh, at(0), |_| Some(report(0, 0, 100))), 3);
    assert_eq!(ask(&mut fresh, at(5), |_| Some(report(0, 0, 100))), 0);
    assert!(ask(&mut fresh, at(100), |_| Some(report(0, 0, 100))) > 0);
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

/// Figures of measured runs: work of 120, 160 and 480 ms at both paces.
#[test]
fn test_cost_expects_the_pace_for_the_whole_work() {
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
    /// More requests, a slower pace or more failures never make a choice cheaper.
    fn prop_cost_rises_with_what_is_worse(busy: u8, pace: u16, age: u16) -> TestResult {
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

/// What the earlier start earned says nothing of the later one.
#[test]
fn test_fresh_instance_that_starts_again_is_judged_anew() {
    let row = |incarnation| {
        let mut told = instance("i-1", "a");
        told.instance.incarnation = incarnation;
        told
    };
    let mut fresh = fresh(&[row(1), instance("i-2", "a")]);
    let first = fresh.plan(at(0), &NEED, &[], 0, |count| count);
    let old = *first
        .iter()
        .find(|p| fresh.id(**p).is_some_and(|id| id.as_str() == "i-1"))
        .expect("asked");
    for _ in 0..4 {
        let ticket = fresh.started(at(1), old);
        fresh.finished(at(1), ticket, OutcomeKind::Error, None);
    }
    fresh.probed(at(2), first[1 - usize::from(first[0] != old)], None);
    fresh.update(at(3), &[row(2), instance("i-2", "a")]);
    // News of the earlier one that come late tell nothing of the later one.
    fresh.probed(at(3), old, None);
    assert_eq!(fresh.choose_instance(at(3), &NEED, old), Decision::Wait);
    let asked = fresh.plan(at(4), &NEED, &[], 0, |count| count);
    let names: Vec<&str> = asked
        .iter()
        .filter_map(|p| fresh.id(*p))
        .map(InstanceId::as_str)
        .collect();
    assert!(names.contains(&"i-1"), "{names:?}");
}

/// After a restart of everything nobody has a report, and crashed instances are still told of.
#[test]
fn test_fresh_asks_and_sends_to_those_that_were_heard_first() {
    let silent = |id: &str, place: &str| ReportedInstance {
        silent: true,
        ..instance(id, place)
    };
    let mut fresh = fresh(&[
        silent("gone-1", "a"),
        silent("gone-2", "a"),
        instance("i-1", "b"),
        instance("i-2", "b"),
        instance("i-3", "b"),
    ]);
    // Nothing may be asked, so the first is sent blindly.
    assert!(fresh.plan(at(0), &NEED, &[], 0, |_| 0).is_empty());
    let (id, _) = sent(&mut fresh, at(0)).expect("sent");
    assert!(id.starts_with("i-"), "{id}");
    let heard = fresh.plan(at(0), &NEED, &[], 0, |count| count);
    let asked = heard.iter().filter_map(|p| fresh.id(*p));
    let asked: Vec<&str> = asked.map(InstanceId::as_str).collect();
    assert!(asked.iter().all(|id| id.starts_with("i-")), "{asked:?}");
    // One that answers is as good as any, heard or not.
    for pick in fresh.plan(at(1), &NEED, &heard, 0, |count| count) {
        fresh.probed(at(1), pick, Some(report(0, 0, 100)));
    }
    let (id, _) = sent(&mut fresh, at(1)).expect("sent");
    assert!(id.starts_with("gone-"), "near and well: {id}");
}

/// The news of who is heard has just begun to come in.
#[test]
fn test_fresh_few_that_were_heard_do_not_get_all() {
    let silent = |id: &str| ReportedInstance {
        silent: true,
        ..instance(id, "a")
    };
    let mut rows: Vec<ReportedInstance> = (0..9).map(|n| silent(&format!("s-{n}"))).collect();
    rows.push(instance("i-1", "a"));
    let mut fresh = fresh(&rows);
    let mut names = std::collections::BTreeSet::new();
    for _ in 0..20 {
        let asked = fresh.plan(at(0), &NEED, &[], 0, |count| count);
        names.extend(asked.iter().filter_map(|p| fresh.id(*p)).cloned());
    }
    assert!(names.len() >= 8, "{names:?}");
}
