//! Keys that are removed while their requests are handled.
//!
//! A request with a removed key is not sent to an instance any more, and one whose body is still
//! arriving is broken off. A request that an instance has received completely goes on.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;

use http::HeaderValue;
use slog::info;
use table::KeyDigest;

use super::Flow;
use super::Outcome;
use super::workspace::Identity;
use crate::body::ForwardedBody;
use crate::body::Transfer;
use crate::core::Core;
use crate::exchange::AttemptEnd;
use crate::refusal::Reason;

/// Tells whether the key of a request is still valid.
#[derive(Clone)]
pub(super) struct KeyGuard(Option<Arc<Held>>);

struct Held {
    core: Arc<Core>,
    request: HeaderValue,
    identity: Identity,
}

impl Held {
    fn is_valid(&self) -> bool {
        self.identity.is_valid(&self.core.routes().keys)
    }

    /// Completes once the key is removed.
    async fn removed(&self) {
        let mut versions = self.core.table_version.subscribe();
        while self.is_valid() {
            if versions.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

impl KeyGuard {
    /// Guards the request with this id and identity, or one that needs no key.
    pub(super) fn new(core: &Arc<Core>, request: &HeaderValue, identity: Option<Identity>) -> Self {
        Self(identity.map(|identity| {
            Arc::new(Held {
                core: Arc::clone(core),
                request: request.clone(),
                identity,
            })
        }))
    }

    /// The digest of the key.
    pub(super) fn digest(&self) -> Option<KeyDigest> {
        self.0.as_ref()?.identity.key
    }

    /// Fails if the key is not valid any more.
    pub(super) fn check(&self) -> Result<(), Reason> {
        match &self.0 {
            Some(held) if !held.is_valid() => Err(refuse(held)),
            _ => Ok(()),
        }
    }

    /// Runs `step` unless the key is removed before it has completed.
    pub(super) async fn hold<T>(self, step: impl Future<Output = T>) -> Result<T, Reason> {
        let Some(held) = self.0 else {
            return Ok(step.await);
        };
        tokio::select! {
            biased;
            result = step => Ok(result),
            () = held.removed() => Err(refuse(&held)),
        }
    }

    /// Runs `step` unless the key is removed before the request's body has arrived.
    pub(super) async fn hold_during<T>(
        self,
        transfer: &Transfer,
        step: impl Future<Output = T>,
    ) -> Result<T, Reason> {
        let Some(held) = self.0.filter(|_| !transfer.is_complete()) else {
            return Ok(step.await);
        };
        let cut = async {
            held.removed().await;
            if transfer.is_complete() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            result = step => Ok(result),
            () = cut => Err(refuse(&held)),
        }
    }
}

impl Flow {
    /// Makes one attempt; fails if the key is removed before the request's body has arrived.
    pub(super) async fn attempt_while_allowed(
        &mut self,
        body: ForwardedBody,
        transfer: &Transfer,
    ) -> Result<Result<AttemptEnd, Reason>, Reason> {
        let key = self.key.clone();
        let attempt = pin!(self.attempt(body));
        key.hold_during(transfer, attempt).await
    }

    /// Relays the request; refuses it if the key is removed before its body has arrived.
    pub(super) async fn relay_while_allowed(
        &mut self,
        body: ForwardedBody,
        transfer: &Transfer,
    ) -> Result<Outcome, ForwardedBody> {
        let key = self.key.clone();
        let end = {
            let relaying = pin!(self.relay(body));
            key.hold_during(transfer, relaying).await
        };
        end.unwrap_or_else(|reason| Ok(self.fallback(reason)))
    }
}

fn refuse(held: &Held) -> Reason {
    let core = &held.core;
    info!(core.log, "key removed"; "request" => held.request.to_str().unwrap_or("-"),
        "workspace" => %held.identity.workspace.name,
        "digest" => held.identity.key.map_or_else(|| "-".into(), |key| key.short()),
        "table" => core.routes().table.version);
    core.counters.key_refused("removed");
    Reason::Unauthorized
}
