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
mod results;
mod row;
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

pub use self::row::COLD_WINDOW;
use self::row::FRESH;
use self::row::Row;
use self::row::Subset;
use self::row::Usual;

/// Instances asked in the first round, and in each further one.
const ROUND: usize = 3;
/// Rounds after which the best of those known is taken.
const ROUNDS: u32 = 3;
/// A choice that costs so little is taken without asking further.
const GOOD: f64 = 0.06;
/// A report that is younger than this counts as knowledge; an instance without
/// one gets work only where no other has room. Half of a pace's usual time.
const KNOWN: Duration = Duration::from_millis(150);
/// Part of the cost that is random, so that equal ones take turns.
const JITTER: f64 = 0.01;
/// Put to the rank of an instance that may be gone, over that of any other, so that it
/// is asked only when no other is left to ask. After a restart of everything one probe in
/// three went to an instance that had crashed and was still in the log.
const SILENT_RANK: f64 = 2.0;
/// Put to the rank of an instance outside of this process's subset: it is asked after one of
/// the subset of which nothing is known, and before one that is known to be late.
const OTHER_RANK: f64 = 0.3;
/// Put to the cost of sending to one that may be gone and tells nothing: a request lost.
const SILENT_COST: f64 = 1.0;
/// An ejected one that may be gone is asked so much later whether it is back: it is
/// heard when it is, unless it is cut off from all hubs.
const SILENT_PAUSE: Duration = Duration::from_secs(5);
/// Likelihood of a late answer from which waiting is better than sending.
const LATE: f64 = 0.5;

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
    rows: Vec<Row>,
    usual: Usual,
    processes: u32,
    /// Most instances were heard, so that silence tells something. Just after a restart
    /// of everything it would send all requests to the first few that were heard.
    heard: bool,
    /// The list of processes by which cold instances are shared; none where they aren't.
    sharing: Option<u64>,
}

impl ProbingChooser {
    /// A chooser without instances, for a gateway in `domain`.
    #[must_use]
    pub fn new(domain: DomainName, seed: u64) -> Self {
        Self {
            domains: vec![domain],
            rng: SmallRng::seed_from_u64(seed),
            seed,
            rows: Vec::new(),
            usual: Usual::default(),
            processes: 1,
            heard: false,
            sharing: None,
        }
    }

    /// Usual requests a slot of the service, as its instances tell.
    #[must_use]
    pub fn load(&self) -> f64 {
        self.usual.load
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
        let asked = self.best(now, need, exclude, FRESH);
        let enough =
            asked.is_some_and(|(index, cost)| self.is_enough(now, need, index, cost, round));
        if round >= ROUNDS || enough {
            return Vec::new();
        }
        let mut open: Vec<(usize, f64)> = Vec::new();
        for index in 0..self.rows.len() {
            let row = &self.rows[index];
            if !self.is_usable(now, index, exclude) || row.is_fresh(now) {
                continue;
            }
            let cost = self.cost(now, need, row);
            // Those that were heard first, nearer ones, then by what they are likely to cost.
            let silent = if self.may_be_gone(row) {
                SILENT_RANK
            } else {
                0.0
            };
            let far = if row.domain_index == need.domain_index {
                0.0
            } else {
                1.0
            };
            let other = match row.subset {
                Subset::Inside => 0.0,
                Subset::Outside => OTHER_RANK,
            };
            let random: f64 = self.rng.random();
            open.push((
                index,
                silent + far + other + cost.min(1.0) * 0.5 + random * 0.25,
            ));
        }
        open.sort_by(|a, b| a.1.total_cmp(&b.1));
        let count = allow(open.len().min(ROUND));
        let asked = open.into_iter().take(count);
        let picks: Vec<Pick> = asked.map(|(index, _)| self.pick(index)).collect();
        for pick in &picks {
            self.rows[pick.index as usize].probing += 1;
        }
        picks
    }

    /// Whether what was asked needs no further round: something good, or, after two
    /// rounds, anything with room.
    fn is_enough(&self, now: Moment, need: &Need, index: usize, cost: f64, round: u32) -> bool {
        let room = self.rows[index].has_room(now, self.usual, need.room);
        room && (cost < GOOD || round + 1 >= ROUNDS)
    }

    /// Chooses an instance, none of `exclude` if another is left.
    pub fn choose(&mut self, now: Moment, need: &Need, exclude: &[Pick]) -> Decision {
        if let Some(index) = self.trial(now, exclude) {
            self.rows[index].health.begin_trial(now);
            return Decision::Send(self.chosen(now, need, index, Reason::Trial));
        }
        let known = self.best(now, need, exclude, KNOWN);
        if let Some((index, _)) = known
            && self.rows[index].has_room(now, self.usual, need.room)
        {
            let fresh = self.rows[index].is_fresh(now);
            let reason = if fresh { Reason::Fresh } else { Reason::Stale };
            return self.decided(now, need, index, reason);
        }
        let any = self.best(now, need, exclude, Duration::MAX);
        match any {
            Some((index, _))
                if self.may_guess(index)
                    && self.rows[index].has_room(now, self.usual, need.room) =>
            {
                return self.decided(now, need, index, Reason::Stale);
            }
            Some(_) => return Decision::Wait,
            None => {}
        }
        self.panic(now, need, exclude)
    }

