//! A pool's side: what each workspace has running here, and how much more it may start.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use super::{CapUse, LentCap, kinds, limits, within};
use crate::Ms;
use crate::vm::Room;
use crate::workspace::Workspace;

new_key_type! {
    /// A workspace in a pool's arena.
    pub struct WorkspaceKey;
}

/// A workspace as a pool's owner knows it.
#[derive(Clone, Debug, Default)]
struct Entry {
    name: Arc<str>,
    /// Its cap by the newest configuration, or the last that named it.
    cap: Option<Room>,
    /// The version since which it has been limited; records of before know nothing of what was started without a limit.
    limited_since: u64,
    /// How its cap is lent, by the newest record.
    lent: Option<LentCap>,
    /// What it has running here, or may have.
    used: Room,
    /// A start was held back since its shares were last looked at.
    held_back: bool,
    /// What was last said of it.
    said: Option<CapUse>,
    /// The newest version of the configuration by which one of its jobs was let in.
    admitted_by: u64,
    /// Its share, if it is known: also the jobs a second that it is promised.
    weight: Option<u32>,
    jobs: JobAccount,
}

/// For how many seconds a workspace may save up jobs that it has not sent: the users judge what it sends over as long.
const SAVED_UP_S: u64 = 5;
/// Thousandths of a job.
const JOB: u64 = 1_000;

/// The jobs that a workspace may send within its share, by what it has sent.
#[derive(Clone, Copy, Debug, Default)]
struct JobAccount {
    /// Thousandths of jobs that were spent and are not paid off yet.
    spent: u64,
    /// When that was so, by the steady clock.
    at: Ms,
}

impl JobAccount {
    /// Takes a job in, and returns whether it is within the share.
    fn take(&mut self, weight: u32, now: Ms) -> bool {
        let weight = u64::from(weight);
        let passed = now.saturating_sub(self.at);
        // A thousandth of a job for each millisecond and unit of weight.
        self.spent = self.spent.saturating_sub(passed.saturating_mul(weight));
        self.at = self.at.max(now);
        let within = self.spent + JOB <= weight * JOB * SAVED_UP_S;
        // What goes beyond costs nothing: a workspace that goes on sending too much keeps its share.
        self.spent += if within { JOB } else { 0 };
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
    /// What this pool is lent of it; nothing if no record tells, or only one of a higher cap.
    pub share: Room,
    /// What it has running here, or may have.
    pub used: Room,
    /// The record's number.
    pub number: u64,
}

/// What workspaces have running in a pool, and what they may.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pool: Arc<str>,
    arena: SlotMap<WorkspaceKey, Entry>,
    by_name: HashMap<Arc<str>, WorkspaceKey>,
    /// The version of the configuration whose caps are known.
    version: u64,
    /// The version of the configuration for which the records hold.
    as_of: u64,
    /// The newest records have been read since this owner came to own the pool: before, it may be lent less than it knows.
    records_read: bool,
}

impl Ledger {
    /// Makes the ledger of a pool; nothing that is capped starts before [`Ledger::set_records`].
    pub fn new(pool: Arc<str>) -> Self {
        Self { pool, ..Self::default() }
    }

    /// Returns a workspace's key; none for jobs of no workspace.
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

    /// Returns the key of a job's workspace, whose caller was let in by a version of the configuration.
    pub fn key_of_job(&mut self, name: &str, admitted_by: u64) -> Option<WorkspaceKey> {
        let key = self.key(name)?;
        let entry = &mut self.arena[key];
        entry.admitted_by = entry.admitted_by.max(admitted_by);
        Some(key)
    }

    /// Takes in the workspaces of a version of the configuration.
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

    /// Takes in a job that was accepted at some time, and returns whether it is within its workspace's share.
    pub fn take_job(&mut self, key: Option<WorkspaceKey>, accepted: Ms) -> bool {
        let Some(entry) = key.and_then(|key| self.arena.get_mut(key)) else { return true };
        let Some(weight) = entry.weight else { return true };
        entry.jobs.take(weight, accepted)
    }

    /// Takes in the newest records of how caps are lent, and the version for which they hold.
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

    /// Counts what a run may take from now on.
    pub fn add(&mut self, key: Option<WorkspaceKey>, room: Room) {
        if let Some(entry) = key.and_then(|key| self.arena.get_mut(key)) {
            entry.used = entry.used.plus(room);
        }
    }

    /// Counts what a run surely takes no more.
    pub fn remove(&mut self, key: Option<WorkspaceKey>, room: Room) {
        if let Some(entry) = key.and_then(|key| self.arena.get_mut(key)) {
            entry.used = entry.used.minus(room);
        }
    }

    /// Returns whether something more of a workspace may start; if not, that is noted.
    pub fn may_start(&mut self, key: Option<WorkspaceKey>, room: Room) -> bool {
        let Some(key) = key else { return true };
        let view = self.view();
        let Some(entry) = self.arena.get_mut(key) else { return true };
        let allowed = entry.allows(&view, room);
        entry.held_back |= !allowed;
        allowed
    }

    /// Returns how much processor a workspace may have running in all, if that is limited.
    pub fn cpu_left(&self, key: WorkspaceKey) -> Option<u64> {
        let entry = self.arena.get(key)?;
        let cap = entry.cap.filter(|cap| cap.cpu > 0)?;
        Some(u64::from(cap.cpu.saturating_sub(entry.used.cpu)))
    }

