//! Deciding for other processes, and what they decided for this one.

use std::time::Duration;

use ::dispatch::DispatcherLocation;
use base::prelude::*;
use route::LoadReport;
use route::Need;
use route::OutcomeKind;
use route::Pick;
use route::Reason;
use route::ScoredChoice;
use wire::place::Ask;
use wire::place::Outcome;
use wire::place::Placed;

use super::Chosen;
use super::Desk;
use crate::placing::micros;
use crate::placing::report;
use crate::placing::report_to_wire;
use crate::placing::span_of;

/// After the end of a request the news of it may take so long.
const GRANT_SLACK: Duration = Duration::from_millis(300);
/// Requests a slot from which a service counts as busy. Below, a question costs processor
/// time and bytes between failure domains and finds no better instance.
const BUSY: f64 = 0.5;

impl Desk {
    /// Takes who decides for the service.
    pub fn set_dispatched(&mut self, now: Moment, dispatched: DispatcherLocation) {
        self.dispatcher_role.set(now, dispatched);
        self.share_probes(now);
    }

    /// Whether to ask the dispatcher: where instances have little to do, a few questions
    /// of its own find a process as good a one.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.chooser.load() >= BUSY
    }

    /// Looks what time has brought: grants that are over, and a share that is due.
    pub fn pass_time(&mut self, now: Moment) {
        for ticket in self.grants.take_expired(now) {
            self.finished(now, ticket, OutcomeKind::Cancelled, None);
        }
        self.share_probes(now);
    }

    /// What a request of another process needs.
    pub fn need(&mut self, ask: &Ask, domain: &DomainName) -> Need {
        Need {
            work: span_of(ask.work_us),
            aim: span_of(ask.aim_us),
            crossing: ask.crossing,
            room: ask.room,
            domain_index: self.chooser.domain_index(domain),
        }
    }

    /// Handles to the instances of these ids.
    #[must_use]
    pub fn picks(&self, ids: &[String]) -> Vec<Pick> {
        self.chooser.picks(ids)
    }

    /// The ids of these instances.
    #[must_use]
    pub fn ids(&self, picks: &[Pick]) -> Vec<String> {
        let ids = picks.iter().filter_map(|pick| self.chooser.id(*pick));
        ids.map(ToString::to_string).collect()
    }

    /// Grants what was chosen to another process, until its request is over.
    pub fn grant(&mut self, now: Moment, chosen: &Chosen, until: Moment) -> Placed {
        let choice = &chosen.choice;
        let ticket = self.chooser.started(now, choice.pick);
        Placed {
            outcome: Outcome::Granted.into(),
            grant: self.grants.grant(until + GRANT_SLACK, ticket),
            instance: chosen.upstream.id.to_string(),
            incarnation: chosen.upstream.incarnation,
            report: choice.report.map(report_to_wire),
            age_us: choice.age.map_or(u32::MAX, micros),
            in_flight: choice.in_flight,
            expected_us: micros(choice.expected),
            cost: choice.cost,
            back_us: 0,
        }
    }

    /// Takes back what was granted; what is over already changes nothing.
    pub fn ended(
        &mut self,
        now: Moment,
        grant: u64,
        kind: OutcomeKind,
        report: Option<LoadReport>,
    ) {
        if let Some(ticket) = self.grants.take(grant) {
            self.finished(now, ticket, kind, report);
        }
    }

    /// What the dispatcher granted; none where the instance takes no work as far as this
    /// process knows, or isn't known.
    pub fn granted(&mut self, now: Moment, placed: &Placed) -> Option<Chosen> {
        let pick = self.chooser.find(&placed.instance, placed.incarnation)?;
        let report = placed.report.as_ref().map(report);
        if let Some(report) = report {
            self.chooser.report_relayed(now, pick, report);
        }
        self.chosen(ScoredChoice {
            pick,
            reason: Reason::Placed,
            age: (placed.age_us < u32::MAX).then(|| span_of(placed.age_us)),
            report,
            in_flight: placed.in_flight,
            expected: span_of(placed.expected_us),
            cost: placed.cost,
        })
    }

    /// How many grants to other processes are open.
    #[must_use]
    pub fn grants(&self) -> usize {
        self.grants.len()
    }
}
