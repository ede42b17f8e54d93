//! Workspaces: who may call, how much each may run at once, and what share each has of a full fleet.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::quota::{limits, limits_all_of};
use crate::spec::JobSpec;
use crate::vm::Room;

/// A team that shares the fleet with others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: Arc<str>,
    /// Its share of a full fleet, relative to those of others; also the jobs a second that it is promised.
    pub weight: u32,
    /// The most that it may have running at once over all pools; a kind that is 0 has no limit.
    pub cap: Room,
    /// The version of the configuration since which it has surely been limited: as far as this process has read on, or the first
    /// one that it has read.
    pub limited_since: u64,
}

/// As how many workspaces at most metrics name by themselves: the largest. Each name is a series on each of some hundred nodes, and
/// an operator's 400 workspaces would be most of what is scraped.
const MOST_NAMED: usize = 32;
/// As what metrics count the others, and calls of no workspace.
const UNNAMED: &str = "other";

/// A secret of this process with which keys are hashed, so that neither memory nor the time of a look-up tells of them.
#[derive(Clone)]
pub struct KeySecret([u8; 32]);

impl KeySecret {
    /// Makes a secret of random bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    fn digest(&self, key: &str) -> KeyDigest {
        let mut hash = Sha256::new();
        hash.update(self.0);
        hash.update(key.as_bytes());
        KeyDigest(hash.finalize().into())
    }
}

impl std::fmt::Debug for KeySecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeySecret")
    }
}

/// The hash of a key. Whoever does not know the secret cannot choose it, so that the time of a comparison tells nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KeyDigest([u8; 32]);

/// A workspace with its keys, as it is configured.
#[derive(Clone, Debug)]
pub struct WorkspaceConfig {
    /// The workspace.
    pub workspace: Workspace,
    /// The keys that its callers show.
    pub keys: Vec<String>,
}

/// The workspaces of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspaces {
    all: Vec<Workspace>,
    by_name: HashMap<Arc<str>, usize>,
    /// Which workspace holds a key; none if several do.
    by_key: HashMap<KeyDigest, Option<usize>>,
    /// Those that metrics name.
    named: HashSet<Arc<str>>,
    doubts: Vec<String>,
}

impl Workspaces {
    /// Takes in workspaces; those that cannot be told apart are left out and named in [`Workspaces::doubts`].
    pub fn new(configs: Vec<WorkspaceConfig>, secret: &KeySecret) -> Self {
        let mut workspaces = Self::default();
        for config in configs {
            workspaces.add(config, secret);
        }
        let mut largest: Vec<&Workspace> = workspaces.all.iter().collect();
        largest.sort_by_key(|w| (Reverse(w.weight), w.name.clone()));
        workspaces.named = largest.into_iter().take(MOST_NAMED).map(|w| w.name.clone()).collect();
        workspaces
    }

    /// Returns by what name metrics count a workspace: few are named, so that their number is bounded.
    pub fn metric_name(&self, workspace: &str) -> &str {
        self.named.get(workspace).map_or(UNNAMED, |name| name)
    }

    fn add(&mut self, config: WorkspaceConfig, secret: &KeySecret) {
        let name = config.workspace.name.clone();
        if name.is_empty() {
            self.doubts.push("a workspace without a name is left out".to_owned());
            return;
        }
        if self.by_name.contains_key(&name) {
            self.doubts.push(format!("workspace '{name}' stands twice: the second is left out"));
            return;
        }
        let index = self.all.len();
        for key in config.keys.iter().filter(|key| !key.is_empty()) {
            let holder = self.by_key.entry(secret.digest(key)).or_insert(Some(index));
            if *holder != Some(index) {
                // A key in doubt lets nobody in.
                *holder = None;
                self.doubts.push(format!(
                    "a key of workspace '{name}' is another's too: it names neither"
                ));
            }
        }
        self.by_name.insert(name, index);
        self.all.push(config.workspace);
    }

    /// Takes in the version before, if one was read: which workspaces were limited there, and since when.
    pub fn follow(&mut self, before: Option<&Self>, version: u64) {
        for workspace in self.all.iter_mut().filter(|w| limits(w.cap)) {
            let known = before.and_then(|before| before.get(&workspace.name));
            let known = known.filter(|known| limits_all_of(known.cap, workspace.cap));
            workspace.limited_since = known.map_or(version, |known| known.limited_since);
        }
    }

    /// Returns the workspace that a key names.
    pub fn of_key(&self, key: &str, secret: &KeySecret) -> Option<&Workspace> {
        let index = *self.by_key.get(&secret.digest(key))?;
        self.all.get(index?)
    }

    /// Returns the workspace of this name.
    pub fn get(&self, name: &str) -> Option<&Workspace> {
        self.all.get(*self.by_name.get(name)?)
    }

    /// Returns all workspaces.
    pub fn all(&self) -> &[Workspace] {
        &self.all
    }

    /// Returns how many keys are known.
    pub fn keys(&self) -> usize {
        self.by_key.len()
    }

    /// Returns what of the configuration was left out, for the log; no line holds a key.
    pub fn doubts(&self) -> &[String] {
        &self.doubts
    }
}

/// On whose behalf a call is made, as the node that took it decided by its key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The queue that was called.
    pub queue: String,
    /// The workspace whose key was shown; none at an open queue.
    pub workspace: Option<String>,
}

impl Caller {
    /// Returns whether the caller may see and cancel a job: its workspace's own, one of no workspace, and at a
    /// queue that has become open all that were submitted there.
    pub fn may_see(&self, job: &JobSpec) -> bool {
        match &self.workspace {
            _ if job.workspace.is_empty() => true,
            Some(workspace) => *workspace == job.workspace,
            None => self.queue == job.queue,
        }
    }
}
