//! Waiting for a change.

use std::cell::Cell;

use futures::executor::block_on;
use reach::changes::wait_until;
use tokio::sync::watch;

/// Guards against a wait that never ends because a change comes while its condition is checked.
#[test]
fn test_change_during_the_check_is_not_missed() {
    let sender = watch::Sender::new(0);
    let calls = Cell::new(0);
    let waiting = wait_until(sender.subscribe(), || {
        calls.set(calls.get() + 1);
        sender.send_modify(|changes| *changes += 1);
        calls.get() == 2
    });
    block_on(waiting);
    assert_eq!(calls.get(), 2);
}
