//! Requests that crash instances: identifies requests, refuses those that are quarantined, and
//! checks instances after attempts that broke off.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use backoff::Backoff;
use crash::BrokenAttempt;
use crash::CrashCheck;
use crash::Fate;
use crash::check;
use crash::report::Source;
use quarantine::Fingerprint;
use quarantine::Head;
use quarantine::Outcome as Decision;
use slog::Logger;
use slog::info;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;
use wire::directory::Phase;
use wire::hub::Report;
use wire::hub::Suspects;

use crate::attempt_guard::EndedAttempt;
use crate::core::Core;
use crate::counters::add;
use crate::instance_clients::CONNECT_TIMEOUT;
use crate::request_head::RequestHead;
use crate::view::UpstreamInstance;

/// Log key of a directory's address.
pub const DIRECTORY_KEY: &str = "directory";

/// What identifies a request in crash reports.
#[derive(Clone, Debug)]
pub struct RequestIdentity {
    /// Request id.
    pub id: Arc<str>,
    /// The caller's name or address.
    pub caller: Arc<str>,
    /// The request, under any id and idempotency key.
    pub fingerprint: Fingerprint,
}

impl RequestIdentity {
    /// Identifies a request from `address`. `target` is path and query, `body` the part of the body
    /// that enters the fingerprint.
    #[must_use]
    pub fn new(
        head: &RequestHead,
        address: Option<IpAddr>,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let caller: Arc<str> = match (&head.caller, address) {
            (Some(name), _) => name.as_str().into(),
            (None, Some(address)) => address.to_string().into(),
            (None, None) => "-".into(),
        };
        let request = Head::new(&caller, method, head.service.name.as_str(), target);
        Self {
            id: head.id.clone(),
            fingerprint: Fingerprint::new(request, [body]),
            caller,
        }
    }
}

impl Core {
    /// The remaining time of the request's quarantine, if it is quarantined.
    #[must_use]
    pub fn check_quarantine(&self, request: &RequestIdentity) -> Option<Duration> {
        let remaining = self.guard.remaining(request.fingerprint)?;
        info!(self.log, "quarantined"; "request" => &*request.id,
            "fingerprint" => %request.fingerprint,
            "left_ms" => u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX));
        Some(remaining)
    }

    /// Checks whether an attempt broke off because its instance crashed.
    pub fn check_crash(
        self: &Arc<Self>,
        request: &RequestIdentity,
        attempt: EndedAttempt,
    ) -> CrashCheck {
        let broken = BrokenAttempt {
            request: request.id.clone(),
            caller: request.caller.clone(),
            service: attempt.upstream.service.clone(),
            run: attempt.upstream.run(),
            sent_at: attempt.sent_at,
            broken_at: Instant::now(),
        };
        let instance = CheckedInstance {
            core: self.clone(),
            upstream: attempt.upstream,
            _connection: attempt.connection,
        };
        let fingerprint = std::future::ready(Some(request.fingerprint));
        check::check(self.guard.clone(), instance, broken, fingerprint)
    }

    /// Applies the suspects that the directory at `directory` reported.
    pub fn apply_suspects(&self, directory: SocketAddr, suspects: &Suspects) {
        let refused = self.guard.apply_suspects(directory, suspects);
        let refused = u64::try_from(refused).unwrap_or(u64::MAX);
        add(&self.counters.quarantined, refused);
    }
}

impl Source for Core {
    type Cursor = u64;

    fn log(&self) -> &Logger {
        &self.log
    }

    fn changes(&self) -> Vec<watch::Receiver<u64>> {
        vec![self.guard.newest_event().subscribe()]
    }

    fn report(&self, acknowledged: u64, new: bool) -> (Report, u64) {
        let mut report = Report {
            host: self.settings.host.to_string(),
            ..Report::default()
        };
        let newest = self.guard.add_to_report(&mut report, acknowledged, new);
        (report, newest)
    }

    fn record_reply(&self, directory: SocketAddr, received: u64, suspects: &Suspects) {
        self.apply_suspects(directory, suspects);
        self.guard.acknowledge(received);
    }
}

/// The instance of an attempt that broke off.
struct CheckedInstance {
    core: Arc<Core>,
    upstream: Arc<UpstreamInstance>,
    // The attempt's share of the instance's connections, used for those of the check.
    _connection: OwnedSemaphorePermit,
}

impl crash::Instance for CheckedInstance {
    type Connection = TcpStream;

    fn is_ready(&self) -> bool {
        let view = self.core.view();
        let current = view.instance(&self.upstream.service, &self.upstream.id);
        let is_ready = current.is_some_and(|current| {
            current.phase == Phase::Ready && current.incarnation == self.upstream.incarnation
        });
        let balancer = self.core.balancers.get(&self.upstream.service);
        let now = self.core.clock.now();
        let backoff = balancer.and_then(|balancer| balancer.backoff(now, &self.upstream.run()));
        is_ready && backoff != Some(Backoff::Leaving)
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let connecting = TcpStream::connect(self.upstream.address);
        timeout(CONNECT_TIMEOUT, connecting).await?
    }

    async fn reaches_others(&self) -> bool {
        let is_other = |other: &Arc<UpstreamInstance>| other.id != self.upstream.id;
        reach::check::reaches_others(&*self.core, &self.upstream.service, is_other).await
    }

    // Unexpected bytes don't show that the connection will be closed.
    fn is_closed(&self, connection: &TcpStream) -> bool {
        match connection.try_read(&mut [0]) {
            Ok(read) => read == 0,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }

    // The HTTP client opens its connections itself.
    fn keep(&self, _: TcpStream) {}

    fn record(&self, fate: Fate, decision: Option<Decision>) {
        self.core.counters.broken(fate);
        if let Some(Decision::Refused { .. }) = decision {
            add(&self.core.counters.quarantined, 1);
        }
    }
}
