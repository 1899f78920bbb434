//! Quotas of workspaces over several entry processes.

mod fakes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use entry::Dialect;
use entry::Entry;
use entry::Settings;
use entry::core::Core;
use entry::settings::QuotaSettings;
use fakes::HOST;
use fakes::HUB;
use fakes::READ;
use fakes::RELAY_PORT;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::host_of;
use fakes::instance;
use fakes::settings;
use fakes::table;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;
use table::KeyDigest;
use table::Quota;
use table::Table;
use table::Workspace;
use tokio_util::task::AbortOnDropHandle;
use wire::hub::EntryHost;

const FREE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const KEY: &str = "key-1";
/// Time in which a new holder's bucket fills: its waiting time, and the burst at the rate.
const FILL_TIME: Duration = Duration::from_millis(1_100);
const HUB_INTERVAL: Duration = Duration::from_millis(100);

/// A table whose workspace sends `burst` requests at once, which accrue within half a second.
fn quota_table(version: u64, burst: u64) -> Table {
    let quota = Quota {
        rate: burst * 2_000,
        burst,
    };
    quota_table_of(version, Some(quota))
}

fn quota_table_of(version: u64, quota: Option<Quota>) -> Table {
    let workspace = Workspace {
        name: WorkspaceName::new("ledger").expect("a name"),
        keys: vec![KeyDigest::of(KEY)],
        priority: 0,
        quota,
    };
    Table {
        workspaces: vec![workspace],
        ..table(version)
    }
}

/// Entry processes that know each other, one for each given failure domain.
struct Group {
    entries: Vec<Entry>,
    upstream: Upstream,
    _hubs: Vec<AbortOnDropHandle<()>>,
}

impl Group {
    async fn start(domains: &[&str], table: &Table) -> Self {
        Self::start_with_relay(domains, table, None).await
    }

    async fn start_with_relay(domains: &[&str], table: &Table, relay: Option<u16>) -> Self {
        let upstream = Upstream::start("i-1", Behavior::Answer).await;
        let mut names: Vec<&str> = domains.to_vec();
        names.dedup();
        let names: Vec<DomainName> = names.into_iter().map(domain).collect();
        let mut entries = Vec::new();
        for (number, name) in domains.iter().enumerate() {
            let settings = Settings {
                host: HostName::new(&format!("entry-{number}")).expect("a name"),
                domain: domain(name),
                place: Some(FREE),
                relay,
                quota: QuotaSettings {
                    domains: names.clone(),
                    ..QuotaSettings::default()
                },
                ..settings()
            };
            let log = telemetry::log::silent();
            let entry = Entry::start(settings, Dialect::default(), log).await;
            entries.push(entry.expect("starts"));
        }
        let hubs = entries.iter().map(|entry| answer_as_hub(entry.core()));
        let group = Self {
            _hubs: hubs.collect(),
            entries,
            upstream,
        };
        let hosts = group.hosts();
        for entry in &group.entries {
            let instances = [instance(&group.upstream, "status")];
            entry.core().set_table(table.clone());
            entry.core().apply_instances(HUB, &instances, &[]);
            entry.core().set_hosts(hosts.clone());
        }
        group
    }

    fn hosts(&self) -> Vec<EntryHost> {
        let hosts = self.entries.iter().map(|entry| EntryHost {
            place: place(entry).to_string(),
            ..host_of(entry)
        });
        hosts.collect()
    }

    /// The process that holds the quota in the failure domain of all processes.
    fn holder(&self) -> usize {
        let places: Vec<String> = self.entries.iter().map(|e| place(e).to_string()).collect();
        let is_holder = |own: &String| place::rank("ledger", own, &places) == Some(0);
        places.iter().position(is_holder).expect("one")
    }

    /// Sends `count` requests to each process in turn. Returns the answers.
    async fn send(&self, to: &[usize], count: usize) -> Vec<Answer> {
        let mut answers = Vec::new();
        for index in to.iter().cycle().take(count) {
            answers.push(send(&self.entries[*index]).await);
        }
        answers
    }
}

/// Lets hubs answer the process, which otherwise counts as cut off.
fn answer_as_hub(core: &Arc<Core>) -> AbortOnDropHandle<()> {
    let core = Arc::clone(core);
    AbortOnDropHandle::new(tokio::spawn(async move {
        loop {
            core.quotas.hub_answered(core.clock.now());
            tokio::time::sleep(HUB_INTERVAL).await;
        }
    }))
}

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a name")
}

fn place(entry: &Entry) -> SocketAddr {
    entry.core().settings().place.expect("bound")
}

async fn send(entry: &Entry) -> Answer {
    let mut caller = Caller::connect(entry.front()).await;
    let text = format!(
        "GET {READ} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         rwr-deadline-ms: 2000\r\n\r\n"
    );
    caller.send_raw(text.as_bytes()).await;
    caller.answer().await.expect("an answer")
}

fn count(answers: &[Answer], status: u16) -> usize {
    answers.iter().filter(|a| a.status == status).count()
}

