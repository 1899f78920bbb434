//! What a record is kept under, and when its key was minted.

use std::sync::Arc;

use base::name;
use uuid::Uuid;
use uuid::Variant;

/// Version of the UUIDs that begin with the time they were minted (RFC 9562).
const TIMED_VERSION: usize = 7;
/// Bits of such a UUID that follow its time in milliseconds.
const BITS_AFTER_TIME: u32 = 80;

/// Stands between the parts of a key; no name has it, and it sorts before all that a name has.
const SEPARATOR: char = ' ';

/// One caller's idempotency key at one service; two callers never share a record.
///
/// The three names are one text, as a ledger keeps very many keys. They sort
/// as the names would one by one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(Arc<str>);

impl Key {
    /// Takes the three names; `None` when one is no name.
    #[must_use]
    pub fn from_parts(service: &str, caller: &str, request: &str) -> Option<Self> {
        for part in [service, caller, request] {
            name::check(part).ok()?;
        }
        Some(Self([service, caller, request].join(" ").into()))
    }

    /// The service that the request is for.
    #[must_use]
    pub fn service(&self) -> &str {
        self.part(0)
    }

    /// Who sends it.
    #[must_use]
    pub fn caller(&self) -> &str {
        self.part(1)
    }

    /// The key that the caller chose.
    #[must_use]
    pub fn request(&self) -> &str {
        self.part(2)
    }

    fn part(&self, index: usize) -> &str {
        self.0.split(SEPARATOR).nth(index).unwrap_or_default()
    }

    /// When the key was minted, in milliseconds since the Unix epoch.
    ///
    /// Only a version 7 UUID tells; it is part of the key, so that a resend
    /// can't come with another time.
    #[must_use]
    pub fn minted_ms(&self) -> Option<u64> {
        let id = Uuid::try_parse(self.request()).ok()?;
        if id.get_version_num() != TIMED_VERSION || id.get_variant() != Variant::RFC4122 {
            return None;
        }
        u64::try_from(id.as_u128() >> BITS_AFTER_TIME).ok()
    }
}
