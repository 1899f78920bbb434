//! Finds out what became of an instance after an attempt that broke off.
//!
//! A connection can end for other reasons: a reset on the network path, an overloaded
//! instance, an instance that shuts down. An instance counts as crashed only if its host
//! refuses a new connection right afterwards, and others of its service don't: otherwise it is
//! this process that is cut off.

use std::io;
use std::time::Duration;

use quarantine::Outcome as Decision;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoStaticStr;
use tokio::time::Instant;

/// How long an exiting instance may still accept connections.
const EXIT_GRACE: Duration = Duration::from_millis(200);
/// Number of looks, one each [`LOOK_INTERVAL`], at which a new connection must be open before the
/// instance seems to run. A time alone would pass without a look at a process that is starved.
const STABLE_LOOKS: u32 = 10;
/// Interval between looks at a new connection.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Delay before a connection that was closed or reset is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(1);

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

/// Finds out what became of the instance. Calls `on_running` as soon as the instance seems to run,
/// which isn't certain until the end.
pub(crate) async fn find_fate<I: Instance>(instance: &I, on_running: impl Fn()) -> Fate {
    match find_own_fate(instance, on_running).await {
        Fate::Crashed if !instance.reaches_others().await => Fate::Silent,
        fate => fate,
    }
}

/// An exiting process closes its sockets in any order, and may take long on a busy host: until its
/// listener is closed, it accepts connections that it closes or resets. Only one that stays open
/// shows that the instance is running.
async fn find_own_fate<I: Instance>(instance: &I, on_running: impl Fn()) -> Fate {
    if !instance.is_ready() {
        return Fate::Leaves;
    }
    let end = Instant::now() + EXIT_GRACE;
    while Instant::now() < end {
        match instance.connect().await {
            Ok(connection) => {
                if stays_open(instance, connection, end, &on_running).await {
                    return Fate::Runs;
                }
            }
            Err(err) if err.kind() == io::ErrorKind::ConnectionReset => {}
            Err(err) => return fate_from_error(&err),
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
    match instance.connect().await {
        Ok(_) => Fate::Runs,
        Err(err) => fate_from_error(&err),
    }
}

/// Whether a new connection stays open until `end`. Calls `on_running` before that, once the
/// connection was open at [`STABLE_LOOKS`] looks.
async fn stays_open<I: Instance>(
    instance: &I,
    connection: I::Connection,
    end: Instant,
    on_running: impl Fn(),
) -> bool {
    for _ in 0..STABLE_LOOKS {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if instance.is_closed(&connection) {
            return false;
        }
    }
    on_running();
    tokio::time::sleep_until(end).await;
    if instance.is_closed(&connection) {
        return false;
    }
    instance.keep(connection);
    true
}

fn fate_from_error(err: &io::Error) -> Fate {
    match err.kind() {
        io::ErrorKind::ConnectionRefused => Fate::Crashed,
        _ => Fate::Silent,
    }
}
