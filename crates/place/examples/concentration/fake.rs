//! A fake upstream: slots, a queue, and a speed that shifts within milliseconds.

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

/// Requests that an instance works on at once.
pub const SLOTS: u32 = 6;
/// Mean length of a stretch at full speed, and of one that a neighbour disturbs.
const STRETCHES: [f64; 2] = [0.060, 0.012];
/// How much slower work goes in each.
const FACTORS: [f64; 2] = [1.0, 3.0];
/// One way between a gateway and an instance.
const HOP: Duration = Duration::from_millis(1);
/// Ticks of the runtime's clock for one of the rig's: its timers know only milliseconds.
const STRETCH: u32 = 1000;

/// The rig's clock.
#[derive(Clone, Copy)]
pub struct Time(Clock);

impl Time {
    /// Starts at zero.
    pub fn start() -> Self {
        Self(Clock::start())
    }

    /// The rig's present moment.
    pub fn now(self) -> Moment {
        Moment::from_nanos(self.0.now().nanos() / u64::from(STRETCH))
    }

    /// Waits for `span` of the rig's time.
    pub async fn sleep(self, span: Duration) {
        tokio::time::sleep(span * STRETCH).await;
    }
}

/// Mean speed over both kinds of stretches.
pub fn mean_speed() -> f64 {
    let work: f64 = STRETCHES.iter().zip(FACTORS).map(|(s, f)| s / f).sum();
    work / STRETCHES.iter().sum::<f64>()
}

/// A draw from the exponential distribution with mean 1.
pub fn exponential(random: &mut SmallRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// One instance.
pub struct Fake {
    time: Time,
    slots: Semaphore,
    in_flight: Cell<u32>,
    random: RefCell<SmallRng>,
    /// End of each stretch, of both kinds in turn.
    ends: RefCell<Vec<f64>>,
}

impl Fake {
    /// An instance with its neighbours by `seed`.
    pub fn new(time: Time, seed: u64) -> Self {
        Self {
            time,
            slots: Semaphore::new(SLOTS as usize),
            in_flight: Cell::new(0),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            ends: RefCell::new(Vec::new()),
        }
    }

    /// Works for so long at full speed, and says the load at the end.
    pub async fn serve(&self, work: Duration) -> Report {
        self.time.sleep(HOP).await;
        self.in_flight.set(self.in_flight.get() + 1);
        let slot = self.slots.acquire().await;
        let span = self.span(self.time.now().nanos(), work.as_secs_f64());
        self.time.sleep(span).await;
        drop(slot);
        self.in_flight.set(self.in_flight.get() - 1);
        let report = Report {
            in_flight: self.in_flight.get(),
            slots: SLOTS,
        };
        self.time.sleep(HOP).await;
        report
    }

    /// How long `work` takes that starts at `nanos`.
    #[expect(clippy::cast_precision_loss, reason = "a run lasts a minute")]
    fn span(&self, nanos: u64, work: f64) -> Duration {
        let start = nanos as f64 / 1e9;
        let (mut at, mut left) = (start, work);
        let mut i = self.ends.borrow().partition_point(|end| *end <= at);
        loop {
            let end = self.end(i);
            let factor = FACTORS[i % 2];
            if left <= (end - at) / factor {
                // Rounding may leave it a hair below zero.
                return Duration::from_secs_f64((at - start + left * factor).max(0.0));
            }
            left -= (end - at) / factor;
            at = end;
            i += 1;
        }
    }

    fn end(&self, i: usize) -> f64 {
        let mut ends = self.ends.borrow_mut();
        while ends.len() <= i {
            let last = ends.last().copied().unwrap_or_default();
            let mean = STRETCHES[ends.len() % 2];
            ends.push(last + mean * exponential(&mut self.random.borrow_mut()) + 1e-6);
        }
        ends[i]
    }
}
