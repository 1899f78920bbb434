//! Chooses an instance by load reports that are requested for the choice.
//!
//! Where load shifts within milliseconds, a report that came on an earlier response
//! is stale when it is used. A choice therefore takes up to three rounds of
//! probes: [`ProbingChooser::plan`] names a few instances to probe,
//! [`ProbingChooser::probed`] takes the results, and the next round follows only
//! if no probed instance is good enough. [`ProbingChooser::choose`] then takes the
//! instance with the least [`crate::cost`]. Instances in the caller's own failure
//! domain are probed first, as they answer sooner and their traffic is cheaper.
//!
//! It is a state machine without I/O; the time is an argument.

mod backoff;
mod cold;
mod entry;
mod limit;
mod loss;
mod results;
mod scope;
mod sending;
mod table;

use std::time::Duration;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cost;
use crate::cost::Evidence;
use crate::cost::Need;
use crate::instance::Pick;
use crate::outcome::LoadReport;
use crate::policy::Reason;

pub use self::entry::COLD_WINDOW;
use self::entry::Entry;
use self::entry::ServiceAverages;
use self::entry::Subset;
pub use self::scope::Scope;

/// Maximum number of instances probed in one round.
const PROBES_PER_ROUND: usize = 3;
/// Rounds after which the best known instance is taken.
const MAX_ROUNDS: u32 = 3;
/// Cost below which an instance is taken without further probes.
const GOOD_COST: f64 = 0.06;
/// Age from which a report is ignored while an instance with a younger one has room.
const MAX_KNOWN_AGE: Duration = Duration::from_millis(150);
/// Random part of the cost, so that equal instances take turns.
const JITTER: f64 = 0.01;
/// Added to the probe rank of an instance that may be gone. It exceeds all other parts, so
/// that such an instance is probed only when no other is left.
const SILENT_RANK_PENALTY: f64 = 2.0;
/// Added to the probe rank of an instance outside of the subset. Such an instance ranks after
/// one of the subset without a report, and before one that is known to be late.
const OUTSIDE_RANK_PENALTY: f64 = 0.3;
/// Added to the cost of an instance that may be gone and has no recent report: the loss of
/// the request.
const SILENT_COST_PENALTY: f64 = 1.0;
/// Additional time until an ejected instance that may be gone is probed. If it returns, its
/// announcement usually arrives first.
const SILENT_PROBE_DELAY: Duration = Duration::from_secs(5);
/// Probability of a late response above which waiting is better than sending.
const MAX_LATE_PROBABILITY: f64 = 0.5;

/// A chosen instance with its cost and the state that it was chosen by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoredChoice {
    /// The instance.
    pub pick: Pick,
    /// Why it was chosen.
    pub reason: Reason,
    /// Age of its latest report, `None` before the first.
    pub age: Option<Duration>,
    /// Its latest report.
    pub report: Option<LoadReport>,
    /// Own attempts in flight there.
    pub in_flight: u32,
    /// Expected time to the response.
    pub expected: Duration,
    /// Cost of the choice, as a fraction of the request's worth.
    pub cost: f64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(ScoredChoice),
    /// The instance has room, but the response would probably be late: wait for a better one while
    /// that may still answer in time. Requests on a slow machine also hold their slots longer.
    Slow(ScoredChoice),
    /// Wait for room: all instances are at capacity, or there are no reports and this process
    /// uses its share of the slots.
    Wait,
    /// All instances have named limits, and none takes the request in time from this process.
    Full,
    /// No instance is ready.
    None,
}

/// Chooses among one service's instances by fresh load reports.
#[derive(Debug)]
pub struct ProbingChooser {
    /// Failure domains by index, the chooser's own first.
    domains: Vec<DomainName>,
    rng: SmallRng,
    /// Seed of the rendezvous hashing that selects this process's subset of the instances.
    seed: u64,
    entries: Vec<Entry>,
    averages: ServiceAverages,
    processes: u32,
    /// Whether most instances have announced themselves recently. Otherwise, as after a restart
    /// of all processes, silence doesn't mean that an instance may be gone.
    most_announced: bool,
    /// Revision of the process list by which cold instances are shared; `None` if they aren't.
    cold_sharing: Option<u64>,
    /// The instances that the following choices are restricted to.
    scope: Scope,
}

