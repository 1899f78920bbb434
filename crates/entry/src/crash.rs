//! Whether an attempt that broke off ended together with its instance.
//!
//! A connection ends for many reasons: the path resets it, the instance is full or leaves.
//! Only an instance that takes no new connection right after it has crashed.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use quarantine::Crash;
use quarantine::Fingerprint;
use quarantine::Head;
use quarantine::InstanceRun;
use slog::info;
use strum::IntoStaticStr;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::body::Content;
use crate::core::Core;
use crate::pool::ConnectError;
use crate::view::Upstream;

/// How long an instance that takes a connection may still be ending.
const SETTLE: Duration = Duration::from_millis(100);
/// Longest wait for a hub's answer.
const TOLD: Duration = Duration::from_secs(1);

/// A request, as it is told from others.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The caller's name for it.
    pub id: HeaderValue,
    /// Who sent it: a name or an address.
    pub caller: Arc<str>,
    /// All but its body.
    pub head: Head,
    /// Its body.
    pub content: Content,
}

impl Subject {
    /// Notes that an instance has answered it.
    pub fn record_success(&self, core: &Core) {
        if let Some(request) = self.content.known_fingerprint(self.head) {
            core.record_success(request);
        }
    }
}

/// An attempt that ended without a whole answer.
#[derive(Clone, Debug)]
pub struct Broken {
    /// The request.
    pub subject: Subject,
    /// Where it was sent.
    pub upstream: Arc<Upstream>,
    /// When.
    pub sent: Instant,
    /// When it broke off.
    pub at: Instant,
}

/// What became of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Fate {
    /// It runs on, or another one has its address.
    Runs,
    /// It had said that it leaves.
    Leaves,
    /// Its host refuses connections: it crashed.
    Crashed,
    /// Nothing is known, as its host doesn't answer.
    Silent,
}

/// A look under way.
#[derive(Debug)]
pub struct Look {
    /// Ends once there is nothing to wait for before the request is sent again: the hubs have
    /// answered, or the instance seems to run.
    pub word: oneshot::Receiver<()>,
    /// What became of the instance.
    pub fate: JoinHandle<Fate>,
}

/// Looks what became of the instance, beside whatever the request does next.
pub fn look(core: &Arc<Core>, broken: Broken) -> Look {
    let core = Arc::clone(core);
    let (tell, word) = oneshot::channel();
    let fate = tokio::spawn(async move { judge(&core, &broken, tell).await });
    Look { word, fate }
}

/// Drops `tell` as soon as there is nothing to wait for.
async fn judge(core: &Core, broken: &Broken, tell: oneshot::Sender<()>) -> Fate {
    let mut tell = Some(tell);
    let Broken {
        subject, upstream, ..
    } = broken;
    let print = subject.content.fingerprint(subject.head);
    let (fate, print) = tokio::join!(fate(core, upstream, &mut tell), print);
    let word: &'static str = fate.into();
    info!(core.log, "attempt broke off"; "request" => subject.id.to_str().unwrap_or("-"),
        "fingerprint" => print.map_or_else(|| "-".to_owned(), |print| print.to_string()),
        "caller" => &*subject.caller, "instance" => %upstream.id,
        "incarnation" => upstream.incarnation, "service" => %upstream.service, "fate" => word,
        "ms" => u64::try_from((broken.at - broken.sent).as_millis()).unwrap_or(u64::MAX));
    core.counters.broken(&upstream.service, word);
    if let (Fate::Crashed, Some(request)) = (fate, print) {
        report(core, broken, request).await;
    }
    fate
}

/// Tells the hubs, and waits until one of them has said what it knows.
async fn report(core: &Core, broken: &Broken, request: Fingerprint) {
    let upstream = &broken.upstream;
    let number = core.record_crash(Crash {
        request,
        service: upstream.service.clone(),
        run: InstanceRun {
            instance: upstream.id.clone(),
            incarnation: upstream.incarnation,
        },
        at: core.clock.now().before(broken.at.elapsed()),
        answered: false,
    });
    let mut reported = core.reported.subscribe();
    // The sender lives as long as the process; no answer is as good as one that knows nothing.
    let _ = tokio::time::timeout(TOLD, reported.wait_for(|told| *told >= number)).await;
}

async fn fate(core: &Core, upstream: &Upstream, tell: &mut Option<oneshot::Sender<()>>) -> Fate {
    if !core.is_ready_instance(upstream) {
        return Fate::Leaves;
    }
    let connection = match upstream.pool.connect().await {
        Ok(connection) => connection,
        Err(err) => return failed(&err),
    };
    *tell = None;
    // A process that ends closes what it has in any order, and a connection that still came
    // about ends with it.
    tokio::time::sleep(SETTLE).await;
    if !connection.sender.is_closed() {
        upstream.pool.keep(connection, None);
        return Fate::Runs;
    }
    match upstream.pool.connect().await {
        Ok(_) => Fate::Runs,
        Err(err) => failed(&err),
    }
}

fn failed(err: &ConnectError) -> Fate {
    match err {
        ConnectError::Io(err) if err.kind() == io::ErrorKind::ConnectionRefused => Fate::Crashed,
        _ => Fate::Silent,
    }
}
