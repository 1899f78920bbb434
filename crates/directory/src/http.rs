//! The HTTP side, for upstreams and callers.

use std::sync::Arc;
use std::time::Duration;

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
use salvo::http::ParseError;
use salvo::http::StatusCode;
use salvo::http::header;
use salvo::writing::Json;
use serde::Serialize;
use tokio::time::timeout;

use crate::announce;
use crate::answer;
use crate::names;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// Longest wait for a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// The routes of a directory.
#[must_use]
pub fn service(shared: &Arc<Shared>) -> Service {
    let announce = Router::with_path("v1/announce").post(Announce(shared.clone()));
    let route = Router::with_path("v1/route").get(Route(shared.clone()));
    let ready = Router::with_path("v1/ready").get(Ready(shared.clone()));
    let router = Router::new().push(announce).push(route).push(ready);
    Service::new(router).catcher(Catcher::new(Caught))
}

struct Announce(Arc<Shared>);

#[salvo::async_trait]
impl Handler for Announce {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let result = read_announcement(req).await;
        let result = result.and_then(|instance| announce::take(&self.0, instance));
        count(&self.0, names::ANNOUNCE, result.as_ref().err());
        render(res, result);
    }
}

async fn read_announcement(req: &mut Request) -> Result<members::Instance, Refusal> {
    let body = timeout(BODY_TIMEOUT, req.payload_with_max_size(announce::MAX_BODY)).await;
    let body = body.map_err(|_| {
        let detail = format!("the body took over {BODY_TIMEOUT:?}");
        Refusal::new(Reason::Slow, detail)
    })?;
    let body = body.map_err(|err| match err {
        ParseError::PayloadTooLarge => {
            let detail = format!("the body has over {} bytes", announce::MAX_BODY);
            Refusal::new(Reason::Large, detail)
        }
        err => Refusal::new(Reason::Other, err.to_string()),
    })?;
    announce::read(body)
}

struct Route(Arc<Shared>);

#[salvo::async_trait]
impl Handler for Route {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let result = match asked(req) {
            Some(service) => answer::route(&self.0, &service, rand::random()),
            None => Err(Refusal::new(
                Reason::Query,
                "exactly one `service` is asked for",
            )),
        };
        count(&self.0, names::ROUTE, result.as_ref().err());
        if let Ok(route) = &result {
            let keep = format!("max-age={}", route.max_age_ms / 1000);
            if let Ok(keep) = HeaderValue::from_str(&keep) {
                res.headers_mut().insert(header::CACHE_CONTROL, keep);
            }
        }
        render(res, result);
    }
}

/// The one service that the query names.
fn asked(req: &mut Request) -> Option<String> {
    let services = req.queries().get_vec("service")?;
    let [service] = services.as_slice() else {
        return None;
    };
    Some(service.clone())
}

struct Ready(Arc<Shared>);

/// What `GET /v1/ready` says when it is.
#[derive(Serialize)]
struct State {
    version: u64,
    confirmed_age_ms: u32,
}

#[salvo::async_trait]
impl Handler for Ready {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        render(res, ready(&self.0));
    }
}

fn ready(shared: &Shared) -> Result<State, Refusal> {
    if shared.stop.is_cancelled() {
        return Err(Refusal::new(Reason::Stopping, "the directory stops"));
    }
    shared.step(|inner, now| {
        let current = inner.standing.is_current(now);
        let age = inner.standing.age(now).filter(|_| current);
        let detail = "no catalogue was confirmed by a quorum lately";
        let age = age.ok_or_else(|| Refusal::new(Reason::NotReady, detail))?;
        Ok(State {
            version: inner.version(),
            confirmed_age_ms: crate::convert::millis(age),
        })
    })
}

/// Gives the answers that no route gave the form of a refusal.
struct Caught;

#[salvo::async_trait]
impl Handler for Caught {
    async fn handle(
        &self,
        req: &mut Request,
        _: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        if !res.body.is_none() {
            return;
        }
        let refusal = match res.status_code {
            Some(StatusCode::NOT_FOUND) => {
                Refusal::new(Reason::Path, format!("no path {}", req.uri().path()))
            }
            Some(StatusCode::METHOD_NOT_ALLOWED) => {
                let detail = format!("{} isn't taken here", req.method());
                Refusal::new(Reason::Method, detail)
            }
            _ => return,
        };
        refusal.render(res);
        ctrl.skip_rest();
    }
}

fn render<T: Serialize + Send>(res: &mut Response, result: Result<T, Refusal>) {
    match result {
        Ok(value) => res.render(Json(value)),
        Err(refusal) => refusal.render(res),
    }
}

fn count(shared: &Shared, name: &'static str, refusal: Option<&Refusal>) {
    let result: &'static str = refusal.map_or("ok", |r| r.reason.into());
    let metric = shared.metrics.count_with_tags(name, 1);
    metric.with_tag("result", result).send();
}
