//! The history of the list of entry hosts and the updates for watchers.

use std::sync::Arc;

use hub::list::HostList;
use hub::list::ListHistory;
use hub::list::Update;
use quickcheck::quickcheck;
use wire::hub::EntryHost;

fn host(name: u8) -> EntryHost {
    EntryHost {
        address: format!("{:03}:1", name % 32),
        place: format!("{:03}:2", name % 32),
        ..EntryHost::default()
    }
}

fn list(names: &[u8]) -> Arc<HostList> {
    let mut names: Vec<u8> = names.iter().map(|name| name % 32).collect();
    names.sort_unstable();
    names.dedup();
    Arc::new(HostList::new(names.into_iter().map(host).collect()))
}

fn push(lists: &mut ListHistory, list: &Arc<HostList>) {
    let packed = registry::pack_hosts(list.hosts.clone()).expect("packs");
    lists.push(Arc::clone(list), packed.into());
}

/// The list of a watcher after the update.
fn applied(current: &[EntryHost], update: Update) -> Vec<EntryHost> {
    match update {
        Update::Unchanged => current.to_vec(),
        Update::Full(packed) => registry::unpack_hosts(&packed).expect("a list"),
        Update::Changes { hosts, lost } => {
            let kept = current.iter().filter(|host| !lost.contains(&host.address));
            let mut all: Vec<EntryHost> = kept.cloned().chain(hosts).collect();
            all.sort_by(|a, b| a.address.cmp(&b.address));
            all
        }
    }
}

quickcheck! {
    /// A watcher has the newest list after each request, however many it has missed.
    fn prop_list_watcher_has_the_newest(steps: Vec<(Vec<u8>, bool)>) -> bool {
        let mut lists = ListHistory::default();
        let (mut hash, mut current) = (0, Vec::new());
        for (names, asks) in steps {
            let list = list(&names);
            push(&mut lists, &list);
            if asks {
                current = applied(&current, lists.update(hash));
                hash = lists.latest_hash();
                if current != list.hosts {
                    return false;
                }
            }
        }
        true
    }
}

#[test]
fn test_list_older_than_the_history_is_replaced_in_full() {
    let mut lists = ListHistory::default();
    assert_eq!(lists.update(7), Update::Unchanged);
    let first = list(&[1, 2]);
    push(&mut lists, &first);
    assert!(matches!(lists.update(0), Update::Full(_)));
    assert_eq!(lists.update(first.hash), Update::Unchanged);
    push(&mut lists, &list(&[2, 3]));
    let change = Update::Changes {
        hosts: vec![host(3)],
        lost: vec![host(1).address],
    };
    assert_eq!(lists.update(first.hash), change);
    for name in 4..=31 {
        push(&mut lists, &list(&[name]));
        push(&mut lists, &list(&[name, 1]));
    }
    assert!(matches!(lists.update(first.hash), Update::Full(_)));
}

/// A single lost host must not make watchers fetch the full list.
#[test]
fn test_list_change_is_small() {
    let host = |n: usize| EntryHost {
        address: format!("10.{}.0.{}:8563", n % 5, n / 5),
        domain: format!("domain-{}", n % 5),
        region: "region".into(),
        place: format!("10.{}.0.{}:7195", n % 5, n / 5),
    };
    let all: Vec<EntryHost> = (0..449).map(host).collect();
    let packed = registry::pack_hosts(all.clone()).expect("packs");
    assert!(packed.len() < 6_000, "{} bytes", packed.len());
    let (before, after) = (HostList::new(all.clone()), HostList::new(all[1..].to_vec()));
    let mut lists = ListHistory::default();
    let hash = before.hash;
    push(&mut lists, &Arc::new(before));
    push(&mut lists, &Arc::new(after));
    let change = Update::Changes {
        hosts: Vec::new(),
        lost: vec![all[0].address.clone()],
    };
    assert_eq!(lists.update(hash), change);
}
