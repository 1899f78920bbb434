//! A simulated upstream instance: slots, a first-in first-out queue, noise and a fault.

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
use crate::time::SimulatedClock;

/// Requests that an instance serves concurrently.
pub const SLOTS: u32 = 6;
/// Requests that an instance accepts, running and queued (24); further ones are shed.
const CAPACITY: usize = SLOTS as usize + 24;
/// One-way network latency between a gateway and an instance.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(1);
/// Time that a failing instance takes to fail.
const FAIL_TIME: Duration = Duration::from_micros(200);
/// Age of a stale report.
const STALENESS: Duration = Duration::from_millis(500);

/// One simulated instance of a service.
pub struct FakeUpstream {
    index: u32,
    fault: Fault,
    clock: SimulatedClock,
    noise: Noise,
    slots: Semaphore,
    // One permit for each request that is running or queued.
    capacity: Semaphore,
    // History of all reports, from which stale ones are sent.
    reports: RefCell<Vec<(Moment, usize)>>,
}

impl FakeUpstream {
    /// Creates instance `index`.
    pub fn new(index: u32, case: &Case, clock: SimulatedClock) -> Self {
        Self {
            index,
            fault: case.fault,
            clock,
            noise: Noise::new(case.neighbours, case.seed * 1000 + u64::from(index)),
            slots: Semaphore::new(SLOTS as usize),
            capacity: Semaphore::new(CAPACITY),
            reports: RefCell::default(),
        }
    }

    /// Serves a request that takes `work`; dropping the future cancels the request.
    pub async fn serve(&self, work: Duration) -> Outcome {
        let started_at = self.clock.now();
        self.clock.sleep(ONE_WAY_LATENCY).await;
        let kind = self.run(work).await;
        let report = (kind != OutcomeKind::ConnectFailed).then(|| self.report());
        self.clock.sleep(ONE_WAY_LATENCY).await;
        Outcome {
            kind,
            latency: self.clock.now().since(started_at),
            report,
        }
    }

    async fn run(&self, work: Duration) -> OutcomeKind {
        let factor = match self.fault.factor(self.index, self.clock.now()) {
            Err(OutcomeKind::Timeout) => std::future::pending().await,
            Err(kind) => {
                self.clock.sleep(FAIL_TIME).await;
                return kind;
            }
            Ok(factor) => factor,
        };
        let Ok(_permit) = self.capacity.try_acquire() else {
            return OutcomeKind::Shed;
        };
        self.report();
        let _slot = self.slots.acquire().await;
        let work = work.mul_f64(factor);
        let duration = self.noise.duration(self.clock.now(), work);
        self.clock.sleep(duration).await;
        OutcomeKind::Ok
    }

    fn report(&self) -> Report {
        let reports_idle = self.fault == Fault::Lying && self.index < 2;
        let stale = self.fault == Fault::StaleReports;
        let now = self.clock.now();
        let in_flight = CAPACITY - self.capacity.available_permits();
        let mut reports = self.reports.borrow_mut();
        reports.push((now, if reports_idle { 0 } else { in_flight }));
        let sent_as_of = now.before(STALENESS * u32::from(stale));
        let newer = reports.partition_point(|(at, _)| *at <= sent_as_of);
        let (_, in_flight) = reports[newer.saturating_sub(1)];
        Report {
            in_flight: u32::try_from(in_flight).expect("in-flight count fits u32"),
            slots: SLOTS,
        }
    }
}
