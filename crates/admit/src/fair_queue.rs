//! A queue of waiting requests that is fair between workspaces.
//!
//! Requests are ordered by priority; a caller of this queue expresses lateness and the
//! priorities of workspace and route in that number. Among requests of equal priority, start-time
//! fair queueing decides between workspaces, and within a workspace those that came back go
//! first, then the newest. Requests without a workspace form one flow of their own, so that a
//! queue of such requests has the order of [`WaitQueue`](crate::WaitQueue).
//!
//! Tags are assigned to flows when requests are served, not when they arrive: waiting requests
//! are withdrawn and queued again all the time, and a flow pays only for what it got.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use base::prelude::*;

/// How long after the last use a priority's tags are kept. Waiting requests leave the queue for
/// some milliseconds before they are queued again; debts should outlast that, but not the
/// overload.
const TAG_LIFETIME: Duration = Duration::from_millis(250);
/// Number of requests for which a workspace that got less than its share is served at once. Most
/// workspaces send a request now and then; without credit, the second of two close ones would
/// wait for as long as the whole service needs to serve all others by weight. More credit
/// takes slots from the largest workspaces in a burst.
const CREDIT: f64 = 2.0;
/// Lower bound of a weight, so that a tag stays finite.
const MIN_WEIGHT: f64 = 1e-3;

/// What the position of a request depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The workspace of the request's caller.
    pub workspace: Option<WorkspaceName>,
    /// The share of the workspace relative to others.
    pub weight: f64,
    /// Whether the request was refused before and came back.
    pub returning: bool,
    /// When the request is withdrawn from the queue, though it may be queued again.
    pub deadline: Moment,
    /// When an instance would have to take the request for a response in time.
    pub patience_end: Moment,
    /// How long the request is held under overload.
    pub overload_wait: Duration,
}

impl Waiting {
    /// A request without a workspace that is given up at `deadline`.
    #[must_use]
    pub fn new(priority: u32, deadline: Moment) -> Self {
        Self {
            priority,
            workspace: None,
            weight: 1.0,
            returning: false,
            deadline,
            patience_end: deadline,
            overload_wait: Duration::MAX,
        }
    }

    /// What one served request adds to the tag of its flow.
    fn cost(&self) -> f64 {
        1.0 / self.weight.max(MIN_WEIGHT)
    }
}

#[derive(Debug)]
struct Waiter<T> {
    waiting: Waiting,
    order: u64,
    value: T,
}

/// The tags of the requests of one priority.
#[derive(Debug)]
struct Class {
    virtual_time: f64,
    /// The finish tag of the last served request of each workspace.
    finished: HashMap<Option<WorkspaceName>, Finish>,
    used_at: Moment,
}

/// The finish tag of a flow's last served request, and what the flow pays for a request.
#[derive(Clone, Copy, Debug)]
struct Finish {
    tag: f64,
    cost: f64,
}

impl Class {
    fn new(now: Moment) -> Self {
        Self {
            virtual_time: 0.0,
            finished: HashMap::new(),
            used_at: now,
        }
    }

    /// The start tag of the flow's next request.
    fn start(&self, waiting: &Waiting) -> f64 {
        let least = self.virtual_time - CREDIT * waiting.cost();
        if self.finished.is_empty() {
            return least;
        }
        let finished = self.finished.get(&waiting.workspace);
        finished.map_or(least, |finish| finish.tag.max(least))
    }

    fn charge(&mut self, now: Moment, waiting: &Waiting) {
        let cost = waiting.cost();
        let tag = self.start(waiting) + cost;
        let finish = Finish { tag, cost };
        self.finished.insert(waiting.workspace.clone(), finish);
        self.used_at = now;
    }

    fn advance(&mut self, virtual_time: f64) {
        if virtual_time > self.virtual_time {
            self.virtual_time = virtual_time;
            let spent = |finish: &Finish| finish.tag > virtual_time - CREDIT * finish.cost;
            self.finished.retain(|_, finish| spent(finish));
        }
    }
}

/// The position of a request; the least is served first.
#[derive(Clone, Copy, Debug)]
struct Rank {
    priority: u32,
    tag: f64,
    is_new: bool,
    age: u64,
}

impl Rank {
    fn compare(&self, other: &Self) -> Ordering {
        let urgency = self.priority.cmp(&other.priority);
        let share = urgency.then(self.tag.total_cmp(&other.tag));
        let kind = share.then(self.is_new.cmp(&other.is_new));
        kind.then(self.age.cmp(&other.age))
    }
}

/// The requests that wait for one service. Requests past their deadline are dropped without
/// notice; whoever queued them refuses them.
#[derive(Debug)]
pub struct FairQueue<T> {
    waiters: Vec<Waiter<T>>,
    classes: HashMap<u32, Class>,
    next: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            waiters: Vec::new(),
            classes: HashMap::new(),
            next: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds a request.
    pub fn push(&mut self, now: Moment, waiting: Waiting, value: T) {
        self.expire(now);
        let class = self.classes.entry(waiting.priority);
        class.or_insert_with(|| Class::new(now)).used_at = now;
        self.next += 1;
        self.waiters.push(Waiter {
            waiting,
            order: self.next,
            value,
        });
    }

    /// Removes and returns the next request whose deadline has not passed.
    pub fn pop(&mut self, now: Moment) -> Option<T> {
        self.expire(now);
        let best = self.first()?;
        let Waiter { waiting, value, .. } = self.waiters.swap_remove(best);
        if let Some(class) = self.classes.get_mut(&waiting.priority) {
            class.advance(class.start(&waiting));
            class.charge(now, &waiting);
        }
        Some(value)
    }

