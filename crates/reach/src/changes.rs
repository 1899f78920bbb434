//! Waiting for a change of what a process believes of its paths.

use tokio::sync::watch;

/// Waits until `holds` returns true or the sender is dropped; `holds` is called at each change.
///
/// `holds` may take a lock under which changes are sent. [`watch::Receiver::wait_for`] keeps the
/// channel locked while it calls its condition, so that two threads could deadlock.
pub async fn wait_until(mut changes: watch::Receiver<u64>, holds: impl Fn() -> bool) {
    loop {
        // Before the call, so that no later change is missed.
        changes.mark_unchanged();
        if holds() || changes.changed().await.is_err() {
            return;
        }
    }
}
