//! Keys that are removed while their requests are handled, or of which the process can't know any
//! more whether they are.
//!
//! A request with such a key is not sent to an instance any more, and one whose body is still
//! arriving is broken off. A request that an instance has received completely goes on.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

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

/// Resolution of the runtime's timers.
const TIMER_STEP: Duration = Duration::from_millis(1);

/// Tells whether the key of a request is still valid.
#[derive(Clone)]
pub(super) struct KeyGuard(Option<Arc<Held>>);

struct Held {
    core: Arc<Core>,
    request: HeaderValue,
    identity: Identity,
}

impl Held {
    /// Fails if the key was removed, or the process can't know any more whether it was.
    fn check(&self) -> Result<(), Reason> {
        if !self.identity.is_valid(&self.core.routes().keys) {
            Err(self.refuse(Reason::Unauthorized, "removed"))
        } else if self.core.fails_closed() {
            Err(self.refuse(Reason::Unconfirmed, "unconfirmed"))
        } else {
            Ok(())
        }
    }

    /// Completes once [`Held::check`] fails.
    async fn ended(&self) -> Reason {
        let mut versions = self.core.table_version.subscribe();
        loop {
            if let Err(reason) = self.check() {
                return reason;
            }
            tokio::select! {
                changed = versions.changed() => if changed.is_err() {
                    std::future::pending::<()>().await;
                },
                () = confirmation_ended(&self.core) => {}
            }
        }
    }

    fn refuse(&self, reason: Reason, cause: &'static str) -> Reason {
        let core = &self.core;
        let age = core.confirmation_age();
        info!(core.log, "key ended"; "request" => self.request.to_str().unwrap_or("-"),
            "cause" => cause, "workspace" => %self.identity.workspace.name,
            "digest" => self.identity.key.map_or_else(|| "-".into(), |key| key.short()),
            "table" => core.routes().version(),
            "age_ms" => age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)));
        core.counters.key_refused(cause);
        reason
    }
}

/// Completes once the confirmation of the route table may have ended, if keys fail closed then.
async fn confirmation_ended(core: &Core) {
    match core.confirmation_left() {
        Some(left) => tokio::time::sleep(left + TIMER_STEP).await,
        None => std::future::pending().await,
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
        self.0.as_ref().map_or(Ok(()), |held| held.check())
    }

    /// Runs `step` unless the key ends before it has completed.
    pub(super) async fn hold<T>(self, step: impl Future<Output = T>) -> Result<T, Reason> {
        let Some(held) = self.0 else {
            return Ok(step.await);
        };
        tokio::select! {
            biased;
            result = step => Ok(result),
            reason = held.ended() => Err(reason),
        }
    }

    /// Runs `step` unless the key ends before the request's body has arrived.
    pub(super) async fn hold_during<T>(
        self,
        transfer: &Transfer,
        step: impl Future<Output = T>,
    ) -> Result<T, Reason> {
        let Some(held) = self.0.filter(|_| !transfer.is_complete()) else {
            return Ok(step.await);
        };
        let cut = async {
            let reason = held.ended().await;
            if transfer.is_complete() {
                std::future::pending::<()>().await;
            }
            reason
        };
        tokio::select! {
            biased;
            result = step => Ok(result),
            reason = cut => Err(reason),
        }
    }
}

impl Flow {
    /// Makes one attempt; fails if the key ends before the request's body has arrived.
    pub(super) async fn attempt_while_allowed(
        &mut self,
        body: ForwardedBody,
        transfer: &Transfer,
    ) -> Result<Result<AttemptEnd, Reason>, Reason> {
        let key = self.key.clone();
        let attempt = pin!(self.attempt(body));
        key.hold_during(transfer, attempt).await
    }

    /// Relays the request; refuses it if the key ends before its body has arrived.
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