    /// Records a request that was served without waiting. It counts only while others of its
    /// priority wait, or have waited lately.
    pub fn charge(&mut self, now: Moment, waiting: &Waiting) {
        self.expire(now);
        let Some(class) = self.classes.get_mut(&waiting.priority) else {
            return;
        };
        class.charge(now, waiting);
        let same = |waiter: &&Waiter<T>| waiter.waiting.priority == waiting.priority;
        let tags = self
            .waiters
            .iter()
            .filter(same)
            .map(|w| class.start(&w.waiting));
        if let Some(least) = tags.min_by(f64::total_cmp) {
            class.advance(least);
        }
    }

    /// Whether a waiting request is more urgent than the given one, or belongs to a workspace
    /// that has had less of its share. That a request is newer doesn't count.
    #[must_use]
    pub fn goes_first(&self, now: Moment, waiting: &Waiting) -> bool {
        let own = (waiting.priority, self.start(waiting));
        let open = self.waiters.iter().filter(|w| w.waiting.deadline > now);
        open.map(|w| (w.waiting.priority, self.start(&w.waiting)))
            .any(|(priority, tag)| priority < own.0 || priority == own.0 && tag < own.1)
    }

    /// Removes the requests that can't be served in time while `rate` slots become free per
    /// second, the least urgent first. The first in the queue always stays.
    pub fn take_hopeless(&mut self, now: Moment, rate: f64) -> Vec<T> {
        self.take_beyond(now, rate, |waiting| waiting.patience_end.since(now))
    }

    /// Like [`Self::take_hopeless`], for a service under overload: a request that isn't among the
    /// next is overtaken by newer ones until it is too late.
    pub fn take_overtaken(&mut self, now: Moment, rate: f64) -> Vec<T> {
        self.take_beyond(now, rate, |waiting| waiting.overload_wait)
    }

    /// Removes the requests whose expected wait exceeds their `limit`.
    fn take_beyond(
        &mut self,
        now: Moment,
        rate: f64,
        limit: impl Fn(&Waiting) -> Duration,
    ) -> Vec<T> {
        self.expire(now);
        let wait = |position: usize| Duration::try_from_secs_f64(seconds(position + 1, rate));
        let longest = wait(self.waiters.len()).unwrap_or(Duration::MAX);
        if self.waiters.iter().all(|w| limit(&w.waiting) >= longest) {
            return Vec::new();
        }
        let mut kept = 0;
        let mut hopeless = Vec::new();
        for index in self.ordered() {
            let expected = wait(kept).unwrap_or(Duration::MAX);
            if kept > 0 && expected > limit(&self.waiters[index].waiting) {
                hopeless.push(index);
            } else {
                kept += 1;
            }
        }
        hopeless.sort_unstable();
        let removed = hopeless.into_iter().rev();
        removed
            .map(|index| self.waiters.swap_remove(index).value)
            .collect()
    }

    /// Number of requests whose deadline has not passed.
    #[must_use]
    pub fn len(&self, now: Moment) -> usize {
        let open = |waiter: &&Waiter<T>| waiter.waiting.deadline > now;
        self.waiters.iter().filter(open).count()
    }

    /// Whether the queue is empty. Requests past their deadline count until they are dropped.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    fn start(&self, waiting: &Waiting) -> f64 {
        let class = self.classes.get(&waiting.priority);
        class.map_or(0.0, |class| class.start(waiting))
    }

    /// The rank of a request behind `ahead` others of its flow.
    fn rank(&self, waiter: &Waiter<T>, ahead: f64) -> Rank {
        let waiting = &waiter.waiting;
        Rank {
            priority: waiting.priority,
            tag: self.start(waiting) + ahead * waiting.cost(),
            is_new: !waiting.returning,
            age: u64::MAX - waiter.order,
        }
    }

    fn first(&self) -> Option<usize> {
        let ranks = self.waiters.iter().map(|waiter| self.rank(waiter, 0.0));
        let best = ranks.enumerate().min_by(|a, b| a.1.compare(&b.1));
        best.map(|(index, _)| index)
    }

    /// The indices of all requests in the order in which they would be served.
    fn ordered(&self) -> Vec<usize> {
        let ranks = self.waiters.iter().map(|waiter| self.rank(waiter, 0.0));
        let mut ranked: Vec<(usize, Rank)> = ranks.enumerate().collect();
        ranked.sort_unstable_by(|a, b| a.1.compare(&b.1));
        let mut ahead: HashMap<(u32, Option<&WorkspaceName>), f64> = HashMap::new();
        for (index, rank) in &mut ranked {
            let waiter = &self.waiters[*index];
            let flow = (rank.priority, waiter.waiting.workspace.as_ref());
            let position = ahead.entry(flow).or_default();
            *rank = self.rank(waiter, *position);
            *position += 1.0;
        }
        ranked.sort_by(|a, b| a.1.compare(&b.1));
        ranked.into_iter().map(|(index, _)| index).collect()
    }

    fn expire(&mut self, now: Moment) {
        self.waiters.retain(|waiter| waiter.waiting.deadline > now);
        let waiters = &self.waiters;
        self.classes.retain(|priority, class| {
            now.since(class.used_at) < TAG_LIFETIME
                || waiters.iter().any(|w| w.waiting.priority == *priority)
        });
    }
}

/// Seconds until `count` slots have become free.
fn seconds(count: usize, rate: f64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / rate
}
