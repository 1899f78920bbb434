//! Load balancing for one service: instance selection, retry and probe budgets, and the
//! queue of requests that wait for capacity.

mod backoff;
mod cold;
mod dispatch;
mod limit;
mod parts;
mod silence;
mod waiting;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ::dispatch::DispatcherLocation;
use ::dispatch::DispatcherRole;
use ::dispatch::Grants;
use ::dispatch::Warmup;
use admit::CapacityQueue;
use attempt::budget::Budget;
use attempt::budget::BudgetSettings;
use attempt::budget::TOKEN;
use base::prelude::*;
use measure::Allowance;
use route::Decision;
use route::Instance;
use route::LoadReport;
use route::Need;
use route::OutcomeKind;
use route::Phase;
use route::Pick;
use route::ProbingChooser;
use route::ReportedInstance;
use route::ScoredChoice;
use route::Ticket;
use wire::hub::Phase as WirePhase;

pub use self::parts::PartPlan;
pub use self::parts::PartTarget;
use self::parts::Parts;
use self::waiting::OfferSender;

pub use self::waiting::FairSelection;
pub use self::waiting::Offer;

pub(crate) use self::waiting::per_second;

pub use self::parts::preferred;
use crate::placement::Grant;
use crate::processes::Processes;
use crate::settings::SharedBudgets;
use crate::view::InstanceStatus;
use crate::view::Upstream;

/// Fraction of the per-request retry allowance that is used. The rest covers requests that
/// drop in number while retries of earlier ones are in flight.
const RETRY_PERCENT_UTILIZATION: f64 = 0.85;
/// Fraction of the retry allowance without requests that all processes together get over time.
const RETRY_BASE_UTILIZATION: f64 = 0.6;
/// Fraction of that allowance that all processes together may have saved.
const RETRY_SAVED_UTILIZATION: f64 = 0.4;
/// Fraction of the probe budget that is used. The rest covers instances that are removed
/// while probes for them are saved.
const PROBE_UTILIZATION: f64 = 0.8;
/// Fraction of the probe budget that a service's dispatcher uses. All processes share the
/// rest, for low load, for an unresponsive dispatcher and for ejected instances.
const DISPATCHER_PROBE_SHARE: f64 = 0.5;
/// The same for the dispatcher of a part, which has a tenth of a core: 18 instances with 42 probes
/// a second each are some 150 probes a second there. More probes serve no more requests in time.
const PART_PROBE_SHARE: f64 = 0.25;
/// Maximum number of retries that one process saves, where few processes share the allowance.
const RETRY_BURST: f64 = 2.0;
/// Weight of one sample in the moving average of the time between completions.
const COMPLETION_INTERVAL_WEIGHT: f64 = 0.1;
/// Lower bound of `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Load balancer of one service.
#[derive(Debug)]
pub struct Balancer {
    chooser: ProbingChooser,
    retry_budget: Budget,
    probe_allowance: Allowance,
    shared: SharedBudgets,
    /// The last known number of processes; 0 before it is known.
    last_entries: u32,
    upstreams: HashMap<InstanceId, Arc<Upstream>>,
    /// The instances that are ready for requests.
    ready: HashSet<InstanceId>,
    wait_queue: CapacityQueue<OfferSender>,
    /// Whether requests that come back are told apart from new ones.
    returning: bool,
    /// When an attempt last finished.
    last_completion: Moment,
    /// Moving average of the time between finished attempts.
    completion_interval: Duration,
    /// Number of recently refused requests, decaying with `MAX_RETRY_AFTER` as the time constant.
    recent_refusals: f64,
    last_refusal: Moment,
    /// Open grants to other processes.
    grants: Grants<Ticket>,
    /// Whether this process dispatches for the service, or another one does.
    dispatcher_role: DispatcherRole,
    /// The parts of the service, if one dispatcher can't serve it.
    parts: Option<Parts>,
    /// Number of changes to the parts or their dispatchers.
    part_changes: u64,
    seed: u64,
    /// Rate limit of cold instances; `None` if unlimited.
    warmup: Option<Warmup>,
    /// The processes that share `warmup`.
    processes: Arc<Processes>,
    created_at: Moment,
}

/// What a process may spend of the retry budget that all processes share.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryShare {
    /// Number of tokens available; each retry takes one.
    pub tokens: f64,
    /// The number of processes that share the budget; 0 while unknown.
    pub processes: u32,
    /// Time since the process learned of the service.
    pub age: Duration,
}

/// Result of selecting an instance for a request.
#[derive(Debug)]
pub enum Selection {
    /// Send the request.
    Send(SelectedInstance),
    /// The instance is likely to answer late: send only if there is no time left to wait for
    /// a better one.
    Slow(SelectedInstance),
    /// Wait for capacity.
    Wait,
    /// No instance takes the request in time.
    Full,
    /// No instance is available.
    None,
}

/// An instance selected for a request.
#[derive(Debug)]
pub struct SelectedInstance {
    /// The instance and its connections.
    pub upstream: Arc<Upstream>,
    /// The data on which the choice is based.
    pub choice: ScoredChoice,
    /// The dispatcher's grant, if a dispatcher selected the instance.
    pub grant: Option<Grant>,
}

