//! An HTTP client that follows the callers' contract.

use std::net::SocketAddr;
use std::time::Duration;

use base::header;
use base::prelude::*;
use reqwest::Client;
use reqwest::Method;
use serde::Deserialize;
use uuid::Uuid;

/// Workspace that callers with an API key claim.
const FORGED_WORKSPACE: &str = "forged";

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The service's name.
    pub service: &'static str,
    /// HTTP method.
    pub method: Method,
    /// Path with its query, if any.
    pub path: String,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// API key of the caller's workspace, if any.
    pub api_key: Option<String>,
    /// Name of the caller.
    pub caller: &'static str,
    /// Time that the caller allows for the call.
    pub deadline: Duration,
    /// Body of the request.
    pub body: String,
    /// Value of the `range` header, if any.
    pub range: Option<String>,
    /// Value of the `host` header; the address if `None`.
    pub host: Option<&'static str>,
}

impl Request {
    /// A `GET` request for `path` with a deadline of 10 s.
    #[must_use]
    pub fn get(service: &'static str, path: &str) -> Self {
        Self {
            service,
            method: Method::GET,
            path: path.into(),
            key: None,
            api_key: None,
            caller: "tests",
            deadline: Duration::from_secs(10),
            body: String::new(),
            range: None,
            host: None,
        }
    }

    /// A `POST` request of `body` to `path` with a deadline of 10 s.
    #[must_use]
    pub fn post(service: &'static str, path: &str, body: &str) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(service, path)
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn keyed(self, key: &str) -> Self {
        Self {
            key: Some(key.into()),
            ..self
        }
    }

    /// Sets the API key.
    #[must_use]
    pub fn with_api_key(self, key: &str) -> Self {
        Self {
            api_key: Some(key.into()),
            ..self
        }
    }

    /// Sets the host name, by which route tables select routes.
    #[must_use]
    pub fn at(self, host: &'static str) -> Self {
        Self {
            host: Some(host),
            ..self
        }
    }

    /// Sets the deadline.
    #[must_use]
    pub fn within(self, deadline: Duration) -> Self {
        Self { deadline, ..self }
    }
}

/// How much of a response arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// The connection could not be established, so that nothing was sent.
    #[default]
    NotSent,
    /// The connection broke before the response was complete.
    Truncated,
    /// The complete response arrived.
    Complete,
}

/// The response as a caller sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status; zero if no response arrived.
    pub status: u16,
    /// Outcome reported by the system; `None` on an upstream's own response.
    pub outcome: Option<Outcome>,
    /// Reason reported by the system; empty if there is none.
    pub reason: String,
    /// Seconds after which the caller may retry.
    pub retry_after: Option<u64>,
    /// Body of the response; empty unless complete.
    pub body: String,
    /// How much of the response arrived.
    pub delivery: Delivery,
}

impl Reply {
    /// Whether this is an upstream's own complete response with a 2xx status.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.delivery == Delivery::Complete
            && self.outcome.is_none()
            && (200..300).contains(&self.status)
    }

    /// Parses the body of a stand-in's ordinary response.
    #[must_use]
    pub fn receipt(&self) -> Option<Receipt> {
        serde_json::from_str(&self.body).ok()
    }
}

/// Body of a stand-in's ordinary response.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Receipt {
    /// The instance that ran the request.
    pub instance: String,
    /// Number of the run on that instance.
    pub run: u64,
    /// Idempotency key as received.
    pub key: String,
    /// Caller as received.
    pub caller: String,
    /// Path as received.
    pub path: String,
    /// Body of the request.
    pub echo: String,
}

/// A directory's response to a caller.
#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    /// Addresses in the order in which to try them.
    pub addresses: Vec<RouteAddress>,
    /// How long the addresses may be cached, in milliseconds.
    pub max_age_ms: u64,
}

/// One address of a route.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RouteAddress {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Failure domain of the host at the address.
    pub domain: String,
}

/// Sends requests, each on a new connection.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Creates a caller.
    #[must_use]
    pub fn new() -> Self {
        // A pooled connection would hide a gateway that refuses new connections.
        let client = Client::builder().pool_max_idle_per_host(0).build();
        Self {
            client: client.unwrap_or_default(),
        }
    }

    /// Asks the directory at `address` for the route to `service`.
    pub async fn route(&self, address: SocketAddr, service: &str) -> Option<Route> {
        let url = format!("http://{address}/v1/route?service={service}");
        let response = self.client.get(url).send().await.ok()?;
        let status = response.status();
        let body = response.bytes().await.ok()?;
        status
            .is_success()
            .then(|| serde_json::from_slice(&body).ok())?
    }

    /// Sends `request` to the gateway at `address`.
    pub async fn call(&self, address: SocketAddr, request: &Request) -> Reply {
        let url = format!("http://{address}{}", request.path);
        let mut builder = self
            .client
            .request(request.method.clone(), url)
            .header(header::SERVICE, request.service)
            .header(header::CALLER, request.caller)
            .header(header::DEADLINE, request.deadline.as_millis().to_string())
            .body(request.body.clone());
        if let Some(key) = &request.key {
            builder = builder.header(header::IDEMPOTENCY_KEY, key);
        }
        if let Some(key) = &request.api_key {
            builder = builder
                .bearer_auth(key)
                // A name that the caller makes up has no effect.
                .header(header::WORKSPACE, FORGED_WORKSPACE);
        }
        if let Some(host) = request.host {
            builder = builder.header("host", host);
        }
        if let Some(range) = &request.range {
            builder = builder.header("range", range);
        }
        match builder.send().await {
            Ok(response) => read_reply(response).await,
            Err(err) if err.is_connect() => Reply::default(),
            Err(_) => Reply {
                delivery: Delivery::Truncated,
                ..Reply::default()
            },
        }
    }
}

async fn read_reply(response: reqwest::Response) -> Reply {
    let text = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let reply = Reply {
        status: response.status().as_u16(),
        outcome: text(header::OUTCOME).and_then(|t| t.parse().ok()),
        reason: text(header::REASON).unwrap_or_default(),
        retry_after: text("retry-after").and_then(|t| t.parse().ok()),
        ..Reply::default()
    };
    match response.bytes().await {
        Ok(body) => Reply {
            body: String::from_utf8_lossy(&body).into_owned(),
            delivery: Delivery::Complete,
            ..reply
        },
        Err(_) => Reply {
            delivery: Delivery::Truncated,
            ..reply
        },
    }
}

/// Creates an idempotency key (UUID v7, which contains the time of its creation).
#[must_use]
pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}
