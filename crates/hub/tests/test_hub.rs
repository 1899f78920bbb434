//! The interfaces of a hub: tables, announcements, watches and HTTP.

mod common;

use base::prelude::*;
use common::RETRY_INTERVAL;
use common::TIMEOUT;
use common::link;
use common::outgrow_log;
use common::put_until_accepted;
use common::start;
use common::start_all;
use common::table_update;
use common::watch;
use hub::CommandError;
use hub::Hub;
use registry::Registry;
use registry::unpack;
use testutils::Layout;
use wire::hub::Currency;
use wire::hub::Fetch;
use wire::hub::Instance;
use wire::hub::News;
use wire::hub::Phase;
use wire::hub::TableOutcome;
use wire::hub::Watch;
use wire::hub::WatchReply;
use wire::link::within;
use wire::peer::HubLink;

const NOW: Moment = Moment::from_millis(1);

fn instance(phase: Phase, sequence: u64) -> Instance {
    Instance {
        id: "i-1".into(),
        service: "status".into(),
        address: "127.0.0.1:9000".into(),
        domain: "a".into(),
        slots: 6,
        phase: phase.into(),
        sequence,
        ..Instance::default()
    }
}

/// The hub's table, if it is newer than version `have`.
async fn fetch(link: &HubLink, have: impl Into<Option<u64>>) -> Option<wire::hub::Table> {
    let client = link.client().await.expect("connects");
    let request = Fetch { have: have.into() };
    let fetched = client.fetch(within(TIMEOUT), request).await;
    fetched.expect("answers").table
}

#[tokio::test]
async fn test_hub_returns_table_as_sent() {
    let (hub, _layout) = start().await;
    assert!(matches!(
        hub.commands().read().await,
        Err(CommandError::NoTable | CommandError::NoMajority)
    ));
    assert_eq!(
        put_until_accepted(&hub, table_update(7)).await,
        TableOutcome::Taken
    );
    assert_eq!(
        put_until_accepted(&hub, table_update(7)).await,
        TableOutcome::Held
    );
    assert_eq!(
        put_until_accepted(&hub, table_update(6)).await,
        TableOutcome::Older
    );
    let table = hub.commands().read().await.expect("a table");
    assert_eq!((table.version, &table.source[..]), (7, &b"as sent"[..]));
}

