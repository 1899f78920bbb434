//! Detects whether an attempt broke off because its instance crashed.
//!
//! A connection can end for other reasons: a reset on the network path, an overloaded
//! instance, an instance that shuts down. An instance counts as crashed only if its host
//! refuses a new connection right afterwards.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use quarantine::Crash;
use quarantine::Fingerprint;
use quarantine::Head;
use slog::info;
use strum::IntoStaticStr;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::body::Content;
use crate::core::Core;
use crate::pool::ConnectError;
use crate::view::Upstream;

/// How long an exiting instance may still accept connections.
const EXIT_GRACE: Duration = Duration::from_millis(100);
/// Maximum wait for a hub to acknowledge a crash report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// What identifies a request in crash reports.
#[derive(Clone, Debug)]
pub struct RequestIdentity {
    /// Request id.
    pub id: HeaderValue,
    /// The caller's name or address.
    pub caller: Arc<str>,
    /// Digest of everything but the body.
    pub head: Head,
    /// The part of the body that enters the fingerprint.
    pub content: Content,
}

impl RequestIdentity {
    /// Records that an instance has processed the request successfully.
    pub fn record_success(&self, core: &Core) {
        if let Some(fingerprint) = self.content.known_fingerprint(self.head) {
            core.record_success(fingerprint);
        }
    }
}

/// An attempt that ended without a complete response.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    /// The request.
    pub request: RequestIdentity,
    /// The instance to which the request was sent.
    pub upstream: Arc<Upstream>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the attempt broke off.
    pub broken_at: Instant,
}

/// State of the instance after the attempt broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Fate {
    /// The instance is running, or another one has taken over its address.
    Runs,
    /// The instance had announced its shutdown.
    Leaves,
    /// The instance crashed: its host refuses connections.
    Crashed,
    /// The instance's state is unknown: its host doesn't answer.
    Silent,
}

/// A check in progress.
#[derive(Debug)]
pub struct CrashCheck {
    /// Resolves once the request may be retried: the hubs have answered, or the instance seems
    /// to be running.
    pub settled: oneshot::Receiver<()>,
    /// State of the instance.
    pub fate: JoinHandle<Fate>,
}

/// Starts a check of the instance, concurrently with the request.
pub fn check(core: &Arc<Core>, broken: BrokenAttempt) -> CrashCheck {
    let core = Arc::clone(core);
    let (sender, settled) = oneshot::channel();
    let fate = tokio::spawn(async move { check_instance(&core, &broken, sender).await });
    CrashCheck { settled, fate }
}

/// Checks the instance, logs the result and reports a crash. Drops `settled` once the request
/// may be retried.
async fn check_instance(core: &Core, broken: &BrokenAttempt, settled: oneshot::Sender<()>) -> Fate {
    let mut settled = Some(settled);
    let BrokenAttempt {
        request, upstream, ..
    } = broken;
    let fingerprint = request.content.fingerprint(request.head);
    let (fate, fingerprint) = tokio::join!(find_fate(core, upstream, &mut settled), fingerprint);
    let label: &'static str = fate.into();
    info!(core.log, "attempt broke off"; "request" => request.id.to_str().unwrap_or("-"),
        "fingerprint" => fingerprint.map_or_else(|| "-".to_owned(), |known| known.to_string()),
        "caller" => &*request.caller, "instance" => %upstream.id,
        "incarnation" => upstream.incarnation, "service" => %upstream.service, "fate" => label,
        "ms" => u64::try_from((broken.broken_at - broken.sent_at).as_millis()).unwrap_or(u64::MAX));
    core.counters.broken(&upstream.service, label);
    if let (Fate::Crashed, Some(fingerprint)) = (fate, fingerprint) {
        report_crash(core, broken, fingerprint).await;
    }
    fate
}

/// Reports a crash to the hubs, and waits until one of them has answered.
async fn report_crash(core: &Core, broken: &BrokenAttempt, fingerprint: Fingerprint) {
    let upstream = &broken.upstream;
    let number = core.record_crash(Crash {
        request: fingerprint,
        service: upstream.service.clone(),
        run: upstream.run(),
        at: core.clock.now().before(broken.broken_at.elapsed()),
        answered: false,
    });
    let mut acknowledged_event = core.acknowledged_event.subscribe();
    // The sender lives as long as the process. A timeout is treated like a hub that knows
    // nothing of the request.
    let _ = tokio::time::timeout(
        REPORT_TIMEOUT,
        acknowledged_event.wait_for(|acknowledged_event| *acknowledged_event >= number),
    )
    .await;
}

async fn find_fate(
    core: &Core,
    upstream: &Upstream,
    settled: &mut Option<oneshot::Sender<()>>,
) -> Fate {
    if !core.is_ready_instance(upstream) {
        return Fate::Leaves;
    }
    let connection = match upstream.pool.connect().await {
        Ok(connection) => connection,
        Err(err) => return fate_from_error(&err),
    };
    *settled = None;
    // An exiting process closes its sockets in any order: a connection accepted by the listener
    // may still be closed along with it.
    tokio::time::sleep(EXIT_GRACE).await;
    if !connection.sender.is_closed() {
        upstream.pool.keep(connection, None);
        return Fate::Runs;
    }
    match upstream.pool.connect().await {
        Ok(_) => Fate::Runs,
        Err(err) => fate_from_error(&err),
    }
}

fn fate_from_error(err: &ConnectError) -> Fate {
    match err {
        ConnectError::Io(err) if err.kind() == io::ErrorKind::ConnectionRefused => Fate::Crashed,
        _ => Fate::Silent,
    }
}
