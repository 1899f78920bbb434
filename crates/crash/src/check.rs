//! Detects whether an attempt broke off because its instance crashed.
//!
//! A connection can end for other reasons: a reset on the network path, an overloaded
//! instance, an instance that shuts down. An instance counts as crashed only if its host
//! refuses a new connection right afterwards, and others of its service don't: otherwise it is
//! this process that is cut off.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use quarantine::Crash;
use quarantine::Fingerprint;
use quarantine::Outcome as Decision;
use slog::info;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoStaticStr;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::guard::Guard;

/// Maximum wait of a retry for the decision on a request that may have crashed an instance.
/// Covers a connection to the instance's host and one query with a margin.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(40);
/// How long an exiting instance may still accept connections.
const EXIT_GRACE: Duration = Duration::from_millis(100);
/// Delay before a connection that was reset is opened again.
const RESET_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Maximum wait for the acknowledgement of a crash report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The instance of an attempt that broke off, as the process knows and reaches it.
pub trait Instance: Send + Sync + 'static {
    /// A connection to the instance.
    type Connection: Send;

    /// Whether the instance is announced as ready and hasn't restarted since the attempt.
    fn is_ready(&self) -> bool;

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// The kind is [`io::ErrorKind::ConnectionRefused`] only if the host refused the connection.
    fn connect(&self) -> impl Future<Output = io::Result<Self::Connection>> + Send;

    /// Whether another instance of the service accepts a connection. True if there is none to try.
    fn reaches_others(&self) -> impl Future<Output = bool> + Send;

    /// Whether the instance has closed the connection.
    fn is_closed(&self, connection: &Self::Connection) -> bool;

    /// Takes back a connection that is still open.
    fn keep(&self, connection: Self::Connection);

    /// Counts the result of a check, and the decision on a crash.
    fn record(&self, fate: Fate, decision: Option<Decision>);
}

/// An attempt that ended without a complete response.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    /// Request id.
    pub request: Arc<str>,
    /// The caller's name or address.
    pub caller: Arc<str>,
    /// The service of the instance.
    pub service: ServiceName,
    /// The instance to which the request was sent.
    pub run: InstanceRun,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the attempt broke off.
    pub broken_at: Instant,
}

/// State of the instance after the attempt broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Fate {
    /// The instance is running, or another one has taken over its address.
    Runs,
    /// The instance had announced its shutdown.
    Leaves,
    /// The instance crashed: its host refuses connections.
    Crashed,
    /// The instance's state is unknown: its host doesn't answer, or no instance is reached.
    Silent,
}

/// A check in progress.
#[derive(Debug)]
pub struct CrashCheck {
    /// Resolves once the request may be retried: a report of the crash was answered, or the
    /// instance seems to be running.
    pub settled: oneshot::Receiver<()>,
    /// State of the instance.
    pub fate: JoinHandle<Fate>,
}

/// Starts a check of the instance, concurrently with the request. `fingerprint` resolves once
/// the request's body has arrived, to `None` if the body broke off.
pub fn check<I: Instance>(
    guard: Arc<Guard>,
    instance: I,
    broken: BrokenAttempt,
    fingerprint: impl Future<Output = Option<Fingerprint>> + Send + 'static,
) -> CrashCheck {
    let (sender, settled) = oneshot::channel();
    let fate = tokio::spawn(async move {
        check_instance(&guard, &instance, &broken, fingerprint, sender).await
    });
    CrashCheck { settled, fate }
}

/// Checks the instance, logs the result and reports a crash. Drops `settled` once the request
/// may be retried.
async fn check_instance<I: Instance>(
    guard: &Guard,
    instance: &I,
    broken: &BrokenAttempt,
    fingerprint: impl Future<Output = Option<Fingerprint>> + Send,
    settled: oneshot::Sender<()>,
) -> Fate {
    let mut settled = Some(settled);
    let (fate, fingerprint) = tokio::join!(find_fate(instance, &mut settled), fingerprint);
    let label: &'static str = fate.into();
    info!(guard.log(), "attempt broke off"; "request" => &*broken.request,
        "fingerprint" => fingerprint.map_or_else(|| "-".to_owned(), |known| known.to_string()),
        "caller" => &*broken.caller, "instance" => %broken.run.instance,
        "incarnation" => broken.run.incarnation, "service" => %broken.service, "fate" => label,
        "ms" => u64::try_from((broken.broken_at - broken.sent_at).as_millis()).unwrap_or(u64::MAX));
    let (Fate::Crashed, Some(fingerprint)) = (fate, fingerprint) else {
        instance.record(fate, None);
        return fate;
    };
    let (number, decision) = guard.record_crash(Crash {
        request: fingerprint,
        service: broken.service.clone(),
        run: broken.run.clone(),
        at: guard.now().before(broken.broken_at.elapsed()),
        answered: false,
    });
    instance.record(fate, Some(decision));
    // A timeout is treated like an answer of a process that knows nothing of the request.
    let _ = tokio::time::timeout(REPORT_TIMEOUT, guard.acknowledged(number)).await;
    fate
}

/// Finds out what became of the instance.
async fn find_fate<I: Instance>(instance: &I, settled: &mut Option<oneshot::Sender<()>>) -> Fate {
    match find_own_fate(instance, settled).await {
        Fate::Crashed if !instance.reaches_others().await => Fate::Silent,
        fate => fate,
    }
}

async fn find_own_fate<I: Instance>(
    instance: &I,
    settled: &mut Option<oneshot::Sender<()>>,
) -> Fate {
    if !instance.is_ready() {
        return Fate::Leaves;
    }
    let connection = match connect(instance).await {
        Ok(connection) => connection,
        Err(err) => return fate_from_error(&err),
    };
    *settled = None;
    // An exiting process closes its sockets in any order: a connection accepted by the listener
    // may still be closed along with it.
    tokio::time::sleep(EXIT_GRACE).await;
    if !instance.is_closed(&connection) {
        instance.keep(connection);
        return Fate::Runs;
    }
    match connect(instance).await {
        Ok(_) => Fate::Runs,
        Err(err) => fate_from_error(&err),
    }
}

/// Opens a new connection. A listener that closes resets the connections that it has accepted, so
/// one that is reset says nothing yet.
async fn connect<I: Instance>(instance: &I) -> io::Result<I::Connection> {
    let end = Instant::now() + EXIT_GRACE;
    loop {
        match instance.connect().await {
            Err(err) if err.kind() == io::ErrorKind::ConnectionReset && Instant::now() < end => {
                tokio::time::sleep(RESET_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

fn fate_from_error(err: &io::Error) -> Fate {
    match err.kind() {
        io::ErrorKind::ConnectionRefused => Fate::Crashed,
        _ => Fate::Silent,
    }
}
