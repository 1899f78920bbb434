//! The chooser's invariants hold for random schedules of events.

use std::time::Duration;

use base::prelude::DomainName;
use base::prelude::InstanceId;
use base::prelude::Moment;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use route::Choice;
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
use strum::IntoEnumIterator;

/// Maximum number of instances in the table.
const INSTANCES: u8 = 5;
/// Number of random schedules.
const SCHEDULES: u64 = 1000;

#[derive(Clone, Debug)]
enum Step {
    Wait(u16),
    Phases(Vec<u8>),
    Request,
    End(u8, u8),
    Probe,
    ProbeEnd(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::Wait(u16::arbitrary(g)),
            1 => Self::Phases((0..INSTANCES).map(|_| u8::arbitrary(g)).collect()),
            2 => Self::Probe,
            3 => Self::ProbeEnd(bool::arbitrary(g)),
            4 | 5 => Self::End(u8::arbitrary(g), u8::arbitrary(g)),
            _ => Self::Request,
        }
    }
}

/// The chooser, and the state that it is expected to have.
struct Model {
    chooser: Chooser,
    now: Moment,
    phases: Vec<Phase>,
    running: Vec<(Ticket, InstanceId)>,
    probes: Vec<Pick>,
    choices: Vec<Choice>,
}

impl Model {
    fn new(policy: Policy) -> Self {
        Self {
            chooser: Chooser::new(policy, Settings::default(), 3),
            now: Moment::ZERO,
            phases: vec![Phase::Gone; usize::from(INSTANCES)],
            running: Vec::new(),
            probes: Vec::new(),
            choices: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(millis) => self.now = self.now + Duration::from_millis((*millis).into()),
            Step::Phases(phases) => self.announce(phases),
            Step::Request => self.request(),
            Step::End(index, kind) => self.end(*index, *kind),
            Step::Probe => {
                let pick = self.chooser.probe(self.now, |_| true);
                self.probes.extend(pick);
            }
            Step::ProbeEnd(answered) => self.end_probe(*answered),
        }
    }

    fn announce(&mut self, phases: &[u8]) {
        let phase = |byte: &u8| match byte % 6 {
            0 => Phase::Starting,
            1 => Phase::Draining,
            2 => Phase::Gone,
            _ => Phase::Ready,
        };
        self.phases = phases.iter().map(phase).collect();
        let rows = self.phases.iter().enumerate();
        let table: Vec<Instance> = rows.map(|(i, phase)| instance(i, *phase)).collect();
        self.chooser.update(self.now, &table);
        let phases = &self.phases;
        let is_listed = |id: &InstanceId| phases[index(id)] != Phase::Gone;
        self.running.retain(|(_, id)| is_listed(id));
    }

    fn request(&mut self) {
        let ready = self.phases.contains(&Phase::Ready);
        let choice = self.chooser.choose(self.now, &[]);
        assert_eq!(
            choice.is_some(),
            ready,
            "a choice exactly when one is ready"
        );
        let Some(choice) = choice else {
            return;
        };
        let id = self
            .chooser
            .id(choice.pick)
            .expect("it was just picked")
            .clone();
        assert_eq!(
            self.phases[index(&id)],
            Phase::Ready,
            "only ready ones get work"
        );
        let ticket = self.chooser.started(self.now, choice.pick);
        self.running.push((ticket, id));
        self.choices.push(choice);
    }

    fn end(&mut self, index: u8, kind: u8) {
        if self.running.is_empty() {
            return;
        }
        let index = usize::from(index) % self.running.len();
        let (ticket, _) = self.running.swap_remove(index);
        let kinds = [
            OutcomeKind::Ok,
            OutcomeKind::Error,
            OutcomeKind::Shed,
            OutcomeKind::Timeout,
            OutcomeKind::ConnectFailed,
            OutcomeKind::Cancelled,
        ];
        let outcome = Outcome {
            kind: kinds[usize::from(kind) % kinds.len()],
            latency: self.now.since(ticket.started_at()),
            report: (kind > 99).then_some(report(kind)),
        };
        self.chooser.finished(self.now, ticket, outcome);
    }

    fn end_probe(&mut self, answered: bool) {
        let Some(pick) = self.probes.pop() else {
            return;
        };
        let result = if answered {
            ProbeResult::Load(report(7))
        } else {
            ProbeResult::Failed
        };
        self.chooser.probed(self.now, pick, result);
    }

    fn check(&self) {
        for view in self.chooser.views(self.now) {
            let running = self.running.iter().filter(|(_, id)| *id == view.id);
            assert_eq!(view.in_flight as usize, running.count(), "{}", view.id);
        }
    }
}

fn report(in_flight: u8) -> Report {
    Report {
        in_flight: in_flight.into(),
        slots: 6,
    }
}

fn instance(index: usize, phase: Phase) -> Instance {
    Instance {
        id: InstanceId::new(&index.to_string()).expect("digits are a name"),
        incarnation: 0,
        domain: DomainName::new("milano").expect("letters are a name"),
        slots: 6,
        phase,
    }
}

fn index(id: &InstanceId) -> usize {
    id.as_str().parse().expect("ids are indexes")
}

fn run(policy: Policy, steps: Vec<Step>) -> Vec<Choice> {
    let mut model = Model::new(policy);
    for step in steps {
        model.step(&step);
        model.check();
    }
    model.choices
}

fn holds(policy: u8, steps: Vec<Step>) -> bool {
    let count = Policy::iter().count();
    let policy = Policy::iter().nth(usize::from(policy) % count);
    let policy = policy.expect("the index is below the count");
    run(policy, steps.clone()) == run(policy, steps)
}

#[test]
fn test_schedules_hold() {
    QuickCheck::new()
        .tests(SCHEDULES)
        .quickcheck(holds as fn(u8, Vec<Step>) -> bool);
}
