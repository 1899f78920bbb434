//! A fake upstream: slots, a first-in first-out queue, a service time and a fault.

use std::cell::RefCell;
use std::time::Duration;

use base::prelude::Moment;
use route::Outcome;
use route::OutcomeKind;
use route::Report;
use tokio::sync::Semaphore;

use crate::case::Case;
use crate::fault::Fault;
use crate::noise::Noise;
use crate::time::Time;

/// Requests that an instance works on at once.
pub const SLOTS: u32 = 6;
/// Requests that an instance has, with the 24 that may wait; further ones are shed.
const PLACES: usize = SLOTS as usize + 24;
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
    // One for each request that works or waits.
    places: Semaphore,
    // Every report made, so that a stale one can be sent.
    reports: RefCell<Vec<(Moment, usize)>>,
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
            places: Semaphore::new(PLACES),
            reports: RefCell::default(),
        }
    }

    /// Serves a request of `work`; dropping the future cancels it.
    pub async fn serve(&self, work: Duration) -> Outcome {
        let began = self.time.now();
        self.time.sleep(HOP).await;
        let kind = self.run(work).await;
        let report = (kind != OutcomeKind::ConnectFailed).then(|| self.report());
        self.time.sleep(HOP).await;
        Outcome {
            kind,
            latency: self.time.now().since(began),
            report,
        }
    }

    async fn run(&self, work: Duration) -> OutcomeKind {
        let factor = match self.fault.factor(self.index, self.time.now()) {
            Err(OutcomeKind::Timeout) => std::future::pending().await,
            Err(kind) => {
                self.time.sleep(FAIL_TIME).await;
                return kind;
            }
            Ok(factor) => factor,
        };
        let Ok(_place) = self.places.try_acquire() else {
            return OutcomeKind::Shed;
        };
        self.report();
        let _slot = self.slots.acquire().await;
        let work = work.mul_f64(factor);
        let span = self.noise.span(self.time.now(), work);
        self.time.sleep(span).await;
        OutcomeKind::Ok
    }

    fn report(&self) -> Report {
        let lies = self.fault == Fault::Lying && self.index < 2;
        let stale = self.fault == Fault::StaleReports;
        let now = self.time.now();
        let taken = PLACES - self.places.available_permits();
        let mut reports = self.reports.borrow_mut();
        reports.push((now, if lies { 0 } else { taken }));
        let made = now.before(STALENESS * u32::from(stale));
        let newer = reports.partition_point(|(at, _)| *at <= made);
        let (_, taken) = reports[newer.saturating_sub(1)];
        Report {
            in_flight: u32::try_from(taken).expect("few places"),
            slots: SLOTS,
        }
    }
}
