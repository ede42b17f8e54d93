//! The ledger of a pool: what each workspace has running in it, and how much more it may start.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use super::{CapUse, LentCap, amounts, limits, within};
use crate::Ms;
use crate::vm::Room;
use crate::workspace::Workspace;

new_key_type! {
    /// The key of a workspace in a pool's arena.
    pub struct WorkspaceKey;
}

/// The account of a workspace in a pool.
#[derive(Clone, Debug, Default)]
struct Entry {
    name: Arc<str>,
    /// The cap by the newest configuration, or by the last one that named the workspace.
    cap: Option<Room>,
    /// The version of the configuration since which the workspace has been limited. Older records do not account for tasks
    /// that started without a limit.
    limited_since: u64,
    /// The newest record of how its cap is lent.
    lent: Option<LentCap>,
    /// The capacity that it uses in the pool, or may use.
    used: Room,
    /// Whether a start was held back since the last record or report.
    held_back: bool,
    /// The last report on it to the lender.
    reported: Option<CapUse>,
    /// The newest version of the configuration under which one of its jobs was admitted.
    admitted_by: u64,
    /// Its share relative to other workspaces when the fleet is full, if known. It is also the guaranteed rate in jobs a second.
    weight: Option<u32>,
    /// Compares the rate of its jobs with its share.
    job_rate: JobRateLimiter,
}

/// The burst allowance of a workspace: the seconds for which it may accumulate unused jobs. The rate of a workspace is judged
/// over the same time.
const BURST_S: u64 = 5;
/// One job in thousandths of a job.
const JOB: u64 = 1_000;

/// The rate limiter of a workspace's jobs, a leaky bucket.
#[derive(Clone, Copy, Debug, Default)]
struct JobRateLimiter {
    /// The level of the bucket in thousandths of a job.
    level: u64,
    /// When the level was last updated, by the monotonic clock.
    updated_at: Ms,
}

impl JobRateLimiter {
    /// Charges a job, and returns whether it is within the share.
    fn charge(&mut self, weight: u32, now: Ms) -> bool {
        let weight = u64::from(weight);
        let passed = now.saturating_sub(self.updated_at);
        // The level falls by a thousandth of a job for each millisecond and unit of weight.
        self.level = self.level.saturating_sub(passed.saturating_mul(weight));
        self.updated_at = self.updated_at.max(now);
        let within = self.level + JOB <= weight * JOB * BURST_S;
        // Jobs beyond the share are not charged, so that a workspace that keeps sending too many jobs keeps its share.
        self.level += if within { JOB } else { 0 };
        within
    }
}

/// Why starts of a workspace are held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Its cap.
    pub cap: Room,
    /// The share of this pool; zero if there is no record, or only one of a higher cap.
    pub share: Room,
    /// The capacity that the workspace uses in this pool, or may use.
    pub used: Room,
    /// The number of the record.
    pub number: u64,
}

/// The use and the limits of each workspace in a pool.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pool: Arc<str>,
    arena: SlotMap<WorkspaceKey, Entry>,
    by_name: HashMap<Arc<str>, WorkspaceKey>,
    /// The version of the configuration from which the caps come.
    version: u64,
    /// The version of the configuration for which the records hold.
    as_of: u64,
    /// Whether the newest records have been read since this owner claimed the pool. Until then, the pool may be lent less than
    /// the owner assumes.
    records_read: bool,
}

impl Ledger {
    /// Creates the ledger of a pool. No task of a capped workspace starts before [`Ledger::set_records`] is called.
    pub fn new(pool: Arc<str>) -> Self {
        Self { pool, ..Self::default() }
    }

    /// Returns the key of a workspace, or `None` for jobs without a workspace.
    pub fn key(&mut self, name: &str) -> Option<WorkspaceKey> {
        if name.is_empty() {
            return None;
        }
        if let Some(&key) = self.by_name.get(name) {
            return Some(key);
        }
        let name: Arc<str> = name.into();
        let key = self.arena.insert(Entry { name: name.clone(), ..Entry::default() });
        self.by_name.insert(name, key);
        Some(key)
    }

    /// Returns the key of a job's workspace. `admitted_by` is the version of the configuration under which its caller was
    /// admitted.
    pub fn key_of_job(&mut self, name: &str, admitted_by: u64) -> Option<WorkspaceKey> {
        let key = self.key(name)?;
        let entry = &mut self.arena[key];
        entry.admitted_by = entry.admitted_by.max(admitted_by);
        Some(key)
    }

