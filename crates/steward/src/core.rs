//! The main data of a steward: the agreed state, the proof of its membership, its peers and its entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use thistle_fold::{MemberState, State, image, snapshot};
use thistle_model::clock::Instant;
use thistle_model::record::decode;
use thistle_model::{Change, MemberId, Offset, Record, RecordId, Revision};
use thistle_wire::peer::{EntryReport, Heartbeat};

use crate::hints::Hints;
use crate::promise::{Promises, Proof};
use crate::recent::RecentEntries;
use crate::rollout::Rollouts;
use crate::verdicts::Verdicts;

/// The last heartbeat of a peer.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// When the heartbeat was received.
    pub last_contact: Instant,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// The entry on this VM.
#[derive(Debug, Default)]
pub struct EntryState {
    /// The random ID that the entry generated at startup; `None` before its first call.
    pub id: Option<u64>,
    /// When the entry last called.
    pub last_contact: Instant,
    /// The time from which the entry's acknowledgements count; a previous entry may send requests until then.
    pub ack_from: Instant,
    /// The last report of the entry.
    pub report: EntryReport,
}

/// The image of the state at the last snapshot point.
#[derive(Debug, Default)]
pub struct SnapshotPoint {
    /// The records of the snapshot.
    pub chunks: Vec<Change>,
    /// The first offset that the snapshot does not cover.
    pub at: Offset,
    /// The digest of the state.
    pub digest: String,
    /// The highest offset whose complete snapshot was read from the log.
    pub written: Offset,
}

/// The data under a steward's main lock.
#[derive(Debug)]
pub struct Core {
    /// The ID of this member.
    pub me: MemberId,
    /// The agreed state.
    pub state: State,
    /// The newest entries of the log.
    pub recent: RecentEntries,
    /// Whether the last read of the log succeeded.
    pub log_up: bool,
    /// Whether the log was once read to its end, or the state was restored from peers up to the
    /// offset of a quorum.
    pub caught_up: bool,
    /// The proof of this member's membership.
    pub proof: Proof,
    /// The promises that this member has given to others.
    pub promises: Promises,
    /// The last heartbeats of peers.
    pub peers: BTreeMap<MemberId, PeerReport>,
    /// The hints of leaving VMs.
    pub hints: Hints,
    /// The entry on this VM.
    pub entry: EntryState,
    /// The verdicts on records.
    pub verdicts: Verdicts,
    /// The revision of the voters whose claims this voter has taken over.
    pub merged: Revision,
    /// When the `MemberGone` record of a member was read.
    pub gone_read_at: BTreeMap<MemberId, Instant>,
    /// When the set of members last changed.
    pub members_changed: Instant,
    /// Whether a voter refuses promises to this member, which must rejoin.
    pub must_rejoin: bool,
    /// The last snapshot point.
    pub snapshot: SnapshotPoint,
    /// The number of snapshot chunks whose digest differed from this steward's own.
    pub digest_mismatches: u64,
    /// Operators' changes that some entry does not use yet.
    pub rollouts: Rollouts,
    snapshot_every: u64,
}

impl Core {
    /// Creates the core of a steward that has read nothing.
    pub fn new(me: MemberId, fence: Duration, snapshot_every: u64, now: Instant) -> Self {
        let entry = EntryState { ack_from: now + fence, ..EntryState::default() };
        Self {
            me,
            state: State::new(),
            recent: RecentEntries::default(),
            log_up: false,
            caught_up: false,
            proof: Proof::new(fence),
            promises: Promises::new(fence),
            peers: BTreeMap::new(),
            hints: Hints::default(),
            entry,
            verdicts: Verdicts::default(),
            merged: Revision::NONE,
            gone_read_at: BTreeMap::new(),
            members_changed: now,
            must_rejoin: false,
            snapshot: SnapshotPoint::default(),
            digest_mismatches: 0,
            rollouts: Rollouts::default(),
            snapshot_every,
        }
    }

