//! The link of an owner to one VM incarnation, step by step as the real one does it: one question at a time, at most two
//! starts and two stops under way, each sent until it is known what came of it.

use thistle_schedule::pool::{StartOrder, StartResult};
use thistle_schedule::{Ms, RunId, RunRow, TaskLease, VmIncarnation, VmLoss, VmReport};

use super::vm::{Answer, Call};
use super::{Event, LEASE};

const RETRY: Ms = 200;
const AT_ONCE: usize = 2;
const LEAST_PATIENCE: Ms = 80;
const MOST_PATIENCE: Ms = 600;
const ACK_WAIT: Ms = 500;
/// A VM takes at least so long to start again.
const IN_ITS_LIFE: Ms = 50;

/// A call under way.
#[derive(Clone, Copy, Debug)]
struct Pending {
    call: u64,
    given_up_at: Ms,
}

#[derive(Debug)]
struct Start {
    order: StartOrder,
    /// How often the lease had run out when it was ordered.
    lapses: u32,
    deadline: Option<u64>,
    may_be_there: bool,
    called_off: bool,
    pending: Option<Pending>,
    again_at: Ms,
}

#[derive(Debug)]
struct Stop {
    run: RunId,
    lapses: u32,
    pending: Option<Pending>,
    again_at: Ms,
}

#[derive(Debug)]
pub struct Link {
    pub vm: VmIncarnation,
    pub token: u64,
    /// When the last question was answered by this life of the VM.
    answered_at: Option<Ms>,
    pub acked: u64,
    pub wait: Ms,
    /// How often all that ran there was given up.
    pub lapses: u32,
    /// How many of these the owner has taken in.
    pub losses_taken: u32,
    lease: TaskLease,
    reachable: bool,
    lost: bool,
    next_wait: Ms,
    unanswered: u32,
    /// The question under way, when it was asked, and how long its answer may wait.
    hold: Option<(Pending, Ms, Ms)>,
    ask_at: Ms,
    /// Ends up to this number are to be acknowledged before the next question, but for this time.
    settle: Option<(u64, Ms)>,
    pub over: bool,
    starts: Vec<Start>,
    stops: Vec<Stop>,
}

impl Link {
    pub fn new(vm: VmIncarnation, token: u64, now: Ms) -> Self {
        Self {
            vm,
            token,
            answered_at: None,
            acked: 0,
            wait: 500,
            lapses: 0,
            losses_taken: 0,
            lease: TaskLease::new(LEASE, now),
            reachable: true,
            lost: false,
            next_wait: 0,
            unanswered: 0,
            hold: None,
            ask_at: now,
            settle: None,
            over: false,
            starts: Vec::new(),
            stops: Vec::new(),
        }
    }

    pub fn start(&mut self, order: StartOrder) {
        let lapses = self.lapses;
        self.starts.push(Start {
            order,
            lapses,
            deadline: None,
            may_be_there: false,
            called_off: false,
            pending: None,
            again_at: 0,
        });
    }

    pub fn stop(&mut self, run: RunId) {
        for start in self.starts.iter_mut().filter(|s| s.order.run == run) {
            start.called_off = true;
        }
        let lapses = self.lapses;
        self.stops.push(Stop { run, lapses, pending: None, again_at: 0 });
    }

    fn patience(&self) -> Ms {
        (LEAST_PATIENCE << self.unanswered.min(4)).min(MOST_PATIENCE)
    }

    fn pending(&self, call: u64, now: Ms) -> Pending {
        Pending { call, given_up_at: now + self.patience() }
    }

    /// Sends what is due.
    pub fn send_due(
        &mut self,
        now: Ms,
        events: &mut Vec<Event>,
        send: &mut dyn FnMut(Call) -> u64,
    ) {
        self.give_up_calls(now, events);
        if self.over {
            return;
        }
        self.ask(now, send);
        let lapses = self.lapses;
        self.stops.retain(|stop| stop.pending.is_some() || stop.lapses == lapses);
        self.starts.retain(|start| start.pending.is_some() || start.lapses == lapses);
        let given_up_at = now + self.patience();
        for stop in self.stops.iter_mut().take(AT_ONCE) {
            if stop.pending.is_none() && stop.again_at <= now {
                let call = send(Call::Stop { run: stop.run });
                stop.pending = Some(Pending { call, given_up_at });
            }
        }
        let mut i = 0;
        while i < self.starts.len().min(AT_ONCE) {
            if self.send_start(i, now, events, send) {
                i += 1;
            }
        }
    }

