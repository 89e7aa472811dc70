use actix_http::Request;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

/// A request's body, as far as it was read.
#[derive(Debug, Eq, PartialEq)]
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// It is larger than the limit.
    Oversized,
    /// The connection ended within it.
    Cut,
}

/// How much of an oversized body is read and thrown away, as a multiple of the
/// limit. Reading it keeps the connection usable for the next request.
const SKIP: usize = 16;

/// Reads a body of at most `limit` bytes.
pub async fn read(request: &mut Request, limit: usize) -> Body {
    let mut payload = request.take_payload();
    let mut bytes = BytesMut::new();
    let mut skipped = 0;
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else { return Body::Cut };
        if skipped > 0 || bytes.len() + chunk.len() > limit {
            skipped += chunk.len();
            bytes.clear();
            if skipped > limit * SKIP {
                break;
            }
            continue;
        }
        bytes.extend_from_slice(&chunk);
    }
    if skipped > 0 { Body::Oversized } else { Body::Whole(bytes.freeze()) }
}
