//! Backoff and shutdown notices in the responses to one request.
//!
//! Interim responses needn't name their request. What those ask is recorded once the final response
//! has shown that they belong to the request.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use correlate::Owner;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;

use crate::core::Core;
use crate::correlation;
use crate::view::Upstream;

/// Reads the responses to one request or probe.
pub(super) struct Notices {
    core: Arc<Core>,
    upstream: Arc<Upstream>,
    /// The id of the request; probes have none.
    id: Option<HeaderValue>,
    /// Names the request in the log.
    cause: String,
    /// Interim responses whose request isn't known yet.
    unnamed: Mutex<Vec<(StatusCode, HeaderMap)>>,
}

impl Notices {
    pub(super) fn new(
        core: &Arc<Core>,
        upstream: &Arc<Upstream>,
        id: Option<HeaderValue>,
        cause: &str,
    ) -> Self {
        Self {
            core: Arc::clone(core),
            upstream: Arc::clone(upstream),
            id,
            cause: cause.to_owned(),
            unnamed: Mutex::default(),
        }
    }

    fn owner(&self, headers: &HeaderMap) -> Owner {
        let id = self.id.as_ref().map_or(&[][..], HeaderValue::as_bytes);
        correlation::owner(&self.core, id, headers)
    }

    /// Whether a final response belongs to the request. That to a probe names none.
    fn is_own(&self, owner: Owner) -> bool {
        match self.id {
            Some(_) => owner == Owner::Sent,
            None => owner != Owner::Other,
        }
    }

    /// Reads an interim response.
    pub(super) fn read_interim(&self, status: StatusCode, headers: &HeaderMap) {
        match self.owner(headers) {
            Owner::Sent => self.record(status, headers),
            Owner::Unnamed => {
                let mut unnamed = self.unnamed.lock().unwrap_or_else(PoisonError::into_inner);
                unnamed.push((status, headers.clone()));
            }
            Owner::Other => {}
        }
    }

    /// Reads the final response, and the interim ones before it.
    pub(super) fn read_final(&self, status: StatusCode, headers: &HeaderMap) {
        if !self.is_own(self.owner(headers)) {
            return;
        }
        let unnamed = {
            let mut unnamed = self.unnamed.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *unnamed)
        };
        for (status, headers) in &unnamed {
            self.record(*status, headers);
        }
        self.record(status, headers);
    }

    fn record(&self, status: StatusCode, headers: &HeaderMap) {
        self.core
            .record_notices(&self.upstream, status, headers, &self.cause);
    }
}
