//! Requests that crash the instances that run them.

use std::net::SocketAddr;
use std::time::Duration;

use quarantine::Crash;
use quarantine::Event;
use quarantine::Fingerprint;
use quarantine::Head;
use quarantine::Outcome;
use quarantine::Suspect;
use slog::info;
use slog::warn;
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
        self.state().quarantine.tracks_path(head)
    }

    /// The remaining time of the request's quarantine, if it is quarantined.
    #[must_use]
    pub fn quarantine_remaining(&self, request: Fingerprint) -> Option<Duration> {
        self.state().quarantine.refused(self.clock.now(), request)
    }

    /// Records that an instance crashed while running a request. Returns the event's number,
    /// with which the hubs' acknowledgement can be awaited.
    pub fn record_crash(&self, crash: Crash) -> u64 {
        let (request, run) = (crash.request, crash.run.clone());
        let (number, outcome) = self
            .state()
            .quarantine
            .record_crash(self.clock.now(), crash);
        info!(self.log, "crash"; "fingerprint" => %request, "instance" => %run.instance,
            "incarnation" => run.incarnation, "outcome" => format!("{outcome:?}"));
        if matches!(outcome, Outcome::Refused { .. }) {
            self.counters.quarantined();
        }
        self.newest_event.send_replace(number);
        number
    }

    /// Records that an instance has answered a request.
    pub fn record_success(&self, request: Fingerprint) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.quarantine.record_success(now, request) {
            let newest = state.quarantine.newest();
            drop(state);
            info!(self.log, "suspect answered"; "fingerprint" => %request);
            self.newest_event.send_replace(newest);
        }
    }

    /// Applies the suspects reported by the hub at `hub`.
    pub fn apply_suspects(&self, hub: SocketAddr, received: &Suspects) {
        let (suspects, errors): (Vec<_>, Vec<_>) = received
            .rows
            .iter()
            .map(Suspect::from_wire)
            .partition(Result::is_ok);
        if let Some(Err(err)) = errors.first() {
            warn!(self.log, "invalid suspects"; "hub" => %hub, "revision" => received.revision,
                "count" => errors.len(), "error" => %err);
        }
        let suspects: Vec<Suspect> = suspects.into_iter().flatten().collect();
        let refused = self
            .state()
            .quarantine
            .apply_suspects(self.clock.now(), &suspects);
        for suspect in refused {
            info!(self.log, "quarantine"; "fingerprint" => %suspect.request, "hub" => %hub,
                "revision" => received.revision, "left_ms" => suspect.refused.as_millis());
            self.counters.quarantined();
        }
    }

    /// The report for a hub that has acknowledged the events up to `acknowledged`, and what it
    /// will have acknowledged with it. With `new`, it also includes current refusals, for a hub
    /// that has restarted.
    #[must_use]
    pub fn report(&self, acknowledged: ReportCursor, new: bool) -> (Report, ReportCursor) {
        let now = self.clock.now();
        let state = self.state();
        let mut report = Report {
            host: self.settings().host.to_string(),
            ..Report::default()
        };
        for event in state.quarantine.since(acknowledged.event) {
            match event {
                Event::Crashed(crash) => report.crashes.push(crash.to_wire(now)),
                Event::Succeeded(request) => report.answered.push(request.into()),
            }
        }
        if new {
            let refused = state.quarantine.refusals(now);
            report.refused = refused.iter().map(Suspect::to_wire).collect();
        }
        let limits = state.limits.since(acknowledged.limit);
        report.limits = limits.iter().map(|named| named.to_wire(now)).collect();
        let newest = ReportCursor {
            event: state.quarantine.newest(),
            limit: state.limits.newest(),
        };
        (report, newest)
    }
}
