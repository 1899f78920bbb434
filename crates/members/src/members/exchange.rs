//! Messages of the exchanges with other directories: building and merging them.

use base::prelude::*;

use crate::gossip;
use crate::homes::HomeStatus;
use crate::homes::Location;
use crate::members::Members;
use crate::partition::Delta;

impl Members {
    /// Digest of the known homes and their positions.
    #[must_use]
    pub fn digest(&self) -> u64 {
        gossip::digest(&self.homes)
    }

    /// Encoded age of each home, one byte each.
    #[must_use]
    pub fn ages(&self, now: Moment) -> Vec<u8> {
        gossip::ages(&self.homes, &self.me, now)
    }

    /// Position and age of each home.
    #[must_use]
    pub fn statuses(&self, now: Moment) -> Vec<HomeStatus> {
        gossip::statuses(&self.homes, &self.me, now)
    }

    /// The deltas that the sender of `statuses` lacks.
    #[must_use]
    pub fn deltas(&self, statuses: &[HomeStatus]) -> Vec<(HostName, Delta)> {
        let mut found = Vec::new();
        for (name, home) in self.homes.iter() {
            let theirs = statuses.iter().find(|s| s.home == *name);
            let theirs = theirs.map(|s| (s.epoch, s.cursor)).unwrap_or_default();
            if home.partition.position() <= theirs {
                continue;
            }
            let same = home.partition.epoch() == theirs.0;
            let cursor = if same { theirs.1 } else { 0 };
            if let Some(delta) = home.partition.delta_since(cursor) {
                found.push((name.clone(), delta));
            }
        }
        found
    }

    /// Merges a peer's delta of `home`, pushed or pulled.
    pub fn merge_delta(&mut self, home: &HostName, location: Location, delta: &Delta) {
        if *home == self.me {
            return;
        }
        self.homes.get_or_insert(home, location, self.last_sweep);
        let touched = self.homes.merge(home, delta, self.last_sweep);
        self.refresh_all(&touched);
    }

    /// Merges the ages of a reply to a request sent at `sent`.
    ///
    /// They are ignored unless the digests are equal: only then do the bytes refer to the same
    /// homes at the same positions.
    pub fn merge_ages(&mut self, digest: u64, ages: &[u8], sent: Moment) {
        if digest != self.digest() {
            return;
        }
        let names: Vec<HostName> = self.homes.iter().map(|(name, _)| name.clone()).collect();
        for (name, byte) in names.iter().zip(ages) {
            if let Some(age) = gossip::decode_age(*byte) {
                self.mark_alive(name, sent.before(age));
            }
        }
    }

    /// Merges the statuses of a reply to a request sent at `sent`; its deltas must come first.
    pub fn merge_statuses(&mut self, statuses: &[HomeStatus], sent: Moment) {
        for status in statuses {
            let position = (status.epoch, status.cursor);
            if status.home == self.me {
                self.restart_after(position);
                continue;
            }
            let age = status.age.filter(|age| *age < self.limits.retention / 2);
            let Some(age) = age else { continue };
            let location = status.location.clone();
            let home = self
                .homes
                .get_or_insert(&status.home, location, self.last_sweep);
            home.location = status.location.clone();
            let known = home.partition.position();
            if known.0 == position.0 && known >= position {
                self.mark_alive(&status.home, sent.before(age));
            }
        }
    }

    /// Starts a new epoch when a peer reports a later position of this home than its own.
    fn restart_after(&mut self, position: (u64, u64)) {
        if position > self.own_position() {
            self.own_mut().restart(position.0);
        }
    }

    fn mark_alive(&mut self, home: &HostName, moment: Moment) {
        if *home == self.me {
            return;
        }
        let stale = self.last_sweep.since(moment) > self.limits.home_lease;
        if stale {
            return;
        }
        let restored = self.homes.mark_alive(home, moment);
        self.refresh_all(&restored);
    }
}
