//! Who among the hubs is asked for what.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use entry::sync::hubs::HubStatus;
use entry::sync::hubs::Hubs;
use entry::sync::progress::Role;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::advance;
use wire::hub::EntryHost;
use wire::hub::WatchReply;

fn hub(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7012))
}

/// Of a process that holds instances once the sender says so.
fn hubs_of() -> (Hubs, watch::Sender<bool>) {
    let (instances_known, told) = watch::channel(false);
    let domain = DomainName::new("a").expect("a name");
    (Hubs::new(domain, told), instances_known)
}

fn hubs() -> Hubs {
    hubs_of().0
}

fn status(near: bool, table: u64) -> HubStatus {
    HubStatus {
        answered_at: Instant::now(),
        near,
        table,
        members: vec![hub(1), hub(2)],
        entry_count: 3,
        watch_timeout: Duration::from_secs(1),
        failed: false,
    }
}

/// A list of entry hosts in whole.
fn list(mark: u64, addresses: &[&str]) -> WatchReply {
    let rows = addresses.iter().map(|address| host(address)).collect();
    WatchReply {
        list: mark,
        packed: registry::pack_hosts(rows).expect("packs").into(),
        ..WatchReply::default()
    }
}

fn host(address: &str) -> EntryHost {
    EntryHost {
        address: address.to_owned(),
        ..EntryHost::default()
    }
}

/// The entry hosts after an answer to a watch that named the list `held`; none if nothing
/// changed.
fn take(hubs: &Hubs, held: u64, reply: &WatchReply) -> Option<Vec<String>> {
    let taken = hubs.hosts().apply(held, reply).expect("a list");
    let hosts = taken?.into_iter();
    Some(hosts.map(|host| host.address).collect())
}

fn named(addresses: &[&str]) -> Vec<String> {
    addresses.iter().map(ToString::to_string).collect()
}

#[tokio::test(start_paused = true)]
async fn test_hubs_nearest_that_answers_is_asked_for_entry_hosts() {
    let hubs = hubs();
    // Before any has answered, each is.
    assert!(hubs.is_primary(hub(1)) && hubs.is_primary(hub(2)));
    hubs.record(hub(1), status(false, 0));
    hubs.record(hub(2), status(true, 0));
    assert!(!hubs.is_primary(hub(1)) && hubs.is_primary(hub(2)));
    assert_eq!(take(&hubs, 0, &list(7, &["a:1"])), Some(named(&["a:1"])));
    // The near one falls silent; what it told no longer counts.
    advance(Duration::from_secs(2)).await;
    hubs.record(hub(1), status(false, 0));
    assert!(hubs.is_primary(hub(1)) && !hubs.is_primary(hub(2)));
    assert_eq!(take(&hubs, 7, &list(8, &["b:1"])), Some(named(&["b:1"])));
}

#[tokio::test(start_paused = true)]
async fn test_hubs_one_that_fails_to_answer_is_replaced_at_once() {
    let hubs = hubs();
    hubs.record(hub(1), status(false, 0));
    hubs.record(hub(2), status(true, 0));
    let mut primary = hubs.primary.subscribe();
    hubs.record_failure(hub(2));
    assert!(primary.has_changed().expect("the hubs live"));
    assert_eq!(*primary.borrow_and_update(), Some(hub(1)));
    hubs.record(hub(2), status(true, 0));
    assert_eq!(*primary.borrow_and_update(), Some(hub(2)));
}

/// Processes of one failure domain without a hub of its own go to the same one.
#[tokio::test(start_paused = true)]
async fn test_hubs_elsewhere_are_ranked_alike_in_a_domain() {
    let primary = || {
        let hubs = hubs();
        for last in 1..=7 {
            hubs.record(hub(last), status(false, 0));
        }
        let primary = *hubs.primary.borrow();
        primary.expect("one is first")
    };
    let one = primary();
    assert!((0..20).all(|_| primary() == one));
}

#[tokio::test(start_paused = true)]
async fn test_hubs_one_at_a_time_is_asked_for_all_instances() {
    let (hubs, instances_known) = hubs_of();
    assert_eq!(hubs.role(hub(1)), Role::FullList);
    assert_eq!(hubs.role(hub(2)), Role::Idle);
    assert_eq!(hubs.role(hub(1)), Role::FullList);
    // It is slow or gone.
    advance(Duration::from_millis(400)).await;
    assert_eq!(hubs.role(hub(2)), Role::FullList);
    assert_eq!(hubs.role(hub(1)), Role::Idle);
    hubs.record_failure(hub(2));
    assert_eq!(hubs.role(hub(3)), Role::FullList);
    hubs.record(hub(3), status(true, 0));
    instances_known.send_replace(true);
    assert_eq!(hubs.role(hub(3)), Role::Primary);
    assert_eq!(hubs.role(hub(1)), Role::Secondary);
}

