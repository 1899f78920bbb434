//! Single calls: what each result leads to, by class, as tables.

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

struct Bench {
    call: Call,
    service: Service,
    rng: StdRng,
    now: Moment,
}

impl Bench {
    fn new(class: Class, depth: u8) -> Self {
        Self::with_percent(class, depth, 100)
    }

    fn with_percent(class: Class, depth: u8, percent: u32) -> Self {
        let mut service = Service::new(BudgetSettings::percent(percent), Moment::ZERO);
        for _ in 0..100 {
            service.latency.record(LATENCY);
        }
        let deadline = Moment::from_millis(1_000);
        let terms = CallContext {
            class,
            deadline,
            depth,
        };
        let mut bench = Self {
            call: Call::new(terms),
            service,
            rng: StdRng::seed_from_u64(1),
            now: Moment::ZERO,
        };
        bench.service.budget.earn(Moment::ZERO);
        let actions = bench.call.start(&mut bench.service, bench.now);
        assert_eq!(words(actions), "start-1");
        bench
    }

    fn step(&mut self, event: Event) -> String {
        let Self {
            call, service, rng, ..
        } = self;
        words(call.step(event, service, rng, self.now))
    }

    // Moves to the call's next wake and ticks.
    fn next_wakeup(&mut self) -> String {
        self.now = self.call.next_wakeup().expect("a call that isn't over");
        self.step(Event::Tick)
    }
}

fn words(actions: Actions) -> String {
    let words: Vec<String> = actions.iter().map(word).collect();
    words.join(" ")
}

fn word(action: Action) -> String {
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
        // Refused before work, or nothing sent: safe for every class.
        (Urgent, 0, Event::Head(1, shed()), "cancel-1 start-2"),
        (Once, 0, Event::Head(1, shed()), "cancel-1 start-2"),
        (Once, 3, Event::Head(1, shed()), "cancel-1 start-2"),
        (Once, 0, ended(AttemptError::ConnectFailed), "start-2"),
        (Once, 0, ended(AttemptError::NotSent), "start-2"),
        (Durable, 0, ended(AttemptError::ConnectFailed), "start-2"),
        // It may have run: only an idempotent request is sent again.
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
        // Silence may come from further down: only the edge acts on it.
        (
            Urgent,
            1,
            ended(AttemptError::Timeout),
            "fail-unknown-deadline",
        ),
        // There is nowhere else to go.
        (
            Durable,
            0,
            ended(AttemptError::NoUpstream),
            "fail-not-run-no-upstream",
        ),
        // The caller went away.
        (Urgent, 0, Event::CallerGone, "cancel-1"),
        (Deferred, 0, Event::CallerGone, "cancel-1"),
        (Once, 0, Event::CallerGone, ""),
        (Durable, 0, Event::CallerGone, ""),
    ];
    for (class, depth, event, expected) in cases {
        let mut bench = Bench::new(class, depth);
        assert_eq!(bench.step(event), expected, "{class} {depth} {event:?}");
    }
}

#[test]
fn test_call_outcome_over_attempts() {
    let ended = |number, ending| Event::AttemptFailed(number, ending);
    let cases = [
        // An earlier unknown attempt makes the whole unknown.
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
        let mut bench = Bench::new(class, 0);
        assert_eq!(bench.step(first), retry, "{class} {first:?}");
        assert_eq!(
            bench.step(ended(2, AttemptError::NoUpstream)),
            last,
            "{class} {first:?}"
        );
        assert!(bench.call.is_finished());
    }
}

#[test]
fn test_call_hedge_and_losers() {
    let mut bench = Bench::new(Class::Urgent, 0);
    assert_eq!(bench.next_wakeup(), "hedge-2");
    assert!(bench.now.since(Moment::ZERO) < LATENCY * 2);
    assert_eq!(
        bench.step(Event::Head(2, head(200))),
        "cancel-1 relay-2-marked"
    );
    // A late answer of the loser changes nothing.
    assert_eq!(bench.step(Event::Head(1, head(200))), "");
    assert_eq!(bench.step(Event::Complete(2)), "");
    assert!(bench.call.is_finished());

    // A failure of one waits for the other.
    let mut bench = Bench::new(Class::Urgent, 0);
    bench.next_wakeup();
    assert_eq!(bench.step(Event::Head(1, head(500))), "cancel-1");
    assert_eq!(bench.step(Event::Head(2, head(200))), "relay-2-marked");

    // No hedge below the edge, for other classes, or under load.
    let mut bench = Bench::new(Class::Urgent, 1);
    assert_eq!(bench.next_wakeup(), "cancel-1 fail-unknown-deadline");
    let mut bench = Bench::new(Class::Once, 0);
    assert_eq!(bench.next_wakeup(), "cancel-1 fail-unknown-deadline");
    let mut bench = Bench::new(Class::Durable, 0);
    assert_eq!(bench.next_wakeup(), "cancel-1 start-2");
    assert!(bench.now.since(Moment::ZERO) > LATENCY * 3);
}

