//! Simulation parameters: a user's service, a policy and a fault.

use std::ffi::OsString;
use std::time::Duration;

use lexopt::ValueExt;
use route::Policy;

use crate::fake::SLOTS;
use crate::fault::Fault;
use crate::noise::HARSH;
use crate::noise::MILD;
use crate::noise::Neighbours;

/// Parameters of one run.
#[derive(Clone, Copy)]
pub struct Case {
    /// The user whose service is simulated.
    pub shape: &'static str,
    /// Instances of the service.
    pub instances: u32,
    /// Mean service time of a request on an undisturbed slot.
    pub work: Duration,
    /// Service time of a probe.
    pub probe_work: Duration,
    /// Probe budget of one instance, in thousandths of a probe per second.
    pub probes: u32,
    /// Age of the newest report above which a gateway sends a probe.
    pub probe_age: Duration,
    /// Policy of all gateways.
    pub policy: Policy,
    /// Whether retries, hedges, admission and probes are simulated too.
    pub full_stack: bool,
    /// The simulated fault.
    pub fault: Fault,
    /// Noisy neighbours on every instance's host.
    pub neighbours: Neighbours,
    /// Number of gateways, which share the calls evenly (`--choosers`).
    pub gateways: u32,
    /// Seed of arrivals, work, noise and choices; the first of several consecutive seeds.
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
    full_stack: false,
    fault: Fault::None,
    neighbours: MILD,
    gateways: 15,
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
    /// Label of the table's row: service and policy, with a plus sign for [`full_stack`](Self::full_stack).
    pub fn row(&self) -> String {
        let mark = if self.full_stack { "+" } else { "" };
        format!("shape={} policy={}{mark}", self.shape, self.policy)
    }

    /// Applies an option; returns false if the option excludes this case.
    pub fn apply_option(&mut self, name: &str, value: OsString) -> Result<bool, lexopt::Error> {
        match name {
            "seed" => self.seed = value.parse()?,
            "choosers" => self.gateways = value.parse()?,
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

    /// Time that a caller allows for a call.
    pub fn deadline(&self) -> Duration {
        self.work * 20
    }

    /// Mean time between two calls, in seconds.
    pub fn mean_interarrival_secs(&self) -> f64 {
        let load = [0.7, 2.0][usize::from(self.fault == Fault::Overload)];
        let [(calm, _), (busy, factor)] = self.neighbours;
        let speed = (calm + busy / factor) / (calm + busy);
        self.work.as_secs_f64() / (f64::from(SLOTS * self.instances) * speed * load)
    }
}