    /// Applies the next entry of the log.
    pub fn apply(&mut self, entry: Vec<u8>, now: Instant) {
        let offset = self.state.next;
        let members: BTreeSet<_> = self.state.members.keys().copied().collect();
        let records = decode(&entry).unwrap_or_default();
        self.check_snapshot(&records);
        let verdicts = self.state.apply_entry(offset, &entry);
        for (verdict, record) in verdicts.iter().zip(&records) {
            self.verdicts.add(verdict);
            if verdict.result.is_ok() {
                self.rollouts.track(&record.change, offset, now);
            }
        }
        self.recent.push(offset, entry);
        self.record_member_changes(&members, now);
        if self.state.next.0.is_multiple_of(self.snapshot_every) {
            self.take_snapshot();
        }
    }

    /// Replaces the state with a fetched one if that is newer.
    pub fn replace_state(&mut self, state: State, now: Instant) {
        if state.next <= self.state.next {
            return;
        }
        self.state = state;
        self.recent = RecentEntries::default();
        self.record_member_changes(&BTreeSet::new(), now);
    }

    /// Returns whether this member is joined according to the agreed state.
    pub fn is_member(&self) -> bool {
        let member = self.state.members.get(&self.me);
        member.is_some_and(|m| m.state == MemberState::Joined)
    }

    /// Returns until when this member's entry may send new work.
    pub fn proof_until(&self, now: Instant) -> Instant {
        if !self.is_member() || !self.caught_up {
            return Instant::default();
        }
        self.proof.until(self.me, &self.state.voters, now)
    }

    /// Returns the smallest offset that a joined member's entry uses; `None` while the offset of
    /// one is not known.
    pub fn min_entry_offset(&self) -> Option<Offset> {
        let joined = self.state.members.iter().filter(|(_, m)| m.state == MemberState::Joined);
        let offset = |id: &MemberId| {
            if *id == self.me {
                return Some(self.entry.report.offset);
            }
            self.peers.get(id).map(|p| p.heartbeat.entry.offset)
        };
        let offsets: Option<Vec<Offset>> = joined.map(|(id, _)| offset(id)).collect();
        offsets?.into_iter().min()
    }

    /// Returns whether a record, or a later one of its writer, was read.
    pub fn is_read(&self, id: RecordId) -> bool {
        self.state.writers.get(&id.writer).is_some_and(|mark| mark.seq >= id.seq)
    }

    /// Returns the planner on duty: a voter picked by hash among those with contact within
    /// `contact_timeout`. A single planner only saves work; correctness does not depend on it.
    pub fn planner_on_duty(&self, contact_timeout: Duration, now: Instant) -> Option<MemberId> {
        let is_live = |id: &MemberId| {
            *id == self.me || self.promises.had_contact_within(*id, contact_timeout, now)
        };
        let is_joined = |id: &MemberId| {
            self.state.members.get(id).is_some_and(|m| m.state == MemberState::Joined)
        };
        let voters = self.state.voters.current.iter().copied();
        let live = voters.filter(|id| is_joined(id) && is_live(id));
        thistle_model::rendezvous::pick(b"duty", live, |id| id.0)
    }

    fn record_member_changes(&mut self, before: &BTreeSet<MemberId>, now: Instant) {
        let member_ids: BTreeSet<_> = self.state.members.keys().copied().collect();
        let gone = self.state.members.iter().filter(|(_, m)| m.state == MemberState::Gone);
        for (&id, _) in gone {
            self.gone_read_at.entry(id).or_insert(now);
        }
        if member_ids == *before {
            return;
        }
        self.members_changed = now;
        self.gone_read_at.retain(|id, _| member_ids.contains(id));
        self.peers.retain(|id, _| member_ids.contains(id));
        self.promises.retain(&member_ids);
    }

    fn take_snapshot(&mut self) {
        let written = self.snapshot.written;
        let digest = image::digest(&self.state);
        let chunks = snapshot::chunks(&self.state);
        self.snapshot = SnapshotPoint { chunks, at: self.state.next, digest, written };
    }

    /// Compares a snapshot in the log with this steward's own state at that offset.
    fn check_snapshot(&mut self, records: &[Record]) {
        for record in records {
            let Change::SnapshotChunk { at, digest, index, count, .. } = &record.change else {
                continue;
            };
            if index + 1 == *count {
                self.snapshot.written = self.snapshot.written.max(*at);
            }
            if *at == self.snapshot.at && *digest != self.snapshot.digest {
                self.digest_mismatches += 1;
                log::error!(
                    "snapshot at={at} digest={digest} differs from own={}",
                    self.snapshot.digest
                );
            }
        }
    }
}
