//! The decisions for one service: which instance, and whether a retry is paid for.

mod cold;
mod dispatch;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ::dispatch::DispatcherLocation;
use ::dispatch::DispatcherRole;
use ::dispatch::Grants;
use ::dispatch::Warmup;
use admit::Waiting;
use attempt::budget::Budget;
use attempt::budget::Share;
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
use tokio::sync::oneshot;
use wire::hub::Phase as WirePhase;

use crate::placing::Grant;
use crate::processes::Processes;
use crate::settings::Shared;
use crate::view::Listed;
use crate::view::Upstream;

/// Part of the retries allowed by requests that is spent on purpose. The rest covers
/// requests that fall in number while retries of earlier ones are under way.
const SPENT_SHARE: f64 = 0.85;
/// Part of the retries allowed without requests that is spent on purpose. The rest
/// covers what all processes have saved up, and what new ones may borrow.
const SPENT_BASE: f64 = 0.6;
/// Part of the measuring budget that is spent on purpose; the rest covers
/// instances that leave while their probes are saved up.
const SPENT_PROBES: f64 = 0.8;
/// Part of these that a service's dispatcher spends; all processes share the rest, for
/// calm times, for when it doesn't answer, and for instances that are to be brought back.
const DISPATCHER_PROBES: f64 = 0.5;
/// Retries that one process saves up at most; with the part above, a hundred
/// processes stay within what they share.
const BURST: u64 = 2;
/// Weight of one end in the usual time between two.
const ENDS_WEIGHT: f64 = 0.1;
/// Soonest that a refused caller is asked back: about the time of one request.
const LEAST_BACK: Duration = Duration::from_millis(100);
/// Latest: callers wait no longer than a third of the time that they have left.
const MOST_BACK: Duration = Duration::from_secs(2);

/// The machines of one service.
#[derive(Debug)]
pub struct Desk {
    chooser: ProbingChooser,
    budget: Budget,
    probes: Allowance,
    shared: Shared,
    rows: HashMap<InstanceId, Arc<Upstream>>,
    waiting: Waiting<oneshot::Sender<Pick>>,
    /// When an attempt last ended, and the usual time between two ends.
    ended: Moment,
    ends: Duration,
    /// Requests asked to come back, fading with the time that they were given.
    refused: f64,
    refused_at: Moment,
    /// What was granted to other processes.
    grants: Grants<Ticket>,
    /// Whether this process decides for all, or another does.
    dispatcher_role: DispatcherRole,
    /// What cold instances bear; none where nothing bounds it.
    warmup: Option<Warmup>,
    /// Who shares that.
    processes: Arc<Processes>,
    /// When the desk began.
    born: Moment,
}

/// What to do with a request.
#[derive(Debug)]
pub enum Verdict {
    /// Send it.
    Send(Chosen),
    /// Send it only if there is no time to wait for a better one.
    Slow(Chosen),
    /// Wait for room.
    Wait,
    /// No instance is ready.
    None,
}

/// An instance that was chosen.
#[derive(Debug)]
pub struct Chosen {
    /// The instance.
    pub upstream: Arc<Upstream>,
    /// What the choice rests on.
    pub choice: ScoredChoice,
    /// The dispatcher's, where it chose.
    pub grant: Option<Grant>,
}

impl Chosen {
    /// The same as granted by a dispatcher.
    #[must_use]
    pub fn with(self, grant: Grant) -> Self {
        Self {
            grant: Some(grant),
            ..self
        }
    }
}

impl Desk {
    /// A desk without instances.
    #[must_use]
    pub fn new(domain: DomainName, shared: &Shared, seed: u64, now: Moment) -> Self {
        let mut chooser = ProbingChooser::new(domain, seed);
        chooser.set_processes(shared.entries);
        Self {
            chooser,
            budget: Budget::new(share(shared), now),
            probes: Allowance::new(now),
            shared: *shared,
            rows: HashMap::new(),
            waiting: Waiting::default(),
            ended: now,
            ends: LEAST_BACK,
            refused: 0.0,
            refused_at: now,
            grants: Grants::with_first_id(seed),
            dispatcher_role: DispatcherRole::default(),
            warmup: None,
            processes: Arc::default(),
            born: now,
        }
    }

