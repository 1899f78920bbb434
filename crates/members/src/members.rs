//! The whole membership of one directory: its own leases, the homes, the view.

mod exchange;

use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;

use crate::floor::Floor;
use crate::floor::Floors;
use crate::homes::Home;
use crate::homes::Homes;
use crate::homes::Place;
use crate::lease::AnnounceError;
use crate::lease::Heard;
use crate::lease::Leases;
use crate::partition::Delta;
use crate::partition::Partition;
use crate::record::Host;
use crate::record::Instance;
use crate::record::Key;
use crate::record::Rank;
use crate::record::Record;

/// Spans and bounds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Lease of what this directory hears itself.
    pub lease: Duration,
    /// How long a home counts after it was last heard of.
    pub home_lease: Duration,
    /// How long ended leases and silent homes are remembered.
    pub memory: Duration,
    /// A sweep later than this after the one before means that this process stood still.
    pub pause: Duration,
    /// Most records that this directory keeps leases of.
    pub records: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1500),
            home_lease: Duration::from_secs(3),
            memory: Duration::from_mins(1),
            pause: Duration::from_secs(1),
            records: 8192,
        }
    }
}

/// What a sweep ended.
#[derive(Clone, Debug, Default)]
pub struct Swept {
    /// Own leases that ran out.
    pub leases: Vec<Key>,
    /// Homes that count no more.
    pub homes: Vec<HostName>,
    /// This process stood still, so that nothing was ended.
    pub paused: bool,
}

/// Who is there, as one directory knows it.
///
/// Invariant: `instances` and `hosts` hold exactly the living records of `homes`.
#[derive(Clone, Debug)]
pub struct Members {
    me: HostName,
    place: Place,
    limits: Limits,
    leases: Leases,
    homes: Homes,
    floors: Floors,
    instances: Partition,
    hosts: Partition,
    swept: Moment,
    /// Nothing expires before; set after a standstill.
    grace: Moment,
}

impl Members {
    /// Knows only itself; `epoch` must be greater than that of earlier starts
    /// where possible, and is raised when a peer remembers a later one.
    #[must_use]
    pub fn new(me: HostName, place: Place, epoch: u64, limits: Limits, now: Moment) -> Self {
        let mut homes = Homes::default();
        let home = homes.learn(&me, place.clone(), now);
        home.partition = Partition::new(epoch);
        home.alive = true;
        Self {
            me,
            place,
            limits,
            leases: Leases::default(),
            homes,
            floors: Floors::default(),
            instances: Partition::new(epoch),
            hosts: Partition::new(epoch),
            swept: now,
            grace: now,
        }
    }

    /// Takes an instance's announcement.
    ///
    /// # Errors
    ///
    /// Fails when a newer one was heard, its incarnation has left, or there is no room.
    pub fn announce(&mut self, instance: Instance, now: Moment) -> Result<Heard, AnnounceError> {
        self.hear(Record::Instance(instance), now)
    }

    /// Takes a gateway's description of its host.
    ///
    /// # Errors
    ///
    /// Fails when a newer one was heard or there is no room.
    pub fn hear_host(&mut self, host: Host, now: Moment) -> Result<Heard, AnnounceError> {
        self.hear(Record::Host(host), now)
    }

    fn hear(&mut self, record: Record, now: Moment) -> Result<Heard, AnnounceError> {
        let key = record.key();
        if self.is_repeated(&key, &record)? {
            return Ok(Heard::Repeated);
        }
        let known = self.leases.rank(&key).is_some();
        if !known && self.leases.len() >= self.limits.records {
            return Err(AnnounceError::Full(self.limits.records));
        }
        self.leases.renew(key.clone(), record.rank(), now);
        if !self.says_new(&key, &record) {
            return Ok(Heard::Renewed);
        }
        self.own_mut().put(record);
        self.refresh(&key);
        Ok(Heard::Changed)
    }

    /// Checks the order; true when exactly this was heard here before.
    fn is_repeated(&self, key: &Key, record: &Record) -> Result<bool, AnnounceError> {
        let rank = record.rank();
        let best = self.homes.best(key);
        let heard = self.leases.rank(key);
        let Some(known) = heard.max(best.map(Record::rank)) else {
            return self.check_floor(key, rank).map(|()| false);
        };
        let left_before = known.gone && rank.gone && known.incarnation == rank.incarnation;
        let again = heard == Some(rank) && rank == known && self.leases.is_live(key);
        if left_before || again {
            return Ok(true);
        }
        self.check_floor(key, rank)?;
        let ended = heard == Some(rank);
        let differs = best.is_some_and(|b| b.rank() == rank && !b.same(record));
        if rank < known || ended || differs {
            return Err(AnnounceError::Older(known));
        }
        Ok(false)
    }

