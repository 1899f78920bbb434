//! What the logs of the members tell of the applied state without a leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use consensus::Acceptance;
use consensus::Config;
use consensus::Index;
use consensus::Member;
use consensus::ReplicaId;
use control::Currency;
use control::currency::LogReport;
use control::currency::Survey;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

const SECOND: Duration = Duration::from_secs(1);

fn address(id: u64) -> SocketAddr {
    ([127, 0, 0, u8::try_from(id).expect("small")], 7010).into()
}

fn config(ids: impl IntoIterator<Item = u64>) -> Config {
    let members = ids.into_iter().map(|id| Member {
        id: ReplicaId(id),
        address: address(id % 100),
        domain: DomainName::new("a").expect("a name"),
        region: RegionName::new("r").expect("a name"),
    });
    Config::of_voters(members, Acceptance::Majority)
}

fn report(id: u64, voters: std::ops::RangeInclusive<u64>, binding: u64) -> LogReport {
    LogReport {
        id: ReplicaId(id),
        config: config(voters),
        binding: Index(binding),
    }
}

/// A survey by replica 1 of 6, whose log ends at 7, with these answers.
fn survey(answers: &[LogReport]) -> Survey {
    let mut survey = Survey::new(Moment::ZERO);
    for answer in answers {
        let from = address(answer.id.0 % 100);
        survey.record(Moment::ZERO, from, answer.clone());
    }
    survey
}

fn currency(survey: &mut Survey, now: Duration, binding: u64, applied: u64) -> Currency {
    let own = report(1, 1..=6, binding);
    survey.currency(Moment::ZERO + now, &own, Index(applied))
}

/// Guards against a replica that vouches for what it has applied although it or another one has
/// logged something newer, which may have been acknowledged.
#[test]
fn test_currency_follows_the_newest_log_of_a_majority() {
    let answers = [2, 3, 4].map(|id| report(id, 1..=6, 7));
    assert_eq!(
        currency(&mut survey(&answers), Duration::ZERO, 7, 7),
        Currency::Newest
    );
    assert_eq!(
        currency(&mut survey(&answers), Duration::ZERO, 8, 7),
        Currency::Undecided
    );
    let mut newer = answers.clone();
    newer[1].binding = Index(8);
    assert_eq!(
        currency(&mut survey(&newer), Duration::ZERO, 7, 7),
        Currency::Undecided
    );
    assert_eq!(
        currency(&mut survey(&answers[..2]), Duration::ZERO, 7, 7),
        Currency::Undecided,
        "three of six are no majority"
    );
    let mut none = Survey::new(Moment::ZERO);
    let blank = LogReport::default();
    let found = none.currency(Moment::ZERO, &blank, Index(0));
    assert_eq!(found, Currency::Unknown, "it belongs to no group");
}

/// Guards against a replica whose disk was lost and that counts as a voter, or as a host that is
/// silent: it runs, and the hosts can still find out.
#[test]
fn test_currency_counts_hosts_whose_disk_was_lost() {
    let blank = |id| LogReport {
        id: ReplicaId(id),
        ..LogReport::default()
    };
    let answers = [
        report(2, 1..=6, 7),
        report(3, 1..=6, 7),
        blank(105),
        blank(106),
    ];
    let mut hosts = survey(&answers);
    for seconds in 0..20 {
        for answer in &answers {
            let at = Moment::ZERO + SECOND * seconds;
            hosts.record(at, address(answer.id.0 % 100), answer.clone());
        }
        let found = currency(&mut hosts, SECOND * seconds, 7, 7);
        assert_eq!(found, Currency::Undecided, "after {seconds} s");
    }
    let mut lost = survey(&[]);
    for seconds in 0..4 {
        for answer in [report(2, 1..=6, 7), blank(104), blank(105), blank(106)] {
            let at = Moment::ZERO + SECOND * seconds;
            lost.record(at, address(answer.id.0 % 100), answer);
        }
        let found = currency(&mut lost, SECOND * seconds, 7, 7);
        let expected = if seconds < 2 {
            Currency::Undecided
        } else {
            Currency::NoMajority
        };
        assert_eq!(
            found, expected,
            "no majority of voters is left, {seconds} s"
        );
    }
}

