//! Addresses and settings of the cluster of a test.

use std::path::Path;

pub const TEMPLATE: &str = "\
services:
  - name: quotes
    repeatable: true
    deadline_ms: 5000
    echoes_request_id: true
  - name: bookings
    deadline_ms: 5000
    echoes_request_id: true
";

pub fn workspace(vms: usize, max_unavailable: usize) -> String {
    format!(
        "template: quotes\ntier: gold\nvms: {vms}\nbudget:\n  max_unavailable: {max_unavailable}\n"
    )
}

/// The loopback addresses of one cluster: 127.A.B.*, with A and B unique to the cluster.
pub struct Addresses {
    prefix: String,
    pub entries: usize,
    pub workers: usize,
}

impl Addresses {
    pub fn new(pid: u32, number: u8, entries: usize, workers: usize) -> Self {
        let a = 16 + pid % 200;
        Self { prefix: format!("127.{a}.{number}"), entries, workers }
    }

    pub fn entry(&self, i: usize) -> String {
        format!("{}.{}:8080", self.prefix, 100 + i)
    }

    pub fn worker(&self, i: usize) -> String {
        format!("{}.{}:8000", self.prefix, 1 + i)
    }

    pub fn log(&self) -> String {
        format!("{}.90:7100", self.prefix)
    }

    pub fn vm_list(&self) -> String {
        format!("{}.90:7200", self.prefix)
    }

    fn steward(&self, i: usize, port: u16) -> String {
        format!("{}.{}:{port}", self.prefix, 100 + i)
    }

    pub fn operators(&self) -> String {
        let all: Vec<_> = (0..self.entries).map(|i| self.steward(i, 7003)).collect();
        all.join(",")
    }

    pub fn write(&self, dir: &Path, standin: &str, steward: &str) {
        std::fs::write(dir.join("standin.yaml"), self.standin() + standin).unwrap();
        for i in 0..self.entries {
            std::fs::write(dir.join(format!("steward-{i}.yaml")), self.steward_yaml(i) + steward)
                .unwrap();
            std::fs::write(dir.join(format!("entry-{i}.yaml")), self.entry_yaml(i)).unwrap();
        }
    }

    fn standin(&self) -> String {
        let mut text = format!(
            "log_listen: {}\nvm_list_listen: {}\nappend_time: 2ms\nlist_lag: 200ms\nreboot_time: 300ms\nworkers:\n",
            self.log(),
            self.vm_list()
        );
        for i in 0..self.workers {
            text += &format!(
                "  - name: vm-{i}\n    listen: {}\n    hall: hall-{}\n    rack: rack-{}\n",
                self.worker(i),
                i / 4 % 3,
                i / 4
            );
        }
        text
    }

    fn steward_yaml(&self, i: usize) -> String {
        let seeds: String = (0..self.entries)
            .filter(|&k| k != i)
            .map(|k| format!("{},", self.steward(k, 7001)))
            .collect();
        format!(
            "name: entry-{i}\nhall: hall-{}\npeer_listen: {}\nlink_listen: {}\noperator_listen: {}\nmetrics_listen: {}\nlog_service: {}\nvm_list: {}\nseeds: [{seeds}]\nfence: 1500ms\nheartbeat: 200ms\nsilence: 2s\nvm_list_every: 300ms\n",
            i % 3,
            self.steward(i, 7001),
            self.steward(i, 7002),
            self.steward(i, 7003),
            self.steward(i, 9101),
            self.log(),
            self.vm_list(),
        )
    }

    fn entry_yaml(&self, i: usize) -> String {
        format!(
            "name: entry-{i}\nhall: hall-{}\nlisten: {}\nmetrics_listen: {}\nsteward: {}\n",
            i % 3,
            self.entry(i),
            self.steward(i, 9100),
            self.steward(i, 7002),
        )
    }
}