impl SelectedInstance {
    /// Attaches a dispatcher's grant.
    #[must_use]
    pub fn with_grant(self, grant: Grant) -> Self {
        Self {
            grant: Some(grant),
            ..self
        }
    }
}

impl Balancer {
    /// Creates a balancer without instances.
    #[must_use]
    pub fn new(domain: DomainName, shared: &SharedBudgets, seed: u64, now: Moment) -> Self {
        let mut chooser = ProbingChooser::new(domain, seed);
        chooser.set_processes(shared.entries);
        Self {
            chooser,
            retry_budget: Budget::new(budget_settings(shared), seed, now),
            probe_allowance: Allowance::new(now),
            shared: *shared,
            last_entries: shared.entries,
            upstreams: HashMap::new(),
            ready: HashSet::new(),
            wait_queue: CapacityQueue::new(now),
            returning: false,
            last_completion: now,
            completion_interval: MIN_RETRY_AFTER,
            recent_refusals: 0.0,
            last_refusal: now,
            grants: Grants::with_first_id(seed),
            dispatcher_role: DispatcherRole::default(),
            parts: None,
            part_changes: 0,
            seed,
            warmup: None,
            processes: Arc::default(),
            created_at: now,
        }
    }

    /// Sets the shared budgets and the number of processes that share them. Where that has
    /// become unknown, probes and choices go on with the last known number.
    pub fn set_shared(&mut self, shared: &SharedBudgets, now: Moment) {
        self.shared = *shared;
        if shared.entries > 0 {
            self.last_entries = shared.entries;
        }
        self.chooser.set_processes(self.last_entries);
        self.retry_budget.set_settings(budget_settings(shared), now);
        self.update_probe_share(now);
    }

