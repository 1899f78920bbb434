//! Requests that crash instances, as a hub hears of them and tells of them.

mod common;

use common::PATIENCE;
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
    let told = client.report(within(PATIENCE), report).await;
    told.expect("answers")
}

/// Tells of a crash from one entry process.
async fn crashed(link: &HubLink, host: &str, instance: &str) -> Suspects {
    let told = Report {
        host: host.into(),
        crashes: vec![crash(instance)],
        ..Report::default()
    };
    report(link, told).await
}

fn refused(suspects: &Suspects) -> Vec<Fingerprint> {
    let rows = suspects.rows.iter().filter(|row| row.refused_ms > 0);
    rows.filter_map(|row| row.request).collect()
}

/// Each of three entry processes sees one crash; a fourth one that watches learns of them.
#[tokio::test]
async fn test_hub_counts_crashes_of_all_entry_processes() {
    let (_hub, layout) = start().await;
    let link = link(&layout);
    let first = watch(&link, Watch::default()).await;
    assert_eq!(first.suspects, None);
    let waits = |lists, suspects| {
        let ask = Watch {
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
        tokio::spawn(async move { watch(&link, ask).await })
    };
    assert!(crashed(&link, "entry-1", "i-1").await.rows.is_empty());
    let suspected = crashed(&link, "entry-2", "i-2").await;
    assert!(refused(&suspected).is_empty());
    let waiting = [true, false].map(|lists| waits(lists, suspected.revision));
    assert_eq!(refused(&crashed(&link, "entry-3", "i-3").await), [REQUEST]);
    for waiting in waiting {
        let told = waiting.await.expect("ends").suspects.expect("told");
        assert_eq!(refused(&told), [REQUEST]);
    }
    // One of before the hub's start holds another revision, whatever its number is.
    let told = watch(&link, Watch::default()).await.suspects;
    assert_eq!(refused(&told.expect("told")), [REQUEST]);
}

#[tokio::test]
async fn test_hub_request_that_was_answered_is_no_suspect() {
    let (_hub, layout) = start().await;
    let link = link(&layout);
    for instance in ["i-1", "i-2"] {
        crashed(&link, "entry-1", instance).await;
    }
    let answered = Report {
        host: "entry-2".into(),
        answered: vec![REQUEST],
        crashes: vec![crash("i-3")],
        ..Report::default()
    };
    assert!(report(&link, answered).await.rows.is_empty());
}

/// Every hub has started anew, and an entry process refuses a request by what they said.
#[tokio::test]
async fn test_hub_that_starts_anew_learns_what_is_refused() {
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
    let told = watch(&link, Watch::default()).await.suspects;
    assert_eq!(refused(&told.expect("told")), [REQUEST]);
}

/// What names nothing is left out, and the rest of the report counts.
#[tokio::test]
async fn test_hub_takes_what_is_usable_of_a_report() {
    let (_hub, layout) = start().await;
    let link = link(&layout);
    let told = Report {
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
    assert_eq!(refused(&report(&link, told).await), [REQUEST]);
}
