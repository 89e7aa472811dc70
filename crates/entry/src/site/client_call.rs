use quincewheel_http::{Body, HttpMessage, Reply, Request};
use quincewheel_job::{Answer, Config, Job, Target};
use quincewheel_platform as platform;
use tokio::sync::oneshot;

use super::gate::Ticket;
use super::rpc;
use crate::connect::Codec;

/// A client's call, on its way to the decision thread.
pub(crate) struct ClientCall {
    /// How the client made the call.
    pub protocol: Protocol,
    pub body: Body,
    pub reply: oneshot::Sender<Answer>,
    /// Held until the call is executed.
    pub _ticket: Ticket,
}

/// A question whether the body of a call may be received.
pub(crate) struct Inquiry {
    pub protocol: Protocol,
    /// Takes the largest body in bytes, or why the call is refused whatever its body is.
    pub reply: oneshot::Sender<Result<usize, Answer>>,
}

/// What the decision thread is asked for a client.
pub(crate) enum Demand {
    Inquiry(Inquiry),
    Call(ClientCall),
}

/// Delay after which a client may retry a call that the decision thread has not seen.
const RETRY_AFTER_MS: u64 = 1000;

/// How a call was made. Both protocols lead to the same jobs.
#[derive(Clone, Debug)]
pub(crate) enum Protocol {
    /// HTTP request to a path of a queue, as the platform's clients make it.
    Path { method: String, host: String, path: String, authorization: Option<String> },
    /// Remote procedure of [`rpc`].
    Procedure { name: String, codec: Codec, key: String },
}

impl Protocol {
    /// Determines the protocol of a request.
    pub fn from_request(request: &Request) -> Protocol {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let authorization = header("authorization");
        if let Some(name) = request.path().strip_prefix(rpc::PREFIX) {
            let codec = header("content-type").and_then(|kind| Codec::of(&kind));
            let key = authorization.as_deref().and_then(|value| value.strip_prefix("Bearer "));
            return Protocol::Procedure {
                name: name.to_owned(),
                codec: codec.unwrap_or(Codec::Json),
                key: key.unwrap_or_default().to_owned(),
            };
        }
        let host = header("host").or_else(|| request.uri().host().map(str::to_owned));
        Protocol::Path {
            method: request.method().as_str().to_owned(),
            host: host.unwrap_or_default(),
            path: request.path().to_owned(),
            authorization,
        }
    }

    /// Resolves the call against the configuration.
    pub fn target(&self, config: &Config, body: &Body) -> Result<Target, Answer> {
        match self {
            Protocol::Path { method, host, path, authorization } => {
                platform::decode_target(config, method, host, path, authorization.as_deref())
                    .map_err(Answer::Refused)
            }
            Protocol::Procedure { name, codec, key } => {
                rpc::target(config, name, *codec, key, body)
            }
        }
    }

    /// Checks what can be known of a call before its body.
    pub fn check(&self, config: &Config) -> Result<(), Answer> {
        match self {
            Protocol::Path { .. } => self.target(config, &Body::Cut).map(drop),
            Protocol::Procedure { name, key, .. } => rpc::check(config, name, key),
        }
    }

    /// Returns the answer to a call that the decision thread has not seen. An earlier attempt of
    /// a submission may have been stored, so that it is not refused.
    pub fn unseen(&self) -> Answer {
        let is_submission = match self {
            Protocol::Path { method, .. } => method == "POST",
            Protocol::Procedure { name, .. } => name == rpc::SUBMIT,
        };
        if is_submission { Answer::Unclear } else { Answer::Unavailable(RETRY_AFTER_MS) }
    }

    /// Decodes the job of a submission.
    pub fn job(&self, target: &Target, body: &[u8], accepted: u64) -> Result<Job, String> {
        match self {
            Protocol::Path { .. } => platform::decode_submission(target, body, accepted),
            Protocol::Procedure { codec, .. } => rpc::job(target, *codec, body, accepted),
        }
    }

    /// Encodes a reply for this protocol.
    pub fn encode(&self, answer: &Answer) -> Reply {
        match self {
            Protocol::Path { .. } => {
                let (status, body, after) = platform::encode_answer(answer);
                let mut reply = quincewheel_http::reply(status, "application/json", body);
                if let Some(seconds) = after {
                    quincewheel_http::retry_after(&mut reply, seconds);
                }
                reply
            }
            Protocol::Procedure { name, codec, .. } => rpc::encode(name, *codec, answer),
        }
    }

    /// Name of the method, for logs and metrics.
    pub fn method(&self) -> &str {
        match self {
            Protocol::Path { method, .. } => method,
            Protocol::Procedure { name, .. } => name,
        }
    }
}
