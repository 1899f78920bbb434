//! Drives one call: feeds the attempts' machine with what happens and does
//! what it says.
//!
//! A call is a task of its own, so that its caller may leave without cutting a
//! request that must not be cut; whether it is cut, the machine decides.

use std::sync::Arc;

use attempt::Terms;
use base::prelude::*;
use http::HeaderMap;
use http::Method;
use tokio::sync::oneshot;

use crate::balancer::Desk;
use crate::body::Payload;
use crate::call::driver::Driver;
use crate::core::Core;
use crate::queue::Slot;
use crate::refusal::Refusal;
use crate::relay::Relayed;
use crate::request_head::Ask;

mod classify;
mod driver;
mod responses;
mod state;

/// What the caller of a call gets.
pub type Result = std::result::Result<Relayed, Refusal>;

/// A request that was admitted.
pub struct Request {
    /// What it asks for.
    pub ask: Ask,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Arc<str>,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub payload: Payload,
    /// After this moment no attempt may begin: a claim's hold.
    pub hold: Option<Moment>,
    /// Its place among the calls that run.
    pub slot: Option<Slot>,
}

/// Starts the call; its answer comes by the receiver.
///
/// Dropping the receiver, or the body of the answer, is the caller's leaving.
#[must_use]
pub fn start(core: Arc<Core>, desk: Arc<Desk>, request: Request) -> oneshot::Receiver<Result> {
    let (send, receive) = oneshot::channel();
    let flight = core.flying.begin();
    tokio::spawn(async move {
        let _flight = flight;
        Driver::new(core, desk, request, send).run().await;
    });
    receive
}

fn terms(request: &Request) -> Terms {
    let class = request.ask.service.class;
    Terms {
        // A body that can be sent once only is as one of class once to the machine.
        class: if request.payload.is_kept() {
            class
        } else {
            Class::Once
        },
        deadline: request.ask.deadline,
        depth: request.ask.depth,
    }
}
