//! Identification of requests that are sent repeatedly.
//!
//! Callers without names are told apart only by their address, which may change between two
//! attempts. A fingerprint therefore has two parts: the requested resource (host, path and body),
//! and the sender (caller, method and query), which may be replaced by all senders.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

// The value of [`Fingerprint::sender`] that stands for all senders.
const ALL_SENDERS: u64 = 0;

/// The part of a fingerprint that is known before the body of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Head {
    /// Hash of host and path.
    pub path: u64,
    /// Hash of caller, method and query.
    pub sender: u64,
}

impl Head {
    /// Hashes the head of a request of `caller`. `target` is path and query.
    #[must_use]
    pub fn new(caller: &str, method: &str, host: &str, target: &str) -> Self {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Self {
            path: digest([host, path]),
            sender: digest([caller, method, query]).max(ALL_SENDERS + 1),
        }
    }
}

/// Identifies a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// Hash of host and path.
    pub path: u64,
    /// Hash of the body.
    pub body: u64,
    /// Hash of caller, method and query, or 0 for all senders.
    pub sender: u64,
}

impl Fingerprint {
    /// Hashes a request whose body consists of `parts`. Only their concatenation matters.
    #[must_use]
    pub fn new<'a>(head: Head, parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(part);
        }
        Self {
            path: head.path,
            body: hash.digest(),
            sender: head.sender,
        }
    }

    /// Whether the fingerprint stands for all senders.
    #[must_use]
    pub fn is_for_all_senders(self) -> bool {
        self.sender == ALL_SENDERS
    }

    /// The fingerprint of the same resource for all senders.
    #[must_use]
    pub fn for_all_senders(self) -> Self {
        Self {
            sender: ALL_SENDERS,
            ..self
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, body, sender } = self;
        write!(f, "{path:016x}-{body:016x}-{sender:016x}")
    }
}

// Hashes the texts with their lengths, so that their boundaries matter.
fn digest<const N: usize>(texts: [&str; N]) -> u64 {
    let mut hash = Xxh3::new();
    for text in texts {
        hash.update(&text.len().to_le_bytes());
        hash.update(text.as_bytes());
    }
    hash.digest()
}
