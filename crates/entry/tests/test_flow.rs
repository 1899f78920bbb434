//! The way of a request: what reaches upstreams, and what callers get back.

mod fakes;

use std::time::Duration;

use entry::Entry;
use fakes::HOST;
use fakes::HUB;
use fakes::ONCE;
use fakes::READ;
use fakes::SHORT;
use fakes::bare;
use fakes::caller::Caller;
use fakes::caller::call;
use fakes::entry;
use fakes::instance;
use fakes::split;
use fakes::upstream::Manner;
use fakes::upstream::Upstream;
use wire::hub::Instance;
use wire::hub::Phase;

async fn one(manner: Manner) -> (Upstream, Entry) {
    let upstream = Upstream::start("i-1", manner).await;
    let entry = entry(&[&upstream]).await;
    (upstream, entry)
}

#[tokio::test]
async fn test_flow_passes_request_and_answer_on_unchanged() {
    let (upstream, entry) = one(Manner::Answer).await;
    let mut caller = Caller::connect(entry.front()).await;
    let path = format!("{ONCE}a?b=c%20d");
    let answer = caller.call("PUT", &path, "r-1", "the body").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "answer to r-1 by i-1");
    assert_eq!(answer.header("signature").as_deref(), Some("s-r-1"));
    let arrivals = upstream.arrivals();
    assert_eq!(arrivals.len(), 1);
    assert_eq!(arrivals[0].line(), format!("PUT {path}"));
    assert_eq!(arrivals[0].body, b"the body");
    let header = |name: &str| arrivals[0].header(name);
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
    first: Manner,
    status: u16,
    /// Requests that reached any upstream.
    arrivals: usize,
}