    /// Returns the workspaces whose starts are held back, and by what.
    pub fn held(&self) -> impl Iterator<Item = Held> {
        self.arena.values().filter(|e| e.held_back).map(|e| Held {
            workspace: e.name.clone(),
            cap: e.cap.unwrap_or_default(),
            share: e.share(&self.view()).unwrap_or_default(),
            used: e.used,
            number: e.lent.as_ref().map_or(0, |lent| lent.number),
        })
    }

    /// Returns what there is to say to the lender, given what each workspace has waiting: of those that are short or were, and
    /// of those whose record is newer than what was said.
    pub fn to_say(
        &mut self,
        token: u64,
        count: &mut u64,
        waiting: &HashMap<WorkspaceKey, Room>,
    ) -> Vec<CapUse> {
        let mut news = Vec::new();
        for (key, entry) in &mut self.arena {
            // Who sees no limit goes by no record.
            let limited = entry.cap_now(self.version).is_some_and(limits);
            let Some(lent) = entry.lent.as_ref().filter(|_| self.records_read && limited) else {
                continue;
            };
            let waits = waiting.get(&key).copied().unwrap_or_default();
            let wanted = entry.used.plus(waits);
            let share = lent.share(&self.pool).map(|s| s.room).unwrap_or_default();
            let said = entry.said.as_ref();
            let is_short = entry.held_back || !within(wanted, share, lent.cap);
            let was_short = said.is_some_and(|said| !within(said.wanted, share, lent.cap));
            let is_new = said.is_none_or(|said| said.number < lent.number && said.said.0 <= token);
            let differs = said.is_none_or(|said| said.used != entry.used || said.wanted != wanted);
            let gives =
                lent.is_short && said.is_some_and(|said| has_fallen(wanted, said.wanted, lent.cap));
            if !(is_new || gives || (is_short || was_short) && differs) {
                continue;
            }
            *count += 1;
            let said = CapUse {
                pool: self.pool.to_string(),
                workspace: entry.name.to_string(),
                said: (token, *count),
                number: lent.number,
                used: entry.used,
                wanted,
            };
            entry.held_back = false;
            entry.said = Some(said.clone());
            news.push(said);
        }
        news
    }

    /// Takes in that what was said may not have arrived: all of it is said again.
    pub fn forget_said(&mut self) {
        for entry in self.arena.values_mut() {
            entry.said = None;
        }
    }

    fn view(&self) -> View {
        View {
            pool: self.pool.clone(),
            version: self.version,
            as_of: self.as_of,
            records_read: self.records_read,
        }
    }
}

/// What of a ledger concerns each of its workspaces.
struct View {
    pool: Arc<str>,
    version: u64,
    as_of: u64,
    records_read: bool,
}

impl Entry {
    /// Returns its cap: by the newest configuration, or by a record that goes by a newer one than this node has. One that no
    /// configuration names any more keeps to the last that was lent.
    fn cap_now(&self, version: u64) -> Option<Room> {
        let newer = self.lent.as_ref().filter(|lent| lent.version > version);
        let known = self.cap.or(self.lent.as_ref().map(|lent| lent.cap));
        newer.map(|lent| lent.cap).or(known)
    }

    /// Returns how much it may have running here; none if nothing limits it.
    fn share(&self, view: &View) -> Option<Room> {
        let Some(cap) = self.cap_now(view.version) else {
            // Its cap is not known yet, or it never had one.
            let unknown = view.version < self.admitted_by || !view.records_read;
            return unknown.then(Room::default);
        };
        if !limits(cap) {
            // Its predecessor may have gone by a limit that this node does not know of yet.
            return (!view.records_read).then(Room::default);
        }
        let counts = |lent: &&LentCap| {
            view.records_read
                && lent.version.max(view.as_of) >= self.limited_since
                && !is_higher(lent.cap, cap)
        };
        let Some(lent) = self.lent.as_ref().filter(counts) else { return Some(Room::default()) };
        Some(lent.share(&view.pool).map(|share| share.room).unwrap_or_default())
    }

    fn allows(&self, view: &View, room: Room) -> bool {
        let Some(share) = self.share(view) else { return true };
        let lent = self.lent.as_ref().map(|lent| lent.cap).unwrap_or_default();
        // What is larger than the cap runs alone: one task more than the cap is allowed.
        let alone = self.used == Room::default() && limits(lent) && within(lent, share, lent);
        alone || limits(lent) && within(self.used.plus(room), share, lent)
    }
}

/// What a pool wants less than it has said is told others that are short once it is one of so many parts of the cap.
const FALLEN_PART: u32 = 32;

fn has_fallen(wanted: Room, said: Room, cap: Room) -> bool {
    let mut kinds = kinds(wanted).into_iter().zip(kinds(said)).zip(kinds(cap));
    kinds.any(|((wanted, said), cap)| cap > 0 && said.saturating_sub(wanted) > cap / FALLEN_PART)
}

/// Returns whether a cap is lent that is higher than the one in force: what pools have running may be over that.
fn is_higher(lent: Room, cap: Room) -> bool {
    let mut kinds = kinds(lent).into_iter().zip(kinds(cap));
    kinds.any(|(lent, cap)| cap > 0 && (lent == 0 || lent > cap))
}
