//! State shared by the calls of one service: the chooser and the retry budget.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use attempt::BudgetSettings;
use attempt::stop::RecentTimes;
use backoff::Backoff;
use backoff::Backoffs;
use backoff::Notice;
use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Chooser;
use wire::directory::Phase;

use crate::view::UpstreamInstance;
use crate::view::View;

/// Number of backoffs from which those of instances that aren't listed are removed.
const MAX_BACKOFFS: usize = 1_024;

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
    /// Times until the ends of successful responses.
    pub recent: RecentTimes,
    /// Random number generator for backoff jitter.
    pub rng: SmallRng,
    instances: Vec<route::Instance>,
    /// The instances that asked this gateway to send them nothing.
    backoffs: Backoffs,
}

impl Balancer {
    fn new(share: BudgetSettings, now: Moment, seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                chooser: Chooser::new(route::Policy::default(), route::Settings::default(), seed),
                attempts: attempt::Service::new(share, seed, now),
                recent: RecentTimes::default(),
                rng: SmallRng::seed_from_u64(seed),
                instances: Vec::new(),
                backoffs: Backoffs::default(),
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
            state.update_backoffs(now);
        }
    }

    /// Why nothing may be sent to the instance now; `None` if it takes requests.
    #[must_use]
    pub fn backoff(&self, now: Moment, run: &InstanceRun) -> Option<Backoff> {
        self.state().backoffs.get(now, run)
    }

    /// Records what an instance asked for. Returns its backoff if that has changed.
    pub fn record_notice(&self, now: Moment, run: &InstanceRun, notice: Notice) -> Option<Backoff> {
        let mut state = self.state();
        let backoff = state.backoffs.record(now, run, notice, rand::random())?;
        state.apply_backoff(run, backoff);
        Some(backoff)
    }

    /// The time until an instance takes requests again, if all of them are backed off.
    #[must_use]
    pub fn backoff_remaining(&self, now: Moment) -> Option<Duration> {
        let end = self.state().chooser.first_backoff_end(now)?;
        Some(end.since(now))
    }
}

impl State {
    fn apply_backoff(&mut self, run: &InstanceRun, backoff: Backoff) {
        match backoff {
            Backoff::Until(end) => self.chooser.set_backoff(run, end),
            Backoff::Leaving => self.chooser.set_leaving(run),
        }
    }

    /// Removes the backoffs of replaced instances, and passes the others to the chooser, which forgets
    /// them with an instance that its list lacked. An instance may be missing from lists for a
    /// while, so its backoff is kept as long as there are few.
    fn update_backoffs(&mut self, now: Moment) {
        let is_full = self.backoffs.len() >= MAX_BACKOFFS;
        let instances = &self.instances;
        self.backoffs.retain(now, |run| {
            let listed = instances.iter().find(|listed| listed.id == run.instance);
            listed.map_or(!is_full, |listed| listed.incarnation <= run.incarnation)
        });
        let backoffs = self.backoffs.iter(now);
        let backoffs: Vec<(InstanceRun, Backoff)> = backoffs
            .map(|(run, backoff)| (run.clone(), backoff))
            .collect();
        for (run, backoff) in backoffs {
            self.apply_backoff(&run, backoff);
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