/// Two upstreams that do the same: what is sent again, and what callers are told.
#[tokio::test]
async fn test_flow_sends_again_only_what_may_run_again() {
    let cases = [
        ("answered", ONCE, Manner::Answer, 200, 1),
        ("failed, idempotent", READ, Manner::Fail, 500, 2),
        ("failed, once", ONCE, Manner::Fail, 500, 1),
        ("shed, idempotent", READ, Manner::Shed, 503, 2),
        ("shed, once", ONCE, Manner::Shed, 503, 2),
        ("elsewhere, idempotent", READ, Manner::Elsewhere, 503, 2),
        ("elsewhere, once", ONCE, Manner::Elsewhere, 503, 2),
        ("closed, idempotent", READ, Manner::Close, 502, 2),
        ("closed, once", ONCE, Manner::Close, 502, 1),
        ("truncated, idempotent", READ, Manner::Truncate, 502, 2),
        ("truncated, once", ONCE, Manner::Truncate, 502, 1),
        ("stranger, idempotent", READ, Manner::Stranger, 502, 2),
        ("stranger, once", ONCE, Manner::Stranger, 502, 1),
        (
            "hangs until the route's timeout",
            SHORT,
            Manner::Hang,
            504,
            1,
        ),
        ("without a length", ONCE, Manner::Unframed, 200, 1),
    ];
    for (name, path, first, status, arrivals) in cases {
        check(&Case {
            name,
            path,
            first,
            status,
            arrivals,
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
    let found = one.arrivals().len() + two.arrivals().len();
    assert_eq!(found, case.arrivals, "{}", case.name);
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
    let one = Upstream::start("i-1", Manner::Close).await;
    let two = Upstream::start("i-2", Manner::Close).await;
    let entry = entry(&[&one, &two]).await;
    let answer = call(entry.front(), "GET", READ, "r-1").await;
    assert_eq!(answer.status, 502);
    assert_eq!((one.arrivals().len(), two.arrivals().len()), (1, 1));
}

/// An instance's own failure is the answer where no other attempt does better.
#[tokio::test]
async fn test_flow_failure_of_an_instance_is_delivered_in_the_end() {
    for _ in 0..8 {
        let one = Upstream::start("i-1", Manner::Fail).await;
        let two = Upstream::start("i-2", Manner::Shed).await;
        let entry = entry(&[&one, &two]).await;
        let answer = call(entry.front(), "GET", READ, "r-1").await;
        assert_eq!(answer.status, 500);
        assert_eq!(answer.header("signature").as_deref(), Some("s-r-1"));
        assert_eq!(answer.body, "answer to r-1 by i-1");
    }
}

/// An answer that nobody asked for belongs to no later request.
#[tokio::test]
async fn test_flow_second_answer_reaches_nobody() {
    let (upstream, entry) = one(Manner::Twice).await;
    let mut caller = Caller::connect(entry.front()).await;
    for id in ["r-1", "r-2", "r-3"] {
        let answer = caller.call("GET", READ, id, "").await;
        if answer.status == 200 {
            assert_eq!(answer.body, format!("answer to {id} by i-1"));
        }
    }
    upstream.set(Manner::Answer);
    let answer = caller.call("GET", READ, "r-4", "").await;
    assert_eq!(answer.body, "answer to r-4 by i-1");
}

#[tokio::test]
async fn test_flow_caller_that_leaves_ends_the_work() {
    let (upstream, entry) = one(Manner::Hang).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", READ, "r-1", "").await;
    upstream.reached(1).await;
    drop(caller);
    upstream.left(1).await;
    assert_eq!(upstream.arrivals().len(), 1);
}

#[tokio::test]
async fn test_flow_answers_without_a_table_or_a_route() {
    let entry = bare().await;
    let mut caller = Caller::connect(entry.front()).await;
    caller
        .raw(b"GET /read/ HTTP/1.1\r\nhost: example.org\r\nrwr-deadline-ms: 400\r\n\r\n")
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

/// A table that comes while a request waits for it serves that request.
#[tokio::test]
async fn test_flow_waits_for_the_first_table() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = bare().await;
    entry
        .core()
        .apply_instances(HUB, &[instance(&upstream, "status")], &[]);
    let mut caller = Caller::connect(entry.front()).await;
    caller.send("GET", READ, "r-1", "").await;
    entry.core().set_table(fakes::table(1));
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 200);
}

/// The same for instances, of which it may be told after the table.
#[tokio::test]
async fn test_flow_waits_for_the_first_instances() {
    let upstream = Upstream::start("i-1", Manner::Answer).await;
    let entry = bare().await;
    entry.core().set_table(fakes::table(1));
    let mut caller = Caller::connect(entry.front()).await;
    // No instance runs what has no route, so that is told at once.
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
    let (_upstream, entry) = one(Manner::Answer).await;
    let mut newer = fakes::table(3);
    newer.hosts[0].routes.retain(|route| &*route.prefix != READ);
    entry.core().set_table(newer);
    entry.core().set_table(fakes::table(2));
    assert_eq!(entry.core().routes().table.version, 3);
    let answer = call(entry.front(), "GET", READ, "r-1").await;
    assert_eq!(answer.status, 404);
}

#[tokio::test]
async fn test_flow_leaving_instance_gets_nothing_more() {
    let one = Upstream::start("i-1", Manner::Answer).await;
    let two = Upstream::start("i-2", Manner::Answer).await;
    let entry = entry(&[&one, &two]).await;
    let leaving = Instance {
        phase: Phase::Draining.into(),
        sequence: 2,
        ..instance(&one, "status")
    };
    entry.core().apply_instances(HUB, &[leaving], &[]);
    // A late announcement from before doesn't bring it back.
    entry
        .core()
        .apply_instances(HUB, &[instance(&one, "status")], &[]);
    for n in 0..10 {
        let answer = call(entry.front(), "GET", READ, &format!("r-{n}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!((one.arrivals().len(), two.arrivals().len()), (0, 10));
}

/// It starts again at another address, under its id; the sequence starts anew.
#[tokio::test]
async fn test_flow_instance_that_starts_again_under_its_id_gets_requests() {
    let before = Upstream::start("i-1", Manner::Answer).await;
    let after = Upstream::start("i-1", Manner::Answer).await;
    let entry = bare().await;
    entry.core().set_table(fakes::table(1));
    let life = |upstream: &Upstream, incarnation, sequence, phase: Phase| Instance {
        incarnation,
        sequence,
        phase: phase.into(),
        ..instance(upstream, "status")
    };
    entry
        .core()
        .apply_instances(HUB, &[life(&before, 1, 7, Phase::Ready)], &[]);
    let answer = call(entry.front(), "GET", READ, "r-1").await;
    assert_eq!(answer.status, 200);
    entry
        .core()
        .apply_instances(HUB, &[life(&before, 1, 8, Phase::Draining)], &[]);
    entry
        .core()
        .apply_instances(HUB, &[life(&after, 2, 1, Phase::Ready)], &[]);
    // Late news of the earlier one.
    entry
        .core()
        .apply_instances(HUB, &[life(&before, 1, 9, Phase::Gone)], &[]);
    for n in 2..6 {
        let answer = call(entry.front(), "GET", READ, &format!("r-{n}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!((before.arrivals().len(), after.arrivals().len()), (1, 4));
}

/// Its address belongs to another one now, for good.
#[tokio::test]
async fn test_flow_instance_whose_address_is_another_ones_gets_nothing_more() {
    let one = Upstream::start("i-1", Manner::Answer).await;
    let two = Upstream::start("i-2", Manner::Answer).await;
    let entry = entry(&[&one]).await;
    let mut caller = Caller::connect(entry.front()).await;
    let answer = caller.call("GET", READ, "r-0", "").await;
    assert_eq!(answer.status, 200);
    one.set(Manner::Elsewhere);
    // There is no other one yet, so every request would have to go there.
    for n in 0..40 {
        let answer = caller.call("GET", READ, &format!("r-{n}"), "").await;
        assert_eq!(answer.status, 503);
    }
    let found = one.arrivals().len() - 1;
    assert!(found <= 1, "{found} requests went there");
    entry
        .core()
        .apply_instances(HUB, &[instance(&two, "status")], &[]);
    let answer = caller.call("GET", READ, "r-41", "").await;
    assert_eq!(answer.status, 200);
}

/// Its health page is fine, so only the requests that end by the route's timeout tell.
#[tokio::test]
async fn test_flow_instance_that_swallows_requests_is_left_out() {
    let mute = Upstream::start("i-1", Manner::Hang).await;
    let well = Upstream::start("i-2", Manner::Answer).await;
    let entry = entry(&[&mute]).await;
    let mut caller = Caller::connect(entry.front()).await;
    for n in 0..3 {
        let answer = caller.call("GET", SHORT, &format!("r-{n}"), "").await;
        assert_eq!(answer.status, 504);
    }
    let rows = [instance(&mute, "status"), instance(&well, "status")];
    entry.core().apply_instances(HUB, &rows, &[]);
    for n in 3..23 {
        // Long enough that both are asked anew.
        tokio::time::sleep(Duration::from_millis(20)).await;
        caller.call("GET", SHORT, &format!("r-{n}"), "").await;
    }
    let found = mute.arrivals().len();
    assert!(found <= 5, "{found} of 23 went there");
}

/// Work is expected to take 18 ms there.
#[tokio::test]
async fn test_flow_request_that_would_be_cut_is_refused_unsent() {
    let (upstream, entry) = one(Manner::Answer).await;
    let mut caller = Caller::connect(entry.front()).await;
    let answer = caller.call("GET", SHORT, "r-1", "").await;
    assert_eq!(answer.status, 200);
    // The others have 20 s, so that this caller has asked before.
    let late = format!(
        "GET {SHORT} HTTP/1.1\r\nhost: {HOST}\r\nrwr-request-id: r-2\r\n\
         rwr-deadline-ms: 10\r\n\r\n"
    );
    caller.raw(late.as_bytes()).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(upstream.arrivals().len(), 1);
}

#[tokio::test]
async fn test_flow_split_keeps_its_weights() {
    let status = Upstream::start("i-1", Manner::Answer).await;
    let other = Upstream::start("i-2", Manner::Answer).await;
    let entry = bare().await;
    entry.core().set_table(split(1, [3, 1]));
    let rows = [instance(&status, "status"), instance(&other, "other")];
    entry.core().apply_instances(HUB, &rows, &[]);
    let mut caller = Caller::connect(entry.front()).await;
    for n in 0..40 {
        let answer = caller.call("GET", READ, &format!("r-{n}"), "").await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!((status.arrivals().len(), other.arrivals().len()), (30, 10));
}

/// What doesn't fit a part of a split is not moved to another.
#[tokio::test]
async fn test_flow_split_stays_in_its_part() {
    let status = Upstream::start("i-1", Manner::Answer).await;
    let other = Upstream::start("i-2", Manner::Shed).await;
    let entry = bare().await;
    entry.core().set_table(split(1, [1, 1]));
    let rows = [instance(&status, "status"), instance(&other, "other")];
    entry.core().apply_instances(HUB, &rows, &[]);
    let mut statuses = Vec::new();
    for n in 0..4 {
        let answer = call(entry.front(), "GET", READ, &format!("r-{n}")).await;
        statuses.push(answer.status);
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 503, 503]);
    assert_eq!(status.arrivals().len(), 2);
}

#[tokio::test]
async fn test_flow_bad_input_touches_nobody_else() {
    let (upstream, entry) = one(Manner::Answer).await;
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
        bad.raw(bytes).await;
        let answer = bad.answer().await;
        assert!(answer.is_none_or(|a| a.status == 400), "{name}");
        bad.closed().await;
        let answer = good.call("GET", READ, name, "").await;
        assert_eq!(answer.status, 200, "{name}");
    }
    let strange = upstream
        .arrivals()
        .iter()
        .any(|arrival| arrival.line().starts_with("POST"));
    assert!(!strange);
}

#[tokio::test]
async fn test_flow_chunked_body_arrives_whole() {
    let (upstream, entry) = one(Manner::Answer).await;
    let mut caller = Caller::connect(entry.front()).await;
    caller
        .raw(
            b"POST /once/ HTTP/1.1\r\nhost: example.org\r\nrwr-request-id: r-1\r\n\
              transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
        )
        .await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(upstream.arrivals()[0].body, b"abcdefg");
}
