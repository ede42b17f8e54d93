//! Runs a trace.

use std::time::Duration;

use thistle_model::clock::Instant;
use thistle_model::rendezvous;
use thistle_request::admit::{AdmitPolicy, Ticket};
use thistle_request::breaker::SendResult;
use thistle_request::exchange::{MaybeSent, Pending, Unsent};
use thistle_request::gate::SendGate;
use thistle_request::router::{
    ChoicePolicy, Decision, FailedVms, RetryPolicy, RouteRequest, RouterConfig, VmKey, Wake,
};

use crate::entry::{Entry, member, worker_of};
use crate::event::{Attempt, AttemptEnd, Event, EventQueue};
use crate::report::{End, Report};
use crate::trace::Trace;
use crate::worker::Worker;

/// The time between two polls of a queue, in microseconds.
const POLL_US: u64 = 10_000;
/// The time between two renewals of slots, in microseconds.
const RENEW_US: u64 = 500_000;
/// The time between two requests for slots while an entry is short of them, in microseconds.
const SHORTAGE_RENEW_US: u64 = 5_000;
/// The time that is replayed after the last arrival, in microseconds.
const TAIL_US: u64 = 20_000_000;

/// The policies of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The policy by which a VM is selected.
    pub choice: ChoicePolicy,
    /// The policy by which late requests are refused.
    pub admit: AdmitPolicy,
    /// The policy by which requests are retried.
    pub retry: RetryPolicy,
}

impl Policy {
    /// The simplest policy: a random VM, no early refusal, no retry budget.
    pub const BASELINE: Self =
        Self { choice: ChoicePolicy::Random, admit: AdmitPolicy::Late, retry: RetryPolicy::Always };
    /// The policy of the entry.
    pub const ENTRY: Self = Self {
        choice: ChoicePolicy::Leased,
        admit: AdmitPolicy::Deadline,
        retry: RetryPolicy::Budget(8),
    };
}

/// The progress of a request.
pub(crate) struct Request {
    pub state: Option<State>,
    pub end: Option<End>,
    pub runs: u32,
    pub useful_us: u64,
    pub failed_vms: FailedVms,
}

/// The state of a request in terms of the request library.
pub(crate) enum State {
    Pending(Pending),
    Sent(MaybeSent, SendGate),
}

pub(crate) struct Replay<'a> {
    pub trace: &'a Trace,
    pub events: EventQueue,
    pub entries: Vec<Entry>,
    pub workers: Vec<Worker>,
    pub listed: Vec<usize>,
    pub requests: Vec<Request>,
    pub report: Report,
    /// The time of the last arrival.
    pub last_us: u64,
}