    /// Refuses what the view would not show.
    fn check_floor(&self, key: &Key, rank: Rank) -> Result<(), AnnounceError> {
        let Some(floor) = self.floors.get(key) else {
            return Ok(());
        };
        if floor.gone && floor.incarnation == rank.incarnation {
            return Err(AnnounceError::Left(rank.incarnation));
        }
        if rank.incarnation < floor.incarnation {
            let known = Rank {
                incarnation: floor.incarnation,
                gone: floor.gone,
                sequence: 0,
            };
            return Err(AnnounceError::Older(known));
        }
        Ok(())
    }

    /// Whether others must learn of it: the view or this home's record says something else.
    ///
    /// Each home tells each change itself, so that the end of another's lease
    /// uncovers nothing that is out of date.
    fn says_new(&self, key: &Key, record: &Record) -> bool {
        let kept = self.own_record(key).is_some_and(|r| r.same(record));
        let seen = self.view(key).is_some_and(|r| r.same(record));
        !(kept && seen)
    }

    /// Ends leases and homes whose time is over.
    pub fn sweep(&mut self, now: Moment) -> Swept {
        let mut swept = Swept::default();
        if now.since(self.swept) > self.limits.pause {
            self.grace = now + self.limits.pause;
        }
        self.swept = now;
        if now < self.grace {
            swept.paused = true;
            return swept;
        }
        swept.leases = self.leases.expire(self.limits.lease, now);
        for key in &swept.leases {
            self.own_mut().remove(key);
            self.refresh(key);
        }
        for key in self.leases.forget(self.limits.memory, now) {
            self.own_mut().remove(&key);
            self.refresh(&key);
        }
        let expired = self.homes.expire(&self.me, self.limits.home_lease, now);
        self.refresh_all(&expired.keys);
        swept.homes = expired.homes;
        let forgotten = self.homes.forget(&self.me, self.limits.memory, now);
        self.refresh_all(&forgotten);
        let homes = &self.homes;
        let known = |key: &Key| homes.best(key).is_some();
        self.floors.forget(self.limits.memory, now, known);
        swept
    }

    /// This directory's name.
    #[must_use]
    pub fn me(&self) -> &HostName {
        &self.me
    }

    /// Where this directory takes announcements.
    #[must_use]
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Epoch and cursor of the table of what this directory keeps the leases of.
    #[must_use]
    pub fn own_point(&self) -> (u64, u64) {
        let own = self.homes.get(&self.me);
        own.map(|home| home.partition.point()).unwrap_or_default()
    }

    /// What a copy of the own table at `cursor` of this epoch lacks.
    #[must_use]
    pub fn own_since(&self, cursor: u64) -> Option<Delta> {
        self.homes.get(&self.me)?.partition.since(cursor)
    }

    /// The living instances, numbered for gateways.
    #[must_use]
    pub fn instances(&self) -> &Partition {
        &self.instances
    }

    /// The living hosts, numbered.
    #[must_use]
    pub fn hosts(&self) -> &Partition {
        &self.hosts
    }

    /// The known homes.
    #[must_use]
    pub fn homes(&self) -> &Homes {
        &self.homes
    }

    /// Time since `key` was certainly there, by the home that heard it last.
    #[must_use]
    pub fn age(&self, key: &Key, now: Moment) -> Option<Duration> {
        let own = self.leases.heard(key);
        let holds = |home: &&Home| home.alive && home.partition.get(key).is_some();
        let others = self.homes.iter().map(|(_, home)| home).filter(holds);
        let vouched = others.filter_map(|home| home.vouched).max();
        own.max(vouched).map(|moment| now.since(moment))
    }

    fn own_mut(&mut self) -> &mut Partition {
        let place = self.place.clone();
        let home = self.homes.learn(&self.me, place, self.swept);
        &mut home.partition
    }

    fn own_record(&self, key: &Key) -> Option<&Record> {
        self.homes.get(&self.me)?.partition.get(key)
    }

    fn view(&self, key: &Key) -> Option<&Record> {
        match key {
            Key::Instance(..) => self.instances.get(key),
            Key::Host(_) => self.hosts.get(key),
        }
    }

    fn refresh_all(&mut self, keys: &BTreeSet<Key>) {
        for key in keys {
            self.refresh(key);
        }
    }

    /// The record to show: the best one, unless it fell below the floor, has
    /// left, or no home that counts keeps its lease.
    fn living(&mut self, key: &Key) -> Option<Record> {
        let best = self.homes.best(key)?.clone();
        let own = Floor::from(best.rank());
        let floor = self.floors.raise(key, own, self.swept);
        let shown = own == floor && !floor.gone;
        let kept = shown && self.homes.keeps(key, floor.incarnation);
        kept.then_some(best)
    }

    /// Brings the view of `key` in line with the homes.
    fn refresh(&mut self, key: &Key) {
        let living = self.living(key);
        let view = match key {
            Key::Instance(..) => &mut self.instances,
            Key::Host(_) => &mut self.hosts,
        };
        match living {
            None => view.remove(key),
            Some(record) if view.get(key).is_some_and(|r| r.same(&record)) => {}
            Some(record) => view.put(record),
        }
    }
}