#[tokio::test(start_paused = true)]
async fn test_hubs_entry_hosts_are_told_by_what_changes() {
    let hubs = hubs();
    take(&hubs, 0, &list(7, &["a:1", "b:1"]));
    let change = WatchReply {
        list: 8,
        hosts: vec![host("c:1")],
        lost: vec!["a:1".to_owned()],
        ..WatchReply::default()
    };
    assert_eq!(take(&hubs, 7, &change), Some(named(&["b:1", "c:1"])));
    // The same again, or a change of another list than the one that is held.
    assert_eq!(take(&hubs, 8, &change), None);
    let other = WatchReply { list: 9, ..change };
    assert_eq!(take(&hubs, 7, &other), None);
    assert_eq!(hubs.hosts().list_id(), 8);
    // One that is damaged changes nothing.
    let damaged = WatchReply {
        packed: "other".into(),
        ..other
    };
    assert!(hubs.hosts().apply(8, &damaged).is_err());
    assert_eq!(hubs.hosts().list_id(), 8);
}

/// A hub that has just started knows few entry hosts: budgets are for all of them.
#[tokio::test(start_paused = true)]
async fn test_hubs_most_entry_hosts_share_what_is_shared_out() {
    let hubs = hubs();
    hubs.record(hub(1), status(true, 0));
    let young = HubStatus {
        entry_count: 1,
        ..status(true, 0)
    };
    hubs.record(hub(2), young);
    assert_eq!(hubs.entry_count(), 3);
}

#[tokio::test(start_paused = true)]
async fn test_hubs_one_table_is_fetched_at_a_time() {
    let hubs = hubs();
    let mut fetch_incomplete = hubs.fetch_incomplete.subscribe();
    hubs.record(hub(1), status(true, 7));
    assert!(hubs.begin_fetch());
    assert!(!hubs.begin_fetch() && hubs.is_fetching());
    // A slow one doesn't keep others from trying.
    advance(Duration::from_millis(400)).await;
    assert!(!hubs.is_fetching() && hubs.begin_fetch());
    hubs.end_fetch(7);
    assert!(!fetch_incomplete.has_changed().expect("the hubs live"));
    // A newer one was told of while an older one came.
    assert!(hubs.begin_fetch());
    hubs.record(hub(2), status(false, 8));
    hubs.end_fetch(7);
    assert!(fetch_incomplete.has_changed().expect("the hubs live"));
    fetch_incomplete.mark_unchanged();
}

#[tokio::test(start_paused = true)]
async fn test_hubs_wanted_are_those_that_live_ones_name() {
    let hubs = hubs();
    let seeds = [hub(8), hub(9)];
    assert_eq!(hubs.targets(&seeds), seeds);
    hubs.record(hub(1), status(true, 0));
    assert_eq!(hubs.targets(&seeds), [hub(1), hub(2)]);
    advance(Duration::from_secs(10)).await;
    assert_eq!(hubs.targets(&seeds), seeds);
}

/// Hubs that make themselves known are asked beside the seeds, until others are live.
#[tokio::test(start_paused = true)]
async fn test_hubs_hints_are_wanted_while_none_is_live() {
    let hubs = hubs();
    let mut members_changed = hubs.members_changed.subscribe();
    assert!(hubs.add_hints(&[hub(3), hub(9)]));
    assert!(members_changed.has_changed().expect("the hubs live"));
    members_changed.mark_unchanged();
    assert!(!hubs.add_hints(&[hub(3)]));
    assert!(!members_changed.has_changed().expect("the hubs live"));
    let seeds = [hub(8), hub(9)];
    assert_eq!(hubs.targets(&seeds), [hub(3), hub(8), hub(9)]);
    hubs.record(hub(1), status(true, 0));
    assert_eq!(hubs.targets(&seeds), [hub(1), hub(2)]);
    let many: Vec<SocketAddr> = (10..100).map(hub).collect();
    hubs.add_hints(&many);
    advance(Duration::from_secs(10)).await;
    assert!(hubs.targets(&seeds).len() <= 34);
}

#[tokio::test(start_paused = true)]
async fn test_hubs_more_of_them_hold_watches_for_longer() {
    let (hubs, instances_known) = hubs_of();
    instances_known.send_replace(true);
    let mut waits = Vec::new();
    for last in 1..=9 {
        hubs.record(hub(last), status(true, 0));
        waits.push(hubs.watch_timeout(hub(last)).as_millis());
    }
    assert_eq!(waits, [500, 500, 501, 668, 835, 1000, 1000, 1000, 1000]);
    // One elsewhere tells nothing by the end of a watch.
    hubs.record(hub(10), status(false, 0));
    assert_eq!(hubs.watch_timeout(hub(10)).as_millis(), 4_000);
}
