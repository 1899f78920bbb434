//! Guards against retry amplification over seven levels of calls, each through a gateway, when
//! the bottom level fails.

use std::time::Duration;

use attempt::Action;
use attempt::AttemptError;
use attempt::BudgetSettings;
use attempt::Call;
use attempt::CallContext;
use attempt::Event;
use attempt::Head;
use attempt::Service;
use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LEVELS: u8 = 7;
const CALLS: u32 = 2_000;
const RETRY_PERCENT: u32 = 10;
const DEADLINE: Duration = Duration::from_millis(200);
const WORK: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bottom {
    Error,
    Shed,
    Refused,
    Reset,
    Stalled,
    // One in ten fails, or takes ten times as long.
    SomeErrors,
    SomeSlow,
}

// The event that ends an attempt and its time; none if there is no response.
type Result = Option<(Moment, Event)>;

struct Stack {
    bottom: Bottom,
    class: Class,
    services: Vec<Service>,
    rng: StdRng,
    // Attempts that reached the bottom level.
    reached: u32,
}

impl Stack {
    fn new(bottom: Bottom, class: Class) -> Self {
        let mut service = Service::new(BudgetSettings::percent(RETRY_PERCENT), 1, Moment::ZERO);
        for _ in 0..100 {
            service.latency.record(WORK * 5);
        }
        Self {
            bottom,
            class,
            services: vec![service; usize::from(LEVELS)],
            rng: StdRng::seed_from_u64(7),
            reached: 0,
        }
    }

    // Runs one call at the gateway of a level; returns the time and the head of its response.
    fn call(&mut self, depth: u8, upstream_timeout: Duration, start: Moment) -> (Moment, Head) {
        let context = CallContext {
            class: self.class,
            deadline: start + upstream_timeout,
            depth,
        };
        let mut call = Call::new(context);
        let mut now = start;
        let mut pending: Vec<(u8, Result)> = Vec::new();
        let mut actions = call.start(&mut self.services[usize::from(depth)], now);
        let mut last = error();
        loop {
            for action in actions {
                match action {
                    Action::Start(s) => {
                        let result = self.attempt(s.number, s.depth, s.upstream_timeout, now);
                        pending.push((s.number, result));
                    }
                    Action::Cancel(number) => pending.retain(|(n, _)| *n != number),
                    Action::Relay { retried, .. } => return (now, mark(last, retried)),
                    Action::Fail(_) | Action::Break(_) => return (now, mark(error(), true)),
                }
            }
            let next = pending.iter().filter_map(|(_, result)| *result);
            let next = next.min_by_key(|(at, _)| *at);
            let next_wakeup = call.next_wakeup().expect("the call is not finished");
            let event = match next {
                Some((at, event)) if at <= next_wakeup => {
                    now = at;
                    event
                }
                _ => {
                    now = next_wakeup;
                    Event::Tick
                }
            };
            if let Event::Head(_, head) = event {
                last = head;
            }
            pending.retain(|(_, result)| result.is_none_or(|(_, e)| e != event));
            let service = &mut self.services[usize::from(depth)];
            actions = call.step(event, service, &mut self.rng, now);
        }
    }

    // Runs an attempt at an instance of the level below, which calls the next level unless it is
    // the bottom.
    fn attempt(
        &mut self,
        number: u8,
        depth: u8,
        upstream_timeout: Duration,
        now: Moment,
    ) -> Result {
        if depth < LEVELS {
            // The instance passes the depth down and the retried header back up.
            let (at, head) = self.call(depth, upstream_timeout, now + WORK);
            return Some((at, Event::Head(number, head)));
        }
        self.reached += 1;
        let tenth = self.rng.random_ratio(1, 10);
        let event = match self.bottom {
            Bottom::Error => Event::Head(number, error()),
            Bottom::Shed => Event::Head(number, shed()),
            Bottom::Refused => Event::AttemptFailed(number, AttemptError::ConnectFailed),
            Bottom::Reset => Event::AttemptFailed(number, AttemptError::NoAnswer),
            Bottom::Stalled => return None,
            Bottom::SomeErrors if tenth => Event::Head(number, error()),
            Bottom::SomeErrors | Bottom::SomeSlow => Event::Head(number, whole()),
        };
        let slow = self.bottom == Bottom::SomeSlow && tenth;
        let work = if slow { WORK * 10 } else { WORK };
        Some((now + work, event))
    }
}

fn mark(head: Head, is_retried: bool) -> Head {
    Head {
        retried: is_retried,
        ..head
    }
}

fn whole() -> Head {
    Head {
        status: 200,
        ..Head::default()
    }
}

fn error() -> Head {
    Head {
        status: 502,
        ..Head::default()
    }
}

fn shed() -> Head {
    Head {
        status: 503,
        shed: true,
        ..Head::default()
    }
}

// If the bottom mostly succeeds, the level above it may spend saved tokens after the edge has
// spent its own; they are charged to the edge later.
fn max_saved_tokens(bottom: Bottom) -> u32 {
    match bottom {
        Bottom::SomeErrors | Bottom::SomeSlow => 10,
        _ => 0,
    }
}

#[test]
fn test_levels_attempts_at_bottom() {
    let bottoms = [
        Bottom::Error,
        Bottom::Shed,
        Bottom::Refused,
        Bottom::Reset,
        Bottom::Stalled,
        Bottom::SomeErrors,
        Bottom::SomeSlow,
    ];
    for bottom in bottoms {
        for class in [Class::Urgent, Class::Once, Class::Durable, Class::Deferred] {
            let mut stack = Stack::new(bottom, class);
            for call in 0..CALLS {
                let start = Moment::from_millis(u64::from(call) * 2);
                stack.call(0, DEADLINE, start);
            }
            let max = CALLS * (100 + RETRY_PERCENT) / 100 + max_saved_tokens(bottom);
            let reached = stack.reached;
            assert!(reached >= CALLS, "{bottom:?} {class}: {reached}");
            assert!(reached <= max, "{bottom:?} {class}: {reached} of {max}");
        }
    }
}