    /// Sends a start if it is due; returns false if it has come to an end.
    fn send_start(
        &mut self,
        i: usize,
        now: Ms,
        events: &mut Vec<Event>,
        send: &mut dyn FnMut(Call) -> u64,
    ) -> bool {
        let start = &mut self.starts[i];
        if start.pending.is_some() || start.again_at > now {
            return true;
        }
        let run = start.order.run;
        if start.called_off {
            if !start.may_be_there {
                events.push(Event::Started(self.vm.clone(), run, StartResult::NotTaken));
            }
            self.starts.remove(i);
            return false;
        }
        let Some(deadline) = start.deadline.or_else(|| self.lease.grant(now)) else {
            events.push(Event::Started(self.vm.clone(), run, StartResult::NotTaken));
            self.starts.remove(i);
            return false;
        };
        start.deadline = Some(deadline);
        if start.may_be_there && self.lease.is_unresponsive() {
            start.again_at = now + RETRY;
            return true;
        }
        let call = send(Call::Start { order: start.order.clone(), deadline });
        let pending = self.pending(call, now);
        self.starts[i].pending = Some(pending);
        true
    }

    fn ask(&mut self, now: Ms, send: &mut dyn FnMut(Call) -> u64) {
        if let Some((last, until)) = self.settle {
            if self.acked < last && now < until {
                return;
            }
            self.settle = None;
            if self.acked < last {
                (self.ask_at, self.next_wait) = (now + ACK_WAIT, 0);
            }
        }
        if self.hold.is_some() || now < self.ask_at {
            return;
        }
        let deadline = self.lease.grant(now);
        let wait = self.next_wait;
        let in_its_life = self.answered_at.is_some_and(|at| now <= at + IN_ITS_LIFE);
        let last_seen = if in_its_life { self.acked } else { 0 };
        let wait = if last_seen < self.acked { 0 } else { wait };
        let call = send(Call::Hold { deadline, last_seen, wait });
        let given_up_at = now + wait + self.patience();
        self.hold = Some((Pending { call, given_up_at }, now, wait));
        self.next_wait = if deadline.is_some() { self.wait } else { 0 };
    }

    fn give_up_calls(&mut self, now: Ms, events: &mut Vec<Event>) {
        let late = |p: &Pending| p.given_up_at <= now;
        let mut calls: Vec<u64> =
            self.hold.iter().map(|(p, ..)| p).filter(|p| late(p)).map(|p| p.call).collect();
        calls.extend(self.starts.iter().filter_map(|s| s.pending).filter(late).map(|p| p.call));
        calls.extend(self.stops.iter().filter_map(|s| s.pending).filter(late).map(|p| p.call));
        for call in calls {
            self.take(call, None, now, events);
        }
    }

    /// Takes in an answer, or that there is none.
    pub fn take(&mut self, call: u64, answer: Option<Answer>, now: Ms, events: &mut Vec<Event>) {
        let is_hold = self.hold.is_some_and(|(p, ..)| p.call == call);
        let is_start = |s: &Start| s.pending.is_some_and(|p| p.call == call);
        let is_stop = |s: &Stop| s.pending.is_some_and(|p| p.call == call);
        let start = self.starts.iter().position(is_start);
        let stop = self.stops.iter().position(is_stop);
        if !is_hold && start.is_none() && stop.is_none() {
            // It comes too late.
            return;
        }
        self.unanswered = if answer.is_some() { 0 } else { self.unanswered + 1 };
        if let Some(Answer::Gone) = answer {
            self.over = true;
            self.lapses += 1;
            events.push(Event::Lost(self.vm.clone(), VmLoss::Replaced));
            return;
        }
        if is_hold {
            self.take_hold(answer, now, events);
        } else if let Some(i) = start {
            self.take_start(i, answer, now, events);
        } else if let Some(i) = stop {
            self.take_stop(i, answer, now, events);
        }
    }

