//! Runs one call: reports events to the state machine of the crate `attempt` and
//! carries out its actions.
//!
//! Each call runs in a task of its own, so that it can continue after its caller has
//! disconnected. The state machine decides whether it does.

use std::sync::Arc;

use attempt::CallContext;
use base::prelude::*;
use bounds::Client;
use http::HeaderMap;
use http::Method;
use tokio::sync::oneshot;

use crate::balancer::Balancer;
use crate::body::RequestBody;
use crate::call::driver::Driver;
use crate::core::Core;
use crate::queue::AdmissionPermit;
use crate::refusal::Refusal;
use crate::relay::RelayedResponse;
use crate::request_head::RequestHead;
use crate::suspects::RequestIdentity;

mod classify;
mod driver;
mod responses;
mod start;
mod state;

/// Result of a call.
pub type Result = std::result::Result<RelayedResponse, Refusal>;

/// An admitted request.
pub struct Request {
    /// Validated head.
    pub head: RequestHead,
    /// What identifies the request in crash reports.
    pub identity: RequestIdentity,
    /// The connection on which it arrived, to which its response is charged.
    pub client: Client,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Arc<str>,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: RequestBody,
    /// Expiry of the ledger claim, from which on no attempt may start.
    pub claim_expires_at: Option<Moment>,
    /// Admission, released when dropped.
    pub permit: Option<AdmissionPermit>,
}

/// Starts a call in a task of its own; the receiver gets the result.
///
/// Dropping the receiver, or the body of the response, signals that the caller has
/// disconnected.
#[must_use]
pub fn start(
    core: Arc<Core>,
    balancer: Arc<Balancer>,
    request: Request,
) -> oneshot::Receiver<Result> {
    let (send, receive) = oneshot::channel();
    let in_flight_guard = core.in_flight.begin();
    tokio::spawn(async move {
        let _in_flight_guard = in_flight_guard;
        Driver::new(core, balancer, request, send).run().await;
    });
    receive
}

fn call_context(request: &Request) -> CallContext {
    let class = request.head.service.class;
    CallContext {
        // A streamed body can't be sent again, so its request is treated as class once.
        class: if request.body.is_buffered() {
            class
        } else {
            Class::Once
        },
        deadline: request.head.deadline,
        depth: request.head.depth,
    }
}
