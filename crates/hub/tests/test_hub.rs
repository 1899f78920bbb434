//! One hub as a process would run it, over its own interface.

mod common;

use base::prelude::*;
use common::PATIENCE;
use common::PAUSE;
use common::link;
use common::outgrow_log;
use common::put;
use common::put_surely;
use common::start;
use common::start_all;
use common::watch;
use hub::CommandError;
use hub::Hub;
use registry::Registry;
use registry::unpack;
use testutils::Layout;
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

async fn fetch(link: &HubLink, have: u64) -> wire::hub::Table {
    let client = link.client().await.expect("connects");
    let fetched = client.fetch(within(PATIENCE), Fetch { have }).await;
    fetched.expect("answers")
}

#[tokio::test]
async fn test_hub_table_is_read_back_as_it_was_sent() {
    let (hub, _layout) = start().await;
    assert!(matches!(
        hub.commands().read().await,
        Err(CommandError::NoTable | CommandError::NoMajority)
    ));
    assert_eq!(put_surely(&hub, put(7)).await, TableOutcome::Taken);
    assert_eq!(put_surely(&hub, put(7)).await, TableOutcome::Held);
    assert_eq!(put_surely(&hub, put(6)).await, TableOutcome::Older);
    let row = hub.commands().read().await.expect("a table");
    assert_eq!((row.version, &row.source[..]), (7, &b"as sent"[..]));
}

#[tokio::test]
async fn test_hub_refuses_an_invalid_table_whole() {
    let (hub, _layout) = start().await;
    put_surely(&hub, put(7)).await;
    let mut bad = put(8);
    bad.table.hosts.push(table::Host {
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
        }],
    });
    match hub.commands().put(bad).await {
        Err(CommandError::InvalidTable(faults)) => assert_eq!(faults.len(), 2),
        other => panic!("{other:?}"),
    }
    assert_eq!(hub.commands().read().await.expect("a table").version, 7);
}

#[tokio::test]
async fn test_hub_watcher_learns_of_tables_and_instances() {
    let (hub, layout) = start().await;
    put_surely(&hub, put(7)).await;
    hub.commands()
        .announce(instance(Phase::Ready, 1))
        .await
        .expect("taken");
    let all = watch(&link(&layout), Watch::default()).await;
    assert_eq!(unpack(&all.whole).expect("a list").len(), 1);
    assert_eq!(all.table, 7);
    assert!(fetch(&link(&layout), 6).await.content.len() > 10);
    assert_eq!(fetch(&link(&layout), 7).await.content.len(), 0);
    // Nothing new ends with the wait; a change ends it at once.
    let ask = Watch {
        epoch: all.epoch,
        cursor: all.cursor,
        table: 7,
        wait_ms: 5_000,
        ..Watch::default()
    };
    let waiting = tokio::spawn({
        let link = link(&layout);
        async move { watch(&link, ask).await }
    });
    hub.commands()
        .announce(instance(Phase::Draining, 2))
        .await
        .expect("in the log");
    let news = waiting.await.expect("ends");
    assert_eq!(news.instances[0].phase(), Phase::Draining);
    assert_eq!(news.table, 7);
}

/// A watcher that takes digests learns that something has changed and which instances are
/// heard, and asks for the rows that differ from what it holds.
#[tokio::test]
async fn test_hub_watcher_of_digests_asks_for_what_differs() {
    let (hub, layout) = start().await;
    put_surely(&hub, put(7)).await;
    let announce = async |phase, sequence| {
        let told = hub.commands().announce(instance(phase, sequence)).await;
        told.expect("taken");
    };
    announce(Phase::Ready, 1).await;
    let digest = Watch {
        news: News::Digest.into(),
        table: 7,
        wait_ms: 60_000,
        ..Watch::default()
    };
    let first = watch(&link(&layout), digest.clone()).await;
    assert!(first.whole.is_empty() && first.instances.is_empty());
    let mut held = Registry::default();
    assert_ne!(first.digest, held.digest().total());
    let compare = |held: &Registry, reply: &WatchReply| Watch {
        epoch: reply.epoch,
        cursor: reply.cursor,
        buckets: held.digest().buckets().to_vec(),
        ..digest.clone()
    };
    let rows = watch(&link(&layout), compare(&held, &first)).await;
    for row in unpack(&rows.whole).expect("a list") {
        held.apply(NOW, row);
    }
    assert_eq!(rows.digest, held.digest().total());
    announce(Phase::Draining, 2).await;
    let ask = Watch {
        epoch: rows.epoch,
        cursor: rows.cursor,
        ..digest.clone()
    };
    let news = watch(&link(&layout), ask).await;
    assert!(news.instances.is_empty());
    let rows = watch(&link(&layout), compare(&held, &news)).await;
    let rows = unpack(&rows.whole).expect("a list");
    assert_eq!(rows[0].phase(), Phase::Draining);
}

