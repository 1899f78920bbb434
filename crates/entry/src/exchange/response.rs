//! Reads the bodies of responses, and returns their connections to the pool.

use std::sync::Arc;
use std::time::Duration;

use bounds::Client;
use http::HeaderMap;
use http::Response;
use http::response::Parts;
use hyper::body::Incoming;

use super::UpstreamBody;
use crate::body;
use crate::body::Arriving;
use crate::body::ReadBody;
use crate::headers;
use crate::pool::Connection;
use crate::pool::Pool;
use crate::stream_tracker::ResponseSource;
use crate::view::Upstream;

/// Maximum size of a body that fits into one packet with its head. Such a response is read
/// completely, so that the request can be retried if it breaks off: streaming gains no time.
const MAX_PACKET_BODY: u64 = 1_200;

/// Maximum size of the body of a refusal whose connection is used again.
const MAX_REFUSAL_BODY: usize = 16 * 1024;

/// Time within which the body of a refusal has to arrive for its connection to be used again.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Reads the rest of a refusal, so that the connection can be used again. The request goes on
/// meanwhile, as the body may never end.
pub(super) fn drain_refusal(
    upstream: &Arc<Upstream>,
    response: Response<Incoming>,
    connection: Connection,
    reusable: bool,
) {
    let upstream = Arc::clone(upstream);
    tokio::spawn(async move {
        let (parts, incoming) = response.into_parts();
        let reading = body::discard(Arriving::response(incoming), MAX_REFUSAL_BODY);
        // Without the end of the body, the connection is closed.
        let read = tokio::time::timeout(REFUSAL_TIMEOUT, reading).await;
        if reusable && matches!(read, Ok(Ok(()))) {
            release_connection(&upstream.pool, connection, &parts.headers);
        }
    });
}

/// Returns a connection to the pool after a complete response with these headers.
pub fn release_connection(pool: &Pool, connection: Connection, headers: &HeaderMap) {
    if !headers::closes_connection(headers) {
        pool.keep(connection, headers::keep_alive_timeout(headers));
    }
}

/// Reads the response to `client`, and returns a `reusable` connection to the pool if it is complete.
/// What is kept of it is charged; a response that finds no memory is streamed. Returns `None` if it
/// breaks off, or if there is no memory to stream it.
pub async fn read_response(
    pool: &Pool,
    response: Response<Incoming>,
    connection: Connection,
    reusable: bool,
    client: &Client,
) -> Option<(Parts, UpstreamBody)> {
    let (parts, incoming) = response.into_parts();
    let incoming = Arriving::response(incoming);
    // A server error may be replaced by another attempt's response, so it is not streamed.
    // Without a length, only the end of the body tells whether it is complete.
    let is_long = incoming
        .size_hint()
        .exact()
        .is_some_and(|bytes| bytes > MAX_PACKET_BODY);
    let streams = parts.status.is_success() && is_long;
    let read = if streams {
        body::read_available(incoming, client.charge()).await
    } else {
        body::read_response(incoming, client.charge()).await
    };
    match read.ok()? {
        ReadBody::Whole(bytes) => {
            if reusable {
                release_connection(pool, connection, &parts.headers);
            }
            Some((parts, UpstreamBody::Whole(bytes)))
        }
        ReadBody::Part(first, rest) => {
            let source = ResponseSource {
                charge: client.begin_response(rest.size_hint().exact()).await.ok()?,
                connection,
                reusable: reusable && !headers::closes_connection(&parts.headers),
                keep_alive: headers::keep_alive_timeout(&parts.headers),
            };
            Some((parts, UpstreamBody::Stream(first, rest, Box::new(source))))
        }
    }
}
