//! The headers between entry processes.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use entry::refusal::Reason;
use entry::relay::Hop;
use entry::relay::HopOutcome;
use entry::relay::PeerReport;
use entry::relay::Question;
use http::HeaderMap;
use http::HeaderValue;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7013))
}

#[test]
fn test_hop_report_is_read_as_it_was_written() {
    for hints in [vec![], vec![address(1)], vec![address(1), address(2)]] {
        let report = PeerReport { load: 3, hints };
        let mut headers = HeaderMap::new();
        report.write(&mut headers);
        assert_eq!(PeerReport::take(&mut headers), report);
        assert!(headers.is_empty(), "{headers:?}");
    }
}

/// Guards against a request that is charged to its workspace's quota twice, or not at all.
#[test]
fn test_hop_is_read_as_it_was_written() {
    for charged in [false, true] {
        let hop = Hop {
            caller: "10.0.0.1".into(),
            service: ServiceName::new("status").expect("a name"),
            workspace: Some(WorkspaceName::new("ledger").expect("a name")),
            table: 7,
            remaining: Duration::from_millis(800),
            aim: Duration::from_millis(300),
            attempts: 2,
            counted: true,
            key: None,
            charged,
        };
        let mut headers = HeaderMap::new();
        hop.write(&mut headers);
        assert_eq!(Hop::take(&mut headers), Some(hop));
        assert!(headers.is_empty(), "{headers:?}");
    }
}

/// Guards against a process that a damaged response makes fail, or remember without a bound.
#[test]
fn test_hop_report_that_is_invalid_is_left_out() {
    let many = (0..200).map(|number| address(number).to_string());
    let many = many.collect::<Vec<_>>().join(",");
    let cases = [
        ("-1", "nobody", 0, 0),
        ("3x", ",,", 0, 0),
        ("99999999999999999999999", "127.0.0.1:7013,nobody", 0, 1),
        ("4", many.as_str(), 4, reach::search::MAX_HINTS),
    ];
    for (load, hints, expected_load, expected_hints) in cases {
        let mut headers = HeaderMap::new();
        headers.insert("rwr-hop-load", HeaderValue::from_static(load));
        headers.insert(
            "rwr-hop-peers",
            HeaderValue::from_str(hints).expect("a value"),
        );
        let report = PeerReport::take(&mut headers);
        assert_eq!(report.load, expected_load, "{load}");
        assert_eq!(report.hints.len(), expected_hints, "{hints}");
    }
}

#[test]
fn test_hop_question_is_read_as_it_was_written() {
    for table in [None, Some(0), Some(7)] {
        let question = Question {
            service: ServiceName::new("status").expect("a name"),
            table,
        };
        let request = question.to_request();
        assert_eq!(Question::read(request.headers()), Some(question));
    }
    assert_eq!(Question::read(&HeaderMap::new()), None);
    let mut headers = HeaderMap::new();
    headers.insert("rwr-hop-question", HeaderValue::from_static("status"));
    headers.insert("rwr-hop-table", HeaderValue::from_static("x"));
    assert_eq!(Question::read(&headers), None);
}

/// Guards against processes of earlier versions that take the refusal of a stopping one, whose reason
/// they don't know, for no response at all.
#[test]
fn test_hop_refusal_of_a_stopping_process_is_known_to_all_versions() {
    let mut headers = HeaderMap::new();
    HopOutcome::Refused(Reason::Stopping).write(&mut headers);
    let told = HopOutcome::take(&mut headers);
    assert_eq!(told, Some(HopOutcome::Refused(Reason::Unreachable)));
}
