//! What makes a table invalid; every fault is reported at once.

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;

use crate::model::Route;
use crate::model::Table;
use crate::model::Target;

/// Longest timeout of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_mins(10);

/// What is wrong with a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// It names a service that the table lacks.
    UnknownService(ServiceName),
    /// Another route has its host and prefix.
    SamePlace,
    /// The weights of its split add up to nothing.
    NoWeight,
    /// Its timeout is over [`MAX_TIMEOUT`].
    LongTimeout(Duration),
    /// Its timeout leaves no time for any answer.
    NoTimeout,
    /// It may be sent to no instance.
    NoAttempts,
    /// Its prefix doesn't begin and end with a slash.
    Prefix,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(name) => write!(f, "service {name} is not in the table"),
            Self::SamePlace => f.write_str("another route has the same host and prefix"),
            Self::NoWeight => f.write_str("the weights add up to 0"),
            Self::LongTimeout(found) => {
                write!(f, "the timeout {found:?} is over {MAX_TIMEOUT:?}")
            }
            Self::NoTimeout => f.write_str("the timeout is 0"),
            Self::NoAttempts => f.write_str("0 attempts; at least 1 is needed"),
            Self::Prefix => f.write_str("the prefix must begin and end with a slash"),
        }
    }
}

/// One fault and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The route's host.
    pub host: Arc<str>,
    /// The route's prefix.
    pub prefix: Arc<str>,
    /// What is wrong.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route {}{}: {}", self.host, self.prefix, self.problem)
    }
}

/// All faults of `table`, none when it is valid.
#[must_use]
pub fn check(table: &Table) -> Vec<Fault> {
    let services: HashSet<&ServiceName> = table.services.iter().map(|s| &s.name).collect();
    let mut places = HashSet::new();
    let mut faults = Vec::new();
    for host in &table.hosts {
        for route in &host.routes {
            let mut problems = check_route(route, &services);
            if !places.insert((&host.name, &route.prefix)) {
                problems.push(Problem::SamePlace);
            }
            faults.extend(problems.into_iter().map(|problem| Fault {
                host: Arc::clone(&host.name),
                prefix: Arc::clone(&route.prefix),
                problem,
            }));
        }
    }
    faults
}

fn check_route(route: &Route, services: &HashSet<&ServiceName>) -> Vec<Problem> {
    let unknown = route.target.services().filter(|s| !services.contains(s));
    let mut problems: Vec<_> = unknown.cloned().map(Problem::UnknownService).collect();
    if let Target::Split(parts) = &route.target
        && parts.iter().all(|p| p.weight == 0)
    {
        problems.push(Problem::NoWeight);
    }
    if let Some(timeout) = route.timeout.filter(|t| *t > MAX_TIMEOUT) {
        problems.push(Problem::LongTimeout(timeout));
    }
    if route.timeout.is_some_and(|timeout| timeout.is_zero()) {
        problems.push(Problem::NoTimeout);
    }
    if route.attempts == 0 {
        problems.push(Problem::NoAttempts);
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        problems.push(Problem::Prefix);
    }
    problems
}
