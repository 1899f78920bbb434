//! Every directory must be reached within few rounds, also when some do not answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use members::ring::RETRY_TURNS;
use members::ring::Ring;
use quickcheck::quickcheck;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(1000 + i).expect("few")))
}

fn ring(me: usize, count: usize) -> Ring {
    let peers: Vec<SocketAddr> = (0..count).filter(|i| *i != me).map(address).collect();
    Ring::new(address(me), &peers)
}

/// Rounds until every live directory knows of every other, with `dead` not answering.
fn rounds(count: usize, dead: &BTreeSet<usize>) -> usize {
    let mut rings: Vec<Ring> = (0..count).map(|i| ring(i, count)).collect();
    let live: Vec<usize> = (0..count).filter(|i| !dead.contains(i)).collect();
    // Every live directory has already recorded the dead ones as failing.
    for i in &live {
        for d in dead {
            rings[*i].record(address(*d), false);
        }
    }
    let mut known: Vec<BTreeSet<usize>> = (0..count).map(|i| BTreeSet::from([i])).collect();
    for round in 1..100 {
        for i in &live {
            let Some(peer) = rings[*i].next_peer() else {
                continue;
            };
            let peer = usize::from(peer.port()) - 1000;
            if !dead.contains(&peer) {
                let reported = known[peer].clone();
                known[*i].extend(reported);
            }
        }
        if live.iter().all(|i| known[*i].len() >= live.len()) {
            return round;
        }
    }
    100
}

#[test]
fn test_ring_reaches_all_in_logarithmic_rounds() {
    for (count, max_rounds) in [(1, 1), (2, 1), (3, 2), (5, 3), (15, 4), (16, 4), (60, 6)] {
        let found = rounds(count, &BTreeSet::new());
        assert!(
            found <= max_rounds,
            "{count} directories took {found} rounds"
        );
    }
}

#[test]
fn test_ring_reaches_all_despite_failed_peers() {
    for (count, dead) in [
        (5, vec![0]),
        (15, vec![3, 4, 9]),
        (16, vec![0, 1, 2, 3, 4, 5, 6, 7]),
        (60, (20..40).collect()),
    ] {
        let dead: BTreeSet<usize> = dead.into_iter().collect();
        let found = rounds(count, &dead);
        // One turn of eight retries a dead one.
        assert!(found <= 8, "{count} directories took {found} rounds");
    }
}

#[test]
fn test_ring_retries_failed_peers() {
    let mut ring = ring(0, 5);
    for dead in 1..4 {
        ring.record(address(dead), false);
    }
    let asked: BTreeSet<SocketAddr> = (0..RETRY_TURNS * 3)
        .filter_map(|_| ring.next_peer())
        .collect();
    assert_eq!(asked.len(), 4);
    for dead in 1..5 {
        ring.record(address(dead), false);
    }
    let asked: BTreeSet<SocketAddr> = (0..RETRY_TURNS).filter_map(|_| ring.next_peer()).collect();
    assert_eq!(asked.len(), 4, "all are polled when none answers");
}

quickcheck! {
    fn test_ring_never_asks_itself(me: u8, count: u8, failing: Vec<u8>, turns: u8) -> bool {
        let count = usize::from(count % 70) + 1;
        let me = usize::from(me) % count;
        let mut ring = ring(me, count);
        for i in failing.iter().map(|i| usize::from(*i) % count).filter(|i| *i != me) {
            ring.record(address(i), false);
        }
        (0..turns).all(|_| ring.next_peer() != Some(address(me))) && (ring.next_peer().is_some() == (count > 1))
    }
}
