//! Requests that an entry process relays through another one.

mod fakes;

use std::net::SocketAddr;
use std::time::Duration;

use entry::Settings;
use entry::core::Stage;
use entry::settings::Stop;
use fakes::Fleet;
use fakes::HOST;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::RELAY_PORT;
use fakes::SHORT;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::host_of;
use fakes::proxy::Path;
use fakes::table;
use fakes::upstream::Behavior;
use fakes::upstream::LONG;
use fakes::upstream::Upstream;
use quarantine::Fingerprint;
use quarantine::Head;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wire::hub::EntryHost;
use wire::hub::Suspect;
use wire::hub::Suspects;

/// Time after which a test waits no longer.
const PATIENCE: Duration = Duration::from_secs(10);

/// Starts processes of which the first is known to be cut off.
async fn start_cut_off(network: u8, count: u8, behavior: Behavior) -> Fleet {
    let fleet = Fleet::start(network, count, Behavior::Answer).await;
    fleet.set_path(Path::Refused).await;
    while call(&fleet, READ, "warm").await.status != 200 {}
    for upstream in &fleet.upstreams {
        upstream.set_behavior(behavior);
    }
    fleet
}

async fn call(fleet: &Fleet, path: &str, id: &str) -> Answer {
    let mut caller = Caller::connect(fleet.entries[0].front()).await;
    let calling = caller.call("PUT", path, id, "the body");
    let answer = tokio::time::timeout(PATIENCE, calling).await;
    answer.unwrap_or_else(|_| panic!("{id}: no response"))
}

#[tokio::test]
async fn test_relay_passes_request_and_answer_on_unchanged() {
    let fleet = start_cut_off(11, 2, Behavior::Answer).await;
    let path = format!("{ONCE}a?b=c%20d");
    let answer = call(&fleet, &path, "r-1").await;
    assert_eq!(answer.status, 200);
    assert!(answer.body.starts_with("answer to r-1 by "));
    assert_eq!(answer.header("signature").as_deref(), Some("s-r-1"));
    assert!(!answer.head.contains("rwr-hop"), "{}", answer.head);
    let received = fleet.upstreams.iter().flat_map(Upstream::received_requests);
    let received = received
        .filter(|r| r.header("rwr-request-id").as_deref() == Some("r-1"))
        .collect::<Vec<_>>();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].line(), format!("PUT {path}"));
    assert_eq!(received[0].body, b"the body");
    assert_eq!(received[0].header("host").as_deref(), Some(HOST));
    assert_eq!(received[0].header("x-own").as_deref(), Some("kept"));
    assert_eq!(received[0].header("x-hop"), None);
    assert!(
        !received[0].head.contains("rwr-hop"),
        "{}",
        received[0].head
    );
    let left = received[0].header("rwr-deadline-ms").expect("a deadline");
    assert!(left.parse::<u64>().expect("a number") <= 20_000);
}

/// Guards against attempts that both processes make, and against wrong statuses.
#[tokio::test]
async fn test_relay_spends_attempts_once() {
    let cases = [
        (READ, Behavior::Fail, 500, 2),
        (ONCE, Behavior::Fail, 500, 1),
        (READ, Behavior::Shed, 503, 2),
        (ONCE, Behavior::Shed, 503, 2),
        (READ, Behavior::Close, 502, 2),
        (ONCE, Behavior::Close, 502, 1),
        (ONCE, Behavior::Truncate, 502, 1),
        (SHORT, Behavior::Hang, 504, 1),
    ];
    let fleet = start_cut_off(12, 3, Behavior::Answer).await;
    for (number, (path, behavior, status, runs)) in cases.into_iter().enumerate() {
        for upstream in &fleet.upstreams {
            upstream.set_behavior(behavior);
        }
        let id = format!("r-{number}");
        let answer = call(&fleet, path, &id).await;
        assert_eq!(answer.status, status, "{path} {behavior:?}");
        assert_eq!(fleet.runs(&id), runs, "{path} {behavior:?}");
    }
}

/// Guards against instances that work on for callers who have left.
#[tokio::test]
async fn test_relay_caller_that_leaves_is_noticed_by_instance() {
    let fleet = start_cut_off(13, 2, Behavior::Hang).await;
    let before = fleet.received();
    let mut caller = Caller::connect(fleet.entries[0].front()).await;
    caller.send("POST", ONCE, "r-1", "the body").await;
    while fleet.received() == before {
        tokio::task::yield_now().await;
    }
    drop(caller);
    let left = fleet.upstreams.iter();
    let left = left.map(|upstream| Box::pin(upstream.wait_for_disconnects(1)));
    tokio::time::timeout(PATIENCE, futures::future::select_all(left))
        .await
        .expect("the instance notices");
}

