//! What a client is doing on its connection, and since when.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use strum::IntoStaticStr;
use tokio::time::Instant;

use crate::charge::Charge;
use crate::charge::OverMemory;
use crate::clients::Clients;

/// Bytes that a client has to send or read within [`STALL_TIME`] to count as active. Without a
/// minimum, one that sends a byte now and then would never count as stalled.
const PROGRESS_BYTES: usize = 1024;
/// Time without progress after which a connection may be closed to make room for others.
pub(crate) const STALL_TIME: Duration = Duration::from_secs(1);
/// Memory of a request that is being handled: its task, its headers, and the buffers of the
/// connection on which it is forwarded.
const REQUEST_BYTES: u64 = 40 * 1024;

/// What a client is doing, in the order in which connections are closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Phase {
    /// It has sent a part of a request's head.
    Head,
    /// It has sent a part of a request's body.
    Body,
    /// It doesn't read its response.
    Response,
    /// It has no request open.
    Idle,
    /// It waits for a response, or reads one.
    Served,
}

impl Phase {
    /// Connections of a lower rank are closed first.
    pub(crate) fn rank(self) -> u8 {
        match self {
            Self::Head | Self::Body => 0,
            Self::Response => 1,
            Self::Idle => 2,
            Self::Served => 3,
        }
    }
}

#[derive(Debug)]
struct Activity {
    /// Requests that aren't answered completely.
    requests: u32,
    /// Those of them whose bodies are incomplete.
    receiving: u32,
    /// Bytes received since the end of the last request.
    head_bytes: usize,
    /// Whether the client doesn't read what is sent to it.
    blocked: bool,
    /// When the client was last active.
    active_at: Instant,
    /// Bytes moved since then.
    moved: usize,
}

impl Activity {
    fn phase(&self) -> Phase {
        match self.requests {
            0 if self.head_bytes > 0 => Phase::Head,
            0 => Phase::Idle,
            requests if requests == self.receiving => Phase::Body,
            _ if self.blocked => Phase::Response,
            _ => Phase::Served,
        }
    }

    fn restart(&mut self) {
        self.active_at = Instant::now();
        self.moved = 0;
    }

    fn record_moved(&mut self, bytes: usize) {
        self.moved += bytes;
        if self.moved >= PROGRESS_BYTES {
            self.restart();
        }
    }
}

/// Closes a connection; called once at most.
pub(crate) type Close = Box<dyn Fn() + Send + Sync>;

/// State of an open connection.
pub(crate) struct Connection {
    pub(crate) id: u64,
    pub(crate) peer: SocketAddr,
    /// Bytes charged to it. Changed only while the clients' state is locked.
    pub(crate) charged: AtomicU64,
    /// Whether it is being closed. Set only while the clients' state is locked.
    pub(crate) evicted: AtomicBool,
    activity: Mutex<Activity>,
    close: Close,
}

impl Connection {
    pub(crate) fn new(id: u64, peer: SocketAddr, close: Close) -> Self {
        Self {
            id,
            peer,
            charged: AtomicU64::new(0),
            evicted: AtomicBool::new(false),
            activity: Mutex::new(Activity {
                requests: 0,
                receiving: 0,
                head_bytes: 0,
                blocked: false,
                active_at: Instant::now(),
                moved: 0,
            }),
            close,
        }
    }

    fn activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the client is doing, and since when it isn't active.
    pub(crate) fn phase(&self) -> (Phase, Instant) {
        let activity = self.activity();
        (activity.phase(), activity.active_at)
    }

    /// Records bytes from the client. Returns the bytes of an unfinished head.
    pub(crate) fn record_read(&self, bytes: usize) -> usize {
        let mut activity = self.activity();
        if activity.requests > 0 {
            activity.record_moved(bytes);
            return 0;
        }
        if activity.head_bytes == 0 {
            activity.restart();
        } else {
            activity.record_moved(bytes);
        }
        activity.head_bytes += bytes;
        activity.head_bytes
    }

    /// Records the bytes written to the client; `None` if its connection takes none now.
    pub(crate) fn record_write(&self, written: Option<usize>) {
        let mut activity = self.activity();
        match written {
            Some(bytes) => {
                activity.blocked = false;
                activity.record_moved(bytes);
            }
            None if !activity.blocked => {
                activity.blocked = true;
                activity.restart();
            }
            None => {}
        }
    }

    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Relaxed)
    }

    pub(crate) fn close(&self) {
        (self.close)();
    }
}

/// A client's open connection.
#[derive(Clone)]
pub struct Client {
    pub(crate) clients: Clients,
    /// `None` for work that belongs to no connection.
    pub(crate) connection: Option<Arc<Connection>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let peer = self.connection.as_ref().map(|connection| connection.peer);
        f.debug_tuple("Client").field(&peer).finish()
    }
}

impl Client {
    /// An empty charge for what is kept for this client.
    #[must_use]
    pub fn charge(&self) -> Charge {
        Charge::new(self.clone())
    }

    /// Records a new request, whose body is taken as complete until [`RequestGuard::receiving`].
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for it.
    pub async fn begin(&self) -> Result<RequestGuard, OverMemory> {
        let mut guard = RequestGuard::new(self.clone());
        guard.charge.grow(REQUEST_BYTES).await?;
        Ok(guard)
    }

    fn change(&self, change: impl FnOnce(&mut Activity)) {
        if let Some(connection) = &self.connection {
            let mut activity = connection.activity();
            change(&mut activity);
            activity.restart();
        }
    }
}

/// A request that isn't answered completely, until this is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    client: Client,
    charge: Charge,
}

impl RequestGuard {
    fn new(client: Client) -> Self {
        client.change(|activity| {
            activity.requests += 1;
            activity.head_bytes = 0;
        });
        Self {
            charge: client.charge(),
            client,
        }
    }

    /// The client that has sent the request.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Records that the body is incomplete until the returned value is dropped.
    #[must_use]
    pub fn receiving(&self) -> Receiving {
        self.client.change(|activity| activity.receiving += 1);
        Receiving(self.client.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.client.change(|activity| {
            activity.requests = activity.requests.saturating_sub(1);
            activity.blocked = false;
        });
    }
}

/// A request's body that is incomplete, until this is dropped.
#[derive(Debug)]
pub struct Receiving(Client);

impl Drop for Receiving {
    fn drop(&mut self) {
        self.0
            .change(|activity| activity.receiving = activity.receiving.saturating_sub(1));
    }
}
