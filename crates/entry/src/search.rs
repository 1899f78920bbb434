//! Looks for an instance for one attempt: asks a few, decides, and waits a little for room.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use route::Need;
use route::Pick;
use tokio::time::Instant;

use crate::core::Core;
use crate::desk::Chosen;
use crate::desk::Verdict;
use crate::probe;

/// What an attempt wants.
#[derive(Clone, Debug)]
pub struct Want {
    /// What the request needs of an instance.
    pub need: Need,
    /// Its rank among those that wait, 0 the most urgent.
    pub rank: u32,
    /// Instances at which it has failed.
    pub exclude: Vec<Pick>,
    /// How long it can wait and still be answered in time.
    pub patience: Duration,
    /// How long until it is given up.
    pub left: Duration,
}

/// What a look came to.
#[derive(Debug)]
pub enum Found {
    /// Send it there.
    Chosen(Chosen),
    /// Nothing yet, and time to look again.
    Wait,
    /// It can't be answered in time; a dispatcher says when to come back.
    Full(Option<Duration>),
    /// No instance is ready.
    None,
}

/// Looks once, and waits for room for `span` at most.
pub async fn search(core: &Arc<Core>, service: &ServiceName, want: &Want, span: Duration) -> Found {
    let began = Instant::now();
    for round in 0.. {
        let plan = core.desk(service, |desk, now| {
            desk.plan(now, &want.need, &want.exclude, round)
        });
        let asked = plan.unwrap_or_default();
        if asked.is_empty() {
            break;
        }
        probe::ask(core, service, asked).await;
    }
    let verdict = core.desk(service, |desk, now| {
        desk.choose(now, &want.need, &want.exclude)
    });
    let slow = match verdict {
        Some(Verdict::Send(chosen)) => return Found::Chosen(chosen),
        Some(Verdict::Slow(chosen)) => Some(chosen),
        Some(Verdict::Wait) => None,
        Some(Verdict::None) | None => return Found::None,
    };
    let spent = began.elapsed();
    let patience = want.patience.saturating_sub(spent);
    if patience.is_zero() {
        // One that is sent all the same, and cut, holds a slot of a slow machine for
        // nothing, and its caller isn't told to come back.
        let left = want.left.saturating_sub(spent);
        let ends = slow.filter(|slow| slow.choice.expected < left);
        return ends.map_or(Found::Full(None), Found::Chosen);
    }
    let span = patience.min(span);
    if span.is_zero() {
        return Found::Wait;
    }
    let chosen = wait(core, service, want, span).await;
    chosen.map_or(Found::Wait, Found::Chosen)
}

/// Waits until an instance has room, or for `span`.
async fn wait(
    core: &Arc<Core>,
    service: &ServiceName,
    want: &Want,
    span: Duration,
) -> Option<Chosen> {
    let until = core.clock.now() + span;
    let told = core.desk(service, |desk, _| desk.wait(want.rank, until))?;
    let began = Instant::now();
    let told = tokio::time::timeout(span, told).await;
    core.counters.waited(service, began.elapsed());
    let pick = told.ok()?.ok()?;
    match core.desk(service, |desk, now| {
        desk.choose_instance(now, &want.need, pick)
    })? {
        Verdict::Send(chosen) => Some(chosen),
        // The machine is slow now: there is time to wait for another one.
        Verdict::Slow(_) | Verdict::Wait | Verdict::None => None,
    }
}
