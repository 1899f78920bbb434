//! Workspaces: who may send requests, and what instances and other processes learn of it.

mod fakes;

use std::time::Duration;

use base::prelude::*;
use entry::Dialect;
use entry::Entry;
use entry::settings::Keys;
use fakes::Fleet;
use fakes::HOST;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::caller::Answer;
use fakes::caller::Caller;
use fakes::instance;
use fakes::lines::Lines;
use fakes::proxy::Path;
use fakes::settings;
use fakes::start_unconfigured;
use fakes::table;
use fakes::upstream::Behavior;
use fakes::upstream::ReceivedRequest;
use fakes::upstream::Upstream;
use slog::Level;
use table::KeyDigest;
use table::Table;
use table::Workspace;

/// Route without a key.
const PUBLIC: &str = "/public/";
/// Time after which a test waits no longer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Key of the workspace `payments`.
const KEY: &str = "k-pay+1/Secret=";
/// Key of the workspace `time sheets`.
const OTHER_KEY: &str = "k-time-2";

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: WorkspaceName::new(name).expect("a name"),
        keys: keys.iter().map(KeyDigest::of).collect(),
        priority: 1,
        quota: None,
    }
}

/// The test table with two workspaces and a public route.
fn keyed(version: u64, keys: &[&str]) -> Table {
    let mut table = table(version);
    let public = table::Route {
        name: PUBLIC.into(),
        prefix: PUBLIC.into(),
        public: true,
        ..table.hosts[0].routes[0].clone()
    };
    table.hosts[0].routes.push(public);
    table.workspaces = vec![
        workspace("payments", keys),
        workspace("time sheets", &[OTHER_KEY]),
    ];
    table
}

async fn start(behavior: Behavior) -> (Upstream, Entry) {
    let upstream = Upstream::start("i-1", behavior).await;
    let entry = fakes::entry(&[&upstream]).await;
    entry.core().set_table(keyed(2, &[KEY]));
    (upstream, entry)
}

fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

/// The head of a request with these header lines and a body of `length` bytes.
fn head(path: &str, id: &str, lines: &str, length: usize) -> String {
    format!(
        "PUT {path} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: {id}\r\n\
         rwr-deadline-ms: 20000\r\n{lines}content-length: {length}\r\n\r\n"
    )
}

async fn send(caller: &mut Caller, path: &str, id: &str, lines: &str) -> Answer {
    caller.send_raw(head(path, id, lines, 0).as_bytes()).await;
    let answer = tokio::time::timeout(PATIENCE, caller.answer()).await;
    answer.expect("in time").expect("an answer")
}

async fn call(entry: &Entry, path: &str, id: &str, lines: &str) -> Answer {
    let mut caller = Caller::connect(entry.front()).await;
    send(&mut caller, path, id, lines).await
}

/// Checks that the request names only this workspace and has no trace of a key.
fn check_received(request: &ReceivedRequest, workspace: Option<&str>) {
    let named = request.head.lines().filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("rwr-workspace")
            .then_some(value.trim())
    });
    let named: Vec<&str> = named.collect();
    let expected: Vec<&str> = workspace.into_iter().collect();
    assert_eq!(named, expected, "{}", request.head);
    for trace in [KEY, OTHER_KEY, "rwr-hop"] {
        assert!(!request.head.contains(trace), "{}", request.head);
    }
    assert_eq!(request.header("authorization"), None);
}