    /// Whether one more may be sent there on an old report, or on none at all. After a
    /// restart of all processes the requests of a second come to each of them at once;
    /// 275 sent blindly within 20 ms filled queues for the next 2 s. So each sends no
    /// more than its share of all slots to instances that it has never heard of.
    fn may_guess(&self, index: usize) -> bool {
        if self.rows[index].report.is_some() {
            return true;
        }
        let ready = self.rows.iter().filter(|row| row.is_ready());
        let slots: u32 = ready.map(|row| row.instance.slots).sum();
        let own: usize = self.rows.iter().map(|row| row.starts.len()).sum();
        let share = (slots / self.processes).max(1);
        own < usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Chooses an instance that has just got room; waits on where it takes no work any
    /// more.
    pub fn choose_instance(&mut self, now: Moment, need: &Need, pick: Pick) -> Decision {
        let index = pick.index as usize;
        let known = self
            .rows
            .get(index)
            .is_some_and(|row| row.epoch == pick.epoch);
        if known && self.is_usable(now, index, &[]) {
            self.decided(now, need, index, Reason::Fresh)
        } else {
            Decision::Wait
        }
    }

    /// Whether the instance has room for one more as far as its newest report goes.
    #[must_use]
    pub fn has_room(&self, now: Moment, pick: Pick) -> bool {
        let row = self.rows.get(pick.index as usize);
        row.is_some_and(|row| row.epoch == pick.epoch && row.has_room(now, self.usual, 1.0))
    }

    /// Every instance that is left is ejected: any that is ready, health apart.
    fn panic(&mut self, now: Moment, need: &Need, exclude: &[Pick]) -> Decision {
        let ready: Vec<usize> = (0..self.rows.len())
            .filter(|i| self.rows[*i].is_ready())
            .collect();
        let open = |i: &usize| self.may_send(now, &self.rows[*i]);
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
        Decision::Send(self.chosen(now, need, index, Reason::Panic))
    }

    fn decided(&self, now: Moment, need: &Need, index: usize, reason: Reason) -> Decision {
        let late = cost::late(&self.rows[index].standing(now, self.usual), need);
        let chosen = self.chosen(now, need, index, reason);
        if late > LATE {
            Decision::Slow(chosen)
        } else {
            Decision::Send(chosen)
        }
    }

    fn chosen(&self, now: Moment, need: &Need, index: usize, reason: Reason) -> ScoredChoice {
        let row = &self.rows[index];
        let standing = row.standing(now, self.usual);
        ScoredChoice {
            pick: self.pick(index),
            reason,
            age: row.age(now),
            report: row.report.map(|(_, report)| report),
            in_flight: u32::try_from(row.starts.len()).unwrap_or(u32::MAX),
            expected: Duration::from_secs_f64(cost::expected(&standing, need).clamp(0.0, 3600.0)),
            cost: self.cost(now, need, row),
        }
    }

    fn best(
        &mut self,
        now: Moment,
        need: &Need,
        exclude: &[Pick],
        age: Duration,
    ) -> Option<(usize, f64)> {
        let mut best: Option<(usize, f64)> = None;
        for index in 0..self.rows.len() {
            let row = &self.rows[index];
            let unknown = age == Duration::MAX && !row.mute;
            let young = row.age(now).map_or(unknown, |found| found < age);
            if !self.is_usable(now, index, exclude) || !young {
                continue;
            }
            let cost = self.cost(now, need, row);
            let blind = self.may_be_gone(row) && row.age(now).is_none_or(|age| age >= KNOWN);
            let cost = cost + if blind { SILENT_COST } else { 0.0 };
            let cost = cost + JITTER * self.rng.random::<f64>();
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((index, cost));
            }
        }
        best
    }

    /// What sending there costs.
    fn cost(&self, now: Moment, need: &Need, row: &Row) -> f64 {
        let standing = row.standing(now, self.usual);
        cost::cost(&standing, need, row.domain_index != need.domain_index)
    }

    /// Whether it has fallen silent while most of the others are heard.
    fn may_be_gone(&self, row: &Row) -> bool {
        row.silent && self.heard
    }

    fn is_usable(&self, now: Moment, index: usize, exclude: &[Pick]) -> bool {
        let row = &self.rows[index];
        row.is_ready()
            && row.health.is_in()
            && self.may_send(now, row)
            && !exclude.contains(&self.pick(index))
    }

    /// An ejected instance that may be tried; not for a retry, which has failed once.
    fn trial(&self, now: Moment, exclude: &[Pick]) -> Option<usize> {
        if !exclude.is_empty() {
            return None;
        }
        let wants = |r: &Row| r.is_ready() && self.may_send(now, r) && r.health.wants_trial(now);
        (0..self.rows.len()).find(|i| wants(&self.rows[*i]))
    }

    /// Ejected instances whose time is over, which a probe may bring back.
    ///
    /// `allow` is told how many are wanted, and says how many may be asked.
    pub fn plan_ejected(&mut self, now: Moment, allow: impl FnOnce(usize) -> usize) -> Vec<Pick> {
        let due = |r: &Row| {
            let since = if self.may_be_gone(r) {
                SILENT_PAUSE
            } else {
                Duration::ZERO
            };
            r.is_ready() && r.probing == 0 && r.health.wants_probe(now, since)
        };
        let mut due: Vec<usize> = (0..self.rows.len())
            .filter(|i| due(&self.rows[*i]))
            .collect();
        if due.is_empty() {
            return Vec::new();
        }
        due.truncate(allow(due.len()));
        for index in &due {
            self.rows[*index].probing += 1;
        }
        due.into_iter().map(|index| self.pick(index)).collect()
    }

    fn pick(&self, index: usize) -> Pick {
        Pick {
            index: u32::try_from(index).unwrap_or(u32::MAX),
            epoch: self.rows[index].epoch,
        }
    }

    fn row(&mut self, pick: Pick) -> Option<&mut Row> {
        let row = self.rows.get_mut(pick.index as usize)?;
        (row.epoch == pick.epoch).then_some(row)
    }
}
