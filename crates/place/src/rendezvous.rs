//! Rendezvous hashing: all processes with the same members rank them identically for a key,
//! and adding or removing a member only moves the keys of that member.

use std::cmp::Reverse;

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

/// Position of `own` among `members`, ordered by descending score for `key`; `None` if it isn't
/// one of them.
#[must_use]
pub fn rank<T: AsRef<str>>(key: &str, own: &str, members: &[T]) -> Option<usize> {
    let members = || members.iter().map(AsRef::as_ref);
    if !members().any(|member| member == own) {
        return None;
    }
    let order = |member: &str| (Reverse(score(key, member)), Reverse(member.to_owned()));
    let own = order(own);
    Some(members().filter(|member| order(member) < own).count())
}
