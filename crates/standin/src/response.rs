//! Writes responses.

use std::io;
use std::time::Duration;

use base::header;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use salvo::Response;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use serde::Serialize;
use tokio::time::sleep;

/// Delay before the connection of a truncated response is closed.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Rejects a request before any work.
pub(crate) fn shed(res: &mut Response) {
    refuse(res, StatusCode::SERVICE_UNAVAILABLE, "shed");
    set(res, header::SHED, "1");
}

/// Rejects a request for another instance, which used this address before.
pub(crate) fn misdirected(res: &mut Response) {
    refuse(res, StatusCode::MISDIRECTED_REQUEST, "misdirected");
    set(res, header::SHED, "1");
}

/// Responds with an error of the stand-in itself.
pub(crate) fn refuse(res: &mut Response, status: StatusCode, error: &'static str) {
    #[derive(Serialize)]
    struct Refusal {
        error: &'static str,
    }
    render(res, status, &Refusal { error });
}

/// Responds with a value as JSON.
pub(crate) fn render(res: &mut Response, status: StatusCode, value: &impl Serialize) {
    res.status_code(status);
    set(res, "content-type", "application/json");
    let body = serde_json::to_vec(value).unwrap_or_default();
    res.body(ResBody::Once(body.into()));
}

/// Sends `chunks` with a content length of `length` bytes, and closes the connection if they are
/// shorter.
pub(crate) fn send(res: &mut Response, chunks: Vec<Bytes>, length: u64) {
    set(res, "content-length", &length.to_string());
    let sent: usize = chunks.iter().map(Bytes::len).sum();
    let chunks = stream::iter(chunks.into_iter().map(Ok));
    if sent as u64 == length {
        res.stream(chunks);
        return;
    }
    let cut = stream::once(async {
        // The chunks must be flushed first, or the caller gets no response at all.
        sleep(CUT_DELAY).await;
        Err(io::Error::from(io::ErrorKind::UnexpectedEof))
    });
    res.stream(chunks.chain(cut));
}

pub(crate) fn set(res: &mut Response, name: &'static str, value: &str) {
    // Only a value copied from a request can be invalid; it is not echoed then.
    let _ = res.add_header(name, value, true);
}
