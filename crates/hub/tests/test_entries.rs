//! Which entry hosts are listed for callers.

use std::time::Duration;

use base::prelude::*;
use hub::entries::Entries;
use hub::entries::RETENTION;
use hub::entries::REWATCH_TIMEOUT;
use hub::entries::WATCH_GRACE;
use hub::list::HostList;
use wire::hub::Watch;

const WAIT: Duration = Duration::from_secs(2);

fn watch(host: &str, ready: bool) -> Watch {
    Watch {
        host: host.into(),
        address: format!("{host}:1"),
        domain: "a".into(),
        region: "r".into(),
        ready,
        wait_ms: u32::try_from(WAIT.as_millis()).expect("small"),
        ..Watch::default()
    }
}

fn listed(entries: &Entries, now: Moment) -> Vec<String> {
    let list = entries.list(now).into_iter();
    list.map(|host| host.address).collect()
}

fn after(millis: u64) -> Moment {
    Moment::from_millis(10_000) + Duration::from_millis(millis)
}

#[test]
fn test_entries_are_listed_after_settle_delay() {
    let mut entries = Entries::default();
    entries.watch_started(after(0), &watch("one", true));
    assert!(listed(&entries, after(100)).is_empty());
    entries.watch_started(after(400), &watch("two", true));
    assert_eq!(listed(&entries, after(900)), ["one:1", "two:1"]);
}

#[test]
fn test_entries_are_listed_while_ready_and_watching() {
    let mut entries = Entries::default();
    entries.watch_started(after(0), &watch("one", true));
    entries.watch_started(after(0), &watch("two", true));
    entries.watch_started(after(900), &watch("two", false));
    assert_eq!(listed(&entries, after(1_000)), ["one:1"]);
    // An open watch expires soon after the requested wait.
    let expired = after(0) + WAIT + WATCH_GRACE;
    assert!(listed(&entries, expired).is_empty());
    entries.watch_started(expired, &watch("one", true));
    assert_eq!(listed(&entries, expired), ["one:1"]);
}

#[test]
fn test_entries_that_do_not_watch_again_expire() {
    let mut entries = Entries::default();
    entries.watch_started(after(0), &watch("one", true));
    entries.watch_answered(after(600), &watch("one", true));
    assert_eq!(listed(&entries, after(700)), ["one:1"]);
    assert!(listed(&entries, after(600) + REWATCH_TIMEOUT).is_empty());
    entries.watch_started(after(1_000), &watch("one", true));
    assert_eq!(listed(&entries, after(1_100)), ["one:1"]);
}

#[test]
fn test_entries_count_includes_restarting_hosts() {
    let mut entries = Entries::default();
    entries.watch_started(after(0), &watch("one", true));
    entries.watch_started(after(0), &watch("two", true));
    assert_eq!(entries.count(after(5_000)), 2);
    assert_eq!(entries.count(after(0) + RETENTION), 0);
}

#[test]
fn test_entries_ignore_watcher_without_address() {
    let mut entries = Entries::default();
    let no_address = Watch {
        address: String::new(),
        ..watch("one", true)
    };
    assert!(!entries.watch_started(after(0), &no_address));
    assert_eq!(entries.count(after(0)), 0);
}

#[test]
fn test_entries_equal_lists_have_equal_hashes() {
    let mut entries = Entries::default();
    entries.watch_started(after(0), &watch("one", true));
    let one = HostList::new(entries.list(after(600))).hash;
    entries.watch_started(after(700), &watch("two", true));
    let two = HostList::new(entries.list(after(700))).hash;
    assert_ne!(one, two);
    assert_ne!(HostList::new(Vec::new()).hash, 0);
    assert_eq!(two, HostList::new(entries.list(after(800))).hash);
}

/// Guards against a hub that has just started and tells the first entry hosts that they are alone.
#[test]
fn test_entries_count_is_unknown_until_all_hosts_could_watch() {
    let mut entries = Entries::default();
    entries.watch_started(after(0), &watch("one", true));
    assert_eq!(entries.count(after(100)), 0);
    entries.watch_started(after(400), &watch("two", true));
    assert_eq!(entries.count(after(600)), 2);
}

/// Guards against shares of a budget that grow while hosts known before a restart still use theirs.
#[test]
fn test_entries_count_includes_hosts_known_before_restart() {
    let mut entries = Entries::default();
    entries.remember(after(0), 3);
    entries.watch_started(after(100), &watch("one", true));
    assert_eq!(entries.count(after(200)), 3);
    assert_eq!(entries.count(after(10_000)), 3);
    entries.watch_started(after(19_000), &watch("one", true));
    assert_eq!(entries.count(after(0) + RETENTION), 1);
}
