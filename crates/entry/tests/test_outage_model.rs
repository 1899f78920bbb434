//! Hubs, their disks and leaders, and entry processes on a simulated clock, with crashes, lost disks,
//! slow disks and frozen hubs at any step.

#[path = "outage/hub.rs"]
mod hub;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use consensus::Acceptance;
use consensus::Change;
use consensus::Config;
use consensus::Event;
use consensus::Message;
use consensus::ReplicaId;
use consensus::Stored;
use control::currency::LogReport;
use entry::sync::trust::Trust;
use entry::sync::trust::Verdict;
use hub::Hub;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

const HUBS: usize = 6;
const ENTRIES: usize = 3;
/// Disks that may be lost until all hubs vote again.
const MAX_WIPED: usize = 2;
const STEP: Duration = Duration::from_millis(2);
/// Time of one message.
const LATENCY: Duration = Duration::from_millis(1);
/// Interval at which an entry process hears a hub, and a hub asks for the logs of the others.
const POLL: Duration = Duration::from_millis(20);
const ASK: Duration = Duration::from_millis(50);
/// Interval at which the leader lets hubs join that have lost their disk.
const JOIN: Duration = Duration::from_millis(200);
/// Time within which an acknowledged table is in force where nothing is disturbed.
const APPLY: Duration = Duration::from_secs(2);
/// Time without a disturbance of the hubs after which that holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Bound of the refusals after a full outage, beyond the writes: the bound of an election, and the
/// time until the entry processes hear of it.
const BEYOND_WRITES: Duration = Duration::from_millis(1_200);
/// The writes of an election, see the tests of the consensus crate.
const WRITES: u32 = 3;
const SEEDS: u64 = 60;

struct EntryHost {
    started_at: Option<Moment>,
    trust: Trust,
    table: Option<u64>,
    /// Whether requests are let in by the table.
    obeyed: bool,
    next_poll: Moment,
}

struct Report {
    to: usize,
    asked_at: Moment,
    from: SocketAddr,
    log: LogReport,
}

