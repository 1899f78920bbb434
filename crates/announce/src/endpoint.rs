//! Code shared by the HTTP endpoints that take announcements.

use std::time::Duration;

use bounds::acceptor::record_received;
use members::Instance;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::ParseError;
use salvo::http::StatusCode;
use salvo::writing::Json;
use serde::Serialize;
use tokio::time::timeout;

use crate::body;
use crate::body::MAX_BODY_BYTES;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Timeout for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the announcement in the body of a request.
///
/// # Errors
///
/// Fails when the body is too large, too slow or not a valid announcement.
pub async fn receive(req: &mut Request, depot: &mut Depot) -> Result<Instance, Refusal> {
    let body = timeout(BODY_TIMEOUT, req.payload_with_max_size(MAX_BODY_BYTES)).await;
    record_received(depot);
    let body = body.map_err(|_| {
        let detail = format!("request body was not received within {BODY_TIMEOUT:?}");
        Refusal::new(Reason::Slow, detail)
    })?;
    let body = body.map_err(|err| match err {
        ParseError::PayloadTooLarge => {
            let detail = format!("request body exceeds {MAX_BODY_BYTES} bytes");
            Refusal::new(Reason::Large, detail)
        }
        err => Refusal::new(Reason::Other, err.to_string()),
    })?;
    body::parse(body)
}

/// Renders responses without a body, such as of unknown paths, as refusals.
pub struct RefusalCatcher;

#[salvo::async_trait]
impl Handler for RefusalCatcher {
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
                Refusal::new(Reason::Path, format!("no such path: {}", req.uri().path()))
            }
            Some(StatusCode::METHOD_NOT_ALLOWED) => {
                let detail = format!("method {} is not allowed for this path", req.method());
                Refusal::new(Reason::Method, detail)
            }
            _ => return,
        };
        refusal.render(res);
        ctrl.skip_rest();
    }
}

/// Renders the value or the refusal.
pub fn render<T: Serialize + Send>(res: &mut Response, result: Result<T, Refusal>) {
    match result {
        Ok(value) => res.render(Json(value)),
        Err(refusal) => refusal.render(res),
    }
}
