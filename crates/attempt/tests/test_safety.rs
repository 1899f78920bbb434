//! Safety invariants of calls over random schedules of events, checked against a model.

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
const RETRY_PERCENT: u32 = 20;
const CLASSES: [Class; 4] = [Class::Urgent, Class::Once, Class::Durable, Class::Deferred];

// The expected state of one call.
#[derive(Default)]
struct Model {
    // Numbers of the attempts in flight.
    in_flight: Vec<u8>,
    // Attempts no longer in flight that may have run.
    ran: u32,
    started: u32,
    relayed: Vec<u8>,
    finals: u32,
}

struct Harness {
    rng: StdRng,
    service: Service,
    now: Moment,
    started: u32,
}

impl Harness {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            service: Service::new(BudgetSettings::percent(RETRY_PERCENT), 1, Moment::ZERO),
            now: Moment::ZERO,
            started: 0,
        }
    }

    fn call(&mut self) {
        let class = CLASSES[self.rng.random_range(0..4)];
        let span = Duration::from_millis(self.rng.random_range(1..300));
        let context = CallContext {
            class,
            deadline: self.now + span,
            depth: self.rng.random_range(0..3),
        };
        let mut call = Call::new(context);
        let mut model = Model::default();
        let actions = call.start(&mut self.service, self.now);
        model.apply(class, actions);
        model.check(class, &call, context.deadline);
        while !call.is_finished() {
            let event = self.event(&model, &call);
            let actions = call.step(event, &mut self.service, &mut self.rng, self.now);
            // The model takes the event before the resulting actions.
            model.record_event(event);
            model.apply(class, actions);
            model.check(class, &call, context.deadline);
            assert!(call.is_finished() || self.now < context.deadline);
        }
        self.started += model.started;
    }

    // An event of an attempt in flight, a stray one, or a tick at the next wakeup.
    fn event(&mut self, model: &Model, call: &Call) -> Event {
        let number = match model.in_flight.as_slice() {
            [] => return self.advance(call),
            in_flight => in_flight[self.rng.random_range(0..in_flight.len())],
        };
        let step = Duration::from_micros(self.rng.random_range(0..20_000));
        let next_wakeup = call.next_wakeup().expect("the call is not finished");
        self.now = (self.now + step).min(next_wakeup);
        match self.rng.random_range(0..20) {
            0..4 => self.advance(call),
            4..9 => Event::AttemptFailed(number, self.error()),
            9..15 => Event::Head(number, self.head()),
            15..18 => Event::Complete(number),
            18 => Event::CallerGone,
            _ => Event::Head(number.wrapping_add(1), self.head()),
        }
    }

    fn advance(&mut self, call: &Call) -> Event {
        self.now = call.next_wakeup().expect("the call is not finished");
        Event::Tick
    }

    fn error(&mut self) -> AttemptError {
        let offset = self.rng.random_range(0..1_000);
        let errors = [
            AttemptError::NoUpstream,
            AttemptError::ConnectFailed,
            AttemptError::NotSent,
            AttemptError::NoAnswer,
            AttemptError::Mismatch,
            AttemptError::Timeout,
            AttemptError::ShortBody(offset),
        ];
        errors[self.rng.random_range(0..errors.len())]
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

impl Model {
    // Records the end of an attempt. Only three errors, and a shed before the response is relayed,
    // prove that it never ran.
    fn record_event(&mut self, event: Event) {
        let (number, ran) = match event {
            Event::AttemptFailed(number, error) => {
                let safe = [
                    AttemptError::NoUpstream,
                    AttemptError::ConnectFailed,
                    AttemptError::NotSent,
                ];
                (number, !safe.contains(&error))
            }
            Event::Head(number, head) if head.shed && !self.relayed.contains(&number) => {
                (number, false)
            }
            Event::Complete(number) if self.relayed.contains(&number) => (number, true),
            _ => return,
        };
        if let Some(at) = self.in_flight.iter().position(|n| *n == number) {
            self.in_flight.remove(at);
            self.ran += u32::from(ran);
        }
    }

    fn apply(&mut self, class: Class, actions: Actions) {
        for action in actions {
            assert_eq!(self.finals, 0, "{action:?} after the final response");
            match action {
                Action::Start(start) => {
                    self.started += 1;
                    self.in_flight.push(start.number);
                    assert!(!start.hedge || class == Class::Urgent);
                    assert!(start.hedge || self.in_flight.len() == 1);
                }
                Action::Cancel(number) => {
                    let before = self.in_flight.len();
                    self.in_flight.retain(|n| *n != number);
                    self.ran += u32::try_from(before - self.in_flight.len()).unwrap();
                }
                Action::Relay { number, .. } => self.relayed.push(number),
                Action::Fail(failure) => {
                    self.finals += 1;
                    assert!(self.relayed.is_empty(), "a second head");
                    let ran = self.ran > 0 || !self.in_flight.is_empty();
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
        let running = u32::try_from(self.in_flight.len()).unwrap();
        assert!(running <= 2);
        if class == Class::Once {
            assert!(self.ran + running <= 1, "a second run of class once");
        }
        if call.is_finished() {
            assert!(
                self.in_flight.is_empty(),
                "an attempt in flight after the call finished"
            );
        } else if running == 0 {
            // Without an attempt in flight, an unfinished call has a retry scheduled.
            assert!(
                call.next_wakeup() < Some(deadline),
                "no retry before the deadline"
            );
        }
    }
}

fn schedule(seed: u64) -> bool {
    let mut harness = Harness::new(seed);
    for _ in 0..CALLS {
        harness.call();
    }
    let floor = harness.now.since(Moment::ZERO).as_secs_f64() / 5.0;
    let max = f64::from(CALLS * (100 + RETRY_PERCENT)) / 100.0 + floor + 1.0;
    assert!(
        f64::from(harness.started) <= max,
        "{} > {max}",
        harness.started
    );
    true
}

#[test]
fn test_safety_random_schedules() {
    QuickCheck::new()
        .tests(200)
        .quickcheck(schedule as fn(u64) -> bool);
}
