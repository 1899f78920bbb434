//! Counts requests in flight and waits for their end.

use std::sync::Arc;

use tokio::sync::watch;

/// The requests in flight at one gateway.
#[derive(Clone, Debug)]
pub struct Flying(Arc<watch::Sender<u32>>);

/// One request in flight, until it is dropped.
#[derive(Debug)]
pub struct Flight(Arc<watch::Sender<u32>>);

impl Default for Flying {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }
}

impl Flying {
    /// Begins one.
    #[must_use]
    pub fn begin(&self) -> Flight {
        self.0.send_modify(|count| *count += 1);
        Flight(self.0.clone())
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> u32 {
        *self.0.borrow()
    }

    /// Waits until there is none.
    pub async fn landed(&self) {
        let mut count = self.0.subscribe();
        // The sender lives as long as `self`.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
