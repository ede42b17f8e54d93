//! Whether a VM answers hold calls, and when it is called out of turn to find out.

use std::sync::Mutex;

use thistle_platform::OrderError;
use thistle_schedule::ownership::VmAnswer;

use super::super::Event;
use super::{Link, Shared};
use crate::clock::steady_ms;
use crate::locks::lock;

/// Whether a VM answers.
#[derive(Debug, Default)]
pub(super) struct Answers(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    answer: VmAnswer,
    /// Whether the VM was probed and has not answered since.
    probed: bool,
}

impl Answers {
    pub fn get(&self) -> VmAnswer {
        lock(&self.0).answer
    }

    /// Records that no calls are made.
    pub fn set_unknown(&self) {
        lock(&self.0).answer = VmAnswer::Unknown;
    }

    /// Records whether a hold call was answered.
    pub fn record<T>(&self, result: &Result<T, OrderError>) {
        let mut state = lock(&self.0);
        *state = match result {
            Err(OrderError::NotSent(_) | OrderError::Unanswered(_)) => {
                State { answer: state.answer.after_failure(steady_ms()), ..*state }
            }
            Ok(_) | Err(_) => State { answer: VmAnswer::Answered, probed: false },
        };
    }

    /// Returns whether the VM answered its latest call and should be probed, which it is not again until it answers.
    pub fn begin_probe(&self) -> bool {
        let mut state = lock(&self.0);
        state.answer == VmAnswer::Answered && !std::mem::replace(&mut state.probed, true)
    }
}

impl Link {
    /// Returns whether the VM answers hold calls.
    pub fn answer(&self) -> VmAnswer {
        self.shared.answers.get()
    }

    /// Calls the VM immediately if it answered its latest call, and not again until it answers. Returns whether it is called.
    pub fn probe(&self) -> bool {
        let begins = self.shared.answers.begin_probe();
        if begins {
            self.poll_now();
        }
        begins
    }
}

impl Shared {
    /// Calls this VM and a few others, because it has left copies of an order unanswered.
    pub(super) fn probe(&self) {
        if self.answers.begin_probe() {
            self.call_now();
        }
    }

    /// The same, but the VM gets no new lease before it has answered: a lost VM's tasks are restarted once its last lease is over.
    pub(super) fn probe_without_lease(&self) {
        if self.answers.begin_probe() {
            lock(&self.lease).set_unresponsive();
            self.call_now();
        }
    }

    fn call_now(&self) {
        self.wake_poll.notify_one();
        self.send_event(Event::Unanswered);
    }
}