/// While another hub sends all instances, none are told, and no change ends the watch.
#[tokio::test]
async fn test_hub_watcher_that_wants_no_instances_is_told_of_tables() {
    let (hub, layout) = start().await;
    let announced = instance(Phase::Ready, 1);
    hub.commands().announce(announced).await.expect("taken");
    let ask = Watch {
        news: News::None.into(),
        wait_ms: 60_000,
        ..Watch::default()
    };
    let waiting = tokio::spawn({
        let link = link(&layout);
        async move { watch(&link, ask).await }
    });
    put_surely(&hub, put(7)).await;
    let reply = waiting.await.expect("ends");
    assert_eq!((reply.table, reply.cursor), (7, 0));
    assert!(reply.whole.is_empty() && reply.instances.is_empty() && reply.heard.is_empty());
}

#[tokio::test]
async fn test_hub_cursor_of_another_process_asks_for_everything() {
    let (hub, layout) = start().await;
    put_surely(&hub, put(7)).await;
    hub.commands()
        .announce(instance(Phase::Ready, 1))
        .await
        .expect("taken");
    let ask = Watch {
        epoch: 1,
        cursor: 1_000,
        wait_ms: 60_000,
        ..Watch::default()
    };
    let reply = watch(&link(&layout), ask).await;
    assert_eq!(unpack(&reply.whole).expect("a list").len(), 1);
}

#[tokio::test]
async fn test_hub_leaving_instance_is_acknowledged_once_the_log_has_it() {
    let (hub, _layout) = start().await;
    put_surely(&hub, put(7)).await;
    for row in [
        instance(Phase::Ready, 1),
        instance(Phase::Draining, 2),
        Instance {
            id: "i-1".into(),
            phase: Phase::Gone.into(),
            ..Instance::default()
        },
    ] {
        hub.commands().announce(row).await.expect("in the log");
    }
    // Told again, it is acknowledged again.
    let again = hub.commands().announce(instance(Phase::Draining, 2)).await;
    again.expect("known");
}

