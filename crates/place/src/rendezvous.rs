//! Rendezvous hashing: all processes with the same members rank them identically for a key,
//! and adding or removing a member only moves the keys of that member.

use xxhash_rust::xxh3::Xxh3;

/// Rank of `member` for `key`; the highest score wins.
#[must_use]
pub fn score(key: &str, member: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(key.as_bytes());
    hash.update(&[0]);
    hash.update(member.as_bytes());
    hash.digest()
}
