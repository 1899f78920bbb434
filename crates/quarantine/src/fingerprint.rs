//! What stays the same when a caller sends a request again.
//!
//! The caller's address is part of it: a request of another caller is another one, so that
//! nobody can have somebody else's requests refused.

use std::fmt;
use std::net::IpAddr;

use xxhash_rust::xxh3::Xxh3;

/// Digest of all but the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Head(pub u64);

impl Head {
    /// Of a request of `caller`; `target` is path and query.
    #[must_use]
    pub fn new(caller: IpAddr, method: &str, host: &str, target: &str) -> Self {
        let caller = caller.to_canonical().to_string();
        Self(digest([&*caller, method, host, target]))
    }
}

/// Names a request by its head and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// Of all but the body.
    pub head: Head,
    /// Of the body.
    pub body: u64,
}

impl Fingerprint {
    /// Of a request whose body comes in `parts`, however it was cut into them.
    #[must_use]
    pub fn new<'a>(head: Head, parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(part);
        }
        Self {
            head,
            body: hash.digest(),
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.head.0, self.body)
    }
}

/// Of texts; each one's length counts, so that none runs into the next.
fn digest<const N: usize>(texts: [&str; N]) -> u64 {
    let mut hash = Xxh3::new();
    for text in texts {
        hash.update(&text.len().to_le_bytes());
        hash.update(text.as_bytes());
    }
    hash.digest()
}
