//! Directories that exchange over loss, delay, repetition, cuts and restarts.
//!
//! Schedules are random; after every step no view may show an instance that
//! nobody has heard for longer than its lease and the home's lease together, or
//! an incarnation older than one it showed. When the network heals, all views
//! agree with the truth.

use std::collections::BTreeMap;

use base::prelude::*;
use members::Delta;
use members::Limits;
use members::Members;
use members::Phase;
use members::Record;
use members::homes::Vouch;
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

/// An answer that is on its way.
#[derive(Clone)]
struct Flying {
    to: usize,
    sent: Moment,
    due: Moment,
    digest: u64,
    ages: Vec<u8>,
    vouches: Vec<Vouch>,
    deltas: Vec<(HostName, Delta)>,
}

/// One announcer.
#[derive(Clone, Copy, Default)]
struct Announcer {
    incarnation: u64,
    sequence: u64,
    draining: bool,
    running: bool,
    heard: Option<Moment>,
}

struct World {
    random: StdRng,
    now: Moment,
    nodes: Vec<Members>,
    announcers: [Announcer; INSTANCES],
    flying: Vec<Flying>,
    shown: BTreeMap<(usize, usize), u64>,
    cut: Option<usize>,
}

fn id(i: usize) -> String {
    format!("i{i}")
}

impl World {
    fn new(seed: u64) -> Self {
        let node = |i| common::directory(&format!("n{i}"), 1 << 15, Moment::ZERO);
        Self {
            random: StdRng::seed_from_u64(seed),
            now: Moment::ZERO,
            nodes: (0..NODES).map(node).collect(),
            announcers: [Announcer::default(); INSTANCES],
            flying: Vec::new(),
            shown: BTreeMap::new(),
            cut: None,
        }
    }

    fn step(&mut self) {
        self.now = self.now + common::ms(STEP);
        match self.random.random_range(0..100) {
            0..40 => self.announce(),
            40..70 => self.ask(),
            70..80 => self.push(),
            80..85 => self.toggle(),
            85..88 => self.cut_or_heal(),
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
        let said = common::instance(&id(i), phase, announcer.incarnation, announcer.sequence);
        if self.nodes[node].announce(said, self.now).is_ok() {
            announcer.heard = Some(self.now);
        }
    }

    /// Stops, starts anew, or drains one announcer.
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

    fn cut_or_heal(&mut self) {
        self.cut = match self.cut {
            Some(_) => None,
            None => Some(self.random.random_range(0..NODES)),
        };
    }

    /// A directory loses all it knew; its clock may have been set back.
    fn restart(&mut self) {
        let node = self.random.random_range(0..NODES);
        let epoch = self.random.random_range(0..1 << 16);
        self.nodes[node] = common::directory(&format!("n{node}"), epoch, self.now);
        self.shown.retain(|(n, _), _| *n != node);
        self.flying.retain(|flying| flying.to != node);
    }

    fn pair(&mut self) -> Option<(usize, usize)> {
        let from = self.random.random_range(0..NODES);
        let to = self.random.random_range(0..NODES);
        let cut = self.cut == Some(from) || self.cut == Some(to);
        (from != to && !cut).then_some((from, to))
    }

    /// One asks another; the answer is lost, late, or comes twice.
    fn ask(&mut self) {
        let Some((asker, peer)) = self.pair() else {
            return;
        };
        let answer = self.answer(asker, peer);
        for _ in 0..self.random.random_range(0..3) {
            let late = common::ms(self.random.random_range(0..40) * STEP);
            let due = self.now + late;
            self.flying.push(Flying {
                due,
                ..answer.clone()
            });
        }
    }

    fn answer(&self, asker: usize, peer: usize) -> Flying {
        let (asking, told) = (&self.nodes[asker], &self.nodes[peer]);
        let equal = asking.digest() == told.digest();
        Flying {
            to: asker,
            sent: self.now,
            due: self.now,
            digest: told.digest(),
            ages: if equal {
                told.ages(self.now)
            } else {
                Vec::new()
            },
            vouches: if equal {
                Vec::new()
            } else {
                told.vouches(self.now)
            },
            deltas: told.deltas(&asking.vouches(self.now)),
        }
    }

    fn push(&mut self) {
        let Some((home, peer)) = self.pair() else {
            return;
        };
        let cursor = self.nodes[home].own_point().1;
        let back = self.random.random_range(0..3);
        let Some(delta) = self.nodes[home].own_since(cursor.saturating_sub(back)) else {
            return;
        };
        let (me, place) = (
            self.nodes[home].me().clone(),
            self.nodes[home].place().clone(),
        );
        self.nodes[peer].merge_delta(&me, place, &delta);
    }

    fn deliver(&mut self) {
        let (due, rest) = self.flying.drain(..).partition(|f| f.due <= self.now);
        self.flying = rest;
        let due: Vec<Flying> = due;
        for flying in due {
            if self.cut == Some(flying.to) {
                continue;
            }
            let node = &mut self.nodes[flying.to];
            let place = node.place().clone();
            for (home, delta) in &flying.deltas {
                node.merge_delta(home, place.clone(), delta);
            }
            node.merge_vouches(&flying.vouches, flying.sent);
            node.merge_ages(flying.digest, &flying.ages, flying.sent);
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let limits = Limits::default();
        let most = limits.lease + limits.home_lease + common::ms(STEP + AGE_STEP_MS);
        for (n, node) in self.nodes.iter().enumerate() {
            for (i, announcer) in self.announcers.iter().enumerate() {
                let Some(Record::Instance(seen)) = node.instances().get(&common::key(&id(i)))
                else {
                    continue;
                };
                let heard = announcer.heard.unwrap_or_default();
                if self.now.since(heard) > most {
                    return Err(format!(
                        "node {n} shows i{i} at {:?}, last heard at {heard:?}",
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

    /// All announce and exchange without a fault for long enough.
    fn heal(&mut self) {
        self.cut = None;
        self.flying.clear();
        for round in 0..160 {
            self.now = self.now + common::ms(STEP);
            if round % 8 == 0 {
                (0..INSTANCES).for_each(|i| self.announce_to(i, i % NODES));
            }
            for asker in 0..NODES {
                let peer = (asker + 1 + round % (NODES - 1)) % NODES;
                let answer = self.answer(asker, peer);
                self.flying.push(answer);
            }
            self.deliver();
            self.sweep();
        }
    }

    fn check_truth(&self) -> Result<(), String> {
        for (n, node) in self.nodes.iter().enumerate() {
            for (i, announcer) in self.announcers.iter().enumerate() {
                let phase = if announcer.draining {
                    Phase::Draining
                } else {
                    Phase::Ready
                };
                let truth = announcer.running.then_some(phase);
                let seen = common::phase(node, &id(i));
                if seen != truth {
                    return Err(format!(
                        "healed: node {n} shows i{i} as {seen:?}, it is {truth:?}"
                    ));
                }
            }
        }
        Ok(())
    }
}

fn run(seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    for step in 0..STEPS {
        world.step();
        world
            .check()
            .map_err(|err| format!("seed {seed} step {step}: {err}"))?;
    }
    world.heal();
    world
        .check_truth()
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
