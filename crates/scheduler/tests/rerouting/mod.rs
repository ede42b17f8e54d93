//! Two pools with VMs, and a queue whose route changes between them.
#![allow(dead_code, reason = "each test file uses only some items")]

use std::time::Duration;

use hyper::Method;
use thistle_platform::standin::StoreEndpoint;
use thistle_platform::standin::bodies::{self, Route};
use thistle_schedule::job_log::{cancel_key, encode_cancel, encode_spec, submit_key};
use thistle_schedule::{Caller, JobSpec, Room, Step};

use super::system::{self, POOL, System, wait_until};

/// The second pool.
pub const HUB: &str = system::SECOND_POOL;
/// A pool without VMs.
pub const BARE: &str = "bare";
/// The queue that is routed to another pool, and one that always belongs to the second pool.
pub const QUEUE: &str = "r/quotes/";
pub const OTHER_QUEUE_PATH: &str = "/orders/";
const PATH: &str = "/quotes/";
const VMS: u8 = 3;

/// A system with the pools [`POOL`], [`HUB`] and [`BARE`].
pub struct Rerouting {
    pub system: System,
    /// The pools that the next configurations name.
    pub pools: Vec<&'static str>,
    /// The cap of the workspace to which the caller's key belongs, in thousandths of a core.
    pub cap: Option<u32>,
    version: u64,
}

impl Rerouting {
    /// Starts the system with the queue in [`POOL`], and waits until all pools have owners.
    pub async fn start(net: u8, nodes: u8) -> Self {
        Self::start_with_settings(net, nodes, "").await
    }

    /// The same with additional lines of settings.
    pub async fn start_with_settings(net: u8, nodes: u8, extra_settings: &str) -> Self {
        let system = System::start_with_settings(net, VMS, nodes, extra_settings).await;
        Self::start_in(system, net).await
    }

    /// The same with an address of the store for each node.
    pub async fn start_with_endpoints(net: u8, nodes: u8) -> (Self, Vec<StoreEndpoint>) {
        let mut system = System::start(net, VMS, 0).await;
        let mut endpoints = Vec::new();
        for i in 0..nodes {
            let endpoint = system.platform.open_endpoint(system::ip(net, 2 + i)).await;
            let endpoint = endpoint.expect("the endpoint opens");
            system.add_node_at(system::ip(net, 10 + i), endpoint.addr);
            endpoints.push(endpoint);
        }
        for node in &system.nodes {
            wait_until("a node is ready", || node.is_ready()).await;
        }
        (Self::start_in(system, net).await, endpoints)
    }

    async fn start_in(system: System, net: u8) -> Self {
        for i in 0..VMS {
            let name = format!("h-{i}");
            let added = system.platform.machines.add(&name, HUB, system::ip(net, 150 + i)).await;
            added.expect("the VM starts");
        }
        let mut rerouting = Self { system, pools: vec![POOL, HUB, BARE], cap: None, version: 1 };
        rerouting.route_to(Some(POOL)).await;
        let owner_of =
            |pool| rerouting.system.platform.store.newest("control", 0, &format!("owner/{pool}"));
        let owned = async || [POOL, HUB, BARE].iter().all(|pool| owner_of(pool).is_some());
        wait_until("all pools have owners", owned).await;
        // The owners list the VMs.
        tokio::time::sleep(Duration::from_millis(500)).await;
        rerouting
    }

    /// Routes the queue to a pool, or removes its route, without waiting for the nodes.
    pub fn put_route(&mut self, pool: Option<&str>) {
        self.put_named_route(QUEUE, pool);
    }

    /// The same with another name of the queue.
    pub fn put_named_route(&mut self, name: &str, pool: Option<&str>) {
        self.version += 1;
        let mut routes = vec![Route { name: "r/orders/", path: OTHER_QUEUE_PATH, pool: HUB }];
        routes.extend(pool.map(|pool| Route { name, path: PATH, pool }));
        let mut config = bodies::config_with_routes(self.version, &routes, &self.pools, "off");
        if let Some(cap) = self.cap {
            let workspace = bodies::workspace("lunch", &[system::KEY], cap, 3);
            config = bodies::with_workspaces(&config, &[workspace], &[]);
        }
        self.system.platform.store.put("op", "config", config);
    }

