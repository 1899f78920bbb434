//! Selection of the hubs that provide instances, entry hosts and tables.

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

/// The hubs of a process, and the sender that tells whether it knows any instance.
fn hubs_with_sender() -> (Hubs, watch::Sender<bool>) {
    let (instances_known, receiver) = watch::channel(false);
    let domain = DomainName::new("a").expect("a name");
    (Hubs::new(domain, receiver), instances_known)
}

fn hubs() -> Hubs {
    hubs_with_sender().0
}

fn status(near: bool, table: impl Into<Option<u64>>) -> HubStatus {
    HubStatus {
        answered_at: Instant::now(),
        near,
        table: table.into(),
        members: vec![hub(1), hub(2)],
        entry_count: 3,
        watch_duration: Duration::from_secs(1),
        failed: false,
    }
}

/// A reply with a full list of entry hosts.
fn list(list_id: u64, addresses: &[&str]) -> WatchReply {
    let hosts = addresses.iter().map(|address| host(address)).collect();
    WatchReply {
        list: list_id,
        packed: registry::pack_hosts(hosts).expect("packs").into(),
        ..WatchReply::default()
    }
}

fn host(address: &str) -> EntryHost {
    EntryHost {
        address: address.to_owned(),
        ..EntryHost::default()
    }
}

/// The entry hosts after the reply to a watch that named the list `base`; `None` if nothing
/// changed.
fn apply_hosts(hubs: &Hubs, base: u64, reply: &WatchReply) -> Option<Vec<String>> {
    let taken = hubs.hosts().apply(base, reply).expect("a list");
    let hosts = taken?.into_iter();
    Some(hosts.map(|host| host.address).collect())
}

fn addresses_of(addresses: &[&str]) -> Vec<String> {
    addresses.iter().map(ToString::to_string).collect()
}

#[tokio::test(start_paused = true)]
async fn test_hubs_nearest_live_hub_is_primary() {
    let hubs = hubs();
    // While no hub has answered, each one is the primary.
    assert!(hubs.is_primary(hub(1)) && hubs.is_primary(hub(2)));
    hubs.record(hub(1), status(false, None));
    hubs.record(hub(2), status(true, None));
    assert!(!hubs.is_primary(hub(1)) && hubs.is_primary(hub(2)));
    assert_eq!(
        apply_hosts(&hubs, 0, &list(7, &["a:1"])),
        Some(addresses_of(&["a:1"]))
    );
    // The local hub stops answering, and its status expires.
    advance(Duration::from_secs(2)).await;
    hubs.record(hub(1), status(false, None));
    assert!(hubs.is_primary(hub(1)) && !hubs.is_primary(hub(2)));
    assert_eq!(
        apply_hosts(&hubs, 7, &list(8, &["b:1"])),
        Some(addresses_of(&["b:1"]))
    );
}

#[tokio::test(start_paused = true)]
async fn test_hubs_failed_primary_is_replaced_at_once() {
    let hubs = hubs();
    hubs.record(hub(1), status(false, None));
    hubs.record(hub(2), status(true, None));
    let mut primary = hubs.primary.subscribe();
    hubs.record_failure(hub(2));
    assert!(primary.has_changed().expect("the hubs live"));
    assert_eq!(*primary.borrow_and_update(), Some(hub(1)));
    hubs.record(hub(2), status(true, None));
    assert_eq!(*primary.borrow_and_update(), Some(hub(2)));
}

/// Guards against processes of one failure domain that select different remote hubs.
#[tokio::test(start_paused = true)]
async fn test_hubs_remote_primary_is_the_same_within_a_domain() {
    let primary = || {
        let hubs = hubs();
        for last in 1..=7 {
            hubs.record(hub(last), status(false, None));
        }
        let primary = *hubs.primary.borrow();
        primary.expect("one is first")
    };
    let one = primary();
    assert!((0..20).all(|_| primary() == one));
}

#[tokio::test(start_paused = true)]
async fn test_hubs_full_list_comes_from_one_hub_at_a_time() {
    let (hubs, instances_known) = hubs_with_sender();
    assert_eq!(hubs.role(hub(1)), Role::FullList);
    assert_eq!(hubs.role(hub(2)), Role::Idle);
    assert_eq!(hubs.role(hub(1)), Role::FullList);
    // The first hub is slow or down.
    advance(Duration::from_millis(400)).await;
    assert_eq!(hubs.role(hub(2)), Role::FullList);
    assert_eq!(hubs.role(hub(1)), Role::Idle);
    hubs.record_failure(hub(2));
    assert_eq!(hubs.role(hub(3)), Role::FullList);
    hubs.record(hub(3), status(true, None));
    instances_known.send_replace(true);
    assert_eq!(hubs.role(hub(3)), Role::Primary);
    assert_eq!(hubs.role(hub(1)), Role::Secondary);
}

#[tokio::test(start_paused = true)]
async fn test_hubs_entry_hosts_are_updated_by_changes() {
    let hubs = hubs();
    apply_hosts(&hubs, 0, &list(7, &["a:1", "b:1"]));
    let change = WatchReply {
        list: 8,
        hosts: vec![host("c:1")],
        lost: vec!["a:1".to_owned()],
        ..WatchReply::default()
    };
    assert_eq!(
        apply_hosts(&hubs, 7, &change),
        Some(addresses_of(&["b:1", "c:1"]))
    );
    // The same reply again, or a change to a list that isn't the current one.
    assert_eq!(apply_hosts(&hubs, 8, &change), None);
    let other = WatchReply { list: 9, ..change };
    assert_eq!(apply_hosts(&hubs, 7, &other), None);
    assert_eq!(hubs.hosts().list_id(), 8);
    // A damaged list changes nothing.
    let damaged = WatchReply {
        packed: "other".into(),
        ..other
    };
    assert!(hubs.hosts().apply(8, &damaged).is_err());
    assert_eq!(hubs.hosts().list_id(), 8);
}