/// Guards against requests without a valid key at instances, and against refusals of valid ones.
#[tokio::test]
async fn test_workspaces_authorization_decides() {
    let (upstream, entry) = start(Behavior::Answer).await;
    let two = bearer(KEY) + &bearer(OTHER_KEY);
    let twice = bearer(KEY) + &bearer(KEY);
    let cases = [
        ("key", bearer(KEY), 200),
        ("other key", bearer(OTHER_KEY), 200),
        (
            "scheme in other case",
            format!("authorization: bEARER {KEY}\r\n"),
            200,
        ),
        (
            "spaces",
            format!("authorization:   Bearer   {KEY}  \r\n"),
            200,
        ),
        ("none", String::new(), 401),
        ("empty", "authorization: \r\n".into(), 401),
        ("empty key", bearer(""), 401),
        ("unknown", bearer("k-none"), 401),
        ("key in other case", bearer(&KEY.to_lowercase()), 401),
        ("beginning of a key", bearer(&KEY[..KEY.len() - 1]), 401),
        ("key and more", bearer(&format!("{KEY} more")), 401),
        (
            "digest in place of the key",
            bearer(&KeyDigest::of(KEY).to_string()),
            401,
        ),
        ("two keys", two, 401),
        ("one key twice", twice, 401),
        (
            "other scheme",
            format!("authorization: Basic {KEY}\r\n"),
            401,
        ),
        ("no scheme", format!("authorization: {KEY}\r\n"), 401),
        ("no text", "authorization: Bearer k\u{e9}\r\n".into(), 401),
        (
            "name of a workspace",
            "rwr-workspace: payments\r\n".into(),
            401,
        ),
        (
            "headers of a relayed request",
            format!(
                "rwr-hop-workspace: payments\r\nrwr-hop-key: {}\r\nrwr-hop-caller: c\r\n\
                 rwr-hop-service: status\r\nrwr-hop-table: 1\r\nrwr-hop-left-ms: 9000\r\n\
                 rwr-hop-aim-ms: 900\r\nrwr-hop-attempts: 2\r\nrwr-hop-counted: 0\r\n",
                KeyDigest::of(KEY)
            ),
            401,
        ),
    ];
    for (name, lines, status) in cases {
        let before = upstream.received_requests().len();
        let answer = call(&entry, ONCE, "r-1", &lines).await;
        assert_eq!(answer.status, status, "{name}");
        let ran = upstream.received_requests().len() - before;
        assert_eq!(ran, usize::from(status == 200), "{name}");
        let challenge = answer.header("www-authenticate");
        assert_eq!(challenge.is_some(), status == 401, "{name}");
        assert_eq!(answer.header("retry-after"), None, "{name}");
    }
}

/// Guards against instances that learn a key, or a workspace that the caller made up.
#[tokio::test]
async fn test_workspaces_instances_get_name_and_no_key() {
    let forged = "rwr-workspace: other\r\nRWR-Workspace: third\r\n";
    let cases = [
        (READ, bearer(KEY), Some("payments")),
        (ONCE, bearer(OTHER_KEY), Some("time sheets")),
        (PUBLIC, bearer(KEY), None),
        (PUBLIC, bearer("k-none"), None),
        (PUBLIC, String::new(), None),
    ];
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    // A probe that takes longer than a selection waits for it occupies the connection, and the
    // request beside it opens another one.
    let entry = fakes::entry_without_probes(&[&upstream]).await;
    entry.core().set_table(keyed(2, &[KEY]));
    let mut caller = Caller::connect(entry.front()).await;
    for (number, (path, lines, workspace)) in cases.iter().enumerate() {
        let lines = format!("{forged}{lines}");
        let answer = send(&mut caller, path, "r-1", &lines).await;
        assert_eq!(answer.status, 200, "{path}");
        check_received(&upstream.received_requests()[number], *workspace);
    }
    assert_eq!(upstream.probes(), 0);
    assert_eq!(upstream.connections(), 1, "all on one connection");
}

/// Guards against retries that go out as the caller sent them.
#[tokio::test]
async fn test_workspaces_retries_get_name_and_no_key() {
    for behavior in [Behavior::Fail, Behavior::Shed, Behavior::Close] {
        let one = Upstream::start("i-1", behavior).await;
        let two = Upstream::start("i-2", behavior).await;
        let entry = fakes::entry(&[&one, &two]).await;
        entry.core().set_table(keyed(2, &[KEY]));
        let lines = format!("rwr-workspace: other\r\n{}", bearer(KEY));
        call(&entry, READ, "r-1", &lines).await;
        for upstream in [&one, &two] {
            let received = upstream.received_requests();
            assert_eq!(received.len(), 1, "{behavior:?}");
            check_received(&received[0], Some("payments"));
        }
    }
}

/// Guards against changed requests where no table has workspaces.
#[tokio::test]
async fn test_workspaces_without_any_headers_stay() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = fakes::entry(&[&upstream]).await;
    let lines = format!("rwr-workspace: mine\r\n{}", bearer(KEY));
    assert_eq!(call(&entry, READ, "r-1", &lines).await.status, 200);
    let received = &upstream.received_requests()[0];
    let expected = format!("Bearer {KEY}");
    assert_eq!(received.header("authorization"), Some(expected));
    assert_eq!(received.header("rwr-workspace").as_deref(), Some("mine"));
}

