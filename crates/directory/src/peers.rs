//! Exchanges with other directories.
//!
//! Each directory asks one other at a time, in the order of
//! [`members::ring::Ring`]: what homes there are, how long ago each was heard of, and how current
//! the catalogue is. Only ages in an answer are taken, counted from when the
//! request was sent; the same in a push could have been long on its way. What
//! changes in the own home's table is pushed to all at once, and what a push
//! misses the asking brings later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use cadence::Counted;
use members::Confirmed;
use members::homes::Vouch;
use members::ring::Ring;
use slog::debug;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use wire::directory::Exchange;
use wire::link;
use wire::link::LinkError;
use wire::peer::DirectoryLink;

use crate::convert;
use crate::names;
use crate::shared::Inner;
use crate::shared::Shared;

/// Longest wait for a peer's answer.
pub const TIMEOUT: Duration = Duration::from_millis(700);
/// Changes within this span go out in one push.
pub const GATHER: Duration = Duration::from_millis(20);
/// Pause before a failed push is tried again.
pub const PAUSE: Duration = Duration::from_millis(300);

/// Asks one peer after another until the directory stops.
pub async fn ask(shared: Arc<Shared>, me: SocketAddr, peers: Vec<Arc<DirectoryLink>>) {
    let addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address()).collect();
    let mut ring = Ring::new(me, &addresses);
    let (tell, mut told) = mpsc::unbounded_channel();
    let mut ticks = interval(shared.settings.leases.exchange);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = shared.stop.cancelled() => return,
        }
        while let Ok((peer, answered)) = told.try_recv() {
            ring.note(peer, answered);
        }
        let next = ring.pick();
        let peer = peers.iter().find(|peer| Some(peer.address()) == next);
        if let Some(peer) = peer {
            let (shared, peer, tell) = (shared.clone(), peer.clone(), tell.clone());
            // A silent peer holds up no other.
            tokio::spawn(async move {
                let answered = pull(shared, &peer).await;
                let _ = tell.send((peer.address(), answered));
            });
        }
    }
}

/// Asks once and returns whether there was an answer.
async fn pull(shared: Arc<Shared>, peer: &DirectoryLink) -> bool {
    let result = pull_once(&shared, peer).await;
    let answered = result.is_ok();
    note(&shared, peer, "pull", result);
    answered
}

/// Asks in short, and in full where digests differ.
async fn pull_once(shared: &Shared, peer: &DirectoryLink) -> Result<(), LinkError> {
    let short = shared.step(|inner, _| short(inner));
    let digest = short.digest;
    let (sent, reply) = call(shared, peer, short).await?;
    take_confirmation(shared, sent, &reply);
    if reply.digest == digest {
        shared.step(|inner, _| inner.members.merge_ages(reply.digest, &reply.ages, sent));
        return Ok(());
    }
    let full = shared.step(|inner, now| full(inner, now, &reply));
    let (sent, reply) = call(shared, peer, full).await?;
    take_confirmation(shared, sent, &reply);
    shared.step(|inner, _| take_full(inner, sent, &reply));
    Ok(())
}

async fn call(
    shared: &Shared,
    peer: &DirectoryLink,
    ask: Exchange,
) -> Result<(Moment, Exchange), LinkError> {
    let client = peer.client().await?;
    let sent = shared.clock.now();
    let result = client.exchange(link::within(TIMEOUT), ask).await;
    Ok((sent, peer.check_result(result)?))
}

fn short(inner: &Inner) -> Exchange {
    Exchange {
        from: inner.members.me().to_string(),
        digest: inner.members.digest(),
        have: inner.version(),
        ..Exchange::default()
    }
}

/// The own points, and what the peer lacks by the points it told.
fn full(inner: &mut Inner, now: Moment, told: &Exchange) -> Exchange {
    let theirs: Vec<Vouch> = told.vouches.iter().filter_map(convert::of_vouch).collect();
    Exchange {
        vouches: vouches(inner, now),
        deltas: deltas(inner, &theirs),
        ..short(inner)
    }
}

fn vouches(inner: &Inner, now: Moment) -> Vec<wire::directory::Vouch> {
    let vouches = inner.members.vouches(now);
    vouches.iter().map(convert::to_vouch).collect()
}

fn deltas(inner: &Inner, theirs: &[Vouch]) -> Vec<wire::directory::Delta> {
    let found = inner.members.deltas(theirs);
    let delta = |(home, delta): &(HostName, members::Delta)| {
        let place = &inner.members.homes().get(home)?.place;
        Some(convert::to_delta(home, place, delta))
    };
    found.iter().filter_map(delta).collect()
}

