//! Load probes, sent to instances when a request needs one, and to ejected instances.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use correlate::Owner;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use hyper::body::Incoming;
use limit::Source;
use route::LoadReport;
use route::Pick;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::balancer::Balancer;
use crate::body;
use crate::body::Arriving;
use crate::body::ForwardedBody;
use crate::body::ReadBody;
use crate::core::Core;
use crate::correlation;
use crate::correlation::Exchange;
use crate::exchange;
use crate::path;
use crate::pool::Connection;
use crate::pool::Message;
use crate::send;
use crate::send::SendEnd;
use crate::view::Upstream;

/// Timeout of a probe. Covers one retransmission of a lost packet, about 200 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum time that a selection waits for probe results. Covers a new connection to another
/// failure domain with a probe that takes 6 ms, 14 ms together, and some delay on a busy link;
/// without them the selection would rest on outdated reports.
const MAX_WAIT: Duration = Duration::from_millis(25);

/// Stands for a request's id in the log.
const PROBE_CAUSE: &str = "probe";
/// Interval at which ejected instances are probed and the balancers' timers run.
const EJECTED_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Probes ejected instances that are due, and runs the balancers' timers. Without the probes,
/// an instance that was unreachable would wait half a minute for a trial. Never returns.
pub async fn probe_ejected(core: Arc<Core>) {
    loop {
        tokio::time::sleep(EJECTED_PROBE_INTERVAL).await;
        core.balancers(Balancer::tick);
        core.expire_limits();
        for (service, due) in core.balancers(Balancer::plan_ejected_probes) {
            if !due.is_empty() {
                probe_instances(&core, &service, due).await;
            }
        }
    }
}

/// Probes the instances concurrently, and returns once all have answered or `MAX_WAIT` has
/// passed. Later results count for later selections.
pub async fn probe_instances(
    core: &Arc<Core>,
    service: &ServiceName,
    instances: Vec<(Pick, Arc<Upstream>)>,
) {
    let (sender, mut receiver) = mpsc::channel(instances.len().max(1));
    let mut pending = instances.len();
    for (pick, upstream) in instances {
        let core = Arc::clone(core);
        let service = service.clone();
        let sender = sender.clone();
        tokio::spawn(async move {
            run_probe(&core, &service, pick, &upstream).await;
            // The receiver is gone once the selection no longer waits.
            let _ = sender.try_send(());
        });
    }
    drop(sender);
    let all = async {
        while pending > 0 && receiver.recv().await.is_some() {
            pending -= 1;
        }
    };
    // The selection does without results that arrive later.
    let _ = tokio::time::timeout(MAX_WAIT, all).await;
}

/// Probes one instance. The probe goes on if the caller no longer waits for the report.
pub async fn probe_instance(
    core: &Arc<Core>,
    pick: Pick,
    upstream: &Arc<Upstream>,
) -> Option<LoadReport> {
    let (core, upstream) = (Arc::clone(core), Arc::clone(upstream));
    let probe =
        tokio::spawn(async move { run_probe(&core, &upstream.service, pick, &upstream).await });
    probe.await.ok().flatten()
}

/// Sends one probe and records its result.
async fn run_probe(
    core: &Arc<Core>,
    service: &ServiceName,
    pick: Pick,
    upstream: &Arc<Upstream>,
) -> Option<LoadReport> {
    let probe = tokio::time::timeout(PROBE_TIMEOUT, probe(core, upstream));
    let report = match probe.await {
        Ok(ProbeResult::Load(report, cold)) => {
            if let Some(remaining) = cold {
                core.balancer(service, |balancer, now| {
                    balancer.record_cold(now, pick, remaining);
                });
            }
            Some(report)
        }
        Ok(ProbeResult::OtherInstance) => {
            info!(core.log, "address taken over"; "instance" => %upstream.id,
                "service" => %service, "address" => %upstream.address);
            core.balancer(service, |balancer, _| balancer.record_displaced(pick));
            None
        }
        Ok(ProbeResult::Failed) => None,
        Err(_) => {
            path::record_unreachable(core, upstream);
            None
        }
    };
    core.counters.probe(service, report.is_some());
    core.balancer(service, |balancer, now| {
        balancer.record_probe(now, pick, report);
    });
    report
}

