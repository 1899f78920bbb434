//! Asks instances for their load, within the measuring budget.
//!
//! The chooser says which instance a probe tells most about; the meter of the
//! crate `measure` says whether this gateway may send one now. At most one
//! process of a host may probe: the one that has bound the operators' port.

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
use measure::Meter;
use route::Pick;
use route::Probed;
use slog::debug;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::attempt_guard::read_report;
use crate::balancer::Desk;
use crate::core::Core;
use crate::core::Phase;
use crate::counters::add;
use crate::instance_clients::Outgoing;
use crate::probe_schedule::Round;
use crate::probe_schedule::Rounds;
use crate::view::View;

/// Where an upstream gives its load.
pub const LOAD_PATH: &str = "/rwr/load";
/// Longest wait for a probe's answer; the slowest upstreams take 5 ms.
const PROBE_TIME: Duration = Duration::from_millis(250);
/// Shortest pause between two rounds over the services that are due.
const LEAST_PAUSE: Duration = Duration::from_millis(2);

/// The meter behind a lock.
#[derive(Debug)]
pub struct Prober {
    meter: Mutex<Meter>,
    clock: Clock,
}

impl Prober {
    /// A prober without the right to probe.
    #[must_use]
    pub fn new(host: HostName, lease: Duration, clock: Clock) -> Self {
        Self {
            meter: Mutex::new(Meter::new(host, lease, anchor(clock))),
            clock,
        }
    }

    /// Takes the right to probe under the host's name.
    pub fn hold(&self) {
        self.meter().set_holder(true, self.clock.now());
    }

    /// Takes over what changed from `before` to `after`.
    pub fn update(&self, before: &View, after: &View, changed: bool) {
        let now = self.clock.now();
        let mut meter = self.meter();
        meter.set_anchor(anchor(self.clock));
        if after.version() > 0 {
            meter.learn(after.registry().clone(), now);
        }
        if let Some(sent) = after.confirmed() {
            meter.confirm(after.version(), sent, now);
        }
        if !changed {
            return;
        }
        for gone in before.all_instances() {
            let stays = after.instances(&gone.service);
            if !stays.iter().any(|row| row.id == gone.id) {
                meter.remove(&gone.service, &gone.id);
            }
        }
        for row in after.all_instances() {
            meter.add(&row.service, &row.id, now);
        }
    }

    fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The wall-clock time at the origin of `clock`.
fn anchor(clock: Clock) -> Duration {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    wall.unwrap_or_default()
        .saturating_sub(clock.now().since(Moment::ZERO))
}

/// Probes for as long as the gateway serves.
pub async fn run(core: Arc<Core>) {
    let mut rounds = Rounds::default();
    while *core.phase.borrow() < Phase::Closing {
        let now = core.clock.now();
        rounds.update(&core.view());
        visit(&core, &mut rounds, now);
        let next = rounds.next(now).max(now + LEAST_PAUSE);
        sleep_until(core.clock.instant(next)).await;
    }
}

/// Looks at the services that are due.
///
/// One service's next probe doesn't bring a look at all others.
fn visit(core: &Arc<Core>, rounds: &mut Rounds, now: Moment) {
    for (service, round) in rounds.due(now) {
        if let Some(desk) = core.desks.get(service) {
            look(core, service, &desk, round, now);
        }
        round.end(now);
    }
}

/// Sends the probes that are due for one service.
fn look(core: &Arc<Core>, service: &ServiceName, desk: &Arc<Desk>, round: &mut Round, now: Moment) {
    let mut picks = Vec::new();
    {
        let mut state = desk.state();
        let mut meter = core.prober.meter();
        let mut allowed = |id: &InstanceId| {
            if !round.may_ask(id, now) {
                return false;
            }
            let word = meter.spend(service, id, now);
            if let Err(Denied::Early(at)) = word {
                round.deny(id, at, now);
            }
            word.is_ok()
        };
        while let Some(pick) = state.chooser.probe(now, &mut allowed) {
            picks.push((pick, state.chooser.id(pick).cloned()));
        }
    }
    for (pick, id) in picks {
        tokio::spawn(probe(core.clone(), service.clone(), desk.clone(), pick, id));
    }
}

async fn probe(
    core: Arc<Core>,
    service: ServiceName,
    desk: Arc<Desk>,
    pick: Pick,
    id: Option<InstanceId>,
) {
    add(&core.counters.probes, 1);
    let answer = ask(&core, &service, id.as_ref());
    let result = timeout(PROBE_TIME, answer).await.ok().flatten();
    debug!(core.log, "probe";
        "service" => service.as_str(),
        "instance" => id.as_ref().map(InstanceId::as_str),
        "in_flight" => result.map(|r| r.in_flight),
    );
    let probed = result.map_or(Probed::Failed, Probed::Load);
    desk.state().chooser.probed(core.clock.now(), pick, probed);
}

async fn ask(core: &Core, service: &ServiceName, id: Option<&InstanceId>) -> Option<route::Report> {
    let lane = core.lanes.get(service, id?)?;
    let _connection = lane.reserve()?;
    let out = Outgoing {
        method: Method::GET,
        target: LOAD_PATH.into(),
        headers: HeaderMap::new(),
        body: reqwest::Body::default(),
    };
    let response = lane.send(out).await.ok()?;
    let report = response.headers().get(header::LOAD).and_then(read_report);
    // The rest is read so that the connection can be used again.
    response.bytes().await.ok()?;
    report
}
