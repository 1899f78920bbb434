//! Slots with a FIFO queue of bounded length.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The slots of one stand-in.
#[derive(Clone)]
pub struct Slots {
    // The runtime's semaphore serves its waiters in the order of arrival.
    free: Arc<Semaphore>,
    flight: Arc<AtomicU32>,
    count: u32,
    queue: u32,
}

impl Slots {
    /// `slots` slots, all free, and a queue of `queue`.
    #[must_use]
    pub fn new(slots: u32, queue: u32) -> Self {
        Self {
            free: Arc::new(Semaphore::new(slots as usize)),
            flight: Arc::default(),
            count: slots,
            queue,
        }
    }

    /// Requests that hold a slot or wait for one.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.flight.load(Ordering::Relaxed)
    }

    /// The number of slots.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Takes a place in the queue, `None` when it is full.
    #[must_use]
    pub fn enter(&self) -> Option<Place> {
        let before = self.flight.fetch_add(1, Ordering::Relaxed);
        let place = Place {
            flight: self.flight.clone(),
            free: self.free.clone(),
        };
        (before < self.count.saturating_add(self.queue)).then_some(place)
    }
}

/// A request's place in the queue, or its slot after [`Place::slot`].
pub struct Place {
    flight: Arc<AtomicU32>,
    free: Arc<Semaphore>,
}

impl Place {
    /// Waits for a slot, which is free again when the permit is dropped.
    pub async fn slot(&self) -> Option<OwnedSemaphorePermit> {
        self.free.clone().acquire_owned().await.ok()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.flight.fetch_sub(1, Ordering::Relaxed);
    }
}