    fn update_probe_share(&mut self, now: Moment) {
        let entries = self.last_entries;
        let spending = self
            .parts
            .as_ref()
            .map(|parts| parts.spending_instances(now));
        let (fraction, processes) = match self.dispatcher_role.location() {
            _ if spending.is_some_and(|instances| instances > 0) => (PART_PROBE_SHARE, 1),
            _ if spending.is_some() => (1.0 - PART_PROBE_SHARE, entries),
            DispatcherLocation::Unassigned => (1.0, entries),
            DispatcherLocation::Local if self.dispatcher_role.may_spend_shared(now) => {
                (DISPATCHER_PROBE_SHARE, 1)
            }
            DispatcherLocation::Local | DispatcherLocation::Remote => {
                (1.0 - DISPATCHER_PROBE_SHARE, entries)
            }
        };
        let budget = (f64::from(self.shared.probes) * PROBE_UTILIZATION * fraction).floor();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "fits in a u32"
        )]
        let budget = budget as u32;
        let own = spending.filter(|instances| *instances > 0);
        let count = own.unwrap_or(self.upstreams.len());
        self.probe_allowance.set(now, budget, count, processes);
    }

    /// Replaces the set of instances.
    pub fn update<'a>(&mut self, now: Moment, instances: impl Iterator<Item = InstanceStatus<'a>>) {
        self.upstreams.clear();
        self.ready.clear();
        let mut table = Vec::new();
        for status in instances {
            let upstream = status.upstream;
            if status.phase == WirePhase::Ready {
                self.ready.insert(upstream.id.clone());
            }
            let instance = Instance {
                id: upstream.id.clone(),
                incarnation: upstream.incarnation,
                domain: upstream.domain.clone(),
                slots: upstream.slots,
                phase: phase_from_wire(status.phase),
            };
            table.push(ReportedInstance {
                instance,
                cold: upstream.cold,
                silent: status.silent,
            });
            self.upstreams
                .insert(upstream.id.clone(), Arc::clone(upstream));
        }
        self.chooser.update(now, &table);
        self.update_probe_share(now);
    }

    /// Number of instances of the service.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether the service has no instances.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Counts a request, which earns a fraction of a retry.
    pub fn record_request(&mut self, now: Moment) {
        self.retry_budget.earn(now);
    }

    /// The retries that this process has available, and the number of processes that share the
    /// budget as far as it knows.
    #[must_use]
    pub fn retry_share(&self, now: Moment) -> RetryShare {
        RetryShare {
            tokens: self.retry_budget.tokens(now),
            processes: self.shared.entries,
            age: now.since(self.created_at),
        }
    }

    /// Takes one retry from the budget; returns false if it is exhausted.
    pub fn try_spend_retry(&mut self, now: Moment) -> bool {
        self.retry_budget.spend(now)
    }

    /// Computes this process's shares of instances that became cold or limited.
    fn update_shares(&mut self, now: Moment) {
        self.update_cold_shares(now);
        self.update_limit_shares(now);
    }

    /// Returns the instances to probe before a selection, in the given `round`, counted from 0.
    pub fn plan_probes(
        &mut self,
        now: Moment,
        need: &Need,
        exclude: &[Pick],
        round: u32,
    ) -> Vec<(Pick, Arc<Upstream>)> {
        self.update_shares(now);
        let probes = &mut self.probe_allowance;
        let allow = |count| probes.take(now, count);
        let picks = self.chooser.plan(now, need, exclude, round, allow);
        self.resolve(picks)
    }

    /// Returns the ejected instances that are due for a probe.
    pub fn plan_ejected_probes(&mut self, now: Moment) -> Vec<(Pick, Arc<Upstream>)> {
        let probes = &mut self.probe_allowance;
        let picks = self
            .chooser
            .plan_ejected(now, |count| probes.take(now, count));
        self.resolve(picks)
    }

    fn resolve(&self, picks: Vec<Pick>) -> Vec<(Pick, Arc<Upstream>)> {
        let found = picks.into_iter().filter_map(|pick| {
            let upstream = self.upstreams.get(self.chooser.id(pick)?)?;
            Some((pick, Arc::clone(upstream)))
        });
        found.collect()
    }

    /// Records that another instance now has this instance's address.
    pub fn record_displaced(&mut self, pick: Pick) {
        self.chooser.displaced(pick);
    }

    /// Records that a response body ended early after its head had been passed on.
    pub fn record_broken_response(&mut self, now: Moment, pick: Pick) {
        self.chooser.response_aborted(now, pick);
    }

    /// Records the result of a probe; `report` is `None` if it failed.
    pub fn record_probe(&mut self, now: Moment, pick: Pick, report: Option<LoadReport>) {
        self.chooser.probed(now, pick, report);
    }

    /// Selects an instance; one of `exclude` only if no other is left.
    pub fn choose(&mut self, now: Moment, need: &Need, exclude: &[Pick]) -> Selection {
        self.update_shares(now);
        let decision = self.chooser.choose(now, need, exclude);
        self.selection(decision)
    }

    /// Selects the given instance, which has just got free capacity.
    pub fn choose_instance(&mut self, now: Moment, need: &Need, pick: Pick) -> Selection {
        self.update_shares(now);
        let decision = self.chooser.choose_instance(now, need, pick);
        self.selection(decision)
    }

    fn selection(&self, decision: Decision) -> Selection {
        match decision {
            Decision::Send(choice) => self
                .selected(choice)
                .map_or(Selection::None, Selection::Send),
            Decision::Slow(choice) => self
                .selected(choice)
                .map_or(Selection::None, Selection::Slow),
            Decision::Wait => Selection::Wait,
            Decision::Full => Selection::Full,
            Decision::None => Selection::None,
        }
    }

    fn selected(&self, choice: ScoredChoice) -> Option<SelectedInstance> {
        let id = self.chooser.id(choice.pick)?;
        let upstream = Arc::clone(self.upstreams.get(id)?);
        Some(SelectedInstance {
            upstream,
            choice,
            grant: None,
        })
    }

    /// Records the start of an attempt. Returns the ticket for [`Self::finish_attempt`].
    pub fn start_attempt(&mut self, now: Moment, pick: Pick) -> Ticket {
        self.wait_queue.start(now);
        self.chooser.started(now, pick)
    }

    /// Records the result of an attempt.
    pub fn finish_attempt(
        &mut self,
        now: Moment,
        ticket: Ticket,
        kind: OutcomeKind,
        report: Option<LoadReport>,
    ) {
        let pick = ticket.pick();
        self.chooser.finished(now, ticket, kind, report);
        let worked = matches!(kind, OutcomeKind::Ok | OutcomeKind::Error);
        self.wait_queue.end(now, worked);
        if !self.may_offer(pick) {
            return;
        }
        let interval = now.since(self.last_completion).min(MAX_RETRY_AFTER);
        self.completion_interval = self
            .completion_interval
            .mul_f64(1.0 - COMPLETION_INTERVAL_WEIGHT)
            + interval.mul_f64(COMPLETION_INTERVAL_WEIGHT);
        self.last_completion = now;
        if !self.wait_queue.is_empty() {
            self.wake_waiter(now, pick);
        }
    }
}

/// This process's share of the retry allowance. While the number of processes is unknown, that is
/// what the last request earned.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "small positive numbers"
)]
fn budget_settings(shared: &SharedBudgets) -> BudgetSettings {
    let SharedBudgets { retry, entries, .. } = shared;
    let percent = f64::from(retry.percent) * RETRY_PERCENT_UTILIZATION;
    let (lent, saved) = match entries {
        0 => (0.0, percent / 100.0),
        entries => {
            let base = f64::from(retry.base) / f64::from(*entries);
            (
                base * RETRY_BASE_UTILIZATION,
                base * RETRY_SAVED_UTILIZATION,
            )
        }
    };
    let floor = retry.window.as_secs_f64() / lent;
    BudgetSettings {
        percent: percent as u32,
        floor: Duration::try_from_secs_f64(floor).unwrap_or(Duration::MAX),
        burst: (saved.min(RETRY_BURST) * TOKEN as f64) as u64,
        window: None,
    }
}

fn phase_from_wire(phase: WirePhase) -> Phase {
    match phase {
        WirePhase::Ready => Phase::Ready,
        WirePhase::Draining | WirePhase::Unspecified => Phase::Draining,
        WirePhase::Gone => Phase::Gone,
    }
}
