//! Callers that submit, ask, cancel, over connections that they keep open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use thistle_platform::KEY_HEADER;
use thistle_platform::http::{Call, CallError, HttpClient};
use thistle_platform::standin::bodies;
use tokio::task::JoinHandle;

use super::rhythm::Rhythm;
use super::system::{KEY, job};

/// How often one sends a job again that was not taken, or of which it knows nothing.
const TRIES: u32 = 4;
/// How long one waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Within this time of its acceptance every node knows a job.
const VISIBLE: Duration = Duration::from_secs(3);

/// What a caller was told of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// It is kept.
    Accepted,
    /// Every try was refused: it never runs.
    Refused,
    /// Some try had no answer, and none was accepted.
    Unknown,
}

/// A job as its caller knows it.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub told: Told,
    pub tasks: usize,
    /// Its cancel was acknowledged, or may have been taken.
    pub cancelled: bool,
    /// A node that answered did not know it long after its acceptance.
    pub denied: bool,
    /// Nodes to which it was sent, one for each try, and whether they answered.
    pub tries: Vec<(usize, bool)>,
}

/// Callers that run until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Job>>>,
}

impl Callers {
    pub fn start(seed: u64, addrs: Vec<SocketAddr>, rhythm: Rhythm) -> Self {
        let began = Instant::now();
        let stop = Arc::new(AtomicBool::new(false));
        let run = |number| {
            let caller = Caller {
                rng: StdRng::seed_from_u64(seed * 100 + number),
                nodes: addrs.iter().map(|&addr| HttpClient::new(addr, 4)).collect(),
                number,
                rhythm,
                began,
                asked: 0,
                jobs: Vec::new(),
                accepted: Vec::new(),
            };
            tokio::spawn(caller.run(stop.clone()))
        };
        Self { tasks: (0..rhythm.callers()).map(run).collect(), stop }
    }

    pub async fn stop(self) -> Vec<Job> {
        self.stop.store(true, Ordering::Relaxed);
        let mut jobs = Vec::new();
        for task in self.tasks {
            jobs.extend(task.await.expect("a caller runs to its end"));
        }
        jobs
    }
}

struct Caller {
    rng: StdRng,
    nodes: Vec<HttpClient>,
    number: u64,
    rhythm: Rhythm,
    began: Instant,
    /// The node that was called last.
    asked: usize,
    jobs: Vec<Job>,
    accepted: Vec<(usize, Instant)>,
}

impl Caller {
    async fn run(mut self, stop: Arc<AtomicBool>) -> Vec<Job> {
        while !stop.load(Ordering::Relaxed) {
            self.submit().await;
            self.ask().await;
            let pause = self.rhythm.amount(self.began).pause_ms;
            tokio::time::sleep(Duration::from_millis(self.rng.random_range(pause))).await;
        }
        self.jobs
    }

    /// Makes a call to some node.
    async fn call(&mut self, method: Method, id: &str, body: Option<&serde_json::Value>) -> Heard {
        let node = self.rng.random_range(0..self.nodes.len());
        self.asked = node;
        let call = Call::new(method, format!("/quotes/{id}"), PATIENCE);
        let call = call.with_header("host", bodies::HOST).with_header(KEY_HEADER, KEY);
        let call = match body {
            Some(body) => call.with_json(body),
            None => call,
        };
        match self.nodes[node].call(call).await {
            Ok(answer) => Heard::Status(answer.status),
            Err(CallError::NotSent(..)) => Heard::NotSent,
            Err(CallError::Unanswered(..)) => Heard::Nothing,
        }
    }

    async fn submit(&mut self) {
        let id = format!("{:08x}{:08x}", self.number + 1, self.jobs.len());
        let amount = self.rhythm.amount(self.began);
        let tasks = self.rng.random_range(amount.tasks);
        // Long ones are still running when their VM falls silent and its lease ends.
        let lasts = match self.rng.random_bool(amount.long) {
            true => self.rng.random_range(2_000..8_000),
            false => self.rng.random_range(30..700),
        };
        let body = job(tasks, lasts);
        let mut told = Told::Refused;
        let mut tries = Vec::new();
        for _ in 0..TRIES {
            let heard = self.call(Method::POST, &id, Some(&body)).await;
            if heard != Heard::NotSent {
                tries.push((self.asked, heard != Heard::Nothing));
            }
            match heard {
                Heard::Status(200) => told = Told::Accepted,
                Heard::Status(429 | 503) | Heard::NotSent => {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
                Heard::Status(_) | Heard::Nothing => {
                    told = Told::Unknown;
                    continue;
                }
            }
            break;
        }
        let tasks = usize::try_from(tasks).unwrap_or(0);
        let mut job = Job { id, told, tasks, cancelled: false, denied: false, tries };
        if told == Told::Accepted && self.rng.random_bool(0.15) {
            let pause = Duration::from_millis(self.rng.random_range(0..400));
            tokio::time::sleep(pause).await;
            self.cancel(&mut job).await;
        }
        if told == Told::Accepted && !job.cancelled {
            self.accepted.push((self.jobs.len(), Instant::now()));
        }
        self.jobs.push(job);
    }

    async fn cancel(&mut self, job: &mut Job) {
        for _ in 0..TRIES {
            match self.call(Method::DELETE, &job.id, None).await {
                Heard::NotSent | Heard::Status(429 | 503) => (),
                heard => {
                    job.cancelled = true;
                    if matches!(heard, Heard::Status(200 | 410)) {
                        return;
                    }
                }
            }
        }
    }

    /// Asks some node for a job that was accepted long ago.
    async fn ask(&mut self) {
        if self.accepted.is_empty() {
            return;
        }
        let (job, at) = self.accepted[self.rng.random_range(0..self.accepted.len())];
        if at.elapsed() < VISIBLE {
            return;
        }
        let id = self.jobs[job].id.clone();
        if matches!(self.call(Method::GET, &id, None).await, Heard::Status(410)) {
            self.jobs[job].denied = true;
        }
    }
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    Status(u16),
    /// No byte of it was sent.
    NotSent,
    /// It may have been taken.
    Nothing,
}