impl ProbingChooser {
    /// A chooser without instances, for a process in `domain`.
    #[must_use]
    pub fn new(domain: DomainName, seed: u64) -> Self {
        Self {
            domains: vec![domain],
            rng: SmallRng::seed_from_u64(seed),
            seed,
            entries: Vec::new(),
            averages: ServiceAverages::default(),
            processes: 1,
            most_announced: false,
            cold_sharing: None,
            scope: Scope::default(),
        }
    }

    /// Average number of requests per slot, by the reports.
    #[must_use]
    pub fn load(&self) -> f64 {
        self.averages.load
    }

    /// Sets the number of processes that send to these instances.
    pub fn set_processes(&mut self, processes: u32) {
        let processes = processes.max(1);
        if self.processes != processes {
            self.processes = processes;
            self.choose_subset();
        }
    }

    /// Instances to probe before the choice; `round` counts from 0.
    ///
    /// `allow` takes the number of wanted probes and returns how many may be sent.
    pub fn plan(
        &mut self,
        now: Moment,
        need: &Need,
        exclude: &[Pick],
        round: u32,
        allow: impl FnOnce(usize) -> usize,
    ) -> Vec<Pick> {
        let trial = self.unconfirmed_trial(now, need, exclude);
        if let Some(pick) = trial.filter(|_| round == 0) {
            return self.begin_probes(vec![pick], allow);
        }
        let cheapest = self.cheapest(now, need, exclude, self.fresh_age());
        let enough =
            cheapest.is_some_and(|(index, cost)| self.is_enough(now, need, index, cost, round));
        if round >= MAX_ROUNDS || enough {
            return Vec::new();
        }
        let mut candidates: Vec<(usize, f64)> = Vec::new();
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            let is_known = self.is_fresh(now, entry) || self.is_known_full(entry, need);
            if !self.is_usable(now, index, exclude) || is_known {
                continue;
            }
            let cost = self.cost(now, need, entry);
            // Instances that announced themselves come first, then those in the caller's
            // domain, then those with a low cost.
            let silent = if self.may_be_gone(entry) {
                SILENT_RANK_PENALTY
            } else {
                0.0
            };
            let far = if entry.domain_index == need.domain_index {
                0.0
            } else {
                1.0
            };
            let other = match entry.subset {
                Subset::Inside => 0.0,
                Subset::Outside => OUTSIDE_RANK_PENALTY,
            };
            let other = other + self.connect_rank(index);
            let random: f64 = self.rng.random();
            candidates.push((
                index,
                silent + far + other + cost.min(1.0) * 0.5 + random * 0.25,
            ));
        }
        candidates.sort_by(|a, b| a.1.total_cmp(&b.1));
        let planned = candidates.into_iter().take(PROBES_PER_ROUND);
        let picks = planned.map(|(index, _)| self.pick(index)).collect();
        self.begin_probes(picks, allow)
    }

    /// Counts as many of the probes as may be sent, and returns these.
    fn begin_probes(
        &mut self,
        mut picks: Vec<Pick>,
        allow: impl FnOnce(usize) -> usize,
    ) -> Vec<Pick> {
        picks.truncate(allow(picks.len()));
        for pick in &picks {
            self.entries[pick.index as usize].probes_in_flight += 1;
        }
        picks
    }

    /// Whether no further round is needed: the instance has room, and its cost is low or this
    /// would be the last round.
    fn is_enough(&self, now: Moment, need: &Need, index: usize, cost: f64, round: u32) -> bool {
        let room = self.entries[index].has_room(now, self.averages, need.max_occupancy);
        room && (cost < GOOD_COST || round + 1 >= MAX_ROUNDS)
    }

    /// Chooses an instance, outside of `exclude` where possible.
    pub fn choose(&mut self, now: Moment, need: &Need, exclude: &[Pick]) -> Decision {
        let trial = self.due_trial(now, exclude);
        if let Some(index) = trial.filter(|index| self.has_evidence(now, need, *index)) {
            self.entries[index].health.begin_trial(now);
            return Decision::Send(self.scored(now, need, index, Reason::Trial));
        }
        let known = self.cheapest(now, need, exclude, MAX_KNOWN_AGE);
        if let Some((index, _)) = known
            && self.entries[index].has_room(now, self.averages, need.max_occupancy)
        {
            let fresh = self.is_fresh(now, &self.entries[index]);
            let reason = if fresh { Reason::Fresh } else { Reason::Stale };
            return self.decide(now, need, index, reason);
        }
        let any = self.cheapest(now, need, exclude, Duration::MAX);
        match any {
            Some((index, _))
                if self.may_send_blind(now, need.evidence, index)
                    && self.entries[index].has_room(now, self.averages, need.max_occupancy) =>
            {
                return self.decide(now, need, index, Reason::Stale);
            }
            Some(_) => return Decision::Wait,
            None if self.is_any_full(now, exclude) => return Decision::Wait,
            None => {}
        }
        self.choose_panic(now, need, exclude)
    }

    /// Whether a request may be sent on an old report, or on none. To instances that never
    /// reported, each process sends no more than its share of all slots; otherwise the requests
    /// that arrive at all processes after a restart would overload them.
    fn may_send_blind(&self, now: Moment, evidence: Evidence, index: usize) -> bool {
        if self.entries[index].report.is_some() {
            match evidence {
                Evidence::Any => return true,
                Evidence::Share => {}
                Evidence::Report => return false,
            }
        }
        let within = || self.entries.iter().filter(|entry| self.is_in_scope(entry));
        let ready = within().filter(|entry| entry.is_ready());
        let usable = ready.filter(|entry| !entry.backoff.is_on(now));
        let slots: u32 = usable.map(|entry| entry.instance.slots).sum();
        let own: usize = within().map(|entry| entry.starts.len()).sum();
        let share = (slots / self.sharers()).max(1);
        own < usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Chooses the given instance, which just got room; waits if it no longer takes requests.
    pub fn choose_instance(&mut self, now: Moment, need: &Need, pick: Pick) -> Decision {
        let index = pick.index as usize;
        let known = self
            .entries
            .get(index)
            .is_some_and(|entry| entry.generation == pick.generation);
        let may_send = || self.is_usable(now, index, &[]) && self.has_evidence(now, need, index);
        if known && may_send() {
            self.decide(now, need, index, Reason::Fresh)
        } else {
            Decision::Wait
        }
    }

    /// Whether the instance has room for one more request by its latest report.
    #[must_use]
    pub fn has_room(&self, now: Moment, pick: Pick) -> bool {
        let entry = self.entries.get(pick.index as usize);
        entry.is_some_and(|entry| {
            entry.generation == pick.generation
                && !entry.backoff.is_on(now)
                && !entry.loss.is_full(now)
                && entry.has_room(now, self.averages, 1.0)
        })
    }

    /// Chooses among all ready instances regardless of their health, as every usable one is
    /// ejected.
    fn choose_panic(&mut self, now: Moment, need: &Need, exclude: &[Pick]) -> Decision {
        let ready: Vec<usize> = (0..self.entries.len())
            .filter(|i| self.entries[*i].is_ready() && self.is_in_scope(&self.entries[*i]))
            .collect();
        let may_send = |i: &usize| self.may_send(now, &self.entries[*i]);
        let picks: Vec<usize> = ready.iter().copied().filter(may_send).collect();
        if picks.is_empty() && !ready.is_empty() {
            return self.decide_blocked(now, need, &ready);
        }
        let preferred: Vec<usize> = picks
            .iter()
            .copied()
            .filter(|i| !exclude.contains(&self.pick(*i)))
            .collect();
        let mut candidates = if preferred.is_empty() {
            picks
        } else {
            preferred
        };
        if candidates.is_empty() {
            return Decision::None;
        }
        candidates.retain(|index| self.has_evidence(now, need, *index));
        if candidates.is_empty() {
            return Decision::Wait;
        }
        let index = candidates[self.rng.random_range(0..candidates.len())];
        Decision::Send(self.scored(now, need, index, Reason::Panic))
    }

    fn decide(&self, now: Moment, need: &Need, index: usize, reason: Reason) -> Decision {
        let late_probability =
            cost::late_probability(&self.entries[index].state(now, self.averages), need);
        let scored = self.scored(now, need, index, reason);
        if late_probability > MAX_LATE_PROBABILITY {
            Decision::Slow(scored)
        } else {
            Decision::Send(scored)
        }
    }

    fn scored(&self, now: Moment, need: &Need, index: usize, reason: Reason) -> ScoredChoice {
        let entry = &self.entries[index];
        let state = entry.state(now, self.averages);
        ScoredChoice {
            pick: self.pick(index),
            reason,
            age: entry.age(now),
            report: entry.report.map(|(_, report)| report),
            in_flight: u32::try_from(entry.starts.len()).unwrap_or(u32::MAX),
            expected: Duration::from_secs_f64(cost::expected(&state, need).clamp(0.0, 3600.0)),
            cost: self.cost(now, need, entry),
        }
    }

    fn cheapest(
        &mut self,
        now: Moment,
        need: &Need,
        exclude: &[Pick],
        age: Duration,
    ) -> Option<(usize, f64)> {
        let mut cheapest: Option<(usize, f64)> = None;
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            let unknown = age == Duration::MAX && !entry.last_probe_failed;
            let young = entry.age(now).map_or(unknown, |found| found < age);
            if !self.is_usable(now, index, exclude) || !young {
                continue;
            }
            let cost = self.cost(now, need, entry);
            let blind =
                self.may_be_gone(entry) && entry.age(now).is_none_or(|age| age >= MAX_KNOWN_AGE);
            let cost = cost + if blind { SILENT_COST_PENALTY } else { 0.0 };
            let cost = cost + self.connect_cost(index) + JITTER * self.rng.random::<f64>();
            if cheapest.is_none_or(|(_, least)| cost < least) {
                cheapest = Some((index, cost));
            }
        }
        cheapest
    }

    /// Cost of sending the request to this instance.
    fn cost(&self, now: Moment, need: &Need, entry: &Entry) -> f64 {
        let state = entry.state(now, self.averages);
        cost::cost(&state, need, entry.domain_index != need.domain_index)
    }

    /// Whether the instance is silent while most others have announced themselves.
    fn may_be_gone(&self, entry: &Entry) -> bool {
        entry.silent && self.most_announced
    }

    fn is_usable(&self, now: Moment, index: usize, exclude: &[Pick]) -> bool {
        !self.entries[index].loss.is_full(now) && self.would_be_usable(now, index, exclude)
    }

    /// Whether the instance is usable unless it counts as full because of a loss.
    fn would_be_usable(&self, now: Moment, index: usize, exclude: &[Pick]) -> bool {
        let entry = &self.entries[index];
        self.is_in_scope(entry) && self.takes(now, entry) && !exclude.contains(&self.pick(index))
    }

    /// Whether the instance takes requests from this process now.
    fn takes(&self, now: Moment, entry: &Entry) -> bool {
        entry.is_ready() && entry.health.takes_traffic() && self.may_send(now, entry)
    }

    /// An ejected instance due for a trial request. Retries are not used as trials.
    fn due_trial(&self, now: Moment, exclude: &[Pick]) -> Option<usize> {
        if !exclude.is_empty() {
            return None;
        }
        let wants = |e: &Entry| {
            let is_candidate = self.is_in_scope(e) && e.is_ready();
            is_candidate && self.may_send(now, e) && e.health.wants_trial(now)
        };
        (0..self.entries.len()).find(|i| wants(&self.entries[*i]))
    }

    /// Ejected instances that a probe may return to service.
    ///
    /// `allow` takes the number of wanted probes and returns how many may be sent.
    pub fn plan_ejected(&mut self, now: Moment, allow: impl FnOnce(usize) -> usize) -> Vec<Pick> {
        let due = |e: &Entry| {
            let delay = if self.may_be_gone(e) {
                SILENT_PROBE_DELAY
            } else {
                Duration::ZERO
            };
            let is_idle = e.probes_in_flight == 0 && !e.backoff.is_on(now);
            e.is_ready() && is_idle && e.health.wants_probe(now, delay)
        };
        let mut due: Vec<usize> = (0..self.entries.len())
            .filter(|i| due(&self.entries[*i]))
            .collect();
        if due.is_empty() {
            return Vec::new();
        }
        due.truncate(allow(due.len()));
        for index in &due {
            self.entries[*index].probes_in_flight += 1;
        }
        due.into_iter().map(|index| self.pick(index)).collect()
    }

    fn pick(&self, index: usize) -> Pick {
        Pick {
            index: u32::try_from(index).unwrap_or(u32::MAX),
            generation: self.entries[index].generation,
        }
    }

    fn entry(&mut self, pick: Pick) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(pick.index as usize)?;
        (entry.generation == pick.generation).then_some(entry)
    }
}
