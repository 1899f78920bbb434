//! Exchanges with other directories.
//!
//! Each directory polls one peer at a time, in the order of [`members::ring::Ring`], for the
//! homes, their ages and the confirmation of the catalogue. Ages are only taken from replies
//! and count from when the request was sent; a push may have been delayed for any time.
//! Changes of the own partition are pushed to all peers at once, and polls transfer what a
//! push missed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use cadence::Counted;
use members::Confirmed;
use members::homes::HomeStatus;
use members::ring::Ring;
use slog::debug;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use wire::directory::Exchange;
use wire::link;
use wire::link::LinkError;
use wire::peer::DirectoryLink;

use crate::convert;
use crate::metrics;
use crate::shared::Inner;
use crate::shared::Shared;

/// Timeout of a request to a peer.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// Changes within this time are pushed together.
pub const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Epoch of a peer that has not answered yet. It is none that a process starts with, so that the
/// peer receives everything again once its epoch is known.
pub const UNKNOWN_EPOCH: u64 = 1;
/// Delay before a failed push is retried.
pub const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Publishes the epoch of each peer's process; [`UNKNOWN_EPOCH`] until the peer has answered.
pub type Epochs = HashMap<SocketAddr, watch::Sender<u64>>;

/// Polls one peer after another until the directory stops.
pub async fn poll(
    shared: Arc<Shared>,
    me: SocketAddr,
    peers: Vec<Arc<DirectoryLink>>,
    epochs: Epochs,
) {
    let addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address()).collect();
    let mut ring = Ring::new(me, &addresses);
    let (report, mut results) = mpsc::unbounded_channel::<(SocketAddr, Option<u64>)>();
    let mut ticks = interval(shared.settings.leases.exchange);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = shared.stop.cancelled() => return,
        }
        while let Ok((peer, answered)) = results.try_recv() {
            ring.record(peer, answered.is_some());
            publish_epoch(&epochs, peer, answered);
        }
        let next = ring.next_peer();
        let peer = peers.iter().find(|peer| Some(peer.address()) == next);
        if let Some(peer) = peer {
            let (shared, peer, report) = (shared.clone(), peer.clone(), report.clone());
            // Polls run in tasks of their own, so that an unresponsive peer delays no other.
            tokio::spawn(async move {
                let answered = pull(shared, &peer).await;
                let _ = report.send((peer.address(), answered));
            });
        }
    }
}

fn publish_epoch(epochs: &Epochs, peer: SocketAddr, answered: Option<u64>) {
    if let (Some(sender), Some(epoch)) = (epochs.get(&peer), answered) {
        sender.send_if_modified(|last| std::mem::replace(last, epoch) != epoch);
    }
}

/// Polls a peer once; returns its epoch if it replied.
async fn pull(shared: Arc<Shared>, peer: &DirectoryLink) -> Option<u64> {
    let result = pull_once(&shared, peer).await;
    let epoch = result.as_ref().ok().copied();
    record_result(&shared, peer, "pull", result.map(|_| ()));
    epoch
}

/// Sends a summary, and a full request when the digests differ. Returns the peer's epoch.
async fn pull_once(shared: &Shared, peer: &DirectoryLink) -> Result<u64, LinkError> {
    let summary = shared.step(|inner, _| summary(inner));
    let digest = summary.digest;
    let (sent, reply) = call(shared, peer, summary).await?;
    merge_confirmation(shared, sent, &reply);
    if reply.digest == digest {
        shared.step(|inner, _| inner.members.merge_ages(reply.digest, &reply.ages, sent));
        return Ok(reply.epoch);
    }
    let full_request = shared.step(|inner, now| full_request(inner, now, &reply));
    let (sent, reply) = call(shared, peer, full_request).await?;
    merge_confirmation(shared, sent, &reply);
    shared.step(|inner, _| merge_reply(inner, sent, &reply));
    Ok(reply.epoch)
}

async fn call(
    shared: &Shared,
    peer: &DirectoryLink,
    request: Exchange,
) -> Result<(Moment, Exchange), LinkError> {
    let client = peer.client().await?;
    let sent = shared.clock.now();
    let result = client.exchange(link::within(REPLY_TIMEOUT), request).await;
    Ok((sent, peer.check_result(result)?))
}

fn summary(inner: &Inner) -> Exchange {
    Exchange {
        from: inner.members.me().to_string(),
        digest: inner.members.digest(),
        have: inner.version(),
        epoch: inner.members.instances().epoch(),
        ..Exchange::default()
    }
}

/// The own statuses, and the deltas that the peer lacks according to its reply.
fn full_request(inner: &mut Inner, now: Moment, reply: &Exchange) -> Exchange {
    let peer_statuses: Vec<HomeStatus> = reply
        .vouches
        .iter()
        .filter_map(convert::parse_status)
        .collect();
    Exchange {
        vouches: statuses(inner, now),
        deltas: deltas(inner, &peer_statuses),
        ..summary(inner)
    }
}

