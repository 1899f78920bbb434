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
    let mut survey = Survey::default();
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
        Currency::Confirmed
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
    let mut none = Survey::default();
    let blank = LogReport::default();
    let found = none.currency(Moment::ZERO, &blank, Index(0));
    assert_eq!(found, Currency::Unknown, "it belongs to no group");
}

fn blank(id: u64) -> LogReport {
    LogReport {
        id: ReplicaId(id),
        ..LogReport::default()
    }
}

/// Guards against a replica whose disk was lost and that counts as a voter, and against one that
/// vouches for its table, or gives up, while enough voters are left to find out.
#[test]
fn test_currency_with_lost_disks_is_undecided_while_a_majority_is_left() {
    let voters = [report(2, 1..=6, 7), report(3, 1..=6, 7)];
    let mut answers = voters.to_vec();
    for (lost, expected) in [
        (106, Currency::Undecided),
        (105, Currency::Undecided),
        (104, Currency::NoMajority),
    ] {
        answers.push(blank(lost));
        let found = currency(&mut survey(&answers), Duration::ZERO, 7, 7);
        assert_eq!(found, expected, "{lost}");
    }
}

/// Guards against a replica that was down while others were replaced, takes these for lost disks, and
/// has its older table obeyed.
#[test]
fn test_currency_replaced_members_are_not_lost() {
    let newer = |id| LogReport {
        id: ReplicaId(id),
        config: config([1, 2, 3, 104, 105, 106]),
        binding: Index(9),
    };
    let answers = [newer(104), newer(105), newer(106)];
    let found = currency(&mut survey(&answers), Duration::ZERO, 7, 7);
    assert_eq!(found, Currency::Undecided);
}

/// Guards against answers that count for ever, and against hosts that are taken for lost because they
/// are silent: they may be slow to start.
#[test]
fn test_currency_of_a_silent_group_stays_undecided() {
    let answers = [2, 3, 4].map(|id| report(id, 1..=6, 7));
    let mut survey = survey(&answers);
    assert_eq!(currency(&mut survey, SECOND / 2, 7, 7), Currency::Confirmed);
    for seconds in 1..60 {
        let found = currency(&mut survey, SECOND * seconds, 7, 7);
        assert_eq!(found, Currency::Undecided, "after {seconds} s");
    }
}

/// Guards against a majority of an older group, in which what was acknowledged by the newer one need
/// not be logged.
#[test]
fn test_currency_needs_a_majority_of_each_known_group() {
    let old = [2, 3, 4].map(|id| report(id, 1..=6, 7));
    assert_eq!(
        currency(&mut survey(&old), Duration::ZERO, 7, 7),
        Currency::Confirmed
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
            let mut survey = Survey::default();
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
            if found == Currency::Confirmed {
                vouched += 1;
                assert!(applied >= acknowledged, "seed {seed}, replica {asking}");
            }
        }
    }
    assert!(vouched > 1_000, "{vouched}");
}
