//! Waiting for a change of what a process believes of its paths.

use tokio::sync::watch;

/// Waits until `holds` is true, which is asked again at each change, or the sender is gone.
///
/// `holds` may take a lock under which changes are sent. With [`watch::Receiver::wait_for`], which
/// keeps the channel locked while it asks, two threads would then wait for each other for ever.
pub async fn wait_until(mut changes: watch::Receiver<u64>, holds: impl Fn() -> bool) {
    loop {
        // Before the question, so that no later change is missed.
        changes.mark_unchanged();
        if holds() || changes.changed().await.is_err() {
            return;
        }
    }
}
