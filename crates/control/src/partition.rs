//! A switch in the links between replicas, for tests of silent cuts.

use std::sync::Arc;

use tokio::sync::watch;

/// While it is cut, frames in both directions vanish and no side gets an error.
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
    /// Cuts the links, or joins them again.
    pub fn set(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Whether frames vanish.
    #[must_use]
    pub fn is_active(&self) -> bool {
        *self.cut.borrow()
    }

    /// Never returns to a call that met a cut, as its frame has vanished.
    pub async fn pass(&self) {
        if self.is_active() {
            std::future::pending::<()>().await;
        }
    }
}
