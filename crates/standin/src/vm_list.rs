//! A fake VM list: changes show after a lag, and VMs can reboot, leave and disappear.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ETAG, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use thistle_model::vm::{DEFAULT_CONNECTIONS, DEFAULT_SLOTS};
use thistle_model::{PlatformStatus, Revision, VmFacts, VmName};
use thistle_settings::StandinSettings;
use thistle_wire::platform::ListedVm;
use tokio::sync::Mutex;

use crate::answer::{json, status};
use crate::serve::{query, query_text, serve};

/// The time between copies of the list, which are shown after the lag.
const COPY_INTERVAL: Duration = Duration::from_millis(100);

struct Inner {
    vms: BTreeMap<VmName, ListedVm>,
    copies: VecDeque<(Instant, Vec<ListedVm>)>,
    reboots: BTreeMap<VmName, (Revision, Instant)>,
}

struct VmListStandin {
    inner: Mutex<Inner>,
    lag: Duration,
    reboot_time: Duration,
}

/// Runs the VM list.
pub async fn run(settings: &StandinSettings) -> std::io::Result<()> {
    let listed = settings.workers.iter().map(|w| ListedVm {
        name: w.name.clone(),
        facts: VmFacts {
            addr: w.listen,
            hall: w.hall.clone(),
            rack: w.rack.clone(),
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
        },
        status: PlatformStatus::Live,
        rebooted: Revision::NONE,
    });
    let vms: BTreeMap<_, _> = listed.map(|vm| (vm.name.clone(), vm)).collect();
    let copies = VecDeque::from([(Instant::now(), vms.values().cloned().collect())]);
    let list = Arc::new(VmListStandin {
        inner: Mutex::new(Inner { vms, copies, reboots: BTreeMap::new() }),
        lag: settings.list_lag.0,
        reboot_time: settings.reboot_time.0,
    });
    tokio::spawn(copy_lists(list.clone()));
    serve(settings.vm_list_listen, move |req| {
        let list = list.clone();
        async move { list.handle(&req).await }
    })
    .await
}

/// Returns the list, or status 304 when the client already has it.
fn list_response(req: &Request<Incoming>, list: &[ListedVm]) -> Response<Full<Bytes>> {
    let mut answer = json(&list);
    let text = format!("{list:?}");
    let tag = format!("\"{:x}\"", thistle_model::rendezvous::weight(text.as_bytes(), 0));
    if req.headers().get(IF_NONE_MATCH).is_some_and(|t| t.as_bytes() == tag.as_bytes()) {
        return status(StatusCode::NOT_MODIFIED);
    }
    if let Ok(tag) = tag.parse() {
        answer.headers_mut().insert(ETAG, tag);
    }
    answer
}

async fn copy_lists(list: Arc<VmListStandin>) {
    loop {
        tokio::time::sleep(COPY_INTERVAL).await;
        list.copy().await;
    }
}

impl VmListStandin {
    async fn copy(&self) {
        let mut inner = self.inner.lock().await;
        inner.finish_reboots(self.reboot_time);
        let now = Instant::now();
        let list = inner.vms.values().cloned().collect();
        inner.copies.push_back((now, list));
        let is_old = |t: &(Instant, Vec<ListedVm>)| now.duration_since(t.0) >= self.lag;
        while inner.copies.len() > 1 && is_old(&inner.copies[1]) {
            inner.copies.pop_front();
        }
    }

    async fn handle(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path: Vec<_> = req.uri().path().split('/').collect();
        match (req.method().clone(), path.as_slice()) {
            (Method::GET, ["", "vms"]) => {
                let inner = self.inner.lock().await;
                let list = inner.copies.front().map(|(_, list)| list.clone()).unwrap_or_default();
                list_response(req, &list)
            }
            (Method::POST, ["", "vms", name, "reboot"]) => {
                self.reboot(name, query(req, "token").unwrap_or(0)).await
            }
            (Method::POST, ["", "vms", name, "status"]) => {
                let new_status = query_text(req, "status").unwrap_or_default();
                self.set_status(name, &new_status).await
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn reboot(&self, name: &str, token: u64) -> Response<Full<Bytes>> {
        let Ok(name) = VmName::new(name) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut inner = self.inner.lock().await;
        let Some(vm) = inner.vms.get(&name) else {
            return status(StatusCode::NOT_FOUND);
        };
        let token = Revision(token);
        if vm.rebooted != token {
            inner.reboots.entry(name).or_insert((token, Instant::now()));
        }
        status(StatusCode::ACCEPTED)
    }

    async fn set_status(&self, name: &str, new_status: &str) -> Response<Full<Bytes>> {
        let Ok(name) = VmName::new(name) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut inner = self.inner.lock().await;
        match new_status {
            "gone" => {
                inner.vms.remove(&name);
            }
            "leaving" | "live" => {
                let leaving = new_status == "leaving";
                if let Some(vm) = inner.vms.get_mut(&name) {
                    vm.status =
                        if leaving { PlatformStatus::Leaving } else { PlatformStatus::Live };
                }
            }
            _ => return status(StatusCode::BAD_REQUEST),
        }
        status(StatusCode::NO_CONTENT)
    }
}

impl Inner {
    fn finish_reboots(&mut self, takes: Duration) {
        let done = |(_, began): &(Revision, Instant)| began.elapsed() >= takes;
        let names: Vec<_> =
            self.reboots.iter().filter(|(_, r)| done(r)).map(|(n, _)| n.clone()).collect();
        for name in names {
            let Some((token, _)) = self.reboots.remove(&name) else {
                continue;
            };
            if let Some(vm) = self.vms.get_mut(&name) {
                vm.rebooted = token;
                vm.status = PlatformStatus::Live;
            }
        }
    }
}
