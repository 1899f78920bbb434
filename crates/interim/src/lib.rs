//! Limits the interim responses (1xx) to a request.
//!
//! The HTTP client reads interim responses by itself and goes on to wait for the final one, which an
//! instance that sends them without an end never sends.

// Rebuilt whenever the digest of the sources changes, which `base` holds.
use base as _;

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

/// Counts the interim responses to one request.
#[derive(Debug, Default)]
pub struct InterimCounter {
    count: AtomicUsize,
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
            let before = attached.count.fetch_add(1, Ordering::Relaxed);
            if before < MAX_INTERIM_RESPONSES {
                read(response.status(), response.headers());
            } else {
                attached.exceeded.notify_one();
            }
        });
        counter
    }

    /// Waits until there are more than [`MAX_INTERIM_RESPONSES`].
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
