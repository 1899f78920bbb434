//! Checks the guarantees of the system against the calls and runs of a soak run.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use standin::Run;
use testutils::Reply;
use testutils::tables::FRAGILE;

use crate::calls::Call;
use crate::keys::CallKey;
use crate::keys::Keys;
use crate::world::WAIT_PATHS;
use crate::world::World;

/// Statuses that guarantee that the request was not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Status of requests without a valid key.
const UNAUTHORIZED: u16 = 401;

/// Body of the response to a request that is refused because it crashes instances.
const QUARANTINED: &str = "quarantined";

/// Result of a soak run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of calls.
    pub calls: usize,
    /// Number of calls with a complete successful response.
    pub answered: usize,
    /// Violated guarantees, one description each.
    pub violations: Vec<String>,
    /// Steps applied to the system, in order.
    pub steps: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            calls,
            answered,
            violations,
            steps,
        } = self;
        write!(
            f,
            "{answered} of {calls} calls answered, {} broken",
            violations.len()
        )?;
        if violations.is_empty() {
            return Ok(());
        }
        let mut details = violations.iter().chain(steps);
        details.try_for_each(|line| write!(f, "\n  {line}"))
    }
}

/// Checks the replies to `calls` against the recorded runs. `crash_violation` is the result of
/// [`World::check_crashes`].
#[must_use]
pub fn check(world: &World, calls: &[Call], crash_violation: Option<String>) -> Report {
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for run in world.runs() {
        runs.entry(run.path.clone()).or_default().push(run);
    }
    let mut report = Report {
        calls: calls.len(),
        steps: world.steps().to_vec(),
        ..Report::default()
    };
    for call in calls {
        let runs = runs.get(&call.path).map(Vec::as_slice).unwrap_or_default();
        report.answered += usize::from(call.reply.as_ref().is_some_and(Reply::is_ok));
        let violation = violation(call, runs.len());
        let violation = violation.or_else(|| key_violation(world.keys(), call, runs));
        report.violations.extend(violation);
    }
    let called: HashSet<&str> = calls.iter().map(|call| call.path.as_str()).collect();
    let is_unasked =
        |path: &&String| !called.contains(path.as_str()) && !WAIT_PATHS.contains(&path.as_str());
    let unasked = runs.keys().filter(is_unasked);
    let unasked = unasked.map(|path| format!("{path} ran, which no caller sent"));
    report.violations.extend(unasked);
    report.violations.extend(world.table_regressions());
    report.violations.extend(crash_violation);
    report
}

/// The guarantee on keys that a call and its runs show to be violated, if any.
fn key_violation(keys: &Keys, call: &Call, runs: &[Run]) -> Option<String> {
    let Call { path, key, .. } = call;
    let status = call.reply.as_ref().map(|reply| reply.status);
    if *key == CallKey::Steady && status == Some(UNAUTHORIZED) {
        return Some(format!("{path} was refused despite its key"));
    }
    let is_invalid = keys.is_invalid(*key, call.sent_at);
    if is_invalid && (!runs.is_empty() || call.reply.as_ref().is_some_and(Reply::is_ok)) {
        return Some(format!("{path} ran with {key}"));
    }
    let is_wrong = |run: &&Run| {
        Some(run.workspace.as_str()) != key.workspace() || !run.authorization.is_empty()
    };
    let wrong = runs.iter().find(is_wrong)?;
    Some(format!("{path} with {key} ran as {wrong:?}"))
}

/// The guarantee that a call shows to be violated, if any, given that its request ran `count` times.
fn violation(call: &Call, count: usize) -> Option<String> {
    let path = &call.path;
    if call.once && count > 1 {
        return Some(format!("{path} ran {count} times"));
    }
    let reply = call.reply.as_ref()?;
    if call.once && NOT_RUN.contains(&reply.status) && count > 0 {
        return Some(format!(
            "{path} was run despite its reply with status {}",
            reply.status
        ));
    }
    if reply.body == QUARANTINED {
        return Some(format!(
            "{path} was quarantined for the crashes of another request"
        ));
    }
    if !reply.is_ok() {
        return None;
    }
    let own = reply.receipt().is_some_and(|receipt| receipt.path == *path);
    // A crash of a process loses its record of runs.
    let record_may_be_lost = path.starts_with(FRAGILE);
    (!own || (count == 0 && !record_may_be_lost))
        .then(|| format!("{path} got the response of another request: {reply:?}"))
}
