//! Reads bodies before they are forwarded.

use std::task::Poll;

use bounds::Buffer;
use bounds::Charge;
use bounds::Client;
use bytes::Bytes;

use super::Arriving;
use super::BodyError;
use super::Completion;
use super::ForwardedBody;
use super::MAX_BUFFERED_BYTES;
use super::Reader;
use super::Spool;

/// Maximum size of a body in one piece that isn't copied: it fits into the read buffer that each
/// request is charged for.
const MAX_UNCOPIED_BYTES: usize = 8 * 1024;

/// The result of reading a body.
#[derive(Debug)]
pub enum ReadBody {
    /// The complete body.
    Whole(Bytes),
    /// The beginning, and the body that the rest comes from.
    Part(Bytes, Arriving),
}

/// Prepares the body of a request of `client` for forwarding. A short body with a declared length is
/// forwarded as it arrives; others are read up to [`MAX_BUFFERED_BYTES`] first, so that a short one
/// gets a length.
///
/// # Errors
///
/// Fails if a body that is read first breaks off, is too large or finds no memory.
pub async fn request_body(body: Arriving, client: &Client) -> Result<ForwardedBody, BodyError> {
    let declared = body.size_hint().exact();
    if let Some(length) = declared.filter(|length| (1..=MAX_BUFFERED_BYTES as u64).contains(length))
    {
        let expected = usize::try_from(length).ok();
        let spool = Spool::new(body, Buffer::new(client.charge(), expected));
        return Ok(ForwardedBody::Spooled(Reader::new(spool, length)));
    }
    Ok(match read(body, client.charge()).await? {
        Read::Done(ReadBody::Whole(bytes)) if bytes.is_empty() => ForwardedBody::Whole(None),
        Read::Done(ReadBody::Whole(bytes)) => ForwardedBody::Whole(Some(bytes)),
        Read::Done(ReadBody::Part(first, rest)) => {
            ForwardedBody::Stream(Some(first), Box::new(rest), Completion::default())
        }
        Read::OverMemory(..) => return Err(BodyError::OverMemory),
    })
}

/// Reads a response's body up to [`MAX_BUFFERED_BYTES`], or as far as there is memory.
///
/// # Errors
///
/// Fails if the body breaks off.
pub async fn read_response(body: Arriving, charge: Charge) -> Result<ReadBody, BodyError> {
    Ok(match read(body, charge).await? {
        Read::Done(body) => body,
        Read::OverMemory(first, rest) => ReadBody::Part(first, rest),
    })
}

/// Reads the part of a body that has already arrived, without waiting for more, or as far as there
/// is memory.
///
/// # Errors
///
/// Fails if the body breaks off.
pub async fn read_available(mut body: Arriving, charge: Charge) -> Result<ReadBody, BodyError> {
    let mut buffer = Buffer::new(charge, None);
    loop {
        let polled = std::future::poll_fn(|cx| Poll::Ready(body.poll_data(cx))).await;
        let data = match polled {
            Poll::Pending => return Ok(ReadBody::Part(buffer.into_bytes(), body)),
            Poll::Ready(None) => return Ok(ReadBody::Whole(buffer.into_bytes())),
            Poll::Ready(Some(data)) => data?,
        };
        if buffer.push(&data).await.is_err() {
            body.put_back(data);
            return Ok(ReadBody::Part(buffer.into_bytes(), body));
        }
        if buffer.len() > MAX_BUFFERED_BYTES {
            return Ok(ReadBody::Part(buffer.into_bytes(), body));
        }
    }
}

/// Reads a body of up to `limit` bytes without keeping it.
///
/// # Errors
///
/// Fails if the body breaks off or is longer.
pub async fn discard(mut body: Arriving, limit: usize) -> Result<(), BodyError> {
    let mut left = limit;
    while let Some(data) = body.data().await {
        left = left.checked_sub(data?.len()).ok_or(BodyError::TooLarge)?;
    }
    Ok(())
}

enum Read {
    Done(ReadBody),
    /// There is no memory for more than the beginning.
    OverMemory(Bytes, Arriving),
}

/// Reads a body up to [`MAX_BUFFERED_BYTES`].
async fn read(mut body: Arriving, charge: Charge) -> Result<Read, BodyError> {
    let mut buffer = Buffer::new(charge, None);
    while let Some(data) = body.data().await {
        let data = data?;
        if buffer.is_empty() && body.is_end() && data.len() <= MAX_UNCOPIED_BYTES {
            return Ok(Read::Done(ReadBody::Whole(data)));
        }
        if buffer.push(&data).await.is_err() {
            body.put_back(data);
            return Ok(Read::OverMemory(buffer.into_bytes(), body));
        }
        if buffer.len() > MAX_BUFFERED_BYTES {
            return Ok(Read::Done(ReadBody::Part(buffer.into_bytes(), body)));
        }
    }
    Ok(Read::Done(ReadBody::Whole(buffer.into_bytes())))
}
