//! Chooses by what instances say at the moment of the choice.
//!
//! Where load shifts in milliseconds, a report that came back on an answer is
//! stale when it is used. So a choice goes in rounds: [`ProbingChooser::plan`] names a few
//! instances to ask, the answers come in by [`ProbingChooser::probed`], and the next plan
//! names more only if none that was asked is good. [`ProbingChooser::choose`] then takes
//! the one that costs least by [`crate::cost`]. Those in the gateway's own
//! failure domain are asked first, as they answer sooner and their bytes are
//! cheap.
//!
//! It is a plain state machine: the time and what happened go in, decisions come out.

mod cold;
mod entry;
mod results;
mod table;

use std::time::Duration;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cost;
use crate::cost::Need;
use crate::instance::Pick;
use crate::outcome::LoadReport;
use crate::policy::Reason;

pub use self::entry::COLD_WINDOW;
use self::entry::Entry;
use self::entry::MAX_FRESH_AGE;
use self::entry::ServiceAverages;
use self::entry::Subset;

/// Instances asked in the first round, and in each further one.
const PROBES_PER_ROUND: usize = 3;
/// Rounds after which the best of those known is taken.
const MAX_ROUNDS: u32 = 3;
/// A choice that costs so little is taken without asking further.
const GOOD_COST: f64 = 0.06;
/// A report that is younger than this counts as knowledge; an instance without
/// one gets work only where no other has room. Half of a pace's usual time.
const MAX_KNOWN_AGE: Duration = Duration::from_millis(150);
/// Part of the cost that is random, so that equal ones take turns.
const JITTER: f64 = 0.01;
/// Put to the rank of an instance that may be gone, over that of any other, so that it
/// is asked only when no other is left to ask. After a restart of everything one probe in
/// three went to an instance that had crashed and was still in the log.
const SILENT_RANK_PENALTY: f64 = 2.0;
/// Put to the rank of an instance outside of this process's subset: it is asked after one of
/// the subset of which nothing is known, and before one that is known to be late.
const OUTSIDE_RANK_PENALTY: f64 = 0.3;
/// Put to the cost of sending to one that may be gone and tells nothing: a request lost.
const SILENT_COST_PENALTY: f64 = 1.0;
/// An ejected one that may be gone is asked so much later whether it is back: it is
/// heard when it is, unless it is cut off from all hubs.
const SILENT_PROBE_DELAY: Duration = Duration::from_secs(5);
/// Likelihood of a late answer from which waiting is better than sending.
const MAX_LATE_PROBABILITY: f64 = 0.5;

/// What a choice rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoredChoice {
    /// The instance.
    pub pick: Pick,
    /// Why this one.
    pub reason: Reason,
    /// Age of its newest report, `None` before the first.
    pub age: Option<Duration>,
    /// Its newest report.
    pub report: Option<LoadReport>,
    /// Own attempts in flight there.
    pub in_flight: u32,
    /// When an answer is expected, from now.
    pub expected: Duration,
    /// What it costs, as a part of the request's worth.
    pub cost: f64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(ScoredChoice),
    /// It has room, and the answer would come late all the same: wait for a better one
    /// while that may still come in time. Work on a slow machine holds its slot for
    /// as much longer, too.
    Slow(ScoredChoice),
    /// Every instance has as much work as it does at once, or nothing is known and this
    /// process has its share at work: wait until one has room.
    Wait,
    /// No instance is ready.
    None,
}

/// Chooses among one service's instances by fresh reports.
#[derive(Debug)]
pub struct ProbingChooser {
    /// Failure domains by their numbers, its own first.
    domains: Vec<DomainName>,
    rng: SmallRng,
    /// Tells this process's subset of the instances from that of others.
    seed: u64,
    entries: Vec<Entry>,
    averages: ServiceAverages,
    processes: u32,
    /// Most instances were heard, so that silence tells something. Just after a restart
    /// of everything it would send all requests to the first few that were heard.
    most_announced: bool,
    /// The list of processes by which cold instances are shared; none where they aren't.
    cold_sharing: Option<u64>,
}

