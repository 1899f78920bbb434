//! What goes into exchanges with other directories, and what is taken from them.

use base::prelude::*;

use crate::gossip;
use crate::homes::Place;
use crate::homes::Vouch;
use crate::members::Members;
use crate::partition::Delta;

impl Members {
    /// Digest of the known homes and their points.
    #[must_use]
    pub fn digest(&self) -> u64 {
        gossip::digest(&self.homes)
    }

    /// One byte of age for each home.
    #[must_use]
    pub fn ages(&self, now: Moment) -> Vec<u8> {
        gossip::ages(&self.homes, &self.me, now)
    }

    /// Each home's point and age in full.
    #[must_use]
    pub fn vouches(&self, now: Moment) -> Vec<Vouch> {
        gossip::vouches(&self.homes, &self.me, now)
    }

    /// What a peer lacks that sent `vouches`.
    #[must_use]
    pub fn deltas(&self, vouches: &[Vouch]) -> Vec<(HostName, Delta)> {
        let mut found = Vec::new();
        for (name, home) in self.homes.iter() {
            let theirs = vouches.iter().find(|v| v.home == *name);
            let theirs = theirs.map(|v| (v.epoch, v.cursor)).unwrap_or_default();
            if home.partition.point() <= theirs {
                continue;
            }
            let same = home.partition.epoch() == theirs.0;
            let cursor = if same { theirs.1 } else { 0 };
            if let Some(delta) = home.partition.since(cursor) {
                found.push((name.clone(), delta));
            }
        }
        found
    }

    /// Takes a peer's delta of `home`, whether pushed or asked for.
    pub fn merge_delta(&mut self, home: &HostName, place: Place, delta: &Delta) {
        if *home == self.me {
            return;
        }
        self.homes.learn(home, place, self.swept);
        let touched = self.homes.merge(home, delta, self.swept);
        self.refresh_all(&touched);
    }

    /// Takes the ages of an answer to a request sent at `sent`.
    ///
    /// They count only while this digest is that of the answer, because then the
    /// bytes stand for the same homes at the same points.
    pub fn merge_ages(&mut self, digest: u64, ages: &[u8], sent: Moment) {
        if digest != self.digest() {
            return;
        }
        let names: Vec<HostName> = self.homes.iter().map(|(name, _)| name.clone()).collect();
        for (name, byte) in names.iter().zip(ages) {
            if let Some(age) = gossip::age_of(*byte) {
                self.vouch(name, sent.before(age));
            }
        }
    }

    /// Takes the statements of an answer to a request sent at `sent`, after its deltas.
    pub fn merge_vouches(&mut self, vouches: &[Vouch], sent: Moment) {
        for vouch in vouches {
            let point = (vouch.epoch, vouch.cursor);
            if vouch.home == self.me {
                self.outlive(point);
                continue;
            }
            let age = vouch.age.filter(|age| *age < self.limits.memory / 2);
            let Some(age) = age else { continue };
            let place = vouch.place.clone();
            let home = self.homes.learn(&vouch.home, place, self.swept);
            home.place = vouch.place.clone();
            let known = home.partition.point();
            if known.0 == point.0 && known >= point {
                self.vouch(&vouch.home, sent.before(age));
            }
        }
    }

    /// Begins a new history when a peer remembers a later one of this home.
    fn outlive(&mut self, point: (u64, u64)) {
        if point > self.own_point() {
            self.own_mut().restart(point.0);
        }
    }

    fn vouch(&mut self, home: &HostName, moment: Moment) {
        if *home == self.me {
            return;
        }
        let late = self.swept.since(moment) > self.limits.home_lease;
        if late {
            return;
        }
        let back = self.homes.vouch(home, moment);
        self.refresh_all(&back);
    }
}
