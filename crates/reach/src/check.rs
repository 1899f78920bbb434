//! Checks the path to the instances of a service, and tries it again while it is cut.
//!
//! Instances may have been cut off together, so a check tries each failure domain in turn, and
//! goes on until one accepts a connection or all were tried.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::SliceRandom;

use crate::spread::interleave_domains;

/// Number of instances that a check connects to at first.
const FIRST_CHECKED: usize = 5;
/// Time after which a check connects to twice as many further instances if none has accepted.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Number of instances that are tried at a time while the path is cut, or before a check.
const TRIED_INSTANCES: usize = 2;
/// Interval between tries while the path is cut.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The process whose paths are checked.
pub trait Process: Send + Sync + Sized + 'static {
    /// An instance of a service.
    type Instance: Send + Sync;

    /// The ready instances of the service that send heartbeats.
    fn live_instances(&self, service: &ServiceName) -> Vec<Self::Instance>;

    /// The failure domain of an instance.
    fn domain_of(instance: &Self::Instance) -> DomainName;

    /// Connects to an instance. Returns whether it accepts.
    fn connect(&self, instance: &Self::Instance) -> impl Future<Output = bool> + Send;

    /// The services that have instances.
    fn services(&self) -> Vec<ServiceName>;

    /// Whether the path counts as good though no instance has accepted a connection lately.
    fn is_unproven(&self, service: &ServiceName) -> bool;

    /// Starts a check of the path to the service's instances, unless one is in progress or the
    /// path is known to be cut.
    fn begin_path_check(&self, service: &ServiceName) -> bool;

    /// Records that an instance of the service accepted a connection, or that there is none.
    fn record_connected(&self, service: &ServiceName);

    /// Records that none of `tried` instances accepted a connection. Returns the time if the path
    /// is cut.
    fn record_unreached(&self, service: &ServiceName, tried: usize) -> Option<Moment>;

    /// When the path to the service's instances was found to be cut, while it is.
    fn cut_at(&self, service: &ServiceName) -> Option<Moment>;

    /// What else the process does while the path that was lost at `cut_at` stays cut.
    fn run_while_cut_off(
        self: &Arc<Self>,
        service: &ServiceName,
        cut_at: Moment,
    ) -> impl Future<Output = ()> + Send;
}

/// Checks the path to the service's instances in a task of its own.
pub fn spawn<P: Process>(process: &Arc<P>, service: ServiceName) {
    let process = Arc::clone(process);
    tokio::spawn(async move { check(&process, &service).await });
}

/// Tries to connect to a few instances unless one has accepted a connection lately, and starts a
/// check if none accepts.
pub async fn confirm<P: Process>(process: &Arc<P>, service: &ServiceName) {
    if !process.is_unproven(service) {
        return;
    }
    let mut tried = ordered_instances(&**process, service);
    tried.truncate(TRIED_INSTANCES);
    if !reaches_any(&**process, &tried).await && process.begin_path_check(service) {
        spawn(process, service.clone());
    }
}

/// Checks the path. While it is cut, tries instances in short intervals.
async fn check<P: Process>(process: &Arc<P>, service: &ServiceName) {
    let tried = ordered_instances(&**process, service);
    if reaches_any(&**process, &tried).await {
        process.record_connected(service);
        return;
    }
    let Some(cut_at) = process.record_unreached(service, tried.len()) else {
        return;
    };
    // A host may have lost the paths to all services at once.
    for other in process.services() {
        if process.begin_path_check(&other) {
            spawn(process, other);
        }
    }
    tokio::join!(
        try_instances(process, service, cut_at),
        process.run_while_cut_off(service, cut_at)
    );
}

/// Tries to connect to instances until the path that was lost at `cut_at` is back.
async fn try_instances<P: Process>(process: &Arc<P>, service: &ServiceName, cut_at: Moment) {
    while process.cut_at(service) == Some(cut_at) {
        tokio::time::sleep(RETRY_INTERVAL).await;
        let mut tried = ordered_instances(&**process, service);
        tried.truncate(TRIED_INSTANCES);
        // Without an instance, the service itself is gone.
        if tried.is_empty() || reaches_any(&**process, &tried).await {
            process.record_connected(service);
        }
    }
}

/// The instances that send heartbeats, in random order, each failure domain in turn.
fn ordered_instances<P: Process>(process: &P, service: &ServiceName) -> Vec<P::Instance> {
    let mut rng = rand::rng();
    let mut live = process.live_instances(service);
    live.shuffle(&mut rng);
    interleave_domains(live, P::domain_of, &mut rng)
}

/// Connects to the instances until one accepts: to a few at once, and to more and more of the
/// others while none has.
async fn reaches_any<P: Process>(process: &P, instances: &[P::Instance]) -> bool {
    let mut connecting = FuturesUnordered::new();
    let mut remaining = instances;
    let mut size = FIRST_CHECKED;
    loop {
        let (next, others) = remaining.split_at(size.min(remaining.len()));
        remaining = others;
        size *= 2;
        connecting.extend(next.iter().map(|instance| process.connect(instance)));
        let accepted = any_accepted(&mut connecting);
        if remaining.is_empty() {
            return accepted.await;
        }
        if let Ok(true) = tokio::time::timeout(CHECK_INTERVAL, accepted).await {
            return true;
        }
    }
}

/// Waits until one of the connections is accepted, or all have failed.
async fn any_accepted(connecting: &mut FuturesUnordered<impl Future<Output = bool>>) -> bool {
    while let Some(accepted) = connecting.next().await {
        if accepted {
            return true;
        }
    }
    false
}

/// Whether an instance for which `is_other` holds accepts a connection. True if there is none to
/// try.
pub async fn reaches_others<P: Process>(
    process: &P,
    service: &ServiceName,
    is_other: impl Fn(&P::Instance) -> bool + Send,
) -> bool {
    let mut others = ordered_instances(process, service);
    others.retain(is_other);
    others.is_empty() || reaches_any(process, &others).await
}
