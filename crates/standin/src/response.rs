//! How an answer is written.

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

/// Pause before a short answer's connection ends.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Refuses before any work.
pub(crate) fn shed(res: &mut Response) {
    refuse(res, StatusCode::SERVICE_UNAVAILABLE, "shed");
    set(res, header::SHED, "1");
}

/// Another instance was meant, which had this address before.
pub(crate) fn misdirected(res: &mut Response) {
    refuse(res, StatusCode::MISDIRECTED_REQUEST, "misdirected");
    set(res, header::SHED, "1");
}

/// Answers with a failure of the stand-in's own.
pub(crate) fn refuse(res: &mut Response, status: StatusCode, error: &'static str) {
    #[derive(Serialize)]
    struct Refusal {
        error: &'static str,
    }
    render(res, status, &Refusal { error });
}

/// Answers with a value as JSON.
pub(crate) fn render(res: &mut Response, status: StatusCode, value: &impl Serialize) {
    res.status_code(status);
    set(res, "content-type", "application/json");
    let body = serde_json::to_vec(value).unwrap_or_default();
    res.body(ResBody::Once(body.into()));
}

/// Announces `length` bytes and sends `pieces`; when they are fewer, the connection ends.
pub(crate) fn send(res: &mut Response, pieces: Vec<Bytes>, length: u64) {
    set(res, "content-length", &length.to_string());
    let sent: usize = pieces.iter().map(Bytes::len).sum();
    let pieces = stream::iter(pieces.into_iter().map(Ok));
    if sent as u64 == length {
        res.stream(pieces);
        return;
    }
    let cut = stream::once(async {
        // What was sent before must leave first, or the caller sees no answer at all.
        sleep(CUT_DELAY).await;
        Err(io::Error::from(io::ErrorKind::UnexpectedEof))
    });
    res.stream(pieces.chain(cut));
}

/// Sets a header.
pub(crate) fn set(res: &mut Response, name: &'static str, value: &str) {
    // A value that is no header value came from a request, which can't be echoed then.
    let _ = res.add_header(name, value, true);
}
