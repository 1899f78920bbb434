//! What one line of a log costs, from the call until it is written.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use slog::Level;
use slog::info;

use crate::fault::Fault;
use crate::role::LogCount;
use crate::role::Sink;
use crate::row::Row;
use crate::usage;

/// Lines at one go, below the queue's bound so that none is dropped.
const SIZES: [u64; 3] = [1_000, 4_000, 16_000];
/// Rounds of each size.
const ROUNDS: u64 = 4;
/// Between two looks at what was written.
const LOOK: Duration = Duration::from_millis(1);

/// Measures lines like those of a routing decision.
pub fn run() -> Result<Vec<Row>, Fault> {
    SIZES.into_iter().map(measure).collect()
}

fn measure(count: u64) -> Result<Row, Fault> {
    let lines = LogCount::default();
    let out = Sink::open(lines.clone())?;
    let (log, guard) = telemetry::log::start(out, Level::Info, "rwr-gateway", "host-0");
    let mut held = Duration::ZERO;
    let begin = usage::cpu();
    for round in 1..=ROUNDS {
        let start = Instant::now();
        for number in 0..count {
            info!(log, "route"; "request" => number, "attempt" => 1, "hedge" => false,
                "instance" => "instance-7", "reason" => "least-wait", "age_us" => 1_800,
                "in_flight" => 3, "expected_us" => 8_400);
        }
        held += start.elapsed();
        while lines.lines.load(Ordering::Relaxed) < count * round {
            std::thread::sleep(LOOK);
        }
    }
    let spent = usage::cpu().saturating_sub(begin);
    drop(guard);
    let all = count * ROUNDS;
    Ok(Row::new("any", "log-line")
        .at("lines", usage::float(count))
        .with("cpu_us", usage::micros(spent, all))
        .with("caller_us", usage::micros(held, all))
        .with(
            "bytes",
            usage::ratio(lines.bytes.load(Ordering::Relaxed), all),
        ))
}
