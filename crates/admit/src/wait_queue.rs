//! A queue of requests that wait for capacity at an upstream.

use base::prelude::*;

#[derive(Debug)]
struct Waiter<T> {
    priority: u32,
    deadline: Moment,
    order: u64,
    value: T,
}

/// The requests that wait for one service, ordered by priority and then newest first.
///
/// Newest first, because under sustained overload an oldest-first queue serves every
/// request just as it becomes too late to be useful. Requests past their deadline are
/// dropped without notice; whoever queued them refuses them.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiters: Vec<Waiter<T>>,
    next: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiters: Vec::new(),
            next: 0,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request. Priority 0 is the most urgent.
    pub fn push(&mut self, priority: u32, deadline: Moment, value: T) {
        self.next += 1;
        self.waiters.push(Waiter {
            priority,
            deadline,
            order: self.next,
            value,
        });
    }

    /// Removes and returns the next request whose deadline has not passed.
    pub fn pop(&mut self, now: Moment) -> Option<T> {
        self.waiters.retain(|waiter| waiter.deadline > now);
        let rank = |waiter: &Waiter<T>| (waiter.priority, u64::MAX - waiter.order);
        let best = (0..self.waiters.len()).min_by_key(|i| rank(&self.waiters[*i]))?;
        Some(self.waiters.swap_remove(best).value)
    }

    /// Number of requests whose deadline has not passed.
    #[must_use]
    pub fn len(&self, now: Moment) -> usize {
        let open = |waiter: &&Waiter<T>| waiter.deadline > now;
        self.waiters.iter().filter(open).count()
    }

    /// Whether the queue is empty. Requests past their deadline count until they are dropped.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
