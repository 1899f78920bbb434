//! The share of the account that responses under way may use.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::Clients;
use super::RECLAIM_SHARE;
use super::State;
use crate::charge::OverMemory;
use crate::connection::Connection;
use crate::connection::Phase;
use crate::report::Refused;

/// Share of the account that responses under way may use, as a divisor. The rest is for requests, so
/// that callers who read responses without an end don't shut others out.
const RESPONSE_SHARE: u64 = 2;

impl Clients {
    /// Counts `bytes` as a response's, unless responses use their share of the account. Then stalled
    /// callers who don't read theirs are closed, so that later responses find room. Returns whether it
    /// is the only one.
    pub(crate) fn reserve_response(&self, bytes: u64) -> Result<bool, OverMemory> {
        let mut state = self.state();
        let is_only = state.responses == 0;
        if is_only || state.responses + bytes <= self.0.limits.memory / RESPONSE_SHARE {
            state.responses += bytes;
            return Ok(is_only);
        }
        let victims = self.blocked_readers(&mut state);
        let totals = (state.used, state.connections.len());
        drop(state);
        self.close_all(&victims);
        self.0.report.refused(Refused::Response, totals);
        Err(OverMemory::Full)
    }

    pub(crate) fn release_response(&self, bytes: u64) {
        self.state().responses -= bytes;
    }

    /// Chooses connections to close whose clients don't read their responses.
    fn blocked_readers(&self, state: &mut State) -> Vec<Arc<Connection>> {
        let enough = self.0.limits.memory / RECLAIM_SHARE;
        let mut victims = Vec::new();
        let mut freed = state.leaving;
        for (phase, connection) in state.candidates(None) {
            if freed >= enough {
                break;
            }
            if phase == Phase::Response {
                freed += connection.charged.load(Ordering::Relaxed);
                victims.push(connection);
            }
        }
        state.evict(&victims);
        victims
    }
}
