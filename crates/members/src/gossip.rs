//! What directories say to each other about the homes, kept short.
//!
//! Two directories that know the same homes at the same points have equal
//! [`digest`]s; then one byte a home tells its age. Only where digests differ
//! are points sent in full, and then the deltas that the other lacks.

use std::time::Duration;

use base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::homes::Home;
use crate::homes::Homes;
use crate::homes::Vouch;

/// Unit of an age in one byte.
pub const AGE_STEP: Duration = Duration::from_millis(20);
/// The byte of an age that is unknown or over 254 steps.
pub const AGE_UNKNOWN: u8 = u8::MAX;

/// A digest of the known homes and their points.
#[must_use]
pub fn digest(homes: &Homes) -> u64 {
    let mut hash = Xxh3::new();
    for (name, home) in homes.iter() {
        let (epoch, cursor) = home.partition.point();
        hash.update(name.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(&epoch.to_le_bytes());
        hash.update(&cursor.to_le_bytes());
    }
    hash.digest()
}

/// The age of each home, sorted by name, in steps rounded up.
#[must_use]
pub fn ages(homes: &Homes, me: &HostName, now: Moment) -> Vec<u8> {
    let age = |name: &HostName, vouched: Option<Moment>| {
        if name == me {
            return 0;
        }
        vouched.map_or(AGE_UNKNOWN, |moment| steps(now.since(moment)))
    };
    homes.iter().map(|(n, h)| age(n, h.vouched)).collect()
}

/// The age that a byte stands for.
#[must_use]
pub fn age_of(byte: u8) -> Option<Duration> {
    (byte != AGE_UNKNOWN).then(|| AGE_STEP * u32::from(byte))
}

/// Each home's point and age in full.
///
/// A home that was never vouched for is told too: it may be the listener itself,
/// which must learn of a later point of its own.
#[must_use]
pub fn vouches(homes: &Homes, me: &HostName, now: Moment) -> Vec<Vouch> {
    let vouch = |(name, home): (&HostName, &Home)| {
        let (epoch, cursor) = home.partition.point();
        let vouched = if name == me { Some(now) } else { home.vouched };
        Vouch {
            home: name.clone(),
            place: home.place.clone(),
            epoch,
            cursor,
            age: vouched.map(|moment| now.since(moment)),
        }
    };
    homes.iter().map(vouch).collect()
}

fn steps(age: Duration) -> u8 {
    let steps = age.as_millis().div_ceil(AGE_STEP.as_millis());
    u8::try_from(steps).unwrap_or(AGE_UNKNOWN)
}
