//! Size and time limits of the ledger.

/// Limits of a ledger; all replicas must use the same, because they affect replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of records of all services; further claims get `Full`.
    pub max_records: usize,
    /// Maximum number of records of one service, so that one service can't fill the ledger.
    pub max_service_records: usize,
    /// Maximum total size of the stored answers, encoded; beyond it bodies are omitted.
    pub max_answer_bytes: usize,
    /// Maximum size of one answer's body; a longer one is omitted.
    pub max_body_bytes: usize,
    /// Time after a key's creation during which its claims are accepted, in milliseconds
    /// of log time.
    pub window_ms: u64,
    /// Maximum time by which a key's creation may be ahead of log time, in milliseconds.
    pub max_ahead_ms: u64,
    /// Maximum time that a claim is held without a settlement, in milliseconds.
    pub max_hold_ms: u64,
    /// Whether untimed keys are accepted, which don't contain their creation time.
    ///
    /// A request with such a key runs again if it is resent after its record has expired.
    pub allow_untimed: bool,
}

/// Maximum length of a claim id, in bytes.
pub const MAX_CLAIM_ID: usize = 32;
/// Maximum length of a stored answer's content type, in bytes.
pub const MAX_CONTENT_TYPE: usize = 128;
/// Maximum retry delay given to a refused caller, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 1_000;

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_records: 262_144,
            max_service_records: 131_072,
            max_answer_bytes: 32 * 1024 * 1024,
            max_body_bytes: 64 * 1024,
            window_ms: 15 * 60 * 1_000,
            max_ahead_ms: 60 * 1_000,
            max_hold_ms: 10 * 60 * 1_000,
            allow_untimed: true,
        }
    }
}
