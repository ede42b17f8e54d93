//! A client that calls the first steward that responds.

use std::net::SocketAddr;
use std::time::Duration;

use tarpc::context::Context;
use thistle_model::VmName;
use thistle_wire::dial::{CallError, context_with_timeout};
use thistle_wire::operator::{
    JobInfo, OperatorClient, OperatorConnection, StatusInfo, TemplateInfo, VmInfo, WorkspaceInfo,
};

use crate::error::Error;

/// The timeout of a call; longer than a steward waits for a record to be read back.
const TIMEOUT: Duration = Duration::from_secs(12);

/// A client of the configured stewards.
pub struct Client {
    connections: Vec<OperatorConnection>,
}

impl Client {
    /// Returns a client of the stewards that the flag or else the environment lists.
    pub fn new(flag: Option<&str>) -> Result<Self, Error> {
        let from_env = std::env::var("THISTLE_STEWARDS").ok();
        let text = flag.map(str::to_owned).or(from_env).ok_or(Error::NoStewards)?;
        let parse = |s: &str| {
            let addr: Result<SocketAddr, _> = s.trim().parse();
            addr.map_err(|_| Error::Argument(format!("'{s}' is not an address: use IP:PORT")))
        };
        let addrs: Result<Vec<_>, _> = text.split(',').map(parse).collect();
        Ok(Self { connections: addrs?.into_iter().map(OperatorConnection::new).collect() })
    }

    /// Returns the connections to all stewards.
    pub fn connections(&self) -> &[OperatorConnection] {
        &self.connections
    }

    /// Calls one steward after another until one responds.
    pub async fn call<T, F, Fut>(&self, call: F) -> Result<T, Error>
    where
        F: Fn(OperatorClient, Context) -> Fut,
        Fut: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let mut last_error: Option<CallError> = None;
        for connection in &self.connections {
            match call_one(connection, &call).await {
                Ok(value) => return Ok(value),
                Err(e) => last_error = Some(e),
            }
        }
        Err(last_error.map_or(Error::NoStewards, Error::Unreachable))
    }

    /// Returns the status, preferably from a voter, because voters receive the heartbeats of all members.
    pub async fn status(&self) -> Result<StatusInfo, Error> {
        let mut fallback: Result<StatusInfo, Error> = Err(Error::NoStewards);
        for connection in &self.connections {
            match call_one(connection, &|c: OperatorClient, cx| async move { c.status(cx).await })
                .await
            {
                Ok(status) if status.members.iter().any(|m| m.id == status.member && m.voter) => {
                    return Ok(status);
                }
                Ok(status) => fallback = Ok(status),
                Err(e) if fallback.is_err() => fallback = Err(Error::Unreachable(e)),
                Err(_) => {}
            }
        }
        fallback
    }

    /// Returns all templates.
    pub async fn templates(&self) -> Result<Vec<TemplateInfo>, Error> {
        self.call(|c, cx| async move { c.templates(cx).await }).await
    }

    /// Returns all workspaces.
    pub async fn workspaces(&self) -> Result<Vec<WorkspaceInfo>, Error> {
        self.call(|c, cx| async move { c.workspaces(cx).await }).await
    }

    /// Returns all VMs, page by page.
    pub async fn vms(&self) -> Result<Vec<VmInfo>, Error> {
        let mut all: Vec<VmInfo> = Vec::new();
        loop {
            let after = all.last().map(|vm| vm.name.clone());
            let call = |c: OperatorClient, cx| {
                let after = after.clone();
                async move { c.vms(cx, after).await }
            };
            let page = self.call(call).await?;
            if page.is_empty() {
                return Ok(all);
            }
            all.extend(page);
        }
    }

    /// Returns one VM.
    pub async fn vm(&self, name: &VmName) -> Result<VmInfo, Error> {
        let vms = self.vms().await?;
        let found = vms.into_iter().find(|vm| vm.name == *name);
        found.ok_or_else(|| Error::NotFound(format!("no VM '{name}': see 'thistle vm list'")))
    }

    /// Returns all jobs, page by page.
    pub async fn jobs(&self) -> Result<Vec<JobInfo>, Error> {
        let mut all: Vec<JobInfo> = Vec::new();
        loop {
            let after = all.last().map(|job| job.name.clone());
            let call = |c: OperatorClient, cx| {
                let after = after.clone();
                async move { c.jobs(cx, after).await }
            };
            let page = self.call(call).await?;
            if page.is_empty() {
                return Ok(all);
            }
            all.extend(page);
        }
    }
}

/// Calls one steward.
pub async fn call_one<T, F, Fut>(connection: &OperatorConnection, call: &F) -> Result<T, CallError>
where
    F: Fn(OperatorClient, Context) -> Fut,
    Fut: Future<Output = Result<T, tarpc::client::RpcError>>,
{
    let client = connection.client().await?;
    let result = call(client, context_with_timeout(TIMEOUT)).await;
    connection.check(result).await
}
