//! The two users' callers, and a log of their calls.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use testutils::Caller;
use testutils::Reply;
use testutils::Request;
use testutils::caller::Delivery;
use testutils::new_key;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

/// What one caller calls, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workload {
    /// The service that is called.
    pub service: &'static str,
    /// Class of the service, which determines the kind of request.
    pub class: Class,
    /// Name of the caller.
    pub caller: &'static str,
    /// Pause between two calls.
    pub pause: Duration,
}

/// One call and the caller's view of its result.
#[derive(Clone, Debug)]
pub struct Record {
    /// The workload that the call belongs to.
    pub workload: Workload,
    /// The request that was sent.
    pub request: Request,
    /// The gateway that was called last; `None` if no directory returned one.
    pub gateway: Option<SocketAddr>,
    /// The reply to the caller.
    pub reply: Reply,
    /// When the call started.
    pub started_at: Instant,
    /// Time from the start of the call to its reply.
    pub latency: Duration,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reply = &self.reply;
        write!(
            f,
            "call service={} path={}",
            self.request.service, self.request.path
        )?;
        if let Some(key) = &self.request.key {
            write!(f, " key={key}")?;
        }
        if let Some(gateway) = self.gateway {
            write!(f, " gateway={gateway}")?;
        }
        match (reply.delivery, reply.outcome) {
            (Delivery::NotSent, _) => write!(f, " got=no-connection")?,
            (Delivery::Truncated, _) => write!(f, " got=cut status={}", reply.status)?,
            (Delivery::Complete, Some(outcome)) => write!(
                f,
                " got={outcome} status={} reason={}",
                reply.status, reply.reason
            )?,
            (Delivery::Complete, None) => write!(f, " got=answer status={}", reply.status)?,
        }
        if let Some(seconds) = reply.retry_after {
            write!(f, " retry_after={seconds}")?;
        }
        if let Some(receipt) = reply.receipt() {
            write!(f, " upstream={} run={}", receipt.instance, receipt.run)?;
        }
        write!(f, " ms={:.1}", self.latency.as_secs_f64() * 1_000.0)
    }
}

/// A shared log of calls.
#[derive(Clone, Default)]
pub struct CallLog(Arc<Mutex<Vec<Record>>>);

impl CallLog {
    /// Adds a call.
    pub fn add(&self, record: Record) {
        self.list().push(record);
    }

    /// Adds calls.
    pub fn add_all(&self, records: Vec<Record>) {
        self.list().extend(records);
    }

    /// A copy of all calls.
    #[must_use]
    pub fn all(&self) -> Vec<Record> {
        self.list().clone()
    }

    fn list(&self) -> MutexGuard<'_, Vec<Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller that caches a directory's answer for as long as the answer allows.
pub struct Client {
    caller: Caller,
    directories: Vec<SocketAddr>,
    cached: Vec<SocketAddr>,
    expires_at: Instant,
}

impl Client {
    /// Creates a caller that asks `directories` in this order.
    #[must_use]
    pub fn new(directories: Vec<SocketAddr>) -> Self {
        Self {
            caller: Caller::new(),
            directories,
            cached: vec![],
            expires_at: Instant::now(),
        }
    }

    /// Makes one call to the addresses that a directory returned.
    ///
    /// The next address is tried only if no connection could be established.
    pub async fn call(&mut self, workload: Workload, request: Request) -> Record {
        let started_at = Instant::now();
        self.refresh_route(request.service).await;
        let mut gateway = None;
        let mut reply = Reply::default();
        for address in &self.cached {
            gateway = Some(*address);
            reply = self.caller.call(*address, &request).await;
            if reply.delivery != Delivery::NotSent {
                break;
            }
        }
        Record {
            workload,
            request,
            gateway,
            reply,
            started_at,
            latency: started_at.elapsed(),
        }
    }

    async fn refresh_route(&mut self, service: &str) {
        let now = Instant::now();
        if now < self.expires_at && !self.cached.is_empty() {
            return;
        }
        for directory in &self.directories {
            if let Some(route) = self.caller.route(*directory, service).await {
                self.cached = route.addresses.iter().map(|a| a.address).collect();
                self.expires_at = now + Duration::from_millis(route.max_age_ms);
                return;
            }
        }
    }
}

/// Creates request `number` of `workload`, different from every other one.
#[must_use]
pub fn request(workload: Workload, number: usize) -> Request {
    let body = format!("{} asks {number}", workload.caller);
    let path = match workload.class {
        Class::Deferred => format!("/archive/{number}"),
        _ => format!("/blocks/{number}"),
    };
    let request = match workload.class {
        Class::Urgent | Class::Deferred => Request::get(workload.service, &path),
        Class::Once => Request::post(workload.service, &path, &body).keyed(&new_key()),
        Class::Durable => Request::post(workload.service, &path, &body),
    };
    Request {
        caller: workload.caller,
        ..request
    }
}

/// Makes one call to `gateway` without asking a directory.
pub async fn call_at(gateway: SocketAddr, workload: Workload, request: Request) -> Record {
    let started_at = Instant::now();
    let reply = Caller::new().call(gateway, &request).await;
    Record {
        workload,
        request,
        gateway: Some(gateway),
        reply,
        started_at,
        latency: started_at.elapsed(),
    }
}

/// Makes calls in a loop until `stop` is true.
pub async fn run(
    mut client: Client,
    workload: Workload,
    call_log: CallLog,
    stop: watch::Receiver<bool>,
) {
    let mut number = 0;
    while !*stop.borrow() {
        let request = request(workload, number);
        let record = client.call(workload, request).await;
        // A refused caller retries after the time that the reply gives.
        let retry_delay = record.reply.retry_after.map(Duration::from_secs);
        call_log.add(record);
        number += 1;
        sleep(retry_delay.unwrap_or(workload.pause)).await;
    }
}
