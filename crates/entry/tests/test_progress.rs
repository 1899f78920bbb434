//! What hubs are asked for of instances, over random schedules.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;
use entry::sync::progress::Part;
use entry::sync::progress::Progress;
use entry::sync::progress::Question;
use entry::view::Instances;
use quickcheck::quickcheck;
use registry::Registry;
use wire::hub::Instance;
use wire::hub::News;
use wire::hub::Phase;
use wire::hub::WatchReply;

const NOW: Moment = Moment::from_millis(1);
const HUBS: u8 = 3;

fn address(hub: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, hub + 1], 7012))
}

fn instance(id: u8, sequence: u64, phase: Phase) -> Instance {
    Instance {
        id: format!("i-{}", id % 8),
        service: "status".into(),
        address: "127.0.0.1:9000".into(),
        domain: "a".into(),
        slots: 6,
        phase: phase.into(),
        sequence,
        ..Instance::default()
    }
}

/// A hub as its watchers see it.
#[derive(Default)]
struct FakeHub {
    epoch: u64,
    /// Entries of the log that it has applied.
    applied: usize,
    registry: Registry,
}

impl FakeHub {
    /// Applies the log up to `index`.
    fn apply(&mut self, log: &[Instance], index: usize) {
        for entry in &log[self.applied..index] {
            self.registry.apply(NOW, entry.clone());
        }
        self.applied = index;
    }

    fn answer(&self, asked: &Question) -> WatchReply {
        let cursor = if asked.epoch == self.epoch {
            asked.cursor
        } else {
            0
        };
        let registry = &self.registry;
        let mut reply = WatchReply {
            epoch: self.epoch,
            cursor: registry.cursor(),
            digest: registry.digest().total(),
            announced: self.applied as u64,
            ..WatchReply::default()
        };
        let pack = |rows| registry::pack(rows).expect("packs").into();
        match asked.news {
            News::None => reply.cursor = cursor,
            _ if !asked.buckets.is_empty() => {
                reply.whole = pack(registry.differing(&asked.buckets));
                reply.heard = registry.liveness_changed_since(cursor);
            }
            News::Digest => reply.heard = registry.liveness_changed_since(cursor),
            News::Changes | News::Unspecified if cursor == 0 => {
                reply.whole = pack(registry.all_with_liveness());
            }
            News::Changes | News::Unspecified => {
                let news = registry.delta_since(cursor);
                reply.instances = news.instances;
                reply.heard = news.liveness;
            }
        }
        reply
    }
}

/// An entry process, the hubs that it watches, and their log.
struct World {
    log: Vec<Instance>,
    hubs: Vec<FakeHub>,
    progress: Vec<Progress>,
    instances: Instances,
    reached: u64,
    first: u8,
}

impl World {
    fn new() -> Self {
        let hub = |epoch| FakeHub {
            epoch,
            ..FakeHub::default()
        };
        Self {
            log: Vec::new(),
            hubs: (1..=u64::from(HUBS)).map(hub).collect(),
            progress: (0..HUBS).map(|_| Progress::default()).collect(),
            instances: Instances::default(),
            reached: 0,
            first: 0,
        }
    }

    fn watch(&mut self, hub: u8) {
        let part = match (self.instances.is_empty(), hub == self.first) {
            (true, true) => Part::Lists,
            (true, false) => Part::Waits,
            (false, true) => Part::First,
            (false, false) => Part::Other,
        };
        let progress = &mut self.progress[usize::from(hub)];
        let asked = progress.next(part, self.instances.digest(), self.reached);
        let reply = self.hubs[usize::from(hub)].answer(&asked);
        let mut rows = reply.instances.clone();
        if !reply.whole.is_empty() {
            rows.extend(registry::unpack(&reply.whole).expect("a list"));
        }
        for row in &rows {
            self.instances.take(address(hub), row);
        }
        for hearing in &reply.heard {
            self.instances.hear(address(hub), hearing);
        }
        let reached = progress.answered(asked.news, &reply);
        self.reached = self.reached.max(reached);
    }

    fn step(&mut self, (kind, hub, id): (u8, u8, u8)) {
        let index = usize::from(hub % HUBS);
        let fake = &mut self.hubs[index];
        match kind % 10 {
            // Heard by a hub, and not yet in the log.
            0 => {
                fake.registry.apply(NOW, instance(id, 1, Phase::Ready));
                fake.registry
                    .renew_lease(NOW, &instance(id, 1, Phase::Ready));
            }
            1 => self.log.push(instance(id, 1, Phase::Ready)),
            2 => self.log.push(instance(id, 2, Phase::Draining)),
            3 => self.log.push(instance(id, 3, Phase::Gone)),
            // A hub hears more of the log.
            4 | 5 => {
                let index = self.log.len().min(fake.applied + 1 + usize::from(id % 4));
                fake.apply(&self.log, index);
            }
            6 => self.first = hub % HUBS,
            // It starts again, with a part of the log at first.
            7 => {
                *fake = FakeHub {
                    epoch: fake.epoch + 10,
                    ..FakeHub::default()
                };
                let index = self.log.len().min(usize::from(id % 4));
                fake.apply(&self.log, index);
            }
            _ => self.watch(hub % HUBS),
        }
    }

    /// Phases by id, as the process holds them.
    fn held(&self) -> HashMap<String, Phase> {
        let service = ServiceName::new("status").expect("a name");
        let rows = self.instances.of(&service);
        rows.map(|row| (row.upstream.id.to_string(), row.phase))
            .collect()
    }
}

quickcheck! {
    /// Whatever happened, once each hub has been asked twice more no instance counts as
    /// more alive than the log of any hub says: a notice of leaving binds whoever
    /// acknowledged it, the first hub or another one. And all that are ready there are held.
    fn prop_progress_every_hub_is_caught_up_with(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        for _ in 0..3 {
            for hub in (0..HUBS).rev() {
                world.watch(hub);
            }
        }
        if world.instances.is_empty() {
            // Another hub is asked for the list then.
            return world.hubs[usize::from(world.first)].registry.all().next().is_none();
        }
        let held = world.held();
        let newest = world.hubs.iter().map(|hub| hub.applied).max().unwrap_or_default();
        let mut known = Registry::default();
        for entry in &world.log[..newest] {
            known.apply(NOW, entry.clone());
        }
        let follows = |told: &Instance| match held.get(&told.id) {
            Some(phase) => *phase >= told.phase(),
            None => told.phase() == Phase::Gone || world.instances.has_left(&told.id),
        };
        let mut rows = known.all();
        rows.all(follows)
    }
}
