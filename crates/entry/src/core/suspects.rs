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

impl Core {
    /// Whether anything is known of requests with this head.
    #[must_use]
    pub fn tracks_path(&self, head: Head) -> bool {
        self.known().quarantine.tracks_path(head)
    }

    /// How much longer the request is refused, if it is.
    #[must_use]
    pub fn refused(&self, request: Fingerprint) -> Option<Duration> {
        self.known().quarantine.refused(self.clock.now(), request)
    }

    /// Takes that an instance crashed while it ran a request. Gives the number under which
    /// the hubs are told.
    pub fn record_crash(&self, crash: Crash) -> u64 {
        let (request, run) = (crash.request, crash.run.clone());
        let (number, outcome) = self
            .known()
            .quarantine
            .record_crash(self.clock.now(), crash);
        info!(self.log, "crash"; "fingerprint" => %request, "instance" => %run.instance,
            "incarnation" => run.incarnation, "outcome" => format!("{outcome:?}"));
        if matches!(outcome, Outcome::Refused { .. }) {
            self.counters.refused();
        }
        self.events.send_replace(number);
        number
    }

    /// Takes that an instance has answered a request.
    pub fn record_success(&self, request: Fingerprint) {
        let now = self.clock.now();
        let mut known = self.known();
        if known.quarantine.record_success(now, request) {
            let newest = known.quarantine.newest();
            drop(known);
            info!(self.log, "suspect answered"; "fingerprint" => %request);
            self.events.send_replace(newest);
        }
    }

    /// Takes the suspects that the hub at `hub` told.
    pub fn take_suspects(&self, hub: SocketAddr, told: &Suspects) {
        let (rows, errors): (Vec<_>, Vec<_>) = told
            .rows
            .iter()
            .map(Suspect::from_wire)
            .partition(Result::is_ok);
        if let Some(Err(err)) = errors.first() {
            warn!(self.log, "bad suspects"; "hub" => %hub, "revision" => told.revision,
                "count" => errors.len(), "error" => %err);
        }
        let rows: Vec<Suspect> = rows.into_iter().flatten().collect();
        let refused = self
            .known()
            .quarantine
            .apply_suspects(self.clock.now(), &rows);
        for suspect in refused {
            info!(self.log, "quarantine"; "fingerprint" => %suspect.request, "hub" => %hub,
                "revision" => told.revision, "left_ms" => suspect.refused.as_millis());
            self.counters.refused();
        }
    }

    /// What a hub is to be told that has been told of the events up to `number`, and the
    /// number of the newest event. One that is `new` knows of no refusal either.
    #[must_use]
    pub fn report(&self, number: u64, new: bool) -> (Report, u64) {
        let now = self.clock.now();
        let known = self.known();
        let mut report = Report {
            host: self.settings().host.to_string(),
            ..Report::default()
        };
        for event in known.quarantine.since(number) {
            match event {
                Event::Crashed(crash) => report.crashes.push(crash.to_wire(now)),
                Event::Succeeded(request) => report.answered.push(request.into()),
            }
        }
        if new {
            let refused = known.quarantine.refusals(now);
            report.refused = refused.iter().map(Suspect::to_wire).collect();
        }
        (report, known.quarantine.newest())
    }
}
