//! Keys of the ledger's records.

use std::sync::Arc;

use base::name;
use uuid::Uuid;
use uuid::Variant;

/// UUID version that starts with the creation time (RFC 9562).
const TIMED_VERSION: usize = 7;
/// Number of bits after the millisecond timestamp of a version 7 UUID.
const BITS_AFTER_TIMESTAMP: u32 = 80;

/// Separates the parts of a key. Names can't contain it, and it sorts before all characters
/// that they can contain.
const SEPARATOR: char = ' ';

/// The idempotency key of one caller's request to one service.
///
/// The caller is part of the key, so that callers never share a record. The three
/// names are stored as one string to save memory; its order is that of the tuple.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(Arc<str>);

impl Key {
    /// Builds a key, or returns `None` if one of the parts is not a valid name.
    #[must_use]
    pub fn from_parts(service: &str, caller: &str, request: &str) -> Option<Self> {
        for part in [service, caller, request] {
            name::check(part).ok()?;
        }
        Some(Self([service, caller, request].join(" ").into()))
    }

    /// The service that the request is sent to.
    #[must_use]
    pub fn service(&self) -> &str {
        self.part(0)
    }

    /// The sender of the request.
    #[must_use]
    pub fn caller(&self) -> &str {
        self.part(1)
    }

    /// The idempotency key chosen by the caller.
    #[must_use]
    pub fn request(&self) -> &str {
        self.part(2)
    }

    fn part(&self, index: usize) -> &str {
        self.0.split(SEPARATOR).nth(index).unwrap_or_default()
    }

    /// The key's creation time in milliseconds since the Unix epoch.
    ///
    /// `None` unless the key is timed, that is a version 7 UUID. Since the time is part
    /// of the key, a resend can't carry a different one.
    #[must_use]
    pub fn minted_ms(&self) -> Option<u64> {
        let id = Uuid::try_parse(self.request()).ok()?;
        if id.get_version_num() != TIMED_VERSION || id.get_variant() != Variant::RFC4122 {
            return None;
        }
        u64::try_from(id.as_u128() >> BITS_AFTER_TIMESTAMP).ok()
    }
}
