//! What callers get of a service under the hardest loads, in a model of its slots.
//!
//! Requests arrive at random times; each caller comes back when told, but waits for at most a
//! third of the time that it has left. The model has one queue, as at a service's dispatcher.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures of a model"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use admit::CapacityQueue;
use admit::Waiting;
use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEEDS: u64 = 10;
/// Added to the priority of late requests.
const LATE: u32 = 1_000;
/// Multiple of the work that must remain before the latency target for a request to wait.
const WORK_MARGIN: f64 = 1.3;

/// A service and its callers; times in milliseconds. Over 0.8 of the slots, work takes 1.7 times
/// as long.
#[derive(Clone, Copy)]
struct Case {
    slots: usize,
    work: f64,
    aim: f64,
    deadline: f64,
    retries: u32,
    /// Requests per second of usual load, and its multiple from 2 s to 8 s of 10 s.
    calls: f64,
    burst: f64,
    /// Number of workspaces, whose sizes are as the rank to the power of -1.2; 0 for none.
    workspaces: usize,
    /// The workspace that sends a multiple of its usual rate from 2 s to 8 s, and the multiple.
    flood: (usize, f64),
    /// The priority of the two largest workspaces, where others have 16.
    urgent: u32,
    /// Whether requests that come back are told apart.
    returning: bool,
}

/// Balance checks of a part of 24 instances, of which 13 are at a usual pace.
const BALANCE: Case = Case {
    slots: 40,
    work: 160.0,
    aim: 400.0,
    deadline: 1_500.0,
    retries: 1,
    calls: 85.0,
    burst: 2.2,
    workspaces: 74,
    flood: (0, 1.0),
    urgent: 16,
    returning: true,
};

/// Crew lookups of a part of 24 instances, half of them at a usual pace.
const LOOKUP: Case = Case {
    slots: 24,
    work: 140.0,
    deadline: 2_500.0,
    retries: 2,
    calls: 65.0,
    burst: 1.6,
    workspaces: 0,
    ..BALANCE
};

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    all: f64,
    in_time: f64,
    late: f64,
    refused_twice: f64,
    /// Those refused twice although they came back no earlier than told.
    misled: f64,
    /// Refusals after more than an eighth of the latency target.
    held: f64,
}

impl std::ops::AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.all += other.all;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused_twice += other.refused_twice;
        self.misled += other.misled;
        self.held += other.held;
    }
}

impl Count {
    fn served(&self) -> f64 {
        (self.in_time + self.late) / self.all
    }
}

struct Call {
    workspace: usize,
    first_at: f64,
    queued_at: f64,
    refusals: u32,
    told_until: f64,
    waits: bool,
}

struct Model {
    case: Case,
    rng: StdRng,
    queue: CapacityQueue<usize>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    busy: usize,
    now: f64,
    counts: Vec<Count>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Expire(usize, u64),
    End(usize),
}

fn at(millis: f64) -> Moment {
    Moment::from_nanos((millis * 1e6) as u64)
}

fn millis(time: f64) -> Duration {
    Duration::from_nanos((time.max(0.0) * 1e6) as u64)
}

fn micros(time: f64) -> u64 {
    (time * 1e3) as u64
}

/// Plays the case; returns what callers of each workspace got whose first request came while the
/// load was high.
fn play(case: Case, seed: u64) -> Vec<Count> {
    let workspaces = case.workspaces.max(1);
    let mut model = Model {
        case,
        rng: StdRng::seed_from_u64(seed),
        queue: CapacityQueue::new(at(0.0)),
        calls: Vec::new(),
        events: BinaryHeap::new(),
        busy: 0,
        now: 0.0,
        counts: vec![Count::default(); workspaces],
    };
    let sizes: Vec<f64> = (1..=workspaces)
        .map(|rank| (rank as f64).powf(-1.2))
        .collect();
    for (workspace, size) in sizes.iter().enumerate() {
        model.add_calls(workspace, case.calls * size / sizes.iter().sum::<f64>());
    }
    while let Some(Reverse((now, event))) = model.events.pop() {
        model.now = now as f64 / 1e3;
        model.handle(event);
    }
    model.counts
}

