//! Requests that crash instances: counts the crashes that gateways report, and passes the reports
//! on to the other directories.
//!
//! A gateway reports to the directory that it polls. Each directory counts the crashes of all
//! gateways and passes on only those that gateways reported to it. So that a directory which
//! lacks earlier crashes refuses a request all the same, the refusal is passed on with the crash
//! that led to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use crash::Reporter;
use crash::collector;
use crash::guard::add_events;
use crash::report::Directory;
use crash::report::Source;
use crash::report::Target;
use futures::future::join_all;
use quarantine::Event;
use quarantine::Suspect;
use quarantine::Tracker;
use rand::seq::IndexedRandom;
use slog::Logger;
use tokio::sync::watch;
use tokio::time::timeout;
use wire::directory::CrashReport;
use wire::hub::Report;
use wire::hub::Suspects;
use wire::peer::DirectoryLink;

use crate::shared::Inner;
use crate::shared::Shared;

/// Number of peers that a directory asks for their suspects when it starts.
const STARTUP_PEERS: usize = 3;
/// Maximum wait for the replies of these peers. It delays the first confirmation of a catalogue.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(100);

/// Applies a report and returns the current suspects.
pub fn apply_report(shared: &Shared, report: &CrashReport) -> Suspects {
    let Some(observations) = &report.report else {
        return shared.step(|inner, now| collector::suspects(&inner.tracker, now));
    };
    let reporter = Reporter {
        role: if report.relayed {
            "directory"
        } else {
            "gateway"
        },
        host: &observations.host,
    };
    let (suspects, newest) = shared.step(|inner, now| {
        let events =
            collector::apply_report(&mut inner.tracker, now, observations, reporter, &shared.log);
        if !report.relayed {
            for event in events {
                inner.events.push(now, event);
            }
        }
        (
            collector::suspects(&inner.tracker, now),
            inner.events.newest(),
        )
    });
    shared
        .newest_event
        .send_if_modified(|last| std::mem::replace(last, newest) != newest);
    suspects
}

/// Learns the refusals of a few peers when the directory starts, so that a gateway that starts
/// with it, for example on the same host, has them with its first reply.
pub async fn learn_from_peers(shared: &Shared, peers: &[Arc<DirectoryLink>]) {
    let asked = peers.sample(&mut rand::rng(), STARTUP_PEERS);
    let replies = asked.map(async |link| {
        let peer = Directory {
            link: link.clone(),
            relayed: true,
        };
        if let Some(suspects) = peer.send(Report::default()).await {
            shared.record_reply(peer.address(), 0, &suspects);
        }
    });
    // A peer that doesn't reply in time reports its refusals later, like all others.
    let _ = timeout(STARTUP_TIMEOUT, join_all(replies)).await;
}

/// The suspects, for a gateway that has those of `revision` from this epoch.
#[must_use]
pub fn changed_suspects(inner: &Inner, now: Moment, revision: u64) -> Option<Suspects> {
    let is_changed = inner.tracker.revision().newest != revision;
    is_changed.then(|| collector::suspects(&inner.tracker, now))
}

impl Source for Shared {
    type Cursor = u64;

    fn log(&self) -> &Logger {
        &self.log
    }

    fn changes(&self) -> Vec<watch::Receiver<u64>> {
        vec![self.newest_event.subscribe()]
    }

    fn report(&self, acknowledged: u64, new: bool) -> (Report, u64) {
        self.step(|inner, now| {
            let events = inner.events.since(acknowledged);
            let refused = refusals(&inner.tracker, now, if new { None } else { Some(&events) });
            let mut report = Report {
                host: self.settings.host.to_string(),
                refused: refused.iter().map(Suspect::to_wire).collect(),
                ..Report::default()
            };
            add_events(&mut report, now, events);
            (report, inner.events.newest())
        })
    }

    fn record_reply(&self, peer: SocketAddr, _: u64, suspects: &Suspects) {
        let refused = suspects.rows.iter().filter(|row| row.refused_ms > 0);
        let learned = Report {
            host: peer.to_string(),
            refused: refused.copied().collect(),
            ..Report::default()
        };
        let report = CrashReport {
            report: Some(learned),
            relayed: true,
        };
        apply_report(self, &report);
    }
}

/// The current refusals; with `events`, only those of requests that crashed instances or became
/// refused in these events.
fn refusals(tracker: &Tracker, now: Moment, events: Option<&[Event]>) -> Vec<Suspect> {
    let is_concerned = |suspect: &Suspect| {
        events.is_none_or(|events| {
            events.iter().any(|event| match event {
                Event::Crashed(crash) => {
                    let all_senders = crash.request.for_all_senders();
                    [crash.request, all_senders].contains(&suspect.request)
                }
                Event::Refused(request) => *request == suspect.request,
                Event::Succeeded(_) => false,
            })
        })
    };
    let mut suspects = tracker.suspects(now);
    suspects.retain(|suspect| !suspect.refused.is_zero() && is_concerned(suspect));
    suspects
}
