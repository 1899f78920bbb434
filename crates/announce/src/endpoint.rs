//! What pages that take announcements have in common.

use std::time::Duration;

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
use crate::body::MAX_BODY;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Longest wait for a body; one of 4 KiB takes far less over the slowest link.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the announcement that a request brings.
///
/// # Errors
///
/// Fails on a body that is too large, too slow or no announcement.
pub async fn receive(req: &mut Request) -> Result<Instance, Refusal> {
    let body = timeout(BODY_TIMEOUT, req.payload_with_max_size(MAX_BODY)).await;
    let body = body.map_err(|_| {
        let detail = format!("the body took over {BODY_TIMEOUT:?}");
        Refusal::new(Reason::Slow, detail)
    })?;
    let body = body.map_err(|err| match err {
        ParseError::PayloadTooLarge => {
            let detail = format!("the body has over {MAX_BODY} bytes");
            Refusal::new(Reason::Large, detail)
        }
        err => Refusal::new(Reason::Other, err.to_string()),
    })?;
    body::read(body)
}

/// Gives the answers that no route gave the form of a refusal.
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

/// Writes the answer, or the refusal.
pub fn render<T: Serialize + Send>(res: &mut Response, result: Result<T, Refusal>) {
    match result {
        Ok(value) => res.render(Json(value)),
        Err(refusal) => refusal.render(res),
    }
}
