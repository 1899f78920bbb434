//! Asks other processes whether they reach the instances of a service, and answers that
//! question.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use correlate::Owner;
use http::Response;
use hyper::body::Incoming;
use reach::Answer;
use reach::check;
use tokio::time::Instant;

use super::HopOutcome;
use super::Peer;
use super::PeerReport;
use super::Question;
use super::SendEnd;
use crate::body::ResponseBody;
use crate::core::Core;
use crate::core::Stage;
use crate::correlation;
use crate::exchange;
use crate::flow;
use crate::pool::CONNECT_TIMEOUT;
use crate::pool::Connection;
use crate::pool::Message;
use crate::refusal::Reason;
use crate::relay;

/// Timeout of a question: a connection to the peer, two rounds in which it tries to connect to
/// instances, and a margin.
const ANSWER_TIMEOUT: Duration = CONNECT_TIMEOUT.saturating_mul(4);
/// Maximum time for which a request waits for a peer that reaches the instances.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// What a request without a peer should do.
pub enum NextPeer {
    /// Be sent to this peer.
    Found(Arc<Peer>),
    /// Be sent to an instance, as this process reaches them again.
    PathRegained,
    /// Be refused: no peer is known that reaches the instances.
    None,
}

/// Selects a peer for a request, and waits for one if the search has just begun.
pub async fn next_peer(core: &Core, service: &ServiceName, tried: &[Arc<Peer>]) -> NextPeer {
    let deadline = Instant::now() + MAX_WAIT;
    let mut changes = core.path_changes.subscribe();
    loop {
        changes.borrow_and_update();
        if !core.is_cut_off(service) {
            return NextPeer::PathRegained;
        }
        if let Some(peer) = core.select_peer(service, tried) {
            return NextPeer::Found(peer);
        }
        let waits = core.is_peer_search_promising(service);
        if !waits
            || tokio::time::timeout_at(deadline, changes.changed())
                .await
                .is_err()
        {
            return NextPeer::None;
        }
    }
}

/// Searches for peers that reach the instances, as long as the path that was lost at `cut_at`
/// stays cut.
pub async fn run(core: &Arc<Core>, service: &ServiceName, cut_at: Moment) {
    let mut changes = core.path_changes.subscribe();
    while core.cut_at(service) == Some(cut_at) {
        changes.borrow_and_update();
        for peer in core.begin_peer_wave(service) {
            tokio::spawn(ask(Arc::clone(core), service.clone(), peer));
        }
        let due = core.next_peer_wave(service);
        let until_due = due.since(core.clock.now());
        // An answer may bring the next wave forward.
        let _ = tokio::time::timeout(until_due, changes.changed()).await;
    }
}

/// Asks a peer, and records its answer.
async fn ask(core: Arc<Core>, service: ServiceName, peer: Arc<Peer>) {
    let question = Question {
        service: service.clone(),
        table: core.routes().version(),
    };
    let answer = async {
        let sending = relay::send(&peer, question.to_request(), None);
        let SendEnd::Response(response, connection) = sending.await else {
            return None;
        };
        read_answer(&core, &peer, response, connection).await
    };
    match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Some(answer)) => core.record_peer_answer(&service, &peer, &answer),
        Ok(None) | Err(_) => core.record_peer_silent(&peer),
    }
}

async fn read_answer(
    core: &Core,
    peer: &Peer,
    mut response: Response<Incoming>,
    mut connection: Connection,
) -> Option<Answer> {
    connection.record_use(Message::Question);
    // A response that names a request is that request's, and the question's own may follow.
    if correlation::owner(core, &[], response.headers()) != Owner::Unnamed {
        return None;
    }
    let outcome = HopOutcome::take(response.headers_mut())?;
    let report = PeerReport::take(response.headers_mut());
    let client = core.clients.unconnected();
    exchange::read_response(&peer.pool, response, connection, true, &client).await?;
    Some(Answer {
        reached: outcome == HopOutcome::Answered,
        load: report.load,
        hints: report.hints,
    })
}

/// Answers a peer's question.
pub async fn answer(core: &Arc<Core>, question: &Question) -> Response<ResponseBody> {
    let serves = core.is_ready()
        && *core.stage.borrow() == Stage::Serving
        && core.routes().version() >= question.table;
    let reached = serves && is_reached(core, &question.service).await;
    let outcome = if reached {
        HopOutcome::Answered
    } else {
        HopOutcome::Refused(Reason::Unreachable)
    };
    let mut response = Response::new(flow::empty_body());
    outcome.write(response.headers_mut());
    core.peer_report(&question.service)
        .write(response.headers_mut());
    response
}

/// Whether instances of the service accept connections of this process. Connects to some unless
/// one has accepted a connection lately.
async fn is_reached(core: &Arc<Core>, service: &ServiceName) -> bool {
    check::confirm(core, service).await;
    core.path_checked(service).await;
    core.is_path_proven(service)
}
