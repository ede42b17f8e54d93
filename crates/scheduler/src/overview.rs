//! An overview of the system for operators, read directly from the store without the help of any node.

mod evacuation;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;
use thistle_platform::{Store, StoreError, config, listing};
use thistle_schedule::fleet::{FleetRecord, PoolReport};
use thistle_schedule::ownership::{Claim, token_of};
use thistle_schedule::progress::TaskPlacement;
use thistle_schedule::quota::{CapUse, LentCap};
use thistle_schedule::{Assignment, JobId, JobLog, KeySecret, VmFacts};

use evacuation::{EvacuationView, VmPlace, write_evacuation};

use crate::caps::{CAPS, LENT, LENT_PREFIX, USE_PREFIX, USES};
use crate::control::{AssignmentRecord, CLAIMS, OWNER_PREFIX, QUEUE_PREFIX, TOPIC};
use crate::fleet_owner::{FLEET, POOL_PREFIX, RECORD, REPORTS, apply_row};
use crate::pool_log::{FALLBACK_PROGRESS, FALLBACK_SUBMISSIONS, PROGRESS, SUBMISSIONS, topic_of};

/// The state of the system in the store.
#[derive(Debug, Serialize)]
pub struct Overview {
    /// The version of the configuration in force.
    version: u64,
    pools: BTreeMap<String, PoolView>,
    /// The owner of the fleet, which runs waves and moves VMs.
    fleet_owner: Option<OwnerView>,
    /// VMs in maintenance or moving, with the reason, and the progress of waves.
    fleet: FleetRecord,
    /// The data halls that the operator has asked to evacuate.
    evacuations: BTreeMap<String, EvacuationView>,
    /// The queues with the pools that they are assigned to.
    assignments: Vec<AssignmentRecord>,
    /// The requested job, if it is known.
    job: Option<JobView>,
    /// Workspaces with caps: how each cap is split, and the use that pools last reported.
    workspaces: BTreeMap<String, WorkspaceView>,
    /// Unreadable entries of VMs: the ID of the incarnation (unless it is too long) and the reason. The VM's name is unknown.
    unreadable: Vec<String>,
}

#[derive(Debug, Default, Serialize)]
struct PoolView {
    owner: Option<OwnerView>,
    vms: Vec<String>,
    queues: Vec<String>,
    /// The last report of the pool's owner.
    load: Option<PoolReport>,
}

/// A workspace with a cap.
#[derive(Debug, Default, Serialize)]
struct WorkspaceView {
    lent: Option<LentCap>,
    uses: Vec<CapUse>,
}

/// The owner of a pool or of the fleet.
#[derive(Debug, Serialize)]
struct OwnerView {
    node: String,
    token: u64,
    released: bool,
}

#[derive(Debug, Serialize)]
struct JobView {
    id: String,
    pool: String,
    queue: String,
    /// The workspace of the job; empty if it has none.
    workspace: String,
    state: String,
    /// Tasks that have left their initial state, with their current state.
    tasks: Vec<String>,
    /// Tasks under which VMs were lost, with their crash history and verdict.
    #[serde(rename = "harms")]
    crash_histories: Vec<String>,
}

/// Reads the state of the system from the store; `job` is the ID of a job to find.
pub async fn overview(store: SocketAddr, job: Option<&str>) -> Result<Overview, StoreError> {
    let store = Store::new(store);
    let mut overview = Overview {
        version: 0,
        pools: BTreeMap::new(),
        fleet_owner: None,
        fleet: FleetRecord::default(),
        evacuations: BTreeMap::new(),
        assignments: Vec::new(),
        job: None,
        workspaces: BTreeMap::new(),
        unreadable: Vec::new(),
    };
    overview.read_config(&store).await?;
    let vms = overview.read_vms(&store).await?;
    overview.read_owners(&store).await?;
    overview.read_fleet(&store).await?;
    overview.read_evacuations(&store, &vms).await?;
    overview.read_caps(&store).await?;
    if let Some(id) = job.and_then(|id| id.parse().ok()) {
        overview.read_job(&store, id).await?;
    }
    Ok(overview)
}

impl Overview {
    fn pool(&mut self, name: &str) -> &mut PoolView {
        self.pools.entry(name.to_owned()).or_default()
    }

    async fn read_config(&mut self, store: &Store) -> Result<(), StoreError> {
        let newest = store.newest(config::TOPIC, 0).await?;
        let found = newest.records.iter().find(|s| s.record.key == config::CATALOG_KEY);
        let Some(value) = found.and_then(|s| s.record.value()) else { return Ok(()) };
        let catalog = config::decode_catalog(value, &KeySecret::new(rand::random()))
            .map_err(|e| StoreError::Malformed(e.0))?;
        self.version = catalog.version;
        for pool in &catalog.pools {
            self.pool(&pool.name);
        }
        for queue in catalog.queues() {
            let line = format!("{} {}{}", queue.name, queue.host, queue.path_prefix);
            self.pool(&queue.pool).queues.push(line);
        }
        Ok(())
    }

