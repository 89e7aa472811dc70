use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prost::Message;
use quincewheel_http::{Body, HttpMessage, Reply, Request};
use quincewheel_ring as ring;
use quincewheel_schema::v1;
use quincewheel_wire::{Answer, Ask, Outcome, Refusal};
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::burn::{Burn, Objective};
use crate::connect::{Code, Codec, Fault};
use crate::convert;
use crate::driver::{Command, Status};
use crate::metrics::Metrics;

/// Largest request body, in bytes: the largest payload in base64 and the other fields.
pub(crate) const MAX_BODY: usize = 131_072;
/// Delay after which a caller should retry if the driver's queue is full.
const RETRY_AFTER: Duration = Duration::from_millis(500);
const PREFIX: &str = "/quincewheel.v1.Scheduler/";

/// Routes HTTP requests.
#[derive(Clone)]
pub(crate) struct Routes {
    pub name: String,
    pub commands: ring::Sender<Command>,
    pub status: Arc<Status>,
    pub metrics: Arc<Metrics>,
    pub burn: Arc<Mutex<Burn>>,
    pub draining: Arc<AtomicBool>,
    pub start: Instant,
}

impl Routes {
    pub async fn serve(self, mut request: Request) -> Reply {
        let path = request.path().to_owned();
        match path.as_str() {
            "/healthz" => plain_text(200, "alive\n"),
            "/readyz" => self.ready(),
            "/metrics" => {
                let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                quincewheel_http::reply(200, kind, self.metrics.page())
            }
            _ => match path.strip_prefix(PREFIX) {
                Some(method) => self.rpc(method, &mut request).await,
                None => plain_text(404, "no such page\n"),
            },
        }
    }

    fn ready(&self) -> Reply {
        let ready = self.status.ready.load(Ordering::Relaxed);
        if ready && !self.draining.load(Ordering::Relaxed) {
            plain_text(200, "ready\n")
        } else {
            plain_text(503, "not ready: no owner is reachable, or this entry is draining\n")
        }
    }

    async fn rpc(&self, method: &str, request: &mut Request) -> Reply {
        let started_at = Instant::now();
        let result = self.call(method, request).await;
        let (reply, outcome) = match result {
            Ok((reply, outcome)) => (reply, outcome),
            Err(fault) => (fault.reply(), "error"),
        };
        let known = METHODS.contains(&method);
        let method = if known { method } else { "unknown" };
        self.metrics.count(method, outcome, started_at.elapsed().as_secs_f64());
        reply
    }

    async fn call(
        &self,
        method: &str,
        request: &mut Request,
    ) -> Result<(Reply, &'static str), Fault> {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let content_type = header("content-type");
        let bearer = header("authorization");
        let key = bearer.strip_prefix("Bearer ").filter(|key| !key.is_empty());
        // A large body of a call without a key is not received; the connection is closed.
        if key.is_none() && quincewheel_http::may_be_large(request) {
            return Err(unauthenticated());
        }
        // Else the body is read before any check, so that the connection can be reused after an
        // error.
        let body = quincewheel_http::read(request, MAX_BODY).await;
        if request.method().as_str() != "POST" {
            return Err(Fault::new(Code::Unimplemented, "use POST for calls"));
        }
        let Some(codec) = Codec::of(&content_type) else {
            let message = format!(
                "content type {content_type:?} is not supported; use application/json or \
                 application/proto"
            );
            let mut fault = Fault::new(Code::MediaType, &message);
            fault.detail.field = "content-type".to_owned();
            return Err(fault);
        };
        let body = match body {
            Body::Whole(body) => body,
            Body::Oversized => {
                let message = format!("the body is larger than {MAX_BODY} bytes");
                let mut fault = Fault::new(Code::ResourceExhausted, &message);
                fault.detail.field = "body".to_owned();
                return Err(fault);
            }
            Body::Cut => return Err(Fault::invalid("body", "the body ended early")),
            Body::Refused => {
                let message = "this entry receives too many large bodies; nothing was done";
                return Err(Fault::new(Code::Unavailable, message).retry_after(RETRY_AFTER));
            }
        };
        let key = key.ok_or_else(unauthenticated)?;
        let key_digest = quincewheel_wire::sha256(key.as_bytes());
        if method == "GetBurn" {
            return self.burn(codec, &body, key_digest).await;
        }
        let ask = parse(method, codec, &body)?;
        let answer = self.execute(key_digest, ask.clone()).await?;
        self.respond(codec, &ask, answer)
    }

    /// Sends a call to the driver and waits for its answer.
    async fn execute(&self, key_digest: String, ask: Ask) -> Result<Answer, Fault> {
        let unavailable =
            |message: &str| Fault::new(Code::Unavailable, message).retry_after(RETRY_AFTER);
        if self.draining.load(Ordering::Relaxed) {
            return Err(unavailable("this entry is shutting down; call another"));
        }
        let started_at = Instant::now();
        let (reply, answer) = oneshot::channel();
        let command = Command::Call { key_digest, ask: ask.clone(), reply };
        if self.commands.try_send(command).is_err() {
            self.count_answered(&ask, None, started_at);
            return Err(unavailable("the call queue of this entry is full; nothing was done"));
        }
        let answer = answer.await.map_err(|_| unavailable("this entry is shutting down"))?;
        self.count_answered(&ask, Some(&answer), started_at);
        Ok(answer)
    }

