//! Who among the hubs is asked for what.

use std::net::SocketAddr;
use std::time::Duration;

use entry::sync::hubs::Hubs;
use entry::sync::hubs::Seen;
use tokio::time::Instant;
use tokio::time::advance;
use wire::hub::EntryHost;

fn hub(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7012))
}

fn seen(near: bool, table: u64, hosts: &[&str]) -> Seen {
    let host = |address: &&str| EntryHost {
        address: (*address).to_owned(),
        ..EntryHost::default()
    };
    Seen {
        answered: Instant::now(),
        near,
        table,
        named: vec![hub(1), hub(2)],
        hosts: hosts.iter().map(host).collect(),
    }
}

#[tokio::test(start_paused = true)]
async fn test_hubs_nearest_that_answers_is_asked_for_entry_hosts() {
    let hubs = Hubs::new();
    // Before any has answered, each is.
    assert!(hubs.is_first(hub(1)) && hubs.is_first(hub(2)));
    hubs.note(hub(1), seen(false, 0, &[]));
    hubs.note(hub(2), seen(true, 0, &["a:1"]));
    assert!(!hubs.is_first(hub(1)) && hubs.is_first(hub(2)));
    // The near one falls silent; what it told no longer counts.
    advance(Duration::from_secs(2)).await;
    let named = hubs.note(hub(1), seen(false, 0, &["b:1"]));
    assert!(hubs.is_first(hub(1)) && !hubs.is_first(hub(2)));
    assert_eq!(named.len(), 1);
    assert_eq!(named[0].address, "b:1");
}

#[tokio::test(start_paused = true)]
async fn test_hubs_one_table_is_fetched_at_a_time() {
    let hubs = Hubs::new();
    let mut stalled = hubs.stalled.subscribe();
    hubs.note(hub(1), seen(true, 7, &[]));
    assert!(hubs.begin_fetch());
    assert!(!hubs.begin_fetch() && hubs.is_fetching());
    // A slow one doesn't keep others from trying.
    advance(Duration::from_millis(400)).await;
    assert!(!hubs.is_fetching() && hubs.begin_fetch());
    hubs.end_fetch(7);
    assert!(!stalled.has_changed().expect("the hubs live"));
    // A newer one was told of while an older one came.
    assert!(hubs.begin_fetch());
    hubs.note(hub(2), seen(false, 8, &[]));
    hubs.end_fetch(7);
    assert!(stalled.has_changed().expect("the hubs live"));
    stalled.mark_unchanged();
}

#[tokio::test(start_paused = true)]
async fn test_hubs_wanted_are_those_that_live_ones_name() {
    let hubs = Hubs::new();
    let seeds = [hub(8), hub(9)];
    assert_eq!(hubs.wanted(&seeds), seeds);
    hubs.note(hub(1), seen(true, 0, &[]));
    assert_eq!(hubs.wanted(&seeds), [hub(1), hub(2)]);
    advance(Duration::from_secs(10)).await;
    assert_eq!(hubs.wanted(&seeds), seeds);
}

#[tokio::test(start_paused = true)]
async fn test_hubs_more_of_them_hold_watches_for_longer() {
    let hubs = Hubs::new();
    let mut waits = Vec::new();
    for last in 1..=9 {
        hubs.note(hub(last), seen(true, 0, &[]));
        waits.push(hubs.wait().as_millis());
    }
    assert_eq!(waits, [500, 500, 501, 668, 835, 1000, 1000, 1000, 1000]);
}
