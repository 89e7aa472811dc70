//! Serves HTTP from a thread of its own.
//!
//! `actix-http` is used without a framework above it: the product has one
//! table of routes, and what a framework adds would only hide it.

mod body;
mod server;

pub use actix_http::{HttpMessage, Request, Response, StatusCode};
pub use body::{Body, read};
pub use server::Server;

/// A response with a whole body.
pub type Reply = Response<bytes::Bytes>;

/// A response with this status, content type and body.
pub fn reply(status: u16, content_type: &str, body: impl Into<bytes::Bytes>) -> Reply {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", content_type));
    builder.message_body(body.into()).expect("status and headers are valid")
}

/// Tells the client when to come back.
pub fn retry_after(reply: &mut Reply, seconds: u64) {
    let value = actix_http::header::HeaderValue::from(seconds);
    reply.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
}

/// Asks the client to open a new connection for its next call.
pub fn close(reply: &mut Reply) {
    reply.head_mut().set_connection_type(actix_http::ConnectionType::Close);
}

/// Where metrics are shown.
pub const METRICS: &str = "/metrics";

/// A page of metrics in the OpenMetrics text format.
pub fn metrics(page: String) -> Reply {
    reply(200, "application/openmetrics-text; version=1.0.0; charset=utf-8", page)
}