/// Guards against bodies that are held back, and against short ones that look complete.
#[tokio::test]
async fn test_relay_streams_long_bodies() {
    let fleet = start_cut_off(14, 2, Behavior::Halves).await;
    let mut caller = Caller::connect(fleet.entries[0].front()).await;
    caller.send("POST", ONCE, "r-1", "the body").await;
    let head = caller.head().await.expect("the head comes before the rest");
    assert_eq!(head.status, 200);
    for upstream in &fleet.upstreams {
        upstream.send_rest();
    }
    let answer = caller.answer().await.expect("a complete response");
    assert!(answer.body.len() > LONG);

    let fleet = start_cut_off(15, 2, Behavior::HalfThenClose).await;
    let mut caller = Caller::connect(fleet.entries[0].front()).await;
    caller.send("POST", ONCE, "r-1", "the body").await;
    caller.head().await.expect("the head comes before the rest");
    for upstream in &fleet.upstreams {
        upstream.send_rest();
    }
    assert!(caller.answer().await.is_none(), "a short body");
}

/// Response of a peer that reaches the instances to the question whether it does.
const REACHED: &[u8] = b"HTTP/1.1 200 OK\r\nrwr-hop-outcome: answered\r\ncontent-length: 0\r\n\r\n";

/// Says that instances are reached, and closes the connection once a request arrives on it.
async fn close_at_request(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    while let Ok(length) = stream.read(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
        if !text.contains("rwr-hop-question") || stream.write_all(REACHED).await.is_err() {
            return;
        }
    }
}

/// A peer that reads a request and closes the connection without a response.
async fn start_closing_peer(ip: [u8; 4]) -> EntryHost {
    let address = SocketAddr::from((ip, RELAY_PORT));
    let listener = TcpListener::bind(address).await.expect("binds");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(close_at_request(stream));
        }
    });
    EntryHost {
        address: SocketAddr::from((ip, 1)).to_string(),
        domain: "a".into(),
        ..EntryHost::default()
    }
}

/// Guards against a refusal that says not run though a peer may have passed the request on.
#[tokio::test]
async fn test_relay_request_that_breaks_off_at_peer_may_have_run() {
    for (network, path) in [(16, ONCE), (21, READ)] {
        let fleet = start_cut_off(network, 2, Behavior::Answer).await;
        let closing = start_closing_peer([127, 81, network, 9]).await;
        fleet.entries[0].core().set_hosts(vec![closing]);
        assert_eq!(call(&fleet, path, "r-1").await.status, 502, "{path}");
    }
}

/// Guards against requests that are lost with a peer that has stopped.
#[tokio::test]
async fn test_relay_peer_that_takes_no_connection_is_passed_over() {
    let fleet = start_cut_off(17, 2, Behavior::Answer).await;
    let stopped = (3..8).map(|number| EntryHost {
        address: SocketAddr::from(([127, 81, 17, number], 1)).to_string(),
        domain: "a".into(),
        ..EntryHost::default()
    });
    let mut hosts: Vec<EntryHost> = stopped.collect();
    hosts.extend(fleet.entries.iter().map(host_of));
    fleet.entries[0].core().set_hosts(hosts);
    for number in 0..10 {
        let id = format!("r-{number}");
        assert_eq!(call(&fleet, ONCE, &id).await.status, 200);
        assert_eq!(fleet.runs(&id), 1);
    }
}

/// Guards against a request that a peer handles by an older route table.
#[tokio::test]
async fn test_relay_peer_with_older_table_is_not_used() {
    let fleet = start_cut_off(18, 2, Behavior::Answer).await;
    fleet.entries[0].core().set_table(table(2));
    let answer = call(&fleet, ONCE, "r-1").await;
    assert_eq!((answer.status, fleet.runs("r-1")), (503, 0));
    fleet.entries[1].core().set_table(table(2));
    // The peer is asked again after a while.
    while call(&fleet, READ, "again").await.status != 200 {
        tokio::task::yield_now().await;
    }
}

