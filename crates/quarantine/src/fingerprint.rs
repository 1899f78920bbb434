//! What stays the same when a request comes again.
//!
//! Where callers have no names, an address is all that tells them apart, and a phone changes it
//! between two tries. So a fingerprint has two parts: what is asked for (host, path
//! and body), and the rest by which one sender's requests are told from another's.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

/// Stands for all senders.
const ALL: u64 = 0;

/// What is known of a request before its body has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Head {
    /// Of host and path.
    pub path: u64,
    /// Of caller, method and query.
    pub sender: u64,
}

impl Head {
    /// Of a request of `caller`; `target` is path and query.
    #[must_use]
    pub fn new(caller: &str, method: &str, host: &str, target: &str) -> Self {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Self {
            path: digest([host, path]),
            sender: digest([caller, method, query]).max(ALL + 1),
        }
    }
}

/// Names a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// Of host and path.
    pub path: u64,
    /// Of the body.
    pub body: u64,
    /// Of caller, method and query; 0 for whatever these are.
    pub sender: u64,
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
            path: head.path,
            body: hash.digest(),
            sender: head.sender,
        }
    }

    /// Whether it stands for all senders.
    #[must_use]
    pub fn is_of_all(self) -> bool {
        self.sender == ALL
    }

    /// The same request of all senders.
    #[must_use]
    pub fn of_all(self) -> Self {
        Self {
            sender: ALL,
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

/// Of texts; each one's length counts, so that none runs into the next.
fn digest<const N: usize>(texts: [&str; N]) -> u64 {
    let mut hash = Xxh3::new();
    for text in texts {
        hash.update(&text.len().to_le_bytes());
        hash.update(text.as_bytes());
    }
    hash.digest()
}