    /// Sets the workspaces of a version of the configuration.
    pub fn set_workspaces(&mut self, version: u64, workspaces: &[Workspace]) {
        self.version = version;
        for workspace in workspaces {
            if let Some(key) = self.key(&workspace.name) {
                let entry = &mut self.arena[key];
                (entry.cap, entry.weight) = (Some(workspace.cap), Some(workspace.weight));
                entry.limited_since = workspace.limited_since;
            }
        }
    }

    /// Charges a job that was accepted at a time to its workspace, and returns whether it is within the workspace's share.
    pub fn charge_job(&mut self, key: Option<WorkspaceKey>, accepted: Ms) -> bool {
        let Some(entry) = key.and_then(|key| self.arena.get_mut(key)) else { return true };
        let Some(weight) = entry.weight else { return true };
        entry.job_rate.charge(weight, accepted)
    }

    /// Sets the newest records of how caps are lent, and the version of the configuration for which they hold.
    pub fn set_records<'a>(&mut self, as_of: u64, records: impl Iterator<Item = &'a LentCap>) {
        self.records_read = true;
        self.as_of = self.as_of.max(as_of);
        for lent in records {
            let Some(key) = self.key(&lent.workspace) else { continue };
            let entry = &mut self.arena[key];
            if entry.lent.as_ref().is_none_or(|known| known.number < lent.number) {
                entry.lent = Some(lent.clone());
                entry.held_back = false;
            }
        }
    }

    /// Adds the capacity that a run may use from now on.
    pub fn add(&mut self, key: Option<WorkspaceKey>, room: Room) {
        if let Some(entry) = key.and_then(|key| self.arena.get_mut(key)) {
            entry.used = entry.used.plus(room);
        }
    }

    /// Removes the capacity that a run certainly no longer uses.
    pub fn remove(&mut self, key: Option<WorkspaceKey>, room: Room) {
        if let Some(entry) = key.and_then(|key| self.arena.get_mut(key)) {
            entry.used = entry.used.minus(room);
        }
    }

    /// Returns whether a workspace may use some more capacity. If not, the workspace is marked as held back.
    pub fn may_start(&mut self, key: Option<WorkspaceKey>, room: Room) -> bool {
        let Some(key) = key else { return true };
        let view = self.view();
        let Some(entry) = self.arena.get_mut(key) else { return true };
        let allowed = entry.allows(&view, room);
        entry.held_back |= !allowed;
        allowed
    }

    /// Returns whether a workspace may use some more capacity.
    pub fn allows(&self, key: Option<WorkspaceKey>, room: Room) -> bool {
        let entry = key.and_then(|key| self.arena.get(key));
        entry.is_none_or(|entry| entry.allows(&self.view(), room))
    }

    /// Returns whether a workspace uses half of its configured cap in this pool alone.
    pub fn is_half_used(&self, key: Option<WorkspaceKey>) -> bool {
        let Some(entry) = key.and_then(|key| self.arena.get(key)) else { return false };
        let cap = entry.cap.unwrap_or_default();
        let used = entry.used.times(2);
        cap.cpu > 0 && used.cpu >= cap.cpu
            || cap.mem_mb > 0 && used.mem_mb >= cap.mem_mb
            || cap.gpu > 0 && used.gpu >= cap.gpu
    }

    /// Returns the configured cap of a workspace; without one, the cap has no limits.
    pub fn configured_cap(&self, key: Option<WorkspaceKey>) -> Room {
        key.and_then(|key| self.arena.get(key)?.cap).unwrap_or_default()
    }

    /// Returns how much more CPU a workspace may use under its cap, if that is limited.
    pub fn cpu_left(&self, key: WorkspaceKey) -> Option<u64> {
        let entry = self.arena.get(key)?;
        let cap = entry.cap.filter(|cap| cap.cpu > 0)?;
        Some(u64::from(cap.cpu.saturating_sub(entry.used.cpu)))
    }

    /// Returns the workspaces whose starts are held back, with their limits.
    pub fn held(&self) -> impl Iterator<Item = Held> {
        self.arena.values().filter(|e| e.held_back).map(|e| Held {
            workspace: e.name.clone(),
            cap: e.cap.unwrap_or_default(),
            share: e.share(&self.view()).unwrap_or_default(),
            used: e.used,
            number: e.lent.as_ref().map_or(0, |lent| lent.number),
        })
    }

    /// Returns the reports to send to the lender, given the waiting demand of each workspace. They cover workspaces that are or
    /// were short, that want less than last reported, or whose record is newer than the last report. `count` is the number of
    /// reports made so far under the owner's token, and is increased.
    pub fn to_report(
        &mut self,
        token: u64,
        count: &mut u64,
        waiting: &HashMap<WorkspaceKey, Room>,
    ) -> Vec<CapUse> {
        let mut reports = Vec::new();
        for (key, entry) in &mut self.arena {
            // A workspace without a limit follows no record.
            let limited = entry.cap_now(self.version).is_some_and(limits);
            let Some(lent) = entry.lent.as_ref().filter(|_| self.records_read && limited) else {
                continue;
            };
            let queued = waiting.get(&key).copied().unwrap_or_default();
            let wanted = entry.used.plus(queued);
            let share = lent.share(&self.pool).map(|s| s.room).unwrap_or_default();
            let reported = entry.reported.as_ref();
            let is_short = entry.held_back || !within(wanted, share, lent.cap);
            let was_short = reported.is_some_and(|r| !within(r.wanted, share, lent.cap));
            let is_new = reported.is_none_or(|r| r.number < lent.number && r.sequence.0 <= token);
            let differs = reported.is_none_or(|r| r.used != entry.used || r.wanted != wanted);
            let can_return =
                lent.is_short && reported.is_some_and(|r| has_fallen(wanted, r.wanted, lent.cap));
            if !(is_new || can_return || (is_short || was_short) && differs) {
                continue;
            }
            *count += 1;
            let report = CapUse {
                pool: self.pool.to_string(),
                workspace: entry.name.to_string(),
                sequence: (token, *count),
                number: lent.number,
                used: entry.used,
                wanted,
            };
            entry.held_back = false;
            entry.reported = Some(report.clone());
            reports.push(report);
        }
        reports
    }

    /// Discards all reports, as they may not have arrived, so that they are sent again.
    pub fn forget_reported(&mut self) {
        for entry in self.arena.values_mut() {
            entry.reported = None;
        }
    }

    fn view(&self) -> LedgerView {
        LedgerView {
            pool: self.pool.clone(),
            version: self.version,
            as_of: self.as_of,
            records_read: self.records_read,
        }
    }
}