fn statuses(inner: &Inner, now: Moment) -> Vec<wire::directory::Vouch> {
    let statuses = inner.members.statuses(now);
    statuses.iter().map(convert::to_status).collect()
}

fn deltas(inner: &Inner, peer_statuses: &[HomeStatus]) -> Vec<wire::directory::Delta> {
    let found = inner.members.deltas(peer_statuses);
    let delta = |(home, delta): &(HostName, members::Delta)| {
        let location = &inner.members.homes().get(home)?.location;
        Some(convert::to_delta(home, location, delta))
    };
    found.iter().filter_map(delta).collect()
}

fn merge_deltas(inner: &mut Inner, reply: &Exchange) {
    for found in reply.deltas.iter().filter_map(convert::parse_delta) {
        inner
            .members
            .merge_delta(&found.home, found.location, &found.delta);
    }
}

/// Merges deltas first, because a status counts only for a copy that is as new.
fn merge_reply(inner: &mut Inner, sent: Moment, reply: &Exchange) {
    merge_deltas(inner, reply);
    let statuses: Vec<HomeStatus> = reply
        .vouches
        .iter()
        .filter_map(convert::parse_status)
        .collect();
    inner.members.merge_statuses(&statuses, sent);
    inner.members.merge_ages(reply.digest, &reply.ages, sent);
}

fn merge_confirmation(shared: &Shared, sent: Moment, reply: &Exchange) {
    if reply.confirmed == 0 {
        return;
    }
    let found = Confirmed {
        version: reply.confirmed,
        moment: sent.before(convert::duration(reply.confirmed_age_ms)),
    };
    shared.confirm(&reply.from, found, reply.catalogue.clone());
}

/// Handles a peer's poll or push.
pub fn handle(shared: &Shared, request: &Exchange) -> Exchange {
    shared.step(|inner, now| {
        merge_deltas(inner, request);
        let mut reply = summary(inner);
        if request.digest == 0 {
            return reply;
        }
        if request.digest == reply.digest {
            reply.ages = inner.members.ages(now).into();
        } else {
            reply.vouches = statuses(inner, now);
        }
        if !request.vouches.is_empty() {
            let peer_statuses: Vec<HomeStatus> = request
                .vouches
                .iter()
                .filter_map(convert::parse_status)
                .collect();
            reply.deltas = deltas(inner, &peer_statuses);
        }
        add_confirmation(inner, now, request, &mut reply);
        reply
    })
}

fn add_confirmation(inner: &Inner, now: Moment, request: &Exchange, reply: &mut Exchange) {
    let Some(best) = inner.freshness.latest() else {
        return;
    };
    reply.confirmed = best.version;
    reply.confirmed_age_ms = convert::millis(now.since(best.moment));
    let newer = inner
        .catalogue
        .as_ref()
        .filter(|c| c.version > request.have);
    reply.catalogue = newer.map(|c| c.as_ref().clone());
}

/// Pushes changes of the own partition to one peer until the directory stops.
pub async fn push(shared: Arc<Shared>, peer: Arc<DirectoryLink>) {
    let mut changed = shared.subscribe();
    let mut acknowledged = changed.borrow().own;
    loop {
        let change = changed.wait_for(|version| version.own != acknowledged);
        tokio::select! {
            change = change => if change.is_err() { return },
            () = shared.stop.cancelled() => return,
        }
        sleep(BATCH_DELAY).await;
        let result = push_once(&shared, &peer, acknowledged).await;
        if let Ok(Some(position)) = result {
            acknowledged = position;
        } else {
            sleep(RETRY_DELAY).await;
        }
        record_result(&shared, &peer, "push", result.map(|_| ()));
    }
}

/// Pushes the changes after `acknowledged`; returns the position that the peer then has.
async fn push_once(
    shared: &Shared,
    peer: &DirectoryLink,
    acknowledged: (u64, u64),
) -> Result<Option<(u64, u64)>, LinkError> {
    let found = shared.step(|inner, _| {
        let position = inner.members.own_position();
        let cursor = if acknowledged.0 == position.0 {
            acknowledged.1
        } else {
            0
        };
        let delta = inner.members.own_delta(cursor)?;
        let home = inner.members.me().clone();
        let delta = convert::to_delta(&home, inner.members.location(), &delta);
        let request = Exchange {
            digest: 0,
            deltas: vec![delta],
            ..summary(inner)
        };
        Some((position, request))
    });
    let Some((position, request)) = found else {
        return Ok(None);
    };
    call(shared, peer, request).await?;
    Ok(Some(position))
}

fn record_result(
    shared: &Shared,
    peer: &DirectoryLink,
    kind: &'static str,
    result: Result<(), LinkError>,
) {
    let tag = if result.is_ok() { "ok" } else { "failed" };
    let metric = shared.metrics.count_with_tags(metrics::EXCHANGE, 1);
    metric.with_tag("kind", kind).with_tag("result", tag).send();
    if let Err(err) = result {
        debug!(shared.log, "peer silent"; "peer" => %peer.address(), "kind" => kind, "error" => %err);
    }
}
