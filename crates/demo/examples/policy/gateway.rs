//! One gateway of the rig: the product's own decisions around a chooser.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use admit::Admission;
use admit::Arrival;
use attempt::Service;
use attempt::Share;
use base::prelude::Class;
use base::prelude::HostName;
use base::prelude::Moment;
use base::prelude::ServiceName;
use measure::Meter;
use measure::Registry;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Chooser;
use route::Instance;
use route::Pick;
use tokio::sync::oneshot;

use crate::run::Case;

/// Extra attempts as a share of calls, in percent.
const RETRY_PERCENT: u32 = 10;
/// Most calls of the service that run at one gateway.
const CONCURRENCY: u32 = 24;
/// Most calls of the service that wait at one gateway.
const QUEUE: u32 = 32;
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
    name: ServiceName,
    admission: Option<Admission>,
    waiting: HashMap<admit::Ticket, oneshot::Sender<bool>>,
    next: u64,
    meter: Meter,
}

impl Gateway {
    /// Gateway `index` of `case`.
    pub fn new(case: &Case, index: u32) -> Self {
        let name = ServiceName::new("status").expect("letters are a name");
        let seed = case.seed * 1000 + 500 + u64::from(index);
        let percent = if case.row.whole { RETRY_PERCENT } else { 0 };
        Self {
            chooser: Chooser::new(case.row.policy, case.settings, seed),
            service: Service::new(Share::percent(percent), Moment::ZERO),
            rng: SmallRng::seed_from_u64(seed),
            admission: case.row.whole.then(|| admission(&name)),
            waiting: HashMap::new(),
            next: 0,
            meter: meter(case, index, &name),
            name,
        }
    }

    /// Takes the directory's table and a confirmation of the catalogue.
    pub fn update(&mut self, now: Moment, table: &[Instance]) {
        self.chooser.update(now, table);
        self.meter.confirm(1, now, now);
        for row in table {
            self.meter.add(&self.name, &row.id, now);
        }
    }

    /// The instance to probe now, paid from the measuring budget.
    pub fn probe(&mut self, now: Moment) -> Option<Pick> {
        let (meter, name) = (&mut self.meter, &self.name);
        self.chooser
            .probe(now, |id| meter.spend(name, id, now).is_ok())
    }

    /// Asks for admission; the receiver tells how a wait ends.
    pub fn arrive(
        &mut self,
        now: Moment,
        deadline: Moment,
    ) -> (admit::Ticket, oneshot::Receiver<bool>) {
        let (sender, receiver) = oneshot::channel();
        self.next += 1;
        let ticket = admit::Ticket(self.next);
        let request = admit::Request {
            ticket,
            service: self.name.clone(),
            deadline,
        };
        let mut out = Vec::new();
        let arrival = match &mut self.admission {
            Some(admission) => admission.arrive(&request, now, &mut out),
            None => Arrival::Started,
        };
        match arrival {
            Arrival::Started => _ = sender.send(true),
            Arrival::Refused(_) => _ = sender.send(false),
            Arrival::Queued => _ = self.waiting.insert(ticket, sender),
        }
        self.tell(out);
        (ticket, receiver)
    }

    /// Notes that an instance shed an attempt of a call that goes on.
    pub fn shed(&mut self, now: Moment) {
        if let Some(admission) = &mut self.admission {
            admission.shed(&self.name, now);
        }
    }

    /// Notes the end of a started call.
    pub fn finish(&mut self, now: Moment, ticket: admit::Ticket, finish: admit::Finish) {
        let mut out = Vec::new();
        if let Some(admission) = &mut self.admission {
            admission.finish(ticket, finish, now, &mut out);
        }
        self.tell(out);
    }

    /// Refuses and starts what has become due.
    pub fn poll(&mut self, now: Moment) {
        let mut out = Vec::new();
        if let Some(admission) = &mut self.admission {
            admission.poll(now, &mut out);
            self.service.pressed = admission.is_pressed(&self.name);
        }
        self.tell(out);
    }

    fn tell(&mut self, out: Vec<admit::Action>) {
        for action in out {
            let (ticket, starts) = match action {
                admit::Action::Start(ticket) => (ticket, true),
                admit::Action::Refuse(ticket, _) => (ticket, false),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                let _ = sender.send(starts);
            }
        }
    }
}

fn admission(name: &ServiceName) -> Admission {
    let mut admission = Admission::new(admit::Settings {
        concurrency: CONCURRENCY,
        queue: QUEUE,
    });
    let terms = admit::Terms {
        class: Class::Urgent,
        concurrency: CONCURRENCY,
        queue: QUEUE,
    };
    admission.set_service(name, terms);
    admission
}

fn meter(case: &Case, index: u32, name: &ServiceName) -> Meter {
    let host = |i: u32| HostName::new(&format!("host-{i:02}")).expect("letters are a name");
    let millis = if case.row.whole { case.probes } else { 0 };
    let registry = Registry {
        version: 1,
        gateways: (0..case.choosers).map(host).collect(),
        budgets: BTreeMap::from([(name.clone(), millis)]),
    };
    let mut meter = Meter::new(host(index), LEASE, Duration::ZERO);
    meter.set_holder(true, Moment::ZERO);
    meter.learn(Arc::new(registry), Moment::ZERO);
    meter
}
