//! Collects bodies that are kept until they are complete.
//!
//! Load pattern: a body of a few megabytes arrives in chunks of one byte. A frame is many times as
//! large as a byte, and refers to a buffer of the connection, so that frames are copied as they
//! arrive: those of requests into segments, those of responses into one buffer.

use std::error::Error;
use std::fmt;
use std::pin::pin;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;

use crate::daemon::segments::Segments;
use crate::daemon::segments::Writer;

/// A part of a body was not accepted.
#[derive(Debug)]
pub struct NotAccepted;

impl fmt::Display for NotAccepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no room for the body")
    }
}

impl Error for NotAccepted {}

/// Returns the content of a body of at most `max` bytes. A longer one is an error, as by `Limited`.
pub async fn collect<B>(body: B, max: usize) -> Result<Bytes, Box<dyn Error + Send + Sync>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    // Room that is not filled yet takes no memory, while growth would copy what there is.
    let capacity = body.size_hint().exact().map_or(0, |len| max.min(len as usize));
    let mut body = pin!(Limited::new(body, max));
    // Most bodies are a single frame, which needs no copy.
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are no content.
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if first.is_empty() && all.is_empty() {
            first = data;
            continue;
        }
        if all.is_empty() {
            all.reserve(capacity);
        }
        all.extend_from_slice(&std::mem::take(&mut first));
        all.extend_from_slice(&data);
    }
    Ok(if all.is_empty() { first } else { all.freeze() })
}

/// Returns the content of a body of at most `max` bytes in segments. It fails with `NotAccepted` once
/// `accepts` returns false for the size of a segment.
pub async fn collect_accepted<B>(
    body: B,
    max: usize,
    accepts: impl AsyncFn(usize) -> bool,
) -> Result<Segments, Box<dyn Error + Send + Sync>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let expected = body.size_hint().exact().map(|len| max.min(len as usize));
    let mut body = pin!(Limited::new(body, max));
    let mut writer = Writer::new(expected);
    while let Some(frame) = body.frame().await {
        // Trailers are no content.
        if let Ok(data) = frame?.into_data()
            && !writer.push(&data, &accepts).await
        {
            return Err(Box::new(NotAccepted));
        }
    }
    Ok(writer.finish())
}

/// Reads a body of at most `max` bytes to its end and discards it; returns whether it was complete.
pub async fn drain<B: Body<Data = Bytes>>(body: B, max: usize) -> bool
where
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = pin!(Limited::new(body, max));
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}
