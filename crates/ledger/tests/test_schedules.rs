//! Random schedules of claims, resends, settlements, expiry and restores: at
//! most one claim of a key is granted, and none after it is done or unknown.

mod helpers;

use helpers::HOLD_MS;
use helpers::START_MS;
use helpers::answer;
use helpers::claim;
use helpers::settle;
use helpers::timed_key;
use helpers::word;
use ledger::Limits;
use ledger::Ledger;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use wire::ledger::Settled;

/// One step of a random schedule, read modulo what there is.
#[derive(Clone, Debug)]
struct Move {
    kind: u8,
    key: u8,
    claim: u8,
    wait: u8,
}

impl Arbitrary for Move {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 8,
            key: u8::arbitrary(g) % 3,
            claim: u8::arbitrary(g) % 4,
            wait: u8::arbitrary(g) % 16,
        }
    }
}

/// What an onlooker may conclude of one key from the replies alone.
#[derive(Clone, Default)]
struct Seen {
    /// The claim granted and not settled as not run.
    owner: Option<u8>,
    granted_ms: u64,
    /// Done, or unknown, or its hold ran out.
    closed: bool,
}

/// Plays a schedule; `Err` names the first step that broke the promise.
fn play(moves: &[Move], keys: &[String; 3], window_ms: u64) -> Result<(), String> {
    let limits = Limits {
        window_ms,
        ..Limits::default()
    };
    let mut ledger = Ledger::new(limits);
    let mut seen = [Seen::default(), Seen::default(), Seen::default()];
    let mut now = START_MS;
    for (index, m) in moves.iter().enumerate() {
        now += match m.wait {
            0..10 => 1,
            10..13 => 400,
            13 => u64::from(HOLD_MS),
            14 => 3_000,
            _ => 5_000,
        };
        let key = &keys[usize::from(m.key)];
        let id = m.claim.to_string();
        let settled = match m.kind {
            0..3 => None,
            3 | 4 => Some(Settled::NotRun),
            5 => Some(Settled::Done),
            6 => Some(Settled::Unknown),
            _ => {
                let snapshot = ledger.snapshot();
                ledger = Ledger::restore(limits, &snapshot).map_err(|e| e.to_string())?;
                if ledger.snapshot() != snapshot {
                    return Err(format!("step {index}: the snapshot isn't restored whole"));
                }
                continue;
            }
        };
        let command = match settled {
            None => claim(key, &id, 1),
            Some(settled) => settle(key, &id, settled, Some(answer(b"ok"))),
        };
        // Half of the stamps come from a leader whose clock is behind.
        let stamp = if m.claim % 2 == 0 { now } else { now - 6_000 };
        let reply = word(&ledger.apply(stamp, &command));
        let seen = &mut seen[usize::from(m.key)];
        let ended = seen.granted_ms + u64::from(HOLD_MS) <= ledger.now_ms();
        seen.closed |= seen.owner.is_some() && ended;
        match (settled, reply.as_str()) {
            (None, "granted") => {
                if seen.closed {
                    return Err(format!("step {index}: granted after done or unknown"));
                }
                if seen.owner.is_some_and(|owner| owner != m.claim) {
                    return Err(format!("step {index}: two claims granted at once"));
                }
                if seen.owner.is_none() {
                    seen.owner = Some(m.claim);
                    seen.granted_ms = ledger.now_ms();
                }
            }
            (Some(Settled::NotRun), "recorded") if seen.owner == Some(m.claim) => {
                if seen.closed {
                    return Err(format!("step {index}: a closed key was opened"));
                }
                seen.owner = None;
            }
            (Some(Settled::Done | Settled::Unknown), "recorded") => seen.closed = true,
            _ => {}
        }
        let due = ledger.next_expiry_ms().is_none_or(|due| due > ledger.now_ms());
        if !due {
            return Err(format!("step {index}: a record is past its due time"));
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
            let moves = Vec::<Move>::arbitrary(&mut g);
            if let Err(why) = play(&moves, keys, window_ms) {
                panic!("seed {seed}, schedule {schedule}: {why}; {moves:?}");
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
    let longest = u64::try_from(STEPS).expect("a small number") * 5_000;
    check_schedules(&["k1", "k2", "k3"].map(String::from), longest);
}