impl ProbingChooser {
    /// A chooser without instances, for a gateway in `domain`.
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
        }
    }

    /// Usual requests a slot of the service, as its instances tell.
    #[must_use]
    pub fn load(&self) -> f64 {
        self.averages.load
    }

    /// Takes over how many processes send to these instances.
    pub fn set_processes(&mut self, processes: u32) {
        let processes = processes.max(1);
        if self.processes != processes {
            self.processes = processes;
            self.choose_subset();
        }
    }

    /// Instances to ask before the choice, at the round `round` from 0.
    ///
    /// `allow` is told how many are wanted, and says how many may be asked.
    pub fn plan(
        &mut self,
        now: Moment,
        need: &Need,
        exclude: &[Pick],
        round: u32,
        allow: impl FnOnce(usize) -> usize,
    ) -> Vec<Pick> {
        let asked = self.cheapest(now, need, exclude, MAX_FRESH_AGE);
        let enough =
            asked.is_some_and(|(index, cost)| self.is_enough(now, need, index, cost, round));
        if round >= MAX_ROUNDS || enough {
            return Vec::new();
        }
        let mut open: Vec<(usize, f64)> = Vec::new();
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            if !self.is_usable(now, index, exclude) || entry.is_fresh(now) {
                continue;
            }
            let cost = self.cost(now, need, entry);
            // Those that were heard first, nearer ones, then by what they are likely to cost.
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
            let random: f64 = self.rng.random();
            open.push((
                index,
                silent + far + other + cost.min(1.0) * 0.5 + random * 0.25,
            ));
        }
        open.sort_by(|a, b| a.1.total_cmp(&b.1));
        let count = allow(open.len().min(PROBES_PER_ROUND));
        let asked = open.into_iter().take(count);
        let picks: Vec<Pick> = asked.map(|(index, _)| self.pick(index)).collect();
        for pick in &picks {
            self.entries[pick.index as usize].probes_in_flight += 1;
        }
        picks
    }

    /// Whether what was asked needs no further round: something good, or, after two
    /// rounds, anything with room.
    fn is_enough(&self, now: Moment, need: &Need, index: usize, cost: f64, round: u32) -> bool {
        let room = self.entries[index].has_room(now, self.averages, need.room);
        room && (cost < GOOD_COST || round + 1 >= MAX_ROUNDS)
    }

    /// Chooses an instance, none of `exclude` if another is left.
    pub fn choose(&mut self, now: Moment, need: &Need, exclude: &[Pick]) -> Decision {
        if let Some(index) = self.trial(now, exclude) {
            self.entries[index].health.begin_trial(now);
            return Decision::Send(self.scored(now, need, index, Reason::Trial));
        }
        let known = self.cheapest(now, need, exclude, MAX_KNOWN_AGE);
        if let Some((index, _)) = known
            && self.entries[index].has_room(now, self.averages, need.room)
        {
            let fresh = self.entries[index].is_fresh(now);
            let reason = if fresh { Reason::Fresh } else { Reason::Stale };
            return self.decide(now, need, index, reason);
        }
        let any = self.cheapest(now, need, exclude, Duration::MAX);
        match any {
            Some((index, _))
                if self.may_send_blind(index)
                    && self.entries[index].has_room(now, self.averages, need.room) =>
            {
                return self.decide(now, need, index, Reason::Stale);
            }
            Some(_) => return Decision::Wait,
            None => {}
        }
        self.choose_panic(now, need, exclude)
    }

    /// Whether one more may be sent there on an old report, or on none at all. After a
    /// restart of all processes the requests of a second come to each of them at once;
    /// 275 sent blindly within 20 ms filled queues for the next 2 s. So each sends no
    /// more than its share of all slots to instances that it has never heard of.
    fn may_send_blind(&self, index: usize) -> bool {
        if self.entries[index].report.is_some() {
            return true;
        }
        let ready = self.entries.iter().filter(|entry| entry.is_ready());
        let slots: u32 = ready.map(|entry| entry.instance.slots).sum();
        let own: usize = self.entries.iter().map(|entry| entry.starts.len()).sum();
        let share = (slots / self.processes).max(1);
        own < usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Chooses an instance that has just got room; waits on where it takes no work any
    /// more.
    pub fn choose_instance(&mut self, now: Moment, need: &Need, pick: Pick) -> Decision {
        let index = pick.index as usize;
        let known = self
            .entries
            .get(index)
            .is_some_and(|entry| entry.generation == pick.generation);
        if known && self.is_usable(now, index, &[]) {
            self.decide(now, need, index, Reason::Fresh)
        } else {
            Decision::Wait
        }
    }

    /// Whether the instance has room for one more as far as its newest report goes.
    #[must_use]
    pub fn has_room(&self, now: Moment, pick: Pick) -> bool {
        let entry = self.entries.get(pick.index as usize);
        entry.is_some_and(|entry| {
            entry.generation == pick.generation && entry.has_room(now, self.averages, 1.0)
        })
    }

    /// Every instance that is left is ejected: any that is ready, health apart.
    fn choose_panic(&mut self, now: Moment, need: &Need, exclude: &[Pick]) -> Decision {
        let ready: Vec<usize> = (0..self.entries.len())
            .filter(|i| self.entries[*i].is_ready())
            .collect();
        let open = |i: &usize| self.may_send(now, &self.entries[*i]);
        let picks: Vec<usize> = ready.iter().copied().filter(open).collect();
        if picks.is_empty() && !ready.is_empty() {
            return Decision::Wait;
        }
        let rest: Vec<usize> = picks
            .iter()
            .copied()
            .filter(|i| !exclude.contains(&self.pick(*i)))
            .collect();
        let among = if rest.is_empty() { picks } else { rest };
        if among.is_empty() {
            return Decision::None;
        }
        let index = among[self.rng.random_range(0..among.len())];
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
            let cost = cost + JITTER * self.rng.random::<f64>();
            if cheapest.is_none_or(|(_, least)| cost < least) {
                cheapest = Some((index, cost));
            }
        }
        cheapest
    }

    /// What sending there costs.
    fn cost(&self, now: Moment, need: &Need, entry: &Entry) -> f64 {
        let state = entry.state(now, self.averages);
        cost::cost(&state, need, entry.domain_index != need.domain_index)
    }

    /// Whether it has fallen silent while most of the others are heard.
    fn may_be_gone(&self, entry: &Entry) -> bool {
        entry.silent && self.most_announced
    }

    fn is_usable(&self, now: Moment, index: usize, exclude: &[Pick]) -> bool {
        let entry = &self.entries[index];
        entry.is_ready()
            && entry.health.takes_traffic()
            && self.may_send(now, entry)
            && !exclude.contains(&self.pick(index))
    }

    /// An ejected instance that may be tried; not for a retry, which has failed once.
    fn trial(&self, now: Moment, exclude: &[Pick]) -> Option<usize> {
        if !exclude.is_empty() {
            return None;
        }
        let wants = |r: &Entry| r.is_ready() && self.may_send(now, r) && r.health.wants_trial(now);
        (0..self.entries.len()).find(|i| wants(&self.entries[*i]))
    }

    /// Ejected instances whose time is over, which a probe may bring back.
    ///
    /// `allow` is told how many are wanted, and says how many may be asked.
    pub fn plan_ejected(&mut self, now: Moment, allow: impl FnOnce(usize) -> usize) -> Vec<Pick> {
        let due = |r: &Entry| {
            let delay = if self.may_be_gone(r) {
                SILENT_PROBE_DELAY
            } else {
                Duration::ZERO
            };
            r.is_ready() && r.probes_in_flight == 0 && r.health.wants_probe(now, delay)
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
