//! Compact encoding of the homes' ages for exchanges between directories.
//!
//! Two directories that know the same homes at the same positions have equal [`digest`]s;
//! then one byte per home carries its age. Only when the digests differ are positions sent
//! in full, followed by the deltas that the other side lacks.

use std::time::Duration;

use base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::homes::Home;
use crate::homes::HomeStatus;
use crate::homes::Homes;

/// Unit of an age that is encoded in one byte.
pub const AGE_STEP: Duration = Duration::from_millis(20);
/// Encodes an age that is unknown or exceeds 254 steps.
pub const AGE_UNKNOWN: u8 = u8::MAX;

/// Digest of the known homes and their positions.
#[must_use]
pub fn digest(homes: &Homes) -> u64 {
    let mut hash = Xxh3::new();
    for (name, home) in homes.iter() {
        let (epoch, cursor) = home.partition.position();
        hash.update(name.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(&epoch.to_le_bytes());
        hash.update(&cursor.to_le_bytes());
    }
    hash.digest()
}

/// Encoded age of each home, sorted by name, rounded up to whole steps.
#[must_use]
pub fn ages(homes: &Homes, me: &HostName, now: Moment) -> Vec<u8> {
    let age = |name: &HostName, last_seen: Option<Moment>| {
        if name == me {
            return 0;
        }
        last_seen.map_or(AGE_UNKNOWN, |moment| encode_age(now.since(moment)))
    };
    homes.iter().map(|(n, h)| age(n, h.last_seen)).collect()
}

/// Decodes an age; `None` when it is unknown.
#[must_use]
pub fn decode_age(byte: u8) -> Option<Duration> {
    (byte != AGE_UNKNOWN).then(|| AGE_STEP * u32::from(byte))
}

/// Position and age of each home.
///
/// Includes homes that were never seen alive: the receiver may be that home, restarted, and
/// must learn of a later position of its own.
#[must_use]
pub fn statuses(homes: &Homes, me: &HostName, now: Moment) -> Vec<HomeStatus> {
    let status = |(name, home): (&HostName, &Home)| {
        let (epoch, cursor) = home.partition.position();
        let last_seen = if name == me {
            Some(now)
        } else {
            home.last_seen
        };
        HomeStatus {
            home: name.clone(),
            location: home.location.clone(),
            epoch,
            cursor,
            age: last_seen.map(|moment| now.since(moment)),
        }
    };
    homes.iter().map(status).collect()
}

fn encode_age(age: Duration) -> u8 {
    let steps = age.as_millis().div_ceil(AGE_STEP.as_millis());
    u8::try_from(steps).unwrap_or(AGE_UNKNOWN)
}