    /// Counts an answer against the service-level objectives.
    fn count_answered(&self, ask: &Ask, answer: Option<&Answer>, started_at: Instant) {
        let Ask::Submit(job) = ask else { return };
        let outcome = match answer {
            Some(Answer::Job { outcome, .. }) => Some(outcome),
            Some(Answer::Refused(Refusal::Unavailable { .. })) | None => None,
            Some(_) => return,
        };
        let in_time = outcome.is_some() && started_at.elapsed() <= job.deadline;
        let now = self.start.elapsed();
        let mut burn = self.burn.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        burn.count(&job.team, Objective::Answered, in_time, now);
        let Some(outcome) = outcome else { return };
        let known = !matches!(outcome, Outcome::Unknown { .. });
        burn.count(&job.team, Objective::OutcomeKnown, known, now);
        let accepted = !matches!(outcome, Outcome::NotRun { .. });
        burn.count(&job.team, Objective::Accepted, accepted, now);
    }

    fn respond(
        &self,
        codec: Codec,
        ask: &Ask,
        answer: Answer,
    ) -> Result<(Reply, &'static str), Fault> {
        match answer {
            Answer::Refused(refusal) => Err(convert::fault(refusal)),
            Answer::Job { outcome, attempts } => {
                let name = outcome.name();
                let (team, request) = match ask {
                    Ask::Submit(job) => (&job.team, &job.request),
                    Ask::Wait { team, request, .. }
                    | Ask::Cancel { team, request }
                    | Ask::Get { team, request } => (team, request),
                    _ => return Err(Fault::new(Code::Unavailable, "unexpected answer")),
                };
                let reply = convert::job_reply(team, request, outcome, attempts);
                Ok((codec.reply(&reply), name))
            }
            Answer::Changed { version, configuration } => {
                Ok((codec.reply(&v1::ChangeReply { version, configuration }), "changed"))
            }
            answer @ Answer::Pool { .. } => {
                Ok((codec.reply(&convert::pool_reply(answer)), "shown"))
            }
            answer @ Answer::Configuration { .. } => {
                Ok((codec.reply(&convert::configuration_reply(answer)), "shown"))
            }
        }
    }

    /// Replies with this entry's own counts and lists the other entries as missing.
    async fn burn(
        &self,
        codec: Codec,
        body: &[u8],
        key_digest: String,
    ) -> Result<(Reply, &'static str), Fault> {
        codec.decode::<v1::GetBurnRequest>(body)?;
        // The report covers all teams, so only operators may read it. The query of the
        // configuration checks the key and returns the other entries.
        let answer = self.execute(key_digest, Ask::Configuration).await?;
        let missing = match answer {
            Answer::Refused(refusal @ Refusal::Denied { .. }) => {
                return Err(convert::fault(refusal));
            }
            Answer::Configuration { processes, .. } => {
                let others = processes.into_iter().filter(|process| process.entry);
                others.map(|process| process.name).filter(|name| *name != self.name).collect()
            }
            _ => vec!["all other entries: no owner tells which there are".to_owned()],
        };
        let burn = self.burn.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let rows = burn.report(self.start.elapsed());
        let reply = v1::BurnReply { rows, entries: vec![self.name.clone()], missing };
        Ok((codec.reply(&reply), "shown"))
    }
}

const METHODS: [&str; 10] = [
    "Submit",
    "Wait",
    "Cancel",
    "GetJob",
    "PutTeam",
    "PutGuarantee",
    "PutDrain",
    "GetPool",
    "GetConfiguration",
    "GetBurn",
];

fn parse(method: &str, codec: Codec, body: &[u8]) -> Result<Ask, Fault> {
    match method {
        "Submit" => convert::submit(decode(codec, body)?),
        "Wait" => convert::wait(decode(codec, body)?),
        "Cancel" => convert::cancel(decode(codec, body)?),
        "GetJob" => convert::get_job(decode(codec, body)?),
        "PutTeam" => convert::put_team(decode(codec, body)?),
        "PutGuarantee" => convert::put_guarantee(decode(codec, body)?),
        "PutDrain" => convert::put_drain(decode(codec, body)?),
        "GetPool" => decode::<v1::GetPoolRequest>(codec, body).map(|_| Ask::Pool),
        "GetConfiguration" => {
            decode::<v1::GetConfigurationRequest>(codec, body).map(|_| Ask::Configuration)
        }
        _ => Err(Fault::new(Code::Unimplemented, &format!("there is no method {method:?}"))),
    }
}

fn decode<T: Message + Default + DeserializeOwned>(codec: Codec, body: &[u8]) -> Result<T, Fault> {
    codec.decode(body)
}

fn unauthenticated() -> Fault {
    let mut fault = Fault::new(Code::Unauthenticated, "give a key as bearer token");
    fault.detail.field = "authorization".to_owned();
    fault
}

fn plain_text(status: u16, body: &'static str) -> Reply {
    quincewheel_http::reply(status, "text/plain; charset=utf-8", body)
}
