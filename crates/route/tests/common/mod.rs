//! A few instances on plain values, one request a millisecond.

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

/// Slots of every instance.
pub const SLOTS: u32 = 6;
/// Work time of a healthy instance.
pub const WORK: u64 = 5;
/// An attempt's time.
const TIMEOUT: u64 = 100;
/// Between two probes that the budget allows.
const PROBE_EVERY: u64 = 50;

/// What an instance does.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Answers after so many milliseconds, and says its load.
    Work(u64),
    /// Answers, and says that it has this much from others too.
    Busy(u32),
    /// Answers, and always says that it is idle.
    Lie,
    /// Fails at once, and says that it is idle.
    Fail,
    /// Takes no connection.
    Refuse,
    /// Never answers, probes neither.
    Stall,
    /// Sheds at once.
    Shed,
    /// Fails for a while and works for as long.
    Flap(u64),
}

struct Running {
    end: u64,
    index: usize,
    ticket: Ticket,
    outcome: Outcome,
}

/// A chooser with its instances.
pub struct Drive {
    /// What each instance does.
    pub acts: Vec<Act>,
    /// What each instance announced.
    pub phases: Vec<Phase>,
    /// Choices of each instance since the last look.
    pub counts: Vec<u32>,
    /// Whether probes are sent.
    pub probes: bool,
    /// The chooser.
    pub chooser: Chooser,
    now: u64,
    running: Vec<Running>,
    probing: Vec<(u64, Pick, ProbeResult)>,
}

impl Drive {
    /// `count` healthy instances.
    pub fn new(policy: Policy, count: usize) -> Self {
        let mut drive = Self {
            acts: vec![Act::Work(WORK); count],
            phases: vec![Phase::Ready; count],
            counts: vec![0; count],
            probes: true,
            chooser: Chooser::new(policy, Settings::default(), 7),
            now: 0,
            running: Vec::new(),
            probing: Vec::new(),
        };
        drive.announce();
        drive
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    /// Passes the table on.
    pub fn announce(&mut self) {
        let rows = self.phases.iter().enumerate();
        let table: Vec<Instance> = rows.map(|(i, phase)| instance(i, *phase)).collect();
        self.chooser.update(self.now(), &table);
    }

    /// Runs for `millis`, one request each, and gives the shares of the choices.
    pub fn run(&mut self, millis: u64) -> Vec<f64> {
        self.counts.fill(0);
        for _ in 0..millis {
            self.now += 1;
            self.end_attempts();
            self.end_probes();
            self.request();
            if self.probes && self.now.is_multiple_of(PROBE_EVERY) {
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
        match self.acts[index] {
            Act::Work(work) => (OutcomeKind::Ok, (work * (1 + queued)).min(TIMEOUT)),
            Act::Fail => (OutcomeKind::Error, 1),
            Act::Refuse => (OutcomeKind::ConnectFailed, 1),
            Act::Stall => (OutcomeKind::Timeout, TIMEOUT),
            Act::Shed => (OutcomeKind::Shed, 1),
            Act::Flap(span) if (self.now / span).is_multiple_of(2) => (OutcomeKind::Error, 1),
            Act::Flap(_) | Act::Busy(_) | Act::Lie => (OutcomeKind::Ok, WORK),
        }
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let (over, running) = self.running.drain(..).partition(|r| r.end <= now);
        self.running = running;
        let over: Vec<Running> = over;
        for Running {
            index,
            ticket,
            mut outcome,
            ..
        } in over
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
        let in_flight = match self.acts[index] {
            Act::Stall | Act::Refuse => return None,
            Act::Lie | Act::Fail => 0,
            Act::Shed => 2 * SLOTS,
            Act::Busy(others) => self.in_flight(index) + others,
            Act::Work(_) | Act::Flap(_) => self.in_flight(index),
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

/// The row of instance `index`.
pub fn instance(index: usize, phase: Phase) -> Instance {
    Instance {
        id: InstanceId::new(&index.to_string()).expect("digits are a name"),
        incarnation: 0,
        domain: DomainName::new("torino").expect("letters are a name"),
        slots: SLOTS,
        phase,
    }
}
