//! Actions of a single call in response to each event, by class.

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
use rand::SeedableRng;
use rand::rngs::StdRng;

const LATENCY: Duration = Duration::from_millis(10);

struct Fixture {
    call: Call,
    service: Service,
    rng: StdRng,
    now: Moment,
}

impl Fixture {
    fn new(class: Class, depth: u8) -> Self {
        Self::with_percent(class, depth, 100)
    }

    fn with_percent(class: Class, depth: u8, percent: u32) -> Self {
        let mut service = Service::new(BudgetSettings::percent(percent), 1, Moment::ZERO);
        for _ in 0..100 {
            service.latency.record(LATENCY);
        }
        let deadline = Moment::from_millis(1_000);
        let context = CallContext {
            class,
            deadline,
            depth,
        };
        let mut fixture = Self {
            call: Call::new(context),
            service,
            rng: StdRng::seed_from_u64(1),
            now: Moment::ZERO,
        };
        fixture.service.budget.earn(Moment::ZERO);
        let actions = fixture.call.start(&mut fixture.service, fixture.now);
        assert_eq!(format_actions(actions), "start-1");
        fixture
    }

    fn step(&mut self, event: Event) -> String {
        let Self {
            call, service, rng, ..
        } = self;
        format_actions(call.step(event, service, rng, self.now))
    }

    // Advances the time to the call's next wakeup and ticks.
    fn advance(&mut self) -> String {
        self.now = self.call.next_wakeup().expect("the call is not finished");
        self.step(Event::Tick)
    }
}

fn format_actions(actions: Actions) -> String {
    let format_actions: Vec<String> = actions.iter().map(format_action).collect();
    format_actions.join(" ")
}

fn format_action(action: Action) -> String {
    match action {
        Action::Start(start) if start.hedge => format!("hedge-{}", start.number),
        Action::Start(start) if start.offset > 0 => {
            format!("resume-{}@{}", start.number, start.offset)
        }
        Action::Start(start) => format!("start-{}", start.number),
        Action::Cancel(number) => format!("cancel-{number}"),
        Action::Relay { number, retried } => {
            format!("relay-{number}{}", if retried { "-marked" } else { "" })
        }
        Action::Fail(failure) => format!("fail-{}-{}", failure.outcome, failure.reason),
        Action::Break(failure) => format!("break-{}-{}", failure.outcome, failure.reason),
    }
}

