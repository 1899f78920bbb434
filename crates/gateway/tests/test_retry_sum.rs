//! The retries that any number of gateways spend together on a service, however often they
//! restart.

use std::time::Duration;

use attempt::Action;
use attempt::Call;
use attempt::CallContext;
use attempt::Event;
use attempt::Head;
use base::prelude::*;
use gateway::balancer::Balancers;
use gateway::view::View;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wire::catalogue::Catalogue;
use wire::catalogue::Entry;
use wire::catalogue::Limits;
use wire::directory::SyncReply;

const RETRY_PERCENT: u32 = 10;
/// Time between two calls of one gateway.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of calls of each gateway.
const CALLS: u32 = 100;
/// Retries that all gateways together may have saved; each may have saved one.
const SAVED: u32 = 10;
/// Retries lent in the ten seconds of the test.
const LENT: u32 = 2;

fn service() -> ServiceName {
    ServiceName::new("status").expect("a name")
}

fn view(gateways: u32) -> View {
    let limits = Limits {
        retry_percent: RETRY_PERCENT,
        ..Limits::default()
    };
    let entry = Entry {
        service: service().to_string(),
        class: wire::catalogue::Class::Durable.into(),
        limits: Some(limits),
        ..Entry::default()
    };
    let reply = SyncReply {
        catalogue: Some(Catalogue {
            version: 1,
            entries: vec![entry],
            gateways: (0..gateways)
                .map(|number| format!("host-{number}"))
                .collect(),
        }),
        ..SyncReply::default()
    };
    View::default().updated(Moment::ZERO, reply)
}

fn start_gateway(view: &View, now: Moment) -> Balancers {
    let balancers = Balancers::default();
    balancers.update(now, view);
    balancers
}

/// Makes a call whose attempts all fail. Returns the number of attempts after the first.
fn failing_call(balancers: &Balancers, rng: &mut SmallRng, now: Moment) -> u32 {
    let balancer = balancers.get(&service()).expect("a service");
    let mut state = balancer.state();
    let mut call = Call::new(CallContext {
        class: Class::Durable,
        deadline: now + Duration::from_secs(1),
        depth: 0,
    });
    let mut actions = call.start(&mut state.attempts, now);
    let mut attempts: u32 = 0;
    let mut at = now;
    while !call.is_finished() {
        let started = actions.into_iter().find_map(|action| match action {
            Action::Start(start) => Some(start.number),
            _ => None,
        });
        let event = if let Some(number) = started {
            attempts += 1;
            let head = Head {
                status: 500,
                ..Head::default()
            };
            Event::Head(number, head)
        } else {
            at = call.next_wakeup().expect("unfinished");
            Event::Tick
        };
        actions = call.step(event, &mut state.attempts, rng, at);
    }
    attempts.saturating_sub(1)
}

/// Guards against gateways that borrow or save more in sum the more of them there are, and the
/// more often they restart.
#[test]
fn test_retries_of_any_number_of_gateways_stay_within_budget() {
    for gateways in [1, 5, 16, 100] {
        let mut rng = SmallRng::seed_from_u64(1);
        let view = view(gateways);
        let mut now = Moment::from_millis(1_000);
        let mut running: Vec<Balancers> =
            (0..gateways).map(|_| start_gateway(&view, now)).collect();
        let mut retries = 0;
        for call in 0..CALLS {
            if call % 20 == 19 {
                running = (0..gateways).map(|_| start_gateway(&view, now)).collect();
            }
            for balancers in &running {
                retries += failing_call(balancers, &mut rng, now);
            }
            now = now + CALL_INTERVAL;
        }
        let allowed = gateways * CALLS * RETRY_PERCENT / 100 + LENT + SAVED.max(gateways);
        assert!(
            retries <= allowed,
            "{gateways} gateways: {retries} retries, {allowed} allowed"
        );
    }
}
