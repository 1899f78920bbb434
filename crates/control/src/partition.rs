//! A simulated network partition between replicas, for tests.

use std::sync::Arc;

use tokio::sync::watch;

/// While it is active, frames in both directions are dropped without an error.
#[derive(Clone, Debug)]
pub struct Partition {
    cut: Arc<watch::Sender<bool>>,
}

impl Default for Partition {
    fn default() -> Self {
        Self {
            cut: Arc::new(watch::Sender::new(false)),
        }
    }
}

impl Partition {
    /// Starts or ends the partition.
    pub fn set(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Whether frames are dropped.
    #[must_use]
    pub fn is_active(&self) -> bool {
        *self.cut.borrow()
    }

    /// Never returns when called while the partition is active, as the frame is dropped.
    pub async fn block_if_active(&self) {
        if self.is_active() {
            std::future::pending::<()>().await;
        }
    }
}
