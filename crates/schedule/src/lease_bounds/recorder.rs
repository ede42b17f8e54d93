//! Decides which VMs an owner lists in its record, and when it writes the record.

use std::collections::BTreeMap;

use super::{LeaseBound, Row, encode_record};
use crate::Ms;
use crate::id::VmIncarnation;
use crate::job_log::Version;
use crate::record_size::text_len;

/// How often the record is written while it lists VMs, in milliseconds. A successor loses at most this much of the time that has
/// passed since the VMs were last granted leases.
const RENEW_MS: Ms = 300;
/// The shortest pause between two writes, as a multiple of the time that the last one took. A slow store is used less often.
const PAUSE_FACTOR: Ms = 4;
/// The most VMs in a record, which bounds its size. Successors assume whole leases for all others.
const MAX_VMS: usize = 1_000;
/// The most bytes of a record without its VMs, with its key and length.
const HEAD_BYTES: usize = 64;
/// The most bytes of a listed VM without its name.
const ROW_BYTES: usize = 3 * 10;

/// The record of one owner.
#[derive(Debug)]
pub struct LeaseRecorder {
    last_version: Version,
    /// The VMs that a record in the store may list. They must not be granted leases.
    listed: BTreeMap<VmIncarnation, LeaseBound>,
    /// The VMs that the record lists that is written next or was written last.
    newest: BTreeMap<VmIncarnation, LeaseBound>,
    began_at: Ms,
    finished_at: Ms,
    next_at: Ms,
    /// Whether the record that was begun last was not certainly written.
    is_uncertain: bool,
    /// Whether the outcome of the record that was begun last is not known yet.
    is_being_written: bool,
    max_record_bytes: usize,
}

impl LeaseRecorder {
    /// Creates the record of a new owner, which takes over the bounds that its predecessors have recorded. Their record stays true
    /// while its VMs get no leases, so the first one pauses until the owner knows which of them answer.
    pub fn new(token: u64, inherited: BTreeMap<VmIncarnation, LeaseBound>, now: Ms) -> Self {
        let pause = if inherited.is_empty() { 0 } else { RENEW_MS };
        Self {
            last_version: Version { token, number: 0 },
            listed: inherited,
            newest: BTreeMap::new(),
            began_at: 0,
            finished_at: now,
            next_at: now + pause,
            is_uncertain: false,
            is_being_written: false,
            max_record_bytes: usize::MAX,
        }
    }

    /// Sets the largest size of a record, with its key and length.
    pub fn with_max_record_bytes(self, max_record_bytes: usize) -> Self {
        Self { max_record_bytes, ..self }
    }

    /// Returns the time by which the lease of a listed VM has expired, or `None` if the VM is not listed.
    pub fn bound_of(&self, vm: &VmIncarnation) -> Option<Ms> {
        self.listed.get(vm).map(|bound| bound.expires_at)
    }

    /// Returns the VMs that a record in the store may list.
    pub fn listed(&self) -> impl Iterator<Item = (&VmIncarnation, Ms)> {
        self.listed.iter().map(|(vm, bound)| (vm, bound.expires_at))
    }

    /// Returns whether a record is due; `is_needed` states whether there is a reason to write one although no record lists a VM.
    /// None is due while one is being written.
    pub fn is_due(&self, is_needed: bool, now: Ms) -> bool {
        !self.is_being_written && (is_needed || !self.listed.is_empty()) && now >= self.next_at
    }

    /// Makes the first record due, because each listed VM that has runs has answered its first call or failed to.
    pub fn end_first_pause(&mut self, now: Ms) {
        if self.is_first_pending() {
            self.next_at = self.next_at.min(now);
        }
    }

    /// Returns whether no record was begun yet.
    pub const fn is_first_pending(&self) -> bool {
        self.last_version.number == 0
    }

    /// Makes the next record due after the shortest pause, because a listed VM answers again.
    pub fn hasten(&mut self) {
        self.next_at = self.next_at.min(self.finished_at + RENEW_MS);
    }

    /// Returns whether a record was begun whose outcome is not known yet.
    pub const fn is_being_written(&self) -> bool {
        self.is_being_written
    }

    /// Returns whether any partition may hold a record that no certainly written one replaces.
    pub const fn is_uncertain(&self) -> bool {
        self.is_uncertain
    }

    /// Chooses which of some VMs the next record lists. `bound` bounds the lease of a VM and returns the time by which it expires,
    /// or `None` if the VM must not be listed. Successors assume whole leases for VMs that are left out for lack of room.
    pub fn choose(
        &self,
        vms: impl Iterator<Item = (VmIncarnation, Ms)>,
        mut bound: impl FnMut(&VmIncarnation, Ms) -> Option<Ms>,
    ) -> Vec<(VmIncarnation, Ms)> {
        let mut chosen = Vec::new();
        let mut room = self.max_record_bytes.saturating_sub(HEAD_BYTES);
        for (vm, expires_at) in vms {
            let bytes = ROW_BYTES + text_len(vm.to_string().len());
            if chosen.len() == MAX_VMS || bytes > room {
                break;
            }
            if let Some(expires_at) = bound(&vm, expires_at) {
                room -= bytes;
                chosen.push((vm, expires_at));
            }
        }
        chosen
    }

    /// Encodes a record that lists VMs, each with the time by which its lease has expired. From now on, these VMs must not be
    /// granted leases.
    pub fn begin(&mut self, silent: Vec<(VmIncarnation, Ms)>, now: Ms) -> Vec<u8> {
        self.last_version.number += 1;
        let version = self.last_version;
        self.newest.clear();
        for (vm, expires_at) in silent {
            let since = self.listed.get(&vm).map_or(version, |bound| bound.since);
            self.newest.insert(vm, LeaseBound { since, expires_at });
        }
        self.listed.extend(self.newest.iter().map(|(vm, &bound)| (vm.clone(), bound)));
        (self.began_at, self.is_uncertain, self.is_being_written) = (now, true, true);
        let row = |(vm, bound): (&VmIncarnation, &LeaseBound)| Row {
            vm: vm.to_string(),
            since: bound.since,
            remaining: bound.expires_at.saturating_sub(now),
        };
        encode_record(version, self.newest.iter().map(row).collect())
    }

    /// Records whether the record that was begun last was certainly written, and returns the VMs that it does not list any more.
    /// They may be granted leases again.
    pub fn finish(&mut self, is_written: bool, now: Ms) -> Vec<VmIncarnation> {
        let took = now.saturating_sub(self.began_at);
        (self.finished_at, self.is_being_written) = (now, false);
        self.next_at = now + RENEW_MS.max(took * PAUSE_FACTOR);
        if !is_written {
            return Vec::new();
        }
        self.is_uncertain = false;
        let newest = &self.newest;
        self.listed.extract_if(.., |vm, _| !newest.contains_key(vm)).map(|(vm, _)| vm).collect()
    }
}