/// Guards against a 401, which callers don't repeat, from a process that knows no keys yet.
#[tokio::test]
async fn test_workspaces_process_without_table_answers_503() {
    let entry = start_unconfigured().await;
    let lines = bearer(KEY) + "rwr-deadline-ms: 40\r\n";
    let request = format!("GET {READ} HTTP/1.1\r\nhost: {HOST}\r\n{lines}\r\n");
    let mut caller = Caller::connect(entry.front()).await;
    caller.send_raw(request.as_bytes()).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

/// Starts two processes of which the first is known to be cut off, with workspaces in the table.
async fn start_cut_off(network: u8) -> Fleet {
    let fleet = Fleet::start(network, 2, Behavior::Answer).await;
    fleet.set_path(Path::Refused).await;
    while call(&fleet.entries[0], READ, "warm", "").await.status != 200 {}
    for entry in &fleet.entries {
        entry.core().set_table(keyed(2, &[KEY]));
    }
    fleet
}

/// Guards against a relayed request whose instance learns the key or a made-up workspace.
#[tokio::test]
async fn test_workspaces_relayed_request_gets_name_and_no_key() {
    let fleet = start_cut_off(171).await;
    let forged = "rwr-workspace: other\r\nrwr-hop-workspace: time sheets\r\n";
    let cases = [
        (READ, bearer(KEY), 200, Some("payments")),
        (READ, bearer("k-none"), 401, None),
        (PUBLIC, String::new(), 200, None),
    ];
    for (number, (path, lines, status, workspace)) in cases.into_iter().enumerate() {
        let id = format!("r-{number}");
        let answer = call(&fleet.entries[0], path, &id, &format!("{forged}{lines}")).await;
        assert_eq!(answer.status, status, "{id}");
        let received = fleet.upstreams.iter().flat_map(Upstream::received_requests);
        let received = received.filter(|r| r.header("rwr-request-id").as_ref() == Some(&id));
        let received: Vec<ReceivedRequest> = received.collect();
        assert_eq!(received.len(), usize::from(status == 200), "{id}");
        for request in &received {
            check_received(request, workspace);
        }
    }
}

/// Guards against a relayed request that runs although the receiving process doesn't know the
/// workspace, or knows that the key was removed.
#[tokio::test]
async fn test_workspaces_relayed_request_is_checked_by_receiver() {
    let fleet = start_cut_off(172).await;
    let cases = [
        ("key removed", keyed(3, &[])),
        ("workspace removed", {
            let mut table = keyed(4, &[]);
            table.workspaces.remove(0);
            table
        }),
        ("key of another workspace", {
            let mut table = keyed(5, &[]);
            table.workspaces[1].keys.push(KeyDigest::of(KEY));
            table
        }),
    ];
    for (name, table) in cases {
        fleet.entries[1].core().set_table(table);
        let answer = call(&fleet.entries[0], READ, name, &bearer(KEY)).await;
        assert_eq!(answer.status, 401, "{name}");
        assert_eq!(fleet.runs(name), 0, "{name}");
    }
}

/// Guards against refusals of valid keys where the receiving process is the first to have
/// workspaces.
#[tokio::test]
async fn test_workspaces_first_table_with_workspaces_reaches_receiver_first() {
    let fleet = Fleet::start(173, 2, Behavior::Answer).await;
    fleet.set_path(Path::Refused).await;
    while call(&fleet.entries[0], READ, "warm", "").await.status != 200 {}
    fleet.entries[1].core().set_table(keyed(2, &[KEY]));
    let known = call(&fleet.entries[0], READ, "r-1", &bearer(KEY)).await;
    assert_eq!((known.status, fleet.runs("r-1")), (200, 1));
    let forged = "rwr-hop-workspace: payments\r\n";
    let unknown = call(&fleet.entries[0], READ, "r-2", forged).await;
    assert_eq!((unknown.status, fleet.runs("r-2")), (401, 0));
}

/// Guards against keys that outlive their removal on a connection that stays open, and against
/// versions that are skipped.
#[tokio::test]
async fn test_workspaces_removed_key_stops_on_open_connection() {
    let (upstream, entry) = start(Behavior::Answer).await;
    let mut caller = Caller::connect(entry.front()).await;
    assert_eq!(
        send(&mut caller, ONCE, "r-1", &bearer(KEY)).await.status,
        200
    );
    entry.core().set_table(keyed(3, &["k-new"]));
    entry.core().set_table(keyed(4, &["k-new", "k-newer"]));
    assert_eq!(
        send(&mut caller, ONCE, "r-2", &bearer(KEY)).await.status,
        401
    );
    assert_eq!(
        send(&mut caller, ONCE, "r-3", &bearer("k-newer"))
            .await
            .status,
        200
    );
    // An older version that arrives late changes nothing.
    entry.core().set_table(keyed(2, &[KEY]));
    assert_eq!(
        send(&mut caller, ONCE, "r-4", &bearer(KEY)).await.status,
        401
    );
    assert_eq!(upstream.received_requests().len(), 2);
}

/// Guards against a removed key that still lets a request in while its body arrives.
#[tokio::test]
async fn test_workspaces_removed_key_ends_transfer() {
    // Buffered; too long to be buffered; without a declared length.
    let long = 300 * 1024;
    let cases = [
        ("short", head(ONCE, "r-1", &bearer(KEY), 8), 4, true),
        (
            "long",
            head(ONCE, "r-2", &bearer(KEY), long),
            long - 8,
            true,
        ),
        (
            "chunked",
            format!(
                "PUT {ONCE} HTTP/1.1\r\nhost: {HOST}\r\n{}transfer-encoding: chunked\r\n\r\n8\r\n",
                bearer(KEY)
            ),
            4,
            false,
        ),
    ];
    for (name, head, sent, reaches_instance) in cases {
        let (upstream, entry) = start(Behavior::Answer).await;
        let mut caller = Caller::connect(entry.front()).await;
        caller.send_raw(head.as_bytes()).await;
        caller.send_raw(&vec![b'x'; sent]).await;
        if reaches_instance {
            upstream.wait_for_body_bytes(1).await;
        }
        entry.core().set_table(keyed(3, &["k-new"]));
        caller.send_raw(b"xxxx").await;
        let answer = tokio::time::timeout(PATIENCE, caller.answer()).await;
        let answer = answer.expect("ends");
        // Closing the connection before the whole body is read may discard the response.
        assert!(answer.is_some() || name != "short", "{name}");
        if let Some(answer) = answer {
            let expected = if reaches_instance { 502 } else { 401 };
            assert_eq!(answer.status, expected, "{name}");
        }
        assert!(upstream.received_requests().is_empty(), "{name}");
    }
}

/// Guards against aborting requests that an instance works on already.
#[tokio::test]
async fn test_workspaces_removed_key_leaves_running_request() {
    let (upstream, entry) = start(Behavior::Halves).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller
        .send_raw(head(ONCE, "r-1", &bearer(KEY), 4).as_bytes())
        .await;
    caller.send_raw(b"body").await;
    upstream.wait_for_requests(1).await;
    entry.core().set_table(keyed(3, &[]));
    upstream.send_rest();
    let answer = tokio::time::timeout(PATIENCE, caller.answer()).await;
    assert_eq!(answer.expect("in time").expect("an answer").status, 200);
}

/// Guards against attempts with a key that was removed while the request waited.
#[tokio::test]
async fn test_workspaces_removed_key_ends_waiting_request() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = start_unconfigured().await;
    entry.core().set_table(keyed(2, &[KEY]));
    let mut caller = Caller::connect(entry.front()).await;
    let request = head(READ, "r-1", &bearer(KEY), 0);
    caller.send_raw(request.as_bytes()).await;
    // The request waits for instances. Were it late, its key would be unknown from the start.
    tokio::time::sleep(Duration::from_millis(50)).await;
    entry.core().set_table(keyed(3, &[]));
    let announced = [instance(&upstream, "status")];
    entry.core().apply_instances(HUB, &announced, &[]);
    let answer = tokio::time::timeout(PATIENCE, caller.answer()).await;
    let answer = answer.expect("in time").expect("an answer");
    assert_eq!(answer.status, 401);
    assert_eq!(answer.header("retry-after"), None);
    assert!(upstream.received_requests().is_empty());
}

