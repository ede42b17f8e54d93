//! Advice requests for queues whose policy allows only some VMs to run a step, and the replies.
//!
//! Load pattern: a pool has more VMs with room than one request names, and the few that may run the step are among the fullest. Each
//! request therefore names VMs about which nothing is known yet, until all with room were named.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::incarnation::Vm;
use super::place::{ReadyStep, has_place};
use super::{Now, Order, Pool};
use crate::Ms;
use crate::id::{JobId, VmIncarnation};
use crate::spec::{AdvicePolicy, Step};

/// The maximum number of VMs in one request. The length of a job's critical path, as users compute it, includes the time of one
/// request about this many VMs.
const VMS_PER_REQUEST: usize = 30;
/// The delay before a step's next request if the last one got no reply, and before expired tickets are renewed, in milliseconds.
const RETRY_MS: Ms = 300;
/// How long before its expiry a ticket is last used, in milliseconds: a start takes some milliseconds to arrive, and clocks
/// differ.
const TICKET_MARGIN_MS: Ms = 150;

/// One step of one repetition of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The repetition.
    pub repetition: u32,
    /// The step.
    pub step: u16,
}

/// A request to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepId,
    /// The VMs to be checked.
    pub vms: Vec<VmIncarnation>,
    /// The number of VMs with room for a task of the step, for log lines.
    pub with_room: usize,
    /// The policy of the step's queue, which determines how long a reply takes.
    pub policy: AdvicePolicy,
}

/// A VM's ticket for a step.
#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    valid_until: Ms,
}

/// The advice known for a step, and the state of the request for it. Whether a VM may run a step does not change; only tickets expire.
#[derive(Clone, Debug, Default)]
pub(super) struct AdviceState {
    /// The VMs that may run the step, with the tickets that starts carry, also expired ones.
    allowed: BTreeMap<VmIncarnation, Ticket>,
    /// The VMs that may not run the step.
    refused: BTreeSet<VmIncarnation>,
    /// Whether the last request got no reply.
    unanswered: bool,
    retry_at: Ms,
}

/// The advice known for the steps of a pool. The service answers one request of a node after the other, so the VMs to name are
/// chosen when the previous request is answered.
#[derive(Clone, Debug, Default)]
pub(super) struct Advice {
    steps: BTreeMap<StepId, AdviceState>,
    /// The request in flight, if there is one: its step and the VMs that it names.
    in_flight: Option<(StepId, Vec<VmIncarnation>)>,
}

impl Advice {
    pub fn remove_job(&mut self, id: JobId) {
        self.steps.retain(|step, _| step.job != id);
    }
}

/// What is known of a VM that may be named in a request, in the order in which VMs are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Known {
    /// It may run the step, and its ticket has expired.
    Allowed,
    /// It may run the last step of the queue for which it was named.
    AllowedInQueue,
    Nothing,
    /// It may not run the last step of the queue for which it was named.
    RefusedInQueue,
}

impl AdviceState {
    /// Returns what is known of a VM, or `None` if a request must not name it now.
    fn known(&self, vm: &Vm, queue: &str, now: Ms) -> Option<Known> {
        if self.refused.contains(&vm.id) {
            return None;
        }
        match self.allowed.get(&vm.id) {
            Some(ticket) if now < ticket.valid_until || now < self.retry_at => None,
            Some(_) => Some(Known::Allowed),
            None => Some(match vm.allowed_by_queue.get(queue) {
                Some(true) => Known::AllowedInQueue,
                Some(false) => Known::RefusedInQueue,
                None => Known::Nothing,
            }),
        }
    }
}

impl Pool {
    /// Applies the reply to a request: the VMs that may run the step, with their tickets, and the validity in milliseconds.
    /// `None` means that there was no reply.
    pub fn apply_advice(
        &mut self,
        step: StepId,
        reply: Option<(Vec<(VmIncarnation, String)>, Ms)>,
        now: Now,
    ) {
        let in_flight = self.advice.in_flight.take_if(|(of, _)| *of == step);
        let named = in_flight.map(|(_, vms)| vms).unwrap_or_default();
        let Some(state) = self.advice.steps.get_mut(&step) else { return };
        state.retry_at = now.steady + RETRY_MS;
        state.unanswered = reply.is_none();
        let Some((tickets, valid)) = reply else { return };
        let valid_until = now.steady + valid.saturating_sub(TICKET_MARGIN_MS);
        for vm in &named {
            state.allowed.remove(vm);
        }
        state.refused.extend(named.iter().cloned());
        for (vm, text) in tickets {
            state.refused.remove(&vm);
            state.allowed.insert(vm, Ticket { text, valid_until });
        }
        let Some(job) = self.job_keys.get(&step.job).map(|&key| &self.jobs[key]) else { return };
        for vm in named {
            let is_allowed = state.allowed.contains_key(&vm);
            if let Some(&key) = self.vm_keys.get(&vm) {
                self.vms[key].allowed_by_queue.insert(job.spec.queue.clone(), is_allowed);
            }
        }
    }

    /// Returns the ticket for a start if current advice allows the VM to run the step.
    pub(super) fn ticket(&self, step: StepId, vm: &VmIncarnation, now: Ms) -> Option<String> {
        let ticket = self.advice.steps.get(&step)?.allowed.get(vm)?;
        (now < ticket.valid_until).then(|| ticket.text.clone())
    }

    /// Requests advice on VMs that could run a step, unless a request is in flight or the step's last one has just gone unanswered.
    /// Names those without a valid ticket: first those known to be allowed, then those not named yet.
    pub(super) fn request_advice(
        &mut self,
        ready: ReadyStep,
        step_spec: &Step,
        policy: AdvicePolicy,
        now: Now,
    ) {
        let step = ready.step_id();
        if self.advice.in_flight.is_some() {
            return;
        }
        let state = self.advice.steps.entry(step).or_default();
        if state.unanswered && now.steady < state.retry_at {
            return;
        }
        let vm_keys = &self.vm_keys;
        state.allowed.retain(|vm, _| vm_keys.contains_key(vm));
        state.refused.retain(|vm| vm_keys.contains_key(vm));
        let queue = &self.jobs[ready.job_key].spec.queue;
        let with_room = self.vms.values().filter(|vm| has_place(vm, ready, step_spec));
        let with_room: Vec<&Vm> = with_room.collect();
        let mut unclear: Vec<(Known, &Vm)> = Vec::new();
        for &vm in &with_room {
            unclear.extend(state.known(vm, queue, now.steady).map(|known| (known, vm)));
        }
        unclear.sort_by_key(|&(known, vm)| (known, Reverse(vm.free().cpu)));
        let vms: Vec<VmIncarnation> =
            unclear.into_iter().take(VMS_PER_REQUEST).map(|(_, vm)| vm.id.clone()).collect();
        if vms.is_empty() {
            return;
        }
        self.advice.in_flight = Some((step, vms.clone()));
        let with_room = with_room.len();
        self.orders.push(Order::RequestAdvice(AdviceRequest { step, vms, with_room, policy }));
    }
}
