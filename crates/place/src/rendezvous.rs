//! Rendezvous hashing: all that know the same members rank them alike for a key, and one
//! that comes or goes moves only the keys that it had or gets.

use xxhash_rust::xxh3::Xxh3;

/// How high `member` ranks for `key`.
#[must_use]
pub fn score(key: &str, member: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(key.as_bytes());
    hash.update(&[0]);
    hash.update(member.as_bytes());
    hash.digest()
}
