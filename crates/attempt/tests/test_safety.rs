//! What holds over random schedules of results, counted by the test itself.

use std::time::Duration;

use attempt::Action;
use attempt::Actions;
use attempt::AttemptError;
use attempt::BudgetSettings;
use attempt::Call;
use attempt::CallContext;
use attempt::Event;
use attempt::Head;
use attempt::Service;
use base::prelude::*;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const CALLS: u32 = 300;
const PERCENT: u32 = 20;
const CLASSES: [Class; 4] = [Class::Urgent, Class::Once, Class::Durable, Class::Deferred];

// What the test knows of one call.
#[derive(Default)]
struct Truth {
    // Numbers that run.
    live: Vec<u8>,
    // Attempts that may have run, those that run left out.
    ran: u32,
    started: u32,
    relayed: Vec<u8>,
    finals: u32,
}

struct World {
    rng: StdRng,
    service: Service,
    now: Moment,
    started: u32,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            service: Service::new(BudgetSettings::percent(PERCENT), Moment::ZERO),
            now: Moment::ZERO,
            started: 0,
        }
    }

    fn call(&mut self) {
        let class = CLASSES[self.rng.random_range(0..4)];
        let span = Duration::from_millis(self.rng.random_range(1..300));
        let terms = CallContext {
            class,
            deadline: self.now + span,
            depth: self.rng.random_range(0..3),
        };
        let mut call = Call::new(terms);
        let mut truth = Truth::default();
        let actions = call.start(&mut self.service, self.now);
        truth.take(class, actions);
        truth.check(class, &call, terms.deadline);
        while !call.is_finished() {
            let event = self.event(&truth, &call);
            let actions = call.step(event, &mut self.service, &mut self.rng, self.now);
            // The test counts what the event says before what the call makes of it.
            truth.note(event);
            truth.take(class, actions);
            truth.check(class, &call, terms.deadline);
            assert!(call.is_finished() || self.now < terms.deadline);
        }
        self.started += truth.started;
    }

    // A result of an attempt, a late one of another, or the next wake.
    fn event(&mut self, truth: &Truth, call: &Call) -> Event {
        let number = match truth.live.as_slice() {
            [] => return self.sleep(call),
            live => live[self.rng.random_range(0..live.len())],
        };
        let step = Duration::from_micros(self.rng.random_range(0..20_000));
        let next_wakeup = call.next_wakeup().expect("a call that isn't over");
        self.now = (self.now + step).min(next_wakeup);
        match self.rng.random_range(0..20) {
            0..4 => self.sleep(call),
            4..9 => Event::AttemptFailed(number, self.ending()),
            9..15 => Event::Head(number, self.head()),
            15..18 => Event::Complete(number),
            18 => Event::CallerGone,
            _ => Event::Head(number.wrapping_add(1), self.head()),
        }
    }

    fn sleep(&mut self, call: &Call) -> Event {
        self.now = call.next_wakeup().expect("a call that isn't over");
        Event::Tick
    }

    fn ending(&mut self) -> AttemptError {
        let offset = self.rng.random_range(0..1_000);
        let endings = [
            AttemptError::NoUpstream,
            AttemptError::ConnectFailed,
            AttemptError::NotSent,
            AttemptError::NoAnswer,
            AttemptError::Mismatch,
            AttemptError::Timeout,
            AttemptError::ShortBody(offset),
        ];
        endings[self.rng.random_range(0..endings.len())]
    }

    fn head(&mut self) -> Head {
        let status = [200, 206, 404, 500, 503][self.rng.random_range(0..5)];
        Head {
            status,
            shed: status == 503,
            retried: self.rng.random_bool(0.2),
            resumable: self.rng.random_bool(0.5),
        }
    }
}

impl Truth {
    // An attempt that ends: only three endings and a shed before the relay prove that it never ran.
    fn note(&mut self, event: Event) {
        let (number, ran) = match event {
            Event::AttemptFailed(number, ending) => {
                let safe = [
                    AttemptError::NoUpstream,
                    AttemptError::ConnectFailed,
                    AttemptError::NotSent,
                ];
                (number, !safe.contains(&ending))
            }
            Event::Head(number, head) if head.shed && !self.relayed.contains(&number) => {
                (number, false)
            }
            Event::Complete(number) if self.relayed.contains(&number) => (number, true),
            _ => return,
        };
        if let Some(at) = self.live.iter().position(|live| *live == number) {
            self.live.remove(at);
            self.ran += u32::from(ran);
        }
    }

    fn take(&mut self, class: Class, actions: Actions) {
        for action in actions {
            assert_eq!(self.finals, 0, "{action:?} after the final answer");
            match action {
                Action::Start(start) => {
                    self.started += 1;
                    self.live.push(start.number);
                    assert!(!start.hedge || class == Class::Urgent);
                    assert!(start.hedge || self.live.len() == 1);
                }
                Action::Cancel(number) => {
                    let before = self.live.len();
                    self.live.retain(|live| *live != number);
                    self.ran += u32::try_from(before - self.live.len()).unwrap();
                }
                Action::Relay { number, .. } => self.relayed.push(number),
                Action::Fail(failure) => {
                    self.finals += 1;
                    assert!(self.relayed.is_empty(), "a second head");
                    let ran = self.ran > 0 || !self.live.is_empty();
                    assert!(
                        !ran || failure.outcome == Outcome::Unknown,
                        "not-run, but it ran"
                    );
                }
                Action::Break(_) => {
                    self.finals += 1;
                    assert!(!self.relayed.is_empty(), "nothing to break");
                }
            }
        }
    }

    fn check(&self, class: Class, call: &Call, deadline: Moment) {
        let running = u32::try_from(self.live.len()).unwrap();
        assert!(running <= 2);
        if class == Class::Once {
            assert!(self.ran + running <= 1, "a second run of class once");
        }
        if call.is_finished() {
            assert!(self.live.is_empty(), "an attempt outlives the call");
        } else if running == 0 {
            // Given up means answered: without an attempt there is a retry ahead.
            assert!(call.next_wakeup() < Some(deadline), "an answer held back");
        }
    }
}

fn schedule(seed: u64) -> bool {
    let mut world = World::new(seed);
    for _ in 0..CALLS {
        world.call();
    }
    let floor = world.now.since(Moment::ZERO).as_secs_f64() / 5.0;
    let most = f64::from(CALLS * (100 + PERCENT)) / 100.0 + floor + 1.0;
    assert!(
        f64::from(world.started) <= most,
        "{} > {most}",
        world.started
    );
    true
}

#[test]
fn test_safety_random_schedules() {
    QuickCheck::new()
        .tests(200)
        .quickcheck(schedule as fn(u64) -> bool);
}
