//! A limit on concurrent requests, with a bounded FIFO queue.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The slots of one stand-in.
#[derive(Clone)]
pub struct Slots {
    // Tokio's semaphore is fair: waiters get permits in order of arrival.
    permits: Arc<Semaphore>,
    in_flight: Arc<AtomicU32>,
    count: u32,
    queue_limit: u32,
}

impl Slots {
    /// Creates `slots` free slots and a queue for `queue_limit` requests.
    #[must_use]
    pub fn new(slots: u32, queue_limit: u32) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(slots as usize)),
            in_flight: Arc::default(),
            count: slots,
            queue_limit,
        }
    }

    /// Number of requests that hold a slot or wait for one.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of slots, free or not.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Admits a request to the queue; `None` if the queue is full.
    #[must_use]
    pub fn admit(&self) -> Option<Admission> {
        let in_flight_before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let admission = Admission {
            in_flight: self.in_flight.clone(),
            permits: self.permits.clone(),
        };
        (in_flight_before < self.count.saturating_add(self.queue_limit)).then_some(admission)
    }
}

/// An admitted request, which counts as in flight until this value is dropped.
pub struct Admission {
    in_flight: Arc<AtomicU32>,
    permits: Arc<Semaphore>,
}

impl Admission {
    /// Waits for a slot, which is released when the permit is dropped.
    pub async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().acquire_owned().await.ok()
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
