//! Bounds the lines of a log: beyond a rate they are left out, and one line a
//! second says how many. Errors and warnings have twice the rate.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use slog::Drain;
use slog::Level;
use slog::OwnedKVList;
use slog::Record;
use slog::b;
use slog::record;

/// The span for which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Count {
    since: Instant,
    lines: u32,
    left_out: u32,
}

/// A drain that leaves out what comes beyond a rate.
pub struct Limit<D> {
    drain: D,
    rate: u32,
    count: Mutex<Count>,
}

impl<D> Limit<D> {
    /// Passes up to `rate` lines a second on to `drain`.
    pub fn new(drain: D, rate: u32) -> Self {
        let count = Count {
            since: Instant::now(),
            lines: 0,
            left_out: 0,
        };
        Self {
            drain,
            rate,
            count: Mutex::new(count),
        }
    }

    /// Whether a line of `level` passes, and how many a span that has ended left out.
    fn admit(&self, level: Level) -> (bool, u32) {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ended = 0;
        if count.since.elapsed() >= SPAN {
            ended = count.left_out;
            *count = Count {
                since: Instant::now(),
                lines: 0,
                left_out: 0,
            };
        }
        let rate = if level.is_at_least(Level::Warning) {
            self.rate.saturating_mul(2)
        } else {
            self.rate
        };
        let passes = count.lines < rate;
        if passes {
            count.lines += 1;
        } else {
            count.left_out += 1;
        }
        (passes, ended)
    }
}

impl<D: Drain> Drain for Limit<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), D::Err> {
        let (passes, left_out) = self.admit(record.level());
        if left_out > 0 {
            let message = format_args!("log lines left out");
            let values_here = b!("count" => left_out, "rate" => self.rate);
            self.drain
                .log(&record!(Level::Warning, "", &message, values_here), values)?;
        }
        if passes {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}
