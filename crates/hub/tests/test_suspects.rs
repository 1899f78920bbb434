//! Requests that crash instances: reports to a hub and what its watchers receive.

mod common;

use common::TIMEOUT;
use common::link;
use common::start;
use common::watch;
use wire::hub::Crash;
use wire::hub::Fingerprint;
use wire::hub::News;
use wire::hub::Report;
use wire::hub::Suspect;
use wire::hub::Suspects;
use wire::hub::Watch;
use wire::link::within;
use wire::peer::HubLink;

const REQUEST: Fingerprint = Fingerprint {
    path: 1,
    body: 2,
    sender: 3,
};

fn crash(instance: &str) -> Crash {
    Crash {
        request: Some(REQUEST),
        service: "status".into(),
        instance: instance.into(),
        incarnation: 1,
        ago_ms: 5,
        ..Crash::default()
    }
}

async fn report(link: &HubLink, report: Report) -> Suspects {
    let client = link.client().await.expect("connects");
    let reply = client.report(within(TIMEOUT), report).await;
    reply.expect("answers")
}

/// Reports a crash as the entry process `host`.
async fn report_crash(link: &HubLink, host: &str, instance: &str) -> Suspects {
    let crashed = Report {
        host: host.into(),
        crashes: vec![crash(instance)],
        ..Report::default()
    };
    report(link, crashed).await
}

fn refused(suspects: &Suspects) -> Vec<Fingerprint> {
    let rows = suspects.rows.iter().filter(|row| row.refused_ms > 0);
    rows.filter_map(|row| row.request).collect()
}

/// Crashes seen by different entry processes must add up, and reach one that only watches.
#[tokio::test]
async fn test_hub_counts_crashes_of_all_entry_processes() {
    let (_hub, layout) = start().await;
    let link = link(&layout);
    let first = watch(&link, Watch::default()).await;
    assert_eq!(first.suspects, None);
    let wait_for_suspects = |lists, suspects| {
        let request = Watch {
            epoch: first.epoch,
            cursor: first.cursor,
            news: News::None.into(),
            lists,
            list: first.list,
            suspects,
            wait_ms: 60_000,
            ..Watch::default()
        };
        let link = common::link(&layout);
        tokio::spawn(async move { watch(&link, request).await })
    };
    assert!(report_crash(&link, "entry-1", "i-1").await.rows.is_empty());
    let suspected = report_crash(&link, "entry-2", "i-2").await;
    assert!(refused(&suspected).is_empty());
    let waiting = [true, false].map(|lists| wait_for_suspects(lists, suspected.revision));
    assert_eq!(
        refused(&report_crash(&link, "entry-3", "i-3").await),
        [REQUEST]
    );
    for waiting in waiting {
        let suspects = waiting.await.expect("ends").suspects.expect("sent");
        assert_eq!(refused(&suspects), [REQUEST]);
    }
    // A watcher of another epoch receives the suspects whatever its revision is.
    let suspects = watch(&link, Watch::default()).await.suspects;
    assert_eq!(refused(&suspects.expect("sent")), [REQUEST]);
}

#[tokio::test]
async fn test_hub_answered_request_is_not_suspected() {
    let (_hub, layout) = start().await;
    let link = link(&layout);
    for instance in ["i-1", "i-2"] {
        report_crash(&link, "entry-1", instance).await;
    }
    let answered = Report {
        host: "entry-2".into(),
        answered: vec![REQUEST],
        crashes: vec![crash("i-3")],
        ..Report::default()
    };
    assert!(report(&link, answered).await.rows.is_empty());
}

/// A refusal must survive a restart of all hubs, by way of the entry processes that apply it.
#[tokio::test]
async fn test_hub_learns_refusals_from_entry_processes() {
    let (_hub, layout) = start().await;
    let link = link(&layout);
    let known = Report {
        host: "entry-1".into(),
        refused: vec![Suspect {
            request: Some(REQUEST),
            refused_ms: 60_000,
        }],
        ..Report::default()
    };
    assert_eq!(refused(&report(&link, known).await), [REQUEST]);
    let suspects = watch(&link, Watch::default()).await.suspects;
    assert_eq!(refused(&suspects.expect("sent")), [REQUEST]);
}

/// Invalid entries of a report must not discard its valid ones.
#[tokio::test]
async fn test_hub_applies_valid_entries_of_a_report() {
    let (_hub, layout) = start().await;
    let link = link(&layout);
    let mixed = Report {
        crashes: vec![
            Crash::default(),
            crash("i-1"),
            Crash {
                request: None,
                ..crash("i-2")
            },
            crash(""),
            crash("i-3"),
            crash("i-4"),
        ],
        refused: vec![Suspect::default()],
        ..Report::default()
    };
    assert_eq!(refused(&report(&link, mixed).await), [REQUEST]);
}
