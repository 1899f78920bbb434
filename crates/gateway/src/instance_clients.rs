//! HTTP clients for instances, each with its own bounded connection pool.
//!
//! The connection limit of an instance is divided among the registered gateways.
//! A gateway uses two thirds of its share for requests in flight and up to one
//! third for idle connections, so that it never exceeds the share.

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

use crate::view::UpstreamInstance;
use crate::view::View;

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

quick_error! {
    /// Why a request got no response.
    #[derive(Debug)]
    pub enum SendError {
        /// All connections of the share are in use; nothing was sent.
        Busy {
            display("all connections of this gateway's share are in use")
        }
        /// The instance asked this gateway to send it nothing; nothing was sent.
        Withheld {
            display("the instance asked this gateway to send it nothing")
        }
        /// The connection failed; nothing was sent.
        Connect(err: reqwest::Error) {
            source(err)
            display("failed to connect to the instance: {err}")
        }
        /// The request's target is invalid; nothing was sent.
        Target {
            display("request target is not a path")
        }
        /// The request may have been sent in part or whole.
        NoAnswer(err: reqwest::Error) {
            source(err)
            display("no response from the instance: {err}")
        }
    }
}

/// HTTP client for one instance.
#[derive(Debug)]
pub struct InstanceClient {
    address: SocketAddr,
    share: u32,
    client: reqwest::Client,
    origin: Url,
    permits: Arc<Semaphore>,
}

/// A request for an upstream instance.
pub struct UpstreamRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Arc<str>,
    /// All headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: reqwest::Body,
}

impl InstanceClient {
    fn new(upstream: &UpstreamInstance, share: u32) -> Result<Self, reqwest::Error> {
        let idle = (share / 3).max(1);
        let active = (share - share / 3).max(1);
        let client = reqwest::Client::builder()
            .http1_only()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(reqwest::retry::never())
            .referer(false)
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle as usize)
            .build()?;
        let origin = Url::parse(&format!("http://{}/", upstream.address))
            .expect("a socket address is the authority of a URL");
        Ok(Self {
            address: upstream.address,
            share,
            client,
            origin,
            permits: Arc::new(Semaphore::new(active as usize)),
        })
    }

    /// Reserves a connection, or returns `None` if all are in use.
    #[must_use]
    pub fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future closes the connection, by which the upstream notices the
    /// cancellation.
    ///
    /// # Errors
    ///
    /// The instance may have run the request only if the error is
    /// [`SendError::NoAnswer`].
    pub(crate) async fn send(
        &self,
        outgoing: UpstreamRequest,
    ) -> Result<reqwest::Response, SendError> {
        let url = self.url(&outgoing.target).ok_or(SendError::Target)?;
        let mut request = reqwest::Request::new(outgoing.method, url);
        *request.headers_mut() = outgoing.headers;
        *request.body_mut() = Some(outgoing.body);
        self.client.execute(request).await.map_err(|err| {
            if err.is_connect() {
                SendError::Connect(err)
            } else {
                SendError::NoAnswer(err)
            }
        })
    }

    /// The path is set separately, so that a target such as `//host` can't change the
    /// host of the URL.
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

/// HTTP clients of all announced instances.
#[derive(Debug, Default)]
pub struct InstanceClients(RwLock<HashMap<Key, Arc<InstanceClient>>>);

impl InstanceClients {
    /// The client of an instance, or `None` if the instance isn't announced.
    #[must_use]
    pub fn get(&self, service: &ServiceName, id: &InstanceId) -> Option<Arc<InstanceClient>> {
        let key = Key {
            service: service.clone(),
            id: id.clone(),
        };
        let clients = self.0.read().unwrap_or_else(PoisonError::into_inner);
        clients.get(&key).cloned()
    }

    /// Updates the instances from the view. An instance whose address and share are
    /// unchanged keeps its connections.
    ///
    /// # Errors
    ///
    /// Returns an error if a client can't be created.
    pub fn update(&self, view: &View) -> Result<(), reqwest::Error> {
        let mut clients = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let mut updated = HashMap::new();
        for upstream in view.all_instances() {
            let key = Key {
                service: upstream.service.clone(),
                id: upstream.id.clone(),
            };
            let share = (upstream.connections / view.gateways()).max(1);
            let existing = clients
                .get(&key)
                .filter(|client| client.address == upstream.address && client.share == share);
            let client = match existing {
                Some(client) => client.clone(),
                None => Arc::new(InstanceClient::new(upstream, share)?),
            };
            updated.insert(key, client);
        }
        *clients = updated;
        Ok(())
    }
}
