//! The balancer's part in dispatching: grants to other processes, and grants received from
//! the service's dispatcher.

use std::time::Duration;

use ::dispatch::DispatcherLocation;
use base::prelude::*;
use route::Evidence;
use route::LoadReport;
use route::Need;
use route::OutcomeKind;
use route::Pick;
use route::Reason;
use route::ScoredChoice;
use wire::place::Ask;
use wire::place::Outcome;
use wire::place::Placed;

use super::Balancer;
use super::SelectedInstance;
use crate::placement::duration_from_micros;
use crate::placement::micros;
use crate::placement::report_from_wire;
use crate::placement::report_to_wire;

/// How long after a request's deadline the message that releases its grant may arrive.
const GRANT_EXPIRY_MARGIN: Duration = Duration::from_millis(300);
/// Requests per slot from which a service counts as busy. Below it, asking the dispatcher
/// costs CPU time and bytes between failure domains without finding a better instance.
const BUSY_LOAD: f64 = 0.5;

impl Balancer {
    /// Sets which process dispatches for the service.
    pub fn set_dispatcher_location(&mut self, now: Moment, location: DispatcherLocation) {
        self.dispatcher_role.set(now, location);
        self.update_probe_share(now);
    }

    /// Whether to ask the dispatcher. Under low load, this process finds an equally good
    /// instance with a few probes of its own.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.chooser.load() >= BUSY_LOAD
    }

    /// Expires overdue grants and updates the share of the probe budget.
    pub fn tick(&mut self, now: Moment) {
        for ticket in self.grants.take_expired(now) {
            self.finish_attempt(now, ticket, OutcomeKind::Cancelled, None);
        }
        self.update_probe_share(now);
    }

    /// Returns the requirements of another process's request.
    pub fn need_from_ask(&mut self, ask: &Ask, domain: &DomainName) -> Need {
        Need {
            work: duration_from_micros(ask.work_us),
            aim: duration_from_micros(ask.aim_us),
            crossing: ask.crossing,
            max_occupancy: ask.room,
            domain_index: self.chooser.domain_index(domain),
            // The dispatcher knows the requests that it has granted.
            evidence: Evidence::Any,
        }
    }

    /// Returns the handles of the instances with these ids.
    #[must_use]
    pub fn picks(&self, ids: &[String]) -> Vec<Pick> {
        self.chooser.picks(ids)
    }

    /// Returns the ids of these instances.
    #[must_use]
    pub fn ids(&self, picks: &[Pick]) -> Vec<String> {
        let ids = picks.iter().filter_map(|pick| self.chooser.id(*pick));
        ids.map(ToString::to_string).collect()
    }

    /// Grants the selected instance to another process, for a request that ends by `deadline`.
    pub fn grant(&mut self, now: Moment, chosen: &SelectedInstance, deadline: Moment) -> Placed {
        let choice = &chosen.choice;
        let ticket = self.start_attempt(now, choice.pick);
        Placed {
            outcome: Outcome::Granted.into(),
            grant: self.grants.grant(deadline + GRANT_EXPIRY_MARGIN, ticket),
            instance: chosen.upstream.id.to_string(),
            incarnation: chosen.upstream.incarnation,
            report: choice.report.map(report_to_wire),
            age_us: choice.age.map_or(u32::MAX, micros),
            in_flight: choice.in_flight,
            expected_us: micros(choice.expected),
            cost: choice.cost,
            ..Placed::default()
        }
    }

    /// Releases a grant; one that has expired or was released before is ignored.
    pub fn release_grant(
        &mut self,
        now: Moment,
        grant: u64,
        kind: OutcomeKind,
        report: Option<LoadReport>,
    ) {
        if let Some(ticket) = self.grants.take(grant) {
            self.finish_attempt(now, ticket, kind, report);
        }
    }

    /// Returns the instance that a dispatcher granted; `None` if this process doesn't know it
    /// or knows that it takes no requests from here.
    pub fn accept_grant(&mut self, now: Moment, placed: &Placed) -> Option<SelectedInstance> {
        let pick = self.chooser.find(&placed.instance, placed.incarnation)?;
        if self.chooser.is_backed_off(now, pick) {
            return None;
        }
        let report = placed.report.as_ref().map(report_from_wire);
        if let Some(report) = report {
            self.chooser.report_relayed(now, pick, report);
        }
        self.selected(ScoredChoice {
            pick,
            reason: Reason::Placed,
            age: (placed.age_us < u32::MAX).then(|| duration_from_micros(placed.age_us)),
            report,
            in_flight: placed.in_flight,
            expected: duration_from_micros(placed.expected_us),
            cost: placed.cost,
        })
    }

    /// Number of open grants to other processes.
    #[must_use]
    pub fn open_grants(&self) -> usize {
        self.grants.len()
    }
}
