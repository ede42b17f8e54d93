//! Repairs of faults, and waiting until the submitted jobs are settled.

use hyper::Method;
use rand::Rng;
use thistle_platform::standin::Fault;

use super::callers::{Job, SubmitOutcome};
use super::faults::{SIGHUP, Soak, path_of};
use super::system::{send, state, wait_until};

impl Soak {
    /// Repairs all faults of a random kind.
    pub async fn repair_some(&mut self) -> String {
        match self.rng.random_range(0..4) {
            0 => {
                self.system.platform.store.set_fault(Fault::None);
                "store repaired".to_owned()
            }
            1 => {
                self.store_proxies.iter().for_each(|proxy| proxy.set_cut_off(false));
                "store links repaired".to_owned()
            }
            2 => {
                self.repair_vms();
                "VMs repaired".to_owned()
            }
            _ => {
                self.resume_and_start_nodes().await;
                "nodes up".to_owned()
            }
        }
    }

    fn repair_vms(&self) {
        let vms = self.system.platform.machines.vms();
        for vm in vms.iter().filter(|vm| !self.is_cut_off(vm)) {
            vm.set_unresponsive(false);
            vm.execute_late(false);
        }
    }

    async fn resume_and_start_nodes(&mut self) {
        for node in std::mem::take(&mut self.paused) {
            self.system.nodes[node].signal("CONT");
        }
        for node in std::mem::take(&mut self.down) {
            // A node that was signalled to stop may still be running.
            self.system.nodes[node].kill();
            self.system.nodes[node].start();
            self.seen_versions[node] = 0;
        }
    }

    pub fn is_paused(&self, node: usize) -> bool {
        self.paused.contains(&node)
    }

    /// Resumes a node if it is still paused.
    pub fn resume_node(&mut self, node: usize) {
        if self.is_paused(node) {
            self.paused.retain(|&n| n != node);
            self.system.nodes[node].signal("CONT");
        }
    }

    /// Starts a node that is down.
    pub fn start_node(&mut self, node: usize) {
        self.down.retain(|&n| n != node);
        self.system.nodes[node].start();
        self.seen_versions[node] = 0;
    }

    /// Starts nodes again that SIGHUP ended before their handler was installed, as the platform does.
    pub fn start_nodes_ended_by_sighup(&mut self) {
        for node in 0..self.system.nodes.len() {
            let ended_by_sighup = self.system.nodes[node].end_signal() == Some(SIGHUP);
            if ended_by_sighup && !self.down.contains(&node) {
                self.start_node(node);
            }
        }
    }

    /// Repairs all faults and waits until all nodes are ready. Nodes that were signalled to stop may exit first.
    pub async fn repair_all(&mut self) {
        self.apply_all_repairs();
        for node in 0..self.system.nodes.len() {
            let ended_by_sighup = self.system.nodes[node].end_signal() == Some(SIGHUP);
            if ended_by_sighup && !self.down.contains(&node) {
                self.down.push(node);
            }
        }
        for &node in &self.down {
            let node = &mut self.system.nodes[node];
            wait_until("a stopped node has exited", || std::future::ready(node.has_ended())).await;
        }
        self.system.platform.store.set_fault(Fault::None);
        self.store_proxies.iter().for_each(|proxy| proxy.set_cut_off(false));
        self.repair_vms();
        self.resume_and_start_nodes().await;
        for node in &self.system.nodes {
            wait_until("a node is ready again", || node.is_ready()).await;
        }
    }

    /// Waits until every accepted job is settled, no task runs and the newest configuration is in force.
    pub async fn wait_until_settled(&self, jobs: &[Job]) {
        let node = &self.system.nodes[0];
        for job in jobs.iter().filter(|job| job.outcome == SubmitOutcome::Accepted) {
            let is_settled = async || {
                let state = state(node, &job.id).await;
                state == "completed"
                    || job.cancelled && state == "cancelled"
                    || state == "failed" && self.was_abandoned(&job.id)
            };
            wait_until(&format!("{} is settled", job.id), is_settled).await;
        }
        let vms = || self.system.platform.machines.vms();
        wait_until("no task runs", async || vms().iter().all(|vm| vm.running().is_empty())).await;
        if self.version > 1 {
            for node in &self.system.nodes {
                let path = path_of(self.version);
                let is_in_force = async || send(node, Method::GET, &path).await.status == 200;
                wait_until("the newest version is in force", is_in_force).await;
            }
        }
    }

    /// Returns how often a text occurs in the logs of all nodes.
    pub fn count_log_matches(&self, text: &str) -> usize {
        self.system.nodes.iter().map(|node| node.log().matches(text).count()).sum()
    }
}
