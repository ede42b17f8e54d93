//! The worker side of a replay: runs, failures and faults.

use thistle_model::clock::Instant;

use crate::entry::view;
use crate::event::{Event, Send, SendEnd};
use crate::run::{Replay, State};
use crate::trace::{Fault, FaultKind};
use crate::worker::{Health, Taken};

/// The connect timeout, in microseconds.
const CONNECT_TIMEOUT_US: u64 = 300_000;
/// The time that an immediate failure takes, in microseconds.
const FAIL_US: u64 = 500;

impl Replay<'_> {
    pub fn reach(&mut self, send: Send, at: u64) {
        let taken = self.workers[send.worker].take(send);
        let back = at + self.hop();
        match taken {
            Taken::Runs => self.begin_run(send, at),
            Taken::Waits => self.pass_gate(send),
            Taken::Refused => self.agenda.add(back, Event::End(send, SendEnd::NoConnect)),
            Taken::Nothing => {
                self.agenda.add(at + CONNECT_TIMEOUT_US, Event::End(send, SendEnd::NoConnect));
            }
            Taken::Fails => {
                self.pass_gate(send);
                self.agenda.add(back + FAIL_US, Event::End(send, SendEnd::Error));
            }
        }
    }

    fn pass_gate(&mut self, send: Send) {
        if let Some(State::Sent(_, gate)) = &self.requests[send.request].state {
            gate.pass(Instant::default());
        }
    }

    fn begin_run(&mut self, send: Send, at: u64) {
        self.pass_gate(send);
        self.requests[send.request].runs += 1;
        let takes = self.trace.arrivals[send.request].service_us;
        let life = self.workers[send.worker].life;
        self.agenda.add(at + takes, Event::Serve(send, life));
    }

    pub fn serve(&mut self, send: Send, life: u64, at: u64) {
        let worker = &mut self.workers[send.worker];
        let back = at + self.trace.setup.hop_us;
        if worker.life != life {
            self.agenda.add(back, Event::End(send, SendEnd::Broken));
            return;
        }
        let takes = self.trace.arrivals[send.request].service_us;
        let end = if worker.health == Health::Mute { SendEnd::Broken } else { SendEnd::Answered };
        let next = worker.done(takes);
        self.agenda.add(back, Event::End(send, end));
        if let Some(next) = next {
            self.begin_run(next, at);
        }
    }

    pub fn fault(&mut self, i: usize, at: u64) {
        let trace = self.trace;
        let Fault { kind, workers, .. } = &trace.setup.faults[i];
        for &w in workers {
            match kind {
                FaultKind::Kill => self.kill(w, Health::Off, at),
                FaultKind::Stop => self.kill(w, Health::Stopped, at),
                FaultKind::Fail => self.workers[w].health = Health::Failing,
                FaultKind::LoseAnswers => self.workers[w].health = Health::Mute,
                FaultKind::Mend => self.workers[w].health = Health::Well,
                FaultKind::Unlist => self.listed.retain(|&l| l != w),
            }
        }
        if *kind == FaultKind::Unlist {
            let update = view(&self.listed);
            for entry in &mut self.entries {
                entry.router.apply_view(&update);
            }
        }
    }

    fn kill(&mut self, w: usize, health: Health, at: u64) {
        self.workers[w].health = health;
        for waiting in self.workers[w].lose_all() {
            self.agenda.add(at + self.hop(), Event::End(waiting, SendEnd::Broken));
        }
    }
}
