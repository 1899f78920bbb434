//! A simulated gateway: the product's admission, attempts and probes around a chooser.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use admit::Action;
use admit::Admission;
use admit::Arrival;
use admit::Ticket;
use attempt::BudgetSettings;
use attempt::Service;
use base::prelude::Class;
use base::prelude::HostName;
use base::prelude::Moment;
use base::prelude::ServiceName;
use measure::ProbeLimiter;
use measure::Registry;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Chooser;
use route::Settings;
use tokio::sync::oneshot;

use crate::case::Case;
use crate::fake::SLOTS;

/// Extra attempts as a share of calls, in percent.
const RETRY_PERCENT: u32 = 10;
/// Maximum number of calls that run, and that wait, at one gateway.
const LIMITS: admit::Settings = admit::Settings {
    concurrency: 24,
    queue: 32,
};
/// How long a confirmation of the catalogue is valid.
const LEASE: Duration = Duration::from_secs(3);

/// A simulated gateway.
pub struct Gateway {
    /// Chooses an instance for each attempt.
    pub chooser: Chooser,
    /// Retry budget and latencies of the service.
    pub service: Service,
    /// Generator for backoff delays.
    pub rng: SmallRng,
    /// Admission of calls.
    pub admission: Admission,
    /// Rate limiter of probes.
    pub probe_limiter: ProbeLimiter,
    waiting_calls: HashMap<Ticket, oneshot::Sender<bool>>,
    last_ticket: u64,
    full_stack: bool,
}

impl Gateway {
    /// Creates gateway `index` of `case`.
    pub fn new(case: &Case, index: u32) -> Self {
        let seed = case.seed * 1000 + 500 + u64::from(index);
        let settings = Settings {
            probe_age: case.probe_age,
            ..Settings::default()
        };
        let mut admission = Admission::new(LIMITS);
        let config = admit::ServiceConfig {
            class: Class::Urgent,
            concurrency: LIMITS.concurrency,
            queue: LIMITS.queue,
            slots: case.instances * SLOTS / case.gateways,
        };
        admission.set_service(&service_name(), config);
        let share = BudgetSettings::percent(RETRY_PERCENT * u32::from(case.full_stack));
        Self {
            chooser: Chooser::new(case.policy, settings, seed),
            service: Service::new(share, seed, Moment::ZERO),
            rng: SmallRng::seed_from_u64(seed),
            admission,
            probe_limiter: probe_limiter(case, index),
            waiting_calls: HashMap::new(),
            last_ticket: 0,
            full_stack: case.full_stack,
        }
    }

    /// Requests admission of a call; the receiver gets whether the call may start. Without
    /// the full stack, every call may.
    pub fn arrive(&mut self, now: Moment, deadline: Moment) -> (Ticket, oneshot::Receiver<bool>) {
        let full_stack = self.full_stack;
        let (sender, receiver) = oneshot::channel();
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let request = admit::Request {
            ticket,
            service: service_name(),
            deadline,
        };
        self.waiting_calls.insert(ticket, sender);
        self.with_admission(|admission, out| {
            let arrival = full_stack.then(|| admission.arrive(&request, now, out));
            match arrival.unwrap_or(Arrival::Started) {
                Arrival::Started => out.push(Action::Start(ticket)),
                Arrival::Refused(refusal) => out.push(Action::Refuse(ticket, refusal)),
                Arrival::Queued => {}
            }
        });
        (ticket, receiver)
    }

    /// Runs `act` on the admission and notifies the calls that it starts or refuses.
    pub fn with_admission(&mut self, act: impl FnOnce(&mut Admission, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.admission, &mut out);
        for action in out {
            let (Action::Start(ticket) | Action::Refuse(ticket, _)) = action;
            let sender = self.waiting_calls.remove(&ticket);
            sender.map(|sender| sender.send(matches!(action, Action::Start(_))));
        }
    }
}

/// Name of the simulated service.
pub fn service_name() -> ServiceName {
    ServiceName::new("status").expect("letters are a name")
}

fn probe_limiter(case: &Case, index: u32) -> ProbeLimiter {
    let host = |i: u32| HostName::new(&format!("host-{i:02}")).expect("letters are a name");
    let registry = Registry {
        version: 1,
        gateways: (0..case.gateways).map(host).collect(),
        budgets: BTreeMap::from([(service_name(), case.probes)]),
    };
    let mut probe_limiter = ProbeLimiter::new(host(index), LEASE, Duration::ZERO);
    probe_limiter.set_holder(true, Moment::ZERO);
    probe_limiter.update_registry(Arc::new(registry), Moment::ZERO);
    probe_limiter
}