    async fn read_vms(&mut self, store: &Store) -> Result<Vec<VmPlace>, StoreError> {
        let mut places = Vec::new();
        for stored in store.newest(listing::TOPIC, 0).await?.records {
            let Some(value) = stored.record.value() else { continue };
            let facts: VmFacts = match listing::decode(&stored.record.key, value) {
                Ok(facts) => facts,
                Err(e) => {
                    self.unreadable.push(e.0);
                    continue;
                }
            };
            let leaving = if facts.draining { " leaving" } else { "" };
            let line =
                format!("{} {} {} {}{leaving}", facts.name, facts.id, facts.hall, facts.rack);
            self.pool(&facts.pool).vms.push(line);
            places.push(VmPlace {
                incarnation: facts.id.to_string(),
                pool: facts.pool.as_ref().to_owned(),
                hall: facts.hall.as_ref().to_owned(),
                cold: facts.cold,
            });
        }
        Ok(places)
    }

    async fn read_owners(&mut self, store: &Store) -> Result<(), StoreError> {
        for stored in store.newest(TOPIC, CLAIMS).await?.records {
            if stored.record.key.starts_with(QUEUE_PREFIX) {
                let record: AssignmentRecord = decode(&stored.record.value)?;
                // The configuration may no longer name these pools, but they may have jobs.
                for pool in
                    std::iter::once(&record.assignment.pool).chain(&record.assignment.earlier)
                {
                    self.pool(pool);
                }
                self.assignments.push(record);
                continue;
            }
            let Some(pool) = stored.record.key.strip_prefix(OWNER_PREFIX) else { continue };
            let claim: Claim = decode(&stored.record.value)?;
            let (node, released) = (claim.owner.name, claim.released);
            let owner = OwnerView { node, token: token_of(stored.offset), released };
            if pool == FLEET {
                self.fleet_owner = Some(owner);
            } else if pool != CAPS {
                self.pool(pool).owner = Some(owner);
            }
        }
        Ok(())
    }

    async fn read_fleet(&mut self, store: &Store) -> Result<(), StoreError> {
        for stored in store.newest(TOPIC, RECORD).await?.records {
            let applied = apply_row(&mut self.fleet, &stored);
            applied.map_err(|e| StoreError::Malformed(e.to_string()))?;
        }
        for stored in store.newest(TOPIC, REPORTS).await?.records {
            let Some(pool) = stored.record.key.strip_prefix(POOL_PREFIX) else { continue };
            let report = decode(&stored.record.value)?;
            self.pool(pool).load = Some(report);
        }
        Ok(())
    }

    async fn read_caps(&mut self, store: &Store) -> Result<(), StoreError> {
        for lent in read_cap_records::<LentCap>(store, LENT, LENT_PREFIX).await? {
            let name = lent.workspace.clone();
            self.workspaces.entry(name).or_default().lent = Some(lent);
        }
        for reported in read_cap_records::<CapUse>(store, USES, USE_PREFIX).await? {
            self.workspaces.entry(reported.workspace.clone()).or_default().uses.push(reported);
        }
        Ok(())
    }

    async fn read_job(&mut self, store: &Store, id: JobId) -> Result<(), StoreError> {
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let log = read_jobs(store, &pool).await?;
            let Some(entry) = log.get(id) else { continue };
            let Some((spec, state)) = entry.spec.as_ref().zip(entry.state()) else { continue };
            let history = |h: &thistle_schedule::crash_history::CrashHistoryRecord| {
                let name = format!("{id}.{}.{}.{}", h.repetition, h.step, h.index);
                let (crashes, at_start, alone) =
                    (h.crash_history.crashes, h.crash_history.at_start, h.crash_history.alone);
                let unclear: Vec<&str> =
                    h.crash_history.unclear.iter().map(|loss| loss.vm.as_str()).collect();
                format!(
                    "{name} VMs that crashed under it: {crashes}, soon after its start: {at_start}, of these with no other job's \
                     task: {alone}, unclear losses: {unclear:?}, verdict {:?}",
                    h.crash_history.verdict()
                )
            };
            let task = |t: &thistle_schedule::progress::TaskRecord| {
                let place = match &t.placement {
                    TaskPlacement::Waiting => "waits".to_owned(),
                    TaskPlacement::Done => "done".to_owned(),
                    TaskPlacement::On(vm) => format!("on {vm}"),
                };
                let name = format!("{id}.{}.{}.{}", t.repetition, t.step, t.index);
                format!("{name} attempt {} failures {} {place}", t.attempt, t.failures)
            };
            self.job = Some(JobView {
                id: id.to_string(),
                pool,
                queue: spec.queue.clone(),
                workspace: spec.workspace.clone(),
                state: format!("{state:?}").to_lowercase(),
                tasks: entry.progress.tasks.iter().map(task).collect(),
                crash_histories: entry.progress.crash_histories.iter().map(history).collect(),
            });
            return Ok(());
        }
        Ok(())
    }
}

