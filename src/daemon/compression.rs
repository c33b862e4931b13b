//! Compresses the bodies of responses between daemons.
//!
//! Load pattern: a configuration of a megabyte is published, and a reader sends it to all other
//! daemons of its region, more than a hundred. Uncompressed, that takes its link several seconds,
//! and a new configuration has to be in force earlier. A daemon that does not accept the encoding
//! is sent the body as it is.

use std::fmt;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use lz4_flex::block;

/// Name of the encoding: LZ4 blocks with a leading size.
const ENCODING: &str = "lz4";
/// Smallest body that is compressed.
const MIN_BYTES: usize = 4 << 10;
/// Largest body after decompression.
const MAX_BYTES: usize = 32 << 20;

/// Error of a body that can't be decompressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Corrupt;

impl fmt::Display for Corrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the compressed body is corrupt or too large")
    }
}

impl std::error::Error for Corrupt {}

/// Adds to a request that its response may be compressed.
pub fn accept(headers: &mut HeaderMap) {
    headers.insert(ACCEPT_ENCODING, HeaderValue::from_static(ENCODING));
}

/// Returns whether the response to a request may be compressed.
pub fn is_accepted(headers: &HeaderMap) -> bool {
    headers.get(ACCEPT_ENCODING).is_some_and(|value| value == ENCODING)
}

/// Compresses a body; none if it is too small to be worth it.
pub fn compress(body: &[u8]) -> Option<Bytes> {
    (body.len() >= MIN_BYTES).then(|| Bytes::from(block::compress_prepend_size(body)))
}

/// Marks a response as compressed.
pub fn mark(headers: &mut HeaderMap) {
    headers.insert(CONTENT_ENCODING, HeaderValue::from_static(ENCODING));
}

/// Decompresses the body of a response if it is marked as compressed.
///
/// # Errors
///
/// Fails if the body is corrupt, or larger than `MAX_BYTES`.
pub fn decompress(res: Response<Bytes>) -> Result<Response<Bytes>, Corrupt> {
    if res.headers().get(CONTENT_ENCODING).is_none_or(|value| value != ENCODING) {
        return Ok(res);
    }
    let (head, body) = res.into_parts();
    let (size, block) = block::uncompressed_size(&body).map_err(|_| Corrupt)?;
    if size > MAX_BYTES {
        return Err(Corrupt);
    }
    // A block that was cut between two sequences decompresses to fewer bytes.
    let body = block::decompress(block, size).ok().filter(|body| body.len() == size);
    let body = body.ok_or(Corrupt)?;
    Ok(Response::from_parts(head, Bytes::from(body)))
}
