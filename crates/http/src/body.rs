use std::rc::Rc;

use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Method, Request};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use crate::connection::Connection;
use crate::intake::Share;
use crate::limits::BODY_ALLOWANCE;

/// The result of reading a request's body.
#[derive(Debug, Eq, PartialEq)]
pub enum Body {
    /// The complete body.
    Whole(Bytes),
    /// The body exceeds the limit.
    Oversized,
    /// The connection failed before the end of the body.
    Cut,
    /// The server holds too much of other bodies. Nothing was done.
    Refused,
}

/// Largest body that is read and discarded, as a multiple of the limit. Reading it keeps the
/// connection usable for the next request.
const SKIP_FACTOR: usize = 2;

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

/// Returns whether the body of a request may exceed what its connection may always hold.
pub fn may_be_large(request: &Request) -> bool {
    length(request).is_none_or(|length| length > BODY_ALLOWANCE)
}

/// Reads a body of at most `limit` bytes.
pub async fn read(request: &mut Request, limit: usize) -> Body {
    let length = length(request);
    if length.is_some_and(|length| length > limit.saturating_mul(SKIP_FACTOR)) {
        return Body::Oversized;
    }
    let mut content = Content::new(Connection::of(request), length);
    if let Some(connection) = &content.connection {
        connection.begin_body(length);
    }
    let mut payload = request.take_payload();
    let mut received = 0;
    let mut is_oversized = length.is_some_and(|length| length > limit);
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else { return Body::Cut };
        received += chunk.len();
        content.on_received(chunk.len());
        is_oversized |= received > limit;
        if received > limit.saturating_mul(SKIP_FACTOR) {
            return Body::Oversized;
        }
        if is_oversized {
            content.clear();
        } else if !content.add(&chunk) {
            return Body::Refused;
        }
    }
    if let Some(connection) = &content.connection {
        connection.end_body();
    }
    if is_oversized { Body::Oversized } else { Body::Whole(content.finish()) }
}

/// A body that is being received.
struct Content {
    connection: Option<Rc<Connection>>,
    length: Option<usize>,
    bytes: BytesMut,
    charged: usize,
}

/// A complete body with its part of the budget.
struct Charged {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Content {
    fn new(connection: Option<Rc<Connection>>, length: Option<usize>) -> Content {
        Content { connection, length, bytes: BytesMut::new(), charged: 0 }
    }

    fn on_received(&self, bytes: usize) {
        if let Some(connection) = &self.connection {
            connection.on_body(bytes);
        }
    }

    /// Adds a part. Returns whether the budget allows it.
    fn add(&mut self, part: &[u8]) -> bool {
        let received = self.bytes.len() + part.len();
        let capacity = self.capacity_for(received);
        if capacity > BODY_ALLOWANCE + self.charged && !self.charge(capacity - BODY_ALLOWANCE) {
            self.clear();
            return false;
        }
        if received > self.bytes.capacity() {
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        true
    }

    /// Returns the size of the buffer for so many received bytes. A large body whose length is
    /// known gets all of it at once: parts of buffers that are not used yet take memory as well
    /// once other bodies have used it.
    fn capacity_for(&self, received: usize) -> usize {
        match self.length {
            Some(length) if received > BODY_ALLOWANCE => length.max(received),
            Some(length) => length.clamp(received, BODY_ALLOWANCE),
            None => received.next_power_of_two().max(BODY_ALLOWANCE),
        }
    }

    /// Charges the connection for `bytes` in all.
    fn charge(&mut self, bytes: usize) -> bool {
        let added = bytes - self.charged;
        let connection = self.connection.as_ref();
        let is_granted = connection.is_none_or(|c| c.others().charge(c.id(), added));
        if is_granted {
            self.charged = bytes;
        }
        is_granted
    }

    /// Drops what was received, and gives its part of the budget back.
    fn clear(&mut self) {
        self.bytes = BytesMut::new();
        self.charged = 0;
        drop(self.detach());
    }

    fn detach(&self) -> Option<Share> {
        let connection = self.connection.as_ref()?;
        let intake = connection.others().intake();
        let bytes = intake.budget().detach(connection.id());
        Some(intake.share(bytes))
    }

    fn finish(self) -> Bytes {
        let share = self.detach();
        let bytes = self.bytes.freeze();
        match share {
            Some(share) if self.charged > 0 => Bytes::from_owner(Charged { bytes, _share: share }),
            _ => bytes,
        }
    }
}
