//! A fake upstream with slots, a queue, and a speed that changes within milliseconds.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use base::prelude::Clock;
use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Report;
use tokio::sync::Semaphore;

/// Requests that an instance serves concurrently.
pub const SLOTS: u32 = 6;
/// Mean lengths of periods at full speed and of periods disturbed by a neighbour, in seconds.
const PERIOD_SECONDS: [f64; 2] = [0.060, 0.012];
/// Slowdown in each kind of period.
const SLOWDOWNS: [f64; 2] = [1.0, 3.0];
/// One-way delay between a gateway and an instance.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// Runtime clock units per simulated unit: the runtime's timers have millisecond resolution.
const CLOCK_SCALE: u32 = 1000;

/// The simulated clock.
#[derive(Clone, Copy)]
pub struct SimulatedClock(Clock);

impl SimulatedClock {
    /// Starts at zero.
    pub fn start() -> Self {
        Self(Clock::start())
    }

    /// Current simulated time.
    pub fn now(self) -> Moment {
        Moment::from_nanos(self.0.now().nanos() / u64::from(CLOCK_SCALE))
    }

    /// Sleeps for `duration` of simulated time.
    pub async fn sleep(self, duration: Duration) {
        tokio::time::sleep(duration * CLOCK_SCALE).await;
    }
}

/// Mean speed over both kinds of periods.
pub fn mean_speed() -> f64 {
    let work: f64 = PERIOD_SECONDS
        .iter()
        .zip(SLOWDOWNS)
        .map(|(s, f)| s / f)
        .sum();
    work / PERIOD_SECONDS.iter().sum::<f64>()
}

/// Samples the exponential distribution with mean 1.
pub fn exponential(random: &mut SmallRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// One fake instance.
pub struct Fake {
    clock: SimulatedClock,
    slots: Semaphore,
    in_flight: Cell<u32>,
    random: RefCell<SmallRng>,
    /// End of each period; the two kinds alternate.
    period_ends: RefCell<Vec<f64>>,
}

impl Fake {
    /// An instance whose disturbed periods are generated from `seed`.
    pub fn new(clock: SimulatedClock, seed: u64) -> Self {
        Self {
            clock,
            slots: Semaphore::new(SLOTS as usize),
            in_flight: Cell::new(0),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            period_ends: RefCell::new(Vec::new()),
        }
    }

    /// Serves a request of `work` at full speed, and returns the load report at its end.
    pub async fn serve(&self, work: Duration) -> Report {
        self.clock.sleep(ONE_WAY_DELAY).await;
        self.in_flight.set(self.in_flight.get() + 1);
        let slot = self.slots.acquire().await;
        let duration = self.work_duration(self.clock.now().nanos(), work.as_secs_f64());
        self.clock.sleep(duration).await;
        drop(slot);
        self.in_flight.set(self.in_flight.get() - 1);
        let report = Report {
            in_flight: self.in_flight.get(),
            slots: SLOTS,
        };
        self.clock.sleep(ONE_WAY_DELAY).await;
        report
    }

    /// Duration of `work` when it starts at `nanos`.
    #[expect(clippy::cast_precision_loss, reason = "a run lasts a minute")]
    fn work_duration(&self, nanos: u64, work: f64) -> Duration {
        let start = nanos as f64 / 1e9;
        let (mut at, mut remaining) = (start, work);
        let mut i = self.period_ends.borrow().partition_point(|end| *end <= at);
        loop {
            let end = self.period_end(i);
            let slowdown = SLOWDOWNS[i % 2];
            if remaining <= (end - at) / slowdown {
                // Rounding may make the result slightly negative.
                return Duration::from_secs_f64((at - start + remaining * slowdown).max(0.0));
            }
            remaining -= (end - at) / slowdown;
            at = end;
            i += 1;
        }
    }

    fn period_end(&self, i: usize) -> f64 {
        let mut period_ends = self.period_ends.borrow_mut();
        while period_ends.len() <= i {
            let last = period_ends.last().copied().unwrap_or_default();
            let mean = PERIOD_SECONDS[period_ends.len() % 2];
            period_ends.push(last + mean * exponential(&mut self.random.borrow_mut()) + 1e-6);
        }
        period_ends[i]
    }
}
