//! The worker side of a replay: runs, failures and faults.

use thistle_model::clock::Instant;

use crate::entry::view;
use crate::event::{Attempt, AttemptEnd, Event};
use crate::run::{Replay, State};
use crate::trace::{Fault, FaultKind};
use crate::worker::{Admission, Health};

/// The connect timeout, in microseconds.
const CONNECT_TIMEOUT_US: u64 = 300_000;
/// The time that an immediate failure takes, in microseconds.
const FAIL_US: u64 = 500;

impl Replay<'_> {
    pub fn admit_attempt(&mut self, attempt: Attempt, at: u64) {
        let admission = self.workers[attempt.worker].admit(attempt);
        let back = at + self.hop();
        match admission {
            Admission::Runs => self.start_run(attempt, at),
            Admission::Waits => self.pass_gate(attempt),
            Admission::Refused => self.events.add(back, Event::End(attempt, AttemptEnd::NoConnect)),
            Admission::NoResponse => {
                self.events
                    .add(at + CONNECT_TIMEOUT_US, Event::End(attempt, AttemptEnd::NoConnect));
            }
            Admission::Fails => {
                self.pass_gate(attempt);
                self.events.add(back + FAIL_US, Event::End(attempt, AttemptEnd::Error));
            }
        }
    }

    /// Passes the send gate of an attempt; from then on the request may have run.
    fn pass_gate(&mut self, attempt: Attempt) {
        if let Some(State::Sent(_, gate)) = &self.requests[attempt.request].state {
            gate.pass(Instant::default());
        }
    }

    fn start_run(&mut self, attempt: Attempt, at: u64) {
        self.pass_gate(attempt);
        self.requests[attempt.request].runs += 1;
        let takes = self.trace.arrivals[attempt.request].service_us;
        let incarnation = self.workers[attempt.worker].incarnation;
        self.events.add(at + takes, Event::RunDone(attempt, incarnation));
    }

    pub fn handle_run_done(&mut self, attempt: Attempt, incarnation: u64, at: u64) {
        let worker = &mut self.workers[attempt.worker];
        let back = at + self.trace.setup.hop_us;
        if worker.incarnation != incarnation {
            self.events.add(back, Event::End(attempt, AttemptEnd::Broken));
            return;
        }
        let takes = self.trace.arrivals[attempt.request].service_us;
        let end = if worker.health == Health::LosingResponses {
            AttemptEnd::Broken
        } else {
            AttemptEnd::Answered
        };
        let next = worker.done(takes);
        self.events.add(back, Event::End(attempt, end));
        if let Some(next) = next {
            self.start_run(next, at);
        }
    }

    pub fn apply_fault(&mut self, i: usize, at: u64) {
        let trace = self.trace;
        let Fault { kind, workers, .. } = &trace.setup.faults[i];
        for &w in workers {
            match kind {
                FaultKind::Kill => self.kill(w, Health::SwitchedOff, at),
                FaultKind::Stop => self.kill(w, Health::Stopped, at),
                FaultKind::Fail => self.workers[w].health = Health::Failing,
                FaultKind::LoseAnswers => self.workers[w].health = Health::LosingResponses,
                FaultKind::Mend => self.workers[w].health = Health::Healthy,
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
        for waiting in self.workers[w].drop_all() {
            self.events.add(at + self.hop(), Event::End(waiting, AttemptEnd::Broken));
        }
    }
}
