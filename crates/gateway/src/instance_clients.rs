//! HTTP clients for instances, each with its own bounded connection pool.
//!
//! They use hyper's pooled client: reqwest hides interim responses, which an instance may send
//! without an end.
//!
//! The connection limit of an instance is divided among the registered gateways.
//! A gateway uses two thirds of its share for requests in flight and up to one
//! third for idle connections, so that it never exceeds the share.
//!
//! A connection that has carried a request may deliver a response of that request where the next
//! one's is expected. After a response that isn't its request's own, no connection to the instance
//! that was open before is used again. A response that names no request is the last one on its
//! connection, as a late copy of it couldn't be told from the next request's answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use base::header;
use base::prelude::*;
use bounds::READ_BUFFER_BYTES;
use framing::FramingError;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::uri::Scheme;
use http_body::Body;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error as ClientError;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use interim::InterimCounter;
use interim::InterimLimits;
use quick_error::quick_error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::view::View;

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// TCP keep-alive: idle time before the first probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// TCP keep-alive: number of unanswered probes after which the connection is dropped.
const KEEPALIVE_RETRIES: u32 = 3;
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
        Connect(err: ClientError) {
            source(err)
            display("failed to connect to the instance: {err}")
        }
        /// The request's target is invalid; nothing was sent.
        Target {
            display("request target is not a path")
        }
        /// The request may have been sent in part or whole.
        NoAnswer(err: ClientError) {
            source(err)
            display("no response from the instance: {err}")
        }
        /// The response has contradictory framing; the request may have run.
        Framing(err: FramingError) {
            from()
            source(err)
            display("response refused: {err}")
        }
        /// The instance sent interim responses without an end.
        EndlessInterim {
            display("more than {InterimLimits}")
        }
    }
}

/// HTTP client for one instance, or for another gateway.
#[derive(Clone, Debug)]
pub struct InstanceClient {
    address: SocketAddr,
    share: u32,
    connections: Arc<Connections>,
    permits: Arc<Semaphore>,
}

type HttpClient = Client<HttpConnector, reqwest::Body>;

/// The connections to one address.
#[derive(Debug)]
struct Connections {
    pooled: Mutex<HttpClient>,
    /// Opens a connection for each request and closes it after the response.
    unpooled: HttpClient,
}

/// Which connections a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// One that has carried other requests, too.
    Allowed,
    /// Only one that carries nothing else.
    Forbidden,
}

/// A client that keeps up to `max_idle` idle connections.
fn http_client(max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .build(connector)
}

impl Connections {
    fn new(max_idle: usize) -> Self {
        Self {
            pooled: Mutex::new(http_client(max_idle)),
            unpooled: http_client(0),
        }
    }

    fn client(&self, reuse: Reuse) -> HttpClient {
        match reuse {
            Reuse::Allowed => self.pooled().clone(),
            Reuse::Forbidden => self.unpooled.clone(),
        }
    }

    fn pooled(&self) -> MutexGuard<'_, HttpClient> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
    /// A client of whoever listens on `address`, with `share` connections.
    #[must_use]
    pub fn to_address(address: SocketAddr, share: u32) -> Self {
        let active = (share - share / 3).max(1);
        Self {
            address,
            share,
            connections: Arc::new(Connections::new(max_idle(share))),
            permits: Arc::new(Semaphore::new(active as usize)),
        }
    }

    /// Closes the idle connections. Those in use are closed after their responses.
    pub fn discard_open(&self) {
        *self.connections.pooled() = http_client(max_idle(self.share));
    }

    /// Reserves a connection, or returns `None` if all are in use.
    #[must_use]
    pub fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Sends a request and waits for the head of the final response. Interim responses are passed
    /// to `read_interim`.
    ///
    /// Dropping the future closes the connection, by which the upstream notices the
    /// cancellation.
    ///
    /// # Errors
    ///
    /// The instance may have run the request only if the error is [`SendError::NoAnswer`],
    /// [`SendError::Framing`] or [`SendError::EndlessInterim`].
    pub(crate) async fn send(
        &self,
        outgoing: UpstreamRequest,
        reuse: Reuse,
        read_interim: impl Fn(StatusCode, &HeaderMap) + Send + Sync + 'static,
    ) -> Result<reqwest::Response, SendError> {
        let mut request = http::Request::new(outgoing.body);
        *request.method_mut() = outgoing.method;
        *request.uri_mut() = self.uri(&outgoing.target).ok_or(SendError::Target)?;
        *request.headers_mut() = outgoing.headers;
        let length = request.body().size_hint().exact();
        let method = request.method().clone();
        framing::write_request(&method, request.headers_mut(), length);
        let connection = capture_connection(&mut request);
        let interim = InterimCounter::attach(&mut request, read_interim);
        let client = self.connections.client(reuse);
        let response = tokio::select! {
            biased;
            response = client.request(request) => response,
            () = interim.exceeded() => return Err(SendError::EndlessInterim),
        };
        match response {
            Ok(response) => {
                let checked = framing::check_response(response.status(), response.headers());
                let is_named = response.headers().contains_key(header::REQUEST_ID);
                // After contradictory framing, what follows the head may not be the body.
                if (checked.is_err() || !is_named)
                    && let Some(connected) = &*connection.connection_metadata()
                {
                    connected.poison();
                }
                checked?;
                Ok(response.map(reqwest::Body::wrap).into())
            }
            Err(err) if err.is_connect() => Err(SendError::Connect(err)),
            Err(err) => Err(SendError::NoAnswer(err)),
        }
    }

    /// The address and the path are set separately, so that a target such as `//host` can't change
    /// the host.
    fn uri(&self, target: &str) -> Option<Uri> {
        if !target.starts_with('/') {
            return None;
        }
        let uri = Uri::builder().scheme(Scheme::HTTP);
        let uri = uri.authority(self.address.to_string());
        uri.path_and_query(target).build().ok()
    }
}

/// Number of idle connections of a share.
fn max_idle(share: u32) -> usize {
    (share / 3).max(1) as usize
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
    pub fn update(&self, view: &View) {
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
                None => Arc::new(InstanceClient::to_address(upstream.address, share)),
            };
            updated.insert(key, client);
        }
        *clients = updated;
    }
}
