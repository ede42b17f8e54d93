//! A cap over all that callers send, lowered and raised amid all other faults.

use std::time::{Duration, Instant};

use rand::Rng;
use thistle_platform::standin::RunEventKind;

use super::checks::Broken;
use super::faults::Soak;
use super::system::until;

/// Caps that are put in force by turns, in thousandths of a core: tasks take 500 each.
const CAPS: [u32; 4] = [6_000, 2_000, 1_000, 3_500];
/// What a task of a caller's takes.
const TASK_CPU: u32 = 500;
/// For how long a configuration may be in force after the next one was written: the platform's 3 s, and 6 s more while the
/// store is out of reach.
const IN_FORCE: Duration = Duration::from_secs(9);

impl Soak {
    /// Puts another cap in force, or brings any other fault about.
    pub async fn cap_or_fault(&mut self) {
        if self.rng.random_range(0..100) >= 12 {
            self.fault().await;
            return;
        }
        let cap = CAPS[self.rng.random_range(0..CAPS.len())];
        self.put_cap(cap);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    /// Puts a cap in force on all nodes: jobs of before are of no workspace.
    pub async fn put_first_cap(&mut self) {
        self.put_cap(CAPS[1]);
        let all = async || {
            self.system.nodes.iter().all(|node| node.log().contains("step=in-force version=2 "))
        };
        until("the first cap is in force", all).await;
    }

    /// Puts the largest cap in force, under which all that waits is done soon.
    pub fn put_last_cap(&mut self) {
        self.put_cap(CAPS[0]);
    }

    /// Puts a cap in force.
    fn put_cap(&mut self, cap: u32) {
        self.system.cap = Some(cap);
        let version = self.config();
        self.caps.push((Instant::now(), cap));
        self.faults.push(format!("cap {cap} {version}"));
    }

    /// Returns the starts through which more ran than a tenth over the highest cap that may be in force, and one task.
    pub fn starts_over_cap(&self) -> Vec<Broken> {
        let mut steps: Vec<(Instant, String, i64)> = Vec::new();
        for history in self.system.platform.machines.histories() {
            for happening in history {
                let run = format!("{}#{}", happening.task, happening.attempt);
                match happening.step {
                    RunEventKind::Started => steps.push((happening.at, run, 1)),
                    RunEventKind::Ended(_) => steps.push((happening.at, run, -1)),
                    RunEventKind::Acknowledged(_) | RunEventKind::LeaseExpired => (),
                }
            }
        }
        // What ends in a moment is gone before what begins in it.
        steps.sort_by_key(|&(at, _, change)| (at, change));
        let mut running = 0;
        let mut broken = Vec::new();
        for (at, run, change) in steps {
            running += change;
            let most = f64::from(self.cap_at(at)) * 1.1 + f64::from(TASK_CPU);
            if change > 0 && running as f64 * f64::from(TASK_CPU) > most {
                broken.push(Broken::OverCap { run, running });
            }
        }
        broken
    }

    fn cap_at(&self, at: Instant) -> u32 {
        let until = |i: usize| self.caps.get(i + 1).map(|next| next.0 + IN_FORCE);
        let in_force =
            |&i: &usize| self.caps[i].0 <= at && until(i).is_none_or(|until| at <= until);
        let caps = (0..self.caps.len()).filter(in_force).map(|i| self.caps[i].1);
        // Before the first one there is no limit.
        caps.max().unwrap_or(u32::MAX)
    }
}