/// Guards against sharing budgets among the few entry hosts known to a hub that has just
/// started.
#[tokio::test(start_paused = true)]
async fn test_hubs_largest_entry_count_is_used() {
    let hubs = hubs();
    hubs.record(hub(1), status(true, None));
    let new_hub = HubStatus {
        entry_count: 1,
        ..status(true, None)
    };
    hubs.record(hub(2), new_hub);
    assert_eq!(hubs.entry_count(), 3);
}

#[tokio::test(start_paused = true)]
async fn test_hubs_one_table_is_fetched_at_a_time() {
    let hubs = hubs();
    let mut fetch_incomplete = hubs.fetch_incomplete.subscribe();
    // The hubs have no table, then one of version 0, which the process lacks.
    hubs.record(hub(1), status(true, None));
    hubs.end_fetch(None);
    assert!(!fetch_incomplete.has_changed().expect("the hubs live"));
    hubs.record(hub(1), status(true, 0));
    hubs.end_fetch(None);
    assert!(fetch_incomplete.has_changed().expect("the hubs live"));
    fetch_incomplete.mark_unchanged();
    hubs.end_fetch(Some(0));
    assert!(!fetch_incomplete.has_changed().expect("the hubs live"));
    hubs.record(hub(1), status(true, 7));
    assert!(hubs.begin_fetch(Duration::ZERO));
    assert!(!hubs.begin_fetch(Duration::ZERO) && hubs.is_fetching());
    // A slow fetch doesn't block others.
    advance(Duration::from_millis(400)).await;
    assert!(!hubs.is_fetching() && hubs.begin_fetch(Duration::ZERO));
    hubs.end_fetch(Some(7));
    assert!(!fetch_incomplete.has_changed().expect("the hubs live"));
    // A newer version is reported during the fetch.
    assert!(hubs.begin_fetch(Duration::ZERO));
    hubs.record(hub(2), status(false, 8));
    hubs.end_fetch(Some(7));
    assert!(fetch_incomplete.has_changed().expect("the hubs live"));
    fetch_incomplete.mark_unchanged();
}

#[tokio::test(start_paused = true)]
async fn test_hubs_targets_are_members_named_by_live_hubs() {
    let hubs = hubs();
    let seeds = [hub(8), hub(9)];
    assert_eq!(hubs.targets(&seeds), seeds);
    hubs.record(hub(1), status(true, None));
    assert_eq!(hubs.targets(&seeds), [hub(1), hub(2)]);
    advance(Duration::from_secs(10)).await;
    assert_eq!(hubs.targets(&seeds), seeds);
}

/// Guards against ignoring beacons at startup, and against using them while hubs are live.
#[tokio::test(start_paused = true)]
async fn test_hubs_hints_are_targets_while_no_hub_is_live() {
    let hubs = hubs();
    let mut members_changed = hubs.members_changed.subscribe();
    assert!(hubs.add_hints(&[hub(3), hub(9)]));
    assert!(members_changed.has_changed().expect("the hubs live"));
    members_changed.mark_unchanged();
    assert!(!hubs.add_hints(&[hub(3)]));
    assert!(!members_changed.has_changed().expect("the hubs live"));
    let seeds = [hub(8), hub(9)];
    assert_eq!(hubs.targets(&seeds), [hub(3), hub(8), hub(9)]);
    hubs.record(hub(1), status(true, None));
    assert_eq!(hubs.targets(&seeds), [hub(1), hub(2)]);
    let many: Vec<SocketAddr> = (10..100).map(hub).collect();
    hubs.add_hints(&many);
    advance(Duration::from_secs(10)).await;
    assert!(hubs.targets(&seeds).len() <= 34);
}

#[tokio::test(start_paused = true)]
async fn test_hubs_watch_duration_grows_with_hub_count() {
    let (hubs, instances_known) = hubs_with_sender();
    instances_known.send_replace(true);
    let mut waits = Vec::new();
    for last in 1..=9 {
        hubs.record(hub(last), status(true, None));
        waits.push(hubs.watch_duration(hub(last)).as_millis());
    }
    assert_eq!(waits, [500, 500, 501, 668, 835, 1000, 1000, 1000, 1000]);
    // A remote hub that isn't the primary holds watches for longer.
    hubs.record(hub(10), status(false, None));
    assert_eq!(hubs.watch_duration(hub(10)).as_millis(), 4_000);
}

/// Guards against a process that is cut off from all hubs and keeps a share that others have got
/// meanwhile.
#[tokio::test(start_paused = true)]
async fn test_hubs_entry_count_expires_without_answers() {
    let hubs = hubs();
    assert!(!hubs.is_count_expired());
    hubs.record(hub(1), status(true, None));
    advance(Duration::from_secs(10)).await;
    hubs.record(hub(2), status(false, None));
    advance(Duration::from_secs(14)).await;
    assert!(!hubs.is_count_expired());
    advance(hub::entries::RETENTION.saturating_sub(Duration::from_secs(14))).await;
    assert!(hubs.is_count_expired());
}
