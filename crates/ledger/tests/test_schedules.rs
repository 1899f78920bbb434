//! Random schedules of claims, resends, settlements, expiry and restores: guards against
//! two claims of a key being granted at once, or one after the key is done or unknown.

mod helpers;

use helpers::HOLD_MS;
use helpers::START_MS;
use helpers::answer;
use helpers::claim;
use helpers::reply_text;
use helpers::settle;
use helpers::timed_key;
use ledger::Ledger;
use ledger::Limits;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use wire::ledger::Settled;

/// One step of a random schedule.
#[derive(Clone, Debug)]
struct ScheduleStep {
    kind: u8,
    key: u8,
    claim: u8,
    delay: u8,
}

impl Arbitrary for ScheduleStep {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 8,
            key: u8::arbitrary(g) % 3,
            claim: u8::arbitrary(g) % 4,
            delay: u8::arbitrary(g) % 16,
        }
    }
}

/// State of one key as derived from the replies alone.
#[derive(Clone, Default)]
struct ObservedKey {
    /// The granted claim, unless it was settled as not run.
    granted_claim: Option<u8>,
    granted_ms: u64,
    /// The key is done or unknown, or the hold of its claim expired.
    closed: bool,
}

/// Runs a schedule; `Err` describes the first step that violated an invariant.
fn run_schedule(steps: &[ScheduleStep], keys: &[String; 3], window_ms: u64) -> Result<(), String> {
    let limits = Limits {
        window_ms,
        ..Limits::default()
    };
    let mut ledger = Ledger::new(limits);
    let mut observed = [
        ObservedKey::default(),
        ObservedKey::default(),
        ObservedKey::default(),
    ];
    let mut now = START_MS;
    for (index, step) in steps.iter().enumerate() {
        now += match step.delay {
            0..10 => 1,
            10..13 => 400,
            13 => u64::from(HOLD_MS),
            14 => 3_000,
            _ => 5_000,
        };
        let key = &keys[usize::from(step.key)];
        let id = step.claim.to_string();
        let settled = match step.kind {
            0..3 => None,
            3 | 4 => Some(Settled::NotRun),
            5 => Some(Settled::Done),
            6 => Some(Settled::Unknown),
            _ => {
                let snapshot = ledger.snapshot();
                ledger = Ledger::restore(limits, &snapshot).map_err(|e| e.to_string())?;
                if ledger.snapshot() != snapshot {
                    return Err(format!(
                        "step {index}: the restored ledger differs from its snapshot"
                    ));
                }
                continue;
            }
        };
        let command = match settled {
            None => claim(key, &id, 1),
            Some(settled) => settle(key, &id, settled, Some(answer(b"ok"))),
        };
        // Half of the stamps are from a leader whose clock is behind.
        let stamp = if step.claim % 2 == 0 {
            now
        } else {
            now - 6_000
        };
        let reply = reply_text(&ledger.apply(stamp, &command));
        let observed = &mut observed[usize::from(step.key)];
        let hold_expired = observed.granted_ms + u64::from(HOLD_MS) <= ledger.now_ms();
        observed.closed |= observed.granted_claim.is_some() && hold_expired;
        match (settled, reply.as_str()) {
            (None, "granted") => {
                if observed.closed {
                    return Err(format!(
                        "step {index}: claim granted after the key was done or unknown"
                    ));
                }
                if observed
                    .granted_claim
                    .is_some_and(|granted_claim| granted_claim != step.claim)
                {
                    return Err(format!("step {index}: two claims granted at the same time"));
                }
                if observed.granted_claim.is_none() {
                    observed.granted_claim = Some(step.claim);
                    observed.granted_ms = ledger.now_ms();
                }
            }
            (Some(Settled::NotRun), "recorded") if observed.granted_claim == Some(step.claim) => {
                if observed.closed {
                    return Err(format!("step {index}: a closed key was reopened"));
                }
                observed.granted_claim = None;
            }
            (Some(Settled::Done | Settled::Unknown), "recorded") => observed.closed = true,
            _ => {}
        }
        let none_overdue = ledger
            .next_expiry_ms()
            .is_none_or(|expiry_ms| expiry_ms > ledger.now_ms());
        if !none_overdue {
            return Err(format!("step {index}: an expired record was not processed"));
        }
    }
    Ok(())
}

const SEEDS: [u64; 4] = [1, 7, 23, 1_848];
const SCHEDULES: u64 = 2_000;
const STEPS: usize = 120;

fn check_schedules(keys: &[String; 3], window_ms: u64) {
    for seed in SEEDS {
        let mut g = Gen::from_size_and_seed(STEPS, seed);
        for schedule in 0..SCHEDULES {
            let steps = Vec::<ScheduleStep>::arbitrary(&mut g);
            if let Err(violation) = run_schedule(&steps, keys, window_ms) {
                panic!("seed {seed}, schedule {schedule}: {violation}; {steps:?}");
            }
        }
    }
}

#[test]
fn test_schedules_timed_keys_run_once_for_good() {
    let keys = [0, 900, 4_000].map(|after| timed_key(START_MS + after));
    check_schedules(&keys, 5_000);
}

#[test]
fn test_schedules_untimed_keys_run_once_in_the_window() {
    let window_ms = u64::try_from(STEPS).expect("fits u64") * 5_000;
    check_schedules(&["k1", "k2", "k3"].map(String::from), window_ms);
}
