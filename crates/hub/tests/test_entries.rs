//! Which entry hosts callers may be sent to.

use std::time::Duration;

use base::prelude::*;
use hub::entries::Entries;
use hub::entries::FORGET;
use hub::entries::FRESH;
use wire::hub::Watch;

fn watch(host: &str, ready: bool) -> Watch {
    Watch {
        host: host.into(),
        address: format!("{host}:1"),
        domain: "a".into(),
        region: "r".into(),
        ready,
        ..Watch::default()
    }
}

fn named(entries: &Entries, now: Moment) -> Vec<String> {
    let list = entries.list(now).into_iter();
    list.map(|host| host.address).collect()
}

fn after(millis: u64) -> Moment {
    Moment::from_millis(10_000) + Duration::from_millis(millis)
}

#[test]
fn test_entries_are_named_once_the_first_ones_had_time_to_come() {
    let mut entries = Entries::default();
    entries.note(after(0), &watch("one", true));
    assert!(named(&entries, after(100)).is_empty());
    entries.note(after(400), &watch("two", true));
    assert_eq!(named(&entries, after(900)), ["one:1", "two:1"]);
}

#[test]
fn test_entries_are_named_while_they_are_ready_and_heard() {
    let mut entries = Entries::default();
    entries.note(after(0), &watch("one", true));
    entries.note(after(0), &watch("two", true));
    entries.note(after(900), &watch("two", false));
    assert_eq!(named(&entries, after(1_000)), ["one:1"]);
    let silent = after(0) + FRESH;
    assert!(named(&entries, silent).is_empty());
    entries.note(silent, &watch("one", true));
    assert_eq!(named(&entries, silent), ["one:1"]);
}

#[test]
fn test_entries_count_those_that_restart() {
    let mut entries = Entries::default();
    entries.note(after(0), &watch("one", true));
    entries.note(after(0), &watch("two", true));
    assert_eq!(entries.count(after(0) + FRESH * 2), 2);
    assert_eq!(entries.count(after(0) + FORGET), 0);
}

#[test]
fn test_entries_watcher_without_an_address_takes_no_callers() {
    let mut entries = Entries::default();
    let other = Watch {
        address: String::new(),
        ..watch("one", true)
    };
    assert!(!entries.note(after(0), &other));
    assert_eq!(entries.count(after(0)), 0);
}

#[test]
fn test_entries_equal_lists_have_equal_marks() {
    let mut entries = Entries::default();
    entries.note(after(0), &watch("one", true));
    let one = Entries::mark(&entries.list(after(600)));
    entries.note(after(700), &watch("two", true));
    let two = Entries::mark(&entries.list(after(700)));
    assert_ne!(one, two);
    assert_ne!(Entries::mark(&[]), 0);
    assert_eq!(two, Entries::mark(&entries.list(after(800))));
}
