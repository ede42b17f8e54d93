//! Reads request bodies whose senders may stall.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body stalled: no part of it arrived within this time.
    Stalled(Duration),
    /// The connection failed.
    Broken(String),
}

/// Reads a body of at most `limit` bytes. Each part of the body must arrive within `part_timeout`, so that a slow link may
/// still send a large body. Without this timeout, 400 senders that stall in the middle of a body hold 400 file descriptors
/// forever.
pub async fn read(
    body: Incoming,
    limit: usize,
    part_timeout: Duration,
) -> Result<Bytes, BodyError> {
    let mut incoming = Limited::new(body, limit);
    let mut body = Vec::new();
    loop {
        let frame = match tokio::time::timeout(part_timeout, incoming.frame()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(body.into()),
            Err(_) => return Err(BodyError::Stalled(part_timeout)),
        };
        match frame {
            // Trailers are ignored.
            Ok(frame) => body.extend_from_slice(frame.data_ref().map_or(&[], Bytes::as_ref)),
            Err(e) if e.is::<LengthLimitError>() => return Err(BodyError::TooLarge),
            Err(e) => return Err(BodyError::Broken(e.to_string())),
        }
    }
}
