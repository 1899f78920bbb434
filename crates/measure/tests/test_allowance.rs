//! Probes that one process may send, and the sum over processes.

use base::prelude::*;
use measure::Allowance;
use quickcheck::quickcheck;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn test_allowance_starts_empty_and_saves_a_second() {
    let mut allowance = Allowance::new(at(0));
    allowance.set(at(0), 60, 10, 20);
    assert_eq!(allowance.take(at(0), 5), 0);
    assert_eq!(allowance.take(at(100), 5), 3);
    assert_eq!(allowance.take(at(100_000), 100), 30);
    assert_eq!(allowance.take(at(100_000), 100), 0);
}

#[test]
fn test_allowance_of_nothing_stays_nothing() {
    let mut allowance = Allowance::new(at(0));
    allowance.set(at(0), 0, 10, 1);
    assert_eq!(allowance.take(at(100_000), 5), 0);
}

quickcheck! {
    /// Guards against processes that together exceed the budget plus one second of it.
    fn prop_allowance_sum_holds(steps: Vec<(u8, u8)>) -> bool {
        let (budget, instances, processes) = (30, 4, 3_u8);
        let mut now = 0;
        let mut sent = 0;
        let mut all: Vec<Allowance> = (0..processes).map(|_| Allowance::new(at(0))).collect();
        for allowance in &mut all {
            allowance.set(at(0), budget, instances, processes.into());
        }
        for (index, (pause, wanted)) in steps.iter().enumerate() {
            now += u64::from(*pause);
            let allowance = &mut all[index % usize::from(processes)];
            sent += allowance.take(at(now), usize::from(*wanted));
        }
        let rate = u64::from(budget) * instances as u64;
        sent as u64 <= rate * now / 1000 + rate + 1
    }
}
