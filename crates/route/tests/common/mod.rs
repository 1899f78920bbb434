//! Simulates a few instances that receive one request per millisecond.

use std::time::Duration;

use base::prelude::DomainName;
use base::prelude::InstanceId;
use base::prelude::Moment;
use route::Chooser;
use route::Instance;
use route::Outcome;
use route::OutcomeKind;
use route::Phase;
use route::Pick;
use route::Policy;
use route::ProbeResult;
use route::Report;
use route::Settings;
use route::Ticket;

pub const SLOTS: u32 = 6;
/// Work time of a healthy instance, in milliseconds.
pub const WORK: u64 = 5;
/// Attempt timeout, in milliseconds.
const TIMEOUT: u64 = 100;
/// Milliseconds between two probes.
const PROBE_INTERVAL: u64 = 50;

/// How an instance behaves.
#[derive(Clone, Copy, Debug)]
pub enum Behavior {
    /// Answers after this many milliseconds and reports its load.
    Work(u64),
    /// Answers; reports this many requests of other gateways in addition to its own.
    Busy(u32),
    /// Answers; always reports that it is idle.
    Underreport,
    /// Fails at once; reports that it is idle.
    Fail,
    /// Refuses connections.
    Refuse,
    /// Answers neither requests nor probes.
    Stall,
    /// Sheds at once.
    Shed,
    /// Fails and works in turn, for this many milliseconds each.
    Flap(u64),
}

struct Running {
    end: u64,
    index: usize,
    ticket: Ticket,
    outcome: Outcome,
}

/// A chooser and its instances.
pub struct Simulation {
    /// Behavior of each instance.
    pub behaviors: Vec<Behavior>,
    /// Announced phase of each instance.
    pub phases: Vec<Phase>,
    /// Number of choices of each instance in the latest run.
    pub counts: Vec<u32>,
    /// Whether probes are sent.
    pub probes: bool,
    /// The chooser under test.
    pub chooser: Chooser,
    now: u64,
    running: Vec<Running>,
    probing: Vec<(u64, Pick, ProbeResult)>,
}

impl Simulation {
    /// Starts with `count` healthy instances.
    pub fn new(policy: Policy, count: usize) -> Self {
        let mut simulation = Self {
            behaviors: vec![Behavior::Work(WORK); count],
            phases: vec![Phase::Ready; count],
            counts: vec![0; count],
            probes: true,
            chooser: Chooser::new(policy, Settings::default(), 7),
            now: 0,
            running: Vec::new(),
            probing: Vec::new(),
        };
        simulation.announce();
        simulation
    }

    /// Current time of the simulation.
    pub fn now(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    /// Passes the instance table to the chooser.
    pub fn announce(&mut self) {
        let rows = self.phases.iter().enumerate();
        let table: Vec<Instance> = rows.map(|(i, phase)| instance(i, *phase)).collect();
        self.chooser.update(self.now(), &table);
    }

    /// Runs for `millis` with one request each; returns each instance's share of the choices.
    pub fn run(&mut self, millis: u64) -> Vec<f64> {
        self.counts.fill(0);
        for _ in 0..millis {
            self.now += 1;
            self.end_attempts();
            self.end_probes();
            self.request();
            if self.probes && self.now.is_multiple_of(PROBE_INTERVAL) {
                self.probe();
            }
        }
        let total: u32 = self.counts.iter().sum();
        let share = |count: &u32| f64::from(*count) / f64::from(total.max(1));
        self.counts.iter().map(share).collect()
    }

    fn request(&mut self) {
        let now = self.now();
        let Some(choice) = self.chooser.choose(now, &[]) else {
            return;
        };
        let index = self.index(choice.pick);
        self.counts[index] += 1;
        let ticket = self.chooser.started(now, choice.pick);
        let (kind, latency) = self.result(index);
        let outcome = Outcome {
            kind,
            latency: Duration::from_millis(latency),
            report: None,
        };
        self.running.push(Running {
            end: self.now + latency,
            index,
            ticket,
            outcome,
        });
    }

    fn result(&self, index: usize) -> (OutcomeKind, u64) {
        let queued = u64::from(self.in_flight(index) / SLOTS);
        match self.behaviors[index] {
            Behavior::Work(work) => (OutcomeKind::Ok, (work * (1 + queued)).min(TIMEOUT)),
            Behavior::Fail => (OutcomeKind::Error, 1),
            Behavior::Refuse => (OutcomeKind::ConnectFailed, 1),
            Behavior::Stall => (OutcomeKind::Timeout, TIMEOUT),
            Behavior::Shed => (OutcomeKind::Shed, 1),
            Behavior::Flap(millis) if (self.now / millis).is_multiple_of(2) => {
                (OutcomeKind::Error, 1)
            }
            Behavior::Flap(_) | Behavior::Busy(_) | Behavior::Underreport => {
                (OutcomeKind::Ok, WORK)
            }
        }
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let (ended, running) = self.running.drain(..).partition(|r| r.end <= now);
        self.running = running;
        let ended: Vec<Running> = ended;
        for Running {
            index,
            ticket,
            mut outcome,
            ..
        } in ended
        {
            outcome.report = self.report(index);
            self.chooser.finished(self.now(), ticket, outcome);
        }
    }

    fn probe(&mut self) {
        let now = self.now();
        let Some(pick) = self.chooser.probe(now, |_| true) else {
            return;
        };
        let report = self.report(self.index(pick));
        let result = report.map_or(ProbeResult::Failed, ProbeResult::Load);
        self.probing.push((self.now + 5, pick, result));
    }

    fn end_probes(&mut self) {
        while let Some((end, pick, result)) = self.probing.first().copied() {
            if end > self.now {
                return;
            }
            self.probing.remove(0);
            self.chooser.probed(self.now(), pick, result);
        }
    }

    fn report(&self, index: usize) -> Option<Report> {
        let in_flight = match self.behaviors[index] {
            Behavior::Stall | Behavior::Refuse => return None,
            Behavior::Underreport | Behavior::Fail => 0,
            Behavior::Shed => 2 * SLOTS,
            Behavior::Busy(others) => self.in_flight(index) + others,
            Behavior::Work(_) | Behavior::Flap(_) => self.in_flight(index),
        };
        Some(Report {
            in_flight,
            slots: SLOTS,
        })
    }

    fn in_flight(&self, index: usize) -> u32 {
        let count = self.running.iter().filter(|r| r.index == index).count();
        u32::try_from(count).expect("a few requests")
    }

    fn index(&self, pick: Pick) -> usize {
        let id = self.chooser.id(pick).expect("the pick is of now");
        id.as_str().parse().expect("ids are indexes")
    }
}

/// The table row of instance `index`.
pub fn instance(index: usize, phase: Phase) -> Instance {
    Instance {
        id: InstanceId::new(&index.to_string()).expect("digits are a name"),
        incarnation: 0,
        domain: DomainName::new("torino").expect("letters are a name"),
        slots: SLOTS,
        phase,
    }
}
