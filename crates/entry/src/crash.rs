//! Checks whether an attempt broke off because its instance crashed.

use std::io;
use std::sync::Arc;

use crash::CrashCheck;
pub use crash::Fate;
use http::HeaderValue;
use quarantine::Head;
use quarantine::Outcome;
use tokio::time::Instant;

use crate::body::Content;
use crate::core::Core;
use crate::path;
use crate::pool::ConnectError;
use crate::pool::Connection;
use crate::view::Upstream;

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
            core.guard.record_success(fingerprint);
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

/// Starts a check of the instance, concurrently with the request.
pub fn check(core: &Arc<Core>, broken: BrokenAttempt) -> CrashCheck {
    let BrokenAttempt {
        request, upstream, ..
    } = broken;
    let attempt = crash::BrokenAttempt {
        request: request.id.to_str().unwrap_or("-").into(),
        caller: request.caller,
        service: upstream.service.clone(),
        run: upstream.run(),
        sent_at: broken.sent_at,
        broken_at: broken.broken_at,
    };
    let instance = CheckedInstance {
        core: Arc::clone(core),
        upstream,
    };
    let fingerprint = async move { request.content.fingerprint(request.head).await };
    crash::check::check(Arc::clone(&core.guard), instance, attempt, fingerprint)
}

struct CheckedInstance {
    core: Arc<Core>,
    upstream: Arc<Upstream>,
}

impl crash::Instance for CheckedInstance {
    type Connection = Connection;

    fn is_ready(&self) -> bool {
        self.core.is_ready_instance(&self.upstream)
    }

    async fn connect(&self) -> io::Result<Connection> {
        let connected = self.upstream.pool.connect().await;
        connected.map_err(|err| match err {
            ConnectError::Io(err) => err,
            other @ (ConnectError::Timeout | ConnectError::Handshake(_)) => io::Error::other(other),
        })
    }

    async fn reaches_others(&self) -> bool {
        path::reaches_others(&self.core, &self.upstream).await
    }

    fn is_closed(&self, connection: &Connection) -> bool {
        connection.sender.is_closed()
    }

    fn keep(&self, connection: Connection) {
        self.upstream.pool.keep(connection, None);
    }

    fn record(&self, fate: Fate, decision: Option<Outcome>) {
        self.core
            .counters
            .broken(&self.upstream.service, fate.into());
        if let Some(Outcome::Refused { .. }) = decision {
            self.core.counters.quarantined();
        }
    }
}
