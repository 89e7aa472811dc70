use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Method, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use crate::connection::Connection;

/// The result of reading a request's body.
#[derive(Debug, Eq, PartialEq)]
pub enum Body {
    /// The complete body.
    Whole(Bytes),
    /// The body exceeds the limit.
    Oversized,
    /// The connection failed before the end of the body.
    Cut,
}

/// Maximum part of an oversized body that is read and discarded, as a multiple of the
/// limit. Reading it keeps the connection usable for the next request.
const SKIP_FACTOR: usize = 16;

/// Returns the length of a request's body; `None` if the request does not tell.
pub fn length(request: &Request) -> Option<usize> {
    // The HTTP library takes all that follows for the body of a request that wants another protocol.
    let is_endless = request.head().upgrade() || request.method() == Method::CONNECT;
    if is_endless || request.chunked().unwrap_or(false) {
        return None;
    }
    let announced = request.headers().get(CONTENT_LENGTH);
    // The HTTP library refuses requests whose length is no number.
    Some(announced.and_then(|text| text.to_str().ok()?.parse().ok()).unwrap_or(0))
}

/// Reads a body of at most `limit` bytes.
pub async fn read(request: &mut Request, limit: usize) -> Body {
    let connection = Connection::of(request);
    let mut payload = request.take_payload();
    let mut bytes = BytesMut::new();
    let mut skipped = 0;
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else { return Body::Cut };
        if let Some(connection) = &connection {
            connection.on_body(chunk.len());
        }
        if skipped > 0 || bytes.len() + chunk.len() > limit {
            skipped += chunk.len();
            bytes.clear();
            if skipped > limit * SKIP_FACTOR {
                return Body::Oversized;
            }
            continue;
        }
        bytes.extend_from_slice(&chunk);
    }
    if let Some(connection) = connection {
        connection.end_body();
    }
    if skipped > 0 { Body::Oversized } else { Body::Whole(bytes.freeze()) }
}
