//! Workspaces: the keys of their callers, their caps on running tasks, and their shares of a full fleet.

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
    /// The name of the workspace.
    pub name: Arc<str>,
    /// Its share relative to other workspaces when the fleet is full. It is also the guaranteed rate in jobs a second.
    pub weight: u32,
    /// The maximum capacity that its tasks may use at once over all pools. A resource with the value 0 has no limit.
    pub cap: Room,
    /// The version of the configuration since which the workspace has certainly been limited, as far as this process has read
    /// the versions. It is at least the first version that the process read.
    pub limited_since: u64,
}

/// The maximum number of workspaces, the largest ones, that metrics label by name. Each name is a series on each of about a
/// hundred nodes, and 400 workspaces would dominate the scraped data.
const MAX_LABELLED: usize = 32;
/// The metrics label of all other workspaces, and of calls without a workspace.
const OTHER_LABEL: &str = "other";

/// A secret of this process with which keys are hashed, so that neither memory nor the duration of a lookup reveals them.
#[derive(Clone)]
pub struct KeySecret([u8; 32]);

impl KeySecret {
    /// Creates a secret from random bytes.
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

/// The hash of a key. It cannot be predicted without the secret, so that the duration of a comparison reveals nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KeyDigest([u8; 32]);

/// The configuration of a workspace with its keys.
#[derive(Clone, Debug)]
pub struct WorkspaceConfig {
    /// The workspace.
    pub workspace: Workspace,
    /// The keys of its callers.
    pub keys: Vec<String>,
}

/// The workspaces of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspaces {
    all: Vec<Workspace>,
    by_name: HashMap<Arc<str>, usize>,
    /// The index of the workspace to which a key belongs, or `None` if several workspaces have the key.
    by_key: HashMap<KeyDigest, Option<usize>>,
    /// The workspaces that metrics label by name.
    labelled: HashSet<Arc<str>>,
    warnings: Vec<String>,
}

impl Workspaces {
    /// Creates the set of workspaces. Ambiguous names and keys are left out and reported by [`Workspaces::warnings`].
    pub fn new(configs: Vec<WorkspaceConfig>, secret: &KeySecret) -> Self {
        let mut workspaces = Self::default();
        for config in configs {
            workspaces.add(config, secret);
        }
        let mut largest: Vec<&Workspace> = workspaces.all.iter().collect();
        largest.sort_by_key(|w| (Reverse(w.weight), w.name.clone()));
        workspaces.labelled =
            largest.into_iter().take(MAX_LABELLED).map(|w| w.name.clone()).collect();
        workspaces
    }

    /// Returns the metrics label of a workspace. Only the largest are labelled by name, which bounds the number of series.
    pub fn metric_name(&self, workspace: &str) -> &str {
        self.labelled.get(workspace).map_or(OTHER_LABEL, |name| name)
    }

    fn add(&mut self, config: WorkspaceConfig, secret: &KeySecret) {
        let name = config.workspace.name.clone();
        if name.is_empty() {
            self.warnings.push("a workspace has no name and is left out".to_owned());
            return;
        }
        if self.by_name.contains_key(&name) {
            self.warnings
                .push(format!("workspace '{name}' is configured twice: the second is left out"));
            return;
        }
        let index = self.all.len();
        for key in config.keys.iter().filter(|key| !key.is_empty()) {
            let holder = self.by_key.entry(secret.digest(key)).or_insert(Some(index));
            if *holder != Some(index) {
                // An ambiguous key admits no caller.
                *holder = None;
                self.warnings.push(format!(
                    "a key of workspace '{name}' also belongs to another workspace: it is valid for neither"
                ));
            }
        }
        self.by_name.insert(name, index);
        self.all.push(config.workspace);
    }

    /// Carries over `limited_since` of each limited workspace from the previous version of the configuration, if one was read
    /// and limited the workspace too. Otherwise `limited_since` is `version`.
    pub fn inherit_limits(&mut self, before: Option<&Self>, version: u64) {
        for workspace in self.all.iter_mut().filter(|w| limits(w.cap)) {
            let known = before.and_then(|before| before.get(&workspace.name));
            let known = known.filter(|known| limits_all_of(known.cap, workspace.cap));
            workspace.limited_since = known.map_or(version, |known| known.limited_since);
        }
    }

    /// Returns the workspace to which a key belongs.
    pub fn of_key(&self, key: &str, secret: &KeySecret) -> Option<&Workspace> {
        let index = *self.by_key.get(&secret.digest(key))?;
        self.all.get(index?)
    }

    /// Returns the workspace with the given name.
    pub fn get(&self, name: &str) -> Option<&Workspace> {
        self.all.get(*self.by_name.get(name)?)
    }

    /// Returns all workspaces.
    pub fn all(&self) -> &[Workspace] {
        &self.all
    }

    /// Returns the number of keys.
    pub fn keys(&self) -> usize {
        self.by_key.len()
    }

    /// Returns log messages about parts of the configuration that were left out. They contain no keys.
    pub fn warnings(&self) -> &[String] {
        &self.warnings
    }
}

/// The caller of a request, as the node that accepted the request determined by its key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Caller {
    /// The queue that was called.
    pub queue: String,
    /// The workspace to which the key belongs, or `None` at an open queue.
    pub workspace: Option<String>,
}

impl Caller {
    /// Returns a caller that may see and cancel a job: the one that submitted it.
    pub fn of(job: &JobSpec) -> Self {
        let workspace = Some(&job.workspace).filter(|workspace| !workspace.is_empty());
        Self { queue: job.queue.clone(), workspace: workspace.cloned() }
    }

    /// Returns whether the caller may see and cancel a job: one of its own workspace, one without a workspace, or any job of the
    /// same queue if the queue has become open.
    pub fn may_see(&self, job: &JobSpec) -> bool {
        match &self.workspace {
            _ if job.workspace.is_empty() => true,
            Some(workspace) => *workspace == job.workspace,
            None => self.queue == job.queue,
        }
    }
}