    /// Takes over how budgets are shared.
    pub fn set_shared(&mut self, shared: &Shared, now: Moment) {
        self.shared = *shared;
        self.chooser.set_processes(shared.entries);
        self.budget.set_share(share(shared), now);
        self.share_probes(now);
    }

    fn share_probes(&mut self, now: Moment) {
        let entries = self.shared.entries;
        let (part, processes) = match self.dispatcher_role.location() {
            DispatcherLocation::Unassigned => (1.0, entries),
            DispatcherLocation::Local if self.dispatcher_role.may_spend_shared(now) => {
                (DISPATCHER_PROBES, 1)
            }
            DispatcherLocation::Local | DispatcherLocation::Remote => {
                (1.0 - DISPATCHER_PROBES, entries)
            }
        };
        let budget = (f64::from(self.shared.probes) * SPENT_PROBES * part).floor();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "below a u32"
        )]
        let budget = budget as u32;
        let count = self.rows.len();
        self.probes.set(now, budget, count, processes);
    }

    /// Takes the service's instances, whole.
    pub fn update<'a>(&mut self, now: Moment, rows: impl Iterator<Item = Listed<'a>>) {
        self.rows.clear();
        let mut table = Vec::new();
        for listed in rows {
            let upstream = listed.upstream;
            let instance = Instance {
                id: upstream.id.clone(),
                incarnation: upstream.incarnation,
                domain: upstream.domain.clone(),
                slots: upstream.slots,
                phase: phase(listed.phase),
            };
            table.push(ReportedInstance {
                instance,
                cold: upstream.cold,
                silent: listed.silent,
            });
            self.rows.insert(upstream.id.clone(), Arc::clone(upstream));
        }
        self.chooser.update(now, &table);
        self.share_probes(now);
    }

    /// How many instances the service has.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the service has no instance.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Counts a request, which earns its share of a retry.
    pub fn request(&mut self, now: Moment) {
        self.budget.earn(now);
    }

    /// Pays for an attempt after the first.
    pub fn pay(&mut self, now: Moment) -> bool {
        self.budget.spend_or_borrow(now)
    }

    /// Instances to ask before a choice, at the round `round` from 0.
    pub fn plan(
        &mut self,
        now: Moment,
        need: &Need,
        exclude: &[Pick],
        round: u32,
    ) -> Vec<(Pick, Arc<Upstream>)> {
        self.share_cold(now);
        let probes = &mut self.probes;
        let allow = |count| probes.take(now, count);
        let picks = self.chooser.plan(now, need, exclude, round, allow);
        self.upstreams(picks)
    }

    /// Ejected instances that a probe may bring back.
    pub fn plan_ejected(&mut self, now: Moment) -> Vec<(Pick, Arc<Upstream>)> {
        let probes = &mut self.probes;
        let picks = self
            .chooser
            .plan_ejected(now, |count| probes.take(now, count));
        self.upstreams(picks)
    }

    fn upstreams(&self, picks: Vec<Pick>) -> Vec<(Pick, Arc<Upstream>)> {
        let found = picks.into_iter().filter_map(|pick| {
            let upstream = self.rows.get(self.chooser.id(pick)?)?;
            Some((pick, Arc::clone(upstream)))
        });
        found.collect()
    }

    /// Notes that another instance has the address of this one.
    pub fn displaced(&mut self, pick: Pick) {
        self.chooser.displaced(pick);
    }

    /// Notes that an answer of the instance broke off after its head.
    pub fn response_aborted(&mut self, now: Moment, pick: Pick) {
        self.chooser.response_aborted(now, pick);
    }

    /// Notes the end of a probe.
    pub fn probed(&mut self, now: Moment, pick: Pick, report: Option<LoadReport>) {
        self.chooser.probed(now, pick, report);
    }

    /// Chooses an instance, none of `exclude` if another is left.
    pub fn choose(&mut self, now: Moment, need: &Need, exclude: &[Pick]) -> Verdict {
        self.share_cold(now);
        let decision = self.chooser.choose(now, need, exclude);
        self.verdict(decision)
    }

    /// Chooses an instance that has just got room.
    pub fn choose_instance(&mut self, now: Moment, need: &Need, pick: Pick) -> Verdict {
        self.share_cold(now);
        let decision = self.chooser.choose_instance(now, need, pick);
        self.verdict(decision)
    }

    fn verdict(&self, decision: Decision) -> Verdict {
        match decision {
            Decision::Send(choice) => self.chosen(choice).map_or(Verdict::None, Verdict::Send),
            Decision::Slow(choice) => self.chosen(choice).map_or(Verdict::None, Verdict::Slow),
            Decision::Wait => Verdict::Wait,
            Decision::None => Verdict::None,
        }
    }

    fn chosen(&self, choice: ScoredChoice) -> Option<Chosen> {
        let id = self.chooser.id(choice.pick)?;
        let upstream = Arc::clone(self.rows.get(id)?);
        Some(Chosen {
            upstream,
            choice,
            grant: None,
        })
    }

    /// Waits for room; tells of an instance that got some.
    pub fn wait(&mut self, priority: u32, until: Moment) -> oneshot::Receiver<Pick> {
        let (tell, told) = oneshot::channel();
        self.waiting.push(priority, until, tell);
        told
    }

    /// When one that is refused now may find room: the waiting ones, and those that
    /// were asked back a moment ago, go first, one each time that an attempt ends here.
    pub fn back(&mut self, now: Moment) -> Duration {
        let gone = now.since(self.refused_at).as_secs_f64() / MOST_BACK.as_secs_f64();
        self.refused = self.refused * (-gone).exp() + 1.0;
        self.refused_at = now;
        let waiting = u32::try_from(self.waiting.len(now)).unwrap_or(u32::MAX);
        let ahead = self.refused + f64::from(waiting);
        let span = self.ends.as_secs_f64() * ahead;
        Duration::from_secs_f64(span).clamp(LEAST_BACK, MOST_BACK)
    }

    /// Hands room at an instance to one that waits for it.
    fn hand_on(&mut self, now: Moment, pick: Pick) {
        while self.chooser.has_room(now, pick) {
            let Some(waiter) = self.waiting.pop(now) else {
                return;
            };
            // One whose caller has left lets the next one go.
            if waiter.send(pick).is_ok() {
                return;
            }
        }
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
        kind: OutcomeKind,
        report: Option<LoadReport>,
    ) {
        let pick = ticket.pick();
        self.chooser.finished(now, ticket, kind, report);
        let pause = now.since(self.ended).min(MOST_BACK);
        self.ends = self.ends.mul_f64(1.0 - ENDS_WEIGHT) + pause.mul_f64(ENDS_WEIGHT);
        self.ended = now;
        if !self.waiting.is_empty() {
            self.hand_on(now, pick);
        }
    }
}

/// One process's share of the allowance.
fn share(shared: &Shared) -> Share {
    let Shared { retry, entries, .. } = shared;
    let percent = f64::from(retry.percent) * SPENT_SHARE;
    let base = f64::from(retry.base) * SPENT_BASE / f64::from((*entries).max(1));
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

fn phase(told: WirePhase) -> Phase {
    match told {
        WirePhase::Ready => Phase::Ready,
        WirePhase::Draining | WirePhase::Unspecified => Phase::Draining,
        WirePhase::Gone => Phase::Gone,
    }
}
