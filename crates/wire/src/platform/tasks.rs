//! A client for tasks on workers over HTTP, in the protocol of the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use thistle_model::JobName;

use crate::http_client::{HttpClient, HttpError};

/// The timeout of a call to a worker.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The identity of one start of a job on a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobName,
    /// The number of the start.
    pub attempt: u32,
}

/// The state of a task on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It is done.
    Done,
    /// It failed.
    Failed,
    /// It was checkpointed or stopped, and holds no slot.
    Yielded,
    /// The worker does not know it, or its lease expired.
    Unknown,
}

/// A worker's tasks: `POST /-/tasks/start|renew|yield` with a JSON body.
#[derive(Debug)]
pub struct WorkerTasks {
    http: HttpClient,
}

/// The body of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCall {
    /// The tasks.
    pub tasks: Vec<TaskId>,
    /// How long they may run without a renewal, in milliseconds.
    pub lease_ms: u64,
}

impl WorkerTasks {
    /// Returns a client of the worker at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { http: HttpClient::new(addr, TIMEOUT) }
    }

    /// Starts tasks; returns their states in order.
    pub async fn start(&self, call: &TaskCall) -> Result<Vec<TaskState>, HttpError> {
        self.call("/-/tasks/start", call).await
    }

    /// Renews the leases of tasks; returns their states in order.
    pub async fn renew(&self, call: &TaskCall) -> Result<Vec<TaskState>, HttpError> {
        self.call("/-/tasks/renew", call).await
    }

    /// Makes tasks yield, by a checkpoint if they support it, else by a stop.
    pub async fn yield_tasks(&self, call: &TaskCall) -> Result<Vec<TaskState>, HttpError> {
        self.call("/-/tasks/yield", call).await
    }

    async fn call(&self, path: &str, call: &TaskCall) -> Result<Vec<TaskState>, HttpError> {
        let body = serde_json::to_vec(call).unwrap_or_default();
        let answer = self.http.call(Method::POST, path, Bytes::from(body)).await?;
        serde_json::from_slice(&answer)
            .map_err(|e| HttpError::Malformed(self.http.addr(), e.to_string()))
    }
}
