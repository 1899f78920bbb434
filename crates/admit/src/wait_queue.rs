//! Requests that wait for room at an upstream.
//!
//! The most urgent one goes first, and among equals the newest: where requests
//! come faster than they are served, the oldest would otherwise all be served
//! just when they are too late to be of use. One whose time is over is dropped,
//! and its owner refuses it.

use base::prelude::*;

/// One request that waits.
#[derive(Debug)]
struct Waiter<T> {
    priority: u32,
    until: Moment,
    order: u64,
    owner: T,
}

/// Those that wait for one service.
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
    /// Adds one of `priority`, 0 the most urgent, that waits `until` then.
    pub fn push(&mut self, priority: u32, until: Moment, owner: T) {
        self.next += 1;
        self.waiters.push(Waiter {
            priority,
            until,
            order: self.next,
            owner,
        });
    }

    /// Takes the one that goes next.
    pub fn pop(&mut self, now: Moment) -> Option<T> {
        self.waiters.retain(|waiter| waiter.until > now);
        let rank = |waiter: &Waiter<T>| (waiter.priority, u64::MAX - waiter.order);
        let best = (0..self.waiters.len()).min_by_key(|i| rank(&self.waiters[*i]))?;
        Some(self.waiters.swap_remove(best).owner)
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self, now: Moment) -> usize {
        let open = |waiter: &&Waiter<T>| waiter.until > now;
        self.waiters.iter().filter(open).count()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
