//! Copies of a partition must converge over loss, duplication and reordering of deltas.

use members::Delta;
use members::Partition;
use members::Phase;
use members::Record;
use members::partition::MAX_REMOVALS;
use quickcheck::quickcheck;

use crate::common;

/// A home after the steps (id, removed), and deltas taken on the way.
fn history(steps: &[(u8, bool)], cuts: &[u8]) -> (Partition, Vec<Delta>) {
    let mut home = Partition::new(1);
    let mut deltas = Vec::new();
    for (i, (id, removed)) in steps.iter().enumerate() {
        let id = format!("i{}", id % 8);
        if *removed {
            home.remove(&common::key(&id));
        } else {
            let sequence = u64::try_from(i).expect("few steps");
            let record = common::instance(&id, Phase::Ready, 1, sequence);
            home.put(Record::Instance(record));
        }
        let back = cuts.get(i % cuts.len().max(1)).copied().unwrap_or(0);
        let from = home.cursor().saturating_sub(u64::from(back));
        deltas.extend(home.delta_since(from));
    }
    (home, deltas)
}

fn same(a: &Partition, b: &Partition) -> bool {
    a.position() == b.position() && a.records().eq(b.records())
}

fn arrange<T: Clone>(items: &[T], order: &[usize]) -> Vec<T> {
    let pick = |i: &usize| items.get(i % items.len().max(1)).cloned();
    order.iter().filter_map(pick).collect()
}

quickcheck! {
    fn test_partition_copy_converges(steps: Vec<(u8, bool)>, cuts: Vec<u8>, order: Vec<usize>) -> bool {
        let (home, deltas) = history(&steps, &cuts);
        let mut copy = Partition::new(0);
        for delta in arrange(&deltas, &order) {
            copy.merge(&delta);
        }
        let lacking = home.delta_since(if copy.epoch() == home.epoch() { copy.cursor() } else { 0 });
        if let Some(delta) = lacking { copy.merge(&delta); }
        steps.is_empty() || same(&copy, &home)
    }

    fn test_partition_point_never_goes_back(steps: Vec<(u8, bool)>, cuts: Vec<u8>, order: Vec<usize>) -> bool {
        let (_, deltas) = history(&steps, &cuts);
        let mut copy = Partition::new(0);
        arrange(&deltas, &order).iter().all(|delta| {
            let before = copy.position();
            copy.merge(delta);
            copy.position() >= before
        })
    }

    fn test_partition_merge_is_idempotent(steps: Vec<(u8, bool)>, cuts: Vec<u8>, order: Vec<usize>) -> bool {
        let (_, deltas) = history(&steps, &cuts);
        let mut copy = Partition::new(0);
        arrange(&deltas, &order).iter().all(|delta| {
            copy.merge(delta);
            let once = copy.clone();
            copy.merge(delta);
            same(&copy, &once)
        })
    }

    fn test_partition_whole_merges_commute(steps: Vec<(u8, bool)>, order: Vec<usize>) -> bool {
        let (_, deltas) = history(&steps, &[u8::MAX]);
        let deltas = arrange(&deltas, &order);
        let merged = |deltas: &[Delta]| {
            let mut copy = Partition::new(0);
            for delta in deltas { copy.merge(delta); }
            copy
        };
        let turned: Vec<Delta> = deltas.iter().rev().cloned().collect();
        same(&merged(&deltas), &merged(&turned))
    }

    fn test_partition_copy_serves_deltas(steps: Vec<(u8, bool)>, cuts: Vec<u8>, order: Vec<usize>) -> bool {
        let (home, deltas) = history(&steps, &cuts);
        let mut first = Partition::new(0);
        let mut second = Partition::new(0);
        for delta in arrange(&deltas, &order).iter().chain(&home.delta_since(0)) {
            first.merge(delta);
            let cursor = if second.epoch() == first.epoch() { second.cursor() } else { 0 };
            if let Some(delta) = first.delta_since(cursor) { second.merge(&delta); }
        }
        same(&first, &second)
    }
}

#[test]
fn test_partition_falls_back_to_the_whole_table() {
    let mut home = Partition::new(1);
    home.put(Record::Instance(common::instance(
        "kept",
        Phase::Ready,
        1,
        1,
    )));
    let mut copy = Partition::new(0);
    copy.merge(&home.delta_since(0).expect("a change"));
    for i in 0..=MAX_REMOVALS {
        let id = format!("i{i}");
        home.put(Record::Instance(common::instance(&id, Phase::Ready, 1, 1)));
        home.remove(&common::key(&id));
    }
    let delta = home.delta_since(copy.cursor()).expect("changes");
    assert_eq!(delta.from, 0, "the log no longer has all removals");
    copy.merge(&delta);
    assert!(same(&copy, &home));
}
