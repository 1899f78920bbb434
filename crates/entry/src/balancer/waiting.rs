//! The requests that wait for capacity, and the times at which refused ones may come back.

use std::time::Duration;

use ::dispatch::DispatcherLocation;
use admit::QueueState;
use admit::Waiting;
use base::prelude::*;
use route::Need;
use route::Pick;
use route::Reason;
use tokio::sync::oneshot;

use super::Balancer;
use super::MAX_RETRY_AFTER;
use super::MIN_RETRY_AFTER;
use super::Selection;

/// What a waiting request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The instance has a free slot.
    Slot(Pick),
    /// More urgent requests take all slots that become free in time.
    Hopeless,
}

pub(super) type OfferSender = oneshot::Sender<Offer>;

/// Result of selecting an instance for a request while others may wait.
#[derive(Debug)]
pub enum FairSelection {
    /// The request may use the selection.
    Own(Selection),
    /// A waiting request was offered the instance, as it goes first.
    Yielded,
}

/// The rate of free slots as text, for the log.
pub(crate) fn per_second(state: &QueueState) -> String {
    let rate = state.slots_per_second;
    rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.1}"))
}

impl Balancer {
    /// Sets whether requests that come back are told apart from new ones.
    pub fn set_returning(&mut self, returning: bool) {
        self.returning = returning;
    }

    /// The state of the queue, for the log.
    #[must_use]
    pub fn queue_state(&self, now: Moment) -> QueueState {
        self.wait_queue.state(now)
    }

    /// Queues a request; the receiver gets an instance with free capacity, or learns that it
    /// can't have one in time.
    pub fn wait_for_capacity(&mut self, now: Moment, waiting: Waiting) -> oneshot::Receiver<Offer> {
        let (sender, receiver) = oneshot::channel();
        // Without workspaces, requests of a short overload are better served late than refused.
        let may_refuse = waiting.workspace.is_some();
        self.wait_queue.push(now, waiting, sender);
        if may_refuse && self.knows_all_slots() {
            for hopeless in self.wait_queue.take_hopeless(now) {
                // If the receiver is gone, so is the request.
                let _ = hopeless.send(Offer::Hopeless);
            }
        }
        receiver
    }

    /// Selects an instance; one of `exclude` only if no other is left. A free slot that is due to
    /// a waiting request of another workspace is offered to that request.
    pub fn choose_fairly(
        &mut self,
        now: Moment,
        need: &Need,
        exclude: &[Pick],
        waiting: &Waiting,
    ) -> FairSelection {
        let selection = self.choose(now, need, exclude);
        if waiting.workspace.is_none() {
            return FairSelection::Own(selection);
        }
        // A request that can't wait is sent at once, whoever waits.
        let may_wait = waiting.patience_end > now;
        if let Selection::Send(chosen) = &selection {
            let is_trial = chosen.choice.reason == Reason::Trial;
            if may_wait && !is_trial && self.wait_queue.goes_first(now, waiting) {
                let pick = chosen.choice.pick;
                self.wake_waiter(now, pick);
                return FairSelection::Yielded;
            }
            self.wait_queue.charge(now, waiting);
        }
        FairSelection::Own(selection)
    }

    /// Estimates when a request refused now may find capacity, if its caller has the `remaining`
    /// time. While all instances are backed off, that isn't before the first of them takes
    /// requests again.
    pub fn retry_after(&mut self, now: Moment, remaining: Duration) -> Duration {
        let assigned = self
            .returning
            .then(|| self.wait_queue.return_time(now, remaining));
        let estimate = assigned
            .flatten()
            .unwrap_or_else(|| self.estimated_return(now));
        estimate.max(self.backoff_remaining(now).unwrap_or_default())
    }

    /// The time until slots are left after the waiting requests and the recently refused ones,
    /// assuming that each finished attempt frees one.
    fn estimated_return(&mut self, now: Moment) -> Duration {
        let decay = now.since(self.last_refusal).as_secs_f64() / MAX_RETRY_AFTER.as_secs_f64();
        self.recent_refusals = self.recent_refusals * (-decay).exp() + 1.0;
        self.last_refusal = now;
        let waiting = u32::try_from(self.wait_queue.len(now)).unwrap_or(u32::MAX);
        let ahead = self.recent_refusals + f64::from(waiting);
        let estimate = self.completion_interval.as_secs_f64() * ahead;
        Duration::from_secs_f64(estimate).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Offers free capacity of an instance to a waiting request.
    pub(super) fn wake_waiter(&mut self, now: Moment, pick: Pick) {
        while self.chooser.has_room(now, pick) {
            let Some(waiter) = self.wait_queue.pop(now) else {
                return;
            };
            // If the waiter's caller has disconnected, the next waiter gets the offer.
            if waiter.send(Offer::Slot(pick)).is_ok() {
                return;
            }
        }
    }

    /// Whether all slots of the service become free at this process. Otherwise the rate that it
    /// sees is its own part, and slots that others free up may serve its waiting requests.
    fn knows_all_slots(&self) -> bool {
        match self.dispatcher_role.location() {
            DispatcherLocation::Local => true,
            DispatcherLocation::Unassigned => self.last_entries == 1,
            DispatcherLocation::Remote => false,
        }
    }
}