impl Model {
    fn add_calls(&mut self, workspace: usize, rate: f64) {
        let mut next = 0.0;
        loop {
            let high = (2_000.0..8_000.0).contains(&next);
            let flood = if self.case.flood.0 == workspace {
                self.case.flood.1
            } else {
                1.0
            };
            let factor = if high { self.case.burst * flood } else { 1.0 };
            next -= (1.0 - self.rng.random::<f64>()).ln() / (rate * factor) * 1e3;
            if next > 10_000.0 {
                return;
            }
            self.events
                .push(Reverse((micros(next), Event::Arrive(self.calls.len()))));
            self.calls.push(Call {
                workspace,
                first_at: next,
                queued_at: next,
                refusals: 0,
                told_until: 0.0,
                waits: false,
            });
        }
    }

    fn count(&mut self, call: usize, change: impl FnOnce(&mut Count)) {
        let call = &self.calls[call];
        if (2_000.0..8_000.0).contains(&call.first_at) {
            change(&mut self.counts[call.workspace]);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Expire(call, queued_at) => {
                if self.calls[call].waits && micros(self.calls[call].queued_at) == queued_at {
                    self.refuse(call);
                }
            }
            Event::End(call) => {
                let in_time = self.now - self.calls[call].first_at <= self.case.aim;
                self.count(call, |count| {
                    count.in_time += f64::from(u8::from(in_time));
                    count.late += f64::from(u8::from(!in_time));
                });
                self.busy -= 1;
                self.queue.end(at(self.now), true);
                if let Some(next) = self.queue.pop(at(self.now)) {
                    self.start(next);
                }
            }
        }
    }

    fn arrive(&mut self, call: usize) {
        self.calls[call].queued_at = self.now;
        let is_new = self.calls[call].refusals == 0;
        self.count(call, |count| count.all += f64::from(u8::from(is_new)));
        let waiting = self.waiting(call);
        let now = at(self.now);
        let room = match (waiting.priority >= LATE, self.case.returning && !is_new) {
            (false, _) => self.case.slots,
            (true, true) => self.case.slots * 4 / 5,
            (true, false) => self.case.slots / 2,
        };
        if self.busy < room && !self.queue.goes_first(now, &waiting) {
            self.queue.charge(now, &waiting);
            self.start(call);
        } else if waiting.deadline <= now {
            self.refuse(call);
        } else {
            let queued_at = micros(self.now);
            let patience = waiting.deadline.since(now);
            let end = queued_at + patience.as_micros() as u64;
            self.events
                .push(Reverse((end, Event::Expire(call, queued_at))));
            self.calls[call].waits = true;
            self.queue.push(now, waiting, call);
            if self.case.workspaces == 0 {
                return;
            }
            for hopeless in self.queue.take_hopeless(now) {
                self.refuse(hopeless);
            }
        }
    }

    fn remaining(&self, call: usize) -> f64 {
        self.case.deadline - (self.now - self.calls[call].first_at)
    }

    fn waiting(&self, call: usize) -> Waiting {
        let Case { work, aim, .. } = self.case;
        let workspace = self.calls[call].workspace;
        let left = aim - (self.now - self.calls[call].first_at);
        let returning = self.case.returning && self.calls[call].refusals > 0;
        let wait = left - work * WORK_MARGIN;
        let wait = if returning && left >= work {
            wait.max(aim.min(self.remaining(call)) / 8.0)
        } else {
            wait
        };
        let urgency = if workspace < 2 { self.case.urgent } else { 16 };
        let name = (self.case.workspaces > 0).then(|| format!("w-{workspace}"));
        Waiting {
            workspace: name.and_then(|name| WorkspaceName::new(&name).ok()),
            weight: ((workspace + 1) as f64).powf(-1.2),
            returning,
            overload_wait: millis(if returning { wait } else { left / 8.0 }),
            ..Waiting::new(
                urgency + if left < work { LATE } else { 0 },
                at(self.now) + millis(wait),
            )
        }
    }

    fn start(&mut self, call: usize) {
        self.calls[call].waits = false;
        self.busy += 1;
        self.queue.start(at(self.now));
        let spread: f64 = (0..4).map(|_| self.rng.random::<f64>()).sum::<f64>() - 2.0;
        let is_full = self.busy as f64 > 0.8 * self.case.slots as f64;
        let work = self.case.work * (0.5 * spread).exp() * if is_full { 1.7 } else { 1.0 };
        self.events
            .push(Reverse((micros(self.now + work), Event::End(call))));
    }

