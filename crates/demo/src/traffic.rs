//! The two users' callers: what each asks, and what each got.

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
use testutils::caller::End;
use testutils::new_key;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

/// One caller's kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// The service it calls.
    pub service: &'static str,
    /// Its class, which says how the caller asks.
    pub class: Class,
    /// Who calls.
    pub caller: &'static str,
    /// Pause between two calls.
    pub pause: Duration,
}

/// One call and what the caller got.
#[derive(Clone, Debug)]
pub struct Record {
    /// The kind of work.
    pub shape: Shape,
    /// What was asked.
    pub ask: Request,
    /// The entry host that was called, none when no directory named one.
    pub gateway: Option<SocketAddr>,
    /// What the caller got.
    pub reply: Reply,
    /// When it began.
    pub begin: Instant,
    /// How long it took.
    pub took: Duration,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reply = &self.reply;
        write!(
            f,
            "call service={} path={}",
            self.ask.service, self.ask.path
        )?;
        if let Some(key) = &self.ask.key {
            write!(f, " key={key}")?;
        }
        if let Some(gateway) = self.gateway {
            write!(f, " gateway={gateway}")?;
        }
        match (reply.end, reply.outcome) {
            (End::Unsent, _) => write!(f, " got=no-connection")?,
            (End::Cut, _) => write!(f, " got=cut status={}", reply.status)?,
            (End::Whole, Some(outcome)) => write!(
                f,
                " got={outcome} status={} reason={}",
                reply.status, reply.reason
            )?,
            (End::Whole, None) => write!(f, " got=answer status={}", reply.status)?,
        }
        if let Some(seconds) = reply.retry_after {
            write!(f, " retry_after={seconds}")?;
        }
        if let Some(receipt) = reply.receipt() {
            write!(f, " upstream={} run={}", receipt.instance, receipt.run)?;
        }
        write!(f, " ms={:.1}", self.took.as_secs_f64() * 1_000.0)
    }
}

/// All calls of a trial.
#[derive(Clone, Default)]
pub struct Book(Arc<Mutex<Vec<Record>>>);

impl Book {
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

/// A caller who keeps the directory's answer for as long as it may.
pub struct Client {
    caller: Caller,
    directories: Vec<SocketAddr>,
    kept: Vec<SocketAddr>,
    until: Instant,
}

impl Client {
    /// A caller who asks `directories` in this order.
    #[must_use]
    pub fn new(directories: Vec<SocketAddr>) -> Self {
        Self {
            caller: Caller::new(),
            directories,
            kept: vec![],
            until: Instant::now(),
        }
    }

    /// Makes one call by the addresses that a directory named.
    ///
    /// The next address is tried only when no connection came about.
    pub async fn call(&mut self, shape: Shape, ask: Request) -> Record {
        let begin = Instant::now();
        self.find(ask.service).await;
        let mut gateway = None;
        let mut reply = Reply::default();
        for address in &self.kept {
            gateway = Some(*address);
            reply = self.caller.call(*address, &ask).await;
            if reply.end != End::Unsent {
                break;
            }
        }
        Record {
            shape,
            ask,
            gateway,
            reply,
            begin,
            took: begin.elapsed(),
        }
    }

    async fn find(&mut self, service: &str) {
        let now = Instant::now();
        if now < self.until && !self.kept.is_empty() {
            return;
        }
        for directory in &self.directories {
            if let Some(route) = self.caller.route(*directory, service).await {
                self.kept = route.addresses.iter().map(|a| a.address).collect();
                self.until = now + Duration::from_millis(route.max_age_ms);
                return;
            }
        }
    }
}

/// The request number `number` of a caller of `shape`, different from every other.
#[must_use]
pub fn ask(shape: Shape, number: usize) -> Request {
    let body = format!("{} asks {number}", shape.caller);
    let path = match shape.class {
        Class::Deferred => format!("/archive/{number}"),
        _ => format!("/blocks/{number}"),
    };
    let ask = match shape.class {
        Class::Urgent | Class::Deferred => Request::get(shape.service, &path),
        Class::Once => Request::post(shape.service, &path, &body).keyed(&new_key()),
        Class::Durable => Request::post(shape.service, &path, &body),
    };
    Request {
        caller: shape.caller,
        ..ask
    }
}

/// Makes one call to `gateway`, whatever the directories say.
pub async fn call_at(gateway: SocketAddr, shape: Shape, ask: Request) -> Record {
    let begin = Instant::now();
    let reply = Caller::new().call(gateway, &ask).await;
    Record {
        shape,
        ask,
        gateway: Some(gateway),
        reply,
        begin,
        took: begin.elapsed(),
    }
}

/// Calls again and again until `stop` is true.
pub async fn run(mut client: Client, shape: Shape, book: Book, stop: watch::Receiver<bool>) {
    let mut number = 0;
    while !*stop.borrow() {
        let ask = ask(shape, number);
        let record = client.call(shape, ask).await;
        // Whoever is told when to come back comes back then.
        let told = record.reply.retry_after.map(Duration::from_secs);
        book.add(record);
        number += 1;
        sleep(told.unwrap_or(shape.pause)).await;
    }
}
