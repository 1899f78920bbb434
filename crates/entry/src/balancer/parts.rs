//! The parts of a service that is too large for one dispatcher: which of them this process
//! dispatches, and which one a request asks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ::dispatch::DispatcherLocation;
use ::dispatch::DispatcherRole;
use ::dispatch::parts::Division;
use ::dispatch::parts::Member;
use ::dispatch::parts::PartChoice;
use ::dispatch::parts::PartChooser;
use ::dispatch::parts::PartId;
use ::dispatch::parts::PartLoad;
use base::prelude::*;
use route::Pick;
use route::Scope;

use super::Balancer;
use crate::search::SearchScope;
use crate::view::Upstream;

/// Time from which a new dispatcher uses the limits that instances name. The list of entry hosts
/// reaches all processes within about 600 ms; until then the earlier dispatcher may use them.
const LIMIT_TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of connected instances that a request for a grant names.
const MAX_CONNECTED: usize = 8;
/// Share of a part's instances with idle connections from which none is named. Preferring some of
/// them would crowd the requests there, and few new connections are left to avoid.
const MANY_CONNECTED: f64 = 0.6;

/// The division of a service into parts, from the view of one process.
#[derive(Clone, Debug)]
pub struct PartPlan {
    /// The parts and their dispatchers.
    pub division: Division,
    /// The position of this process's home part.
    pub home: Option<usize>,
    /// The address at which this process answers placement requests.
    pub own: String,
    /// This process's failure domain.
    pub domain: DomainName,
}

/// A part to ask.
#[derive(Clone, Debug)]
pub struct PartTarget {
    /// The part.
    pub id: PartId,
    /// Its dispatcher; `None` if that is this process.
    pub address: Option<SocketAddr>,
    /// Why it was chosen.
    pub choice: PartChoice,
}

/// The parts of the service, and this process's view of them.
#[derive(Debug)]
pub(super) struct Parts {
    plan: PartPlan,
    chooser: PartChooser,
    /// The parts that this process dispatches.
    local: Vec<LocalPart>,
}

/// A part that this process dispatches.
#[derive(Clone, Debug)]
struct LocalPart {
    id: PartId,
    position: usize,
    role: DispatcherRole,
    since: Moment,
}

impl Parts {
    /// Number of instances in the parts whose shared budget this process may spend.
    pub(super) fn spending_instances(&self, now: Moment) -> usize {
        let spending = self.local.iter();
        let spending = spending.filter(|part| part.role.may_spend_shared(now));
        let parts = self.plan.division.parts();
        spending.map(|part| parts[part.position].instances).sum()
    }

    /// The dispatcher of the instance's part.
    pub(super) fn dispatcher_of(&self, instance: &InstanceId) -> Option<&str> {
        let division = &self.plan.division;
        let part = division.parts().get(division.position_of(instance)?)?;
        part.dispatcher.as_deref()
    }

    /// Whether this process dispatches the instance's part.
    pub(super) fn is_local(&self, instance: &InstanceId) -> bool {
        self.local_part(instance).is_some()
    }

    /// Whether this process may use the limit of an instance: it dispatches the instance's part,
    /// and an earlier dispatcher no longer does.
    pub(super) fn may_use_limit(&self, now: Moment, instance: &InstanceId) -> bool {
        let part = self.local_part(instance);
        part.is_some_and(|part| now.since(part.since) >= LIMIT_TAKEOVER_DELAY)
    }

    fn local_part(&self, instance: &InstanceId) -> Option<&LocalPart> {
        let position = self.plan.division.position_of(instance)?;
        self.local.iter().find(|part| part.position == position)
    }

    fn update(&mut self, now: Moment, plan: PartPlan) {
        self.chooser.retain(&plan.division);
        self.local = local_parts(now, &plan, Some(self));
        self.plan = plan;
    }
}

/// The parts that this process dispatches by `plan`. Those that it dispatched before keep their
/// role.
fn local_parts(now: Moment, plan: &PartPlan, before: Option<&Parts>) -> Vec<LocalPart> {
    let parts = plan.division.parts().iter().enumerate();
    let own = parts.filter(|(_, part)| part.dispatcher.as_ref() == Some(&plan.own));
    let local = own.map(|(position, part)| {
        let mut kept = before.iter().flat_map(|before| &before.local);
        if let Some(kept) = kept.find(|kept| kept.id == part.id) {
            return LocalPart {
                position,
                ..kept.clone()
            };
        }
        let mut role = DispatcherRole::default();
        if before.is_some() {
            role.set(now, DispatcherLocation::Remote);
        }
        role.set(now, DispatcherLocation::Local);
        LocalPart {
            id: part.id.clone(),
            position,
            role,
            since: now,
        }
    });
    local.collect()
}

impl Balancer {
    /// Divides the service into parts; `None` if it has none. Returns whether the parts or their
    /// dispatchers changed.
    pub fn set_parts(&mut self, now: Moment, plan: Option<PartPlan>) -> bool {
        let before = self.parts.as_ref().map(|parts| &parts.plan.division);
        let changed = match (before, &plan) {
            (None, None) => return false,
            (Some(before), Some(plan)) => !before.has_same_dispatchers(&plan.division),
            _ => true,
        };
        match (plan, &mut self.parts) {
            (Some(plan), Some(parts)) => parts.update(now, plan),
            (Some(plan), none) => {
                *none = Some(Parts {
                    local: local_parts(now, &plan, None),
                    chooser: PartChooser::new(self.seed),
                    plan,
                });
            }
            (None, parts) => *parts = None,
        }
        let division = self.parts.as_ref().map(|parts| &parts.plan.division);
        self.chooser
            .set_parts(|id| division.and_then(|division| division.position_of(id)));
        if changed {
            self.part_changes += 1;
            self.update_cold_sharing();
        }
        self.update_probe_share(now);
        changed
    }