/// Replays a trace under a policy.
pub fn replay(trace: &Trace, policy: Policy) -> Report {
    let mut replay = Replay::new(trace, policy);
    while let Some((at, event)) = replay.events.pop() {
        replay.handle(at, event);
    }
    replay.finish()
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, policy: Policy) -> Self {
        let listed: Vec<usize> = (0..trace.setup.workers).collect();
        let entry = |i: usize| {
            let cfg = RouterConfig {
                choice: policy.choice,
                admit: policy.admit,
                retry: policy.retry,
                seed: i as u64 + 1,
                ..RouterConfig::default()
            };
            Entry::new(cfg, &listed)
        };
        let entries: Vec<_> = (0..trace.setup.entries).map(entry).collect();
        let request = |_| Request {
            state: Some(State::Pending(Pending::Unsent(Unsent::new()))),
            end: None,
            runs: 0,
            useful_us: 0,
            failed_vms: FailedVms::default(),
        };
        let mut events = EventQueue::default();
        for (i, a) in trace.arrivals.iter().enumerate() {
            events.add(a.at_us, Event::Arrive(i));
        }
        for i in 0..entries.len() {
            events.add(0, Event::RequestSlots(i, 0));
            events.add(POLL_US, Event::Poll(i));
        }
        for (i, f) in trace.setup.faults.iter().enumerate() {
            events.add(f.at_ms * 1_000, Event::Fault(i));
        }
        Self {
            trace,
            events,
            entries,
            workers: vec![Worker::new(); trace.setup.workers],
            listed,
            requests: trace.arrivals.iter().map(request).collect(),
            report: Report::default(),
            last_us: trace.arrivals.last().map_or(0, |a| a.at_us),
        }
    }

    fn handle(&mut self, at: u64, event: Event) {
        match event {
            Event::Arrive(r) => self.handle_arrival(r, at),
            Event::ArriveAtWorker(attempt) => self.admit_attempt(attempt, at),
            Event::RunDone(attempt, incarnation) => self.handle_run_done(attempt, incarnation, at),
            Event::End(attempt, end) => self.handle_end(attempt, end, at),
            Event::Deadline(r) => self.handle_deadline(r),
            Event::Poll(e) => self.handle_poll(e, at),
            Event::RequestSlots(e, number) => self.request_slots(e, number, at),
            Event::Wants(e, home, requested_at, wants) => {
                let now = Instant::from_micros(at);
                let slots = thistle_model::vm::DEFAULT_SLOTS;
                let home = &mut self.entries[home].home;
                let grants = wants.iter().filter_map(|want| {
                    home.become_home(&want.vm, Instant::default());
                    home.grant(member(e), want, slots, now)
                });
                let grants = grants.collect();
                self.events.add(at + self.hop(), Event::Grants(e, requested_at, grants));
            }
            Event::Grants(e, requested_at, grants) => {
                for grant in &grants {
                    self.entries[e].router.apply_grant(grant, Instant::from_micros(requested_at));
                }
                let wakes = self.entries[e].router.poll(Instant::from_micros(at));
                self.apply_wakes(wakes, at);
            }
            Event::Fault(i) => self.apply_fault(i, at),
        }
    }

    pub const fn hop(&self) -> u64 {
        self.trace.setup.hop_us
    }

    fn route_request(&self, r: usize) -> RouteRequest {
        let a = &self.trace.arrivals[r];
        RouteRequest {
            ticket: Ticket(r as u64),
            pool: self.entries[a.entry].pool,
            tier: a.tier,
            deadline: Instant::from_micros(a.at_us + a.deadline_ms * 1_000),
            repeatable: a.repeatable,
            failed_vms: self.requests[r].failed_vms,
        }
    }

    fn handle_arrival(&mut self, r: usize, at: u64) {
        let a = self.trace.arrivals[r];
        self.report.offered[a.tier as usize] += 1;
        self.events.add(at + a.deadline_ms * 1_000, Event::Deadline(r));
        let request = self.route_request(r);
        let decision = self.entries[a.entry].router.submit(request, Instant::from_micros(at));
        self.apply_decision(r, decision, at);
    }

    fn apply_decision(&mut self, r: usize, decision: Decision, at: u64) {
        let entry = self.trace.arrivals[r].entry;
        match decision {
            Decision::Send(vm) => self.send(r, vm, at),
            Decision::Refuse(reason, after) => {
                if let Some(State::Pending(pending)) = self.requests[r].state.take() {
                    let refusal = pending.refuse(reason, after);
                    self.record_outcome(r, refusal.outcome);
                }
            }
            Decision::Wait => {
                if !self.entries[entry].requests_often {
                    self.schedule_slot_request(entry, at);
                }
            }
        }
    }

    fn send(&mut self, r: usize, vm: VmKey, at: u64) {
        let entry = &self.entries[self.trace.arrivals[r].entry];
        let worker = worker_of(&entry.router.vm(vm).expect("a chosen VM is known").name);
        let attempt = Attempt { request: r, vm, worker, sent_at: at };
        let Some(State::Pending(pending)) = self.requests[r].state.take() else {
            // The caller's deadline passed while the request waited.
            self.events.add(at, Event::End(attempt, AttemptEnd::NoConnect));
            return;
        };
        match &pending {
            Pending::Unsent(_) if pending.sends() > 0 => self.report.redirects += 1,
            Pending::Unsent(_) => self.report.sends += 1,
            Pending::Repeated(_) => self.report.retries += 1,
        }
        let gate = SendGate::new(Instant::from_micros(u64::MAX));
        self.requests[r].state = Some(State::Sent(pending.start_send(), gate));
        self.events.add(at + self.hop(), Event::ArriveAtWorker(attempt));
    }

    /// Handles the end of an attempt at its entry.
    fn handle_end(&mut self, attempt: Attempt, end: AttemptEnd, at: u64) {
        let entry = self.trace.arrivals[attempt.request].entry;
        let now = Instant::from_micros(at);
        let result = match end {
            AttemptEnd::Answered => SendResult::Success,
            AttemptEnd::Error | AttemptEnd::Broken => SendResult::Failure,
            AttemptEnd::NoConnect => SendResult::ConnectFailed,
        };
        let took = Duration::from_micros(at - attempt.sent_at);
        let wakes = self.entries[entry].router.finish(attempt.vm, result, took, now);
        self.apply_wakes(wakes, at);
        let Some(State::Sent(sent, gate)) = self.requests[attempt.request].state.take() else {
            self.report.wasted_runs += usize::from(end == AttemptEnd::Answered);
            return;
        };
        let arrival = self.trace.arrivals[attempt.request];
        match (end, sent.confirm_unsent(&gate)) {
            (AttemptEnd::Answered, _) => {
                self.requests[attempt.request].useful_us = arrival.service_us;
                self.requests[attempt.request].end = Some(End::Answered(at - arrival.at_us));
            }
            (_, Ok(pending)) => self.resend(attempt, pending, at),
            (_, Err(sent)) if arrival.repeatable => self.resend(attempt, sent.into_repeated(), at),
            (_, Err(sent)) => {
                let refusal = sent.refuse(thistle_model::RefusalReason::Broken, Duration::ZERO);
                self.record_outcome(attempt.request, refusal.outcome);
            }
        }
    }

    fn resend(&mut self, attempt: Attempt, pending: Pending, at: u64) {
        let r = attempt.request;
        self.requests[r].failed_vms.add(attempt.vm);
        let request = self.route_request(r);
        let entry = self.trace.arrivals[r].entry;
        let now = Instant::from_micros(at);
        let refuse = Decision::Refuse(thistle_model::RefusalReason::Broken, Duration::ZERO);
        let decision =
            self.entries[entry].router.resubmit(request, &pending, now).unwrap_or(refuse);
        self.requests[r].state = Some(State::Pending(pending));
        self.apply_decision(r, decision, at);
    }

    fn handle_deadline(&mut self, r: usize) {
        let entry = self.trace.arrivals[r].entry;
        if self.requests[r].end.is_some() {
            return;
        }
        self.entries[entry].router.cancel(Ticket(r as u64));
        let reason = thistle_model::RefusalReason::Deadline;
        let refusal = match self.requests[r].state.take() {
            Some(State::Pending(pending)) => pending.refuse(reason, Duration::ZERO),
            Some(State::Sent(sent, gate)) => match sent.confirm_unsent(&gate) {
                Ok(pending) => pending.refuse(reason, Duration::ZERO),
                Err(sent) => sent.refuse(reason, Duration::ZERO),
            },
            None => return,
        };
        self.record_outcome(r, refusal.outcome);
    }

    fn record_outcome(&mut self, r: usize, outcome: thistle_model::Outcome) {
        self.requests[r].end = Some(match outcome {
            thistle_model::Outcome::NotRun => End::NotRun,
            thistle_model::Outcome::Unknown => End::Unknown,
        });
    }

    fn apply_wakes(&mut self, wakes: Vec<Wake>, at: u64) {
        for wake in wakes {
            let r = usize::try_from(wake.ticket.0).unwrap_or(usize::MAX);
            self.apply_decision(r, wake.decision, at);
        }
    }

    fn handle_poll(&mut self, e: usize, at: u64) {
        let wakes = self.entries[e].router.poll(Instant::from_micros(at));
        self.apply_wakes(wakes, at);
        if at < self.last_us + TAIL_US {
            self.events.add(at + POLL_US, Event::Poll(e));
        }
    }

    /// Schedules the next slot request of an entry at `at`, which replaces the one scheduled before.
    fn schedule_slot_request(&mut self, e: usize, at: u64) {
        let entry = &mut self.entries[e];
        entry.requests_often = entry.router.is_short_of_slots();
        entry.next_request += 1;
        let number = entry.next_request;
        if at < self.last_us + TAIL_US {
            self.events.add(at, Event::RequestSlots(e, number));
        }
    }

    fn request_slots(&mut self, e: usize, number: u64, at: u64) {
        let entry = &mut self.entries[e];
        if entry.next_request != number {
            return;
        }
        let pause = if entry.router.is_short_of_slots() { SHORTAGE_RENEW_US } else { RENEW_US };
        let wants = entry.router.slot_wants(Instant::from_micros(at));
        let homes = self.entries.len();
        for home in 0..homes {
            let is_home_of = |vm: &thistle_model::VmName| {
                rendezvous::pick(vm.as_str().as_bytes(), 0..homes, |h| h as u64) == Some(home)
            };
            let wants: Vec<_> = wants.iter().filter(|w| is_home_of(&w.vm)).cloned().collect();
            if !wants.is_empty() {
                let arrives_at = at + self.trace.setup.hop_us;
                self.events.add(arrives_at, Event::Wants(e, home, at, wants));
            }
        }
        self.schedule_slot_request(e, at + pause);
    }
}
