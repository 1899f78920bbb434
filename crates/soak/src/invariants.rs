//! Checks the guarantees of the system against the calls and runs of a soak run.

use std::collections::HashMap;
use std::fmt;

use testutils::Reply;
use testutils::tables::FRAGILE;

use crate::calls::Call;
use crate::world::World;

/// Statuses that guarantee that the request was not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

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
    let mut run_counts: HashMap<String, usize> = HashMap::new();
    for run in world.runs() {
        *run_counts.entry(run.path).or_default() += 1;
    }
    let mut report = Report {
        calls: calls.len(),
        steps: world.steps().to_vec(),
        ..Report::default()
    };
    for call in calls {
        let count = run_counts.get(&call.path).copied().unwrap_or(0);
        report.answered += usize::from(call.reply.as_ref().is_some_and(Reply::is_ok));
        if let Some(violation) = violation(call, count) {
            report.violations.push(violation);
        }
    }
    report.violations.extend(world.table_regressions());
    report.violations.extend(crash_violation);
    report
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
