//! The text of the metrics registry, and the rate limit for log lines.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::Timed;
use slog::Drain;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;
use slog::info;
use slog::o;
use slog::warn;
use telemetry::limit::RateLimit;
use telemetry::metrics;

#[test]
fn test_registry_shows_counters_gauges_and_timers_by_tag() {
    let client = metrics::start(None, "host-1").expect("a client");
    for _ in 0..3 {
        client
            .count_with_tags("board.test", 2)
            .with_tag("end", "ok")
            .send();
    }
    client.gauge("board.level", 7_u64).expect("counts");
    for millis in 1..=100 {
        client
            .time("board.span", Duration::from_millis(millis))
            .expect("counts");
    }
    let text = metrics::registry().text();
    let line = |name: &str| {
        let found = text.lines().find(|line| line.starts_with(name));
        found
            .unwrap_or_else(|| panic!("{name} in {text}"))
            .to_owned()
    };
    let counter = line("rwr_board_test");
    assert!(
        counter.contains("end=\"ok\"") && counter.ends_with(" 6"),
        "{counter}"
    );
    assert!(line("rwr_board_level").ends_with(" 7"));
    assert!(line("rwr_board_span_ms{quantile=\"0.5\"").ends_with(" 50"));
    assert!(line("rwr_board_span_ms_count").ends_with(" 100"));
    assert!(line("rwr_board_span_ms_sum").ends_with(" 5050"));
    assert!(line("rwr_metrics_left_out").ends_with(" 0"));
}

/// Records the messages that reach the drain.
#[derive(Clone, Default)]
struct RecordedMessages(Arc<Mutex<Vec<String>>>);

impl Drain for RecordedMessages {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut messages = self.0.lock().expect("no test panics while it holds it");
        messages.push(record.msg().to_string());
        Ok(())
    }
}

#[test]
fn test_limit_drops_lines_beyond_the_rate() {
    let messages = RecordedMessages::default();
    let drain = RateLimit::new(messages.clone(), 10).fuse();
    let log = Logger::root(drain, o!());
    for _ in 0..50 {
        info!(log, "line");
    }
    for _ in 0..50 {
        warn!(log, "warning");
    }
    let lines = messages.0.lock().expect("held by nobody").clone();
    let count = |word: &str| lines.iter().filter(|line| *line == word).count();
    // The test may span several windows, each of which admits lines up to the rate.
    assert!(
        count("line") >= 10 && count("line") < 50,
        "{}",
        count("line")
    );
    assert!(count("warning") >= 10, "{}", count("warning"));
}
