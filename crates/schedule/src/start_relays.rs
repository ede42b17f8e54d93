//! Which standby sends a start for the owner of a pool, and how many bytes of starts the standbys can take.
//!
//! Load pattern: an owner whose link is full has hundreds of starts a second for its standbys, whose links may be as narrow. If
//! they get more than they can send, they refuse the rest, and each refused start has cost two messages and some time.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use thistle_model::rendezvous::weight;

use crate::Ms;
use crate::id::{JobId, VmIncarnation};
use crate::link_budget::{LinkBudget, StartSize};

/// The share of a standby's bandwidth for the starts of one owner, in percent. It may own a pool itself.
const SHARE_PERCENT: u64 = 50;
/// How long a busy standby gets no further start, in milliseconds.
const REFUSED_PAUSE_MS: Ms = 300;
/// The same for a standby that does not follow the pool. Nodes begin to follow pools 2 s after their start.
const NOT_FOLLOWING_PAUSE_MS: Ms = 2_000;
/// How long a standby that lacks the text of a job gets no start of it, in milliseconds: standbys read a pool at least this often.
const MISSING_TEXT_MS: Ms = 4_000;
/// The most jobs that are remembered for one standby.
const MAX_MISSING_TEXTS: usize = 256;

/// Why a standby has not sent a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The standby can't be reached or its link is full, which holds for further starts too.
    Busy,
    /// The standby does not have the text of the job yet.
    NoText,
    /// The standby could not reach the VM.
    VmUnreached,
    /// The standby does not follow the pool.
    NotFollowing,
    /// The standby knows that the job was cancelled.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Relay {
    addr: SocketAddr,
    budget: LinkBudget,
    paused_until: Ms,
    /// The jobs whose texts the standby lacked, each with the time until which it gets no start of the job, oldest first.
    missing_texts: VecDeque<(JobId, Ms)>,
}

impl Relay {
    fn lacks_text(&self, job: JobId) -> bool {
        self.missing_texts.iter().any(|&(missing, _)| missing == job)
    }

    fn record_missing_text(&mut self, job: JobId, now: Ms) {
        self.missing_texts.retain(|&(missing, _)| missing != job);
        if self.missing_texts.len() >= MAX_MISSING_TEXTS {
            self.missing_texts.pop_front();
        }
        self.missing_texts.push_back((job, now + MISSING_TEXT_MS));
    }
}

/// The standbys of a pool as senders of starts.
#[derive(Clone, Debug, Default)]
pub struct StartRelays(Vec<Relay>);

impl StartRelays {
    /// Sets the standbys with the bandwidths of their links, in bytes per second.
    pub fn set(&mut self, standbys: &[(SocketAddr, u64)], now: Ms) {
        let known = std::mem::take(&mut self.0);
        let relay = |&(addr, bandwidth): &(SocketAddr, u64)| {
            known.iter().find(|r| r.addr == addr).cloned().unwrap_or_else(|| Relay {
                addr,
                budget: LinkBudget::new(bandwidth * SHARE_PERCENT / 100, 0, now),
                paused_until: 0,
                missing_texts: VecDeque::new(),
            })
        };
        self.0 = standbys.iter().map(relay).collect();
    }

    /// Returns the bytes of starts that the standbys can take now.
    pub fn available(&mut self, now: Ms) -> u64 {
        self.usable(now).map(|r| r.budget.available()).sum()
    }

    /// Returns the jobs whose texts all standbys that can send starts now lack.
    pub fn jobs_without_relay(&mut self, now: Ms) -> BTreeSet<JobId> {
        let missing = |r: &mut Relay| r.missing_texts.iter().map(|&(job, _)| job).collect();
        let all = self.usable(now).map(missing);
        all.reduce(|a: BTreeSet<_>, b| &a & &b).unwrap_or_default()
    }

    /// Returns the standby that sends a start of a job to a VM, if one can. The starts to a VM go through the same one as long as it
    /// has room, so that few connections are opened.
    pub fn choose(
        &mut self,
        vm: &VmIncarnation,
        job: JobId,
        size: StartSize,
        now: Ms,
    ) -> Option<SocketAddr> {
        let rank = |r: &&mut Relay| weight(format!("{}/{}", r.addr, vm.id()).as_bytes(), 0);
        let has_room = |r: &&mut Relay| !r.budget.is_full() && !r.lacks_text(job);
        let relay = self.usable(now).filter(has_room).max_by_key(rank)?;
        relay.budget.give(size.direct);
        Some(relay.addr)
    }

    /// Takes back the bytes of a start that was given to a standby at `given_at` and not sent.
    pub fn take_back(&mut self, addr: SocketAddr, size: StartSize, given_at: Ms, now: Ms) {
        if let Some(relay) = self.0.iter_mut().find(|r| r.addr == addr) {
            relay.budget.update(0, now);
            relay.budget.take_back(size.direct, now.saturating_sub(given_at));
        }
    }

    /// Records that a standby has not sent a start of a job. A missing text or an unreachable VM is no reason to send the starts of
    /// other jobs to other VMs over the owner's full link.
    pub fn record_refused(&mut self, addr: SocketAddr, job: JobId, refusal: Refusal, now: Ms) {
        let Some(relay) = self.0.iter_mut().find(|r| r.addr == addr) else { return };
        match refusal {
            Refusal::VmUnreached | Refusal::Cancelled => (),
            Refusal::NoText => relay.record_missing_text(job, now),
            Refusal::Busy => relay.paused_until = now + REFUSED_PAUSE_MS,
            Refusal::NotFollowing => relay.paused_until = now + NOT_FOLLOWING_PAUSE_MS,
        }
    }

    fn usable(&mut self, now: Ms) -> impl Iterator<Item = &mut Relay> {
        let update = move |r: &mut Relay| {
            r.budget.update(0, now);
            r.missing_texts.retain(|&(_, until)| now < until);
            now >= r.paused_until
        };
        self.0.iter_mut().filter_map(move |r| update(r).then_some(r))
    }
}
