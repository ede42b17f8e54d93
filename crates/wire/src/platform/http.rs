//! Clients of the platform's services over HTTP, in the protocol of the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderValue;
use serde::Deserialize;
use thistle_model::{Offset, Revision, VmName};
use tokio::sync::Mutex;

use super::{ListedVm, LogPage, LogService, VmService};
use crate::http_client::{HttpClient, HttpError};

/// The timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of a read, including the time that the request asks the service to wait for entries.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout of a call to the VM list.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// The log service over HTTP: `POST /log`, `GET /log?from=N&wait_ms=M`.
#[derive(Debug)]
pub struct HttpLog {
    appends: HttpClient,
    reads: HttpClient,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: Offset,
}

#[derive(Deserialize)]
struct ReadAnswer {
    base: Offset,
    end: Offset,
    entries: Vec<String>,
}

impl HttpLog {
    /// Returns a client of the log service at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            appends: HttpClient::new(addr, APPEND_TIMEOUT),
            reads: HttpClient::new(addr, READ_TIMEOUT),
        }
    }
}

impl LogService for HttpLog {
    async fn append(&self, entry: Vec<u8>) -> Result<Offset, HttpError> {
        let body = self.appends.call(Method::POST, "/log", Bytes::from(entry)).await?;
        let answer: AppendAnswer = parse(self.appends.addr(), &body)?;
        Ok(answer.offset)
    }

    async fn read(&self, from: Offset, wait_ms: u64) -> Result<LogPage, HttpError> {
        let path = format!("/log?from={from}&wait_ms={wait_ms}");
        let body = self.reads.call(Method::GET, &path, Bytes::new()).await?;
        let answer: ReadAnswer = parse(self.reads.addr(), &body)?;
        let decode = |s: &String| STANDARD.decode(s);
        let entries: Result<Vec<_>, _> = answer.entries.iter().map(decode).collect();
        let entries =
            entries.map_err(|e| HttpError::Malformed(self.reads.addr(), e.to_string()))?;
        Ok(LogPage { base: answer.base, end: answer.end, entries })
    }
}

/// The VM list over HTTP: `GET /vms`, `POST /vms/NAME/reboot?token=N`.
///
/// The request carries the entity tag of the last list, so that the list is only transferred when it has changed.
#[derive(Debug)]
pub struct HttpVmList {
    http: HttpClient,
    last: Mutex<Option<LastList>>,
}

#[derive(Debug)]
struct LastList {
    tag: HeaderValue,
    vms: Vec<ListedVm>,
}

impl HttpVmList {
    /// Returns a client of the VM list at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { http: HttpClient::new(addr, LIST_TIMEOUT), last: Mutex::new(None) }
    }
}

impl VmService for HttpVmList {
    async fn list(&self) -> Result<Vec<ListedVm>, HttpError> {
        let mut last = self.last.lock().await;
        let tag = last.as_ref().map(|l| &l.tag);
        let Some(answer) = self.http.get_changed("/vms", tag).await? else {
            return Ok(last.as_ref().map(|l| l.vms.clone()).unwrap_or_default());
        };
        let vms: Vec<ListedVm> = parse(self.http.addr(), &answer.body)?;
        *last = answer.tag.map(|tag| LastList { tag, vms: vms.clone() });
        Ok(vms)
    }

    async fn reboot(&self, vm: &VmName, token: Revision) -> Result<(), HttpError> {
        let path = format!("/vms/{vm}/reboot?token={token}");
        self.http.call(Method::POST, &path, Bytes::new()).await?;
        Ok(())
    }
}

fn parse<'a, T: Deserialize<'a>>(addr: SocketAddr, body: &'a [u8]) -> Result<T, HttpError> {
    serde_json::from_slice(body).map_err(|e| HttpError::Malformed(addr, e.to_string()))
}
