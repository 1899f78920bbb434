//! The HTTP API for upstreams and callers.

use std::sync::Arc;

use announce::Reason;
use announce::Refusal;
use announce::endpoint;
use bounds::acceptor::TrackRequests;
use cadence::Counted;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Service;
use salvo::catcher::Catcher;
use salvo::http::HeaderValue;
use salvo::http::header;
use serde::Serialize;

use crate::lease;
use crate::metrics;
use crate::route;
use crate::shared::Shared;

/// The HTTP routes of a directory.
#[must_use]
pub fn service(shared: &Arc<Shared>) -> Service {
    let announce = Router::with_path("v1/announce").post(Announce(shared.clone()));
    let route = Router::with_path("v1/route").get(Route(shared.clone()));
    let ready = Router::with_path("v1/ready").get(Ready(shared.clone()));
    let router = Router::new().push(announce).push(route).push(ready);
    Service::new(router)
        .hoop(TrackRequests(shared.clients.clone()))
        .catcher(Catcher::new(endpoint::RefusalCatcher))
}

struct Announce(Arc<Shared>);

#[salvo::async_trait]
impl Handler for Announce {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let result = endpoint::receive(req, depot).await;
        let result = result.and_then(|instance| lease::announce(&self.0, instance));
        count_request(&self.0, metrics::ANNOUNCE, result.as_ref().err());
        endpoint::render(res, result);
    }
}

struct Route(Arc<Shared>);

#[salvo::async_trait]
impl Handler for Route {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let result = match service_param(req) {
            Some(service) => route::route(&self.0, &service, rand::random()),
            None => Err(Refusal::new(
                Reason::Query,
                "the query must have exactly one `service`",
            )),
        };
        count_request(&self.0, metrics::ROUTE, result.as_ref().err());
        if let Ok(route) = &result {
            let cache_control = format!("max-age={}", route.max_age_ms / 1000);
            if let Ok(cache_control) = HeaderValue::from_str(&cache_control) {
                res.headers_mut()
                    .insert(header::CACHE_CONTROL, cache_control);
            }
        }
        endpoint::render(res, result);
    }
}

/// The `service` parameter of the query; `None` unless there is exactly one.
fn service_param(req: &mut Request) -> Option<String> {
    let services = req.queries().get_vec("service")?;
    let [service] = services.as_slice() else {
        return None;
    };
    Some(service.clone())
}

struct Ready(Arc<Shared>);

/// Response of `GET /v1/ready` when the directory is ready.
#[derive(Serialize)]
struct ReadyReply {
    version: u64,
    confirmed_age_ms: u32,
}

#[salvo::async_trait]
impl Handler for Ready {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        endpoint::render(res, ready(&self.0));
    }
}

fn ready(shared: &Shared) -> Result<ReadyReply, Refusal> {
    if shared.stop.is_cancelled() {
        return Err(Refusal::new(Reason::Stopping, "the directory is stopping"));
    }
    shared.step(|inner, now| {
        let current = inner.freshness.is_current(now);
        let age = inner.freshness.age(now).filter(|_| current);
        let detail = "no catalogue was confirmed by a quorum within the lease";
        let age = age.ok_or_else(|| Refusal::new(Reason::NotReady, detail))?;
        Ok(ReadyReply {
            version: inner.version(),
            confirmed_age_ms: crate::convert::millis(age),
        })
    })
}

fn count_request(shared: &Shared, name: &'static str, refusal: Option<&Refusal>) {
    let result: &'static str = refusal.map_or("ok", |r| r.reason.into());
    let metric = shared.metrics.count_with_tags(name, 1);
    metric.with_tag("result", result).send();
}