#[tokio::test]
async fn test_hub_names_entry_hosts_that_watch() {
    let (hub, layout) = start().await;
    let ask = Watch {
        host: "entry-1".into(),
        domain: "a".into(),
        region: "r".into(),
        address: "127.0.0.1:8080".into(),
        ready: true,
        ..Watch::default()
    };
    let named = async {
        loop {
            watch(&link(&layout), ask.clone()).await;
            let (addresses, _) = hub.commands().resolve("example.org", "a", "r");
            if !addresses.is_empty() {
                return addresses;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    let named = tokio::time::timeout(PATIENCE, named).await;
    assert_eq!(named.expect("named in the end"), ["127.0.0.1:8080"]);
}

/// All hubs were lost, and one is back before the others: no majority can confirm.
#[tokio::test]
async fn test_hub_alone_after_a_restart_tells_of_the_table_that_was_accepted() {
    let layout = Layout::new(3, 0).expect("a folder");
    let log = telemetry::log::silent();
    let hubs = start_all(&layout, &log).await;
    for version in [7, 8, 9] {
        put_surely(&hubs[0], put(version)).await;
    }
    // The disk of each names the last but one as accepted by now.
    let told = async {
        while watch(&link(&layout), Watch::default()).await.table < 9 {
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, told).await.expect("told");
    for hub in hubs {
        hub.stop().await;
    }
    let hub = Hub::start(layout.hubs[0].clone(), log)
        .await
        .expect("starts");
    let ask = Watch {
        wait_ms: 60_000,
        ..Watch::default()
    };
    let reply = watch(&link(&layout), ask).await;
    assert!(reply.recovered && !reply.confirmed, "{reply:?}");
    assert!(reply.table >= 8, "{}", reply.table);
    assert!(fetch(&link(&layout), 0).await.content.len() > 10);
    // Whoever asks for what is in force is not told.
    assert!(matches!(
        hub.commands().read().await,
        Err(CommandError::NoMajority)
    ));
}

/// Where the hub takes announcements over HTTP.
fn base(hub: &Hub) -> String {
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

fn told(phase: &str, incarnation: u64, sequence: u64) -> String {
    format!(
        "{{\"service\":\"status\",\"id\":\"status-1\",\"address\":\"127.0.0.1:9\",\
         \"domain\":\"a\",\"slots\":6,\"connections\":250,\"phase\":\"{phase}\",\
         \"incarnation\":{incarnation},\"sequence\":{sequence}}}"
    )
}

#[tokio::test]
async fn test_hub_takes_announcements_over_http() {
    let (hub, _layout) = start().await;
    let base = base(&hub);
    // `starting` is acknowledged and tells nobody of the instance.
    for (phase, count) in [("starting", 0), ("ready", 1)] {
        assert_eq!(
            post(&base, &told(phase, 1, 1)).await,
            (200, "{\"refresh_ms\":500}".to_owned())
        );
        assert_eq!(hub.commands().instances().len(), count, "{phase}");
    }
    // A later life of the same instance is another row, and the earlier one can leave.
    assert_eq!(post(&base, &told("ready", 2, 1)).await.0, 200);
    let leave = async {
        while post(&base, &told("gone", 1, 2)).await.0 != 200 {
            tokio::time::sleep(PAUSE).await;
        }
    };
    let left = tokio::time::timeout(PATIENCE, leave).await;
    left.expect("in the log in the end");
    let lives = hub.commands().instances();
    let lives: Vec<(&str, Phase)> = lives.iter().map(|i| (&*i.id, i.phase())).collect();
    assert_eq!(
        lives,
        [("status-1:1", Phase::Gone), ("status-1:2", Phase::Ready)]
    );
}

#[tokio::test]
async fn test_hub_refuses_what_is_no_announcement() {
    let (hub, _layout) = start().await;
    let base = base(&hub);
    let cases = [
        ("{", 400, "json"),
        ("{}", 400, "json"),
        (&told("asleep", 1, 1), 400, "field"),
        (
            &told("ready", 1, 1).replace("127.0.0.1:9", "here"),
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
async fn test_hub_without_entry_hosts_tells_callers_to_come_back() {
    let (hub, _layout) = start().await;
    let base = base(&hub);
    let url = format!("{base}/v1/hosts?name=example.org&domain=a&region=r");
    let answer = reqwest::get(url).await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    let other = reqwest::get(format!("{base}/v1/other")).await;
    assert_eq!(other.expect("an answer").status().as_u16(), 404);
}

/// A hub that was away takes a snapshot in place of the entries that it missed; what that
/// says of instances is told like any other news.
#[tokio::test]
async fn test_hub_that_was_away_learns_what_a_snapshot_says_of_instances() {
    let layout = Layout::new(3, 0).expect("a folder");
    let log = telemetry::log::silent();
    let mut hubs = start_all(&layout, &log).await;
    let phase = |hub: &Hub| {
        let instances = hub.commands().instances();
        instances.iter().map(Instance::phase).max()
    };
    let reaches = async |hub: &Hub, wanted: Phase| {
        let reached = async {
            while phase(hub) != Some(wanted) {
                tokio::time::sleep(PAUSE).await;
            }
        };
        let reached = tokio::time::timeout(PATIENCE, reached).await;
        reached.expect("told in the end");
    };
    put_surely(&hubs[0], put(1)).await;
    let told = hubs[0].commands().announce(instance(Phase::Ready, 1)).await;
    told.expect("taken");
    reaches(&hubs[2], Phase::Ready).await;
    hubs.pop().expect("the third").stop().await;
    let drain = async {
        while hubs[0]
            .commands()
            .announce(instance(Phase::Draining, 2))
            .await
            .is_err()
        {
            tokio::time::sleep(PAUSE).await;
        }
    };
    let drained = tokio::time::timeout(PATIENCE, drain).await;
    drained.expect("in the log in the end");
    outgrow_log(&hubs[0]).await;
    let back = Hub::start(layout.hubs[2].clone(), log).await;
    reaches(&back.expect("starts"), Phase::Draining).await;
}

/// Whoever starts a hub again right after it has stopped finds its ports free.
#[tokio::test]
async fn test_hub_that_has_stopped_holds_no_port() {
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
