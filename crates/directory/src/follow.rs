//! Follows the catalogue of the control replicas by long polls.
//!
//! One replica is polled at a time; the next one after an error or a reply without a quorum.
//! The moment of a confirmation is the time at which its request was sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use cadence::Counted;
use members::Confirmed;
use slog::debug;
use slog::warn;
use tokio::time::sleep;
use wire::control::Follow;
use wire::control::FollowReply;
use wire::link;
use wire::link::LinkError;
use wire::peer;
use wire::peer::ControlLink;

use crate::convert;
use crate::metrics;
use crate::shared::Shared;

/// How long a replica may delay its reply while it has no newer version.
pub const POLL_WAIT: Duration = Duration::from_millis(500);
/// Time beyond [`POLL_WAIT`] after which a poll fails.
pub const REPLY_MARGIN: Duration = Duration::from_millis(300);
/// Delay after a failure; doubles with each further one.
pub const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Maximum of the delay.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Follows the catalogue until the directory stops.
pub async fn follow(shared: Arc<Shared>, replicas: Vec<SocketAddr>) {
    let links: Vec<ControlLink> = replicas.into_iter().map(peer::control).collect();
    let mut index = 0;
    let mut failures = 0;
    while !links.is_empty() {
        let link = &links[index % links.len()];
        let result = tokio::select! {
            result = poll(&shared, link) => result,
            () = shared.stop.cancelled() => return,
        };
        let tag = match &result {
            Ok(true) => "ok",
            Ok(false) => "unconfirmed",
            Err(_) => "failed",
        };
        let metric = shared.metrics.count_with_tags(metrics::FOLLOW, 1);
        metric.with_tag("result", tag).send();
        if let Ok(true) = result {
            failures = 0;
            continue;
        }
        log_failure(&shared, link.address(), result, failures < links.len());
        index += 1;
        failures += 1;
        sleep(retry_delay(failures)).await;
    }
}

fn retry_delay(failures: usize) -> Duration {
    let doublings = u32::try_from(failures.min(8)).unwrap_or_default();
    (RETRY_DELAY * 2_u32.pow(doublings)).min(MAX_RETRY_DELAY)
}

/// Logs a failed replica; as a warning only in the first round of failures.
fn log_failure(
    shared: &Shared,
    replica: SocketAddr,
    result: Result<bool, LinkError>,
    warn_level: bool,
) {
    let error = result
        .err()
        .map_or_else(|| "no quorum".to_owned(), |err| err.to_string());
    if warn_level {
        warn!(shared.log, "control silent"; "replica" => %replica, "error" => error);
    } else {
        debug!(shared.log, "control silent"; "replica" => %replica, "error" => error);
    }
}

/// Polls one replica; returns whether a quorum confirmed its reply.
async fn poll(shared: &Shared, link: &ControlLink) -> Result<bool, LinkError> {
    let (have, current) =
        shared.step(|inner, now| (inner.version(), inner.freshness.is_current(now)));
    let wait = if current { POLL_WAIT } else { Duration::ZERO };
    let request = Follow {
        have,
        wait_ms: convert::millis(wait),
    };
    let client = link.client().await?;
    let sent = shared.clock.now();
    let result = client
        .follow(link::within(wait + REPLY_MARGIN), request)
        .await;
    let reply = link.check_result(result)?;
    Ok(merge_reply(shared, link.address(), sent, reply))
}

fn merge_reply(shared: &Shared, from: SocketAddr, sent: Moment, reply: FollowReply) -> bool {
    if !reply.confirmed {
        return false;
    }
    let confirmation = Confirmed {
        version: reply.version,
        moment: sent,
    };
    shared.confirm(&from.to_string(), confirmation, reply.catalogue);
    true
}
