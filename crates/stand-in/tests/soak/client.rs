//! Clients: they submit jobs, cancel some, and ask what became of them.

use std::sync::Mutex;
use std::time::Duration;

use awc::http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::hall::Hall;
use crate::judge::{Job, Step, Told};

/// How often a client tries before it gives up.
const TRIES: usize = 5;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(300);
/// How long it waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// One job in so many crashes workers, where some do.
const BAD: u64 = 12;
/// Where an entry tells whether it asks for clients.
const READY: &str = "/v1/readyz";

/// Calls entries over connections that stay open.
pub struct Client {
    http: awc::Client,
    entries: Vec<String>,
    random: StdRng,
    /// Some jobs crash the workers that start them.
    bad: bool,
}

impl Client {
    pub fn open(entries: &[String], seed: u64) -> Client {
        let http = awc::Client::builder().timeout(PATIENCE).finish();
        Client { http, entries: entries.to_vec(), random: StdRng::seed_from_u64(seed), bad: false }
    }

    /// One in [`BAD`] of its jobs crashes the workers that start it.
    pub fn with_bad_jobs(self, bad: bool) -> Client {
        Client { bad, ..self }
    }

    /// Submits a job, cancels some, and takes note of what it is told. Returns
    /// the job's path if it was accepted.
    pub async fn submit(&mut self, hall: &Mutex<Hall>, key: &str) -> Option<String> {
        let id = format!("{:016x}", self.random.random::<u64>());
        let queue = if self.random.random_bool(0.4) { "urgent" } else { "calm" };
        let path = format!("/{queue}/{id}");
        let job = self.draw(&id);
        // Both interfaces lead to the same jobs.
        let (to, key_line, body) = match self.random.random_bool(0.3) {
            true => (SUBMIT.to_owned(), format!("Bearer {key}"), procedure(queue, &id, &job)),
            false => (path.clone(), format!("Token {key}"), encode(&job)),
        };
        hall.lock().unwrap().judge.jobs.insert(id.clone(), job);
        let told = self.insist(&to, &key_line, &body).await;
        if let Some(job) = hall.lock().unwrap().judge.jobs.get_mut(&id) {
            job.told = told;
        }
        if told != Told::Accepted {
            return None;
        }
        if self.random.random_bool(0.1) {
            if let Some(job) = hall.lock().unwrap().judge.jobs.get_mut(&id) {
                job.cancelled = true;
            }
            // Whatever the answer: its end is asked for later.
            let _ = self.call(Method::DELETE, &path, &format!("Token {key}"), None).await;
        }
        Some(path)
    }

    async fn insist(&mut self, path: &str, key_line: &str, body: &Value) -> Told {
        let mut told = Told::Refused;
        for _ in 0..TRIES {
            match self.call(Method::POST, path, key_line, Some(body)).await {
                Some((200, _)) => return Told::Accepted,
                Some((429 | 503, _)) => {}
                _ => told = Told::Unclear,
            }
            tokio::time::sleep(PAUSE).await;
        }
        told
    }

    /// Asks for a job's state; `gone` if there is no such job, none without an
    /// answer.
    pub async fn state(&mut self, path: &str, key: &str) -> Option<String> {
        match self.call(Method::GET, path, &format!("Token {key}"), None).await? {
            (200, body) => body["state"].as_str().map(str::to_owned),
            (410, _) => Some("gone".to_owned()),
            _ => None,
        }
    }

    /// Submits nothing: a malformed body with a key shows whether it is known.
    pub async fn knows(&mut self, key: &str) -> Option<bool> {
        let path = format!("/calm/{:016x}", self.random.random::<u64>());
        let (status, _) =
            self.call(Method::POST, &path, &format!("Token {key}"), Some(&json!({}))).await?;
        match status {
            400 => Some(true),
            401 => Some(false),
            _ => None,
        }
    }

    /// The status of a call, whatever it is.
    pub async fn status(&mut self, path: &str, key_line: &str, body: &Value) -> u16 {
        let told = self.call(Method::POST, path, key_line, Some(body)).await;
        told.map_or(0, |(status, _)| status)
    }

    /// True if the entry with this address for readiness asks for clients.
    pub async fn is_ready(&self, address: &str) -> bool {
        let request = self.http.get(format!("http://{address}{READY}"));
        request.send().await.is_ok_and(|answer| answer.status().is_success())
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        key_line: &str,
        body: Option<&Value>,
    ) -> Option<(u16, Value)> {
        let entry = &self.entries[self.random.random_range(0..self.entries.len())];
        let request = self
            .http
            .request(method, format!("http://{entry}{path}"))
            .insert_header(("host", "soak.example"))
            .insert_header(("authorization", key_line));
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let mut answer = sent.ok()?;
        let status = answer.status().as_u16();
        let body = answer.body().await.ok()?;
        Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    fn draw(&mut self, id: &str) -> Job {
        let count = self.random.random_range(1..=2);
        let steps = (0..count).map(|number| self.step(number)).collect();
        let fails = if self.random.random_bool(0.2) { 4 } else { 0 };
        let (told, cancelled) = (Told::Unclear, false);
        // By its name, so that seeds draw the same jobs with and without.
        let number = u64::from_str_radix(id, 16).unwrap_or_default();
        let crashes = self.bad && number.is_multiple_of(BAD);
        Job { spec: format!("spec of {id}"), steps, told, cancelled, fails, crashes }
    }

    fn step(&mut self, number: u32) -> Step {
        let gang = self.random.random_bool(0.4);
        Step {
            count: self.random.random_range(1..=3),
            accelerators: 1 << self.random.random_range(0..4),
            gang,
            after: if number > 0 { vec![number - 1] } else { Vec::new() },
            ms: self.random.random_range(200..1500),
        }
    }
}

/// The product's own procedure for submissions.
pub const SUBMIT: &str = "/quincewheel.jobs.v1.Jobs/Submit";

fn procedure(queue: &str, id: &str, job: &Job) -> Value {
    let step = |step: &Step| {
        json!({
            "count": step.count, "estimateMs": step.ms, "after": step.after, "gang": step.gang,
            "need": { "cpu": 1000, "memory": 1000, "accelerators": step.accelerators },
        })
    };
    let steps: Vec<Value> = job.steps.iter().map(step).collect();
    json!({ "queue": queue, "id": id, "spec": job.spec, "steps": steps })
}

fn encode(job: &Job) -> Value {
    let step = |step: &Step| {
        json!({
            "count": step.count, "cpu": 1000, "memMb": 1000, "gpu": step.accelerators,
            "estimateMs": step.ms, "after": step.after, "gang": step.gang,
        })
    };
    let steps: Vec<Value> = job.steps.iter().map(step).collect();
    json!({ "spec": job.spec, "steps": steps })
}
