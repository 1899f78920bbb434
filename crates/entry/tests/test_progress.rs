//! Queries for instances to hubs, over random schedules.

use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;
use entry::sync::progress::Progress;
use entry::sync::progress::Role;
use entry::sync::progress::WatchQuery;
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

/// A hub as seen by its watchers.
#[derive(Default)]
struct FakeHub {
    epoch: u64,
    /// Number of log entries that it has applied.
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

    fn answer(&self, asked: &WatchQuery) -> WatchReply {
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
struct Simulation {
    log: Vec<Instance>,
    hubs: Vec<FakeHub>,
    progress: Vec<Progress>,
    instances: Instances,
    applied_index: u64,
    primary: u8,
}

impl Simulation {
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
            applied_index: 0,
            primary: 0,
        }
    }

    fn watch(&mut self, hub: u8) {
        let role = match (self.instances.is_empty(), hub == self.primary) {
            (true, true) => Role::FullList,
            (true, false) => Role::Idle,
            (false, true) => Role::Primary,
            (false, false) => Role::Secondary,
        };
        let progress = &mut self.progress[usize::from(hub)];
        let asked = progress.next_query(role, self.instances.digest(), self.applied_index);
        let reply = self.hubs[usize::from(hub)].answer(&asked);
        let mut instances = reply.instances.clone();
        if !reply.whole.is_empty() {
            instances.extend(registry::unpack(&reply.whole).expect("a list"));
        }
        for instance in &instances {
            self.instances.apply(address(hub), instance);
        }
        for hearing in &reply.heard {
            self.instances.apply_liveness(address(hub), hearing);
        }
        let applied_index = progress.apply(asked.news, &reply);
        self.applied_index = self.applied_index.max(applied_index);
    }

    fn step(&mut self, (kind, hub, id): (u8, u8, u8)) {
        let index = usize::from(hub % HUBS);
        let hub_state = &mut self.hubs[index];
        match kind % 10 {
            // A hub receives a heartbeat before the log has the announcement.
            0 => {
                hub_state.registry.apply(NOW, instance(id, 1, Phase::Ready));
                hub_state
                    .registry
                    .renew_lease(NOW, &instance(id, 1, Phase::Ready));
            }
            1 => self.log.push(instance(id, 1, Phase::Ready)),
            2 => self.log.push(instance(id, 2, Phase::Draining)),
            3 => self.log.push(instance(id, 3, Phase::Gone)),
            // A hub applies more of the log.
            4 | 5 => {
                let index = self
                    .log
                    .len()
                    .min(hub_state.applied + 1 + usize::from(id % 4));
                hub_state.apply(&self.log, index);
            }
            6 => self.primary = hub % HUBS,
            // A hub restarts, at first with part of the log.
            7 => {
                *hub_state = FakeHub {
                    epoch: hub_state.epoch + 10,
                    ..FakeHub::default()
                };
                let index = self.log.len().min(usize::from(id % 4));
                hub_state.apply(&self.log, index);
            }
            _ => self.watch(hub % HUBS),
        }
    }

    /// The phases of the instances known to the process, by id.
    fn phases(&self) -> HashMap<String, Phase> {
        let service = ServiceName::new("status").expect("a name");
        let known = self.instances.of_service(&service);
        known
            .map(|status| (status.upstream.id.to_string(), status.phase))
            .collect()
    }
}

quickcheck! {
    /// Guards against missing an announcement: once each hub has been asked again, every
    /// instance is at least as far as in the log of any hub, whichever hub acknowledged the
    /// announcement, and no instance of that log is missing.
    fn prop_progress_every_hub_is_caught_up_with(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
        }
        for _ in 0..3 {
            for hub in (0..HUBS).rev() {
                simulation.watch(hub);
            }
        }
        if simulation.instances.is_empty() {
            // Another hub would be asked for the list next.
            return simulation.hubs[usize::from(simulation.primary)].registry.all().next().is_none();
        }
        let phases = simulation.phases();
        let newest = simulation.hubs.iter().map(|hub| hub.applied).max().unwrap_or_default();
        let mut known = Registry::default();
        for entry in &simulation.log[..newest] {
            known.apply(NOW, entry.clone());
        }
        let follows = |expected: &Instance| match phases.get(&expected.id) {
            Some(phase) => *phase >= expected.phase(),
            None => expected.phase() == Phase::Gone || simulation.instances.is_removed(&expected.id),
        };
        let mut all = known.all();
        all.all(follows)
    }
}
