//! What flows through a call: attempts that run, the body, the way to the caller.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use attempt::event::Number;
use bytes::Bytes;
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::attempt_guard::Track;
use crate::call::Result;
use crate::instance_clients::LaneError;
use crate::relay::Answer;
use crate::relay::Broken;
use crate::relay::Pieces;

/// An attempt's number with the head of its answer, or why there is none.
pub(super) type Head = (Number, std::result::Result<Answer, LaneError>);

/// An attempt that waits for the head of its answer.
pub(super) struct Waiting {
    pub(super) number: Number,
    pub(super) track: Track,
    pub(super) head: Pin<Box<dyn Future<Output = std::result::Result<Answer, LaneError>> + Send>>,
}

/// An attempt whose head came, until the machine says what to do with it.
pub(super) struct Arrived {
    pub(super) number: Number,
    pub(super) track: Track,
    pub(super) answer: Answer,
}

/// The attempt whose body goes to the caller.
pub(super) struct Pumped {
    pub(super) number: Number,
    pub(super) track: Track,
    pub(super) pieces: Pieces,
}

/// The way to the caller.
pub(super) enum Outlet {
    /// No head went out.
    Fresh(oneshot::Sender<Result>),
    /// The body goes out.
    Open(PieceSender),
    /// Nobody listens, or all was said.
    Shut,
}

/// Sends the pieces of a body to the caller.
pub(super) type PieceSender = mpsc::Sender<std::result::Result<Bytes, Broken>>;

/// Waits until the caller has left.
pub(super) async fn left(fresh: Option<&mut oneshot::Sender<Result>>, open: Option<&PieceSender>) {
    match (fresh, open) {
        (Some(send), _) => send.closed().await,
        (None, Some(send)) => send.closed().await,
        (None, None) => std::future::pending().await,
    }
}

/// What woke the driver.
pub(super) enum Woken {
    Head(Head),
    Piece(Option<std::result::Result<Bytes, reqwest::Error>>),
    Sent,
    Tick,
    Left,
}

pub(super) async fn next_head(waiting: &mut [Waiting]) -> Head {
    poll_fn(|cx| {
        for one in waiting.iter_mut() {
            if let Poll::Ready(result) = one.head.as_mut().poll(cx) {
                return Poll::Ready((one.number, result));
            }
        }
        Poll::Pending
    })
    .await
}

/// Moves the body on by one step: sends the piece that waits, or takes the next.
pub(super) async fn pump(
    pumped: &mut Option<Pumped>,
    piece: &mut Option<Bytes>,
    open: Option<&PieceSender>,
) -> Woken {
    let Some(pumped) = pumped else {
        return std::future::pending().await;
    };
    let Some(send) = open else {
        return Woken::Piece(pumped.pieces.next().await);
    };
    // Room comes first, so that a slow caller holds the upstream back.
    let Ok(room) = send.reserve().await else {
        return std::future::pending().await;
    };
    if let Some(bytes) = piece.take() {
        room.send(Ok(bytes));
        return Woken::Sent;
    }
    Woken::Piece(pumped.pieces.next().await)
}
