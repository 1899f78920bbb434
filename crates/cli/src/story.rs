//! Extracts the lines about one request from the logs of several hosts.
//!
//! These are the lines with the request's id, and what the same hosts logged about the instances
//! that handled it, during the request and shortly before.

use std::collections::BTreeSet;

use telemetry::logfmt::field;

/// How long before the request's first line instance lines are included, in seconds: twice the
/// time in which all hosts have to learn that an instance is leaving.
const LOOKBACK_S: f64 = 5.0;
/// Values of `msg` that report the state of an instance.
const INSTANCE_MESSAGES: [&str; 4] = ["instance", "address taken over", "connect failed", "hold"];

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When the line was logged, in seconds since the Unix epoch.
    pub timestamp: f64,
    /// The host that logged the line.
    pub host: String,
    /// The line without its time, level, host and binary.
    pub text: String,
}

/// Collects the lines about request `id`, oldest first; empty when no line has this id.
#[must_use]
pub fn collect_lines(id: &str, logs: &[String]) -> Vec<Line> {
    let lines = || logs.iter().flat_map(|log| log.lines());
    let request_lines: Vec<&str> = lines()
        .filter(|line| field(line, "request") == Some(id))
        .collect();
    let times = request_lines.iter().filter_map(|line| timestamp_of(line));
    let (from, to) = times.fold((f64::MAX, f64::MIN), |(from, to), timestamp| {
        (from.min(timestamp), to.max(timestamp))
    });
    let instances = request_lines
        .iter()
        .filter_map(|line| field(line, "instance"));
    let instances: BTreeSet<&str> = instances.filter(|id| *id != "-").collect();
    let hosts: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|line| field(line, "host"))
        .collect();
    let instance_lines = lines().filter(|line| {
        let matches = |key, set: &BTreeSet<&str>| field(line, key).is_some_and(|v| set.contains(v));
        let in_period = timestamp_of(line)
            .is_some_and(|timestamp| timestamp >= from - LOOKBACK_S && timestamp <= to);
        let about_instance = field(line, "msg").is_some_and(|msg| INSTANCE_MESSAGES.contains(&msg));
        about_instance && in_period && matches("instance", &instances) && matches("host", &hosts)
    });
    let mut story: Vec<Line> = request_lines
        .iter()
        .copied()
        .chain(instance_lines)
        .filter_map(parse_line)
        .collect();
    story.sort_by(|a, b| a.timestamp.total_cmp(&b.timestamp));
    story
}

fn timestamp_of(line: &str) -> Option<f64> {
    field(line, "ts")?.parse().ok()
}

fn parse_line(line: &str) -> Option<Line> {
    let omitted = ["ts=", "level=", "host=", "binary="];
    let words = line.split(' ');
    let retained = words.filter(|word| !omitted.iter().any(|start| word.starts_with(start)));
    Some(Line {
        timestamp: timestamp_of(line)?,
        host: field(line, "host").unwrap_or("-").to_owned(),
        text: retained.collect::<Vec<_>>().join(" "),
    })
}