/// Guards against quotas that count per process, or that reject without the time to come back.
#[tokio::test]
async fn test_quota_is_summed_over_the_processes_of_a_domain() {
    let slow = Quota {
        rate: 3_000,
        burst: 3,
    };
    let group = Group::start(&["a", "a", "a"], &quota_table_of(1, Some(slow))).await;
    tokio::time::sleep(FILL_TIME * 2).await;
    let answers = group.send(&[0, 1, 2], 60).await;
    let served = count(&answers, 200);
    let bound = (3 * 5 + 3) * 11 / 10 + 20;
    assert!((3..=bound).contains(&served), "{served} served");
    assert_eq!(served, group.upstream.received_requests().len());
    let refused: Vec<&Answer> = answers.iter().filter(|a| a.status != 200).collect();
    for answer in refused {
        assert_eq!((answer.status, &*answer.body), (429, "over-quota"));
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
}

/// Guards against a failure domain that can send only its own share.
#[tokio::test]
async fn test_quota_of_other_domains_is_transferred() {
    let slow = Quota {
        rate: 9_000,
        burst: 9,
    };
    let group = Group::start(&["a", "b", "c"], &quota_table_of(1, Some(slow))).await;
    tokio::time::sleep(FILL_TIME * 2).await;
    let answers = group.send(&[0], 9).await;
    assert_eq!(count(&answers, 200), 9);
}

/// Guards against requests that fail while a holder is lost, against a status that says that the
/// quota is used up, and against tokens for the holder that takes over before the others know.
#[tokio::test]
async fn test_next_holder_takes_over_after_the_lists_change() {
    let mut group = Group::start(&["a", "a", "a"], &quota_table(1, 20)).await;
    tokio::time::sleep(FILL_TIME).await;
    let holder = group.holder();
    drop(group.entries.remove(holder));
    let answers = group.send(&[0, 1], 4).await;
    for answer in &answers {
        assert_eq!((answer.status, &*answer.body), (503, "quota-unreachable"));
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
    let hosts = group.hosts();
    for entry in &group.entries {
        entry.core().set_hosts(hosts.clone());
    }
    assert_eq!(send(&group.entries[0]).await.status, 429);
    tokio::time::sleep(FILL_TIME * 2).await;
    let answers = group.send(&[0, 1], 10).await;
    assert_eq!(count(&answers, 200), 10);
}

/// Guards against a lost failure domain that stops the others.
#[tokio::test]
async fn test_other_domains_grant_while_a_holder_is_lost() {
    let mut group = Group::start(&["a", "a", "b"], &quota_table(1, 20)).await;
    tokio::time::sleep(FILL_TIME).await;
    let places: Vec<String> = group.entries[..2]
        .iter()
        .map(|entry| place(entry).to_string())
        .collect();
    let is_holder = |own: &String| place::rank("ledger", own, &places) == Some(0);
    let holder = places.iter().position(is_holder).expect("one");
    drop(group.entries.remove(holder));
    let answers = group.send(&[0], 5).await;
    assert_eq!(count(&answers, 200), 5);
}

/// Guards against permits that are charged although no instance ran the request.
#[tokio::test]
async fn test_permit_of_an_unsent_request_is_given_back() {
    let slow = Quota { rate: 10, burst: 2 };
    let table = quota_table_of(1, Some(slow));
    let group = Group::start(&["a", "a"], &table).await;
    let asker = 1 - group.holder();
    let removed = wire::hub::Instance {
        phase: wire::hub::Phase::Gone.into(),
        sequence: 9,
        ..instance(&group.upstream, "status")
    };
    // Fast while the bucket fills.
    let fast = Quota {
        rate: 10_000,
        burst: 2,
    };
    for entry in &group.entries {
        entry.core().set_table(quota_table_of(2, Some(fast)));
    }
    tokio::time::sleep(FILL_TIME).await;
    send(&group.entries[asker]).await;
    tokio::time::sleep(FILL_TIME).await;
    for entry in &group.entries {
        entry.core().set_table(quota_table_of(3, Some(slow)));
        entry
            .core()
            .apply_instances(HUB, std::slice::from_ref(&removed), &[]);
    }
    for _ in 0..6 {
        let answer = send(&group.entries[asker]).await;
        assert_eq!((answer.status, &*answer.body), (503, "no-instance"));
        tokio::time::sleep(HUB_INTERVAL).await;
    }
}

/// Guards against relayed requests that two processes charge, or that none charges.
#[tokio::test]
async fn test_relayed_request_is_charged_once() {
    let group = Group::start_with_relay(&["a"], &quota_table(1, 20), Some(RELAY_PORT)).await;
    // No holder answers, so that only a request with a permit is served.
    group.entries[0].core().set_hosts(vec![EntryHost {
        address: "127.0.0.1:1".into(),
        place: "127.0.0.1:1".into(),
        domain: "a".into(),
        ..EntryHost::default()
    }]);
    for (charged, expected) in [(1, 200), (0, 503)] {
        let address = SocketAddr::new(group.entries[0].front().ip(), RELAY_PORT);
        let mut peer = Caller::connect(address).await;
        let text = format!(
            "GET {READ} HTTP/1.1\r\nhost: {HOST}\r\nrwr-hop-caller: x\r\n\
             rwr-hop-service: status\r\nrwr-hop-workspace: ledger\r\nrwr-hop-table: 1\r\n\
             rwr-hop-left-ms: 20000\r\nrwr-hop-aim-ms: 10000\r\nrwr-hop-attempts: 2\r\n\
             rwr-hop-counted: 1\r\nrwr-hop-charged: {charged}\r\n\r\n"
        );
        peer.send_raw(text.as_bytes()).await;
        let answer = peer.answer().await.expect("an answer");
        assert_eq!(answer.status, expected, "{}", answer.body);
    }
}

/// Guards against quotas in tables without any.
#[tokio::test]
async fn test_workspace_without_quota_needs_no_permit() {
    let group = Group::start(&["a"], &quota_table_of(1, None)).await;
    let answers = group.send(&[0], 20).await;
    assert_eq!(count(&answers, 200), 20);
}
