//! Sends a request or a probe to an instance.
//!
//! All of them are sent here: first attempts, retries, granted and relayed requests, trials of
//! ejected instances, and probes. An instance may have asked to back off since it was selected, so
//! that is checked right before the request is written, and each response that belongs to the request
//! is read for what its instance asks.

mod notices;

use std::sync::Arc;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use interim::InterimCounter;
use slog::warn;

use self::notices::Notices;
use crate::body::ForwardedBody;
use crate::core::Core;
use crate::exchange;
use crate::pool::Connection;
use crate::view::Upstream;

/// How sending a request ended.
#[derive(Debug)]
pub enum SendEnd {
    /// A response, and the connection on which its body arrives.
    Response(Response<Incoming>, Connection),
    /// No byte was sent, because the instance takes nothing from this process now.
    Withheld,
    /// No byte was sent, because there was no connection.
    Unsent,
    /// The connection broke off after the request was sent, or no response would have come on it.
    Broken,
}

/// Sends a request to the instance on a pooled or a new connection. `cause` names the request in
/// the log, and `record_sent` is called right before the request is written.
pub async fn send(
    core: &Arc<Core>,
    upstream: &Arc<Upstream>,
    mut request: Request<ForwardedBody>,
    cause: &str,
    record_sent: impl Fn(),
) -> SendEnd {
    let id = request.headers().get(&core.dialect.request).cloned();
    let notices = Arc::new(Notices::new(core, upstream, id.clone(), cause));
    let interim = {
        let notices = Arc::clone(&notices);
        InterimCounter::attach(&mut request, move |status, headers| {
            notices.read_interim(status, headers);
        })
    };
    loop {
        if !core.takes_requests(upstream) {
            return SendEnd::Withheld;
        }
        let connection = exchange::acquire_connection(core, upstream, id.as_ref()).await;
        let Some((mut connection, is_new)) = connection else {
            return SendEnd::Unsent;
        };
        // The instance may have asked to back off while the connection was opened.
        if !core.takes_requests(upstream) {
            upstream.pool.keep(connection, None);
            return SendEnd::Withheld;
        }
        record_sent();
        let sent = tokio::select! {
            biased;
            sent = connection.sender.try_send_request(request) => sent,
            () = interim.exceeded() => {
                warn!(core.log, "interim responses without end"; "request" => cause,
                    "instance" => %upstream.id, "service" => %upstream.service);
                return SendEnd::Broken;
            }
        };
        match sent {
            Ok(response) => {
                if let Err(err) = framing::check_response(response.status(), response.headers()) {
                    warn!(core.log, "response refused"; "request" => cause,
                        "instance" => %upstream.id, "service" => %upstream.service, "error" => %err);
                    return SendEnd::Broken;
                }
                notices.read_final(response.status(), response.headers());
                return SendEnd::Response(response, connection);
            }
            Err(mut err) => match err.take_message() {
                // The pooled connection was closed before the request was written.
                Some(unsent) if !is_new => request = unsent,
                Some(_) => return SendEnd::Unsent,
                None => return SendEnd::Broken,
            },
        }
    }
}
