//! Who among the hubs is asked for what.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use entry::sync::hubs::Hubs;
use entry::sync::hubs::Seen;
use entry::sync::progress::Part;
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

fn seen(near: bool, table: u64) -> Seen {
    Seen {
        answered: Instant::now(),
        near,
        table,
        named: vec![hub(1), hub(2)],
        entries: 3,
        wait: Duration::from_secs(1),
        missed: false,
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
    let taken = hubs.hosts().take(held, reply).expect("a list");
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
    assert!(hubs.is_first(hub(1)) && hubs.is_first(hub(2)));
    hubs.note(hub(1), seen(false, 0));
    hubs.note(hub(2), seen(true, 0));
    assert!(!hubs.is_first(hub(1)) && hubs.is_first(hub(2)));
    assert_eq!(take(&hubs, 0, &list(7, &["a:1"])), Some(named(&["a:1"])));
    // The near one falls silent; what it told no longer counts.
    advance(Duration::from_secs(2)).await;
    hubs.note(hub(1), seen(false, 0));
    assert!(hubs.is_first(hub(1)) && !hubs.is_first(hub(2)));
    assert_eq!(take(&hubs, 7, &list(8, &["b:1"])), Some(named(&["b:1"])));
}

#[tokio::test(start_paused = true)]
async fn test_hubs_one_that_fails_to_answer_is_replaced_at_once() {
    let hubs = hubs();
    hubs.note(hub(1), seen(false, 0));
    hubs.note(hub(2), seen(true, 0));
    let mut first = hubs.first.subscribe();
    hubs.missed(hub(2));
    assert!(first.has_changed().expect("the hubs live"));
    assert_eq!(*first.borrow_and_update(), Some(hub(1)));
    hubs.note(hub(2), seen(true, 0));
    assert_eq!(*first.borrow_and_update(), Some(hub(2)));
}

/// Processes of one failure domain without a hub of its own go to the same one.
#[tokio::test(start_paused = true)]
async fn test_hubs_elsewhere_are_ranked_alike_in_a_domain() {
    let first = || {
        let hubs = hubs();
        for last in 1..=7 {
            hubs.note(hub(last), seen(false, 0));
        }
        let first = *hubs.first.borrow();
        first.expect("one is first")
    };
    let one = first();
    assert!((0..20).all(|_| first() == one));
}

#[tokio::test(start_paused = true)]
async fn test_hubs_one_at_a_time_is_asked_for_all_instances() {
    let (hubs, instances_known) = hubs_of();
    assert_eq!(hubs.part(hub(1)), Part::Lists);
    assert_eq!(hubs.part(hub(2)), Part::Waits);
    assert_eq!(hubs.part(hub(1)), Part::Lists);
    // It is slow or gone.
    advance(Duration::from_millis(400)).await;
    assert_eq!(hubs.part(hub(2)), Part::Lists);
    assert_eq!(hubs.part(hub(1)), Part::Waits);
    hubs.missed(hub(2));
    assert_eq!(hubs.part(hub(3)), Part::Lists);
    hubs.note(hub(3), seen(true, 0));
    instances_known.send_replace(true);
    assert_eq!(hubs.part(hub(3)), Part::First);
    assert_eq!(hubs.part(hub(1)), Part::Other);
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
    assert_eq!(hubs.hosts().mark(), 8);
    // One that is damaged changes nothing.
    let damaged = WatchReply {
        packed: "other".into(),
        ..other
    };
    assert!(hubs.hosts().take(8, &damaged).is_err());
    assert_eq!(hubs.hosts().mark(), 8);
}

/// A hub that has just started knows few entry hosts: budgets are for all of them.
#[tokio::test(start_paused = true)]
async fn test_hubs_most_entry_hosts_share_what_is_shared_out() {
    let hubs = hubs();
    hubs.note(hub(1), seen(true, 0));
    let young = Seen {
        entries: 1,
        ..seen(true, 0)
    };
    hubs.note(hub(2), young);
    assert_eq!(hubs.entries(), 3);
}

#[tokio::test(start_paused = true)]
async fn test_hubs_one_table_is_fetched_at_a_time() {
    let hubs = hubs();
    let mut stalled = hubs.stalled.subscribe();
    hubs.note(hub(1), seen(true, 7));
    assert!(hubs.begin_fetch());
    assert!(!hubs.begin_fetch() && hubs.is_fetching());
    // A slow one doesn't keep others from trying.
    advance(Duration::from_millis(400)).await;
    assert!(!hubs.is_fetching() && hubs.begin_fetch());
    hubs.end_fetch(7);
    assert!(!stalled.has_changed().expect("the hubs live"));
    // A newer one was told of while an older one came.
    assert!(hubs.begin_fetch());
    hubs.note(hub(2), seen(false, 8));
    hubs.end_fetch(7);
    assert!(stalled.has_changed().expect("the hubs live"));
    stalled.mark_unchanged();
}

#[tokio::test(start_paused = true)]
async fn test_hubs_wanted_are_those_that_live_ones_name() {
    let hubs = hubs();
    let seeds = [hub(8), hub(9)];
    assert_eq!(hubs.wanted(&seeds), seeds);
    hubs.note(hub(1), seen(true, 0));
    assert_eq!(hubs.wanted(&seeds), [hub(1), hub(2)]);
    advance(Duration::from_secs(10)).await;
    assert_eq!(hubs.wanted(&seeds), seeds);
}

/// Hubs that make themselves known are asked beside the seeds, until others are live.
#[tokio::test(start_paused = true)]
async fn test_hubs_hints_are_wanted_while_none_is_live() {
    let hubs = hubs();
    let mut renamed = hubs.renamed.subscribe();
    assert!(hubs.hint(&[hub(3), hub(9)]));
    assert!(renamed.has_changed().expect("the hubs live"));
    renamed.mark_unchanged();
    assert!(!hubs.hint(&[hub(3)]));
    assert!(!renamed.has_changed().expect("the hubs live"));
    let seeds = [hub(8), hub(9)];
    assert_eq!(hubs.wanted(&seeds), [hub(3), hub(8), hub(9)]);
    hubs.note(hub(1), seen(true, 0));
    assert_eq!(hubs.wanted(&seeds), [hub(1), hub(2)]);
    let many: Vec<SocketAddr> = (10..100).map(hub).collect();
    hubs.hint(&many);
    advance(Duration::from_secs(10)).await;
    assert!(hubs.wanted(&seeds).len() <= 34);
}

#[tokio::test(start_paused = true)]
async fn test_hubs_more_of_them_hold_watches_for_longer() {
    let (hubs, instances_known) = hubs_of();
    instances_known.send_replace(true);
    let mut waits = Vec::new();
    for last in 1..=9 {
        hubs.note(hub(last), seen(true, 0));
        waits.push(hubs.wait(hub(last)).as_millis());
    }
    assert_eq!(waits, [500, 500, 501, 668, 835, 1000, 1000, 1000, 1000]);
    // One elsewhere tells nothing by the end of a watch.
    hubs.note(hub(10), seen(false, 0));
    assert_eq!(hubs.wait(hub(10)).as_millis(), 4_000);
}
