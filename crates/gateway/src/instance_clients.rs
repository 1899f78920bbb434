//! Connections to instances: one client with its own bounded pool for each.
//!
//! An instance's connections are divided over the registered gateways. Of its
//! share a gateway uses two thirds for requests in flight and keeps up to one
//! third open and idle, so that both together never go over the share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use base::prelude::*;
use http::HeaderMap;
use http::Method;
use quick_error::quick_error;
use reqwest::Url;
use reqwest::redirect;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::view::Upstream;
use crate::view::View;

/// Longest wait for a connection; opening one takes about 1 ms.
pub const CONNECT_TIME: Duration = Duration::from_millis(250);
/// How long an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_mins(1);

quick_error! {
    /// Why an attempt got no answer.
    #[derive(Debug)]
    pub enum LaneError {
        /// All connections of the share are in use; no byte left.
        Busy {
            display("every connection of the gateway's share is in use")
        }
        /// No connection; no byte left.
        Connect(err: reqwest::Error) {
            source(err)
            display("no connection: {err}")
        }
        /// The request's target can't be sent; no byte left.
        Target {
            display("the target is no path")
        }
        /// Bytes may have left.
        NoAnswer(err: reqwest::Error) {
            source(err)
            display("no answer: {err}")
        }
    }
}

/// One instance's connections.
#[derive(Debug)]
pub struct Lane {
    address: SocketAddr,
    share: u32,
    client: reqwest::Client,
    origin: Url,
    permits: Arc<Semaphore>,
}

/// What goes to the upstream.
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Arc<str>,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: reqwest::Body,
}

impl Lane {
    fn new(upstream: &Upstream, share: u32) -> Result<Self, reqwest::Error> {
        let idle = (share / 3).max(1);
        let busy = (share - share / 3).max(1);
        let client = reqwest::Client::builder()
            .http1_only()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(reqwest::retry::never())
            .referer(false)
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIME)
            .pool_idle_timeout(IDLE_TIME)
            .pool_max_idle_per_host(idle as usize)
            .build()?;
        let origin = Url::parse(&format!("http://{}/", upstream.address))
            .expect("a socket address is the authority of a URL");
        Ok(Self {
            address: upstream.address,
            share,
            client,
            origin,
            permits: Arc::new(Semaphore::new(busy as usize)),
        })
    }

    /// Takes the right to one connection, if one is free.
    #[must_use]
    pub fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// Dropping the future closes the connection, which tells the upstream.
    ///
    /// # Errors
    ///
    /// Fails as the error says; only [`LaneError::NoAnswer`] may have been run.
    pub async fn send(&self, out: Outgoing) -> Result<reqwest::Response, LaneError> {
        let url = self.url(&out.target).ok_or(LaneError::Target)?;
        let mut request = reqwest::Request::new(out.method, url);
        *request.headers_mut() = out.headers;
        *request.body_mut() = Some(out.body);
        self.client.execute(request).await.map_err(|err| {
            if err.is_connect() {
                LaneError::Connect(err)
            } else {
                LaneError::NoAnswer(err)
            }
        })
    }

    /// Path and query are set apart, so that `//host` in a path names no other host.
    fn url(&self, target: &str) -> Option<Url> {
        let (path, query) = match target.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (target, None),
        };
        if !path.starts_with('/') {
            return None;
        }
        let mut url = self.origin.clone();
        url.set_path(path);
        url.set_query(query);
        Some(url)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    service: ServiceName,
    id: InstanceId,
}

/// The connections of all announced instances.
#[derive(Debug, Default)]
pub struct Lanes(RwLock<HashMap<Key, Arc<Lane>>>);

impl Lanes {
    /// The connections of one instance, `None` after it has gone.
    #[must_use]
    pub fn get(&self, service: &ServiceName, id: &InstanceId) -> Option<Arc<Lane>> {
        let key = Key {
            service: service.clone(),
            id: id.clone(),
        };
        let lanes = self.0.read().unwrap_or_else(PoisonError::into_inner);
        lanes.get(&key).cloned()
    }

    /// Takes the view's instances over; connections to those that stay are kept.
    ///
    /// # Errors
    ///
    /// Fails when a client can't be made.
    pub fn update(&self, view: &View) -> Result<(), reqwest::Error> {
        let mut lanes = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let mut next = HashMap::new();
        for upstream in view.all_instances() {
            let key = Key {
                service: upstream.service.clone(),
                id: upstream.id.clone(),
            };
            let share = (upstream.connections / view.gateways()).max(1);
            let kept = lanes
                .get(&key)
                .filter(|lane| lane.address == upstream.address && lane.share == share);
            let lane = match kept {
                Some(lane) => lane.clone(),
                None => Arc::new(Lane::new(upstream, share)?),
            };
            next.insert(key, lane);
        }
        *lanes = next;
        Ok(())
    }
}
