//! Requests from callers to upstreams, and the responses that callers get.

mod fakes;

use std::time::Duration;

use entry::Entry;
use fakes::HOST;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::SHORT;
use fakes::caller::Caller;
use fakes::caller::call;
use fakes::entry;
use fakes::instance;
use fakes::split;
use fakes::start_unconfigured;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;
use wire::hub::Instance;
use wire::hub::Phase;

async fn start_one(behavior: Behavior) -> (Upstream, Entry) {
    let upstream = Upstream::start("i-1", behavior).await;
    let entry = entry(&[&upstream]).await;
    (upstream, entry)
}

#[tokio::test]
async fn test_flow_passes_request_and_answer_on_unchanged() {
    let (upstream, entry) = start_one(Behavior::Answer).await;
    let mut caller = Caller::connect(entry.front()).await;
    let path = format!("{ONCE}a?b=c%20d");
    let answer = caller.call("PUT", &path, "r-1", "the body").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "answer to r-1 by i-1");
    assert_eq!(answer.header("signature").as_deref(), Some("s-r-1"));
    let received_requests = upstream.received_requests();
    assert_eq!(received_requests.len(), 1);
    assert_eq!(received_requests[0].line(), format!("PUT {path}"));
    assert_eq!(received_requests[0].body, b"the body");
    let header = |name: &str| received_requests[0].header(name);
    assert_eq!(header("host").as_deref(), Some(HOST));
    assert_eq!(header("x-own").as_deref(), Some("kept"));
    assert_eq!(header("x-hop"), None);
    assert_eq!(header("rwr-request-id").as_deref(), Some("r-1"));
    assert_eq!(header("rwr-only").as_deref(), Some("i-1"));
    let left: u64 = header("rwr-deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("a deadline");
    assert!(left <= 20_000);
}

struct Case {
    name: &'static str,
    path: &'static str,
    first: Behavior,
    status: u16,
    /// Number of requests that reached any upstream.
    received_requests: usize,
}

/// Guards against retries of requests that may not run twice, and against wrong statuses. Both
/// upstreams behave the same.
#[tokio::test]
async fn test_flow_sends_again_only_what_may_run_again() {
    let cases = [
        ("answered", ONCE, Behavior::Answer, 200, 1),
        ("failed, idempotent", READ, Behavior::Fail, 500, 2),
        ("failed, once", ONCE, Behavior::Fail, 500, 1),
        ("shed, idempotent", READ, Behavior::Shed, 503, 2),
        ("shed, once", ONCE, Behavior::Shed, 503, 2),
        (
            "elsewhere, idempotent",
            READ,
            Behavior::AddressTaken,
            503,
            2,
        ),
        ("elsewhere, once", ONCE, Behavior::AddressTaken, 503, 2),
        ("closed, idempotent", READ, Behavior::Close, 502, 2),
        ("closed, once", ONCE, Behavior::Close, 502, 1),
        ("truncated, idempotent", READ, Behavior::Truncate, 502, 2),
        ("truncated, once", ONCE, Behavior::Truncate, 502, 1),
        ("stranger, idempotent", READ, Behavior::WrongId, 502, 2),
        ("stranger, once", ONCE, Behavior::WrongId, 502, 1),
        (
            "hangs until the route's timeout",
            SHORT,
            Behavior::Hang,
            504,
            1,
        ),
        ("without a length", ONCE, Behavior::Unframed, 200, 1),
    ];
    for (name, path, first, status, received_requests) in cases {
        check(&Case {
            name,
            path,
            first,
            status,
            received_requests,
        })
        .await;
    }
}

async fn check(case: &Case) {
    let one = Upstream::start("i-1", case.first).await;
    let two = Upstream::start("i-2", case.first).await;
    let entry = entry(&[&one, &two]).await;
    let answer = call(entry.front(), "GET", case.path, "r-1").await;
    assert_eq!(answer.status, case.status, "{}", case.name);
    let found = one.received_requests().len() + two.received_requests().len();
    assert_eq!(found, case.received_requests, "{}", case.name);
    if matches!(case.status, 502..=504) {
        assert_eq!(answer.header("signature"), None, "{}", case.name);
    }
    assert_eq!(
        answer.header("retry-after").is_some(),
        case.status == 503,
        "{}",
        case.name
    );
}