/// Reads the records of a pool's jobs.
async fn read_jobs(store: &Store, pool: &str) -> Result<JobLog, StoreError> {
    let mut log = JobLog::default();
    for part in [SUBMISSIONS, FALLBACK_SUBMISSIONS, PROGRESS, FALLBACK_PROGRESS] {
        for stored in store.newest(&topic_of(pool), part).await?.records {
            log.apply(&stored.record.key, stored.record.value())
                .map_err(|e| StoreError::Malformed(e.0))?;
        }
    }
    Ok(log)
}

/// Reads the newest record of each key from a partition with records about caps.
async fn read_cap_records<T: serde::de::DeserializeOwned>(
    store: &Store,
    part: u32,
    prefix: &str,
) -> Result<Vec<T>, StoreError> {
    let newest = store.newest(TOPIC, part).await?;
    let records = newest.records.iter().filter(|stored| stored.record.key.starts_with(prefix));
    let records = records.filter_map(|stored| stored.record.value());
    let decode =
        |value| postcard::from_bytes(value).map_err(|e| StoreError::Malformed(e.to_string()));
    records.map(decode).collect()
}

fn write_workspace(f: &mut fmt::Formatter<'_>, name: &str, view: &WorkspaceView) -> fmt::Result {
    let Some(lent) = &view.lent else { return Ok(()) };
    let (cpu, mem_mb) = (lent.cap.cpu, lent.cap.mem_mb);
    writeln!(
        f,
        "workspace {name} cap {cpu} thousandths of a core, {mem_mb} MB, split {}",
        lent.number
    )?;
    for share in &lent.shares {
        write!(f, "  pool {} lent {} cpu, {} MB", share.pool, share.room.cpu, share.room.mem_mb)?;
        match view.uses.iter().find(|reported| reported.pool == share.pool) {
            Some(reported) => {
                let (used, wanted) = (reported.used.cpu, reported.wanted.cpu);
                writeln!(
                    f,
                    "; reported for split {}: uses {used} cpu, wants {wanted}",
                    reported.number
                )?;
            }
            None => writeln!(f, "; no report")?,
        }
    }
    Ok(())
}

fn decode<T: for<'a> serde::Deserialize<'a>>(value: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(value).map_err(|e| StoreError::Malformed(e.to_string()))
}

fn write_owner(f: &mut fmt::Formatter<'_>, owner: Option<&OwnerView>) -> fmt::Result {
    match owner {
        Some(owner) if owner.released => writeln!(f, "  released by {}", owner.node),
        Some(owner) => writeln!(f, "  owned by {} token {}", owner.node, owner.token),
        None => writeln!(f, "  no owner"),
    }
}

impl fmt::Display for Overview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "configuration {}", self.version)?;
        for (name, pool) in &self.pools {
            writeln!(f, "pool {name}")?;
            write_owner(f, pool.owner.as_ref())?;
            if let Some(load) = &pool.load {
                let (used, cpu, waiting) = (load.used_cpu, load.cpu, load.waiting_cpu);
                writeln!(f, "  uses {used} of {cpu} thousandths of a core, {waiting} wait")?;
            }
            for line in pool.queues.iter().map(|q| format!("queue {q}")) {
                writeln!(f, "  {line}")?;
            }
            for line in pool.vms.iter().map(|vm| format!("vm {vm}")) {
                writeln!(f, "  {line}")?;
            }
        }
        for AssignmentRecord { queue, assignment } in &self.assignments {
            let Assignment { pool, version, earlier, .. } = assignment;
            let earlier: Vec<&str> = earlier.iter().map(AsRef::as_ref).collect();
            let earlier = earlier.join(" ");
            writeln!(
                f,
                "queue {queue} assigned to {pool} by version {version}, before to: {earlier}"
            )?;
        }
        writeln!(f, "fleet")?;
        write_owner(f, self.fleet_owner.as_ref())?;
        for wave in &self.fleet.waves {
            let left: Vec<&str> = wave.left.iter().map(String::as_str).collect();
            let (number, done, left) = (wave.wave, wave.done.len(), left.join(" "));
            writeln!(f, "wave {number}: {done} maintained, left: {left}")?;
        }
        for work in &self.fleet.work {
            writeln!(f, "vm {} {:?} {:?}", work.vm, work.purpose, work.stage)?;
        }
        for (hall, view) in &self.evacuations {
            write_evacuation(f, hall, view)?;
        }
        for (name, view) in &self.workspaces {
            write_workspace(f, name, view)?;
        }
        for entry in &self.unreadable {
            writeln!(f, "unreadable entry {entry}")?;
        }
        if let Some(job) = &self.job {
            let JobView { id, state, queue, pool, workspace, .. } = job;
            writeln!(f, "job {id} {state} queue {queue} pool {pool} workspace {workspace}")?;
            for task in job.tasks.iter().chain(&job.crash_histories) {
                writeln!(f, "  {task}")?;
            }
        }
        Ok(())
    }
}