fn head(status: u16) -> Head {
    Head {
        status,
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

fn retried() -> Head {
    Head {
        status: 502,
        retried: true,
        ..Head::default()
    }
}

fn resumable() -> Head {
    Head {
        status: 200,
        resumable: true,
        ..Head::default()
    }
}

#[test]
fn test_call_first_result() {
    use Class::Deferred;
    use Class::Durable;
    use Class::Once;
    use Class::Urgent;
    let ended = |ending| Event::AttemptFailed(1, ending);
    let cases = [
        (Urgent, 0, Event::Head(1, head(200)), "relay-1"),
        (Once, 0, Event::Head(1, head(200)), "relay-1"),
        (Urgent, 0, Event::Head(1, head(404)), "relay-1"),
        // Refused before any work, or nothing sent: safe for every class.
        (Urgent, 0, Event::Head(1, shed()), "cancel-1 start-2"),
        (Once, 0, Event::Head(1, shed()), "cancel-1 start-2"),
        (Once, 3, Event::Head(1, shed()), "cancel-1 start-2"),
        (Once, 0, ended(AttemptError::ConnectFailed), "start-2"),
        (Once, 0, ended(AttemptError::NotSent), "start-2"),
        (Durable, 0, ended(AttemptError::ConnectFailed), "start-2"),
        // The request may have run: only idempotent classes retry.
        (
            Once,
            0,
            ended(AttemptError::NoAnswer),
            "fail-unknown-no-answer",
        ),
        (
            Once,
            0,
            ended(AttemptError::Mismatch),
            "fail-unknown-mismatch",
        ),
        (
            Once,
            0,
            ended(AttemptError::Timeout),
            "fail-unknown-deadline",
        ),
        (
            Once,
            0,
            ended(AttemptError::ShortBody(0)),
            "fail-unknown-short-body",
        ),
        (Once, 0, Event::Head(1, head(500)), "relay-1-marked"),
        (Urgent, 0, ended(AttemptError::NoAnswer), "start-2"),
        (Durable, 0, ended(AttemptError::Mismatch), "start-2"),
        (Deferred, 0, ended(AttemptError::Timeout), "start-2"),
        (Urgent, 0, ended(AttemptError::ShortBody(0)), "start-2"),
        (Durable, 0, Event::Head(1, head(500)), "cancel-1 start-2"),
        // Only the level next to the failure retries.
        (Durable, 0, Event::Head(1, retried()), "relay-1-marked"),
        (Urgent, 6, Event::Head(1, retried()), "relay-1-marked"),
        (Urgent, 6, ended(AttemptError::NoAnswer), "start-2"),
        // A timeout may be caused further down: only the edge retries.
        (
            Urgent,
            1,
            ended(AttemptError::Timeout),
            "fail-unknown-deadline",
        ),
        // No upstream is left.
        (
            Durable,
            0,
            ended(AttemptError::NoUpstream),
            "fail-not-run-no-upstream",
        ),
        // The caller disconnected.
        (Urgent, 0, Event::CallerGone, "cancel-1"),
        (Deferred, 0, Event::CallerGone, "cancel-1"),
        (Once, 0, Event::CallerGone, ""),
        (Durable, 0, Event::CallerGone, ""),
    ];
    for (class, depth, event, expected) in cases {
        let mut fixture = Fixture::new(class, depth);
        assert_eq!(fixture.step(event), expected, "{class} {depth} {event:?}");
    }
}

#[test]
fn test_call_outcome_over_attempts() {
    let ended = |number, ending| Event::AttemptFailed(number, ending);
    let cases = [
        // If one attempt may have run, the outcome of the call is unknown.
        (
            Class::Durable,
            ended(1, AttemptError::NoAnswer),
            "start-2",
            "fail-unknown-no-upstream",
        ),
        (
            Class::Durable,
            Event::Head(1, head(500)),
            "cancel-1 start-2",
            "fail-unknown-no-upstream",
        ),
        (
            Class::Durable,
            ended(1, AttemptError::NotSent),
            "start-2",
            "fail-not-run-no-upstream",
        ),
        (
            Class::Once,
            Event::Head(1, shed()),
            "cancel-1 start-2",
            "fail-not-run-no-upstream",
        ),
    ];
    for (class, first, retry, last) in cases {
        let mut fixture = Fixture::new(class, 0);
        assert_eq!(fixture.step(first), retry, "{class} {first:?}");
        assert_eq!(
            fixture.step(ended(2, AttemptError::NoUpstream)),
            last,
            "{class} {first:?}"
        );
        assert!(fixture.call.is_finished());
    }
}

#[test]
fn test_call_hedge_and_cancelled_attempt() {
    let mut fixture = Fixture::new(Class::Urgent, 0);
    assert_eq!(fixture.advance(), "hedge-2");
    assert!(fixture.now.since(Moment::ZERO) < LATENCY * 2);
    assert_eq!(
        fixture.step(Event::Head(2, head(200))),
        "cancel-1 relay-2-marked"
    );
    // A late response of the cancelled attempt is ignored.
    assert_eq!(fixture.step(Event::Head(1, head(200))), "");
    assert_eq!(fixture.step(Event::Complete(2)), "");
    assert!(fixture.call.is_finished());

    // After the failure of one attempt, the call waits for the other.
    let mut fixture = Fixture::new(Class::Urgent, 0);
    fixture.advance();
    assert_eq!(fixture.step(Event::Head(1, head(500))), "cancel-1");
    assert_eq!(fixture.step(Event::Head(2, head(200))), "relay-2-marked");

    // No hedge below the edge, for other classes, or under load.
    let mut fixture = Fixture::new(Class::Urgent, 1);
    assert_eq!(fixture.advance(), "cancel-1 fail-unknown-deadline");
    let mut fixture = Fixture::new(Class::Once, 0);
    assert_eq!(fixture.advance(), "cancel-1 fail-unknown-deadline");
    let mut fixture = Fixture::new(Class::Durable, 0);
    assert_eq!(fixture.advance(), "cancel-1 start-2");
    assert!(fixture.now.since(Moment::ZERO) > LATENCY * 3);
}

#[test]
fn test_call_budget_empty() {
    for class in [Class::Urgent, Class::Once, Class::Durable, Class::Deferred] {
        let mut fixture = Fixture::with_percent(class, 0, 0);
        let ended = Event::AttemptFailed(1, AttemptError::ConnectFailed);
        assert_eq!(fixture.step(ended), "fail-not-run-connect", "{class}");
    }
    // Without a token, a late attempt continues.
    let mut fixture = Fixture::with_percent(Class::Durable, 0, 0);
    assert_eq!(fixture.advance(), "");
    assert_eq!(fixture.step(Event::Head(1, head(200))), "relay-1");
}

/// Guards against a new gateway that retries more than its calls have earned, or never.
#[test]
fn test_call_new_gateway_retries_what_its_calls_earn() {
    let mut service = Service::new(BudgetSettings::percent(10), 1, Moment::ZERO);
    let mut rng = StdRng::seed_from_u64(1);
    let mut extra = 0;
    for call in 1..=100 {
        let now = Moment::from_millis(call);
        let mut call_state = Call::new(CallContext {
            class: Class::Urgent,
            deadline: now + Duration::from_secs(1),
            depth: 0,
        });
        call_state.start(&mut service, now);
        let refused = Event::AttemptFailed(1, AttemptError::ConnectFailed);
        let retried = format_actions(call_state.step(refused, &mut service, &mut rng, now));
        extra += u64::from(retried == "start-2");
        assert_eq!(extra, call / 10, "after {call} calls");
    }
}

#[test]
fn test_call_no_time_left() {
    // A retry that can't be answered in time fails now instead of at the deadline.
    let mut fixture = Fixture::new(Class::Durable, 0);
    fixture.now = Moment::from_millis(995);
    let ended = Event::AttemptFailed(1, AttemptError::ConnectFailed);
    assert_eq!(fixture.step(ended), "fail-not-run-connect");
}

#[test]
fn test_call_deferred_resumes() {
    let mut fixture = Fixture::new(Class::Deferred, 0);
    assert_eq!(fixture.step(Event::Head(1, resumable())), "relay-1");
    let short = Event::AttemptFailed(1, AttemptError::ShortBody(700));
    assert_eq!(fixture.step(short), "resume-2@700");
    let part = Head {
        status: 206,
        ..resumable()
    };
    assert_eq!(fixture.step(Event::Head(2, part)), "relay-2-marked");
    assert_eq!(fixture.step(Event::Complete(2)), "");
    assert!(fixture.call.is_finished());

    // A complete new response is never appended to a relayed part.
    let mut fixture = Fixture::new(Class::Deferred, 0);
    fixture.step(Event::Head(1, resumable()));
    fixture.step(short);
    assert_eq!(
        fixture.step(Event::Head(2, resumable())),
        "cancel-2 resume-3@700"
    );
    let ended = Event::AttemptFailed(3, AttemptError::NoUpstream);
    assert_eq!(fixture.step(ended), "break-unknown-no-upstream");

    // A response that can't be resumed breaks the caller's connection.
    for class in [Class::Urgent, Class::Once, Class::Durable] {
        let mut fixture = Fixture::new(class, 0);
        fixture.step(Event::Head(1, resumable()));
        assert_eq!(fixture.step(short), "break-unknown-short-body", "{class}");
    }
}

#[test]
fn test_call_upstream_timeout_shrinks() {
    let context = CallContext {
        class: Class::Urgent,
        deadline: Moment::from_millis(160),
        depth: 2,
    };
    let mut service = Service::new(BudgetSettings::percent(10), 1, Moment::ZERO);
    let actions = Call::new(context).start(&mut service, Moment::ZERO);
    let Some(Action::Start(start)) = actions.iter().next() else {
        panic!("no start in {actions:?}");
    };
    assert_eq!(start.upstream_timeout, Duration::from_millis(155));
    assert_eq!(start.depth, 3);
}