fn take_deltas(inner: &mut Inner, reply: &Exchange) {
    for found in reply.deltas.iter().filter_map(convert::of_delta) {
        inner
            .members
            .merge_delta(&found.home, found.place, &found.delta);
    }
}

/// Deltas first: a statement counts only for a copy that is as new.
fn take_full(inner: &mut Inner, sent: Moment, reply: &Exchange) {
    take_deltas(inner, reply);
    let vouches: Vec<Vouch> = reply.vouches.iter().filter_map(convert::of_vouch).collect();
    inner.members.merge_vouches(&vouches, sent);
    inner.members.merge_ages(reply.digest, &reply.ages, sent);
}

fn take_confirmation(shared: &Shared, sent: Moment, reply: &Exchange) {
    if reply.confirmed == 0 {
        return;
    }
    let found = Confirmed {
        version: reply.confirmed,
        moment: sent.before(convert::span(reply.confirmed_age_ms)),
    };
    shared.confirm(&reply.from, found, reply.catalogue.clone());
}

/// Answers a peer's question or push.
pub fn answer(shared: &Shared, ask: &Exchange) -> Exchange {
    shared.step(|inner, now| {
        take_deltas(inner, ask);
        let mut reply = short(inner);
        if ask.digest == 0 {
            return reply;
        }
        if ask.digest == reply.digest {
            reply.ages = inner.members.ages(now).into();
        } else {
            reply.vouches = vouches(inner, now);
        }
        if !ask.vouches.is_empty() {
            let theirs: Vec<Vouch> = ask.vouches.iter().filter_map(convert::of_vouch).collect();
            reply.deltas = deltas(inner, &theirs);
        }
        add_confirmation(inner, now, ask, &mut reply);
        reply
    })
}

fn add_confirmation(inner: &Inner, now: Moment, ask: &Exchange, reply: &mut Exchange) {
    let Some(best) = inner.standing.best() else {
        return;
    };
    reply.confirmed = best.version;
    reply.confirmed_age_ms = convert::millis(now.since(best.moment));
    let newer = inner.catalogue.as_ref().filter(|c| c.version > ask.have);
    reply.catalogue = newer.map(|c| c.as_ref().clone());
}

/// Pushes changes of the own home's table to one peer until the directory stops.
pub async fn push(shared: Arc<Shared>, peer: Arc<DirectoryLink>) {
    let mut changed = shared.watch();
    let mut told = changed.borrow().own;
    loop {
        let moved = changed.wait_for(|stamp| stamp.own != told);
        tokio::select! {
            moved = moved => if moved.is_err() { return },
            () = shared.stop.cancelled() => return,
        }
        sleep(GATHER).await;
        let result = push_once(&shared, &peer, told).await;
        if let Ok(Some(point)) = result {
            told = point;
        } else {
            sleep(PAUSE).await;
        }
        note(&shared, &peer, "push", result.map(|_| ()));
    }
}

/// Sends what moved after `told`; returns the point that the peer was told of.
async fn push_once(
    shared: &Shared,
    peer: &DirectoryLink,
    told: (u64, u64),
) -> Result<Option<(u64, u64)>, LinkError> {
    let found = shared.step(|inner, _| {
        let point = inner.members.own_point();
        let cursor = if told.0 == point.0 { told.1 } else { 0 };
        let delta = inner.members.own_since(cursor)?;
        let home = inner.members.me().clone();
        let delta = convert::to_delta(&home, inner.members.place(), &delta);
        let ask = Exchange {
            digest: 0,
            deltas: vec![delta],
            ..short(inner)
        };
        Some((point, ask))
    });
    let Some((point, ask)) = found else {
        return Ok(None);
    };
    call(shared, peer, ask).await?;
    Ok(Some(point))
}

fn note(shared: &Shared, peer: &DirectoryLink, kind: &'static str, result: Result<(), LinkError>) {
    let word = if result.is_ok() { "ok" } else { "failed" };
    let metric = shared.metrics.count_with_tags(names::EXCHANGE, 1);
    metric
        .with_tag("kind", kind)
        .with_tag("result", word)
        .send();
    if let Err(err) = result {
        debug!(shared.log, "peer silent"; "peer" => %peer.address(), "kind" => kind, "error" => %err);
    }
}
