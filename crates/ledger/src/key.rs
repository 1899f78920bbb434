//! What a record is kept under, and when its key was minted.

use base::prelude::CallerName;
use base::prelude::RequestKey;
use base::prelude::ServiceName;
use uuid::Uuid;
use uuid::Variant;

/// Version of the UUIDs that begin with the time they were minted (RFC 9562).
const TIMED_VERSION: usize = 7;
/// Bits of such a UUID that follow its time in milliseconds.
const BITS_AFTER_TIME: u32 = 80;

/// One caller's idempotency key at one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The service that the request is for.
    pub service: ServiceName,
    /// Who sends it; two callers never share a record.
    pub caller: CallerName,
    /// The key that the caller chose.
    pub request: RequestKey,
}

impl Key {
    /// Takes the three names; `None` when one is no name.
    #[must_use]
    pub fn read(service: &str, caller: &str, request: &str) -> Option<Self> {
        Some(Self {
            service: ServiceName::new(service).ok()?,
            caller: CallerName::new(caller).ok()?,
            request: RequestKey::new(request).ok()?,
        })
    }

    /// When the key was minted, in milliseconds since the Unix epoch.
    ///
    /// Only a version 7 UUID tells; it is part of the key, so that a resend
    /// can't come with another time.
    #[must_use]
    pub fn minted_ms(&self) -> Option<u64> {
        let id = Uuid::try_parse(self.request.as_str()).ok()?;
        if id.get_version_num() != TIMED_VERSION || id.get_variant() != Variant::RFC4122 {
            return None;
        }
        u64::try_from(id.as_u128() >> BITS_AFTER_TIME).ok()
    }
}
