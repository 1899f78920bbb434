//! What is run: a user's service, a policy, a fault.

use std::ffi::OsString;
use std::time::Duration;

use lexopt::ValueExt;
use route::Policy;

use crate::fake::SLOTS;
use crate::fault::Fault;
use crate::noise::HARSH;
use crate::noise::MILD;
use crate::noise::Neighbours;

/// One run.
#[derive(Clone, Copy)]
pub struct Case {
    /// Whose service it is.
    pub shape: &'static str,
    /// Instances of the service.
    pub instances: u32,
    /// Mean time of a request's work on an undisturbed slot.
    pub work: Duration,
    /// What a probe costs an instance.
    pub probe_work: Duration,
    /// Probes that one instance may receive, in thousandths a second.
    pub probes: u32,
    /// Age of the newest report from which a probe is worth its cost.
    pub probe_age: Duration,
    /// What all gateways do.
    pub policy: Policy,
    /// Retries, hedges, admission and probes too.
    pub whole: bool,
    /// The fault.
    pub fault: Fault,
    /// On every instance's machine.
    pub neighbours: Neighbours,
    /// Gateways that share the calls evenly.
    pub choosers: u32,
    /// Of arrivals, work, noise and choices; the first of some.
    pub seed: u64,
}

/// Ferrovie's status queries.
pub const FERROVIE: Case = Case {
    shape: "ferrovie",
    instances: 10,
    work: Duration::from_millis(5),
    probe_work: Duration::from_micros(200),
    probes: 4_000,
    probe_age: Duration::from_millis(200),
    policy: Policy::Random,
    whole: false,
    fault: Fault::None,
    neighbours: MILD,
    choosers: 15,
    seed: 100,
};

/// The Trust's drawings.
pub const TRUST: Case = Case {
    shape: "trust",
    instances: 6,
    work: Duration::from_millis(20),
    probe_work: Duration::from_millis(5),
    probes: 1_000,
    ..FERROVIE
};

impl Case {
    /// The service and the policy, with a plus sign for the whole.
    pub fn row(&self) -> String {
        let mark = if self.whole { "+" } else { "" };
        format!("shape={} policy={}{mark}", self.shape, self.policy)
    }

    /// Takes an option; false when the option leaves the case out.
    pub fn take(&mut self, name: &str, value: OsString) -> Result<bool, lexopt::Error> {
        match name {
            "seed" => self.seed = value.parse()?,
            "choosers" => self.choosers = value.parse()?,
            "probes" => self.probes = value.parse()?,
            "probe-age" => self.probe_age = Duration::from_millis(value.parse()?),
            "noise" if value == "harsh" => self.neighbours = HARSH,
            "shape" => return Ok(value == *self.shape),
            "policy" => return Ok(self.row().ends_with(&format!("={}", value.string()?))),
            "fault" => return Ok(value == *self.fault.to_string()),
            _ => {
                return Err(format!("no option --{name} {}", value.display()).into());
            }
        }
        Ok(true)
    }

    /// How long a caller waits.
    pub fn deadline(&self) -> Duration {
        self.work * 20
    }

    /// Mean seconds between two calls.
    pub fn gap(&self) -> f64 {
        let load = [0.7, 2.0][usize::from(self.fault == Fault::Overload)];
        let [(calm, _), (busy, factor)] = self.neighbours;
        let speed = (calm + busy / factor) / (calm + busy);
        self.work.as_secs_f64() / (f64::from(SLOTS * self.instances) * speed * load)
    }
}