/// The fields of a ledger that are needed for each of its workspaces.
struct LedgerView {
    pool: Arc<str>,
    version: u64,
    as_of: u64,
    records_read: bool,
}

impl Entry {
    /// Returns the cap by the newest configuration, or by a record that is based on a newer one than this node has read. A
    /// workspace that is no longer configured keeps the last cap that was lent.
    fn cap_now(&self, version: u64) -> Option<Room> {
        let newer = self.lent.as_ref().filter(|lent| lent.version > version);
        let known = self.cap.or(self.lent.as_ref().map(|lent| lent.cap));
        newer.map(|lent| lent.cap).or(known)
    }

    /// Returns the maximum that the workspace may have running in this pool, or `None` if it is not limited.
    fn share(&self, view: &LedgerView) -> Option<Room> {
        let Some(cap) = self.cap_now(view.version) else {
            // The cap is not known yet, or the workspace never had one.
            let unknown = view.version < self.admitted_by || !view.records_read;
            return unknown.then(Room::default);
        };
        if !limits(cap) {
            // The predecessor may have applied a limit that this node does not know yet.
            return (!view.records_read).then(Room::default);
        }
        let counts = |lent: &&LentCap| {
            view.records_read
                && lent.version.max(view.as_of) >= self.limited_since
                && !is_higher_cap(lent.cap, cap)
        };
        let Some(lent) = self.lent.as_ref().filter(counts) else { return Some(Room::default()) };
        Some(lent.share(&view.pool).map(|share| share.room).unwrap_or_default())
    }

    fn allows(&self, view: &LedgerView, room: Room) -> bool {
        let Some(share) = self.share(view) else { return true };
        let lent = self.lent.as_ref().map(|lent| lent.cap).unwrap_or_default();
        // A task that is larger than the cap may run alone: exceeding the cap by one task is allowed.
        let alone = self.used == Room::default() && limits(lent) && within(lent, share, lent);
        alone || limits(lent) && within(self.used.plus(room), share, lent)
    }
}

/// While another pool is short, a pool reports that it wants less once the difference exceeds the cap divided by this number.
const FALLEN_DIVISOR: u32 = 32;

fn has_fallen(wanted: Room, reported: Room, cap: Room) -> bool {
    let mut resources = amounts(wanted).into_iter().zip(amounts(reported)).zip(amounts(cap));
    resources.any(|((wanted, reported), cap)| {
        cap > 0 && reported.saturating_sub(wanted) > cap / FALLEN_DIVISOR
    })
}

/// Returns whether a cap is higher than the current one, so that the use under it may exceed the current one.
pub(crate) fn is_higher_cap(other: Room, cap: Room) -> bool {
    let mut resources = amounts(other).into_iter().zip(amounts(cap));
    resources.any(|(other, cap)| cap > 0 && (other == 0 || other > cap))
}
