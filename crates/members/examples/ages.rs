//! Measures how stale the directories' knowledge of each other becomes, by the number of
//! directories, the polling order and the share that does not answer.
//!
//! Prints key=value lines. Each directory polls one peer every 250 ms at its own phase;
//! ages are only taken from replies.

use std::net::SocketAddr;

use members::ring::Ring;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const PERIOD_MS: usize = 250;
const STEP_MS: usize = 10;
const SPAN_MS: usize = 600_000;
const WARM_UP_MS: usize = 20_000;

fn main() {
    for order in ["shuffled", "ring"] {
        for dead in [0, 20] {
            for hosts in [5, 15, 30, 60, 120] {
                print(order, hosts, dead);
            }
        }
    }
}

/// The polling state of one directory.
struct Poller {
    phase: usize,
    round: Vec<usize>,
    ring: Ring,
}

impl Poller {
    fn new(me: usize, hosts: usize, random: &mut StdRng) -> Self {
        let peers: Vec<SocketAddr> = (0..hosts).map(address).collect();
        let mut ring = Ring::new(address(me), &peers);
        for _ in 0..random.random_range(0..8) {
            ring.next_peer();
        }
        Self {
            phase: random.random_range(0..PERIOD_MS / STEP_MS) * STEP_MS,
            round: Vec::new(),
            ring,
        }
    }

    fn shuffled(&mut self, me: usize, hosts: usize, random: &mut StdRng) -> usize {
        if self.round.is_empty() {
            self.round = (0..hosts).filter(|i| *i != me).collect();
            self.round.shuffle(random);
        }
        self.round.pop().unwrap_or(me)
    }

    fn by_ring(&mut self, me: usize) -> usize {
        let peer = self.ring.next_peer();
        peer.map_or(me, |peer| usize::from(peer.port()) - 1000)
    }
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(1000 + i).expect("few")))
}

/// Prints one line; the last `dead` percent of the hosts never answer.
fn print(order: &str, hosts: usize, dead: usize) {
    let mut random = StdRng::seed_from_u64(1);
    let live = hosts - hosts * dead / 100;
    // `known[a][b]`: when directory `a` last knew `b` to be alive.
    let mut known = vec![vec![0_usize; live]; live];
    let mut pollers: Vec<Poller> = (0..live)
        .map(|i| Poller::new(i, hosts, &mut random))
        .collect();
    let mut ages = Vec::new();
    for now in (0..SPAN_MS).step_by(STEP_MS) {
        for i in 0..live {
            known[i][i] = now;
            if now % PERIOD_MS != pollers[i].phase {
                continue;
            }
            let peer = match order {
                "ring" => pollers[i].by_ring(i),
                _ => pollers[i].shuffled(i, hosts, &mut random),
            };
            pollers[i].ring.record(address(peer), peer < live);
            if peer >= live {
                continue;
            }
            known[peer][peer] = now;
            let reported = known[peer].clone();
            for (own, reported) in known[i].iter_mut().zip(reported) {
                *own = (*own).max(reported);
            }
        }
        if now >= WARM_UP_MS && now % 100 == 0 {
            let oldest = |row: &Vec<usize>| now - row.iter().min().copied().unwrap_or(now);
            ages.extend(known.iter().map(oldest));
        }
    }
    ages.sort_unstable();
    let at = |per_mille: usize| ages[(ages.len() - 1) * per_mille / 1000];
    println!(
        "kind=ages order={order} hosts={hosts} dead_percent={dead} oldest_p50_ms={} oldest_p99_ms={} oldest_p999_ms={} oldest_max_ms={}",
        at(500),
        at(990),
        at(999),
        at(1000),
    );
}
