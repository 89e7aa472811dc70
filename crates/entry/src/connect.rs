//! Unary calls of the Connect protocol: content types, error codes and the JSON body of errors.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use bytes::Bytes;
use prost::Message;
use quincewheel_http::Reply;
use quincewheel_schema::v1::ErrorDetail;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encoding of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Codec {
    Json,
    Proto,
}

/// An error as the caller receives it.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub code: Code,
    pub message: String,
    pub detail: ErrorDetail,
}

/// The codes of Connect that are used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Code {
    InvalidArgument,
    NotFound,
    Aborted,
    FailedPrecondition,
    ResourceExhausted,
    Unauthenticated,
    PermissionDenied,
    Unavailable,
    Unimplemented,
    /// Not a Connect code: the content type is not supported.
    MediaType,
}

impl Code {
    fn name(self) -> &'static str {
        match self {
            Code::InvalidArgument | Code::MediaType => "invalid_argument",
            Code::NotFound => "not_found",
            Code::Aborted => "aborted",
            Code::FailedPrecondition => "failed_precondition",
            Code::ResourceExhausted => "resource_exhausted",
            Code::Unauthenticated => "unauthenticated",
            Code::PermissionDenied => "permission_denied",
            Code::Unavailable => "unavailable",
            Code::Unimplemented => "unimplemented",
        }
    }

    fn status(self) -> u16 {
        match self {
            Code::InvalidArgument | Code::FailedPrecondition => 400,
            Code::Unauthenticated => 401,
            Code::PermissionDenied => 403,
            Code::NotFound => 404,
            Code::Aborted => 409,
            Code::MediaType => 415,
            Code::ResourceExhausted => 429,
            Code::Unimplemented => 501,
            Code::Unavailable => 503,
        }
    }
}

impl Codec {
    /// Returns the codec for a content type.
    pub fn of(content_type: &str) -> Option<Codec> {
        match content_type.split(';').next().unwrap_or_default().trim() {
            "application/json" => Some(Codec::Json),
            "application/proto" => Some(Codec::Proto),
            _ => None,
        }
    }

    /// Decodes a message. The error names the invalid field.
    pub fn decode<T: Message + Default + DeserializeOwned>(self, body: &[u8]) -> Result<T, Fault> {
        let message = match self {
            Codec::Json => serde_json::from_slice(body).map_err(|error| error.to_string()),
            Codec::Proto => T::decode(body).map_err(|error| error.to_string()),
        };
        message.map_err(|error| Fault::invalid(&field_in(&error), &error))
    }

    /// Encodes a message as a successful reply.
    pub fn reply<T: Message + Serialize>(self, message: &T) -> Reply {
        match self {
            Codec::Json => {
                let body = serde_json::to_vec(message).expect("messages are plain data");
                quincewheel_http::reply(200, "application/json", body)
            }
            Codec::Proto => {
                quincewheel_http::reply(200, "application/proto", message.encode_to_vec())
            }
        }
    }
}

impl Fault {
    pub fn new(code: Code, message: &str) -> Fault {
        Fault { code, message: message.to_owned(), detail: ErrorDetail::default() }
    }

    /// Returns an error for an invalid field of the request.
    pub fn invalid(field: &str, message: &str) -> Fault {
        let mut fault = Fault::new(Code::InvalidArgument, message);
        fault.detail.field = field.to_owned();
        fault
    }

    pub fn retry_after(mut self, after: std::time::Duration) -> Fault {
        self.detail.retry_after_ms = after.as_millis() as u64;
        self
    }

    /// Encodes the error as a reply, which is JSON for every codec.
    pub fn reply(&self) -> Reply {
        let value = STANDARD_NO_PAD.encode(self.detail.encode_to_vec());
        let body = serde_json::json!({
            "code": self.code.name(),
            "message": self.message,
            "details": [{
                "type": "quincewheel.v1.ErrorDetail",
                "value": value,
                "debug": self.detail,
            }],
        });
        let body = Bytes::from(body.to_string());
        let mut reply = quincewheel_http::reply(self.code.status(), "application/json", body);
        if self.detail.retry_after_ms > 0 {
            let seconds = self.detail.retry_after_ms.div_ceil(1000);
            let value = seconds.to_string().parse().expect("digits are a header value");
            let name = "retry-after".parse().expect("a valid header name");
            reply.headers_mut().insert(name, value);
        }
        reply
    }
}

/// Extracts the field that a decoder's message quotes, as in "unknown field `x`".
fn field_in(error: &str) -> String {
    let quoted = error.split('`').nth(1).map(str::to_owned);
    quoted.unwrap_or_default()
}
