//! What the logs of several hosts tell of one request.
//!
//! The lines that name the request, and what its hosts came to believe of the
//! instances that it was sent to, shortly before or meanwhile.

use std::collections::BTreeSet;

use telemetry::logfmt::field;

/// How long before the request's first line other lines still matter, in seconds:
/// the time in which a leaving instance has to be known everywhere, and as much again.
const BEFORE: f64 = 5.0;
/// Messages that tell what a host believes of an instance.
const BELIEFS: [&str; 3] = ["instance", "address taken over", "connect failed"];

/// One line of a story.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When, in seconds.
    pub at: f64,
    /// Who wrote it.
    pub host: String,
    /// What it says, without time, level and process.
    pub text: String,
}

/// The story of the request `id`, oldest line first; empty where no line names it.
#[must_use]
pub fn tell(id: &str, logs: &[String]) -> Vec<Line> {
    let lines = || logs.iter().flat_map(|log| log.lines());
    let own: Vec<&str> = lines()
        .filter(|line| field(line, "request") == Some(id))
        .collect();
    let times = own.iter().filter_map(|line| time(line));
    let (from, to) = times.fold((f64::MAX, f64::MIN), |(from, to), at| {
        (from.min(at), to.max(at))
    });
    let instances = own.iter().filter_map(|line| field(line, "instance"));
    let instances: BTreeSet<&str> = instances.filter(|id| *id != "-").collect();
    let hosts: BTreeSet<&str> = own.iter().filter_map(|line| field(line, "host")).collect();
    let beliefs = lines().filter(|line| {
        let is = |key, set: &BTreeSet<&str>| field(line, key).is_some_and(|v| set.contains(v));
        let near = time(line).is_some_and(|at| at >= from - BEFORE && at <= to);
        let told = field(line, "msg").is_some_and(|msg| BELIEFS.contains(&msg));
        told && near && is("instance", &instances) && is("host", &hosts)
    });
    let mut story: Vec<Line> = own
        .iter()
        .copied()
        .chain(beliefs)
        .filter_map(read)
        .collect();
    story.sort_by(|a, b| a.at.total_cmp(&b.at));
    story
}

fn time(line: &str) -> Option<f64> {
    field(line, "ts")?.parse().ok()
}

fn read(line: &str) -> Option<Line> {
    let dropped = ["ts=", "level=", "host=", "binary="];
    let words = line.split(' ');
    let kept = words.filter(|word| !dropped.iter().any(|start| word.starts_with(start)));
    Some(Line {
        at: time(line)?,
        host: field(line, "host").unwrap_or("-").to_owned(),
        text: kept.collect::<Vec<_>>().join(" "),
    })
}