/// Guards against keys that work on in a process that can't learn of their removal, and against
/// refusals where that isn't wanted.
#[tokio::test]
async fn test_workspaces_unconfirmed_table_fails_closed() {
    let (upstream, entry) = start(Behavior::Answer).await;
    let core = entry.core();
    let fail_closed = |confirm| entry::Settings {
        keys: Keys {
            fail_closed: true,
            confirm,
        },
        ..settings()
    };
    let status = async |path, lines: &str| call(&entry, path, "r-1", lines).await.status;
    assert_eq!(status(READ, &bearer(KEY)).await, 200, "off");
    core.set_settings(&fail_closed(Duration::from_hours(1)));
    let answer = call(&entry, READ, "r-1", &bearer(KEY)).await;
    assert_eq!(answer.status, 503, "never confirmed");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(status(READ, &bearer("k-none")).await, 503, "may be new");
    assert_eq!(status(PUBLIC, "").await, 200);
    core.record_confirmed_table(3, core.clock.now());
    assert_eq!(
        status(READ, &bearer(KEY)).await,
        503,
        "a newer one is confirmed"
    );
    core.set_table(keyed(3, &[KEY]));
    assert_eq!(status(READ, &bearer(KEY)).await, 200, "confirmed");
    assert_eq!(status(READ, &bearer("k-none")).await, 401);
    core.set_settings(&fail_closed(Duration::from_nanos(1)));
    assert_eq!(status(READ, &bearer(KEY)).await, 503, "too long ago");
    assert_eq!(status(PUBLIC, "").await, 200);
    assert_eq!(upstream.received_requests().len(), 4);
}

