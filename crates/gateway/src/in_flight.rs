//! Counts requests in flight and waits until none is left.

use std::sync::Arc;

use tokio::sync::watch;

/// Counter of the requests in flight at one gateway.
#[derive(Clone, Debug)]
pub struct InFlightRequests(Arc<watch::Sender<u32>>);

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<watch::Sender<u32>>);

impl Default for InFlightRequests {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }
}

impl InFlightRequests {
    /// Counts one more request until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> InFlightGuard {
        self.0.send_modify(|count| *count += 1);
        InFlightGuard(self.0.clone())
    }

    /// Current number of requests in flight.
    #[must_use]
    pub fn count(&self) -> u32 {
        *self.0.borrow()
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        let mut count = self.0.subscribe();
        // `self` owns the sender, so the channel can't be closed here.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
