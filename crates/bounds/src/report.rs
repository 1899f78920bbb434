//! Counters and log lines for clients that are refused or whose connections are closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cadence::Counted;
use cadence::StatsdClient;
use slog::Logger;
use slog::warn;
use strum::IntoStaticStr;
use tokio::time::Instant;

use crate::connection::Phase;

/// Interval between two log lines on the same matter. The next line has the number of all of them.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a client was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Refused {
    /// A new connection.
    Connection,
    /// Memory for what it sends.
    Memory,
    /// Memory for the response to it.
    Response,
}

/// Bytes that are charged, and the number of open connections.
type Totals = (u64, usize);

/// When a matter may be logged again, and how often it has happened since the last line.
#[derive(Default)]
struct Line {
    next_at: Option<Instant>,
    count: u64,
}

impl Line {
    /// The number of events to log now; `None` if the matter was logged a short time ago.
    fn due(&mut self) -> Option<u64> {
        let now = Instant::now();
        self.count += 1;
        if self.next_at.is_some_and(|next_at| now < next_at) {
            return None;
        }
        self.next_at = Some(now + LOG_INTERVAL);
        Some(std::mem::take(&mut self.count))
    }
}

#[derive(Default)]
struct Lines {
    connection: Line,
    memory: Line,
    refused_response: Line,
    head: Line,
    body: Line,
    response: Line,
    idle: Line,
}

/// Reports what was refused or closed.
pub(crate) struct Report {
    log: Logger,
    metrics: Arc<StatsdClient>,
    lines: Mutex<Lines>,
}

impl Report {
    pub(crate) fn new(log: Logger, metrics: Arc<StatsdClient>) -> Self {
        Self {
            log,
            metrics,
            lines: Mutex::default(),
        }
    }

    pub(crate) fn refused(&self, what: Refused, (memory, connections): Totals) {
        let label: &'static str = what.into();
        let counter = self.metrics.count_with_tags("clients.refused", 1);
        counter.with_tag("what", label).send();
        let due = self.line(|lines| match what {
            Refused::Connection => &mut lines.connection,
            Refused::Memory => &mut lines.memory,
            Refused::Response => &mut lines.refused_response,
        });
        if let Some(count) = due {
            warn!(self.log, "client refused"; "what" => label, "count" => count,
                "memory" => memory, "connections" => connections);
        }
    }

    pub(crate) fn closed(
        &self,
        phase: Phase,
        peer: SocketAddr,
        since: Instant,
        (memory, connections): Totals,
    ) {
        let label: &'static str = phase.into();
        let counter = self.metrics.count_with_tags("clients.closed", 1);
        counter.with_tag("phase", label).send();
        let due = self.line(|lines| match phase {
            Phase::Head => &mut lines.head,
            Phase::Body => &mut lines.body,
            Phase::Response => &mut lines.response,
            Phase::Idle | Phase::Served => &mut lines.idle,
        });
        if let Some(count) = due {
            let stalled = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            warn!(self.log, "client closed"; "phase" => label, "count" => count,
                "peer" => %peer, "stalled_ms" => stalled, "memory" => memory,
                "connections" => connections);
        }
    }

    fn line(&self, select: impl FnOnce(&mut Lines) -> &mut Line) -> Option<u64> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        select(&mut lines).due()
    }
}
