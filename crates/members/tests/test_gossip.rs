//! Simulates directories under message loss, delay, duplication, partitions and restarts.
//!
//! After every step of a random schedule, no view may show an instance whose last heartbeat
//! is older than its lease and the home lease together, or an older incarnation than before.
//! After the network heals, all views must converge.

use std::collections::BTreeMap;

use base::prelude::*;
use members::Delta;
use members::Limits;
use members::Members;
use members::Phase;
use members::Record;
use members::homes::HomeStatus;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::common;

const NODES: usize = 4;
const INSTANCES: usize = 5;
const STEPS: usize = 300;
const STEP: u64 = 50;
const AGE_STEP_MS: u64 = 20;

/// A reply in transit.
#[derive(Clone)]
struct InTransit {
    to: usize,
    sent: Moment,
    deliver_at: Moment,
    digest: u64,
    ages: Vec<u8>,
    statuses: Vec<HomeStatus>,
    deltas: Vec<(HostName, Delta)>,
}

/// State of one announcing instance.
#[derive(Clone, Copy, Default)]
struct Announcer {
    incarnation: u64,
    sequence: u64,
    draining: bool,
    running: bool,
    last_heartbeat: Option<Moment>,
}

struct Simulation {
    random: StdRng,
    now: Moment,
    nodes: Vec<Members>,
    announcers: [Announcer; INSTANCES],
    in_transit: Vec<InTransit>,
    shown: BTreeMap<(usize, usize), u64>,
    isolated: Option<usize>,
}

