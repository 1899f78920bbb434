//! What the calls of one service share: the chooser and the retry budget.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Chooser;
use wire::directory::Phase;

use crate::view::Service;
use crate::view::Upstream;
use crate::view::View;

/// The machines of one service, behind one lock held for a decision at a time.
#[derive(Debug)]
pub struct Desk {
    state: Mutex<State>,
}

/// The machines themselves.
#[derive(Debug)]
pub struct State {
    /// Chooses instances.
    pub chooser: Chooser,
    /// Retry budget and observed latency.
    pub attempts: attempt::Service,
    /// Randomness of backoffs.
    pub rng: SmallRng,
    table: Vec<route::Instance>,
}

impl Desk {
    fn new(service: &Service, now: Moment, seed: u64) -> Self {
        let share = attempt::Share::percent(service.limits.retry_percent);
        Self {
            state: Mutex::new(State {
                chooser: Chooser::new(route::Policy::default(), route::Settings::default(), seed),
                attempts: attempt::Service::new(share, now),
                rng: SmallRng::seed_from_u64(seed),
                table: Vec::new(),
            }),
        }
    }

    /// The machines, for one decision.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, now: Moment, service: &Service, rows: &[Arc<Upstream>]) {
        let mut state = self.state();
        let share = attempt::Share::percent(service.limits.retry_percent);
        state.attempts.budget.set_share(share, now);
        let table: Vec<route::Instance> = rows.iter().map(|row| instance_of(row)).collect();
        if table != state.table {
            state.chooser.update(now, &table);
            state.table = table;
        }
    }
}

fn instance_of(row: &Upstream) -> route::Instance {
    route::Instance {
        id: row.id.clone(),
        incarnation: row.incarnation,
        domain: row.domain.clone(),
        slots: row.slots,
        phase: match row.phase {
            Phase::Ready => route::Phase::Ready,
            Phase::Draining => route::Phase::Draining,
            Phase::Gone => route::Phase::Gone,
            Phase::Starting | Phase::Unspecified => route::Phase::Starting,
        },
    }
}

/// The desks of all services of the catalogue.
#[derive(Debug, Default)]
pub struct Desks(RwLock<HashMap<ServiceName, Arc<Desk>>>);

impl Desks {
    /// The desk of one service, `None` when the catalogue lacks it.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<Arc<Desk>> {
        let desks = self.0.read().unwrap_or_else(PoisonError::into_inner);
        desks.get(service).cloned()
    }

    /// Takes the view's services and instances over; what was learnt stays.
    pub fn update(&self, now: Moment, view: &View) {
        let mut desks = self.0.write().unwrap_or_else(PoisonError::into_inner);
        desks.retain(|name, _| view.service(name.as_str()).is_some());
        for service in view.services() {
            let desk = desks
                .entry(service.name.clone())
                .or_insert_with(|| Arc::new(Desk::new(service, now, rand::random())));
            desk.update(now, service, view.instances(&service.name));
        }
    }
}
