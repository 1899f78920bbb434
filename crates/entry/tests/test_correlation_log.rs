//! Log lines and counters of responses that don't name the request that was sent.

mod fakes;

use entry::Dialect;
use entry::Entry;
use entry::pool::Message;
use entry::pool::Pool;
use entry::pool::Usage;
use fakes::HUB;
use fakes::ONCE;
use fakes::caller::call;
use fakes::instance;
use fakes::lines::Lines;
use fakes::selected;
use fakes::settings;
use fakes::table;
use fakes::upstream::Behavior;
use fakes::upstream::Upstream;
use slog::Level;
use telemetry::log::LogGuard;

/// A refusal of the first request, and copies of it.
const REFUSAL: Behavior = Behavior::RefusalOf("r-1");

async fn start(upstream: &Upstream) -> (Entry, Lines, LogGuard) {
    let lines = Lines::default();
    let (log, guard) = telemetry::log::start(lines.clone(), Level::Info, "rwr-entry", "entry-1");
    let entry = Entry::start(settings(), Dialect::default(), log).await;
    let entry = entry.expect("starts");
    entry.core().set_table(table(1));
    let announced = [instance(upstream, "status")];
    entry.core().apply_instances(HUB, &announced, &[]);
    (entry, lines, guard)
}

/// Stops the process, and returns its lines that have all `keys`.
fn stop(entry: Entry, lines: &Lines, guard: LogGuard, keys: &[&str]) -> Vec<String> {
    drop(entry);
    drop(guard);
    let text = lines.text();
    let matching = text.lines().filter(|line| {
        let line = format!("{line} ");
        keys.iter().all(|key| line.contains(&format!(" {key} ")))
    });
    matching.map(str::to_owned).collect()
}

/// Whether a counter with all of the tags has counted something.
fn is_counted(name: &str, tags: &[&str]) -> bool {
    let text = telemetry::metrics::registry().text();
    let mut lines = text.lines();
    lines.any(|line| line.starts_with(name) && tags.iter().all(|tag| line.contains(tag)))
}

/// Guards against a refusal of an earlier request that the log shows as one of the latest.
#[tokio::test]
async fn test_correlation_copy_of_an_earlier_refusal_is_logged_and_counted() {
    let upstream = Upstream::start("i-1", REFUSAL).await;
    let (entry, lines, guard) = start(&upstream).await;
    for id in ["r-1", "r-2"] {
        call(entry.front(), "POST", ONCE, id).await;
    }
    stop(entry, &lines, guard, &[]);
    let text = lines.text();
    let has = |keys: &[&str]| {
        let mut lines = text.lines().map(|line| format!("{line} "));
        lines.any(|line| keys.iter().all(|key| line.contains(&format!(" {key}"))))
    };
    assert!(
        has(&[
            "msg=refusal ",
            "request=r-1 ",
            "named=r-1 ",
            "uses=",
            "last="
        ]),
        "{text}"
    );
    assert!(
        has(&["msg=refusal ", "request=r-2 ", "named=r-1 "]),
        "{text}"
    );
    let foreign = "msg=\"foreign response\" ";
    let expected = [foreign, "request=r-2 ", "named=r-1 ", "owner=other "];
    let more = ["status=503 ", "refused=true ", "instance=i-1 ", "uses="];
    assert!(has(&[expected, more].concat()), "{text}");
    assert!(!has(&[foreign, "request=r-1 "]), "{text}");
    let service = "service=\"status\"";
    for owner in ["owner=\"sent\"", "owner=\"other\""] {
        assert!(
            is_counted("rwr_entry_refusals{", &[service, owner]),
            "{owner}"
        );
    }
    let tags = [service, "owner=\"other\"", "status=\"5xx\""];
    assert!(is_counted("rwr_entry_answers_foreign{", &tags));
}

/// Guards against a response without an id of which the log has no trace.
#[tokio::test]
async fn test_correlation_response_that_names_no_request_is_logged_and_counted() {
    let upstream = Upstream::start("i-1", Behavior::Unnamed).await;
    let (entry, lines, guard) = start(&upstream).await;
    let answer = call(entry.front(), "POST", ONCE, "r-1").await;
    assert_eq!(answer.status, 502);
    let keys = [
        "msg=\"foreign response\"",
        "request=r-1",
        "named=-",
        "owner=unnamed",
        "status=200",
        "refused=false",
        "peer=-",
        "service=status",
    ];
    assert_eq!(
        stop(entry, &lines, guard, &keys).len(),
        1,
        "{}",
        lines.text()
    );
    let service = "service=\"status\"";
    let tags = [service, "owner=\"unnamed\"", "status=\"2xx\""];
    assert!(is_counted("rwr_entry_answers_foreign{", &tags));
    assert!(is_counted("rwr_entry_connections_foreign{", &[service]));
}

/// Guards against a response to a request that a probe takes for its own without a trace, and
/// against lines for probes whose response names no request.
#[tokio::test]
async fn test_correlation_probe_that_gets_the_response_to_a_request_is_logged() {
    for (health, expected) in [(REFUSAL, 1), (Behavior::Answer, 0), (Behavior::Unnamed, 0)] {
        let upstream = Upstream::start("i-1", Behavior::Answer).await;
        upstream.set_health(health);
        let (entry, lines, guard) = start(&upstream).await;
        let selected = selected(&upstream, &entry);
        let core = entry.core();
        let ids = [selected.id.to_string()];
        let picks = core.balancer(&selected.service, |balancer, _| balancer.picks(&ids));
        for pick in picks.into_iter().flatten() {
            entry::probe::probe_instance(core, pick, &selected).await;
        }
        let mut keys = vec!["msg=\"foreign response\"", "request=probe"];
        if expected > 0 {
            keys.extend(["named=r-1", "owner=other", "status=503", "refused=true"]);
        }
        let found = stop(entry, &lines, guard, &keys);
        assert_eq!(found.len(), expected, "{health:?} {}", lines.text());
    }
}

/// Guards against a use count that starts anew, or runs ahead, while a connection is kept.
#[tokio::test]
async fn test_correlation_connection_counts_its_uses() {
    let upstream = Upstream::start("i-1", Behavior::Answer).await;
    let pool = Pool::new(upstream.address);
    let mut connection = pool.connect().await.expect("connects");
    assert_eq!(connection.record_use(Message::Request), Usage::default());
    assert_eq!(Usage::default().last_label(), "-");
    for (uses, last, next) in [
        (1, Message::Request, Message::Probe),
        (2, Message::Probe, Message::Request),
    ] {
        let before = Usage {
            uses,
            last: Some(last),
        };
        assert_eq!(connection.record_use(next), before);
        assert_eq!(before.last_label(), <&str>::from(last));
    }
}
