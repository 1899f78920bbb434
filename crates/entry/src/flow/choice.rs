//! Finds an instance for an attempt: asks a few, decides, and waits for room.

use std::time::Duration;

use route::Need;
use route::Pick;
use tokio::time::Instant;

use super::Flow;
use crate::desk::Chosen;
use crate::desk::Verdict;
use crate::probe;
use crate::refusal::Reason;

/// A request that waits for room looks itself after so long, as room may come
/// from other entry hosts' requests, which end unseen.
const LOOK: Duration = Duration::from_millis(40);
/// Usual times of work that must be left of the aim for a request to be worth
/// waiting for: work times spread, and a quarter of them is slowed down.
const WORK_MARGIN: f64 = 1.3;
/// Added to the rank of a request that can't be answered in time any more.
const LATE_RANK: u32 = 1_000;
/// Part of an instance's slots up to which a late request is sent: its worth is mostly
/// lost, and after an outage those that waited would keep the new ones waiting. Gains
/// 0.009 and 0.013 of the mean worth at two sites; with 0.34 the same, with 0.17 0.004 less.
const LATE_ROOM: f64 = 0.5;

impl Flow {
    /// An instance for the next attempt.
    pub(super) async fn choose(&mut self) -> Result<Chosen, Reason> {
        let exclude = std::mem::take(&mut self.exclude);
        let chosen = self.choose_beside(&exclude).await;
        self.exclude = exclude;
        chosen
    }

    async fn choose_beside(&self, exclude: &[Pick]) -> Result<Chosen, Reason> {
        let patience = self.patience();
        loop {
            let need = self.need();
            for round in 0.. {
                let asked = self.desk(|desk, now| desk.plan(now, &need, exclude, round));
                let asked = asked.unwrap_or_default();
                if asked.is_empty() {
                    break;
                }
                probe::ask(&self.core, &self.service, asked).await;
            }
            let verdict = self.desk(|desk, now| desk.choose(now, &need, exclude));
            let slow = match verdict {
                Some(Verdict::Send(chosen)) => return Ok(chosen),
                Some(Verdict::Slow(chosen)) => Some(chosen),
                Some(Verdict::Wait) => None,
                Some(Verdict::None) | None => return Err(Reason::NoInstance),
            };
            let left = patience.saturating_sub(self.began.elapsed());
            if left.is_zero() {
                return slow
                    .filter(|slow| self.ends_in_time(slow))
                    .ok_or(Reason::Full);
            }
            if let Some(chosen) = self.wait(&need, left.min(LOOK)).await {
                return Ok(chosen);
            }
        }
    }

    /// Whether the answer is expected before the request is given up. One that is sent
    /// all the same holds a slot of a slow machine for nothing, and its caller isn't
    /// told to come back.
    fn ends_in_time(&self, chosen: &Chosen) -> bool {
        let left = self.end.saturating_duration_since(Instant::now());
        chosen.choice.expected < left
    }

    /// Waits until an instance has room, or for `span`. One that can't be answered
    /// in time any more lets all others go first.
    async fn wait(&self, need: &Need, span: Duration) -> Option<Chosen> {
        let until = self.core.clock.now() + span;
        let priority = self.route.priority + if self.is_late() { LATE_RANK } else { 0 };
        let told = self.desk(|desk, _| desk.wait(priority, until))?;
        let began = Instant::now();
        let told = tokio::time::timeout(span, told).await;
        self.core.counters.waited(&self.service, began.elapsed());
        let pick = told.ok()?.ok()?;
        match self.desk(|desk, now| desk.choose_this(now, need, pick))? {
            Verdict::Send(chosen) => Some(chosen),
            // The machine is slow now: there is time to wait for another one.
            Verdict::Slow(_) | Verdict::Wait | Verdict::None => None,
        }
    }

    /// How long after its start a request still waits for room: as long as it can be
    /// answered in time. One that is late already and is refused at once can try
    /// elsewhere; waiting for a quarter of its time cost 0.02 of the mean worth.
    fn patience(&self) -> Duration {
        let work = self.need().work.mul_f64(WORK_MARGIN);
        self.aim.saturating_sub(work)
    }

    /// Whether the usual work would end after the aim.
    fn is_late(&self) -> bool {
        let work = self.core.habit(&self.route, |habit| habit.work());
        self.began.elapsed() + work > self.aim
    }

    /// What the request needs of an instance now.
    fn need(&self) -> Need {
        let aim = self.route.aim.unwrap_or(self.deadline / 2);
        let left = self.aim.saturating_sub(self.began.elapsed());
        let price = self.core.settings().crossing();
        let late = self.is_late();
        let room = if late { LATE_ROOM } else { 1.0 };
        // One that is late already needs the soonest answer all the same.
        let left = left.max(aim / 4);
        self.core
            .habit(&self.route, |habit| habit.need(left, price, room))
    }
}
