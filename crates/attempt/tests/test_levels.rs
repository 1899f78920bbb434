//! Seven levels of calls, each through a gateway, when the bottom fails.

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
const PERCENT: u32 = 10;
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

// What a level's attempt leads to, and when; silence never comes.
type Result = Option<(Moment, Event)>;

struct Tower {
    bottom: Bottom,
    class: Class,
    services: Vec<Service>,
    rng: StdRng,
    // Attempts that reached the bottom.
    reached: u32,
}

impl Tower {
    fn new(bottom: Bottom, class: Class) -> Self {
        let mut service = Service::new(BudgetSettings::percent(PERCENT), Moment::ZERO);
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

    // One call of a level's gateway: what it answers, and when.
    fn call(&mut self, depth: u8, upstream_timeout: Duration, start: Moment) -> (Moment, Head) {
        let terms = CallContext {
            class: self.class,
            deadline: start + upstream_timeout,
            depth,
        };
        let mut call = Call::new(terms);
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
            let next_wakeup = call.next_wakeup().expect("a call that isn't over");
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

    // An instance of the level below takes the request, and calls on unless it is the bottom.
    fn attempt(
        &mut self,
        number: u8,
        depth: u8,
        upstream_timeout: Duration,
        now: Moment,
    ) -> Result {
        if depth < LEVELS {
            // The instance passes the depth on, and the mark back up.
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

fn mark(head: Head, retried: bool) -> Head {
    Head {
        retried: retried,
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

// Where the bottom mostly succeeds, the level above it may spend tokens that it saved
// after the edge has spent its own; the edge pays for those later.
fn saved(bottom: Bottom) -> u32 {
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
            let mut tower = Tower::new(bottom, class);
            for call in 0..CALLS {
                let start = Moment::from_millis(u64::from(call) * 2);
                tower.call(0, DEADLINE, start);
            }
            let most = CALLS * (100 + PERCENT) / 100 + saved(bottom);
            let reached = tower.reached;
            assert!(reached >= CALLS, "{bottom:?} {class}: {reached}");
            assert!(reached <= most, "{bottom:?} {class}: {reached} of {most}");
        }
    }
}
