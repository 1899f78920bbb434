//! Limits the interim responses (1xx) to a request, in number and in size.
//!
//! The HTTP client reads interim responses by itself and goes on to wait for the final one, which an
//! instance that sends them without an end never sends.

// Rebuilt whenever the digest of the sources changes, which `base` holds.
use base as _;

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use http::HeaderMap;
use http::Request;
use http::StatusCode;
use tokio::sync::Notify;

/// Maximum number of interim responses to one request. An instance that sends more may never send
/// a final response.
pub const MAX_INTERIM_RESPONSES: usize = 32;
/// Maximum size of the headers of all of them together, in bytes. Reading large ones takes time that
/// other requests of the process wait for.
pub const MAX_INTERIM_BYTES: usize = 64 * 1024;

/// The limits, as an error names them.
#[derive(Clone, Copy, Debug)]
pub struct InterimLimits;

impl fmt::Display for InterimLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{MAX_INTERIM_RESPONSES} interim responses or {MAX_INTERIM_BYTES} bytes of them"
        )
    }
}

/// Counts the interim responses to one request.
#[derive(Debug, Default)]
pub struct InterimCounter {
    count: AtomicUsize,
    bytes: AtomicUsize,
    exceeded: Notify,
}

impl InterimCounter {
    /// Counts the interim responses to `request`, and passes those within the limit to `read`.
    pub fn attach<B>(
        request: &mut Request<B>,
        read: impl Fn(StatusCode, &HeaderMap) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let counter = Arc::new(Self::default());
        let attached = Arc::clone(&counter);
        hyper::ext::on_informational(request, move |response| {
            if attached.record(response.headers()) {
                read(response.status(), response.headers());
            } else {
                attached.exceeded.notify_one();
            }
        });
        counter
    }

    /// Counts a response. Returns whether it is within the limits.
    fn record(&self, headers: &HeaderMap) -> bool {
        let sizes = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len());
        let bytes: usize = sizes.sum();
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        let bytes = self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        count <= MAX_INTERIM_RESPONSES && bytes <= MAX_INTERIM_BYTES
    }

    /// Waits until there are more than the limits allow.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