/// Guards against answers that count for ever, and against hosts that count as lost as soon as they
/// are silent, or not any more once they are back.
#[test]
fn test_currency_without_a_majority_of_hosts_is_told_after_a_while() {
    let answers = [2, 3, 4].map(|id| report(id, 1..=6, 7));
    let mut survey = survey(&answers);
    assert_eq!(currency(&mut survey, SECOND / 2, 7, 7), Currency::Newest);
    assert_eq!(currency(&mut survey, SECOND, 7, 7), Currency::Undecided);
    assert_eq!(currency(&mut survey, SECOND * 2, 7, 7), Currency::Undecided);
    assert_eq!(
        currency(&mut survey, SECOND * 3, 7, 7),
        Currency::NoMajority
    );
    let back = Moment::ZERO + SECOND * 4;
    for answer in &answers[..2] {
        survey.record(back, address(answer.id.0), answer.clone());
    }
    assert_eq!(
        currency(&mut survey, SECOND * 4, 7, 7),
        Currency::NoMajority
    );
    let mut last = answers[2].clone();
    last.binding = Index(9);
    survey.record(back, address(4), last);
    assert_eq!(currency(&mut survey, SECOND * 4, 7, 7), Currency::Undecided);
}

/// Guards against hosts that don't count as they lost their disk and were removed from the group, to be
/// taken in anew: the others look like too few, though most hosts run.
#[test]
fn test_currency_counts_removed_hosts_that_run() {
    let shrunk = |id| LogReport {
        id: ReplicaId(id),
        config: config([1, 2, 3, 4]),
        binding: Index(8),
    };
    let blank = |id| LogReport {
        id: ReplicaId(id),
        ..LogReport::default()
    };
    for (removed, expected) in [
        (vec![105, 106], Currency::Undecided),
        (vec![105], Currency::NoMajority),
    ] {
        let mut survey = Survey::new(Moment::ZERO);
        survey.add_hosts((1..=6).map(address));
        let mut found = Currency::Unknown;
        for seconds in 0..5 {
            let at = Moment::ZERO + SECOND * seconds;
            survey.record(at, address(2), shrunk(2));
            for id in &removed {
                survey.record(at, address(id % 100), blank(*id));
            }
            found = survey.currency(at, &shrunk(1), Index(7));
        }
        assert_eq!(found, expected, "{removed:?}");
    }
}

/// Guards against a majority of an older group, in which what was acknowledged by the newer one need
/// not be logged.
#[test]
fn test_currency_needs_a_majority_of_each_known_group() {
    let old = [2, 3, 4].map(|id| report(id, 1..=6, 7));
    assert_eq!(
        currency(&mut survey(&old), Duration::ZERO, 7, 7),
        Currency::Newest
    );
    let mut newer = old.clone();
    newer[0].config = config([1, 2, 7, 8, 9, 10]);
    assert_eq!(
        currency(&mut survey(&newer), Duration::ZERO, 7, 7),
        Currency::Undecided
    );
}

/// One replica of the random histories: what it has logged, committed or not.
#[derive(Clone, Default)]
struct Logged {
    binding: u64,
    applied: u64,
}

/// Guards against any replica that vouches for an older state than was acknowledged, for random
/// histories, lost disks and answers.
#[test]
fn test_currency_never_vouches_for_an_older_state() {
    const VOTERS: u64 = 6;
    let mut vouched = 0;
    for seed in 0..20_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut logs: BTreeMap<u64, Logged> =
            (1..=VOTERS).map(|id| (id, Logged::default())).collect();
        let mut acknowledged = 0;
        let mut ids: Vec<u64> = (1..=VOTERS).collect();
        for index in 1..=rng.random_range(1..6) {
            // Each entry reaches some of the voters, and counts once a majority has it.
            ids.shuffle(&mut rng);
            let reached = rng.random_range(1..=ids.len());
            if reached <= ids.len() / 2 && index > 1 {
                // Without a majority nothing follows the entry.
                for id in &ids[..reached] {
                    logs.get_mut(id).expect("a voter").binding = index;
                }
                break;
            }
            for id in &ids[..reached] {
                let log = logs.get_mut(id).expect("a voter");
                log.binding = index;
                log.applied = rng.random_range(log.applied..=index);
            }
            if reached > ids.len() / 2 {
                acknowledged = index;
            }
        }
        ids.shuffle(&mut rng);
        let (lost, survivors) = ids.split_at(rng.random_range(0..=2));
        for asking in survivors {
            let own = LogReport {
                id: ReplicaId(*asking),
                config: config(1..=VOTERS),
                binding: Index(logs[asking].binding),
            };
            let mut survey = Survey::new(Moment::ZERO);
            for id in survivors.iter().filter(|_| rng.random_bool(0.9)) {
                let answer = report(*id, 1..=VOTERS, logs[id].binding);
                survey.record(Moment::ZERO, address(*id), answer);
            }
            for id in lost {
                let blank = LogReport {
                    id: ReplicaId(100 + id),
                    ..LogReport::default()
                };
                survey.record(Moment::ZERO, address(*id), blank);
            }
            let applied = logs[asking].applied;
            let found = survey.currency(Moment::ZERO, &own, Index(applied));
            if found == Currency::Newest {
                vouched += 1;
                assert!(applied >= acknowledged, "seed {seed}, replica {asking}");
            }
        }
    }
    assert!(vouched > 1_000, "{vouched}");
}
