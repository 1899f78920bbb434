//! One gateway of the rig: the product's own decisions around a chooser.

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
/// Most calls of the service that run at one gateway, and that wait there.
const LIMITS: admit::Settings = admit::Settings {
    concurrency: 24,
    queue: 32,
};
/// How long a confirmation of the catalogue holds.
const LEASE: Duration = Duration::from_secs(3);

/// A gateway.
pub struct Gateway {
    /// The choice.
    pub chooser: Chooser,
    /// Budget and latency of the attempts.
    pub service: Service,
    /// Of backoffs.
    pub rng: SmallRng,
    /// Of calls.
    pub admission: Admission,
    /// Of probes.
    pub meter: ProbeLimiter,
    waiting: HashMap<Ticket, oneshot::Sender<bool>>,
    last: u64,
    whole: bool,
}

impl Gateway {
    /// Gateway `index` of `case`.
    pub fn new(case: &Case, index: u32) -> Self {
        let seed = case.seed * 1000 + 500 + u64::from(index);
        let settings = Settings {
            probe_age: case.probe_age,
            ..Settings::default()
        };
        let mut admission = Admission::new(LIMITS);
        let terms = admit::ServiceConfig {
            class: Class::Urgent,
            concurrency: LIMITS.concurrency,
            queue: LIMITS.queue,
            slots: case.instances * SLOTS / case.choosers,
        };
        admission.set_service(&name(), terms);
        let share = BudgetSettings::percent(RETRY_PERCENT * u32::from(case.whole));
        Self {
            chooser: Chooser::new(case.policy, settings, seed),
            service: Service::new(share, Moment::ZERO),
            rng: SmallRng::seed_from_u64(seed),
            admission,
            meter: meter(case, index),
            waiting: HashMap::new(),
            last: 0,
            whole: case.whole,
        }
    }

    /// Asks for admission, if there is any; the receiver tells whether the call may start.
    pub fn arrive(&mut self, now: Moment, deadline: Moment) -> (Ticket, oneshot::Receiver<bool>) {
        let whole = self.whole;
        let (sender, receiver) = oneshot::channel();
        self.last += 1;
        let ticket = Ticket(self.last);
        let request = admit::Request {
            ticket,
            service: name(),
            deadline,
        };
        self.waiting.insert(ticket, sender);
        self.admit(|admission, out| {
            let arrival = whole.then(|| admission.arrive(&request, now, out));
            match arrival.unwrap_or(Arrival::Started) {
                Arrival::Started => out.push(Action::Start(ticket)),
                Arrival::Refused(refusal) => out.push(Action::Refuse(ticket, refusal)),
                Arrival::Queued => {}
            }
        });
        (ticket, receiver)
    }

    /// Does something with the admission and tells those who wait what comes of it.
    pub fn admit(&mut self, act: impl FnOnce(&mut Admission, &mut Vec<Action>)) {
        let mut out = Vec::new();
        act(&mut self.admission, &mut out);
        for action in out {
            let (Action::Start(ticket) | Action::Refuse(ticket, _)) = action;
            let sender = self.waiting.remove(&ticket);
            sender.map(|sender| sender.send(matches!(action, Action::Start(_))));
        }
    }
}

/// The service's name.
pub fn name() -> ServiceName {
    ServiceName::new("status").expect("letters are a name")
}

fn meter(case: &Case, index: u32) -> ProbeLimiter {
    let host = |i: u32| HostName::new(&format!("host-{i:02}")).expect("letters are a name");
    let registry = Registry {
        version: 1,
        gateways: (0..case.choosers).map(host).collect(),
        budgets: BTreeMap::from([(name(), case.probes)]),
    };
    let mut meter = ProbeLimiter::new(host(index), LEASE, Duration::ZERO);
    meter.set_holder(true, Moment::ZERO);
    meter.update_registry(Arc::new(registry), Moment::ZERO);
    meter
}