/// Guards against transfers that go on after the process can't know of removed keys any more.
#[tokio::test]
async fn test_workspaces_unconfirmed_table_ends_transfer() {
    let (upstream, entry) = start(Behavior::Answer).await;
    let core = entry.core();
    core.record_confirmed_table(2, core.clock.now());
    core.set_settings(&entry::Settings {
        keys: Keys {
            fail_closed: true,
            confirm: Duration::from_millis(500),
        },
        ..settings()
    });
    let mut caller = Caller::connect(entry.front()).await;
    caller
        .send_raw(head(ONCE, "r-1", &bearer(KEY), 8).as_bytes())
        .await;
    caller.send_raw(b"half").await;
    upstream.wait_for_body_bytes(4).await;
    while !core.fails_closed() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // The transfer is broken off by a timer of its own.
    tokio::time::sleep(Duration::from_millis(50)).await;
    caller.send_raw(b"rest").await;
    let answer = tokio::time::timeout(PATIENCE, caller.answer()).await;
    let answer = answer.expect("in time").expect("an answer");
    assert_eq!(answer.status, 502, "a part was sent");
    assert!(upstream.received_requests().is_empty());
}

/// Guards against requests that stay at a process that may not serve them, although another may.
#[tokio::test]
async fn test_workspaces_relayed_request_fails_closed_at_receiver() {
    let fleet = start_cut_off(174).await;
    let core = fleet.entries[1].core();
    let keys = Keys {
        fail_closed: true,
        ..Keys::default()
    };
    let reloaded = entry::Settings {
        keys,
        ..(*core.settings()).clone()
    };
    core.set_settings(&reloaded);
    let answer = call(&fleet.entries[0], READ, "r-1", &bearer(KEY)).await;
    assert_eq!((answer.status, fleet.runs("r-1")), (503, 0));
}

/// Guards against keys in log lines, and against refusals whose cause they don't tell.
#[tokio::test]
async fn test_workspaces_log_has_causes_and_no_keys() {
    let lines = Lines::default();
    let (log, guard) = telemetry::log::start(lines.clone(), Level::Debug, "rwr-entry", "entry-1");
    let entry = Entry::start(settings(), Dialect::default(), log).await;
    let entry = entry.expect("starts");
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    entry.core().set_table(keyed(2, &[KEY]));
    let announced = [instance(&upstream, "status")];
    entry.core().apply_instances(HUB, &announced, &[]);
    let unknown = "k-unknown-Key";
    call(&entry, READ, "r-known", &bearer(KEY)).await;
    call(&entry, READ, "r-unknown", &bearer(unknown)).await;
    call(&entry, READ, "r-several", &(bearer(KEY) + &bearer(unknown))).await;
    call(
        &entry,
        READ,
        "r-scheme",
        &format!("authorization: {KEY}\r\n"),
    )
    .await;
    call(&entry, READ, "r-missing", "").await;
    entry.core().set_table(keyed(3, &[]));
    call(&entry, READ, "r-removed", &bearer(KEY)).await;
    drop(entry);
    drop(guard);
    let text = lines.text();
    for key in [KEY, unknown] {
        assert!(!text.contains(key), "{text}");
    }
    let short = KeyDigest::of(unknown).short();
    let expected = [
        ("r-known", "workspace=payments".to_owned()),
        ("r-unknown", format!("digest={short}")),
        ("r-unknown", "cause=unknown".into()),
        ("r-several", "cause=several".into()),
        ("r-scheme", "cause=scheme".into()),
        ("r-missing", "cause=missing".into()),
        ("r-removed", "cause=unknown".into()),
    ];
    for (id, part) in expected {
        let found = text
            .lines()
            .any(|line| line.contains(id) && line.contains(&part));
        assert!(found, "{id} {part} in {text}");
    }
}