/// Guards against version 0 taken for "no table": in the log, in a watch, in a fetch, in a
/// confirmation and after a restart.
#[tokio::test]
async fn test_hub_first_table_of_version_zero_reaches_watchers() {
    let (hub, layout) = start().await;
    let request = |table| Watch {
        table,
        wait_ms: 1,
        confirm: true,
        ..Watch::default()
    };
    let before = watch(&link(&layout), request(None)).await;
    assert_eq!((before.table, before.confirmed_table), (None, None));
    assert_eq!(fetch(&link(&layout), None).await, None);
    let first = put_until_accepted(&hub, table_update(0)).await;
    assert_eq!(first, TableOutcome::Taken);
    let again = put_until_accepted(&hub, table_update(0)).await;
    assert_eq!(again, TableOutcome::Held);
    assert_eq!(hub.commands().read().await.expect("a table").version, 0);
    let unaware = watch(&link(&layout), request(None)).await;
    assert_eq!(unaware.table, Some(0));
    assert!(unaware.table_bytes > 0);
    let fetched = fetch(&link(&layout), None).await.expect("a table");
    assert_eq!(fetched.version, 0);
    assert_eq!(fetch(&link(&layout), 0).await, None);
    let wait_confirmed = async {
        while watch(&link(&layout), request(Some(0)))
            .await
            .confirmed_table
            != Some(0)
        {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let confirmed = tokio::time::timeout(TIMEOUT, wait_confirmed).await;
    confirmed.expect("a confirmation");
    hub.stop().await;
    let hub = Hub::start(layout.hubs[0].clone(), telemetry::log::silent()).await;
    let _hub = hub.expect("starts");
    // The last entry may count as accepted only once the hub has elected itself.
    let wait_recovered = async {
        while watch(&link(&layout), request(None)).await.table.is_none() {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let recovered = tokio::time::timeout(TIMEOUT, wait_recovered).await;
    recovered.expect("the table of before");
    let recovered = watch(&link(&layout), request(None)).await;
    assert_eq!(recovered.table, Some(0));
}

#[tokio::test]
async fn test_hub_refuses_invalid_table() {
    let (hub, _layout) = start().await;
    put_until_accepted(&hub, table_update(7)).await;
    let mut invalid = table_update(8);
    invalid.table.hosts.push(table::Host {
        name: "example.org".into(),
        routes: vec![table::Route {
            name: "r".into(),
            prefix: "/a/".into(),
            kind: table::Kind::Once,
            timeout: None,
            aim: None,
            priority: 0,
            attempts: 0,
            target: table::Target::Service(ServiceName::new("none").expect("a name")),
            public: false,
        }],
    });
    match hub.commands().put(invalid).await {
        Err(CommandError::InvalidTable(faults)) => assert_eq!(faults.len(), 2),
        other => panic!("{other:?}"),
    }
    assert_eq!(hub.commands().read().await.expect("a table").version, 7);
}

#[tokio::test]
async fn test_hub_watcher_receives_tables_and_instances() {
    let (hub, layout) = start().await;
    put_until_accepted(&hub, table_update(7)).await;
    hub.commands()
        .announce(instance(Phase::Ready, 1))
        .await
        .expect("accepted");
    let all = watch(&link(&layout), Watch::default()).await;
    assert_eq!(unpack(&all.whole).expect("a list").len(), 1);
    assert_eq!(all.table, Some(7));
    let fetched = fetch(&link(&layout), 6).await.expect("a newer table");
    assert!(fetched.content.len() > 10);
    assert_eq!(fetch(&link(&layout), 7).await, None);
    // A change ends the watch before the requested wait is over.
    let request = Watch {
        epoch: all.epoch,
        cursor: all.cursor,
        table: Some(7),
        wait_ms: 5_000,
        ..Watch::default()
    };
    let waiting = tokio::spawn({
        let link = link(&layout);
        async move { watch(&link, request).await }
    });
    hub.commands()
        .announce(instance(Phase::Draining, 2))
        .await
        .expect("in the log");
    let reply = waiting.await.expect("ends");
    assert_eq!(reply.instances[0].phase(), Phase::Draining);
    assert_eq!(reply.table, Some(7));
}

/// A watcher of digests must get the instances that differ from its own by comparing buckets.
#[tokio::test]
async fn test_hub_watcher_of_digests_fetches_differing_instances() {
    let (hub, layout) = start().await;
    put_until_accepted(&hub, table_update(7)).await;
    let announce = async |phase, sequence| {
        let result = hub.commands().announce(instance(phase, sequence)).await;
        result.expect("accepted");
    };
    announce(Phase::Ready, 1).await;
    let digest = Watch {
        news: News::Digest.into(),
        table: Some(7),
        wait_ms: 60_000,
        ..Watch::default()
    };
    let first = watch(&link(&layout), digest.clone()).await;
    assert!(first.whole.is_empty() && first.instances.is_empty());
    let mut registry = Registry::default();
    assert_ne!(first.digest, registry.digest().total());
    let compare = |registry: &Registry, reply: &WatchReply| Watch {
        epoch: reply.epoch,
        cursor: reply.cursor,
        buckets: registry.digest().buckets().to_vec(),
        ..digest.clone()
    };
    let reply = watch(&link(&layout), compare(&registry, &first)).await;
    for instance in unpack(&reply.whole).expect("a list") {
        registry.apply(NOW, instance);
    }
    assert_eq!(reply.digest, registry.digest().total());
    announce(Phase::Draining, 2).await;
    let request = Watch {
        epoch: reply.epoch,
        cursor: reply.cursor,
        ..digest.clone()
    };
    let reply = watch(&link(&layout), request).await;
    assert!(reply.instances.is_empty());
    let reply = watch(&link(&layout), compare(&registry, &reply)).await;
    let instances = unpack(&reply.whole).expect("a list");
    assert_eq!(instances[0].phase(), Phase::Draining);
}

/// A watcher that gets instances from another hub must only be answered for other changes.
#[tokio::test]
async fn test_hub_watcher_without_instances_receives_tables() {
    let (hub, layout) = start().await;
    let announced = instance(Phase::Ready, 1);
    hub.commands().announce(announced).await.expect("accepted");
    let request = Watch {
        news: News::None.into(),
        wait_ms: 60_000,
        ..Watch::default()
    };
    let waiting = tokio::spawn({
        let link = link(&layout);
        async move { watch(&link, request).await }
    });
    put_until_accepted(&hub, table_update(7)).await;
    let reply = waiting.await.expect("ends");
    assert_eq!((reply.table, reply.cursor), (Some(7), 0));
    assert!(reply.whole.is_empty() && reply.instances.is_empty() && reply.heard.is_empty());
}

#[tokio::test]
async fn test_hub_sends_all_instances_for_cursor_of_another_epoch() {
    let (hub, layout) = start().await;
    put_until_accepted(&hub, table_update(7)).await;
    hub.commands()
        .announce(instance(Phase::Ready, 1))
        .await
        .expect("accepted");
    let request = Watch {
        epoch: 1,
        cursor: 1_000,
        wait_ms: 60_000,
        ..Watch::default()
    };
    let reply = watch(&link(&layout), request).await;
    assert_eq!(unpack(&reply.whole).expect("a list").len(), 1);
}

#[tokio::test]
async fn test_hub_acknowledges_draining_and_gone_once_in_the_log() {
    let (hub, _layout) = start().await;
    put_until_accepted(&hub, table_update(7)).await;
    for announcement in [
        instance(Phase::Ready, 1),
        instance(Phase::Draining, 2),
        Instance {
            id: "i-1".into(),
            phase: Phase::Gone.into(),
            ..Instance::default()
        },
    ] {
        hub.commands()
            .announce(announcement)
            .await
            .expect("in the log");
    }
    // A repeated announcement is acknowledged again.
    let again = hub.commands().announce(instance(Phase::Draining, 2)).await;
    again.expect("known");
}

#[tokio::test]
async fn test_hub_lists_entry_hosts_that_watch() {
    let (hub, layout) = start().await;
    let request = Watch {
        host: "entry-1".into(),
        domain: "a".into(),
        region: "r".into(),
        address: "127.0.0.1:8080".into(),
        ready: true,
        ..Watch::default()
    };
    let resolving = async {
        loop {
            watch(&link(&layout), request.clone()).await;
            let (addresses, _) = hub.commands().resolve("example.org", "a", "r");
            if !addresses.is_empty() {
                return addresses;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let addresses = tokio::time::timeout(TIMEOUT, resolving).await;
    assert_eq!(addresses.expect("listed in the end"), ["127.0.0.1:8080"]);
}

/// Guards against a hub that is alone after a full outage and vouches for the table on its disk, as
/// others may have acknowledged a newer one, or that doesn't hand it out once a majority has confirmed it.
#[tokio::test]
async fn test_hub_after_restart_vouches_for_its_table_with_a_majority_only() {
    let layout = Layout::new(3, 0).expect("a folder");
    let log = telemetry::log::silent();
    let hubs = start_all(&layout, &log).await;
    for version in [7, 8, 9] {
        put_until_accepted(&hubs[0], table_update(version)).await;
    }
    // By now the disk of each hub marks at least the table before the last as accepted.
    let watching = async {
        while watch(&link(&layout), Watch::default()).await.table < Some(9) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, watching)
        .await
        .expect("received");
    for hub in hubs {
        hub.stop().await;
    }
    let hub = Hub::start(layout.hubs[0].clone(), log.clone())
        .await
        .expect("starts");
    let mut request = Watch {
        table: Some(9),
        wait_ms: 1_000,
        news: News::None.into(),
        currency: Some(Currency::Unspecified.into()),
        ..Watch::default()
    };
    for _ in 0..3 {
        let reply = watch(&link(&layout), request.clone()).await;
        assert_eq!(reply.currency(), Currency::Undecided);
        assert!(reply.table >= Some(8), "{reply:?}");
        request.currency = Some(reply.currency);
    }
    let fetched = fetch(&link(&layout), None).await.expect("a table");
    assert!(fetched.content.len() > 10);
    // A confirmed read fails.
    assert!(matches!(
        hub.commands().read().await,
        Err(CommandError::NoMajority)
    ));
    let _second = Hub::start(layout.hubs[1].clone(), log)
        .await
        .expect("starts");
    let deciding = async {
        loop {
            let reply = watch(&link(&layout), request.clone()).await;
            if reply.currency() == Currency::Confirmed {
                return reply;
            }
        }
    };
    let reply = tokio::time::timeout(TIMEOUT, deciding).await;
    assert_eq!(reply.expect("confirmed").table, Some(9));
    let fetched = fetch(&link(&layout), None).await.expect("a table");
    assert_eq!(fetched.version, 9);
}

/// The base URL of the HTTP interface.
fn base_url(hub: &Hub) -> String {
    format!("http://{}", hub.http().expect("served"))
}

async fn post(base: &str, body: &str) -> (u16, String) {
    let client = reqwest::Client::new();
    let sent = client
        .post(format!("{base}/v1/announce"))
        .body(body.to_owned());
    let answer = sent.send().await.expect("an answer");
    let status = answer.status().as_u16();
    (status, answer.text().await.expect("a body"))
}

fn announcement(phase: &str, incarnation: u64, sequence: u64) -> String {
    format!(
        "{{\"service\":\"status\",\"id\":\"status-1\",\"address\":\"127.0.0.1:9\",\
         \"domain\":\"a\",\"slots\":6,\"connections\":250,\"phase\":\"{phase}\",\
         \"incarnation\":{incarnation},\"sequence\":{sequence}}}"
    )
}

#[tokio::test]
async fn test_hub_accepts_announcements_over_http() {
    let (hub, _layout) = start().await;
    let base = base_url(&hub);
    // `starting` is acknowledged but not recorded.
    for (phase, count) in [("starting", 0), ("ready", 1)] {
        assert_eq!(
            post(&base, &announcement(phase, 1, 1)).await,
            (200, "{\"refresh_ms\":500}".to_owned())
        );
        assert_eq!(hub.commands().instances().len(), count, "{phase}");
    }
    // Another incarnation of the instance has its own entry, and the earlier one can be removed.
    assert_eq!(post(&base, &announcement("ready", 2, 1)).await.0, 200);
    let removing = async {
        while post(&base, &announcement("gone", 1, 2)).await.0 != 200 {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let removed = tokio::time::timeout(TIMEOUT, removing).await;
    removed.expect("in the log in the end");
    let instances = hub.commands().instances();
    let phases: Vec<(&str, Phase)> = instances.iter().map(|i| (&*i.id, i.phase())).collect();
    assert_eq!(
        phases,
        [("status-1:1", Phase::Gone), ("status-1:2", Phase::Ready)]
    );
}

#[tokio::test]
async fn test_hub_refuses_invalid_announcements_over_http() {
    let (hub, _layout) = start().await;
    let base = base_url(&hub);
    let cases = [
        ("{", 400, "json"),
        ("{}", 400, "json"),
        (&announcement("asleep", 1, 1), 400, "field"),
        (
            &announcement("ready", 1, 1).replace("127.0.0.1:9", "here"),
            400,
            "field",
        ),
        (&"x".repeat(5_000), 413, "large"),
    ];
    for (body, status, word) in cases {
        let (found, text) = post(&base, body).await;
        assert_eq!(found, status, "{text}");
        assert!(text.contains(&format!("\"error\":\"{word}\"")), "{text}");
    }
}

#[tokio::test]
async fn test_hub_without_entry_hosts_answers_with_retry_after() {
    let (hub, _layout) = start().await;
    let base = base_url(&hub);
    let url = format!("{base}/v1/hosts?name=example.org&domain=a&region=r");
    let answer = reqwest::get(url).await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    let unknown = reqwest::get(format!("{base}/v1/other")).await;
    assert_eq!(unknown.expect("an answer").status().as_u16(), 404);
}

/// Instances from a snapshot, received instead of missed log entries, must reach watchers too.
#[tokio::test]
async fn test_hub_applies_instances_of_a_snapshot() {
    let layout = Layout::new(3, 0).expect("a folder");
    let log = telemetry::log::silent();
    let mut hubs = start_all(&layout, &log).await;
    let phase = |hub: &Hub| {
        let instances = hub.commands().instances();
        instances.iter().map(Instance::phase).max()
    };
    let wait_for_phase = async |hub: &Hub, wanted: Phase| {
        let waiting = async {
            while phase(hub) != Some(wanted) {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        };
        let reached = tokio::time::timeout(TIMEOUT, waiting).await;
        reached.expect("reached in the end");
    };
    put_until_accepted(&hubs[0], table_update(1)).await;
    let announced = hubs[0].commands().announce(instance(Phase::Ready, 1)).await;
    announced.expect("accepted");
    wait_for_phase(&hubs[2], Phase::Ready).await;
    hubs.pop().expect("the third").stop().await;
    let draining = async {
        while hubs[0]
            .commands()
            .announce(instance(Phase::Draining, 2))
            .await
            .is_err()
        {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let drained = tokio::time::timeout(TIMEOUT, draining).await;
    drained.expect("in the log in the end");
    outgrow_log(&hubs[0]).await;
    let restarted = Hub::start(layout.hubs[2].clone(), log).await;
    wait_for_phase(&restarted.expect("starts"), Phase::Draining).await;
}

/// A hub that is restarted right after it has stopped must find its ports free.
#[tokio::test]
async fn test_hub_frees_its_ports_when_stopped() {
    let (hub, layout) = start().await;
    let settings = &layout.hubs[0];
    let ports = [
        hub.http().expect("served"),
        settings.hub_at(settings.address),
    ];
    hub.stop().await;
    for port in ports {
        std::net::TcpListener::bind(port).expect("free");
    }
}

/// Guards against confirmations without a majority, or for watchers that don't ask.
#[tokio::test]
async fn test_hub_confirms_table_to_watchers_that_ask() {
    let (hub, layout) = start().await;
    put_until_accepted(&hub, table_update(7)).await;
    let link = link(&layout);
    let request = |confirm| Watch {
        table: Some(7),
        wait_ms: 1,
        confirm,
        ..Watch::default()
    };
    let silent = watch(&link, request(false)).await;
    assert_eq!((silent.confirmed_table, silent.confirmed_age_ms), (None, 0));
    let reply = watch(&link, request(true)).await;
    assert_eq!(reply.confirmed_table, Some(7));
    assert_eq!(reply.table_bytes, 0, "the watcher has the table");
    assert!(
        watch(
            &link,
            Watch {
                table: None,
                ..request(true)
            }
        )
        .await
        .table_bytes
            > 0
    );
}

/// Guards against a hub without a majority that confirms what it has.
#[tokio::test]
async fn test_hub_without_majority_confirms_nothing() {
    let layout = Layout::new(3, 0).expect("a folder");
    let settings = layout.hubs[0].clone();
    let hub = Hub::start(settings, telemetry::log::silent()).await;
    let _hub = hub.expect("starts");
    let request = Watch {
        table: Some(7),
        wait_ms: 1,
        confirm: true,
        ..Watch::default()
    };
    assert_eq!(watch(&link(&layout), request).await.confirmed_table, None);
}

/// Guards against a table that is accepted after the time limit of its change and never
/// acknowledged, as each time that it is sent again it is proposed anew: a hub that has applied it
/// acknowledges it, even without a majority.
#[tokio::test]
async fn test_hub_acknowledges_applied_table_without_a_new_proposal() {
    let layout = Layout::new(3, 0).expect("a folder");
    let log = telemetry::log::silent();
    let mut hubs = start_all(&layout, &log).await;
    put_until_accepted(&hubs[0], table_update(7)).await;
    put_until_accepted(&hubs[0], table_update(8)).await;
    // A follower applies the table after the leader has acknowledged it.
    let applying = async {
        while watch(&link(&layout), Watch::default()).await.table < Some(8) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, applying)
        .await
        .expect("applied");
    let first = hubs.remove(0);
    for hub in hubs {
        hub.stop().await;
    }
    for (version, outcome) in [(8, TableOutcome::Held), (7, TableOutcome::Older)] {
        let reply = first.commands().put(table_update(version)).await;
        let reply = reply.expect("acknowledged");
        assert_eq!((reply.outcome(), reply.version), (outcome, 8));
    }
    let reply = first.commands().put(table_update(9)).await;
    assert!(matches!(reply, Err(CommandError::NoMajority)), "{reply:?}");
}

/// Guards against an entry of the log and a request to the leader for each instance: after a start, each
/// hub receives hundreds of announcements within a second, and its leader's heartbeats are late.
#[tokio::test]
async fn test_hub_announcements_that_come_together_share_entries_of_the_log() {
    const INSTANCES: u64 = 300;
    let (hub, layout) = start().await;
    put_until_accepted(&hub, table_update(7)).await;
    let request = Watch {
        news: News::Changes.into(),
        wait_ms: 1,
        ..Watch::default()
    };
    let before = watch(&link(&layout), request.clone()).await.announced;
    // Announcements of instances that leave are acknowledged once they are in the log.
    let announce = async |number: u64| {
        let instance = Instance {
            id: format!("i-{number}"),
            ..instance(Phase::Draining, 1)
        };
        hub.commands().announce(instance).await.expect("logged");
    };
    futures::future::join_all((0..INSTANCES).map(announce)).await;
    put_until_accepted(&hub, table_update(8)).await;
    let watching = async {
        loop {
            let reply = watch(&link(&layout), request.clone()).await;
            if reply.table == Some(8) && reply.announced > before {
                return watch(&link(&layout), request.clone()).await.announced;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let after = tokio::time::timeout(TIMEOUT, watching)
        .await
        .expect("logged");
    let entries = after - before;
    assert!(entries <= INSTANCES / 10, "{entries} entries");
}

/// Guards against instances that a watcher without a cursor misses: the list that it gets may have been
/// packed for another watcher before, and what has changed since then comes with the next reply.
#[tokio::test]
async fn test_hub_watchers_without_cursor_receive_all_instances_in_two_replies() {
    let (hub, layout) = start().await;
    for number in 0..30 {
        let instance = Instance {
            id: format!("i-{number}"),
            ..instance(Phase::Ready, 1)
        };
        hub.commands().announce(instance).await.expect("valid");
        let request = Watch {
            news: News::Changes.into(),
            wait_ms: 1,
            ..Watch::default()
        };
        let first = watch(&link(&layout), request.clone()).await;
        let second = Watch {
            epoch: first.epoch,
            cursor: first.cursor,
            ..request
        };
        let second = watch(&link(&layout), second).await;
        let mut copy = Registry::default();
        let listed = unpack(&first.whole).expect("a list");
        for instance in listed.into_iter().chain(second.instances) {
            copy.apply(NOW, instance);
        }
        assert_eq!(copy.all().count(), number + 1);
        assert_eq!(copy.digest().total(), second.digest);
    }
}
