//! The decisions for one service: which instance, and whether a retry is paid for.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use attempt::budget::Budget;
use attempt::budget::Share;
use base::prelude::*;
use route::Fresh;
use route::FreshChoice;
use route::Instance;
use route::Kind;
use route::LoadReport;
use route::Need;
use route::Phase;
use route::Pick;
use route::Ticket;

use crate::settings::Retry;
use crate::view::Upstream;

/// Part of the allowance that is spent on purpose. The rest covers what all
/// entry processes together spend more for a moment: each counts its own
/// requests, and their number falls while retries of earlier ones are under way.
const SPENT_PART: f64 = 0.6;
/// Retries that one process saves up at most; with the part above, a hundred
/// processes stay within what they share.
const BURST: u64 = 2;

/// The machines of one service.
#[derive(Debug)]
pub struct Desk {
    chooser: Fresh,
    budget: Budget,
    rows: HashMap<InstanceId, Arc<Upstream>>,
}

/// An instance that was chosen.
#[derive(Debug)]
pub struct Chosen {
    /// The instance.
    pub upstream: Arc<Upstream>,
    /// What the choice rests on.
    pub choice: FreshChoice,
}

impl Desk {
    /// A desk without instances.
    #[must_use]
    pub fn new(domain: DomainName, retry: &Retry, entries: u32, seed: u64, now: Moment) -> Self {
        Self {
            chooser: Fresh::new(domain, seed),
            budget: Budget::new(share(retry, entries), now),
            rows: HashMap::new(),
        }
    }

    /// Shares the allowance of retries among `entries` processes.
    pub fn set_entries(&mut self, retry: &Retry, entries: u32, now: Moment) {
        self.budget.set_share(share(retry, entries), now);
    }

    /// Takes the service's instances, whole.
    pub fn update<'a>(
        &mut self,
        now: Moment,
        rows: impl Iterator<Item = (Phase, &'a Arc<Upstream>)>,
    ) {
        self.rows.clear();
        let mut table = Vec::new();
        for (phase, upstream) in rows {
            let instance = Instance {
                id: upstream.id.clone(),
                domain: upstream.domain.clone(),
                slots: upstream.slots,
                phase,
            };
            table.push((instance, upstream.cold));
            self.rows.insert(upstream.id.clone(), Arc::clone(upstream));
        }
        self.chooser.update(now, &table);
    }

    /// Counts a request, which earns its share of a retry.
    pub fn request(&mut self, now: Moment) {
        self.budget.earn(now);
    }

    /// Pays for an attempt after the first.
    pub fn pay(&mut self, now: Moment) -> bool {
        self.budget.spend(now)
    }

    /// Instances to ask before a choice, at the round `round` from 0.
    pub fn plan(
        &mut self,
        now: Moment,
        need: &Need,
        exclude: &[Pick],
        round: u32,
    ) -> Vec<(Pick, Arc<Upstream>)> {
        let picks = self.chooser.plan(now, need, exclude, round);
        self.upstreams(picks)
    }

    /// Ejected instances that a probe may bring back.
    pub fn ejected(&mut self, now: Moment) -> Vec<(Pick, Arc<Upstream>)> {
        let picks = self.chooser.ejected(now);
        self.upstreams(picks)
    }

    fn upstreams(&self, picks: Vec<Pick>) -> Vec<(Pick, Arc<Upstream>)> {
        let found = picks.into_iter().filter_map(|pick| {
            let upstream = self.rows.get(self.chooser.id(pick)?)?;
            Some((pick, Arc::clone(upstream)))
        });
        found.collect()
    }

    /// Notes the end of a probe.
    pub fn probed(&mut self, now: Moment, pick: Pick, report: Option<LoadReport>) {
        self.chooser.probed(now, pick, report);
    }

    /// Chooses an instance, none of `exclude` if another is left.
    pub fn choose(&mut self, now: Moment, need: &Need, exclude: &[Pick]) -> Option<Chosen> {
        let choice = self.chooser.choose(now, need, exclude)?;
        let id = self.chooser.id(choice.pick)?;
        let upstream = Arc::clone(self.rows.get(id)?);
        Some(Chosen { upstream, choice })
    }

    /// Notes that an attempt begins.
    pub fn started(&mut self, now: Moment, pick: Pick) -> Ticket {
        self.chooser.started(now, pick)
    }

    /// Notes the end of an attempt.
    pub fn finished(
        &mut self,
        now: Moment,
        ticket: Ticket,
        kind: Kind,
        report: Option<LoadReport>,
    ) {
        self.chooser.finished(now, ticket, kind, report);
    }
}

/// One process's share of the allowance.
fn share(retry: &Retry, entries: u32) -> Share {
    let percent = f64::from(retry.percent) * SPENT_PART;
    let base = f64::from(retry.base) * SPENT_PART / f64::from(entries.max(1));
    let floor = retry.window.as_secs_f64() / base.max(1e-3);
    Share {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive number"
        )]
        percent: percent as u32,
        floor: Duration::from_secs_f64(floor),
        burst: BURST,
    }
}