    /// Waits until the newest configuration is in force on all nodes.
    pub async fn wait_until_in_force(&self) {
        let line = format!("step=in-force version={} ", self.version);
        let in_force = async || self.system.nodes.iter().all(|node| node.log().contains(&line));
        wait_until("the configuration is in force", in_force).await;
    }

    /// Routes the queue to a pool, or removes its route, and waits until that is in force.
    pub async fn route_to(&mut self, pool: Option<&str>) {
        self.put_route(pool);
        self.wait_until_in_force().await;
    }

    /// Writes a submission to a pool, as an append that the store executes late or a node with another configuration does.
    pub fn write_submission(&self, pool: &str, id: &str, task_ms: u32) {
        self.write_submission_as("", pool, id, task_ms, QUEUE);
    }

    /// The same with another name of the queue.
    pub fn write_named_submission(&self, pool: &str, id: &str, task_ms: u32, queue: &str) {
        self.write_submission_as("", pool, id, task_ms, queue);
    }

    /// The same with the workspace of the caller.
    pub fn write_submission_of(&self, workspace: &str, pool: &str, id: &str, task_ms: u32) {
        self.write_submission_as(workspace, pool, id, task_ms, QUEUE);
    }

    fn write_submission_as(
        &self,
        workspace: &str,
        pool: &str,
        id: &str,
        task_ms: u32,
        queue: &str,
    ) {
        let step = Step {
            count: 2,
            demand: Room { cpu: 500, mem_mb: 256, gpu: 0 },
            estimated_ms: task_ms,
            ..Step::default()
        };
        let spec = JobSpec {
            text: format!("ms={task_ms}"),
            steps: vec![step],
            queue: queue.to_owned(),
            workspace: workspace.to_owned(),
            accepted_ms: thistle_model::clock::wall_ms(),
            ..JobSpec::default()
        };
        let key = submit_key(id.parse().expect("a job ID"));
        self.system.platform.store.put(&format!("jobs.{pool}"), &key, encode_spec(&spec));
    }

    /// Writes a cancellation to a pool.
    pub fn write_cancellation(&self, pool: &str, id: &str) {
        self.write_cancellation_of(&Caller { queue: QUEUE.to_owned(), workspace: None }, pool, id);
    }

    /// The same with another caller.
    pub fn write_cancellation_of(&self, caller: &Caller, pool: &str, id: &str) {
        let key = cancel_key(id.parse().expect("a job ID"));
        self.system.platform.store.put(&format!("jobs.{pool}"), &key, encode_cancel(caller));
    }

    /// Returns the starts of all tasks of the jobs that were started more than once.
    pub fn started_again(&self, ids: &[String]) -> Vec<(String, usize)> {
        let starts = ids.iter().flat_map(|id| self.system.starts_of(id));
        starts.filter(|(_, starts)| *starts > 1).collect()
    }

    /// Returns the pools whose VMs have started a job.
    pub fn pools_of(&self, id: &str) -> Vec<String> {
        let vms = self.system.platform.machines.vms();
        let started =
            vms.iter().filter(|vm| vm.started().iter().any(|(task, _)| task.starts_with(id)));
        let mut pools: Vec<String> = started.map(|vm| vm.place.pool.clone()).collect();
        pools.sort();
        pools.dedup();
        pools
    }

    /// Returns the node that owns a pool according to the store.
    pub fn owner_of(&self, pool: &str) -> Option<usize> {
        let claim = self.system.platform.store.newest("control", 0, &format!("owner/{pool}"))?;
        let claim: serde_json::Value = serde_json::from_slice(&claim).ok()?;
        self.system.nodes.iter().position(|node| claim["owner"]["name"] == node.name.as_str())
    }

    /// Waits until all jobs are completed according to each node.
    pub async fn wait_until_completed(&self, ids: &[String]) {
        for id in ids {
            for node in &self.system.nodes {
                system::wait_until_state(node, id, "completed").await;
            }
        }
    }

    /// Returns whether a node has logged a text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.system.nodes.iter().any(|node| node.log().contains(text))
    }

    /// Returns the number of pending jobs of the queue according to a node.
    pub async fn pending(&self, node: usize) -> String {
        let answer = system::send(&self.system.nodes[node], Method::GET, PATH).await;
        String::from_utf8_lossy(&answer.body).into_owned()
    }
}

/// Returns IDs of jobs.
pub fn ids(count: u64) -> Vec<String> {
    (0..count).map(|i| format!("{:016x}", 0x5c0e_7a21_d94b_0000 + i)).collect()
}
