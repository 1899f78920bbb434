//! The quarantine of one process that sends requests, shared by its tasks.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use quarantine::Crash;
use quarantine::Event;
use quarantine::Fingerprint;
use quarantine::Head;
use quarantine::Outcome as Decision;
use quarantine::Quarantine;
use quarantine::Suspect;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;
use wire::hub::Report;
use wire::hub::Suspects;

/// The quarantine of one process, and the events that it reports.
#[derive(Debug)]
pub struct Guard {
    log: Logger,
    clock: Clock,
    // Log key of the processes that collect the reports.
    collector: &'static str,
    quarantine: Mutex<Quarantine>,
    newest_event: watch::Sender<u64>,
    acknowledged_event: watch::Sender<u64>,
}

impl Guard {
    /// Creates a guard without suspects; `collector` is the log key of the processes that
    /// receive its reports.
    #[must_use]
    pub fn new(log: Logger, clock: Clock, collector: &'static str) -> Self {
        Self {
            log,
            clock,
            collector,
            quarantine: Mutex::default(),
            newest_event: watch::Sender::default(),
            acknowledged_event: watch::Sender::default(),
        }
    }

    pub(crate) fn log(&self) -> &Logger {
        &self.log
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Whether there are suspects with this request head.
    #[must_use]
    pub fn tracks_path(&self, head: Head) -> bool {
        self.quarantine().tracks_path(head)
    }

    /// The remaining time of the request's quarantine, if it is quarantined.
    #[must_use]
    pub fn remaining(&self, request: Fingerprint) -> Option<Duration> {
        self.quarantine().refused(self.clock.now(), request)
    }

    /// Records that an instance crashed while running a request. Returns the event's number,
    /// for [`Self::acknowledged`], and the decision.
    pub fn record_crash(&self, crash: Crash) -> (u64, Decision) {
        let (request, run) = (crash.request, crash.run.clone());
        let (number, decision) = self.quarantine().record_crash(self.clock.now(), crash);
        info!(self.log, "crash"; "fingerprint" => %request, "instance" => %run.instance,
            "incarnation" => run.incarnation, "outcome" => format!("{decision:?}"));
        self.newest_event.send_replace(number);
        (number, decision)
    }

    /// Records that an instance has answered a request.
    pub fn record_success(&self, request: Fingerprint) {
        let mut quarantine = self.quarantine();
        if quarantine.record_success(self.clock.now(), request) {
            let newest = quarantine.newest();
            drop(quarantine);
            info!(self.log, "suspect answered"; "fingerprint" => %request);
            self.newest_event.send_replace(newest);
        }
    }

    /// Applies the suspects reported by the collector at `address`. Returns the number of
    /// requests that are newly refused.
    pub fn apply_suspects(&self, address: SocketAddr, received: &Suspects) -> usize {
        let (suspects, errors): (Vec<_>, Vec<_>) = received
            .rows
            .iter()
            .map(Suspect::from_wire)
            .partition(Result::is_ok);
        if let Some(Err(err)) = errors.first() {
            warn!(self.log, "invalid suspects"; self.collector => %address,
                "revision" => received.revision, "count" => errors.len(), "error" => %err);
        }
        let suspects: Vec<Suspect> = suspects.into_iter().flatten().collect();
        let refused = self
            .quarantine()
            .apply_suspects(self.clock.now(), &suspects);
        for suspect in &refused {
            info!(self.log, "quarantine"; "fingerprint" => %suspect.request,
                self.collector => %address, "revision" => received.revision,
                "left_ms" => suspect.refused.as_millis());
        }
        refused.len()
    }

    /// Adds the events after the event `acknowledged` to a report, and with `new` the current
    /// refusals, for a process that has restarted. Returns the number of the newest event.
    pub fn add_to_report(&self, report: &mut Report, acknowledged: u64, new: bool) -> u64 {
        let now = self.clock.now();
        let quarantine = self.quarantine();
        add_events(report, now, quarantine.since(acknowledged));
        if new {
            let refused = quarantine.refusals(now);
            report.refused = refused.iter().map(Suspect::to_wire).collect();
        }
        quarantine.newest()
    }

    /// The number of the newest event, which changes with each event to report.
    #[must_use]
    pub fn newest_event(&self) -> &watch::Sender<u64> {
        &self.newest_event
    }

    /// Records that the events up to `number` were received by a collector.
    pub fn acknowledge(&self, number: u64) {
        self.acknowledged_event.send_if_modified(|current| {
            let is_newer = number > *current;
            *current = number.max(*current);
            is_newer
        });
    }

    /// Waits until the event `number` was received by a collector.
    pub async fn acknowledged(&self, number: u64) {
        let mut events = self.acknowledged_event.subscribe();
        // The sender lives as long as the process.
        let _ = events.wait_for(|event| *event >= number).await;
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds crashes and answers to a report that is sent at `now`. A refusal is reported with its
/// remaining time, which its event lacks.
pub fn add_events(report: &mut Report, now: Moment, events: Vec<Event>) {
    for event in events {
        match event {
            Event::Crashed(crash) => report.crashes.push(crash.to_wire(now)),
            Event::Succeeded(request) => report.answered.push(request.into()),
            Event::Refused(_) => {}
        }
    }
}