#[tokio::test]
async fn test_flow_retry_goes_to_another_instance() {
    let one = Upstream::start("i-1", Behavior::Close).await;
    let two = Upstream::start("i-2", Behavior::Close).await;
    let entry = entry(&[&one, &two]).await;
    let answer = call(entry.front(), "GET", READ, "r-1").await;
    assert_eq!(answer.status, 502);
    assert_eq!(
        (one.received_requests().len(), two.received_requests().len()),
        (1, 1)
    );
}

/// Guards against replacing an upstream's own failure when no other attempt did better.
#[tokio::test]
async fn test_flow_failure_of_last_attempt_is_returned() {
    for _ in 0..8 {
        let one = Upstream::start("i-1", Behavior::Fail).await;
        let two = Upstream::start("i-2", Behavior::Shed).await;
        let entry = entry(&[&one, &two]).await;
        let answer = call(entry.front(), "GET", READ, "r-1").await;
        assert_eq!(answer.status, 500);
        assert_eq!(answer.header("signature").as_deref(), Some("s-r-1"));
        assert_eq!(answer.body, "answer to r-1 by i-1");
    }
}

/// Guards against passing an unsolicited response to a later request.
#[tokio::test]
async fn test_flow_unsolicited_answer_is_discarded() {
    let (upstream, entry) = start_one(Behavior::Twice).await;
    let mut caller = Caller::connect(entry.front()).await;
    for id in ["r-1", "r-2", "r-3"] {
        let answer = caller.call("GET", READ, id, "").await;
        if answer.status == 200 {
            assert_eq!(answer.body, format!("answer to {id} by i-1"));
        }
    }
    upstream.set_behavior(Behavior::Answer);
    let answer = caller.call("GET", READ, "r-4", "").await;
    assert_eq!(answer.body, "answer to r-4 by i-1");
}

#[tokio::test]
async fn test_flow_caller_that_leaves_ends_the_work() {
    let (upstream, entry) = start_one(Behavior::Hang).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", READ, "r-1", "").await;
    upstream.wait_for_requests(1).await;
    drop(caller);
    upstream.wait_for_disconnects(1).await;
    assert_eq!(upstream.received_requests().len(), 1);
}

#[tokio::test]
async fn test_flow_answers_without_a_table_or_a_route() {
    let entry = start_unconfigured().await;
    let mut caller = Caller::connect(entry.front()).await;
    caller
        .send_raw(b"GET /read/ HTTP/1.1\r\nhost: example.org\r\nrwr-deadline-ms: 400\r\n\r\n")
        .await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    entry.core().set_table(fakes::table(1));
    let answer = caller.call("GET", "/none/", "r-2", "").await;
    assert_eq!(answer.status, 404);
    let answer = caller.call("GET", READ, "r-3", "").await;
    assert_eq!(answer.status, 503, "no instance is known");
}

/// Guards against refusing requests that arrive shortly before the first table.
#[tokio::test]
async fn test_flow_waits_for_the_first_table() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = start_unconfigured().await;
    entry
        .core()
        .apply_instances(HUB, &[instance(&upstream, "status")], &[]);
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", READ, "r-1", "").await;
    entry.core().set_table(fakes::table(1));
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 200);
}

/// Guards against refusing requests that arrive shortly before the first instances.
#[tokio::test]
async fn test_flow_waits_for_the_first_instances() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let entry = start_unconfigured().await;
    entry.core().set_table(fakes::table(1));
    let mut caller = Caller::connect(entry.front()).await;
    // A request without a route is refused without waiting for instances.
    let answer = caller.call("GET", "/none/", "r-1", "").await;
    assert_eq!(answer.status, 404);
    caller.send("GET", READ, "r-2", "").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    entry
        .core()
        .apply_instances(HUB, &[instance(&upstream, "status")], &[]);
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn test_flow_table_never_goes_back() {
    let (_upstream, entry) = start_one(Behavior::Answer).await;
    let mut newer = fakes::table(3);
    newer.hosts[0].routes.retain(|route| &*route.prefix != READ);
    entry.core().set_table(newer);
    entry.core().set_table(fakes::table(2));
    assert_eq!(entry.core().routes().version(), Some(3));
    let answer = call(entry.front(), "GET", READ, "r-1").await;
    assert_eq!(answer.status, 404);
}