struct World {
    seed: u64,
    rng: SmallRng,
    now: Moment,
    hubs: Vec<Hub>,
    entries: Vec<EntryHost>,
    messages: Vec<(Moment, Message)>,
    reports: Vec<(Moment, Report)>,
    next_version: u64,
    /// The acknowledged versions, and when each was.
    acknowledged: BTreeMap<u64, Moment>,
    /// Hubs that lost their disk and don't vote yet.
    blank: Vec<usize>,
    next_join: Moment,
    /// Since when a majority of the hosts has run all the time.
    majority_since: Option<Moment>,
    /// Since when all hubs with a disk have run all the time.
    whole_since: Option<Moment>,
    /// How long an acknowledged table was missed by an entry process at most.
    worst: Duration,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let write_time =
            Duration::from_millis(*[1, 5, 50, 250, 400].choose(&mut rng).expect("one"));
        let hubs = (0..HUBS).map(|number| {
            let last = u8::try_from(number).expect("small");
            let id = ReplicaId(rng.random());
            Hub::new(([127, 0, 0, last], 7010).into(), id, write_time)
        });
        let mut hubs: Vec<Hub> = hubs.collect();
        let config = Config::of_voters(hubs.iter().map(Hub::member), Acceptance::Majority);
        for hub in &mut hubs {
            hub.disk = Stored::founding(hub.id, config.clone());
            hub.start(rng.random(), Moment::ZERO);
        }
        let entry = |_| EntryHost {
            started_at: Some(Moment::ZERO),
            trust: Trust::default(),
            table: None,
            obeyed: false,
            next_poll: Moment::ZERO,
        };
        Self {
            seed,
            rng,
            now: Moment::ZERO,
            hubs,
            entries: (0..ENTRIES).map(entry).collect(),
            messages: Vec::new(),
            reports: Vec::new(),
            next_version: 1,
            acknowledged: BTreeMap::new(),
            blank: Vec::new(),
            next_join: Moment::ZERO,
            majority_since: None,
            whole_since: None,
            worst: Duration::ZERO,
        }
    }

    fn run(&mut self, duration: Duration, faults: bool) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            if faults {
                self.disturb();
            }
            self.deliver();
            for at in 0..HUBS {
                self.advance_hub(at);
            }
            self.join();
            for at in 0..ENTRIES {
                self.advance_entry(at);
            }
            self.observe();
        }
    }

    fn send(&mut self, sent: Vec<Message>) {
        let due = self.now + LATENCY;
        self.messages
            .extend(sent.into_iter().map(|message| (due, message)));
    }

    fn record(&mut self, accepted: Vec<u64>) {
        for version in accepted {
            self.acknowledged.entry(version).or_insert(self.now);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.messages = later;
        for (_, message) in due {
            let receiver = self.hubs.iter_mut().find(|hub| hub.id == message.to);
            let Some(hub) = receiver.filter(|hub| hub.is_running(now)) else {
                continue;
            };
            let mut sent = Vec::new();
            let accepted = hub.step(now, Event::Message(message), &mut sent);
            self.send(sent);
            self.record(accepted);
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.reports = later;
        for (_, report) in due {
            self.hubs[report.to].record(report.asked_at, report.from, report.log);
        }
    }

    fn advance_hub(&mut self, at: usize) {
        let now = self.now;
        if !self.hubs[at].is_running(now) {
            return;
        }
        let mut sent = Vec::new();
        let accepted = self.hubs[at].advance(now, &mut sent);
        if now >= self.hubs[at].next_ask {
            self.hubs[at].next_ask = now + ASK;
            self.hubs[at].read(now, &mut sent);
            for other in (0..HUBS).filter(|other| *other != at) {
                if self.hubs[other].is_running(now) {
                    let report = Report {
                        to: at,
                        asked_at: now,
                        from: self.hubs[other].address,
                        log: self.hubs[other].report(),
                    };
                    self.reports.push((now + LATENCY * 2, report));
                }
            }
        }
        self.send(sent);
        self.record(accepted);
    }

    /// The leader takes in a hub that lost its disk, in the place of its former self.
    fn join(&mut self) {
        if self.now < self.next_join {
            return;
        }
        self.next_join = self.now + JOIN;
        let now = self.now;
        let Some(leader) =
            (0..HUBS).find(|at| self.hubs[*at].is_leader() && self.hubs[*at].is_running(now))
        else {
            return;
        };
        let config = self.hubs[leader].config();
        let hubs = &self.hubs;
        self.blank.retain(|at| !config.is_voter(hubs[*at].id));
        // Each of them asks by itself.
        let waiting = self.blank.iter().copied();
        let waiting: Vec<usize> = waiting
            .filter(|at| self.hubs[*at].is_running(now))
            .collect();
        let Some(at) = waiting.choose(&mut self.rng).copied() else {
            return;
        };
        let member = self.hubs[at].member();
        let former = config
            .members()
            .find(|voter| voter.address == member.address && voter.id != member.id);
        let change = former.map_or_else(|| Change::Add(member), |former| Change::Remove(former.id));
        let mut sent = Vec::new();
        self.hubs[leader].change(change, now, &mut sent);
        self.send(sent);
    }

    fn advance_entry(&mut self, at: usize) {
        let now = self.now;
        let entry = &mut self.entries[at];
        if entry.started_at.is_none() || now < entry.next_poll {
            return;
        }
        entry.next_poll = now + POLL;
        for hub in &mut self.hubs {
            if !hub.is_running(now) {
                entry.trust.forget(hub.address);
                continue;
            }
            if entry.trust.known(hub.address).is_some() {
                let currency = hub.currency(now);
                entry.trust.record(hub.address, currency, hub.table);
            }
            if let Some(version) = entry.table {
                if entry.trust.must_withhold(version) {
                    entry.obeyed = false;
                } else if entry.trust.verdict(version) != Verdict::Withheld {
                    entry.obeyed = true;
                }
            }
            if let Some(version) = hub.table
                && hub.table > entry.table
                && entry.trust.verdict(version) != Verdict::Withheld
            {
                entry.table = Some(version);
                entry.obeyed = true;
            }
        }
    }

    /// Checks the state after a step.
    fn observe(&mut self) {
        let now = self.now;
        let running = self.hubs.iter().filter(|hub| hub.is_running(now)).count();
        let since = |holds: bool, before: Option<Moment>| holds.then(|| before.unwrap_or(now));
        self.majority_since = since(running * 2 > HUBS, self.majority_since);
        let whole = (0..HUBS).all(|at| self.blank.contains(&at) || self.hubs[at].is_running(now));
        self.whole_since = since(whole, self.whole_since);
        let Some((newest, acknowledged_at)) = self.acknowledged.last_key_value() else {
            return;
        };
        let write_time = self.hubs[0].write_time;
        let bound = write_time * WRITES + BEYOND_WRITES;
        for entry in &self.entries {
            let Some(started_at) = entry.started_at else {
                continue;
            };
            let is_newest = entry.table >= Some(*newest);
            let is_stable = self
                .majority_since
                .is_some_and(|at| now.since(at) >= CONTACT);
            let is_late = now.since(*acknowledged_at) >= APPLY;
            assert!(
                is_newest || !entry.obeyed || !is_stable || !is_late,
                "seed {}, {now:?}: table {:?} is obeyed, {newest} was acknowledged",
                self.seed,
                entry.table
            );
            let calm = self
                .whole_since
                .map(|at| at.max(started_at).max(*acknowledged_at));
            if let Some(calm) = calm
                && !(is_newest && entry.obeyed)
            {
                self.worst = self.worst.max(now.since(calm));
                assert!(
                    now.since(calm) < bound,
                    "seed {}, {now:?}: table {:?}, obeyed {}, {newest} was acknowledged; all hubs run since {calm:?}: {}",
                    self.seed,
                    entry.table,
                    entry.obeyed,
                    self.states()
                );
            }
        }
    }

    fn states(&self) -> String {
        let state = |hub: &Hub| match &hub.node {
            Some(node) => format!("{:?} {:?}; ", node.status(), hub.table),
            None => "down; ".to_owned(),
        };
        self.hubs.iter().map(state).collect()
    }

    fn disturb(&mut self) {
        match self.rng.random_range(0..4_000) {
            0..40 => self.put(),
            40..44 => {
                let at = self.rng.random_range(0..HUBS);
                self.crash(at);
            }
            44..48 => {
                let at = self.rng.random_range(0..HUBS);
                self.hubs[at].paused_until = self.now + self.random_time(3_000);
            }
            48 => self.outage(),
            49 => self.wipe(),
            50..60 => {
                let at = self.rng.random_range(0..ENTRIES);
                self.entries[at].started_at = None;
            }
            60..64 => {
                let at = self.rng.random_range(0..HUBS);
                let mut sent = Vec::new();
                self.hubs[at].compact(self.now, &mut sent);
                self.send(sent);
            }
            64..84 => self.restart_some(),
            _ => {}
        }
    }

    fn random_time(&mut self, max_millis: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..max_millis))
    }

    /// Proposes a table at the leader; the power may go with its acknowledgement.
    fn put(&mut self) {
        let now = self.now;
        let Some(leader) =
            (0..HUBS).find(|at| self.hubs[*at].is_leader() && self.hubs[*at].is_running(now))
        else {
            return;
        };
        let version = self.next_version;
        self.next_version += 1;
        let mut sent = Vec::new();
        self.hubs[leader].propose(version, now, &mut sent);
        self.send(sent);
        if self.rng.random_bool(0.1) {
            self.run_until_acknowledged(version);
            self.outage();
        }
    }

    fn run_until_acknowledged(&mut self, version: u64) {
        let end = self.now + Duration::from_secs(2);
        while !self.acknowledged.contains_key(&version) && self.now < end {
            self.run(STEP, false);
        }
    }

    fn crash(&mut self, at: usize) {
        let parts = self.rng.random_range(0..8);
        self.hubs[at].crash(parts);
    }

    /// All power goes, and some disks; what is left comes back within 300 ms, one hub maybe late.
    fn outage(&mut self) {
        for at in 0..HUBS {
            self.crash(at);
        }
        self.messages.clear();
        self.reports.clear();
        for entry in &mut self.entries {
            entry.started_at = None;
        }
        for _ in 0..self.rng.random_range(0..=MAX_WIPED) {
            self.wipe();
        }
        let mut order: Vec<usize> = (0..HUBS).collect();
        order.shuffle(&mut self.rng);
        for at in order {
            let delay = self.random_time(50);
            self.run(delay, false);
            self.start(at);
        }
        if self.rng.random() {
            let at = self.rng.random_range(0..HUBS);
            self.hubs[at].paused_until = self.now + self.random_time(8_000);
        }
        for at in 0..ENTRIES {
            self.start_entry(at);
        }
    }

    /// A hub loses its disk, and is a new one at the same address.
    fn wipe(&mut self) {
        if self.blank.len() >= MAX_WIPED {
            return;
        }
        let at = self.rng.random_range(0..HUBS);
        if self.blank.contains(&at) {
            return;
        }
        // The hub may be back before the next check, and a candidate until then.
        self.whole_since = None;
        let was_running = self.hubs[at].node.is_some();
        self.crash(at);
        self.blank.push(at);
        let (address, write_time) = (self.hubs[at].address, self.hubs[at].write_time);
        let id = ReplicaId(self.rng.random());
        self.hubs[at] = Hub::new(address, id, write_time);
        if was_running {
            self.start(at);
        }
    }

    fn start(&mut self, at: usize) {
        if self.hubs[at].node.is_none() {
            let seed = self.rng.random();
            let now = self.now;
            self.hubs[at].start(seed, now);
        }
    }

    fn start_entry(&mut self, at: usize) {
        if self.entries[at].started_at.is_none() {
            self.entries[at] = EntryHost {
                started_at: Some(self.now),
                trust: Trust::default(),
                table: None,
                obeyed: false,
                next_poll: self.now,
            };
        }
    }

    fn restart_some(&mut self) {
        for at in 0..HUBS {
            if self.rng.random() {
                self.start(at);
            }
        }
        for at in 0..ENTRIES {
            if self.rng.random() {
                self.start_entry(at);
            }
        }
    }

    /// Ends all faults, and checks that what was acknowledged is in force everywhere.
    fn heal(&mut self) {
        for at in 0..HUBS {
            self.hubs[at].paused_until = self.now;
            self.start(at);
        }
        for at in 0..ENTRIES {
            self.start_entry(at);
        }
        let write_time = self.hubs[0].write_time;
        self.run(Duration::from_secs(10) + write_time * 20, false);
        let newest = self
            .acknowledged
            .last_key_value()
            .map(|(version, _)| *version);
        for entry in &self.entries {
            assert!(
                entry.obeyed && entry.table >= newest,
                "seed {}: {:?}",
                self.seed,
                entry.table
            );
        }
        for hub in &self.hubs {
            assert!(hub.table >= newest, "seed {}: {}", self.seed, self.states());
        }
    }
}

/// Guards against an acknowledged table that is lost, an older one that is obeyed although the hubs
/// run, and refusals that last longer than an election.
#[test]
fn test_outage_model_acknowledged_tables_are_kept_and_obeyed() {
    let seeds = std::env::var("OUTAGE_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let mut worst = Duration::ZERO;
    let mut count = 0;
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let mut world = World::new(seed);
        world.run(
            Duration::from_secs(3) + world.hubs[0].write_time * 10,
            false,
        );
        world.put();
        world.run(Duration::from_secs(30), true);
        world.heal();
        worst = worst.max(world.worst);
        count += world.acknowledged.len();
    }
    println!("{count} tables acknowledged, missed for {worst:?} at most");
    assert!(count > 100, "{count}");
}
