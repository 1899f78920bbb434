//! Rate limit for log lines. Lines beyond the rate are dropped, and at most one line per second
//! reports how many. Errors and warnings have twice the rate.

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

/// Period over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
    dropped: u32,
}

/// A drain that drops log lines beyond a rate.
pub struct RateLimit<D> {
    drain: D,
    rate: u32,
    window: Mutex<Window>,
}

impl<D> RateLimit<D> {
    /// Creates a drain that passes up to `rate` lines per second on to `drain`.
    pub fn new(drain: D, rate: u32) -> Self {
        let window = Window {
            started_at: Instant::now(),
            lines: 0,
            dropped: 0,
        };
        Self {
            drain,
            rate,
            window: Mutex::new(window),
        }
    }

    /// Whether a line of `level` is admitted, and how many lines were dropped in a window that
    /// has just ended.
    fn admit(&self, level: Level) -> (bool, u32) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut previously_dropped = 0;
        if window.started_at.elapsed() >= WINDOW {
            previously_dropped = window.dropped;
            *window = Window {
                started_at: Instant::now(),
                lines: 0,
                dropped: 0,
            };
        }
        let rate = if level.is_at_least(Level::Warning) {
            self.rate.saturating_mul(2)
        } else {
            self.rate
        };
        let admitted = window.lines < rate;
        if admitted {
            window.lines += 1;
        } else {
            window.dropped += 1;
        }
        (admitted, previously_dropped)
    }
}

impl<D: Drain> Drain for RateLimit<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), D::Err> {
        let (admitted, dropped) = self.admit(record.level());
        if dropped > 0 {
            let message = format_args!("log lines left out");
            let counts = b!("count" => dropped, "rate" => self.rate);
            self.drain
                .log(&record!(Level::Warning, "", &message, counts), values)?;
        }
        if admitted {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}
