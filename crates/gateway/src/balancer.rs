//! State shared by the calls of one service: the chooser and the retry budget.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;

use attempt::BudgetSettings;
use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Chooser;
use wire::directory::Phase;

use crate::view::UpstreamInstance;
use crate::view::View;

/// Balancer of one service. Its lock is held for one decision at a time.
#[derive(Debug)]
pub struct Balancer {
    state: Mutex<State>,
}

/// State of a balancer.
#[derive(Debug)]
pub struct State {
    /// Chooses an instance for each attempt.
    pub chooser: Chooser,
    /// Retry budget and observed latencies.
    pub attempts: attempt::Service,
    /// Random number generator for backoff jitter.
    pub rng: SmallRng,
    instances: Vec<route::Instance>,
}

impl Balancer {
    fn new(share: BudgetSettings, now: Moment, seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                chooser: Chooser::new(route::Policy::default(), route::Settings::default(), seed),
                attempts: attempt::Service::new(share, seed, now),
                rng: SmallRng::seed_from_u64(seed),
                instances: Vec::new(),
            }),
        }
    }

    /// Locks the state for one decision.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, now: Moment, share: BudgetSettings, upstreams: &[Arc<UpstreamInstance>]) {
        let mut state = self.state();
        state.attempts.budget.set_settings(share, now);
        let instances: Vec<route::Instance> = upstreams.iter().map(|u| instance_of(u)).collect();
        if instances != state.instances {
            state.chooser.update(now, &instances);
            state.instances = instances;
        }
    }
}

fn instance_of(upstream: &UpstreamInstance) -> route::Instance {
    route::Instance {
        id: upstream.id.clone(),
        incarnation: upstream.incarnation,
        domain: upstream.domain.clone(),
        slots: upstream.slots,
        phase: match upstream.phase {
            Phase::Ready => route::Phase::Ready,
            Phase::Draining => route::Phase::Draining,
            Phase::Gone => route::Phase::Gone,
            Phase::Starting | Phase::Unspecified => route::Phase::Starting,
        },
    }
}

/// The balancers of all services in the catalogue.
#[derive(Debug, Default)]
pub struct Balancers(RwLock<HashMap<ServiceName, Arc<Balancer>>>);

impl Balancers {
    /// The balancer of a service, or `None` if the service isn't in the catalogue.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<Arc<Balancer>> {
        let balancers = self.0.read().unwrap_or_else(PoisonError::into_inner);
        balancers.get(service).cloned()
    }

    /// Updates services and instances from the view. Measurements of instances
    /// that stay are retained.
    pub fn update(&self, now: Moment, view: &View) {
        let mut balancers = self.0.write().unwrap_or_else(PoisonError::into_inner);
        balancers.retain(|name, _| view.service(name.as_str()).is_some());
        for service in view.services() {
            let share = BudgetSettings::shared(service.limits.retry_percent, view.gateways());
            let balancer = balancers
                .entry(service.name.clone())
                .or_insert_with(|| Arc::new(Balancer::new(share, now, rand::random())));
            balancer.update(now, share, view.instances(&service.name));
        }
    }
}
