//! Guards against missing a change of the settings file, and against a reload while it is
//! being replaced.

use std::fs;
use std::path::PathBuf;

use daemon::signals::SignalAction;
use daemon::signals::Signals;

#[tokio::test(start_paused = true)]
async fn test_signals_changed_file_asks_for_a_reload() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("changed.ini");
    fs::write(&path, "a = 1\n").expect("writes");
    let mut signals = Signals::new(&path).expect("installs handlers");
    assert_eq!(signals.path(), path);
    fs::write(&path, "a = 2\n").expect("writes");
    assert_eq!(signals.next().await, SignalAction::Reload);
    // A file that is missing for a while is not reloaded.
    fs::remove_file(&path).expect("removes");
    let next = tokio::time::timeout(std::time::Duration::from_secs(5), signals.next());
    assert!(next.await.is_err());
    fs::write(&path, "a = 3\n").expect("writes");
    assert_eq!(signals.next().await, SignalAction::Reload);
}
