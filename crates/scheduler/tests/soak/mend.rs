//! Mending what is wrong, and waiting until what was handed in is settled.

use hyper::Method;
use rand::Rng;
use thistle_platform::standin::Fault;

use super::callers::{Job, Told};
use super::faults::{SIGHUP, Soak, path_of};
use super::system::{send, state, until};

impl Soak {
    pub async fn mend_some(&mut self) -> String {
        match self.rng.random_range(0..4) {
            0 => {
                self.system.platform.store.set_fault(Fault::None);
                "store mended".to_owned()
            }
            1 => {
                self.ways.iter().for_each(|way| way.set_cut_off(false));
                "ways mended".to_owned()
            }
            2 => {
                self.mend_vms();
                "VMs mended".to_owned()
            }
            _ => {
                self.bring_up().await;
                "nodes up".to_owned()
            }
        }
    }

    fn mend_vms(&self) {
        let vms = self.system.platform.machines.vms();
        for vm in vms.iter().filter(|vm| !self.is_cut_off(vm)) {
            vm.set_unresponsive(false);
            vm.execute_late(false);
        }
    }

    async fn bring_up(&mut self) {
        for node in std::mem::take(&mut self.paused) {
            self.system.nodes[node].signal("CONT");
        }
        for node in std::mem::take(&mut self.down) {
            // One that was told to stop ends by itself, or is ended.
            self.system.nodes[node].kill();
            self.system.nodes[node].start();
            self.seen[node] = 0;
        }
    }

    pub fn is_paused(&self, node: usize) -> bool {
        self.paused.contains(&node)
    }

    /// Lets a node go on, unless it was killed or goes on already.
    pub fn go_on(&mut self, node: usize) {
        if self.is_paused(node) {
            self.paused.retain(|&n| n != node);
            self.system.nodes[node].signal("CONT");
        }
    }

    /// Starts a node that is down, at once.
    pub fn start_again(&mut self, node: usize) {
        self.down.retain(|&n| n != node);
        self.system.nodes[node].start();
        self.seen[node] = 0;
    }

    /// Starts nodes again that got a signal before they could take any, as the platform does.
    pub fn start_what_ended_early(&mut self) {
        for node in 0..self.system.nodes.len() {
            let early = self.system.nodes[node].end_signal() == Some(SIGHUP);
            if early && !self.down.contains(&node) {
                self.start_again(node);
            }
        }
    }

    /// Mends everything and waits until all nodes are ready. Nodes that were told to stop may end first.
    pub async fn mend_all(&mut self) {
        self.mend_what_is_left();
        for node in 0..self.system.nodes.len() {
            let early = self.system.nodes[node].end_signal() == Some(SIGHUP);
            if early && !self.down.contains(&node) {
                self.down.push(node);
            }
        }
        for &node in &self.down {
            let node = &mut self.system.nodes[node];
            until("it has ended", || std::future::ready(node.has_ended())).await;
        }
        self.system.platform.store.set_fault(Fault::None);
        self.ways.iter().for_each(|way| way.set_cut_off(false));
        self.mend_vms();
        self.bring_up().await;
        for node in &self.system.nodes {
            until("a node is ready again", || node.is_ready()).await;
        }
    }

    /// Waits until every accepted job is settled and nothing runs.
    pub async fn until_settled(&self, jobs: &[Job]) {
        let node = &self.system.nodes[0];
        for job in jobs.iter().filter(|job| job.told == Told::Accepted) {
            let wanted = async || {
                let state = state(node, &job.id).await;
                state == "completed"
                    || job.cancelled && state == "cancelled"
                    || state == "failed" && self.was_given_up(&job.id)
            };
            until(&format!("{} is settled", job.id), wanted).await;
        }
        let vms = || self.system.platform.machines.vms();
        until("nothing runs", async || vms().iter().all(|vm| vm.running().is_empty())).await;
        // The configuration is in force everywhere.
        if self.version > 1 {
            for node in &self.system.nodes {
                let path = path_of(self.version);
                let known = async || send(node, Method::GET, &path).await.status == 200;
                until("the newest version is in force", known).await;
            }
        }
    }

    /// Returns how many lines of the nodes' logs hold a text.
    pub fn lines(&self, text: &str) -> usize {
        self.system.nodes.iter().map(|node| node.log().matches(text).count()).sum()
    }
}