    /// Ends the link as the VM has started again.
    pub fn end_with(&mut self, life: VmIncarnation, events: &mut Vec<Event>) {
        self.over = true;
        self.lapses += 1;
        events.push(Event::Restarted(self.vm.clone(), life));
    }

    /// Gives up a question that waits, and asks at once.
    pub fn ask_at_once(&mut self, now: Ms) {
        if self.hold.take_if(|(.., wait)| *wait > 0).is_some() {
            (self.answered_at, self.next_wait, self.ask_at) = (None, 0, now);
        }
    }

    fn take_hold(&mut self, answer: Option<Answer>, now: Ms, events: &mut Vec<Event>) {
        let Some((_, requested_at, wait)) = self.hold.take() else { return };
        self.answered_at = answer.is_some().then_some(now);
        if let Some(Answer::Held { incarnation: life, clock, running, ended }) = answer {
            if life != self.vm {
                self.end_with(life, events);
                return;
            }
            self.lease.record_clock(clock, now);
            if !self.reachable {
                events.push(Event::Reachable(self.vm.clone(), true));
            }
            (self.reachable, self.lost) = (true, false);
            if let Some(last) = ended.iter().map(|e| e.sequence).max() {
                self.settle = Some((last, now + ACK_WAIT));
            }
            // What is listed is there.
            let listed = |run: RunId| running.contains(&run) || ended.iter().any(|e| e.run == run);
            for start in self.starts.extract_if(.., |s| !s.called_off && listed(s.order.run)) {
                let result = StartResult::StartedWithCopies;
                events.push(Event::Started(self.vm.clone(), start.order.run, result));
            }
            let row = |run| RunRow { run, checkpoint: String::new(), percent: 100, metric: None };
            let running = running.into_iter().map(row).collect();
            events.push(Event::Report(self.vm.clone(), VmReport { requested_at, running, ended }));
            return;
        }
        self.lease.set_unresponsive();
        if self.reachable && wait > 0 {
            // One answer may have been lost.
            self.next_wait = 0;
            return;
        }
        if self.reachable {
            events.push(Event::Reachable(self.vm.clone(), false));
        }
        (self.reachable, self.next_wait) = (false, 0);
        if self.lease.is_expired(now) && !self.lost {
            self.lost = true;
            self.lapses += 1;
            events.push(Event::Lost(self.vm.clone(), VmLoss::LeaseOver));
        }
        self.ask_at = now + RETRY;
    }

    fn take_start(&mut self, i: usize, answer: Option<Answer>, now: Ms, events: &mut Vec<Event>) {
        let start = &mut self.starts[i];
        start.pending = None;
        let refused = if start.may_be_there { StartResult::Unclear } else { StartResult::NotTaken };
        let result = match answer {
            Some(Answer::Started) if start.may_be_there => StartResult::StartedWithCopies,
            Some(Answer::Started) => StartResult::Started,
            Some(Answer::NoRoom) if !start.may_be_there => StartResult::NoRoom,
            Some(Answer::Unhealthy) if !start.may_be_there => StartResult::Unhealthy,
            Some(Answer::Old | Answer::Late | Answer::NoRoom) => refused,
            Some(_) | None => {
                if answer.is_none() {
                    start.may_be_there = true;
                    self.lease.record_unanswered_start(now);
                }
                start.again_at = if answer.is_none() { now } else { now + RETRY };
                return;
            }
        };
        let run = start.order.run;
        self.starts.remove(i);
        events.push(Event::Started(self.vm.clone(), run, result));
    }

    fn take_stop(&mut self, i: usize, answer: Option<Answer>, now: Ms, events: &mut Vec<Event>) {
        let stop = &mut self.stops[i];
        stop.pending = None;
        if let Some(Answer::Stopped) = answer {
            let run = self.stops.remove(i).run;
            events.push(Event::Stopped(self.vm.clone(), run));
            return;
        }
        stop.again_at = if answer.is_none() { now } else { now + RETRY };
    }
}