#[test]
fn test_call_budget_empty() {
    for class in [Class::Urgent, Class::Once, Class::Durable, Class::Deferred] {
        let mut bench = Bench::with_percent(class, 0, 0);
        let ended = Event::AttemptFailed(1, AttemptError::ConnectFailed);
        assert_eq!(bench.step(ended), "fail-not-run-connect", "{class}");
    }
    // Without a token a late attempt goes on.
    let mut bench = Bench::with_percent(Class::Durable, 0, 0);
    assert_eq!(bench.next_wakeup(), "");
    assert_eq!(bench.step(Event::Head(1, head(200))), "relay-1");
}

/// A gateway that has just started can still retry what may be retried: time has
/// lent its budget a few tokens, which its calls pay back.
#[test]
fn test_call_young_gateway_retries() {
    let mut service = Service::new(BudgetSettings::percent(10), Moment::ZERO);
    let mut rng = StdRng::seed_from_u64(1);
    let mut extra = 0;
    for call in 0..100 {
        let now = Moment::from_millis(call);
        let mut call = Call::new(CallContext {
            class: Class::Urgent,
            deadline: now + Duration::from_secs(1),
            depth: 0,
        });
        call.start(&mut service, now);
        let refused = Event::AttemptFailed(1, AttemptError::ConnectFailed);
        let retried = words(call.step(refused, &mut service, &mut rng, now));
        let again = retried == "start-2";
        extra += u32::from(again);
        assert!(
            again || extra >= 3,
            "the first calls are retried: {retried}"
        );
    }
    assert!(extra <= 10, "{extra} extra attempts for 100 calls");
}

#[test]
fn test_call_no_time_left() {
    // A retry that can't be answered in time is given up at once, not at the deadline.
    let mut bench = Bench::new(Class::Durable, 0);
    bench.now = Moment::from_millis(995);
    let ended = Event::AttemptFailed(1, AttemptError::ConnectFailed);
    assert_eq!(bench.step(ended), "fail-not-run-connect");
}

#[test]
fn test_call_deferred_resumes() {
    let mut bench = Bench::new(Class::Deferred, 0);
    assert_eq!(bench.step(Event::Head(1, resumable())), "relay-1");
    let short = Event::AttemptFailed(1, AttemptError::ShortBody(700));
    assert_eq!(bench.step(short), "resume-2@700");
    let part = Head {
        status: 206,
        ..resumable()
    };
    assert_eq!(bench.step(Event::Head(2, part)), "relay-2-marked");
    assert_eq!(bench.step(Event::Complete(2)), "");
    assert!(bench.call.is_finished());

    // A whole new answer is never appended to the part that was relayed.
    let mut bench = Bench::new(Class::Deferred, 0);
    bench.step(Event::Head(1, resumable()));
    bench.step(short);
    assert_eq!(
        bench.step(Event::Head(2, resumable())),
        "cancel-2 resume-3@700"
    );
    let ended = Event::AttemptFailed(3, AttemptError::NoUpstream);
    assert_eq!(bench.step(ended), "break-unknown-no-upstream");

    // What can't be resumed is broken off visibly.
    for class in [Class::Urgent, Class::Once, Class::Durable] {
        let mut bench = Bench::new(class, 0);
        bench.step(Event::Head(1, resumable()));
        assert_eq!(bench.step(short), "break-unknown-short-body", "{class}");
    }
}

#[test]
fn test_call_told_deadline_shrinks() {
    let terms = CallContext {
        class: Class::Urgent,
        deadline: Moment::from_millis(160),
        depth: 2,
    };
    let mut service = Service::new(BudgetSettings::percent(10), Moment::ZERO);
    let actions = Call::new(terms).start(&mut service, Moment::ZERO);
    let Some(Action::Start(start)) = actions.iter().next() else {
        panic!("no start in {actions:?}");
    };
    assert_eq!(start.upstream_timeout, Duration::from_millis(155));
    assert_eq!(start.depth, 3);
}
