//! The parameters and the results of a simulation.

use std::fmt;
use std::time::Duration;

use admit::Mode;

use crate::simulation::END;
use crate::simulation::INSTANCES;
use crate::simulation::SERVICE_TIME;
use crate::simulation::SLOTS;
use crate::simulation::WARM_UP_END;

#[derive(Clone, Copy)]
pub struct Setup {
    pub seed: u64,
    pub mode: Mode,
    pub concurrency: u32,
    // Requests that an instance queues beyond its slots before it sheds.
    pub backlog: usize,
    // Offered load as a fraction of the capacity.
    pub load: f64,
}

impl fmt::Display for Setup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            mode,
            concurrency,
            backlog,
            load,
        } = self;
        write!(
            f,
            "load={load} backlog={backlog} bound={mode} concurrency={concurrency} seed={seed}"
        )
    }
}

#[derive(Default)]
pub struct Report {
    pub offered: f64,
    pub refused: f64,
    pub expired: f64,
    pub failed: f64,
    pub late: f64,
    pub good: f64,
    pub attempts: f64,
    pub started: f64,
    pub latencies: Vec<Duration>,
}

impl Report {
    // Calls answered by their deadline, as a fraction of the capacity of the slots.
    pub fn goodput(&self) -> f64 {
        let slots = f64::from(u32::try_from(INSTANCES * SLOTS).unwrap_or(0));
        self.good / (slots / SERVICE_TIME.as_secs_f64() * END.since(WARM_UP_END).as_secs_f64())
    }

    // Fraction of the started calls that were answered by their deadline.
    pub fn in_deadline(&self) -> f64 {
        self.good / (self.good + self.late + self.failed)
    }

    // Attempts per started call.
    pub fn attempts(&self) -> f64 {
        self.attempts / self.started
    }

    fn millis(&self, permille: usize) -> f64 {
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        let latency = latencies.get(latencies.len() * permille / 1000);
        latency.map_or(0.0, |latency| latency.as_secs_f64() * 1e3)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "offered={} goodput={:.3} started_in_deadline={:.4} refused={:.3} expired={:.4} \
             failed={:.4} attempts={:.3} p50_ms={:.1} p99_ms={:.1}",
            self.offered,
            self.goodput(),
            self.in_deadline(),
            self.refused / self.offered,
            self.expired / self.offered,
            self.failed / self.offered,
            self.attempts(),
            self.millis(500),
            self.millis(990)
        )
    }
}