fn id(i: usize) -> String {
    format!("i{i}")
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let node = |i| common::directory(&format!("n{i}"), 1 << 15, Moment::ZERO);
        Self {
            random: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            nodes: (0..NODES).map(node).collect(),
            announcers: [Announcer::default(); INSTANCES],
            in_transit: Vec::new(),
            shown: BTreeMap::new(),
            isolated: None,
        }
    }

    fn step(&mut self) {
        self.now = self.now + common::ms(STEP);
        match self.random.random_range(0..100) {
            0..40 => self.announce(),
            40..70 => self.pull(),
            70..80 => self.push(),
            80..85 => self.toggle(),
            85..88 => self.isolate_or_heal(),
            88..90 => self.restart(),
            _ => {}
        }
        self.deliver();
        self.sweep();
    }

    fn sweep(&mut self) {
        for node in &mut self.nodes {
            node.sweep(self.now);
        }
    }

    fn announce(&mut self) {
        let i = self.random.random_range(0..INSTANCES);
        let node = self.random.random_range(0..NODES);
        self.announce_to(i, node);
    }

    fn announce_to(&mut self, i: usize, node: usize) {
        let announcer = &mut self.announcers[i];
        if !announcer.running {
            return;
        }
        announcer.sequence += 1;
        let phase = if announcer.draining {
            Phase::Draining
        } else {
            Phase::Ready
        };
        let announcement =
            common::instance(&id(i), phase, announcer.incarnation, announcer.sequence);
        if self.nodes[node].announce(announcement, self.now).is_ok() {
            announcer.last_heartbeat = Some(self.now);
        }
    }

    /// Stops, restarts or drains one announcer.
    fn toggle(&mut self) {
        let i = self.random.random_range(0..INSTANCES);
        let announcer = &mut self.announcers[i];
        match (announcer.running, announcer.draining) {
            (false, _) => {
                announcer.incarnation += 1;
                announcer.draining = false;
                announcer.running = true;
            }
            (true, false) => announcer.draining = true,
            (true, true) => announcer.running = false,
        }
    }

    fn isolate_or_heal(&mut self) {
        self.isolated = match self.isolated {
            Some(_) => None,
            None => Some(self.random.random_range(0..NODES)),
        };
    }

    /// Restarts a directory without its state; its clock may have been set back.
    fn restart(&mut self) {
        let node = self.random.random_range(0..NODES);
        let epoch = self.random.random_range(0..1 << 16);
        self.nodes[node] = common::directory(&format!("n{node}"), epoch, self.now);
        self.shown.retain(|(n, _), _| *n != node);
        self.in_transit.retain(|in_transit| in_transit.to != node);
    }

    fn pair(&mut self) -> Option<(usize, usize)> {
        let from = self.random.random_range(0..NODES);
        let to = self.random.random_range(0..NODES);
        let isolated = self.isolated == Some(from) || self.isolated == Some(to);
        (from != to && !isolated).then_some((from, to))
    }

    /// One directory pulls from another; the reply is lost, delayed or duplicated.
    fn pull(&mut self) {
        let Some((requester, peer)) = self.pair() else {
            return;
        };
        let answer = self.answer(requester, peer);
        for _ in 0..self.random.random_range(0..3) {
            let delay = common::ms(self.random.random_range(0..40) * STEP);
            let deliver_at = self.now + delay;
            self.in_transit.push(InTransit {
                deliver_at,
                ..answer.clone()
            });
        }
    }

    fn answer(&self, requester: usize, peer: usize) -> InTransit {
        let (asking, answering) = (&self.nodes[requester], &self.nodes[peer]);
        let equal = asking.digest() == answering.digest();
        InTransit {
            to: requester,
            sent: self.now,
            deliver_at: self.now,
            digest: answering.digest(),
            ages: if equal {
                answering.ages(self.now)
            } else {
                Vec::new()
            },
            statuses: if equal {
                Vec::new()
            } else {
                answering.statuses(self.now)
            },
            deltas: answering.deltas(&asking.statuses(self.now)),
        }
    }

    fn push(&mut self) {
        let Some((home, peer)) = self.pair() else {
            return;
        };
        let cursor = self.nodes[home].own_position().1;
        let behind = self.random.random_range(0..3);
        let Some(delta) = self.nodes[home].own_delta(cursor.saturating_sub(behind)) else {
            return;
        };
        let (me, location) = (
            self.nodes[home].me().clone(),
            self.nodes[home].location().clone(),
        );
        self.nodes[peer].merge_delta(&me, location, &delta);
    }

    fn deliver(&mut self) {
        let (deliver_at, rest) = self
            .in_transit
            .drain(..)
            .partition(|f| f.deliver_at <= self.now);
        self.in_transit = rest;
        let deliver_at: Vec<InTransit> = deliver_at;
        for in_transit in deliver_at {
            if self.isolated == Some(in_transit.to) {
                continue;
            }
            let node = &mut self.nodes[in_transit.to];
            let location = node.location().clone();
            for (home, delta) in &in_transit.deltas {
                node.merge_delta(home, location.clone(), delta);
            }
            node.merge_statuses(&in_transit.statuses, in_transit.sent);
            node.merge_ages(in_transit.digest, &in_transit.ages, in_transit.sent);
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let limits = Limits::default();
        let max_age = limits.lease + limits.home_lease + common::ms(STEP + AGE_STEP_MS);
        for (n, node) in self.nodes.iter().enumerate() {
            for (i, announcer) in self.announcers.iter().enumerate() {
                let Some(Record::Instance(seen)) = node.instances().get(&common::key(&id(i)))
                else {
                    continue;
                };
                let last_heartbeat = announcer.last_heartbeat.unwrap_or_default();
                if self.now.since(last_heartbeat) > max_age {
                    return Err(format!(
                        "node {n} shows i{i} at {:?}, last heard at {last_heartbeat:?}",
                        self.now
                    ));
                }
                let last = self
                    .shown
                    .insert((n, i), seen.incarnation)
                    .unwrap_or_default();
                if last > seen.incarnation {
                    return Err(format!(
                        "node {n} shows i{i} incarnation {} after {last}",
                        seen.incarnation
                    ));
                }
            }
        }
        Ok(())
    }

    /// Lets all announce and exchange without faults until the views must have converged.
    fn heal(&mut self) {
        self.isolated = None;
        self.in_transit.clear();
        for round in 0..160 {
            self.now = self.now + common::ms(STEP);
            if round % 8 == 0 {
                (0..INSTANCES).for_each(|i| self.announce_to(i, i % NODES));
            }
            for requester in 0..NODES {
                let peer = (requester + 1 + round % (NODES - 1)) % NODES;
                let answer = self.answer(requester, peer);
                self.in_transit.push(answer);
            }
            self.deliver();
            self.sweep();
        }
    }

    fn check_converged(&self) -> Result<(), String> {
        for (n, node) in self.nodes.iter().enumerate() {
            for (i, announcer) in self.announcers.iter().enumerate() {
                let phase = if announcer.draining {
                    Phase::Draining
                } else {
                    Phase::Ready
                };
                let expected = announcer.running.then_some(phase);
                let seen = common::phase(node, &id(i));
                if seen != expected {
                    return Err(format!(
                        "healed: node {n} shows i{i} as {seen:?}, it is {expected:?}"
                    ));
                }
            }
        }
        Ok(())
    }
}

fn run(seed: u64) -> Result<(), String> {
    let mut simulation = Simulation::new(seed);
    for step in 0..STEPS {
        simulation.step();
        simulation
            .check()
            .map_err(|err| format!("seed {seed} step {step}: {err}"))?;
    }
    simulation.heal();
    simulation
        .check_converged()
        .map_err(|err| format!("seed {seed}: {err}"))
}

#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

#[test]
fn test_gossip_random_schedules() {
    fn holds(seed: Seed) -> Result<bool, String> {
        run(seed.0).map(|()| true)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Seed) -> Result<bool, String>);
}
