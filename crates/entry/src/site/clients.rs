use std::sync::Arc;

use quincewheel_http::{Intake, Limit, Reply, Request};
use quincewheel_job::Answer;
use quincewheel_platform as platform;
use quincewheel_ring as ring;
use tokio::sync::oneshot;

use super::client_call::{ClientCall, Demand, Inquiry, Protocol};
use super::gate::Gate;
use super::metrics::Metrics;

/// Upper bound on a request body in bytes; the configuration may set a lower one.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Serves clients: the metrics and readiness pages directly, calls through the decision thread.
#[derive(Clone)]
pub(crate) struct Clients {
    pub calls: ring::Sender<Demand>,
    pub gate: Arc<Gate>,
    pub metrics: Arc<Metrics>,
    pub intake: Intake,
}

impl Clients {
    /// Answers an HTTP request.
    pub async fn serve(self, mut request: Request) -> Reply {
        if request.path() == quincewheel_http::METRICS {
            return quincewheel_http::metrics(self.metrics.page());
        }
        if request.path() == platform::READY_PATH {
            let status = if self.gate.ready() { 200 } else { 503 };
            return quincewheel_http::reply(status, "text/plain", "");
        }
        let active = self.gate.enter();
        let protocol = Protocol::from_request(&request);
        let answer = self.execute(&protocol, &mut request).await;
        let mut reply = protocol.encode(&answer);
        drop(active);
        if self.gate.closing() {
            quincewheel_http::close(&mut reply);
        }
        reply
    }

    async fn execute(&self, protocol: &Protocol, request: &mut Request) -> Answer {
        let mut max_bytes = MAX_BODY_BYTES;
        if quincewheel_http::may_be_large(request) {
            match self.inquire(protocol).await {
                Ok(allowed) => max_bytes = allowed.min(max_bytes),
                Err(answer) => return answer,
            }
        }
        let body = quincewheel_http::read(request, max_bytes).await;
        let Some(ticket) = self.gate.admit(self.intake.limits().calls) else {
            self.intake.turn_away(Limit::Calls);
            return protocol.unseen();
        };
        let (reply, answer) = oneshot::channel();
        let call = ClientCall { protocol: protocol.clone(), body, reply, _ticket: ticket };
        if self.calls.try_send(Demand::Call(call)).is_err() {
            return protocol.unseen();
        }
        answer.await.unwrap_or(Answer::Unclear)
    }

    /// Asks whether a large body may be received. A call that is refused whatever its body is must
    /// not make the process hold it.
    async fn inquire(&self, protocol: &Protocol) -> Result<usize, Answer> {
        let (reply, checked) = oneshot::channel();
        let inquiry = Inquiry { protocol: protocol.clone(), reply };
        if self.calls.try_send(Demand::Inquiry(inquiry)).is_err() {
            return Err(protocol.unseen());
        }
        checked.await.unwrap_or_else(|_| Err(protocol.unseen()))
    }
}
