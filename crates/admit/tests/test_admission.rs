//! Admission decisions of one gateway: single cases, and invariants over random schedules.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Action;
use admit::Admission;
use admit::Arrival;
use admit::Finish;
use admit::Reason;
use admit::Request;
use admit::ServiceConfig;
use admit::Settings;
use admit::Ticket;
use base::prelude::*;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const CLASSES: [Class; 4] = [Class::Urgent, Class::Once, Class::Durable, Class::Deferred];

fn name(class: Class) -> ServiceName {
    ServiceName::new(&class.to_string()).expect("a class is a valid name")
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

// One service per class, each with the given limits.
fn admission(settings: Settings, concurrency: u32, queue: u32) -> Admission {
    let mut admission = Admission::new(settings);
    for class in CLASSES {
        let config = ServiceConfig {
            class,
            concurrency,
            queue,
            slots: 0,
        };
        admission.set_service(&name(class), config);
    }
    admission
}

fn request(ticket: u64, class: Class, deadline: u64) -> Request {
    Request {
        ticket: Ticket(ticket),
        service: name(class),
        deadline: at(deadline),
    }
}

fn refused(arrival: Arrival) -> Option<Reason> {
    match arrival {
        Arrival::Refused(refusal) => Some(refusal.reason),
        Arrival::Started | Arrival::Queued => None,
    }
}

fn refusals(out: &[Action]) -> Vec<(u64, Reason)> {
    let each = out.iter().filter_map(|action| match action {
        Action::Refuse(ticket, refusal) => Some((ticket.0, refusal.reason)),
        Action::Start(_) => None,
    });
    each.collect()
}

fn starts(out: &[Action]) -> Vec<u64> {
    let each = out.iter().filter_map(|action| match action {
        Action::Start(ticket) => Some(ticket.0),
        Action::Refuse(..) => None,
    });
    each.collect()
}

const SMALL: Settings = Settings {
    concurrency: 1,
    queue: 4,
};

#[test]
fn test_admission_earliest_deadline_first() {
    let mut admission = admission(SMALL, 1, 4);
    let mut out = Vec::new();
    let urgent = Class::Urgent;
    let first = admission.arrive(&request(1, urgent, 900), at(0), &mut out);
    assert_eq!(first, Arrival::Started);
    for (ticket, deadline) in [(2, 800), (3, 500), (4, 700)] {
        let arrival = admission.arrive(&request(ticket, urgent, deadline), at(0), &mut out);
        assert_eq!(arrival, Arrival::Queued);
    }
    admission.finish(Ticket(1), Finish::Answered, at(10), &mut out);
    admission.finish(Ticket(3), Finish::Answered, at(20), &mut out);
    admission.finish(Ticket(4), Finish::Answered, at(30), &mut out);
    assert_eq!(starts(&out), [3, 4, 2]);
}

#[test]
fn test_admission_refuses_at_once() {
    let mut admission = admission(SMALL, 1, 4);
    let mut out = Vec::new();
    let urgent = Class::Urgent;
    // Calls take 100 ms, one after the other.
    for ticket in 1..=4 {
        admission.arrive(&request(ticket, urgent, 10_000), at(0), &mut out);
    }
    for ticket in 1..=2 {
        admission.finish(Ticket(ticket), Finish::Answered, at(ticket * 100), &mut out);
    }
    // Two calls are ahead of it, so it can't end before 500 ms.
    let short = admission.arrive(&request(5, urgent, 300), at(200), &mut out);
    let Arrival::Refused(refusal) = short else {
        panic!("{short:?}");
    };
    assert_eq!(refusal.reason, Reason::Overloaded);
    let wait = refusal.retry_after.expect("a retry time");
    assert!(wait >= Duration::from_millis(100), "{wait:?}");
    assert_eq!(refusal.retry_seconds(), Some(1));
    let long = admission.arrive(&request(6, urgent, 10_000), at(200), &mut out);
    assert_eq!(long, Arrival::Queued);
    let past = admission.arrive(&request(7, urgent, 200), at(200), &mut out);
    assert_eq!(refused(past), Some(Reason::Expired));
}

#[test]
fn test_admission_refusals() {
    let mut out = Vec::new();
    let mut admission = admission(SMALL, 1, 1);
    let unknown = Request {
        service: ServiceName::new("other").expect("a valid name"),
        ..request(1, Class::Urgent, 900)
    };
    let arrival = admission.arrive(&unknown, at(0), &mut out);
    assert_eq!(refused(arrival), Some(Reason::UnknownService));
    admission.arrive(&request(2, Class::Urgent, 900), at(0), &mut out);
    admission.arrive(&request(3, Class::Urgent, 900), at(0), &mut out);
    let arrival = admission.arrive(&request(4, Class::Urgent, 900), at(0), &mut out);
    assert_eq!(refused(arrival), Some(Reason::QueueFull));
    // The service is removed from the catalogue and added again while its call runs.
    admission.remove_service(&name(Class::Urgent), &mut out);
    assert_eq!(refusals(&out), [(3, Reason::Removed)]);
    let arrival = admission.arrive(&request(5, Class::Urgent, 900), at(0), &mut out);
    assert_eq!(refused(arrival), Some(Reason::UnknownService));
    let config = ServiceConfig {
        class: Class::Urgent,
        concurrency: 1,
        queue: 1,
        slots: 0,
    };
    admission.set_service(&name(Class::Urgent), config);
    let arrival = admission.arrive(&request(6, Class::Urgent, 900), at(0), &mut out);
    assert_eq!(arrival, Arrival::Queued);
    admission.stop();
    let arrival = admission.arrive(&request(7, Class::Once, 900), at(0), &mut out);
    assert_eq!(refused(arrival), Some(Reason::Stopping));
}

/// Guards against calls being queued while slots are free, after a burst at the start or
/// answers that are slow for another reason than a queue.
#[test]
fn test_admission_starts_calls_while_slots_are_free() {
    let mut admission = Admission::new(Settings {
        concurrency: 1_000,
        queue: 10,
    });
    let config = ServiceConfig {
        class: Class::Urgent,
        concurrency: 128,
        queue: 1,
        slots: 60,
    };
    admission.set_service(&name(Class::Urgent), config);
    let mut out = Vec::new();
    let mut now = 0;
    for round in 0..50 {
        let first = round * 100;
        for ticket in first..first + 60 {
            let arrival = admission.arrive(
                &request(ticket, Class::Urgent, now + 10_000),
                at(now),
                &mut out,
            );
            assert_eq!(arrival, Arrival::Started, "round {round}");
        }
        // The first rounds take 5 ms, the others 20 ms.
        now += if round < 10 { 5 } else { 20 };
        for ticket in first..first + 60 {
            admission.finish(Ticket(ticket), Finish::Answered, at(now), &mut out);
        }
    }
}

#[test]
fn test_admission_deferred_yields_but_keeps_share() {
    let settings = Settings {
        concurrency: 1,
        queue: 40,
    };
    let mut admission = admission(settings, 1, 100);
    let mut out = Vec::new();
    admission.arrive(&request(0, Class::Urgent, 9_000), at(0), &mut out);
    for ticket in 1..=40 {
        admission.arrive(&request(ticket, Class::Deferred, 9_000), at(0), &mut out);
    }
    // The queue is full: urgent calls displace deferred ones down to their share of 2.
    for ticket in 41..=80 {
        let arrival = admission.arrive(&request(ticket, Class::Urgent, 9_000), at(0), &mut out);
        let expected = if ticket <= 78 {
            None
        } else {
            Some(Reason::QueueFull)
        };
        assert_eq!(refused(arrival), expected, "{ticket}");
    }
    let yielded = refusals(&out);
    assert_eq!(yielded.len(), 38);
    assert!(yielded.iter().all(|(_, reason)| *reason == Reason::Yielded));
}

#[test]
fn test_admission_no_class_starves() {
    let settings = Settings {
        concurrency: 1,
        queue: 10_000,
    };
    let mut admission = admission(settings, 10, 2_000);
    let mut out = Vec::new();
    let mut ticket = 0;
    for _ in 0..1_500 {
        for class in CLASSES {
            ticket += 1;
            admission.arrive(&request(ticket, class, 9_000_000), at(0), &mut out);
        }
    }
    let mut counts = BTreeMap::new();
    let mut last = 1;
    for _ in 0..1_000 {
        out.clear();
        admission.finish(Ticket(last), Finish::Failed, at(0), &mut out);
        last = starts(&out)[0];
        // Tickets were assigned to the classes in turn.
        let class = CLASSES[usize::try_from((last - 1) % 4).expect("under 4")];
        *counts.entry(class).or_insert(0) += 1;
    }
    for class in CLASSES {
        let min = admit::class_scheduler::percent(class) * 10 - 1;
        assert!(counts[&class] >= min, "{class}: {counts:?}");
    }
}

#[test]
fn test_admission_expiry_and_cancellation() {
    let mut admission = admission(SMALL, 1, 4);
    let mut out = Vec::new();
    for (ticket, deadline) in [(1, 900), (2, 300), (3, 200), (4, 400)] {
        admission.arrive(&request(ticket, Class::Once, deadline), at(0), &mut out);
    }
    assert_eq!(admission.next_wakeup(), Some(at(200)));
    admission.cancel_queued(Ticket(3));
    assert_eq!(admission.next_wakeup(), Some(at(300)));
    admission.poll(at(299), &mut out);
    assert!(out.is_empty());
    admission.poll(at(300), &mut out);
    assert_eq!(refusals(&out), [(2, Reason::Expired)]);
    admission.cancel_queued(Ticket(4));
    admission.finish(Ticket(1), Finish::Answered, at(310), &mut out);
    assert_eq!((admission.running(), admission.queued()), (0, 0));
    assert_eq!(out.len(), 1);
}

// The expected state: queued calls with class and deadline, running calls with class.
#[derive(Default)]
struct Model {
    queued: BTreeMap<u64, (Class, Moment)>,
    running: BTreeMap<u64, Class>,
}

impl Model {
    fn apply(&mut self, out: &mut Vec<Action>, now: Moment) {
        for action in out.drain(..) {
            let (Action::Start(ticket) | Action::Refuse(ticket, _)) = action;
            let (class, deadline) = self.queued.remove(&ticket.0).expect("the call is queued");
            assert!(now <= deadline, "decided after its deadline");
            if matches!(action, Action::Start(_)) {
                assert!(now < deadline, "started at its deadline");
                self.running.insert(ticket.0, class);
            }
        }
    }
}

fn schedule(seed: u64) -> bool {
    let mut rng = StdRng::seed_from_u64(seed);
    let settings = Settings {
        concurrency: rng.random_range(1..12),
        queue: rng.random_range(1..20),
    };
    let concurrency = rng.random_range(1..6);
    let mut admission = admission(settings, concurrency, 8);
    let mut model = Model::default();
    let mut now = Moment::ZERO;
    let mut out = Vec::new();
    for ticket in 0..1_500 {
        let next = now + Duration::from_micros(rng.random_range(0..4_000));
        // Polls at each wakeup until then.
        while let Some(next_wakeup) = admission
            .next_wakeup()
            .filter(|next_wakeup| *next_wakeup <= next)
        {
            now = now.max(next_wakeup);
            admission.poll(now, &mut out);
            model.apply(&mut out, now);
            assert!(
                admission.next_wakeup().is_none_or(|next| next > now),
                "nothing expired"
            );
        }
        now = next;
        let running: Vec<u64> = model.running.keys().copied().collect();
        match rng.random_range(0..10) {
            0..5 => {
                let class = CLASSES[rng.random_range(0..4)];
                let deadline = now + Duration::from_millis(rng.random_range(0..60));
                let request = Request {
                    ticket: Ticket(ticket),
                    service: name(class),
                    deadline,
                };
                match admission.arrive(&request, now, &mut out) {
                    Arrival::Started => drop(model.running.insert(ticket, class)),
                    Arrival::Queued => drop(model.queued.insert(ticket, (class, deadline))),
                    Arrival::Refused(_) => {}
                }
            }
            5..9 if !running.is_empty() => {
                let ticket = running[rng.random_range(0..running.len())];
                model.running.remove(&ticket);
                let all = [
                    Finish::Answered,
                    Finish::Shed,
                    Finish::Failed,
                    Finish::Cancelled,
                ];
                let finish = all[rng.random_range(0..all.len())];
                admission.finish(Ticket(ticket), finish, now, &mut out);
            }
            _ => {
                if let Some((ticket, _)) = model.queued.pop_first() {
                    admission.cancel_queued(Ticket(ticket));
                }
            }
        }
        model.apply(&mut out, now);
        assert_eq!(admission.running(), model.running.len());
        assert_eq!(admission.queued(), model.queued.len());
        assert!(model.running.len() <= usize::try_from(settings.concurrency).unwrap());
        for class in CLASSES {
            let count = model.running.values().filter(|c| **c == class).count();
            assert!(count <= usize::try_from(concurrency).unwrap(), "{class}");
        }
    }
    true
}

#[test]
fn test_admission_random_schedules() {
    QuickCheck::new()
        .tests(100)
        .quickcheck(schedule as fn(u64) -> bool);
}