    /// The instances, for the division into parts.
    pub fn members(&self) -> impl Iterator<Item = Member<'_>> {
        self.upstreams.values().map(|upstream| Member {
            id: &upstream.id,
            domain: &upstream.domain,
            slots: if self.ready.contains(&upstream.id) {
                upstream.slots
            } else {
                0
            },
        })
    }

    /// Whether the service is divided into parts.
    #[must_use]
    pub fn has_parts(&self) -> bool {
        self.parts.is_some()
    }

    /// The division of the service, if it has parts.
    #[must_use]
    pub fn division(&self) -> Option<&Division> {
        self.parts.as_ref().map(|parts| &parts.plan.division)
    }

    /// The part that this process asks first.
    #[must_use]
    pub fn home(&self) -> Option<&PartId> {
        let plan = &self.parts.as_ref()?.plan;
        let part = plan.division.parts().get(plan.home?)?;
        Some(&part.id)
    }

    /// The next part to ask, none of those in `tried`; `crossing` is the cost of the request's
    /// bytes between failure domains.
    pub fn next_part(
        &mut self,
        now: Moment,
        tried: &[PartId],
        crossing: f64,
    ) -> Option<PartTarget> {
        self.record_local_load(now);
        let Parts { plan, chooser, .. } = self.parts.as_mut()?;
        let division = &plan.division;
        let choice = chooser.choose(now, division, &plan.domain, plan.home, tried, crossing)?;
        let part = &division.parts()[choice.position];
        let dispatcher = part.dispatcher.as_deref().filter(|at| *at != plan.own);
        Some(PartTarget {
            id: part.id.clone(),
            address: dispatcher.and_then(|at| at.parse().ok()),
            choice,
        })
    }

    /// Records the current load of the parts that this process dispatches, as if their dispatcher
    /// had just reported it.
    fn record_local_load(&mut self, now: Moment) {
        let local = self.parts.iter().flat_map(|parts| &parts.local);
        let ids: Vec<PartId> = local.map(|part| part.id.clone()).collect();
        for id in ids {
            let load = self.part_load(now, &id);
            self.record_part_answer(now, &id, load, true);
        }
    }

    /// Records what the dispatcher of a part answered; a dispatcher that is lost has no load and
    /// grants nothing.
    pub fn record_part_answer(
        &mut self,
        now: Moment,
        part: &PartId,
        load: PartLoad,
        granted: bool,
    ) {
        if let Some(parts) = &mut self.parts {
            parts.chooser.record(now, part, load, granted);
        }
    }

    /// The load of a part, as far as this process knows it.
    #[must_use]
    pub fn part_load(&self, now: Moment, part: &PartId) -> PartLoad {
        let position = self.division().and_then(|division| division.position(part));
        let Some(position) = position else {
            return PartLoad::default();
        };
        let (slots, in_flight) = self.chooser.part_load(now, position);
        PartLoad {
            slots,
            in_flight,
            waiting: u32::try_from(self.wait_queue.len(now)).unwrap_or(u32::MAX),
        }
    }

    /// Calls `ask` with choices restricted to `scope`; `None` if there is no such part.
    pub fn scoped<T>(
        &mut self,
        now: Moment,
        scope: &SearchScope,
        ask: impl FnOnce(&mut Self) -> T,
    ) -> Option<T> {
        let part = match &scope.part {
            Some(id) => Some(self.division()?.position(id)?),
            None => None,
        };
        self.chooser.set_scope(Scope {
            part,
            saved_probes: self.probe_allowance.saved_share(now),
            connected: scope.connected.clone(),
        });
        let result = ask(self);
        self.chooser.set_scope(Scope::default());
        Some(result)
    }

    /// Whether the instance belongs to the part; to any part if `part` is `None`.
    #[must_use]
    pub fn is_in_part(&self, pick: Pick, part: Option<&PartId>) -> bool {
        let Some(id) = part else { return true };
        let position = self.division().and_then(|division| division.position(id));
        position.is_some() && self.chooser.part(pick) == position
    }

    /// Whether capacity of the instance may be offered to the requests that wait here: they wait
    /// for the parts that this process dispatches, if it dispatches any.
    pub(super) fn may_offer(&self, pick: Pick) -> bool {
        let Some(parts) = &self.parts else {
            return true;
        };
        let part = self.chooser.part(pick);
        let mut local = parts.local.iter();
        parts.local.is_empty() || local.any(|local| Some(local.position) == part)
    }

    /// A few instances of the part to which this process has idle connections.
    #[must_use]
    pub fn connected(&self, part: &PartId) -> Vec<Pick> {
        let Some(division) = self.division() else {
            return Vec::new();
        };
        let position = division.position(part);
        let members = self.upstreams.values();
        let members = members.filter(|upstream| division.position_of(&upstream.id) == position);
        let members: Vec<&Arc<Upstream>> = members.collect();
        let connected = members.iter().filter(|upstream| upstream.pool.has_idle());
        let picks = connected.filter_map(|upstream| {
            self.chooser
                .find(upstream.id.as_str(), upstream.incarnation)
        });
        preferred(picks.collect(), members.len())
    }
}

/// The instances that a request prefers, by those of the part's `instances` to which its process
/// has idle connections.
#[must_use]
pub fn preferred<T>(mut connected: Vec<T>, instances: usize) -> Vec<T> {
    let [count, all] = [connected.len(), instances].map(|n| u32::try_from(n).unwrap_or(u32::MAX));
    if f64::from(count) >= MANY_CONNECTED * f64::from(all) {
        return Vec::new();
    }
    connected.truncate(MAX_CONNECTED);
    connected
}
