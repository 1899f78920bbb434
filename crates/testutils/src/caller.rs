//! A caller that keeps the callers' contract.

use std::net::SocketAddr;
use std::time::Duration;

use base::header;
use base::prelude::*;
use reqwest::Client;
use reqwest::Method;
use serde::Deserialize;
use uuid::Uuid;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The service.
    pub service: &'static str,
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// Who calls.
    pub caller: &'static str,
    /// The deadline.
    pub deadline: Duration,
    /// The body.
    pub body: String,
    /// The range asked for, if any.
    pub range: Option<String>,
    /// The host name asked for; the address where none is given.
    pub host: Option<&'static str>,
}

impl Request {
    /// A `GET` of `path` with a deadline of 10 s.
    #[must_use]
    pub fn get(service: &'static str, path: &str) -> Self {
        Self {
            service,
            method: Method::GET,
            path: path.into(),
            key: None,
            caller: "tests",
            deadline: Duration::from_secs(10),
            body: String::new(),
            range: None,
            host: None,
        }
    }

    /// A `POST` of `body` to `path` with a deadline of 10 s.
    #[must_use]
    pub fn post(service: &'static str, path: &str, body: &str) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(service, path)
        }
    }

    /// The same with an idempotency key.
    #[must_use]
    pub fn keyed(self, key: &str) -> Self {
        Self {
            key: Some(key.into()),
            ..self
        }
    }

    /// The same for a host name, which a route table knows.
    #[must_use]
    pub fn at(self, host: &'static str) -> Self {
        Self {
            host: Some(host),
            ..self
        }
    }

    /// The same with another deadline.
    #[must_use]
    pub fn within(self, deadline: Duration) -> Self {
        Self { deadline, ..self }
    }
}

/// How far an answer came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// No connection came about, so that nothing was sent.
    #[default]
    Unsent,
    /// The connection broke before the answer was whole.
    Cut,
    /// The whole answer came.
    Whole,
}

/// What a caller got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The status, zero when no answer came.
    pub status: u16,
    /// The system's word on the outcome, absent on an upstream's own answer.
    pub outcome: Option<Outcome>,
    /// The system's reason.
    pub reason: String,
    /// Seconds after which the caller may come back.
    pub retry_after: Option<u64>,
    /// The body, empty unless whole.
    pub body: String,
    /// How far it came.
    pub end: End,
}

impl Reply {
    /// Whether this is an upstream's own whole answer of success.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.end == End::Whole && self.outcome.is_none() && (200..300).contains(&self.status)
    }

    /// The receipt of a stand-in's ordinary answer.
    #[must_use]
    pub fn receipt(&self) -> Option<Receipt> {
        serde_json::from_str(&self.body).ok()
    }
}

/// What a stand-in writes into an ordinary answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Receipt {
    /// The instance that ran it.
    pub instance: String,
    /// The run's number there.
    pub run: u64,
    /// The key as it came.
    pub key: String,
    /// The caller as it came.
    pub caller: String,
    /// The path as it came.
    pub path: String,
    /// The request's body.
    pub echo: String,
}

/// A directory's answer to a caller.
#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    /// Addresses in the order to try them.
    pub addresses: Vec<Named>,
    /// How long they may be kept.
    pub max_age_ms: u64,
}

/// One address of a route.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Named {
    /// Where to connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// Makes requests, each on a connection of its own.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// A caller.
    #[must_use]
    pub fn new() -> Self {
        // Callers come and go; a kept connection would hide a gateway that refuses new ones.
        let client = Client::builder().pool_max_idle_per_host(0).build();
        Self {
            client: client.unwrap_or_default(),
        }
    }

    /// What the directory at `address` tells callers of `service`.
    pub async fn route(&self, address: SocketAddr, service: &str) -> Option<Route> {
        let url = format!("http://{address}/v1/route?service={service}");
        let answer = self.client.get(url).send().await.ok()?;
        let status = answer.status();
        let body = answer.bytes().await.ok()?;
        status
            .is_success()
            .then(|| serde_json::from_slice(&body).ok())?
    }

    /// Sends `ask` to the gateway at `address`.
    pub async fn call(&self, address: SocketAddr, ask: &Request) -> Reply {
        let url = format!("http://{address}{}", ask.path);
        let mut request = self
            .client
            .request(ask.method.clone(), url)
            .header(header::SERVICE, ask.service)
            .header(header::CALLER, ask.caller)
            .header(header::DEADLINE, ask.deadline.as_millis().to_string())
            .body(ask.body.clone());
        if let Some(key) = &ask.key {
            request = request.header(header::IDEMPOTENCY_KEY, key);
        }
        if let Some(host) = ask.host {
            request = request.header("host", host);
        }
        if let Some(range) = &ask.range {
            request = request.header("range", range);
        }
        match request.send().await {
            Ok(answer) => read(answer).await,
            Err(err) if err.is_connect() => Reply::default(),
            Err(_) => Reply {
                end: End::Cut,
                ..Reply::default()
            },
        }
    }
}

async fn read(answer: reqwest::Response) -> Reply {
    let text = |name: &str| {
        let value = answer.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let reply = Reply {
        status: answer.status().as_u16(),
        outcome: text(header::OUTCOME).and_then(|t| t.parse().ok()),
        reason: text(header::REASON).unwrap_or_default(),
        retry_after: text("retry-after").and_then(|t| t.parse().ok()),
        ..Reply::default()
    };
    match answer.bytes().await {
        Ok(body) => Reply {
            body: String::from_utf8_lossy(&body).into_owned(),
            end: End::Whole,
            ..reply
        },
        Err(_) => Reply {
            end: End::Cut,
            ..reply
        },
    }
}

/// A new idempotency key, which tells when it was minted.
#[must_use]
pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}
