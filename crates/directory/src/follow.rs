//! Follows the catalogue by way of the control replicas.
//!
//! One replica is asked at a time, the next after a failure or an answer that
//! no quorum stands behind. A confirmation's moment is when the request was
//! sent.

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
use crate::names;
use crate::shared::Shared;

/// How long a replica may hold a request when there is nothing newer.
pub const HOLD: Duration = Duration::from_millis(500);
/// Time beyond the hold after which a replica counts as silent.
pub const GRACE: Duration = Duration::from_millis(300);
/// Pause after a replica that failed; longer with each further one.
pub const PAUSE: Duration = Duration::from_millis(25);
/// Longest pause.
pub const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Follows until the directory stops.
pub async fn follow(shared: Arc<Shared>, replicas: Vec<SocketAddr>) {
    let links: Vec<ControlLink> = replicas.into_iter().map(peer::control).collect();
    let mut turn = 0;
    let mut failures = 0;
    while !links.is_empty() {
        let link = &links[turn % links.len()];
        let result = tokio::select! {
            result = ask(&shared, link) => result,
            () = shared.stop.cancelled() => return,
        };
        let word = match &result {
            Ok(true) => "ok",
            Ok(false) => "unconfirmed",
            Err(_) => "failed",
        };
        let metric = shared.metrics.count_with_tags(names::FOLLOW, 1);
        metric.with_tag("result", word).send();
        if let Ok(true) = result {
            failures = 0;
            continue;
        }
        note(&shared, link.address(), result, failures < links.len());
        turn += 1;
        failures += 1;
        sleep(pause(failures)).await;
    }
}

fn pause(failures: usize) -> Duration {
    let doublings = u32::try_from(failures.min(8)).unwrap_or_default();
    (PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE)
}

/// Logs a replica that can't be used, loudly only in the first round of failures.
fn note(shared: &Shared, replica: SocketAddr, result: Result<bool, LinkError>, loud: bool) {
    let error = result
        .err()
        .map_or_else(|| "no quorum".to_owned(), |err| err.to_string());
    if loud {
        warn!(shared.log, "control silent"; "replica" => %replica, "error" => error);
    } else {
        debug!(shared.log, "control silent"; "replica" => %replica, "error" => error);
    }
}

/// Asks one replica; returns whether a quorum stood behind its answer.
async fn ask(shared: &Shared, link: &ControlLink) -> Result<bool, LinkError> {
    let (have, current) =
        shared.step(|inner, now| (inner.version(), inner.standing.is_current(now)));
    let hold = if current { HOLD } else { Duration::ZERO };
    let ask = Follow {
        have,
        wait_ms: convert::millis(hold),
    };
    let client = link.client().await?;
    let sent = shared.clock.now();
    let result = client.follow(link::within(hold + GRACE), ask).await;
    let reply = link.check_result(result)?;
    Ok(take(shared, link.address(), sent, reply))
}

fn take(shared: &Shared, from: SocketAddr, sent: Moment, reply: FollowReply) -> bool {
    if !reply.confirmed {
        return false;
    }
    let found = Confirmed {
        version: reply.version,
        moment: sent,
    };
    shared.confirm(&from.to_string(), found, reply.catalogue);
    true
}
