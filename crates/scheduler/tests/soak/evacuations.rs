//! Data halls that are evacuated and taken back, beside all other faults.

use std::time::{Duration, Instant};

use rand::Rng;

use super::checks::Broken;
use super::faults::Soak;

/// Settings of the nodes.
pub const SETTINGS: &str = "evacuate_within: 3s\n";
/// The time that they name.
const WITHIN: Duration = Duration::from_secs(3);
/// How late the fake carries out an order that it has not answered.
const CARRIED_OUT_LATE: Duration = Duration::from_millis(2_500);
const HALLS: [&str; 2] = ["hall-a", "hall-b"];
/// VMs of the second hall.
const VMS: u8 = 4;

/// A hall that was evacuated.
#[derive(Clone, Copy, Debug)]
pub struct Evacuated {
    hall: &'static str,
    from: Instant,
    to: Option<Instant>,
}

impl Soak {
    /// Adds the VMs of the second hall.
    pub async fn add_second_hall(&self, net: u8) {
        for host in 0..VMS {
            self.system.add_vm_in(HALLS[1], net, 110 + host).await;
        }
    }

    /// Evacuates halls or takes them back, or brings any other fault about.
    pub async fn evacuation_or_fault(&mut self) {
        match self.rng.random_range(0..100) {
            0..12 => self.toggle(0),
            12..24 => self.toggle(1),
            24..27 => {
                self.toggle(0);
                self.toggle(1);
            }
            // Withdrawn and asked again, or asked and withdrawn, within a moment.
            27..32 => {
                self.toggle(0);
                self.toggle(0);
            }
            // The requests stand, and the history before them is gone.
            32..35 => self.system.platform.store.drop_history("op"),
            _ => {
                self.fault().await;
                return;
            }
        }
        let pause = self.rng.random_range(20..1_500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    fn toggle(&mut self, hall: usize) {
        let hall = HALLS[hall];
        let open = |e: &&mut Evacuated| e.hall == hall && e.to.is_none();
        if let Some(evacuated) = self.evacuations.iter_mut().find(open) {
            evacuated.to = Some(Instant::now());
            self.system.platform.return_to_service(hall);
            self.faults.push(format!("take back {hall}"));
            return;
        }
        self.system.platform.evacuate(hall);
        self.evacuations.push(Evacuated { hall, from: Instant::now(), to: None });
        self.faults.push(format!("evacuate {hall}"));
    }

    /// Takes all halls back.
    pub fn take_all_halls_back(&mut self) {
        for (hall, name) in HALLS.iter().enumerate() {
            if self.evacuations.iter().any(|e| e.hall == *name && e.to.is_none()) {
                self.toggle(hall);
            }
        }
    }

    /// Returns the starts in evacuated halls that came later than the evacuation had to be in force. One that the fake
    /// carried out late was sent before.
    pub fn starts_in_evacuated_halls(&self) -> Vec<Broken> {
        let mut broken = Vec::new();
        for evacuated in &self.evacuations {
            let in_force = evacuated.from + WITHIN + CARRIED_OUT_LATE;
            for (at, run) in self.system.starts_in(evacuated.hall) {
                if at > in_force && evacuated.to.is_none_or(|to| at < to) {
                    let (hall, after) = (evacuated.hall, at - evacuated.from);
                    broken.push(Broken::InEvacuatedHall { run, hall, after });
                }
            }
        }
        broken
    }
}
