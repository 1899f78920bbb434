//! Probes instances for their load within the probe budget.
//!
//! The chooser selects the instances whose probe is most useful; the [`ProbeLimiter`]
//! decides whether this gateway may send it now. Only one process
//! of a host may probe: the one that has bound the operators' port.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::header;
use base::prelude::*;
use http::HeaderMap;
use http::Method;
use measure::Denied;
use measure::ProbeLimiter;
use route::Pick;
use route::ProbeResult;
use slog::debug;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::attempt_guard::parse_load;
use crate::balancer::Balancer;
use crate::core::Core;
use crate::core::Phase;
use crate::counters::add;
use crate::instance_clients::UpstreamRequest;
use crate::probe_schedule::ProbeSchedule;
use crate::probe_schedule::ServiceSchedule;
use crate::send::Target;
use crate::view::View;

/// Path at which an upstream reports its load.
pub const LOAD_PATH: &str = "/rwr/load";
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size in bytes of the body of a response to a probe. A longer one may have no end.
const MAX_PROBE_BODY: usize = 64 * 1024;
/// Minimum pause between two passes over the services that are due.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// The limiter that keeps probes within the budget.
#[derive(Debug)]
pub struct Prober {
    limiter: Mutex<ProbeLimiter>,
    clock: Clock,
}

impl Prober {
    /// Creates a prober that sends nothing until [`Prober::enable`].
    #[must_use]
    pub fn new(host: HostName, lease: Duration, clock: Clock) -> Self {
        Self {
            limiter: Mutex::new(ProbeLimiter::new(host, lease, anchor(clock))),
            clock,
        }
    }

    /// Allows this process to probe for its host.
    pub fn enable(&self) {
        self.limiter().set_holder(true, self.clock.now());
    }

    /// Updates budgets, confirmation and, if `changed`, the instances.
    pub fn update(&self, before: &View, after: &View, changed: bool) {
        let now = self.clock.now();
        let mut limiter = self.limiter();
        limiter.set_anchor(anchor(self.clock));
        if after.version() > 0 {
            limiter.update_registry(after.registry().clone(), now);
        }
        if let Some(confirmed_at) = after.confirmed_at() {
            limiter.confirm(after.version(), confirmed_at, now);
        }
        if !changed {
            return;
        }
        for removed in before.all_instances() {
            let remaining = after.instances(&removed.service);
            if !remaining.iter().any(|instance| instance.id == removed.id) {
                limiter.remove(&removed.service, &removed.id);
            }
        }
        for instance in after.all_instances() {
            limiter.add(&instance.service, &instance.id, now);
        }
    }

    fn limiter(&self) -> MutexGuard<'_, ProbeLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wall-clock time at the origin of `clock`, since the Unix epoch.
fn anchor(clock: Clock) -> Duration {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    wall.unwrap_or_default()
        .saturating_sub(clock.now().since(Moment::ZERO))
}

/// Sends probes until the gateway closes.
pub async fn run(core: Arc<Core>) {
    let mut schedule = ProbeSchedule::default();
    while *core.phase.borrow() < Phase::Closing {
        let now = core.clock.now();
        schedule.update(&core.view());
        check_due_services(&core, &mut schedule, now);
        let next = schedule.next_check(now).max(now + MIN_PAUSE);
        sleep_until(core.clock.instant(next)).await;
    }
}

/// Sends the probes of the services that are due.
fn check_due_services(core: &Arc<Core>, schedule: &mut ProbeSchedule, now: Moment) {
    for (service, service_schedule) in schedule.overdue(now) {
        if let Some(balancer) = core.balancers.get(service) {
            send_due_probes(core, service, &balancer, service_schedule, now);
        }
        service_schedule.finish_check(now);
    }
}

/// Sends the probes of one service that the limiter allows.
fn send_due_probes(
    core: &Arc<Core>,
    service: &ServiceName,
    balancer: &Arc<Balancer>,
    schedule: &mut ServiceSchedule,
    now: Moment,
) {
    let mut picks = Vec::new();
    {
        let mut state = balancer.state();
        let mut limiter = core.prober.limiter();
        let mut allowed = |id: &InstanceId| {
            if !schedule.may_probe(id, now) {
                return false;
            }
            let verdict = limiter.spend(service, id, now);
            if let Err(Denied::Early(at)) = verdict {
                schedule.deny(id, at, now);
            }
            verdict.is_ok()
        };
        while let Some(pick) = state.chooser.probe(now, &mut allowed) {
            picks.push((pick, state.chooser.id(pick).cloned()));
        }
    }
    for (pick, id) in picks {
        tokio::spawn(probe(
            core.clone(),
            service.clone(),
            balancer.clone(),
            pick,
            id,
        ));
    }
}

async fn probe(
    core: Arc<Core>,
    service: ServiceName,
    balancer: Arc<Balancer>,
    pick: Pick,
    id: Option<InstanceId>,
) {
    add(&core.counters.probes, 1);
    let response = fetch_load(&core, &service, &balancer, id.as_ref());
    let result = timeout(PROBE_TIMEOUT, response).await;
    if result.is_err()
        && let Some(upstream) = id
            .as_ref()
            .and_then(|id| core.view().instance(&service, id).cloned())
    {
        core.record_unreachable(&upstream);
    }
    let result = result.ok().flatten();
    debug!(core.log, "probe";
        "service" => service.as_str(),
        "instance" => id.as_ref().map(InstanceId::as_str),
        "in_flight" => result.map(|r| r.in_flight),
    );
    let probed = result.map_or(ProbeResult::Failed, ProbeResult::Load);
    balancer
        .state()
        .chooser
        .probed(core.clock.now(), pick, probed);
}

async fn fetch_load(
    core: &Arc<Core>,
    service: &ServiceName,
    balancer: &Arc<Balancer>,
    id: Option<&InstanceId>,
) -> Option<route::Report> {
    let client = core.clients.get(service, id?)?;
    let upstream = core.view().instance(service, id?)?.clone();
    let _connection = client.reserve()?;
    let outgoing = UpstreamRequest {
        method: Method::GET,
        target: LOAD_PATH.into(),
        headers: HeaderMap::new(),
        body: reqwest::Body::default(),
    };
    let target = Target {
        balancer: balancer.clone(),
        upstream,
        client,
    };
    let mut response = core.send_probe(&target, outgoing).await?;
    let report = response.headers().get(header::LOAD).and_then(parse_load);
    // A report whose response breaks off isn't believed.
    let mut received = 0;
    while let Some(chunk) = response.chunk().await.ok()? {
        received += chunk.len();
        if received > MAX_PROBE_BODY {
            return None;
        }
    }
    report
}
