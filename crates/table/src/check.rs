//! Validation of route tables. All faults are reported together.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base::name::NameError;
use base::prelude::*;

use crate::key::KeyDigest;
use crate::model::Route;
use crate::model::Table;
use crate::model::Target;
use crate::workspace::Workspace;

/// Maximum timeout of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_mins(10);

/// Why a route is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The target is a service that is not in the table.
    UnknownService(ServiceName),
    /// Another route has the same host and prefix.
    DuplicatePrefix,
    /// The weights of the target add up to 0.
    NoWeight,
    /// The timeout exceeds [`MAX_TIMEOUT`].
    TimeoutTooLong(Duration),
    /// The timeout is 0.
    ZeroTimeout,
    /// The number of attempts is 0.
    NoAttempts,
    /// The prefix doesn't begin and end with a slash.
    InvalidPrefix,
    /// Another workspace has the same name.
    DuplicateWorkspace,
    /// Another workspace holds one of the keys.
    SharedKey(WorkspaceName),
    /// One of the keys is empty, so that no caller can present it.
    EmptyKey,
    /// The name of the workspace is invalid.
    InvalidWorkspaceName(NameError),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(name) => write!(f, "service {name} is not in the table"),
            Self::DuplicatePrefix => f.write_str("another route has the same host and prefix"),
            Self::NoWeight => f.write_str("the weights add up to 0"),
            Self::TimeoutTooLong(timeout) => {
                write!(
                    f,
                    "the timeout {timeout:?} exceeds the maximum of {MAX_TIMEOUT:?}"
                )
            }
            Self::ZeroTimeout => f.write_str("the timeout is 0"),
            Self::NoAttempts => f.write_str("0 attempts; at least 1 is needed"),
            Self::InvalidPrefix => f.write_str("the prefix must begin and end with a slash"),
            Self::DuplicateWorkspace => f.write_str("another workspace has the same name"),
            Self::SharedKey(other) => write!(f, "workspace {other} holds one of its keys"),
            Self::EmptyKey => f.write_str("one of its keys is empty"),
            Self::InvalidWorkspaceName(err) => err.fmt(f),
        }
    }
}

/// What has a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A route.
    Route {
        /// The route's host.
        host: Arc<str>,
        /// The route's prefix.
        prefix: Arc<str>,
    },
    /// A workspace.
    Workspace(WorkspaceName),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route { host, prefix } => write!(f, "route {host}{prefix}"),
            Self::Workspace(name) => write!(f, "workspace {name}"),
        }
    }
}

/// A fault and what has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The invalid route or workspace.
    pub subject: Subject,
    /// Why it is invalid.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.problem)
    }
}

/// Returns all faults of `table`; none if it is valid.
#[must_use]
pub fn check(table: &Table) -> Vec<Fault> {
    let services: HashSet<&ServiceName> = table.services.iter().map(|s| &s.name).collect();
    let mut prefixes = HashSet::new();
    let mut faults = Vec::new();
    for host in &table.hosts {
        for route in &host.routes {
            let mut problems = check_route(route, &services);
            if !prefixes.insert((&host.name, &route.prefix)) {
                problems.push(Problem::DuplicatePrefix);
            }
            faults.extend(problems.into_iter().map(|problem| Fault {
                subject: Subject::Route {
                    host: Arc::clone(&host.name),
                    prefix: Arc::clone(&route.prefix),
                },
                problem,
            }));
        }
    }
    faults.extend(check_workspaces(&table.workspaces));
    faults
}

fn check_workspaces(workspaces: &[Workspace]) -> Vec<Fault> {
    let mut names = HashSet::new();
    let mut holders: HashMap<KeyDigest, &WorkspaceName> = HashMap::new();
    let mut faults = Vec::new();
    let empty_key = KeyDigest::of("");
    for workspace in workspaces {
        let mut problems = Vec::new();
        // Tables from the log or another process are decoded without a check of their names.
        if let Err(err) = WorkspaceName::new(workspace.name.as_str()) {
            problems.push(Problem::InvalidWorkspaceName(err));
        }
        if workspace.keys.contains(&empty_key) {
            problems.push(Problem::EmptyKey);
        }
        if !names.insert(&workspace.name) {
            problems.push(Problem::DuplicateWorkspace);
        }
        for key in &workspace.keys {
            let holder = holders.entry(*key).or_insert(&workspace.name);
            if *holder != &workspace.name {
                problems.push(Problem::SharedKey((*holder).clone()));
            }
        }
        faults.extend(problems.into_iter().map(|problem| Fault {
            subject: Subject::Workspace(workspace.name.clone()),
            problem,
        }));
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
        problems.push(Problem::TimeoutTooLong(timeout));
    }
    if route.timeout.is_some_and(|timeout| timeout.is_zero()) {
        problems.push(Problem::ZeroTimeout);
    }
    if route.attempts == 0 {
        problems.push(Problem::NoAttempts);
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        problems.push(Problem::InvalidPrefix);
    }
    problems
}
