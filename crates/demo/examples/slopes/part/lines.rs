//! Measures the cost of one log line, from the call until the line is written.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use slog::Level;
use slog::info;

use crate::fault::MeasureError;
use crate::role::LogCount;
use crate::role::Sink;
use crate::row::Row;
use crate::usage;

/// Lines per round; below the queue's limit, so that none is dropped.
const SIZES: [u64; 3] = [1_000, 4_000, 16_000];
/// Number of rounds of each size.
const ROUNDS: u64 = 4;
/// Interval between checks of what was written.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Measures lines of the form of a routing decision's.
pub fn run() -> Result<Vec<Row>, MeasureError> {
    SIZES.into_iter().map(measure).collect()
}

fn measure(count: u64) -> Result<Row, MeasureError> {
    let lines = LogCount::default();
    let out = Sink::open(lines.clone())?;
    let (log, guard) = telemetry::log::start(out, Level::Info, "rwr-gateway", "host-0");
    let mut call_time = Duration::ZERO;
    let started_at = usage::cpu();
    for round in 1..=ROUNDS {
        let start = Instant::now();
        for number in 0..count {
            info!(log, "route"; "request" => number, "attempt" => 1, "hedge" => false,
                "instance" => "instance-7", "reason" => "least-wait", "age_us" => 1_800,
                "in_flight" => 3, "expected_us" => 8_400);
        }
        call_time += start.elapsed();
        while lines.lines.load(Ordering::Relaxed) < count * round {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    let spent = usage::cpu().saturating_sub(started_at);
    drop(guard);
    let all = count * ROUNDS;
    Ok(Row::new("any", "log-line")
        .at("lines", usage::float(count))
        .with("cpu_us", usage::micros(spent, all))
        .with("caller_us", usage::micros(call_time, all))
        .with(
            "bytes",
            usage::ratio(lines.bytes.load(Ordering::Relaxed), all),
        ))
}
