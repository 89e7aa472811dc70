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

use crate::brain::{Status, Work};
use crate::burn::{Burn, Objective};
use crate::connect::{Code, Codec, Fault};
use crate::convert;
use crate::metrics::Metrics;

/// Largest request body, in bytes: the largest payload as base64, and room.
pub(crate) const MAX_BODY: usize = 131_072;
/// When the brain's ring is full a new try makes sense after this time.
const BUSY_RETRY: Duration = Duration::from_millis(500);
const PREFIX: &str = "/quincewheel.v1.Scheduler/";

/// Answers HTTP requests.
#[derive(Clone)]
pub(crate) struct Routes {
    pub name: String,
    pub work: ring::Sender<Work>,
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
            "/healthz" => text(200, "alive\n"),
            "/readyz" => self.ready(),
            "/metrics" => {
                let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                quincewheel_http::reply(200, kind, self.metrics.page())
            }
            _ => match path.strip_prefix(PREFIX) {
                Some(method) => self.rpc(method, &mut request).await,
                None => text(404, "no such page\n"),
            },
        }
    }

    fn ready(&self) -> Reply {
        let ready = self.status.ready.load(Ordering::Relaxed);
        if ready && !self.draining.load(Ordering::Relaxed) {
            text(200, "ready\n")
        } else {
            text(503, "not ready: no owner is reachable, or this entry is draining\n")
        }
    }

    async fn rpc(&self, method: &str, request: &mut Request) -> Reply {
        let began = Instant::now();
        let result = self.call(method, request).await;
        let (reply, outcome) = match result {
            Ok((reply, outcome)) => (reply, outcome),
            Err(fault) => (fault.reply(), "error"),
        };
        let known = METHODS.contains(&method);
        let method = if known { method } else { "unknown" };
        self.metrics.count(method, outcome, began.elapsed().as_secs_f64());
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
        // The body is read first in any case, so that the connection can be
        // used again whatever is wrong with the rest.
        let body = quincewheel_http::read(request, MAX_BODY).await;
        if request.method().as_str() != "POST" {
            return Err(Fault::new(Code::Unimplemented, "calls are made with POST"));
        }
        let Some(codec) = Codec::of(&content_type) else {
            let message = format!(
                "content type {content_type:?} is not spoken here; use application/json or \
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
        };
        let Some(key) = bearer.strip_prefix("Bearer ").filter(|key| !key.is_empty()) else {
            let mut fault = Fault::new(Code::Unauthenticated, "give a key as bearer token");
            fault.detail.field = "authorization".to_owned();
            return Err(fault);
        };
        let key_digest = quincewheel_wire::sha256(key.as_bytes());
        if method == "GetBurn" {
            return self.burn(codec, &body, key_digest).await;
        }
        let ask = parse(method, codec, &body)?;
        let answer = self.ask(key_digest, ask.clone()).await?;
        self.respond(codec, &ask, answer)
    }

    /// Hands a call to the brain and waits for its answer.
    async fn ask(&self, key_digest: String, ask: Ask) -> Result<Answer, Fault> {
        let busy = |message: &str| Fault::new(Code::Unavailable, message).retry_after(BUSY_RETRY);
        if self.draining.load(Ordering::Relaxed) {
            return Err(busy("this entry is shutting down; call another"));
        }
        let began = Instant::now();
        let (reply, answer) = oneshot::channel();
        let work = Work::Call { key_digest, ask: ask.clone(), reply };
        if self.work.try_send(work).is_err() {
            self.count_answered(&ask, None, began);
            return Err(busy("too many calls wait at this entry; nothing was done"));
        }
        let answer = answer.await.map_err(|_| busy("this entry is ending"))?;
        self.count_answered(&ask, Some(&answer), began);
        Ok(answer)
    }

    /// Counts an answer against the objectives.
    fn count_answered(&self, ask: &Ask, answer: Option<&Answer>, began: Instant) {
        let Ask::Submit(job) = ask else { return };
        let outcome = match answer {
            Some(Answer::Job { outcome, .. }) => Some(outcome),
            Some(Answer::Refused(Refusal::Unavailable { .. })) | None => None,
            Some(_) => return,
        };
        let in_time = outcome.is_some() && began.elapsed() <= job.deadline;
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
                    _ => return Err(Fault::new(Code::Unavailable, "mismatched answer")),
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

    /// This entry's own counts; other entries are named as not counted.
    async fn burn(
        &self,
        codec: Codec,
        body: &[u8],
        key_digest: String,
    ) -> Result<(Reply, &'static str), Fault> {
        codec.decode::<v1::GetBurnRequest>(body)?;
        // The report is about all teams: only operators may see it. Asking for
        // the configuration checks that and tells which other entries there are.
        let answer = self.ask(key_digest, Ask::Configuration).await?;
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

fn text(status: u16, body: &'static str) -> Reply {
    quincewheel_http::reply(status, "text/plain; charset=utf-8", body)
}
