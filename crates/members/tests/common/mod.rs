//! Makers of records and directories.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use members::Host;
use members::HostPhase;
use members::Instance;
use members::Key;
use members::Limits;
use members::Members;
use members::Phase;
use members::Record;
use members::homes::Place;

/// The service of all instances here.
pub const SERVICE: &str = "grants";

/// An instance.
pub fn instance(id: &str, phase: Phase, incarnation: u64, sequence: u64) -> Instance {
    Instance {
        service: ServiceName::new(SERVICE).expect("a name"),
        id: InstanceId::new(id).expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: DomainName::new("milano").expect("a name"),
        slots: 6,
        connections: 250,
        phase,
        incarnation,
        sequence,
    }
}

/// A host.
pub fn host(name: &str, phase: HostPhase, sequence: u64) -> Host {
    Host {
        host: HostName::new(name).expect("a name"),
        domain: DomainName::new("milano").expect("a name"),
        gateway: SocketAddr::from(([127, 0, 0, 1], 80)),
        phase,
        incarnation: 1,
        sequence,
        version: 1,
    }
}

/// The key of an instance.
pub fn key(id: &str) -> Key {
    Record::Instance(instance(id, Phase::Ready, 0, 0)).key()
}

/// A directory that starts at `now`.
pub fn directory(name: &str, epoch: u64, now: Moment) -> Members {
    let place = Place {
        domain: DomainName::new("milano").expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    let name = HostName::new(name).expect("a name");
    Members::new(name, place, epoch, Limits::default(), now)
}

/// The moment so many milliseconds after the origin.
pub fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// So many milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What the view says of an instance.
pub fn phase(members: &Members, id: &str) -> Option<Phase> {
    match members.instances().get(&key(id)) {
        Some(Record::Instance(i)) => Some(i.phase),
        _ => None,
    }
}

/// `asker` asks `peer` in full; the request left at `sent`, and the answer, made at `made`, is taken now.
pub fn pull(asker: &mut Members, peer: &mut Members, sent: Moment, made: Moment) {
    let place = peer.place().clone();
    let deltas = peer.deltas(&asker.vouches(made));
    let vouches = peer.vouches(made);
    for (home, delta) in &deltas {
        asker.merge_delta(home, place.clone(), delta);
    }
    asker.merge_vouches(&vouches, sent);
}

/// `home` pushes all of its own table to `peer`.
pub fn push(home: &Members, peer: &mut Members) {
    if let Some(delta) = home.own_since(0) {
        peer.merge_delta(home.me(), home.place().clone(), &delta);
    }
}

/// Sweeps at each 100 ms up to `until`.
pub fn sweep(members: &mut Members, from: u64, until: u64) {
    for step in (from..=until).step_by(100) {
        members.sweep(at(step));
    }
}
