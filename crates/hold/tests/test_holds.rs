//! What instances asked for, and for how long nothing is sent to them.

use std::time::Duration;

use base::prelude::*;
use hold::Hold;
use hold::Holds;
use hold::Notice;
use quickcheck::quickcheck;

fn run(number: u16, incarnation: u64) -> InstanceRun {
    InstanceRun {
        instance: InstanceId::new(&format!("i-{number}")).expect("a name"),
        incarnation,
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn rest(millis: u64) -> Notice {
    Notice::Rest(Duration::from_millis(millis))
}

quickcheck! {
    /// Guards against a request within any time that the instance asked for, and against one that
    /// is withheld for long after the last of them.
    fn test_holds_cover_each_requested_time(rests: Vec<(u16, u16, u8)>) -> bool {
        let mut holds = Holds::default();
        let mut ends = Vec::new();
        let mut now = 0;
        for (pause, length, jitter) in rests {
            now += u64::from(pause);
            let jitter = f64::from(jitter) / 255.0;
            holds.record(at(now), &run(1, 1), rest(length.into()), jitter);
            ends.push(now + u64::from(length));
        }
        let last = ends.iter().copied().max().unwrap_or_default();
        let held = |millis| holds.get(at(millis), &run(1, 1)).is_some();
        (now..last).step_by(97).all(held) && !held(last + 500)
    }

    /// Guards against processes that all return at the moment at which the time ends.
    fn test_holds_of_processes_turned_away_at_once_end_apart(length: u16) -> bool {
        let ends: Vec<Option<Hold>> = (0..8_u8)
            .map(|n| {
                let mut holds = Holds::default();
                let notice = rest(u64::from(length) + 1_000);
                holds.record(at(0), &run(1, 1), notice, f64::from(n) / 8.0)
            })
            .collect();
        ends.windows(2).all(|pair| pair[0] != pair[1])
    }
}

/// Guards against a rest that ends the hold of an instance that leaves.
#[test]
fn test_holds_of_leaving_instance_never_end() {
    let mut holds = Holds::default();
    let record = |holds: &mut Holds, at, notice| holds.record(at, &run(1, 1), notice, 0.0);
    record(&mut holds, at(0), rest(100));
    let hold = record(&mut holds, at(1), Notice::Leaving);
    assert_eq!(hold, Some(Hold::Leaving));
    assert_eq!(record(&mut holds, at(5), rest(100)), None);
    holds.retain(at(1_000_000), |_| true);
    assert_eq!(holds.get(at(1_000_000), &run(1, 1)), Some(Hold::Leaving));
    holds.retain(at(1_000_000), |_| false);
    assert!(holds.is_empty());
}

#[test]
fn test_holds_concern_one_run_only() {
    let mut holds = Holds::default();
    holds.record(at(0), &run(1, 1), rest(60_000), 0.0);
    holds.record(at(0), &run(2, 1), rest(60_000), 0.0);
    assert_eq!(holds.get(at(1), &run(1, 2)), None);
    assert_eq!(holds.get(at(1), &run(2, 2)), None);
    assert_eq!(holds.get(at(1), &run(3, 1)), None);
}

/// Guards against memory that grows with each instance that ever asked for a rest.
#[test]
fn test_holds_of_unknown_or_rested_instances_are_removed() {
    let mut holds = Holds::default();
    for number in 0..100 {
        holds.record(at(0), &run(number, 1), rest(1_000), 0.0);
        holds.record(at(0), &run(number, 2), rest(60_000), 0.0);
    }
    assert_eq!(holds.len(), 200);
    holds.retain(at(2_000), |run| run.instance.as_str() == "i-7");
    assert_eq!(holds.len(), 1);
    assert_eq!(holds.iter(at(2_000)).count(), 1);
}