#[tokio::test]
async fn test_flow_leaving_instance_gets_nothing_more() {
    let one = Upstream::start("i-1", Behavior::Answer).await;
    let two = Upstream::start("i-2", Behavior::Answer).await;
    let entry = entry(&[&one, &two]).await;
    let leaving = Instance {
        phase: Phase::Draining.into(),
        sequence: 2,
        ..instance(&one, "status")
    };
    entry.core().apply_instances(HUB, &[leaving], &[]);
    // An outdated announcement doesn't make the instance ready again.
    entry
        .core()
        .apply_instances(HUB, &[instance(&one, "status")], &[]);
    for n in 0..10 {
        let answer = call(entry.front(), "GET", READ, &format!("r-{n}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(
        (one.received_requests().len(), two.received_requests().len()),
        (0, 10)
    );
}

/// Guards against ignoring an instance that restarts under its id at another address; its
/// sequence starts anew.
#[tokio::test]
async fn test_flow_instance_that_starts_again_under_its_id_gets_requests() {
    let before = Upstream::start("i-1", Behavior::Answer).await;
    let after = Upstream::start("i-1", Behavior::Answer).await;
    let entry = start_unconfigured().await;
    entry.core().set_table(fakes::table(1));
    let incarnation_of = |upstream: &Upstream, incarnation, sequence, phase: Phase| Instance {
        incarnation,
        sequence,
        phase: phase.into(),
        ..instance(upstream, "status")
    };
    entry
        .core()
        .apply_instances(HUB, &[incarnation_of(&before, 1, 7, Phase::Ready)], &[]);
    let answer = call(entry.front(), "GET", READ, "r-1").await;
    assert_eq!(answer.status, 200);
    entry
        .core()
        .apply_instances(HUB, &[incarnation_of(&before, 1, 8, Phase::Draining)], &[]);
    entry
        .core()
        .apply_instances(HUB, &[incarnation_of(&after, 2, 1, Phase::Ready)], &[]);
    // An outdated announcement of the earlier incarnation.
    entry
        .core()
        .apply_instances(HUB, &[incarnation_of(&before, 1, 9, Phase::Gone)], &[]);
    for n in 2..6 {
        let answer = call(entry.front(), "GET", READ, &format!("r-{n}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(
        (
            before.received_requests().len(),
            after.received_requests().len()
        ),
        (1, 4)
    );
}

/// Guards against sending requests to an address that now belongs to another instance.
#[tokio::test]
async fn test_flow_instance_whose_address_is_another_ones_gets_nothing_more() {
    let one = Upstream::start("i-1", Behavior::Answer).await;
    let two = Upstream::start("i-2", Behavior::Answer).await;
    let entry = entry(&[&one]).await;
    let mut caller = Caller::connect(entry.front()).await;
    let answer = caller.call("GET", READ, "r-0", "").await;
    assert_eq!(answer.status, 200);
    one.set_behavior(Behavior::AddressTaken);
    // There is no other instance, so every request would have to go to this one.
    for n in 0..40 {
        let answer = caller.call("GET", READ, &format!("r-{n}"), "").await;
        assert_eq!(answer.status, 503);
    }
    let found = one.received_requests().len() - 1;
    assert!(found <= 1, "{found} requests went there");
    entry
        .core()
        .apply_instances(HUB, &[instance(&two, "status")], &[]);
    let answer = caller.call("GET", READ, "r-41", "").await;
    assert_eq!(answer.status, 200);
}

/// Guards against using an instance whose health page works but which doesn't answer requests.
#[tokio::test]
async fn test_flow_instance_that_swallows_requests_is_left_out() {
    let mute = Upstream::start("i-1", Behavior::Hang).await;
    let well = Upstream::start("i-2", Behavior::Answer).await;
    let entry = entry(&[&mute]).await;
    let mut caller = Caller::connect(entry.front()).await;
    for n in 0..3 {
        let answer = caller.call("GET", SHORT, &format!("r-{n}"), "").await;
        assert_eq!(answer.status, 504);
    }
    let instances = [instance(&mute, "status"), instance(&well, "status")];
    entry.core().apply_instances(HUB, &instances, &[]);
    for n in 3..23 {
        // Long enough for both instances to be probed again.
        tokio::time::sleep(Duration::from_millis(20)).await;
        caller.call("GET", SHORT, &format!("r-{n}"), "").await;
    }
    let found = mute.received_requests().len();
    assert!(found <= 5, "{found} of 23 went there");
}

/// Guards against sending a request that can't finish before its deadline. Its work is expected
/// to take 18 ms.
#[tokio::test]
async fn test_flow_request_that_would_be_cut_is_refused_unsent() {
    let (upstream, entry) = start_one(Behavior::Answer).await;
    let mut caller = Caller::connect(entry.front()).await;
    let answer = caller.call("GET", SHORT, "r-1", "").await;
    assert_eq!(answer.status, 200);
    // Other requests have 20 s, so this caller counts as one that retries.
    let late = format!(
        "GET {SHORT} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: r-2\r\n\
         rwr-deadline-ms: 10\r\n\r\n"
    );
    caller.send_raw(late.as_bytes()).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(upstream.received_requests().len(), 1);
}

#[tokio::test]
async fn test_flow_split_keeps_its_weights() {
    let status = Upstream::start("i-1", Behavior::Answer).await;
    let other = Upstream::start("i-2", Behavior::Answer).await;
    let entry = start_unconfigured().await;
    entry.core().set_table(split(1, [3, 1]));
    let instances = [instance(&status, "status"), instance(&other, "other")];
    entry.core().apply_instances(HUB, &instances, &[]);
    let mut caller = Caller::connect(entry.front()).await;
    for n in 0..40 {
        let answer = caller.call("GET", READ, &format!("r-{n}"), "").await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(
        (
            status.received_requests().len(),
            other.received_requests().len()
        ),
        (30, 10)
    );
}

/// Guards against moving requests to another part of a split.
#[tokio::test]
async fn test_flow_split_no_failover_to_other_part() {
    let status = Upstream::start("i-1", Behavior::Answer).await;
    let other = Upstream::start("i-2", Behavior::Shed).await;
    let entry = start_unconfigured().await;
    entry.core().set_table(split(1, [1, 1]));
    let instances = [instance(&status, "status"), instance(&other, "other")];
    entry.core().apply_instances(HUB, &instances, &[]);
    let mut statuses = Vec::new();
    for n in 0..4 {
        let answer = call(entry.front(), "GET", READ, &format!("r-{n}")).await;
        statuses.push(answer.status);
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 503, 503]);
    assert_eq!(status.received_requests().len(), 2);
}

#[tokio::test]
async fn test_flow_malformed_request_affects_no_other_connection() {
    let (upstream, entry) = start_one(Behavior::Answer).await;
    let cases: [(&str, &[u8]); 6] = [
        ("no HTTP", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
        ("no version", b"GET /read/\r\n\r\n"),
        ("bad header", b"GET /read/ HTTP/1.1\r\nhost example.org\r\n\r\n"),
        (
            "two lengths",
            b"POST /once/ HTTP/1.1\r\nhost: example.org\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde",
        ),
        (
            "length and chunks",
            b"POST /once/ HTTP/1.1\r\nhost: example.org\r\ncontent-length: 3\r\ntransfer-encoding: chunked, x\r\n\r\nabc",
        ),
        (
            "length that is no number",
            b"POST /once/ HTTP/1.1\r\nhost: example.org\r\ncontent-length: -1\r\n\r\n",
        ),
    ];
    let mut good = Caller::connect(entry.front()).await;
    for (name, bytes) in cases {
        let mut bad = Caller::connect(entry.front()).await;
        bad.send_raw(bytes).await;
        let answer = bad.answer().await;
        assert!(answer.is_none_or(|a| a.status == 400), "{name}");
        bad.wait_until_closed().await;
        let answer = good.call("GET", READ, name, "").await;
        assert_eq!(answer.status, 200, "{name}");
    }
    let strange = upstream
        .received_requests()
        .iter()
        .any(|request| request.line().starts_with("POST"));
    assert!(!strange);
}

#[tokio::test]
async fn test_flow_chunked_body_arrives_whole() {
    let (upstream, entry) = start_one(Behavior::Answer).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller
        .send_raw(
            b"POST /once/ HTTP/1.1\r\nhost: example.org\r\nrwr-request-id: r-1\r\n\
              transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
        )
        .await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(upstream.received_requests()[0].body, b"abcdefg");
}
