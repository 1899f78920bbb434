//! Requests that crash the instances that run them.

use std::net::SocketAddr;
use std::time::Duration;

use crash::report::Source;
use quarantine::Fingerprint;
use quarantine::Head;
use slog::Logger;
use tokio::sync::watch;
use wire::hub::Report;
use wire::hub::Suspects;

use super::Core;

/// The newest events that a hub has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportCursor {
    /// Number of the newest crash or success.
    pub event: u64,
    /// Number of the newest limit.
    pub limit: u64,
}

impl Core {
    /// Whether there are suspects with this request head.
    #[must_use]
    pub fn tracks_path(&self, head: Head) -> bool {
        self.guard.tracks_path(head)
    }

    /// The remaining time of the request's quarantine, if it is quarantined.
    #[must_use]
    pub fn quarantine_remaining(&self, request: Fingerprint) -> Option<Duration> {
        self.guard.remaining(request)
    }

    /// Applies the suspects reported by the hub at `hub`.
    pub fn apply_suspects(&self, hub: SocketAddr, received: &Suspects) {
        for _ in 0..self.guard.apply_suspects(hub, received) {
            self.counters.quarantined();
        }
    }
}

impl Source for Core {
    type Cursor = ReportCursor;

    fn log(&self) -> &Logger {
        &self.log
    }

    fn changes(&self) -> Vec<watch::Receiver<u64>> {
        [self.guard.newest_event(), &self.newest_limit]
            .map(watch::Sender::subscribe)
            .into()
    }

    fn report(&self, acknowledged: ReportCursor, new: bool) -> (Report, ReportCursor) {
        let mut report = Report {
            host: self.settings().host.to_string(),
            ..Report::default()
        };
        let event = self
            .guard
            .add_to_report(&mut report, acknowledged.event, new);
        let now = self.clock.now();
        let state = self.state();
        let limits = state.limits.since(acknowledged.limit);
        report.limits = limits.iter().map(|named| named.to_wire(now)).collect();
        let limit = state.limits.newest();
        (report, ReportCursor { event, limit })
    }

    fn record_reply(&self, hub: SocketAddr, received: ReportCursor, suspects: &Suspects) {
        self.apply_suspects(hub, suspects);
        self.guard.acknowledge(received.event);
    }
}
