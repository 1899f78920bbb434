//! What is run, and what is counted of it.

use std::fmt;
use std::time::Duration;

use admit::Mode;

use crate::scene::END;
use crate::scene::INSTANCES;
use crate::scene::SLOTS;
use crate::scene::WARM;
use crate::scene::WORK;

#[derive(Clone, Copy)]
pub struct Setup {
    pub seed: u64,
    pub mode: Mode,
    pub concurrency: u32,
    // Requests that an instance holds beside its slots before it sheds.
    pub backlog: usize,
    // Calls offered, as a share of capacity.
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
    pub spans: Vec<Duration>,
}

impl Report {
    // Calls answered in their deadline, as a share of what the slots can do.
    pub fn goodput(&self) -> f64 {
        let slots = f64::from(u32::try_from(INSTANCES * SLOTS).unwrap_or(0));
        self.good / (slots / WORK.as_secs_f64() * END.since(WARM).as_secs_f64())
    }

    // Of the calls started, the share answered in their deadline.
    pub fn in_deadline(&self) -> f64 {
        self.good / (self.good + self.late + self.failed)
    }

    // Attempts a call that was started.
    pub fn attempts(&self) -> f64 {
        self.attempts / self.started
    }

    fn millis(&self, permille: usize) -> f64 {
        let mut spans = self.spans.clone();
        spans.sort_unstable();
        let span = spans.get(spans.len() * permille / 1000);
        span.map_or(0.0, |span| span.as_secs_f64() * 1e3)
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
