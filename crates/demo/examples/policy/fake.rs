//! A fake upstream: slots, a first-in first-out queue, a service time and a fault.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::Moment;
use route::Kind;
use route::Report;
use tokio::sync::Semaphore;

use crate::fault::Fault;
use crate::fault::Mode;
use crate::noise::Noise;
use crate::run::Case;
use crate::time::Time;

/// Requests that an instance works on at once.
pub const SLOTS: u32 = 6;
/// Requests that may wait at an instance; further ones are shed.
const QUEUE: u32 = 24;
/// One way between a gateway and an instance.
const HOP: Duration = Duration::from_millis(1);
/// How long a failing instance takes to fail.
const FAIL_TIME: Duration = Duration::from_micros(200);

/// An answer, or what came in its place.
pub struct Answer {
    /// How it ended, `None` when there was no instance to ask.
    pub kind: Option<Kind>,
    /// The load report on it.
    pub report: Option<Report>,
}

impl Answer {
    /// There was no instance to ask.
    pub fn none() -> Self {
        Self {
            kind: None,
            report: None,
        }
    }
}

/// One instance of a service.
pub struct Fake {
    index: u32,
    fault: Fault,
    time: Time,
    slots: Semaphore,
    noise: RefCell<Noise>,
    in_flight: Cell<u32>,
    history: RefCell<VecDeque<(Moment, u32)>>,
}

struct Running<'a>(&'a Fake);

impl<'a> Running<'a> {
    fn new(fake: &'a Fake) -> Self {
        fake.count(fake.in_flight.get() + 1);
        Self(fake)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.count(self.0.in_flight.get() - 1);
    }
}

impl Fake {
    /// Instance `index` with its neighbours' noise by `seed`.
    pub fn new(index: u32, case: &Case, time: Time) -> Self {
        let seed = case.seed * 1000 + u64::from(index);
        Self {
            index,
            fault: case.fault,
            time,
            slots: Semaphore::new(SLOTS as usize),
            noise: RefCell::new(Noise::new(case.neighbours, seed)),
            in_flight: Cell::new(0),
            history: RefCell::new(VecDeque::from([(Moment::ZERO, 0)])),
        }
    }

    /// Serves a request of `work`; dropping the future cancels it.
    pub async fn serve(&self, work: Duration) -> Answer {
        self.time.sleep(HOP).await;
        let kind = self.run(work).await;
        let report = (kind != Kind::ConnectFailed).then(|| self.report());
        self.time.sleep(HOP).await;
        Answer {
            kind: Some(kind),
            report,
        }
    }

    async fn run(&self, work: Duration) -> Kind {
        let factor = match self.fault.mode(self.index, self.time.now()) {
            Mode::Serve(factor) => factor,
            Mode::Fail => {
                self.time.sleep(FAIL_TIME).await;
                return Kind::Error;
            }
            Mode::Stall => std::future::pending().await,
            Mode::Down => return Kind::ConnectFailed,
        };
        if self.in_flight.get() >= SLOTS + QUEUE {
            return Kind::Shed;
        }
        let _running = Running::new(self);
        let Ok(_slot) = self.slots.acquire().await else {
            return Kind::Error;
        };
        let work = work.mul_f64(factor);
        let done = self.noise.borrow_mut().finish(self.time.now(), work);
        self.time.until(done).await;
        Kind::Ok
    }

    fn report(&self) -> Report {
        let staleness = self.fault.staleness();
        let in_flight = if self.fault.lies(self.index) {
            0
        } else if staleness.is_zero() {
            self.in_flight.get()
        } else {
            self.past(self.time.now().before(staleness))
        };
        Report {
            in_flight,
            slots: SLOTS,
        }
    }

    fn past(&self, moment: Moment) -> u32 {
        let history = self.history.borrow();
        let after = history.partition_point(|(at, _)| *at <= moment);
        history[after.saturating_sub(1)].1
    }

    fn count(&self, in_flight: u32) {
        let now = self.time.now();
        self.in_flight.set(in_flight);
        if self.fault.staleness().is_zero() {
            return;
        }
        let mut history = self.history.borrow_mut();
        history.push_back((now, in_flight));
        let limit = now.before(self.fault.staleness() * 2);
        while history.len() > 1 && history[1].0 < limit {
            history.pop_front();
        }
    }
}
