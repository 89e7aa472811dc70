use quincewheel_http::{Body, HttpMessage, Reply, Request};
use quincewheel_job::{Answer, Config, Job, Target};
use quincewheel_platform as platform;
use tokio::sync::oneshot;

use super::rpc;
use crate::connect::Codec;

/// A client's call, on its way to the deciding thread.
pub(crate) struct Work {
    /// How it was made.
    pub form: Form,
    pub body: Body,
    pub reply: oneshot::Sender<Answer>,
}

/// How a call was made: the two ways to the same jobs.
#[derive(Clone, Debug)]
pub(crate) enum Form {
    /// By a path of a queue, as the platform's clients do.
    Path { method: String, host: String, path: String, authorization: Option<String> },
    /// By a remote procedure of the product.
    Procedure { name: String, codec: Codec, key: String },
}

impl Form {
    /// Reads it off a request.
    pub fn of(request: &Request) -> Form {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let authorization = header("authorization");
        if let Some(name) = request.path().strip_prefix(rpc::PREFIX) {
            let codec = header("content-type").and_then(|kind| Codec::of(&kind));
            let key = authorization.as_deref().and_then(|value| value.strip_prefix("Bearer "));
            return Form::Procedure {
                name: name.to_owned(),
                codec: codec.unwrap_or(Codec::Json),
                key: key.unwrap_or_default().to_owned(),
            };
        }
        let host = header("host").or_else(|| request.uri().host().map(str::to_owned));
        Form::Path {
            method: request.method().as_str().to_owned(),
            host: host.unwrap_or_default(),
            path: request.path().to_owned(),
            authorization,
        }
    }

    /// What the call asks for.
    pub fn target(&self, config: &Config, body: &Body) -> Result<Target, Answer> {
        match self {
            Form::Path { method, host, path, authorization } => {
                platform::decode_target(config, method, host, path, authorization.as_deref())
                    .map_err(Answer::Refused)
            }
            Form::Procedure { name, codec, key } => rpc::target(config, name, *codec, key, body),
        }
    }

    /// The job that a submission holds.
    pub fn job(&self, target: &Target, body: &[u8], accepted: u64) -> Result<Job, String> {
        match self {
            Form::Path { .. } => platform::decode_submission(target, body, accepted),
            Form::Procedure { codec, .. } => rpc::job(target, *codec, body, accepted),
        }
    }

    /// The answer in the form that the caller understands.
    pub fn encode(&self, answer: &Answer) -> Reply {
        match self {
            Form::Path { .. } => {
                let (status, body, after) = platform::encode_answer(answer);
                let mut reply = quincewheel_http::reply(status, "application/json", body);
                if let Some(seconds) = after {
                    quincewheel_http::retry_after(&mut reply, seconds);
                }
                reply
            }
            Form::Procedure { name, codec, .. } => rpc::encode(name, *codec, answer),
        }
    }

    /// One word for the log and counters.
    pub fn method(&self) -> &str {
        match self {
            Form::Path { method, .. } => method,
            Form::Procedure { name, .. } => name,
        }
    }
}
