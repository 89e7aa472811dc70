//! An HTTP server that runs in its own thread.
//!
//! It uses `actix-http` without a web framework, as the system has a single table
//! of routes, which a framework would only obscure.
//!
//! Clients may send anything at any pace, and leave replies unread. What they can make the process
//! hold is bounded by an [`Intake`], and each connection is read only as far as its request
//! allows.

mod body;
mod budget;
mod connection;
mod connections;
mod intake;
mod limit;
mod limits;
mod listener;
mod phase;
mod server;
mod stream;

pub use actix_http::{HttpMessage, Request, Response, StatusCode};
pub use body::{Body, may_be_large, read};
pub use budget::{Budget, Charge, Full, Group, Id};
pub use intake::Intake;
pub use limit::Limit;
pub use limits::{BODY_ALLOWANCE, Limits};
pub use listener::{Listener, Purpose};
pub use phase::Phase;
pub use server::Server;

/// A response whose body is in memory.
pub type Reply = Response<bytes::Bytes>;

/// Creates a response. An invalid status becomes 500.
pub fn reply(status: u16, content_type: &str, body: impl Into<bytes::Bytes>) -> Reply {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", content_type));
    builder.message_body(body.into()).expect("status and headers are valid")
}

/// Sets the `Retry-After` header.
pub fn retry_after(reply: &mut Reply, seconds: u64) {
    let value = actix_http::header::HeaderValue::from(seconds);
    reply.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
}

/// Closes the connection after this response, so that the client's next call uses a
/// new one.
pub fn close(reply: &mut Reply) {
    reply.head_mut().set_connection_type(actix_http::ConnectionType::Close);
}

/// Path of the metrics page.
pub const METRICS: &str = "/metrics";

/// Creates a response with metrics in the OpenMetrics text format.
pub fn metrics(page: String) -> Reply {
    reply(200, "application/openmetrics-text; version=1.0.0; charset=utf-8", page)
}
