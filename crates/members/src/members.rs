//! The membership of one directory: its own leases, the known homes and the merged view.

mod exchange;

use std::collections::BTreeSet;
use std::time::Duration;

use base::prelude::*;

use crate::floor::Floor;
use crate::floor::Floors;
use crate::homes::Home;
use crate::homes::Homes;
use crate::homes::Location;
use crate::lease::Accepted;
use crate::lease::AnnounceError;
use crate::lease::Leases;
use crate::partition::Delta;
use crate::partition::Partition;
use crate::record::Host;
use crate::record::Instance;
use crate::record::Key;
use crate::record::Rank;
use crate::record::Record;

/// Timeouts and bounds of the membership.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Lease of an instance or host that announces itself to this directory.
    pub lease: Duration,
    /// How long a home counts after it was last seen alive.
    pub home_lease: Duration,
    /// How long ended leases and dead homes are retained.
    pub retention: Duration,
    /// A longer gap between two sweeps means that this process was suspended.
    pub max_sweep_gap: Duration,
    /// Maximum number of records that this directory leases.
    pub max_records: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1500),
            home_lease: Duration::from_secs(3),
            retention: Duration::from_mins(1),
            max_sweep_gap: Duration::from_secs(1),
            max_records: 8192,
        }
    }
}

/// Result of [`Members::sweep`].
#[derive(Clone, Debug, Default)]
pub struct SweepResult {
    /// Own leases that expired.
    pub leases: Vec<Key>,
    /// Homes that were deactivated.
    pub homes: Vec<HostName>,
    /// Whether nothing was expired because this process had been suspended.
    pub paused: bool,
}

/// The membership as one directory knows it.
///
/// Invariant: `instances` and `hosts` contain exactly the live records of `homes`.
#[derive(Clone, Debug)]
pub struct Members {
    me: HostName,
    location: Location,
    limits: Limits,
    leases: Leases,
    homes: Homes,
    floors: Floors,
    instances: Partition,
    hosts: Partition,
    last_sweep: Moment,
    /// Nothing expires before this moment; set after the process was suspended.
    grace_until: Moment,
}

impl Members {
    /// Creates a membership with only this directory as a home.
    ///
    /// `epoch` should be greater than those of earlier starts; it is raised when a peer reports
    /// a later position of this home.
    #[must_use]
    pub fn new(me: HostName, location: Location, epoch: u64, limits: Limits, now: Moment) -> Self {
        let mut homes = Homes::default();
        let home = homes.get_or_insert(&me, location.clone(), now);
        home.partition = Partition::new(epoch);
        home.alive = true;
        Self {
            me,
            location,
            limits,
            leases: Leases::default(),
            homes,
            floors: Floors::default(),
            instances: Partition::new(epoch),
            hosts: Partition::new(epoch),
            last_sweep: now,
            grace_until: now,
        }
    }

    /// Accepts an instance's announcement.
    ///
    /// # Errors
    ///
    /// Fails when a newer one was received, its incarnation is gone, or the table is full.
    pub fn announce(&mut self, instance: Instance, now: Moment) -> Result<Accepted, AnnounceError> {
        self.accept(Record::Instance(instance), now)
    }

    /// Accepts a gateway's description of its host.
    ///
    /// # Errors
    ///
    /// Fails when a newer one was received or the table is full.
    pub fn announce_host(&mut self, host: Host, now: Moment) -> Result<Accepted, AnnounceError> {
        self.accept(Record::Host(host), now)
    }

    fn accept(&mut self, record: Record, now: Moment) -> Result<Accepted, AnnounceError> {
        let key = record.key();
        if self.is_duplicate(&key, &record)? {
            return Ok(Accepted::Repeated);
        }
        let known = self.leases.rank(&key).is_some();
        if !known && self.leases.len() >= self.limits.max_records {
            return Err(AnnounceError::Full(self.limits.max_records));
        }
        self.leases.renew(key.clone(), record.rank(), now);
        if !self.is_change(&key, &record) {
            return Ok(Accepted::Renewed);
        }
        self.own_mut().put(record);
        self.refresh(&key);
        Ok(Accepted::Changed)
    }

    /// Checks the rank; returns whether the announcement is a duplicate.
    fn is_duplicate(&self, key: &Key, record: &Record) -> Result<bool, AnnounceError> {
        let rank = record.rank();
        let best = self.homes.highest_ranked(key);
        let received = self.leases.rank(key);
        let Some(known) = received.max(best.map(Record::rank)) else {
            return self.check_floor(key, rank).map(|()| false);
        };
        let already_gone = known.gone && rank.gone && known.incarnation == rank.incarnation;
        let duplicate = received == Some(rank) && rank == known && self.leases.is_live(key);
        if already_gone || duplicate {
            return Ok(true);
        }
        self.check_floor(key, rank)?;
        let expired_here = received == Some(rank);
        let conflicting = best.is_some_and(|b| b.rank() == rank && !b.eq_ignoring_sequence(record));
        if rank < known || expired_here || conflicting {
            return Err(AnnounceError::Older(known));
        }
        Ok(false)
    }

