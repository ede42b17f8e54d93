//! What a node has to do the work of an owner, and which nodes are weak compared to the others.
//!
//! Load pattern: a site of a few large nodes and many small ones, whose links carry a twentieth of what those of the large
//! ones do. A pool's demand rises to five times its mean for some seconds, and its owner then sends several hundred starts a
//! second, each with the text of its job. If only processors are compared, and all appear equally fast, small nodes own most
//! pools, and their links are full in each peak.

use serde::{Deserialize, Serialize};

use super::{Member, Ownership};

/// The scale of a node's strength: that of a node which has the most of everything.
const FULL: u64 = 1_000;

/// What a node has to do the work of an owner. A value of 0 is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Means {
    /// The share of a core that the settings state, in thousandths.
    #[serde(default)]
    pub cpu_share: u32,
    /// The bandwidth of the link that the settings state, in kbit/s.
    #[serde(default)]
    pub link_kbps: u32,
}

/// The most of each resource that any member has, and the strength of the strongest member.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Strongest {
    means: Means,
    speed: u32,
    strength: u64,
}

impl Strongest {
    /// Returns a member's share of the resource of which it has least, in thousandths of the most that any member has.
    fn strength(&self, member: &Member) -> u64 {
        let share = |own: u32, most: u32| match (own, most) {
            (0, _) | (_, 0) => FULL,
            (own, most) => u64::from(own) * FULL / u64::from(most),
        };
        // The speed is determined once, on a processor that may have been shared at that moment.
        let cpu = match member.means.cpu_share {
            0 => share(member.speed, self.speed),
            stated => share(stated, self.means.cpu_share),
        };
        cpu.min(share(member.means.link_kbps, self.means.link_kbps))
    }

    /// Returns whether a member has less than half the strength of the strongest one.
    pub fn is_weak(&self, member: &Member) -> bool {
        self.strength(member) < self.strength / 2
    }
}

/// How a node compares to the others as an owner, for log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The share of the resource of which it has least, in thousandths of the most that any member has.
    pub strength: u64,
    /// Whether it is weak.
    pub is_weak: bool,
    /// The number of known members that are not weak.
    pub strong_members: usize,
}

impl Ownership {
    /// Returns how this node compares to the others as an owner.
    pub fn standing(&self) -> Standing {
        let strongest = self.strongest();
        let me = self.members.get(&self.me.name);
        Standing {
            strength: me.map_or(0, |m| strongest.strength(m)),
            is_weak: me.is_some_and(|m| strongest.is_weak(m)),
            strong_members: self.members.values().filter(|m| !strongest.is_weak(m)).count(),
        }
    }

    /// Returns what to compare members with.
    pub(super) fn strongest(&self) -> Strongest {
        let mut strongest = Strongest::default();
        for m in self.members.values() {
            strongest.speed = strongest.speed.max(m.speed);
            let Means { cpu_share, link_kbps } = &mut strongest.means;
            *cpu_share = (*cpu_share).max(m.means.cpu_share);
            *link_kbps = (*link_kbps).max(m.means.link_kbps);
        }
        let strength = self.members.values().map(|m| strongest.strength(m)).max();
        Strongest { strength: strength.unwrap_or(FULL), ..strongest }
    }
}
