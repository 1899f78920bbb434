//! Finds an instance for an attempt, by way of the service's dispatcher where it has one.

use std::time::Duration;

use route::DomainIndex;
use route::Need;
use tokio::time::Instant;

use super::Flow;
use crate::body::Outgoing;
use crate::desk::Chosen;
use crate::placing;
use crate::refusal::Reason;
use crate::search;
use crate::search::Found;
use crate::search::Want;

/// A request that waits for room looks itself after so long, as room may come
/// from other entry hosts' requests, which end unseen.
const LOOK: Duration = Duration::from_millis(40);
/// Usual times of work that must be left of the aim for a request to be worth
/// waiting for: work times spread, and a quarter of them is slowed down.
const WORK_MARGIN: f64 = 1.3;
/// Added to the rank of a request that can't be answered in time any more.
const LATE_RANK: u32 = 1_000;
/// Part of an instance's slots up to which a late request is sent: its worth is mostly
/// lost, and after an outage those that waited would keep the new ones waiting.
const LATE_ROOM: f64 = 0.5;

impl Flow {
    /// An instance for the next attempt.
    pub(super) async fn choose(&mut self) -> Result<Chosen, Reason> {
        // While the service has little to do, the dispatcher is asked only where this
        // process finds nothing good at once: each question costs processor time and bytes
        // between failure domains.
        let mut ask = self.desk(|desk, _| desk.is_busy()).unwrap_or(false);
        loop {
            let want = self.want();
            match self.look(&want, ask).await {
                Found::Chosen(chosen) => return Ok(chosen),
                Found::Wait => ask = true,
                Found::Full(back) => {
                    self.back = back;
                    return Err(Reason::Full);
                }
                Found::None => return Err(Reason::NoInstance),
            }
        }
    }

    /// The same, while the body goes on coming.
    pub(super) async fn choose_while(&mut self, body: &Outgoing) -> Result<Chosen, Reason> {
        let Some(spool) = body.spool() else {
            return self.choose().await;
        };
        let mut choosing = std::pin::pin!(self.choose());
        tokio::select! {
            biased;
            chosen = &mut choosing => chosen,
            () = spool.fill() => choosing.await,
        }
    }

    /// One look, by way of the dispatcher if there is one and `ask` says so.
    async fn look(&self, want: &Want, ask: bool) -> Found {
        let dispatcher = self.core.dispatcher(&self.service);
        if let Some(address) = dispatcher.filter(|_| ask) {
            let request = self.call.id.to_str().unwrap_or("-");
            let placed = placing::ask(&self.core, address, &self.service, request, want).await;
            if let Some(found) = placed {
                return found;
            }
        }
        let span = if ask || dispatcher.is_none() {
            LOOK
        } else {
            Duration::ZERO
        };
        search::search(&self.core, &self.service, want, span).await
    }

    /// What the next attempt wants now. One that can't be answered in time any more lets
    /// all others go first.
    fn want(&self) -> Want {
        Want {
            need: self.need(),
            rank: self.route.priority + if self.is_late() { LATE_RANK } else { 0 },
            exclude: self.exclude.clone(),
            patience: self.patience().saturating_sub(self.began.elapsed()),
            left: self.end.saturating_duration_since(Instant::now()),
        }
    }

    /// How long after its start a request still waits for room: as long as it can be
    /// answered in time. One that is late already and is refused at once can try
    /// elsewhere.
    fn patience(&self) -> Duration {
        self.aim.saturating_sub(self.work().mul_f64(WORK_MARGIN))
    }

    /// Whether the usual work would end after the aim.
    fn is_late(&self) -> bool {
        self.began.elapsed() + self.work() > self.aim
    }

    /// Usual time of work.
    fn work(&self) -> Duration {
        self.core.habit(&self.route, |habit| habit.work())
    }

    /// What the request needs of an instance now.
    fn need(&self) -> Need {
        let aim = self.route.aim.unwrap_or(self.deadline / 2);
        let left = self.aim.saturating_sub(self.began.elapsed());
        let price = self.core.settings().crossing();
        // One that is late already needs the soonest answer all the same.
        let aim = left.max(aim / 4);
        Need {
            work: self.work(),
            aim,
            crossing: self.core.habit(&self.route, |habit| habit.crossing(price)),
            room: if self.is_late() { LATE_ROOM } else { 1.0 },
            domain_index: DomainIndex::OWN,
        }
    }
}
