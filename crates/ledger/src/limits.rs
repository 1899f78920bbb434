//! What the ledger keeps at most, and for how long.

/// Bounds of a ledger; they must be equal on all replicas, as they decide replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Records over all services; more claims get `Full`.
    pub records: usize,
    /// Records of one service, so that none fills the ledger for the others.
    pub service: usize,
    /// Bytes of all answers kept, encoded; beyond them bodies are omitted.
    pub answers: usize,
    /// Bytes of one answer's body; a longer one is omitted.
    pub body: usize,
    /// How long after a key was minted its claims are taken, in milliseconds of log time.
    pub window_ms: u64,
    /// How far ahead of log time a key may be minted, in milliseconds.
    pub early_ms: u64,
    /// Longest hold of one claim, in milliseconds.
    pub hold_ms: u64,
    /// Whether keys are taken that don't tell when they were minted.
    ///
    /// Such a key runs again when it is sent after its record's window.
    pub untimed: bool,
}

/// Longest id of a claim, in bytes.
pub const MAX_CLAIM_ID: usize = 32;
/// Longest content type of an answer that is kept, in bytes.
pub const MAX_CONTENT_TYPE: usize = 128;
/// Longest time that a refused caller is asked to wait, in milliseconds.
pub const MAX_RETRY_MS: u64 = 1_000;

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 262_144,
            service: 131_072,
            answers: 32 * 1024 * 1024,
            body: 64 * 1024,
            window_ms: 15 * 60 * 1_000,
            early_ms: 60 * 1_000,
            hold_ms: 10 * 60 * 1_000,
            untimed: true,
        }
    }
}
