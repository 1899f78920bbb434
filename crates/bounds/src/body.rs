//! Reads bodies that are kept as a whole.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use quick_error::quick_error;

use crate::buffer::Buffer;
use crate::charge::Charge;
use crate::charge::OverMemory;

quick_error! {
    /// Why a body isn't kept.
    #[derive(Debug)]
    pub enum ReadError {
        /// It exceeds the limit.
        TooLarge(limit: usize) {
            display("the body exceeds {limit} bytes")
        }
        /// There is no memory for it now.
        OverMemory(err: OverMemory) {
            from()
            source(err)
            display("{err}")
        }
        /// Its sender broke off.
        Broken(text: String) {
            display("the body broke off: {text}")
        }
    }
}

/// Reads a body of up to `limit` bytes, which are charged to `charge`.
///
/// # Errors
///
/// Fails if the body is larger, breaks off, or finds no memory.
pub async fn read<B>(mut body: B, limit: usize, charge: Charge) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let size = body.size_hint();
    let expected = size.exact().and_then(|length| usize::try_from(length).ok());
    if size.lower() > limit as u64 {
        return Err(ReadError::TooLarge(limit));
    }
    let mut buffer = Buffer::new(charge, expected);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| ReadError::Broken(err.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(ReadError::TooLarge(limit));
        }
        buffer.push(&data).await?;
    }
    Ok(buffer.into_bytes())
}