    /// Refuses ranks below the floor, which the view would not show.
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

    /// Whether the record differs from the view or from this home's record.
    ///
    /// Each home publishes every change itself, so that no outdated record becomes visible when
    /// the lease at another home ends.
    fn is_change(&self, key: &Key, record: &Record) -> bool {
        let published = self
            .own_record(key)
            .is_some_and(|r| r.eq_ignoring_sequence(record));
        let visible = self
            .view(key)
            .is_some_and(|r| r.eq_ignoring_sequence(record));
        !(published && visible)
    }

    /// Expires leases and homes.
    pub fn sweep(&mut self, now: Moment) -> SweepResult {
        let mut result = SweepResult::default();
        if now.since(self.last_sweep) > self.limits.max_sweep_gap {
            self.grace_until = now + self.limits.max_sweep_gap;
        }
        self.last_sweep = now;
        if now < self.grace_until {
            result.paused = true;
            return result;
        }
        result.leases = self.leases.expire(self.limits.lease, now);
        for key in &result.leases {
            self.own_mut().remove(key);
            self.refresh(key);
        }
        for key in self.leases.forget(self.limits.retention, now) {
            self.own_mut().remove(&key);
            self.refresh(&key);
        }
        let expired = self.homes.expire(&self.me, self.limits.home_lease, now);
        self.refresh_all(&expired.keys);
        result.homes = expired.homes;
        let forgotten = self.homes.forget(&self.me, self.limits.retention, now);
        self.refresh_all(&forgotten);
        let homes = &self.homes;
        let known = |key: &Key| homes.highest_ranked(key).is_some();
        self.floors.forget(self.limits.retention, now, known);
        result
    }

    /// Name of this directory.
    #[must_use]
    pub fn me(&self) -> &HostName {
        &self.me
    }

    /// Where this directory takes announcements.
    #[must_use]
    pub fn location(&self) -> &Location {
        &self.location
    }

    /// Epoch and cursor of this directory's own partition.
    #[must_use]
    pub fn own_position(&self) -> (u64, u64) {
        let own = self.homes.get(&self.me);
        own.map(|home| home.partition.position())
            .unwrap_or_default()
    }

    /// The delta for a copy of the own partition at `cursor` of the same epoch.
    #[must_use]
    pub fn own_delta(&self, cursor: u64) -> Option<Delta> {
        self.homes.get(&self.me)?.partition.delta_since(cursor)
    }

    /// The live instances.
    #[must_use]
    pub fn instances(&self) -> &Partition {
        &self.instances
    }

    /// The live hosts.
    #[must_use]
    pub fn hosts(&self) -> &Partition {
        &self.hosts
    }

    /// The known homes, this directory included.
    #[must_use]
    pub fn homes(&self) -> &Homes {
        &self.homes
    }

    /// Time since `key` was last known to be alive, by the most recent evidence of any home.
    #[must_use]
    pub fn age(&self, key: &Key, now: Moment) -> Option<Duration> {
        let own = self.leases.last_heartbeat(key);
        let holds = |home: &&Home| home.alive && home.partition.get(key).is_some();
        let others = self.homes.iter().map(|(_, home)| home).filter(holds);
        let last_seen = others.filter_map(|home| home.last_seen).max();
        own.max(last_seen).map(|moment| now.since(moment))
    }

    fn own_mut(&mut self) -> &mut Partition {
        let location = self.location.clone();
        let home = self
            .homes
            .get_or_insert(&self.me, location, self.last_sweep);
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

    /// The record to show: the one with the highest rank, unless it is below the floor, gone,
    /// or without a lease at a live home.
    fn visible_record(&mut self, key: &Key) -> Option<Record> {
        let best = self.homes.highest_ranked(key)?.clone();
        let rank = Floor::from(best.rank());
        let floor = self.floors.raise(key, rank, self.last_sweep);
        let shown = rank == floor && !floor.gone;
        let leased = shown && self.homes.has_lease(key, floor.incarnation);
        leased.then_some(best)
    }

    /// Updates the view of `key` from the homes.
    fn refresh(&mut self, key: &Key) {
        let visible_record = self.visible_record(key);
        let view = match key {
            Key::Instance(..) => &mut self.instances,
            Key::Host(_) => &mut self.hosts,
        };
        match visible_record {
            None => view.remove(key),
            Some(record)
                if view
                    .get(key)
                    .is_some_and(|r| r.eq_ignoring_sequence(&record)) => {}
            Some(record) => view.put(record),
        }
    }
}
