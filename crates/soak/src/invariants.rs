//! Which promises a run broke.

use std::collections::HashMap;
use std::fmt;

use testutils::Reply;
use testutils::tables::FRAGILE;

use crate::calls::Call;
use crate::world::World;

/// Statuses by which the system promises that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What the system says of a request that it refuses as it crashes instances.
const QUARANTINED: &str = "quarantined";

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Calls made.
    pub calls: usize,
    /// Calls whose own whole answer came.
    pub answered: usize,
    /// What was broken, empty when nothing was.
    pub broken: Vec<String>,
    /// What was done to the system, in order.
    pub steps: Vec<String>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            calls,
            answered,
            broken,
            steps,
        } = self;
        write!(
            f,
            "{answered} of {calls} calls answered, {} broken",
            broken.len()
        )?;
        if broken.is_empty() {
            return Ok(());
        }
        let mut told = broken.iter().chain(steps);
        told.try_for_each(|what| write!(f, "\n  {what}"))
    }
}

/// Judges what callers got against what truly ran; `crashed` is what the end showed.
#[must_use]
pub fn judge(world: &World, calls: &[Call], crashed: Option<String>) -> Verdict {
    let mut ran: HashMap<String, usize> = HashMap::new();
    for run in world.runs() {
        *ran.entry(run.path).or_default() += 1;
    }
    let mut verdict = Verdict {
        calls: calls.len(),
        steps: world.steps().to_vec(),
        ..Verdict::default()
    };
    for call in calls {
        let count = ran.get(&call.path).copied().unwrap_or(0);
        verdict.answered += usize::from(call.reply.as_ref().is_some_and(Reply::is_ok));
        if let Some(what) = broken(call, count) {
            verdict.broken.push(what);
        }
    }
    verdict.broken.extend(world.backward_tables());
    verdict.broken.extend(crashed);
    verdict
}

/// What the call shows to be broken, if anything; its request ran `count` times.
fn broken(call: &Call, count: usize) -> Option<String> {
    let path = &call.path;
    if call.once && count > 1 {
        return Some(format!("{path} ran {count} times"));
    }
    let reply = call.reply.as_ref()?;
    if call.once && NOT_RUN.contains(&reply.status) && count > 0 {
        return Some(format!(
            "{path} ran though it was answered {}",
            reply.status
        ));
    }
    if reply.body == QUARANTINED {
        return Some(format!("{path} was refused for another's crashes"));
    }
    if !reply.is_ok() {
        return None;
    }
    let own = reply.receipt().is_some_and(|receipt| receipt.path == *path);
    // What an upstream has run that has crashed since isn't known.
    let lost = path.starts_with(FRAGILE);
    (!own || (count == 0 && !lost)).then(|| format!("{path} got another's answer: {reply:?}"))
}
