//! A fake upstream: slots, a first-in first-out queue, a service time and a fault.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::prelude::Moment;
use route::Kind;
use route::Outcome;
use route::Report;
use tokio::sync::Semaphore;

use crate::case::Case;
use crate::fault::Fault;
use crate::noise::Noise;
use crate::time::Time;

/// Requests that an instance works on at once.
pub const SLOTS: u32 = 6;
/// Requests that may wait at an instance; further ones are shed.
const QUEUE: u32 = 24;
/// One way between a gateway and an instance.
const HOP: Duration = Duration::from_millis(1);
/// How long a failing instance takes to fail.
const FAIL_TIME: Duration = Duration::from_micros(200);
/// How far behind a stale report is.
const STALENESS: Duration = Duration::from_millis(500);

/// One instance of a service.
pub struct Fake {
    index: u32,
    fault: Fault,
    time: Time,
    noise: Noise,
    slots: Semaphore,
    // Each request in flight holds one more of it.
    running: Rc<()>,
    // Every report made, so that a stale one can be sent.
    reports: RefCell<Vec<(Moment, u32)>>,
}

impl Fake {
    /// Instance `index`.
    pub fn new(index: u32, case: &Case, time: Time) -> Self {
        Self {
            index,
            fault: case.fault,
            time,
            noise: Noise::new(case.neighbours, case.seed * 1000 + u64::from(index)),
            slots: Semaphore::new(SLOTS as usize),
            running: Rc::new(()),
            reports: RefCell::default(),
        }
    }

    /// Serves a request of `work`; dropping the future cancels it.
    pub async fn serve(&self, work: Duration) -> Outcome {
        let began = self.time.now();
        self.time.sleep(HOP).await;
        let kind = self.run(work).await;
        let report = (kind != Kind::ConnectFailed).then(|| self.report());
        self.time.sleep(HOP).await;
        Outcome {
            kind,
            latency: self.time.now().since(began),
            report,
        }
    }

    async fn run(&self, work: Duration) -> Kind {
        let factor = match self.fault.factor(self.index, self.time.now()) {
            Err(Kind::Timeout) => std::future::pending().await,
            Err(kind) => {
                self.time.sleep(FAIL_TIME).await;
                return kind;
            }
            Ok(factor) => factor,
        };
        if self.in_flight() >= SLOTS + QUEUE {
            return Kind::Shed;
        }
        let _running = Rc::clone(&self.running);
        self.report();
        let _slot = self.slots.acquire().await;
        let work = work.mul_f64(factor);
        let span = self.noise.span(self.time.now(), work);
        self.time.sleep(span).await;
        Kind::Ok
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(Rc::strong_count(&self.running) - 1).unwrap_or(u32::MAX)
    }

    fn report(&self) -> Report {
        let lies = self.fault == Fault::Lying && self.index < 2;
        let stale = self.fault == Fault::StaleReports;
        let now = self.time.now();
        let mut reports = self.reports.borrow_mut();
        reports.push((now, if lies { 0 } else { self.in_flight() }));
        let made = now.before(STALENESS * u32::from(stale));
        let newer = reports.partition_point(|(at, _)| *at <= made);
        let (_, in_flight) = reports[newer.saturating_sub(1)];
        let slots = SLOTS;
        Report { in_flight, slots }
    }
}
