//! Asks instances for their load, at the moment of a choice.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use hyper::body::Incoming;
use route::LoadReport;
use route::Pick;
use slog::info;
use tokio::sync::mpsc;

use crate::body;
use crate::body::Outgoing;
use crate::body::Read;
use crate::core::Core;
use crate::desk::Desk;
use crate::exchange;
use crate::pool::Connection;
use crate::view::Upstream;

/// After so long a probe has failed; an instance that is well answers at once,
/// and a lost packet is sent again after some 200 ms.
const TIMEOUT: Duration = Duration::from_millis(450);
/// A choice waits so long for answers: a new connection to another failure domain
/// and the probe take 14 ms where a probe costs 6 ms, and a link may be busy. A choice
/// that doesn't wait for them rests on an old report.
const PATIENCE: Duration = Duration::from_millis(25);

/// Between two looks for ejected instances whose time is over, and for what time brings
/// to desks.
const LOOK: Duration = Duration::from_millis(250);

/// Asks ejected instances, once their time is over, whether they are back. Without
/// this, one that was silent would wait half a minute for a trial. Never ends.
pub async fn bring_back(core: Arc<Core>) {
    loop {
        tokio::time::sleep(LOOK).await;
        core.desks(Desk::pass_time);
        for (service, due) in core.desks(Desk::plan_ejected) {
            if !due.is_empty() {
                ask(&core, &service, due).await;
            }
        }
    }
}

/// Asks the instances at once; ends when all have answered or patience has.
/// Late answers count for later choices.
pub async fn ask(core: &Arc<Core>, service: &ServiceName, asked: Vec<(Pick, Arc<Upstream>)>) {
    let (done, mut answers) = mpsc::channel(asked.len().max(1));
    let mut open = asked.len();
    for (pick, upstream) in asked {
        let core = Arc::clone(core);
        let service = service.clone();
        let done = done.clone();
        tokio::spawn(async move {
            let probe = tokio::time::timeout(TIMEOUT, probe(&core, &upstream));
            let report = match probe.await {
                Ok(Found::Load(report, cold)) => {
                    if let Some(left) = cold {
                        core.desk(&service, |desk, now| {
                            desk.set_cold_remaining(now, pick, left);
                        });
                    }
                    Some(report)
                }
                Ok(Found::Another) => {
                    info!(core.log, "address taken over"; "instance" => %upstream.id,
                        "service" => %service, "address" => %upstream.address);
                    core.desk(&service, |desk, _| desk.displaced(pick));
                    None
                }
                Ok(Found::Nothing) | Err(_) => None,
            };
            core.counters.probe(&service, report.is_some());
            core.desk(&service, |desk, now| desk.probed(now, pick, report));
            // A choice that no longer waits has let go of its end.
            let _ = done.try_send(());
        });
    }
    drop(done);
    let all = async {
        while open > 0 && answers.recv().await.is_some() {
            open -= 1;
        }
    };
    // What has not answered by now is left out of this choice.
    let _ = tokio::time::timeout(PATIENCE, all).await;
}

/// What a probe found.
enum Found {
    /// The load that the instance tells, and how much longer it is cold where it says so.
    Load(LoadReport, Option<Duration>),
    /// Another instance.
    Another,
    /// No answer, or not that of an instance which is well.
    Nothing,
}

async fn probe(core: &Core, upstream: &Upstream) -> Found {
    let Some((response, connection)) = send(core, upstream).await else {
        return Found::Nothing;
    };
    let (parts, incoming) = response.into_parts();
    let whole = body::read(incoming).await;
    let id = parts.headers.get(&core.dialect.instance);
    let same = id.is_none_or(|id| id.as_bytes() == upstream.id.as_str().as_bytes());
    if parts.status == StatusCode::MISDIRECTED_REQUEST || !same {
        return Found::Another;
    }
    if parts.status != StatusCode::OK {
        return Found::Nothing;
    }
    if matches!(whole, Ok(Read::Whole(_))) {
        exchange::keep(upstream, connection, &parts.headers);
    }
    let cold = parts.headers.get(&core.dialect.cold);
    let cold = cold.and_then(|value| (core.dialect.read_cold)(value.to_str().ok()?));
    let load = exchange::load(core, &parts.headers);
    load.map_or(Found::Nothing, |load| Found::Load(load, cold))
}

/// The answer to a probe, on a kept connection or a new one.
async fn send(core: &Core, upstream: &Upstream) -> Option<(Response<Incoming>, Connection)> {
    let path = core.health_path(&upstream.service)?;
    loop {
        let (mut connection, fresh) = exchange::open(core, upstream).await?;
        let request = request(core, upstream, &path)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Some((response, connection)),
            Err(_) if !fresh => {}
            Err(_) => return None,
        }
    }
}

fn request(core: &Core, upstream: &Upstream, path: &Uri) -> Option<Request<Outgoing>> {
    let mut request = Request::new(Outgoing::Whole(None));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = path.clone();
    let headers = request.headers_mut();
    let host = HeaderValue::from_str(&upstream.address.to_string()).ok()?;
    headers.insert(header::HOST, host);
    let expected = HeaderValue::from_str(upstream.id.as_str()).ok()?;
    headers.insert(&core.dialect.expected, expected);
    Some(request)
}