/// Guards against a quarantine that a request evades through another process.
#[tokio::test]
async fn test_relay_quarantined_request_of_caller_is_refused_by_peer() {
    let fleet = start_cut_off(19, 2, Behavior::Answer).await;
    let head = Head::new("127.0.0.1", "PUT", HOST, ONCE);
    let fingerprint = Fingerprint::new(head, [&b"the body"[..]]);
    let suspects = Suspects {
        revision: 1,
        rows: vec![Suspect {
            request: Some(fingerprint.into()),
            refused_ms: 90_000,
        }],
    };
    fleet.entries[1].core().apply_suspects(HUB, &suspects);
    let answer = call(&fleet, ONCE, "r-1").await;
    assert_eq!((answer.status, answer.body.as_str()), (503, "quarantined"));
    let retry_after = answer.header("retry-after").expect("a time");
    assert!(retry_after.parse::<f64>().expect("seconds") > 60.0);
    assert_eq!(fleet.runs("r-1"), 0);
}

/// Guards against requests that a peer cuts off as it stops.
#[tokio::test]
async fn test_relay_stopping_peer_finishes_its_requests() {
    let fleet = start_cut_off(20, 2, Behavior::Halves).await;
    let mut caller = Caller::connect(fleet.entries[0].front()).await;
    caller.send("POST", ONCE, "r-1", "the body").await;
    caller.head().await.expect("the head comes before the rest");
    let stopping = fleet.entries[1].shut_down();
    let finishing = async {
        for upstream in &fleet.upstreams {
            upstream.send_rest();
        }
        caller.answer().await
    };
    let (answer, ()) = tokio::join!(finishing, stopping);
    assert!(answer.expect("a complete response").body.len() > LONG);
}

/// Guards against a hop that is a way round a rest, and against callers of a host that is cut off
/// who aren't told when the rest ends.
#[tokio::test]
async fn test_relay_to_process_that_instances_asked_for_backoff_is_refused_with_its_end() {
    let fleet = start_cut_off(41, 2, Behavior::Rest(503, "600")).await;
    let before = fleet.received();
    for number in 0..20 {
        call(&fleet, READ, &format!("a-{number}")).await;
    }
    for number in 0..20 {
        let answer = call(&fleet, READ, &format!("b-{number}")).await;
        assert_eq!(answer.status, 503);
        let back = answer.header("retry-after").expect("a time to come back");
        assert!(back.parse::<f64>().expect("a number") > 500.0, "{back}");
    }
    assert_eq!(fleet.received() - before, fleet.upstreams.len());
}

/// Guards against requests to an instance after a response that another process relayed, and that
/// was passed on to a caller, has said that the instance leaves.
#[tokio::test]
async fn test_relay_response_of_leaving_instance_holds_requests_of_both_processes() {
    let fleet = start_cut_off(42, 2, Behavior::Leave).await;
    let before = fleet.received();
    let mut answered = 0;
    for number in 0..20 {
        let answer = call(&fleet, READ, &format!("a-{number}")).await;
        answered += usize::from(answer.status == 200);
        assert!(!answer.head.contains("rwr-hop"), "{}", answer.head);
    }
    assert_eq!(answered, fleet.upstreams.len());
    fleet.open_path().await;
    for number in 0..20 {
        let answer = call(&fleet, READ, &format!("b-{number}")).await;
        assert_eq!(answer.status, 503);
    }
    assert_eq!(fleet.received() - before, fleet.upstreams.len());
}

/// Guards against requests that are relayed although the process stops before it could pass their
/// responses on.
#[tokio::test]
async fn test_relay_while_stopping_is_refused_when_it_is_too_late() {
    let fleet = start_cut_off(43, 2, Behavior::Queue).await;
    for upstream in &fleet.upstreams {
        upstream.set_capacity(1, 0);
    }
    let entry = &fleet.entries[0];
    let stop = Stop {
        linger: Duration::from_secs(4),
        grace: Duration::from_secs(4),
    };
    let settings = Settings {
        stop,
        ..(*entry.core().settings()).clone()
    };
    entry.core().set_settings(&settings);
    let learned = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.upstreams.iter().for_each(Upstream::send_rest);
    };
    let (answer, ()) = tokio::join!(call(&fleet, ONCE, "learned"), learned);
    assert_eq!(answer.status, 200);
    let runs = async {
        let mut stage = entry.core().stage.subscribe();
        let leaving = stage.wait_for(|stage| *stage != Stage::Serving);
        drop(leaving.await.expect("the process lives"));
        assert_eq!(call(&fleet, ONCE, "early").await.status, 200);
        tokio::time::sleep(Duration::from_millis(2_900)).await;
        assert_eq!(call(&fleet, ONCE, "late").await.status, 503);
        assert_eq!((fleet.runs("early"), fleet.runs("late")), (1, 0));
    };
    tokio::join!(entry.shut_down(), runs);
}
