//! State of a call: its attempts and the channels to its caller.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use attempt::AttemptError;
use attempt::Start;
use attempt::event::AttemptNumber;
use bounds::ResponseCharge;
use bytes::Bytes;
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::attempt_guard::AttemptGuard;
use crate::call::Result;
use crate::instance_clients::SendError;
use crate::relay::BodyError;
use crate::relay::ResponseChunks;
use crate::relay::UpstreamResponse;

/// Number of an attempt with the head of its response, or its error.
pub(super) type AttemptResult = (
    AttemptNumber,
    std::result::Result<UpstreamResponse, SendError>,
);

/// An attempt that waits for the head of its response.
pub(super) struct PendingAttempt {
    pub(super) start: Start,
    pub(super) guard: AttemptGuard,
    pub(super) head:
        Pin<Box<dyn Future<Output = std::result::Result<UpstreamResponse, SendError>> + Send>>,
}

/// An attempt that broke off, while its instance is checked before a retry is decided.
pub(super) struct CheckedAttempt {
    pub(super) number: AttemptNumber,
    pub(super) err: AttemptError,
    // Resolves to whether the request may be sent again.
    pub(super) may_retry: Pin<Box<dyn Future<Output = bool> + Send>>,
}

/// An attempt whose response head was received, until the state machine decides on it.
pub(super) struct AnsweredAttempt {
    pub(super) number: AttemptNumber,
    pub(super) guard: AttemptGuard,
    pub(super) response: UpstreamResponse,
    pub(super) charge: ResponseCharge,
}

/// The attempt whose response body is sent to the caller.
pub(super) struct RelayingAttempt {
    pub(super) number: AttemptNumber,
    pub(super) guard: AttemptGuard,
    pub(super) succeeded: bool,
    pub(super) chunks: ResponseChunks,
    /// The memory of the response's buffers.
    pub(super) _charge: ResponseCharge,
}

/// Channel to the caller.
pub(super) enum CallerChannel {
    /// The head of the response wasn't sent yet.
    Head(oneshot::Sender<Result>),
    /// The head was sent; the body is being sent.
    Body(ChunkSender),
    /// The caller has disconnected, or the response is complete or was aborted.
    Closed,
}

/// Sends the chunks of a response body to the caller.
pub(super) type ChunkSender = mpsc::Sender<std::result::Result<Bytes, BodyError>>;

/// Waits until the caller has disconnected.
pub(super) async fn caller_disconnected(
    head_sender: Option<&mut oneshot::Sender<Result>>,
    body_sender: Option<&ChunkSender>,
) {
    match (head_sender, body_sender) {
        (Some(send), _) => send.closed().await,
        (None, Some(send)) => send.closed().await,
        (None, None) => std::future::pending().await,
    }
}

/// An event that the driver handles.
pub(super) enum CallEvent {
    ResponseHead(AttemptResult),
    Checked(AttemptNumber, bool),
    Chunk(Option<std::result::Result<Bytes, reqwest::Error>>),
    ChunkSent,
    Tick,
    CallerDisconnected,
}

pub(super) async fn next_response(pending: &mut [PendingAttempt]) -> AttemptResult {
    poll_fn(|cx| {
        for attempt in pending.iter_mut() {
            if let Poll::Ready(result) = attempt.head.as_mut().poll(cx) {
                return Poll::Ready((attempt.start.number, result));
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits until the instance of an attempt was checked.
pub(super) async fn next_checked(checking: &mut [CheckedAttempt]) -> CallEvent {
    poll_fn(|cx| {
        for attempt in checking.iter_mut() {
            if let Poll::Ready(may_retry) = attempt.may_retry.as_mut().poll(cx) {
                return Poll::Ready(CallEvent::Checked(attempt.number, may_retry));
            }
        }
        Poll::Pending
    })
    .await
}

/// Relays the body by one step: sends the buffered chunk or receives the next one.
pub(super) async fn relay_step(
    relaying: &mut Option<RelayingAttempt>,
    chunk: &mut Option<Bytes>,
    body_sender: Option<&ChunkSender>,
) -> CallEvent {
    let Some(relaying) = relaying else {
        return std::future::pending().await;
    };
    let Some(send) = body_sender else {
        return CallEvent::Chunk(relaying.chunks.next().await);
    };
    // Capacity is reserved before reading, so that a slow caller slows down the upstream.
    let Ok(permit) = send.reserve().await else {
        return std::future::pending().await;
    };
    if let Some(bytes) = chunk.take() {
        permit.send(Ok(bytes));
        return CallEvent::ChunkSent;
    }
    CallEvent::Chunk(relaying.chunks.next().await)
}