    fn refuse(&mut self, call: usize) {
        let remaining = self.remaining(call);
        let told = self.queue.return_time(at(self.now), millis(remaining));
        let told = told.unwrap_or_default().as_secs_f64() * 1e3;
        let state = &mut self.calls[call];
        state.waits = false;
        state.refusals += 1;
        let again = state.refusals == 2;
        let misled = again && state.told_until <= state.queued_at;
        let held = self.now - state.queued_at > self.case.aim / 8.0;
        state.told_until = self.now + told;
        let refusals = state.refusals;
        let back = self.now + told.min(remaining / 3.0);
        if refusals <= self.case.retries && remaining > 0.0 {
            self.events
                .push(Reverse((micros(back), Event::Arrive(call))));
        }
        self.count(call, |count| {
            count.refused_twice += f64::from(u8::from(again));
            count.misled += f64::from(u8::from(misled));
            count.held += f64::from(u8::from(held));
        });
    }
}

/// The sums over all seeds, for each workspace.
fn sums(name: &str, case: Case) -> Vec<Count> {
    let mut sums = vec![Count::default(); case.workspaces.max(1)];
    for seed in 1..=SEEDS {
        for (sum, count) in sums.iter_mut().zip(play(case, seed)) {
            *sum += count;
        }
    }
    let all = total(&sums);
    let part = |count: f64| format!("{:.3}", count / all.all);
    println!(
        "{name}: in time {}, late {}, refused twice {}, misled {}, held {}",
        part(all.in_time),
        part(all.late),
        part(all.refused_twice),
        part(all.misled),
        part(all.held)
    );
    sums
}

fn total(counts: &[Count]) -> Count {
    let mut total = Count::default();
    for count in counts {
        total += *count;
    }
    total
}

/// Guards against a workspace that takes the slots of others by sending more than it usually does.
#[test]
fn test_hard_load_flood_takes_no_slots_from_other_workspaces() {
    for (flooding, factor) in [(0, 7.0), (0, 20.0), (3, 20.0)] {
        let case = Case {
            burst: 1.0,
            flood: (flooding, factor),
            ..BALANCE
        };
        let mut sums = sums(&format!("workspace {flooding} at {factor} times"), case);
        let served = total(&sums).served();
        let flood = sums.remove(flooding).served();
        let mut others: Vec<f64> = sums.iter().map(Count::served).collect();
        others.sort_by(f64::total_cmp);
        let mean = |shares: &[f64]| shares.iter().sum::<f64>() / shares.len() as f64;
        let (worst, others) = (mean(&others[..others.len() / 10]), mean(&others));
        println!("  served {flood:.3}, others {others:.3}, worst tenth of them {worst:.3}");
        assert!(flood >= served / 4.0);
        assert!(worst >= others * 0.9);
    }
}

/// Guards against a burst that leaves nothing to some workspaces, and against one in which urgent
/// workspaces wait behind others.
#[test]
fn test_hard_load_burst_serves_every_workspace_and_urgent_ones_first() {
    let equal = sums("burst", BALANCE);
    println!("  largest workspace: served {:.3}", equal[0].served());
    let least = equal.iter().map(Count::served).min_by(f64::total_cmp);
    assert!(least.expect("some") >= total(&equal).served() / 4.0);
    let case = Case {
        urgent: 0,
        ..BALANCE
    };
    let ranked = sums("burst, two urgent workspaces", case);
    for workspace in 0..2 {
        assert!(ranked[workspace].served() > equal[workspace].served());
    }
}

/// Guards against telling requests apart that come back where callers gain nothing by it.
#[test]
fn test_hard_load_fewer_are_refused_twice_if_told_apart() {
    for (name, case) in [("balance", BALANCE), ("lookup", LOOKUP)] {
        let [new, told_apart] = [false, true].map(|returning| {
            let case = Case { returning, ..case };
            total(&sums(&format!("{name}, told apart: {returning}"), case))
        });
        assert!(told_apart.refused_twice / told_apart.all < new.refused_twice / new.all);
        assert!(told_apart.served() > new.served());
    }
}