/// Result of a probe.
enum ProbeResult {
    /// The instance's load, and how much longer it is cold, if reported.
    Load(LoadReport, Option<Duration>),
    /// Another instance has the address.
    OtherInstance,
    /// No response, or not one of a healthy instance.
    Failed,
}

async fn probe(core: &Arc<Core>, upstream: &Arc<Upstream>) -> ProbeResult {
    let sent_at = Instant::now();
    let Some((response, mut connection)) = send_probe(core, upstream).await else {
        return ProbeResult::Failed;
    };
    if !is_own_response(core, upstream, &response, &mut connection) {
        // Its connection is closed, as the probe's own response may follow.
        upstream.pool.discard_open();
        return ProbeResult::Failed;
    }
    let (parts, incoming) = response.into_parts();
    let charge = core.clients.unconnected().charge();
    let body = body::read_response(Arriving::response(incoming), charge).await;
    let mut ids = parts.headers.get_all(&core.dialect.instance).iter();
    let is_expected = ids.all(|id| id.as_bytes() == upstream.id.as_str().as_bytes());
    if parts.status == StatusCode::MISDIRECTED_REQUEST || !is_expected {
        return ProbeResult::OtherInstance;
    }
    if parts.status != StatusCode::OK {
        return ProbeResult::Failed;
    }
    if !matches!(body, Ok(ReadBody::Whole(_))) {
        return ProbeResult::Failed;
    }
    exchange::release_connection(&upstream.pool, connection, &parts.headers);
    core.record_limit(upstream, &parts.headers, sent_at, Source::Probe);
    let cold = parts.headers.get(&core.dialect.cold);
    let cold = cold.and_then(|value| (core.dialect.read_cold)(value.to_str().ok()?));
    let report = exchange::load_report(core, &parts.headers);
    report.map_or(ProbeResult::Failed, |report| {
        ProbeResult::Load(report, cold)
    })
}

/// Whether the response names no request, as the response to a probe does. Any other response
/// is logged and counted.
fn is_own_response(
    core: &Core,
    upstream: &Upstream,
    response: &Response<Incoming>,
    connection: &mut Connection,
) -> bool {
    let exchange = Exchange {
        request: PROBE_CAUSE,
        instance: upstream.id.as_str(),
        peer: None,
        service: &upstream.service,
        usage: connection.record_use(Message::Probe),
    };
    let (status, headers) = (response.status(), response.headers());
    let owner = correlation::owner(core, &[], headers);
    if owner == Owner::Other {
        correlation::record_foreign(core, &exchange, owner, status, headers);
    }
    owner != Owner::Other
}

/// Sends a probe.
async fn send_probe(
    core: &Arc<Core>,
    upstream: &Arc<Upstream>,
) -> Option<(Response<Incoming>, Connection)> {
    let path = core.health_path(&upstream.service)?;
    let request = build_request(core, upstream, &path)?;
    match send::send(core, upstream, request, PROBE_CAUSE, || {}).await {
        SendEnd::Response(response, connection) => Some((response, connection)),
        SendEnd::Withheld | SendEnd::Unsent | SendEnd::Broken => None,
    }
}

fn build_request(core: &Core, upstream: &Upstream, path: &Uri) -> Option<Request<ForwardedBody>> {
    let mut request = Request::new(ForwardedBody::Whole(None));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = path.clone();
    let headers = request.headers_mut();
    let host = HeaderValue::from_str(&upstream.address.to_string()).ok()?;
    headers.insert(header::HOST, host);
    let expected = HeaderValue::from_str(upstream.id.as_str()).ok()?;
    headers.insert(&core.dialect.expected, expected);
    Some(request)
}
