//! The canonical encoding of the state, for snapshots and digests.
//!
//! The image refers to VMs by name and to pools by index, as the arena keys of a folded state and of a restored
//! one differ.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thistle_model::view::Voters;
use thistle_model::{
    JobName, MemberId, Offset, PlatformStatus, PoolName, Revision, TeamName, TemplateName, VmFacts,
    VmName, Workspace,
};

use crate::job::{Job, JobState};
use crate::member::Member;
use crate::pool::{Pool, PoolKey};
use crate::state::{Quota, State, TemplateEntry, WriterMark};
use crate::vm::{Stage, TaskRecord, Vm};
use crate::wave::Wave;

#[derive(Serialize, Deserialize)]
struct PoolImage {
    name: Option<PoolName>,
    workspace: Option<Workspace>,
    revision: Revision,
    touched: Revision,
}

#[derive(Serialize, Deserialize)]
struct VmImage {
    name: VmName,
    facts: VmFacts,
    status: PlatformStatus,
    pool: u32,
    cordoned: bool,
    stage: Stage,
    revision: Revision,
    wave: u32,
    tasks: TaskRecord,
}

#[derive(Serialize, Deserialize)]
struct Image {
    next: Offset,
    accepted: u64,
    records: u64,
    malformed: u64,
    moves: u64,
    templates: BTreeMap<TemplateName, TemplateEntry>,
    pools: Vec<PoolImage>,
    vms: Vec<VmImage>,
    members: BTreeMap<MemberId, Member>,
    voters: Voters,
    wave: Wave,
    quotas: BTreeMap<TeamName, Quota>,
    jobs: BTreeMap<JobName, Job>,
    ended_jobs: VecDeque<JobName>,
    writers: BTreeMap<u64, WriterMark>,
}

/// Returns the encoded state; equal states have equal encodings.
pub fn encode(state: &State) -> Vec<u8> {
    let mut keys = vec![state.reserve];
    keys.extend(state.pool_keys.values().copied());
    let index = |key: PoolKey| keys.iter().position(|&k| k == key).unwrap_or(0);
    let image = Image {
        next: state.next,
        accepted: state.accepted,
        records: state.records,
        malformed: state.malformed,
        moves: state.moves,
        templates: state.templates.clone(),
        pools: keys.iter().map(|&k| pool_image(&state.pools[k])).collect(),
        vms: state
            .vm_keys
            .values()
            .map(|&k| vm_image(&state.vms[k], index(state.vms[k].pool)))
            .collect(),
        members: state.members.clone(),
        voters: state.voters.clone(),
        wave: state.wave.clone(),
        quotas: state.quotas.clone(),
        jobs: state.jobs.clone(),
        ended_jobs: state.ended_jobs.clone(),
        writers: state.writers.clone(),
    };
    postcard::to_stdvec(&image).unwrap_or_default()
}

/// Decodes a state; returns `None` if the bytes are not a valid image.
pub fn decode(bytes: &[u8]) -> Option<State> {
    let image: Image = postcard::from_bytes(bytes).ok()?;
    let mut state = State::new();
    state.next = image.next;
    state.accepted = image.accepted;
    state.records = image.records;
    state.malformed = image.malformed;
    state.moves = image.moves;
    state.templates = image.templates;
    state.members = image.members;
    state.voters = image.voters;
    state.wave = image.wave;
    state.quotas = image.quotas;
    state.ended_jobs = image.ended_jobs;
    state.writers = image.writers;
    let keys = restore_pools(&mut state, image.pools);
    restore_vms(&mut state, image.vms, &keys)?;
    restore_jobs(&mut state, image.jobs);
    state.assert_all();
    Some(state)
}

/// Returns the digest of the state in hexadecimal.
pub fn digest(state: &State) -> String {
    digest_of(&encode(state))
}

/// Returns the digest of an encoded state in hexadecimal.
pub fn digest_of(bytes: &[u8]) -> String {
    let hash = Sha256::digest(bytes);
    hash.iter().map(|b| format!("{b:02x}")).collect()
}

fn pool_image(pool: &Pool) -> PoolImage {
    PoolImage {
        name: pool.name.clone(),
        workspace: pool.workspace.clone(),
        revision: pool.revision,
        touched: pool.touched,
    }
}

fn vm_image(vm: &Vm, pool: usize) -> VmImage {
    VmImage {
        name: vm.name.clone(),
        facts: vm.facts.clone(),
        status: vm.status,
        pool: u32::try_from(pool).unwrap_or(0),
        cordoned: vm.cordoned,
        stage: vm.stage.clone(),
        revision: vm.revision,
        wave: vm.wave,
        tasks: vm.tasks.clone(),
    }
}

fn restore_pools(state: &mut State, images: Vec<PoolImage>) -> Vec<PoolKey> {
    let mut keys = Vec::with_capacity(images.len());
    for image in images {
        let pool = Pool {
            name: image.name.clone(),
            workspace: image.workspace,
            revision: image.revision,
            touched: image.touched,
            size: 0,
            available: 0,
        };
        let key = match image.name {
            None => {
                state.pools[state.reserve] = pool;
                state.reserve
            }
            Some(name) => {
                let key = state.pools.insert(pool);
                state.pool_keys.insert(name, key);
                key
            }
        };
        keys.push(key);
    }
    keys
}

fn restore_vms(state: &mut State, images: Vec<VmImage>, pools: &[PoolKey]) -> Option<()> {
    for image in images {
        let pool = *pools.get(image.pool as usize)?;
        let name = image.name.clone();
        let vm = Vm {
            name: image.name,
            facts: image.facts,
            status: image.status,
            pool,
            cordoned: image.cordoned,
            stage: image.stage,
            revision: image.revision,
            wave: image.wave,
            job_slots: 0,
            tasks: image.tasks,
        };
        state.pools[pool].size += 1;
        state.pools[pool].available += u32::from(vm.is_available());
        let key = state.vms.insert(vm);
        state.vm_keys.insert(name, key);
    }
    Some(())
}

fn restore_jobs(state: &mut State, jobs: BTreeMap<JobName, Job>) {
    for (name, job) in &jobs {
        match &job.state {
            JobState::Waiting => {
                state.waiting_jobs.insert((job.spec.urgency, job.submitted, name.clone()));
            }
            JobState::Running(vm) => {
                state.running_jobs.insert((vm.clone(), name.clone()));
                if let Ok(key) = state.vm_key(vm) {
                    state.vms[key].job_slots += u32::from(job.spec.slots);
                }
            }
            JobState::Done | JobState::Failed | JobState::Cancelled => {}
        }
    }
    state.jobs = jobs;
}
